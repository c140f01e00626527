"""Records of the origins of streams, at several routers.

A caller takes up a broken stream at any router, also when the one that served
it is gone. Each record is therefore sent to routers that a hash of the attempt
selects, and looked up there. A router that shuts down hands its records over.
"""

import asyncio
import functools
import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Literal

import xxhash

from crowwinch.coordination import Clock, rank
from crowwinch.fleet._endpoint import StreamDatagram
from crowwinch.fleet._record_handover import RecordHandover
from crowwinch.forwarding import StreamOrigin, StreamOriginTable
from crowwinch.generated.fleet_messages import (
    HandoverReceipt,
    StreamHandover,
    StreamMessage,
)

_LOGGER = logging.getLogger(__name__)

# Peers that hold a record besides the router that serves the stream. When three
# fifths of a large fleet are lost at once, that one among them, a holder is
# left in 95 of 100 cases (1 - 0.6 ** 6). A small fleet loses no record.
_HOLDERS = 6
# Peers to which a router that shuts down hands each of its records over. The
# other holders still have theirs.
_HANDOVER_HOLDERS = 2
# Peers that are asked. The live peers may have changed since the record was
# sent, and the router that served the stream did not count itself.
_ASKED = 8
# Peers that are asked at most, with those that started after the stream.
_MAX_ASKED = 16
_MS_PER_S = 1000.0
# Datagrams are lost now and then, and in a large fleet they are read once per
# update period of 0.05 s.
_ANSWER_TIMEOUT_S = 0.15
_MAX_QUERIES = 3


@dataclass(frozen=True, slots=True)
class RecordPeer:
    """A peer that may hold records.

    Attributes:
        zone: Its availability zone.
        life: Unix time of its start in milliseconds.
        is_leaving: Whether it is shutting down. It answers queries until it
            ends, and takes no records.
    """

    zone: str
    life: int = 0
    is_leaving: bool = False


class StreamRecords:
    """Sends, holds and finds records of streams."""

    def __init__(
        self,
        clock: Clock,
        own_control: str,
        peers: Callable[[], Mapping[str, RecordPeer]],
        send: Callable[[StreamDatagram, Sequence[str]], None],
    ) -> None:
        """Creates an instance without records.

        Args:
            clock: Monotonic time.
            own_control: Control address of this router.
            peers: Returns the peers that are up by their control addresses.
            send: Sends a message to control addresses of peers.
        """
        self._clock = clock
        self._own_control = own_control
        self._peers = peers
        self._send = send
        self._table = StreamOriginTable(clock)
        # Set when this router shuts down.
        self._handover: RecordHandover | None = None
        # Lookups that wait for answers, by attempt.
        self._lookups: dict[str, _Lookup] = {}

    @property
    def evictions(self) -> int:
        """Number of records that were dropped for lack of room."""
        return self._table.evictions

    @property
    def is_handing_over(self) -> bool:
        """Whether peers do not have all records of this router yet."""
        return self._handover is not None and self._handover.is_pending

    @property
    def unconfirmed(self) -> int:
        """Number of records that peers have yet to take over."""
        return 0 if self._handover is None else self._handover.unconfirmed

    def refresh_handover(self) -> None:
        """Hands records over; called periodically while this router stops."""
        if self._handover is None:
            self._handover = RecordHandover(
                self._clock,
                self._own_control,
                self._table,
                lambda key: self._select_holders(key, _HANDOVER_HOLDERS),
                self._send,
            )
            # The latest streams are those that their callers still wait for.
            self._handover.add(reversed(self._table))
            _LOGGER.info(
                "handing over stream records",
                extra={"records": len(self._table)},
            )
        self._handover.refresh(
            {control: peer.life for control, peer in self._staying().items()}
        )

    def holds(self, attempt_id: str) -> bool:
        """Returns whether this router itself has the record of a stream."""
        return self._table.get(_digest(attempt_id)) is not None

    def record(self, attempt_id: str, origin: StreamOrigin) -> None:
        """Records the origin of a stream, here and at peers."""
        key = _digest(attempt_id)
        self._store(key, origin)
        self._send(
            self._build_message("record", key, origin),
            self._select_holders(key, _HOLDERS),
        )

    async def find(
        self, attempt_id: str, max_age_s: float
    ) -> StreamOrigin | None:
        """Returns the origin of a stream, None if nobody knows it.

        Args:
            attempt_id: Attempt that brought the first event.
            max_age_s: Maximum time in seconds since the stream began.
        """
        key = _digest(attempt_id)
        origin = self._table.get(key)
        if origin is not None:
            return origin
        lookup = self._lookups.get(key)
        if lookup is None:
            lookup = self._lookups[key] = _Lookup()
        lookup.waiters += 1
        try:
            return await self._ask(key, lookup, max_age_s)
        finally:
            lookup.waiters -= 1
            if not lookup.waiters:
                self._lookups.pop(key, None)

    @functools.singledispatchmethod
    def receive(self, message: StreamDatagram) -> None:
        """Applies a message of a peer.

        Raises:
            TypeError: If the message is of another kind.
        """
        raise TypeError(f"unexpected message: {type(message).__name__}")

    @receive.register
    def _(self, message: StreamMessage) -> None:
        key = message.stream
        if message.kind == "query":
            self._send(
                self._build_message("answer", key, self._table.get(key)),
                [message.control],
            )
            return
        origin = _decode_origin(message.service, message.version)
        if origin is not None:
            self._store(key, origin)
        lookup = self._lookups.get(key)
        if lookup is not None:
            lookup.add_answer(message.control, origin)

    @receive.register
    def _(self, message: StreamHandover) -> None:
        for record in message.records:
            origin = _decode_origin(record.service, record.version)
            if origin is not None:
                self._store(record.stream, origin, record.age_ms / _MS_PER_S)
        self._send(
            HandoverReceipt(self._own_control, message.number),
            [message.control],
        )

    @receive.register
    def _(self, message: HandoverReceipt) -> None:
        if self._handover is not None:
            self._handover.confirm(message)

    def _store(
        self, key: str, origin: StreamOrigin, age_s: float = 0.0
    ) -> None:
        self._table.record(key, origin, age_s)
        if self._handover is not None:
            self._handover.add([key])

    def _build_message(
        self,
        kind: Literal["record", "answer"],
        key: str,
        origin: StreamOrigin | None,
    ) -> StreamMessage:
        if origin is None:
            return StreamMessage(kind, self._own_control, key, None)
        return StreamMessage(
            kind, self._own_control, key, origin.version, origin.service or ""
        )

    async def _ask(
        self, key: str, lookup: "_Lookup", max_age_s: float
    ) -> StreamOrigin | None:
        for _ in range(_MAX_QUERIES):
            silent = [
                peer
                for peer in self._select_asked(key, max_age_s)
                if peer not in lookup.answered
            ]
            if not silent:
                break
            lookup.asked.update(silent)
            self._send(
                StreamMessage("query", self._own_control, key, None), silent
            )
            try:
                async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                    await lookup.done.wait()
            except TimeoutError:
                continue
            break
        return self._table.get(key)

    def _staying(self) -> dict[str, RecordPeer]:
        """Returns the peers that are not shutting down."""
        return {
            control: peer
            for control, peer in self._peers().items()
            if not peer.is_leaving
        }

    def _select_holders(self, key: str, count: int) -> list[str]:
        return _order(key, self._staying())[:count]

    def _select_asked(self, key: str, max_age_s: float) -> list[str]:
        """Returns the peers that may hold a record.

        Those that are shutting down have records that others lack. Those that
        started after the stream precede holders in the order without having
        its record, so they don't count.
        """
        peers = self._peers()
        began_ms = (self._clock.time() - max_age_s) * _MS_PER_S
        asked: list[str] = []
        older = 0
        for control in _order(key, peers)[:_MAX_ASKED]:
            if older == _ASKED:
                break
            asked.append(control)
            older += peers[control].life <= began_ms
        return asked


def _order(key: str, peers: Mapping[str, RecordPeer]) -> list[str]:
    """Returns peers in the order of a hash, from different zones.

    The first two are in different availability zones, so that the loss of one
    leaves a record.
    """
    ordered = rank(key, peers)
    if not ordered:
        return []
    first, *others = ordered
    zone = peers[first].zone
    others.sort(key=lambda peer: peers[peer].zone == zone)
    return [first, *others]


class _Lookup:
    """Answers to a query."""

    def __init__(self) -> None:
        self.waiters = 0
        self.asked: set[str] = set()
        self.answered: set[str] = set()
        self.done = asyncio.Event()

    def add_answer(self, peer: str, origin: StreamOrigin | None) -> None:
        """Records the answer of a peer."""
        self.answered.add(peer)
        if origin is not None or self.answered >= self.asked:
            self.done.set()


def _decode_origin(service: str, version: str | None) -> StreamOrigin | None:
    """Returns the origin in a message, None without one."""
    return None if version is None else StreamOrigin(service or None, version)


def _digest(attempt_id: str) -> str:
    """Returns a key of fixed length, since callers choose the identifier."""
    return xxhash.xxh3_128_hexdigest(
        attempt_id.encode("utf-8", "surrogateescape")
    )
