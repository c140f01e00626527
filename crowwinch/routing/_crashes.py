"""Registry of requests suspected of crashing targets."""

import asyncio
import contextlib
import enum
import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.generated.peer_messages import CrashReport

_EXPIRY_S = 600.0
# An entry takes about 300 bytes, so each of the two tables takes up to 3 MB.
_MAX_ENTRIES = 10_000
_CRASHES_TO_REFUSE = 2
_DIGEST_BYTES = 16


class CrashVerdict(enum.Enum):
    """Restriction on running a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


@dataclass(slots=True)
class _Entry:
    expires: float
    crashes: set[tuple[str, bool]]

    @property
    def causes_crashes(self) -> bool:
        """Whether it crashed two targets, at least one while running alone.

        Without the second condition, a harmless request that was in flight
        alongside the cause of two crashes would be refused.
        """
        return len(self.crashes) >= _CRASHES_TO_REFUSE and any(
            alone for _, alone in self.crashes
        )


class CrashRegistry:
    """Digests of the requests that were in flight on crashed targets.

    A crash in a group of one target counts again when the request ran alone.
    Reports may arrive late, repeated and in any order.
    """

    def __init__(
        self,
        clock: Clock,
        broadcast: Callable[[CrashReport], None] = lambda report: None,
        capacity: int = _MAX_ENTRIES,
        expiry_s: float = _EXPIRY_S,
    ) -> None:
        """Creates an empty registry.

        Args:
            clock: Time source for the expiry of entries.
            broadcast: Sends a report to all other routers.
            capacity: Maximum number of entries in each of the two tables.
            expiry_s: Seconds for which an entry is kept after its last crash.
        """
        self._clock = clock
        self.broadcast = broadcast
        self._capacity = capacity
        self._expiry_s = expiry_s
        self._suspects: OrderedDict[str, _Entry] = OrderedDict()
        self._refused: OrderedDict[str, _Entry] = OrderedDict()
        self._waiting: dict[str, set[asyncio.Future[None]]] = {}

    @staticmethod
    def digest(workspace: int, body: bytes) -> str:
        """Returns the hexadecimal digest that identifies a request."""
        prefix = workspace.to_bytes(8, "big")
        return hashlib.blake2b(
            prefix + body, digest_size=_DIGEST_BYTES
        ).hexdigest()

    @property
    def is_empty(self) -> bool:
        """Whether both tables are empty, so that no digest is needed."""
        return not self._suspects and not self._refused

    def verdict(self, digest: str) -> CrashVerdict:
        """Returns the restriction on running a request."""
        self._expire()
        if digest in self._refused:
            return CrashVerdict.REFUSED
        if digest in self._suspects:
            return CrashVerdict.SUSPECT
        return CrashVerdict.CLEAR

    @contextlib.contextmanager
    def refusal(self, digest: str) -> Iterator[asyncio.Future[None]]:
        """Provides a future that completes once the request is refused."""
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = self._waiting.setdefault(digest, set())
        waiting.add(future)
        try:
            yield future
        finally:
            waiting.discard(future)
            if not waiting:
                self._waiting.pop(digest, None)

    def record_crash(self, digest: str, target: str, alone: bool) -> None:
        """Records a request that was in flight on a crashed target."""
        report = CrashReport(digest, target, alone, False)
        self._add(report)
        self.broadcast(report)

    def record_finished(self, digest: str, alone: bool) -> None:
        """Records a finished request; clears a suspect that ran alone."""
        if alone and self._suspects.pop(digest, None) is not None:
            self.broadcast(CrashReport(digest, "", True, True))

    def on_report(self, report: CrashReport) -> None:
        """Applies a report from another router."""
        if report.cleared:
            self._suspects.pop(report.digest, None)
        else:
            self._add(report)

    def reports(self) -> Sequence[CrashReport]:
        """Returns all entries as reports for a router that joins the fleet."""
        self._expire()
        return [
            CrashReport(digest, target, alone, False)
            for table in (self._suspects, self._refused)
            for digest, entry in table.items()
            for target, alone in sorted(entry.crashes)
        ]

    def _add(self, report: CrashReport) -> None:
        self._expire()
        digest = report.digest
        table = self._refused if digest in self._refused else self._suspects
        entry = table.get(digest) or _Entry(0.0, set())
        crash = (report.target, report.alone)
        if crash in entry.crashes:
            return
        if len(entry.crashes) < _CRASHES_TO_REFUSE + 1 or report.alone:
            entry.crashes.add(crash)
        entry.expires = self._clock.monotonic() + self._expiry_s
        table.pop(digest, None)
        table = self._refused if entry.causes_crashes else self._suspects
        table[digest] = entry
        if len(table) > self._capacity:
            table.popitem(last=False)
        if table is self._refused:
            for future in self._waiting.get(digest, ()):
                if not future.done():
                    future.set_result(None)

    def _expire(self) -> None:
        now = self._clock.monotonic()
        for table in (self._suspects, self._refused):
            while table and next(iter(table.values())).expires <= now:
                table.popitem(last=False)
