"""The application object."""

from crowwinch.app._application import RouterApplication, run_router

__all__ = ["RouterApplication", "run_router"]
