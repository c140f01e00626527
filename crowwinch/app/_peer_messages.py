"""Conversion between the coordination library's values and wire messages."""

import functools
from collections.abc import Iterable

from crowwinch.coordination import (
    Ack,
    Frame,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    Ping,
    PingRequest,
    ReliableLink,
)
from crowwinch.generated import peer_messages as messages
from crowwinch.generated.bases import MessageStruct

_TAG_RANGE = 1 << 24
# A link holds at most 1,024 payloads that are not acknowledged, far below half
# of this range.
_NUMBER_RANGE = 1 << 16


def from_wire_updates(
    updates: Iterable[messages.MemberUpdate],
) -> tuple[MemberUpdate, ...]:
    """Returns updates as the membership takes them."""
    return tuple(
        MemberUpdate(
            update.member, update.incarnation, MemberState(update.state)
        )
        for update in updates
    )


def _to_wire_updates(
    updates: Iterable[MemberUpdate],
) -> list[messages.MemberUpdate]:
    return [
        messages.MemberUpdate(
            update.member, update.incarnation, int(update.state)
        )
        for update in updates
    ]


@functools.singledispatch
def to_wire(
    message: MembershipMessage, revision: int, digest: str
) -> MessageStruct:
    """Returns the wire form of a membership message.

    Args:
        message: What to send.
        revision: Configuration in force at the sender.
        digest: Digest of its manifest.
    """
    raise TypeError(f"{type(message).__name__} is no membership message")


@to_wire.register
def _(message: Ping, revision: int, digest: str) -> messages.Ping:
    return messages.Ping(
        message.probe,
        message.incarnation,
        revision,
        digest,
        _to_wire_updates(message.updates),
    )


@to_wire.register
def _(message: Ack, revision: int, digest: str) -> messages.Ack:
    return messages.Ack(
        message.probe,
        message.subject,
        message.incarnation,
        revision,
        digest,
        _to_wire_updates(message.updates),
    )


@to_wire.register
def _(message: PingRequest, revision: int, digest: str) -> messages.PingRequest:
    del revision, digest
    return messages.PingRequest(
        message.probe, message.subject, _to_wire_updates(message.updates)
    )


def _tag(epoch: int) -> int:
    """Returns what tells the lives of a router apart, 0 for none.

    Lives are start times in ms, so two lives with one tag are a multiple of
    4.6 h apart, and no frame is that late.
    """
    return (epoch % _TAG_RANGE or 1) if epoch else 0


def _expand(low: int, near: int) -> int:
    """Returns the number closest to another one that has the low bits."""
    half = _NUMBER_RANGE // 2
    return near + (low - near + half) % _NUMBER_RANGE - half


def frame_to_wire(frame: Frame) -> messages.LinkFrame:
    """Returns the wire form of a link frame.

    The sequence number of a bare acknowledgement is not sent; it is known by
    its empty payload.
    """
    return messages.LinkFrame(
        _tag(frame.receiver_epoch),
        frame.sequence % _NUMBER_RANGE,
        frame.acknowledged % _NUMBER_RANGE,
        frame.payload,
    )


def frame_from_wire(
    message: messages.LinkFrame,
    sender_life: int,
    own_life: int,
    link: ReliableLink,
) -> Frame:
    """Returns the frame in a wire message.

    Args:
        message: What arrived.
        sender_life: Life of the sender, from the transport.
        own_life: Life of this router.
        link: Receiver of the frame, whose numbers are near those of the frame.
    """
    is_own = message.receiver == _tag(own_life)
    # Numbers of a new life start again.
    known = sender_life == link.peer_epoch
    received = link.received if known else 0
    return Frame(
        sender_life,
        own_life if is_own else 0,
        _expand(message.sequence, received) if message.payload else 0,
        max(_expand(message.acknowledged, link.acknowledged), 0),
        message.payload,
    )
