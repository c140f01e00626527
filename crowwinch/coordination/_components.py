"""Parts with life-cycle hooks."""

from typing import Protocol


class Component(Protocol):
    """A part that an application object starts and stops."""

    async def start(self) -> None:
        """Starts the part."""

    async def stop(self) -> None:
        """Stops the part."""
