"""Tells whether a caller has received an answer."""

import asyncio
import fcntl
import struct
import termios

_INTEGER = struct.Struct("i")
# Answers with fewer unacknowledged bytes are left to the kernel, so that a
# connection can be used again without a wait for the network.
_LEFT_TO_KERNEL_BYTES = 65536


def is_closed(transport: asyncio.BaseTransport | None) -> bool:
    """Returns whether a connection takes no more bytes."""
    return transport is None or transport.is_closing()


def is_delivered(
    transport: asyncio.BaseTransport | None, is_stopping: bool
) -> bool:
    """Returns whether nothing of an answer is left in the process.

    While the process stops, the kernel of the caller must have acknowledged
    every byte as well. A caller that has gone receives nothing more.
    """
    if is_closed(transport):
        return True
    if transport.get_write_buffer_size():
        return False
    # Between TLS and the socket there is a buffer that is not counted above;
    # it is in use only while the kernel's buffer is full.
    limit = 0 if is_stopping else _LEFT_TO_KERNEL_BYTES
    return _unacknowledged(transport) <= limit


def _unacknowledged(transport: asyncio.BaseTransport) -> int:
    """Returns the bytes in the kernel that the peer has not acknowledged."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return 0
    try:
        answer = fcntl.ioctl(
            connection.fileno(), termios.TIOCOUTQ, bytes(_INTEGER.size)
        )
    except OSError:
        return 0
    return _INTEGER.unpack(answer)[0]
