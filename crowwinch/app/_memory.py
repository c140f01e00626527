"""Keeps resident memory and collection pauses small."""

import asyncio
import ctypes
import gc
from collections.abc import Callable


class MemoryKeeper:
    """Cleans up after a configuration came into force."""

    def __init__(self) -> None:
        """Looks up the allocator's function, which glibc alone has."""
        library = ctypes.CDLL(None)
        self._trim: Callable[[int], int] | None = getattr(
            library, "malloc_trim", None
        )
        self._is_frozen = False

    def on_change(self, change: object = None) -> None:
        """Cleans up once the temporary objects of a change are gone."""
        del change
        asyncio.get_running_loop().call_soon(self.clean_up)

    def clean_up(self) -> None:
        """Excludes what lives long from collections and returns free memory.

        Modules, parts of the application and the first configuration are
        about 73,000 objects, which a full collection visits in 37 ms. They are
        excluded once: objects of requests that are excluded by accident would
        never be collected if they form a cycle.
        """
        if not self._is_frozen:
            self._is_frozen = True
            gc.collect()
            gc.freeze()
        if self._trim is not None:
            self._trim(0)
