"""Limits on the memory that callers and targets can make a router use."""

from collections.abc import Callable


class MemoryPool:
    """Counts the bytes that are kept for messages of one kind.

    A process that exceeds its memory limit is killed, and all its requests with
    it. Each message that does not fit is rejected instead.
    """

    def __init__(self, capacity_bytes: int, free_bytes: int = 0) -> None:
        """Creates an empty pool.

        Args:
            capacity_bytes: Maximum size of all allocations together.
            free_bytes: Size up to which an allocation is not counted, so that
                small messages are kept while large ones fill the pool.
        """
        self._capacity_bytes = capacity_bytes
        self._free_bytes = free_bytes
        self._used_bytes = 0
        self._reclaim: Callable[[int], bool] | None = None

    @property
    def capacity_bytes(self) -> int:
        """Maximum size of all allocations together."""
        return self._capacity_bytes

    @property
    def used_bytes(self) -> int:
        """Size of all allocations, without their uncounted parts."""
        return self._used_bytes

    def allocate(self) -> "Allocation":
        """Returns an allocation of zero bytes."""
        return Allocation(self)

    def set_reclaim(self, reclaim: Callable[[int], bool]) -> None:
        """Sets what frees memory that clients hold without need.

        Args:
            reclaim: Gets a number of bytes; returns whether so many are free
                now or will be shortly.
        """
        self._reclaim = reclaim

    def reclaim(self, size_bytes: int) -> bool:
        """Frees memory; returns whether so much is or will be free."""
        return self._reclaim is not None and self._reclaim(size_bytes)

    def add(self, size_bytes: int) -> bool:
        """Counts bytes that are kept in any case.

        Returns:
            Whether they fit.
        """
        self._used_bytes += size_bytes
        return self._used_bytes <= self._capacity_bytes

    def subtract(self, size_bytes: int) -> None:
        """Ends the count of bytes that were added."""
        self._used_bytes -= size_bytes

    def resize(self, old_bytes: int, new_bytes: int) -> bool:
        """Changes the size of an allocation.

        Args:
            old_bytes: Its size so far.
            new_bytes: Its new size.

        Returns:
            Whether it fits; nothing is changed if not.
        """
        growth = self._counted(new_bytes) - self._counted(old_bytes)
        if growth > 0 and self._used_bytes + growth > self._capacity_bytes:
            return False
        self._used_bytes += growth
        return True

    def _counted(self, size_bytes: int) -> int:
        return max(size_bytes - self._free_bytes, 0)


class Allocation:
    """Bytes of a pool that one message uses."""

    def __init__(self, pool: MemoryPool) -> None:
        """Creates an allocation of zero bytes.

        Args:
            pool: Pool that the bytes are taken from.
        """
        self._pool = pool
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Current size."""
        return self._size_bytes

    def resize(self, size_bytes: int) -> bool:
        """Sets the size; returns False, without a change, if it is too large.

        Args:
            size_bytes: New size in bytes.
        """
        if not self._pool.resize(self._size_bytes, size_bytes):
            return False
        self._size_bytes = size_bytes
        return True

    def reclaim(self, size_bytes: int) -> bool:
        """Frees memory of the pool that clients hold without need.

        Args:
            size_bytes: Memory that is needed.

        Returns:
            Whether so much is free now, or will be shortly.
        """
        return self._pool.reclaim(size_bytes)

    def release(self) -> None:
        """Returns all bytes to the pool."""
        self.resize(0)
