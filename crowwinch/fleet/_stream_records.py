"""Records of the software versions that began streams, at several routers.

A caller takes up a broken stream at any router, also when the one that served
it is gone. Each record is therefore sent to routers that a hash of the attempt
selects, and looked up there.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence

import xxhash

from crowwinch.coordination import Clock, rank
from crowwinch.forwarding import StreamVersionTable
from crowwinch.generated.fleet_messages import StreamMessage

# Peers that hold a record besides the router that serves the stream.
_HOLDERS = 2
# Peers that are asked. The live peers may have changed since the record was
# sent, and the router that served the stream did not count itself.
_ASKED = 6
# Datagrams are lost now and then, and in a large fleet they are read once per
# update period of 0.05 s.
_ANSWER_TIMEOUT_S = 0.15
_MAX_QUERIES = 3


class StreamRecords:
    """Sends, holds and finds records of streams."""

    def __init__(
        self,
        clock: Clock,
        own_control: str,
        peer_zones: Callable[[], Mapping[str, str]],
        send: Callable[[StreamMessage, Sequence[str]], None],
    ) -> None:
        """Creates an instance without records.

        Args:
            clock: Monotonic time.
            own_control: Control address of this router.
            peer_zones: Returns the availability zone of each live peer by its
                control address.
            send: Sends a message to control addresses of peers.
        """
        self._own_control = own_control
        self._peer_zones = peer_zones
        self._send = send
        self._table = StreamVersionTable(clock)
        # Lookups that wait for answers, by attempt.
        self._lookups: dict[str, _Lookup] = {}

    @property
    def evictions(self) -> int:
        """Number of records that were dropped for lack of room."""
        return self._table.evictions

    def holds(self, attempt_id: str) -> bool:
        """Returns whether this router itself has the record of a stream."""
        return self._table.get(_digest(attempt_id)) is not None

    def record(self, attempt_id: str, version: str) -> None:
        """Records the version that began a stream, here and at peers."""
        key = _digest(attempt_id)
        self._table.record(key, version)
        self._send(
            StreamMessage("record", self._own_control, key, version),
            self._select_peers(key, _HOLDERS),
        )

    async def find(self, attempt_id: str) -> str | None:
        """Returns the version that began a stream, None if nobody knows it."""
        key = _digest(attempt_id)
        version = self._table.get(key)
        if version is not None:
            return version
        lookup = self._lookups.get(key)
        if lookup is None:
            lookup = self._lookups[key] = _Lookup()
        lookup.waiters += 1
        try:
            return await self._ask(key, lookup)
        finally:
            lookup.waiters -= 1
            if not lookup.waiters:
                self._lookups.pop(key, None)

    def receive(self, message: StreamMessage) -> None:
        """Applies a message of a peer."""
        key = message.stream
        if message.kind == "query":
            self._send(
                StreamMessage(
                    "answer", self._own_control, key, self._table.get(key)
                ),
                [message.control],
            )
            return
        if message.version is not None:
            self._table.record(key, message.version)
        lookup = self._lookups.get(key)
        if lookup is not None:
            lookup.add_answer(message.control, message.version)

    async def _ask(self, key: str, lookup: "_Lookup") -> str | None:
        for _ in range(_MAX_QUERIES):
            silent = [
                peer
                for peer in self._select_peers(key, _ASKED)
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

    def _select_peers(self, key: str, count: int) -> list[str]:
        """Returns live peers in the order of a hash, from different zones.

        The first two are in different availability zones, so that the loss of
        one leaves a record.
        """
        zones = self._peer_zones()
        ordered = rank(key, zones)
        if not ordered:
            return []
        first, *others = ordered
        others.sort(key=lambda peer: zones[peer] == zones[first])
        return [first, *others][:count]


class _Lookup:
    """Answers to a query."""

    def __init__(self) -> None:
        self.waiters = 0
        self.asked: set[str] = set()
        self.answered: set[str] = set()
        self.done = asyncio.Event()

    def add_answer(self, peer: str, version: str | None) -> None:
        """Records the answer of a peer."""
        self.answered.add(peer)
        if version is not None or self.answered >= self.asked:
            self.done.set()


def _digest(attempt_id: str) -> str:
    """Returns a key of fixed length, since callers choose the identifier."""
    return xxhash.xxh3_128_hexdigest(
        attempt_id.encode("utf-8", "surrogateescape")
    )
