"""Limits on the memory that callers and targets can make a router use."""


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

    @property
    def used_bytes(self) -> int:
        """Size of all allocations, without their uncounted parts."""
        return self._used_bytes

    def allocate(self) -> "Allocation":
        """Returns an allocation of zero bytes."""
        return Allocation(self)

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

    def release(self) -> None:
        """Returns all bytes to the pool."""
        self.resize(0)
