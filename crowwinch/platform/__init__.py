"""Clients of the platform's services."""

from crowwinch.platform._services import PlatformClient

__all__ = ["PlatformClient"]
