"""Transport, encoding and dispatch of messages between routers."""

from crowwinch.peers._codec import (
    MAX_MESSAGE_BYTES,
    MESSAGE_TYPES,
    PROTOCOL_VERSION,
    decode,
    encode,
)
from crowwinch.peers._connection import CurveKeys
from crowwinch.peers._dispatch import MessageDispatcher
from crowwinch.peers._identity import PeerIdentity
from crowwinch.peers._pacing import TokenBucket
from crowwinch.peers._transport import (
    FRAMING_BYTES,
    HANDSHAKE_BYTES,
    IDLE_S,
    LIFE_BYTES,
    RETURN_S,
    SPARE_IDLE_S,
    PeerTransport,
    kept_connections,
)

__all__ = [
    "FRAMING_BYTES",
    "HANDSHAKE_BYTES",
    "IDLE_S",
    "LIFE_BYTES",
    "MAX_MESSAGE_BYTES",
    "MESSAGE_TYPES",
    "PROTOCOL_VERSION",
    "RETURN_S",
    "SPARE_IDLE_S",
    "CurveKeys",
    "MessageDispatcher",
    "PeerIdentity",
    "PeerTransport",
    "TokenBucket",
    "decode",
    "encode",
    "kept_connections",
]
