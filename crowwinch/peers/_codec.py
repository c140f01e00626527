"""Encoding of messages between routers.

A message is a version byte, a type byte and the fields as a msgpack array. The
fields of a link frame, which most messages travel in, are packed instead.
"""

import struct

import msgspec

from crowwinch.errors import DECODE_ERRORS, PeerMessageError, PeerRejection
from crowwinch.generated import peer_messages as messages
from crowwinch.generated.bases import MessageStruct

PROTOCOL_VERSION = 1
# A configuration part is at most 1 MB; the rest leaves room for its fields.
MAX_MESSAGE_BYTES = 1_004_096

# The numbers are part of the wire format and are never used again for another
# message.
MESSAGE_TYPES: dict[int, type[MessageStruct]] = {
    1: messages.Ping,
    2: messages.Ack,
    3: messages.PingRequest,
    4: messages.Leaving,
    5: messages.LinkFrame,
    6: messages.Demand,
    7: messages.Grants,
    8: messages.Registration,
    9: messages.RegistrationRequest,
    10: messages.ConfigurationAnnounce,
    11: messages.ConfigurationPull,
    12: messages.ConfigurationPart,
    13: messages.Claim,
    14: messages.ClaimAnswer,
    15: messages.Confirm,
    16: messages.ConfirmAnswer,
    17: messages.Close,
    18: messages.CloseAnswer,
    19: messages.Outcome,
    20: messages.CrashReport,
    21: messages.Reserve,
    22: messages.ReserveAnswer,
    23: messages.CrashPull,
    24: messages.CrashReports,
}
_NUMBERS = {kind: number for number, kind in MESSAGE_TYPES.items()}
_ENCODER = msgspec.msgpack.Encoder()
# Low byte and upper 16 bits of the receiver's epoch, sequence number and
# acknowledgement: 7 bytes, of which msgpack would take 17.
_FRAME = struct.Struct(">BHHH")


def _encode_frame(frame: messages.LinkFrame) -> bytes:
    header = _FRAME.pack(
        frame.receiver & 0xFF,
        frame.receiver >> 8,
        frame.sequence,
        frame.acknowledged,
    )
    return header + frame.payload


def _decode_frame(raw: memoryview) -> messages.LinkFrame:
    if len(raw) < _FRAME.size:
        raise msgspec.DecodeError("a link frame is cut")
    low, high, sequence, acknowledged = _FRAME.unpack_from(raw)
    return messages.LinkFrame(
        high << 8 | low, sequence, acknowledged, bytes(raw[_FRAME.size :])
    )


_DECODERS = {
    number: msgspec.msgpack.Decoder(kind).decode
    for number, kind in MESSAGE_TYPES.items()
}
_DECODERS[_NUMBERS[messages.LinkFrame]] = _decode_frame


def encode(message: MessageStruct) -> bytes:
    """Encodes a message with its envelope.

    Raises:
        PeerMessageError: If the message has no type number or is too large.
    """
    number = _NUMBERS.get(type(message))
    if number is None:
        raise PeerMessageError(
            PeerRejection.UNKNOWN_TYPE,
            f"{type(message).__name__} has no type number",
        )
    is_frame = isinstance(message, messages.LinkFrame)
    body = _encode_frame(message) if is_frame else _ENCODER.encode(message)
    raw = bytes((PROTOCOL_VERSION, number)) + body
    if len(raw) > MAX_MESSAGE_BYTES:
        raise PeerMessageError(
            PeerRejection.OVERSIZED,
            f"{type(message).__name__} takes {len(raw)} bytes, "
            f"at most {MAX_MESSAGE_BYTES} are allowed",
        )
    return raw


def decode(raw: bytes) -> MessageStruct:
    """Decodes a message with its envelope.

    Raises:
        PeerMessageError: If the message is not acceptable, with the reason.
    """
    if len(raw) > MAX_MESSAGE_BYTES:
        raise PeerMessageError(
            PeerRejection.OVERSIZED, f"message of {len(raw)} bytes"
        )
    if len(raw) < 2:
        raise PeerMessageError(PeerRejection.MALFORMED, "no envelope")
    if raw[0] != PROTOCOL_VERSION:
        raise PeerMessageError(
            PeerRejection.UNKNOWN_VERSION, f"version {raw[0]}"
        )
    decoder = _DECODERS.get(raw[1])
    if decoder is None:
        raise PeerMessageError(PeerRejection.UNKNOWN_TYPE, f"type {raw[1]}")
    try:
        return decoder(memoryview(raw)[2:])
    except DECODE_ERRORS as error:
        raise PeerMessageError(PeerRejection.MALFORMED, str(error)) from error
