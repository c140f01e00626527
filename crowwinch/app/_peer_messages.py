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
)
from crowwinch.generated import peer_messages as messages
from crowwinch.generated.bases import MessageStruct


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


def frame_to_wire(frame: Frame) -> messages.LinkFrame:
    """Returns the wire form of a link frame."""
    return messages.LinkFrame(
        frame.sender_epoch,
        frame.receiver_epoch,
        frame.sequence,
        frame.acknowledged,
        frame.payload,
    )


def frame_from_wire(message: messages.LinkFrame) -> Frame:
    """Returns the frame in a wire message."""
    return Frame(
        message.sender_epoch,
        message.receiver_epoch,
        message.sequence,
        message.acknowledged,
        message.payload,
    )
