"""The application object and its settings."""

from crowwinch.app._application import RouterApplication, run_router
from crowwinch.app._settings import add_settings_arguments, load_settings

__all__ = [
    "RouterApplication",
    "add_settings_arguments",
    "load_settings",
    "run_router",
]
