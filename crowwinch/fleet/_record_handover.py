"""Handover of stream records by a router that shuts down."""

import collections
import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.fleet._endpoint import StreamDatagram
from crowwinch.forwarding import StreamOriginTable
from crowwinch.generated.fleet_messages import (
    HandoverReceipt,
    StreamHandover,
    StreamRecord,
)

# Records that are placed in one update period. Each takes a hash for every
# peer, and all that go to one peer fit in about 4 KB.
_RECORDS_PER_PERIOD = 64
# A receipt takes up to two update periods in a large fleet.
_RESEND_S = 0.25
_MS_PER_S = 1000.0


@dataclass(slots=True)
class _Batch:
    peer: str
    keys: list[str]
    sent_at: float


class RecordHandover:
    """Copies the records of a router that shuts down to peers that stay.

    A router that shuts down ends before the streams that it has records of can
    be taken up. In a roll, the peers that hold the same records shut down soon
    after it, so whoever leaves replaces its copy.
    """

    def __init__(
        self,
        clock: Clock,
        own_control: str,
        table: StreamOriginTable,
        select_holders: Callable[[str], Sequence[str]],
        send: Callable[[StreamDatagram, Sequence[str]], None],
    ) -> None:
        """Creates a handover that has not begun.

        Args:
            clock: Monotonic time.
            own_control: Control address of this router.
            table: Records to hand over.
            select_holders: Returns the control addresses of the peers that
                are to hold a record.
            send: Sends a message to control addresses of peers.
        """
        self._clock = clock
        self._own_control = own_control
        self._table = table
        self._select_holders = select_holders
        self._send = send
        # Start of each peer that stays, by its control address.
        self._lives: Mapping[str, int] = {}
        # Peers to which each record was sent.
        self._copies: dict[str, set[str]] = {}
        self._unplaced: collections.deque[str] = collections.deque()
        self._numbers = itertools.count()
        # Messages without a receipt.
        self._batches: dict[int, _Batch] = {}

    @property
    def is_pending(self) -> bool:
        """Whether peers that stay do not have all records yet."""
        return bool(self.unconfirmed) and bool(self._lives)

    @property
    def unconfirmed(self) -> int:
        """Number of records that peers have yet to take, one for each peer."""
        return len(self._unplaced) + sum(
            len(batch.keys) for batch in self._batches.values()
        )

    def add(self, keys: Iterable[str]) -> None:
        """Adds records that this router holds."""
        self._unplaced.extend(keys)

    def refresh(self, lives: Mapping[str, int]) -> None:
        """Sends records that peers lack, and again those without a receipt.

        Args:
            lives: Start of each peer that stays, by its control address. One
                that started again has no records.
        """
        gone = {
            peer
            for peer, life in self._lives.items()
            if lives.get(peer) != life
        }
        self._lives = dict(lives)
        if gone:
            self._drop_copies(gone)
        if not lives:
            return
        now = self._clock.monotonic()
        for number, batch in tuple(self._batches.items()):
            if now - batch.sent_at >= _RESEND_S:
                batch.sent_at = now
                self._send_batch(number, batch)
        self._place_records(now)

    def confirm(self, receipt: HandoverReceipt) -> None:
        """Records that a peer holds the records of a message."""
        batch = self._batches.get(receipt.number)
        if batch is not None and batch.peer == receipt.control:
            del self._batches[receipt.number]

    def _drop_copies(self, gone: set[str]) -> None:
        for key, peers in self._copies.items():
            if not peers.isdisjoint(gone):
                peers -= gone
                self._unplaced.append(key)
        self._batches = {
            number: batch
            for number, batch in self._batches.items()
            if batch.peer not in gone
        }

    def _place_records(self, now: float) -> None:
        keys_by_peer = collections.defaultdict(list)
        for _ in range(min(_RECORDS_PER_PERIOD, len(self._unplaced))):
            key = self._unplaced.popleft()
            if self._table.get(key) is None:
                self._copies.pop(key, None)
                continue
            copies = self._copies.setdefault(key, set())
            for peer in self._select_holders(key):
                if peer not in copies:
                    copies.add(peer)
                    keys_by_peer[peer].append(key)
        for peer, keys in keys_by_peer.items():
            number = next(self._numbers)
            batch = self._batches[number] = _Batch(peer, keys, now)
            self._send_batch(number, batch)

    def _send_batch(self, number: int, batch: _Batch) -> None:
        records = [
            StreamRecord(
                key,
                origin.version,
                round(self._table.age_s(key) * _MS_PER_S),
                origin.service or "",
            )
            for key in batch.keys
            if (origin := self._table.get(key)) is not None
        ]
        self._send(
            StreamHandover(self._own_control, number, records), [batch.peer]
        )
