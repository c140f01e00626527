"""A router fleet that shares target capacity fairly among workspaces."""

__version__ = "0.1.0"
