"""Assembles and runs a router process on the operators' platform."""

from crowwinch.gateway._application import GatewayApplication, run_gateway

__all__ = ["GatewayApplication", "run_gateway"]
