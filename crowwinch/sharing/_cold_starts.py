"""Which targets have just started, and until when they count as cold.

Several sources tell it: the directory, the targets themselves, peers, and
connections that broke. The latest time counts.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.sharing._model import TargetView

_MAX_ENTRIES = 2_000
_NEVER = float("-inf")


class ColdCause(enum.Enum):
    """How a router learned that a target is cold."""

    ENTRY = "entry"
    HEADER = "header"
    PEER = "peer"
    ASSUMED = "assumed"


@dataclass(frozen=True, slots=True)
class ColdReport:
    """What a router knows of a cold target.

    Attributes:
        target: Identifier of the target.
        life: Start of the target.
        left_s: Seconds for which it stays cold, as far as the router observed
            it itself.
        sent: Requests that the router sent to it in the window.
    """

    target: str
    life: int
    left_s: float
    sent: int


@dataclass(frozen=True, slots=True)
class ColdStart:
    """A target has become cold.

    Attributes:
        target: Identifier of the target.
        life: Start of the target.
        left_s: Seconds for which it stays cold.
        cause: How that is known.
    """

    target: str
    life: int
    left_s: float
    cause: ColdCause


@dataclass(slots=True)
class ColdRecord:
    """A target that is or was cold.

    Attributes:
        life: Latest start of the target that is known.
        since: Time since which it is cold without interruption or restart.
        until: Time until which it is cold, by how that is known.
    """

    life: int
    since: float
    until: dict[ColdCause, float]

    @property
    def end(self) -> float:
        """Time until which the target is cold."""
        return max(self.until.values(), default=_NEVER)

    @property
    def observed_end(self) -> float:
        """The same without what only peers have told.

        It is what peers are told. If they were told what they told, a target
        would stay cold for ever.
        """
        return max(
            (
                until
                for cause, until in self.until.items()
                if cause is not ColdCause.PEER
            ),
            default=_NEVER,
        )


class ColdStarts:
    """Records of targets that are cold."""

    def __init__(
        self,
        clock: Clock,
        view: Callable[[str], TargetView | None],
        on_begin: Callable[[ColdStart], None],
    ) -> None:
        """Creates an instance that knows no cold target.

        Args:
            clock: Monotonic time.
            view: Returns a target of the directory by its identifier.
            on_begin: Called once each time a target becomes cold.
        """
        self._clock = clock
        self._view = view
        self._on_begin = on_begin
        self._records: dict[str, ColdRecord] = {}
        # Last entry of each target whose entry says that it is cold. An entry
        # that is read again does not start the time anew.
        self._entries: OrderedDict[str, tuple[int, int, float]] = OrderedDict()

    @property
    def records(self) -> Mapping[str, ColdRecord]:
        """Records by the identifiers of the targets, also of warm ones."""
        return self._records

    def cold_targets(self) -> list[ColdStart]:
        """Returns the cold targets, each with what says so for longest."""
        now = self._clock.monotonic()
        return [
            ColdStart(
                target,
                record.life,
                record.end - now,
                max(record.until, key=record.until.__getitem__),
            )
            for target, record in self._records.items()
            if record.end > now
        ]

    def observe_entry(
        self, target: str, life: int, heartbeats: int, cold_s: float
    ) -> None:
        """Records what the directory says of a target.

        Args:
            target: Identifier of the target.
            life: Start of the target.
            heartbeats: Number of the heartbeat that wrote the entry.
            cold_s: Seconds for which the target stayed cold from then on.
        """
        if cold_s <= 0.0:
            if self._entries.pop(target, None) is not None:
                record = self._records.get(target)
                if record is not None:
                    record.until.pop(ColdCause.ENTRY, None)
            return
        entry = (life, heartbeats, cold_s)
        if self._entries.get(target) == entry:
            return
        self._entries[target] = entry
        self._entries.move_to_end(target)
        if len(self._entries) > _MAX_ENTRIES:
            self._entries.popitem(last=False)
        self._note(target, life, cold_s, ColdCause.ENTRY)

    def observe_header(
        self, target: TargetView, life: int, cold_s: float
    ) -> None:
        """Records for how long a target says that it stays cold.

        Args:
            target: The target.
            life: Start of the target that the request was sent to.
            cold_s: Seconds for which it stays cold.
        """
        if cold_s > 0.0 and target.has_cold_starts:
            self._note(target.identifier, life, cold_s, ColdCause.HEADER)

    def assume_start(self, target: TargetView, life: int) -> None:
        """Records that a target may just have started.

        Args:
            target: The target.
            life: Its latest start that is known.
        """
        if target.cold_start_s > 0.0:
            self._note(
                target.identifier,
                life,
                target.cold_start_s,
                ColdCause.ASSUMED,
            )

    def merge_reports(self, reports: Iterable[ColdReport]) -> None:
        """Records what a peer has observed."""
        for report in reports:
            if report.left_s > 0.0 and self._concerns(report):
                self._note(
                    report.target, report.life, report.left_s, ColdCause.PEER
                )

    def find(self, target: TargetView) -> ColdRecord | None:
        """Returns the record of a target, None if it is not cold.

        The directory may still know an earlier start than peers or the target
        itself, but what is known of an earlier start does not count.
        """
        record = self._records.get(target.identifier)
        if record is None or target.life > record.life:
            return None
        return record if record.end > self._clock.monotonic() else None

    def remove_warm(self, grace_s: float) -> list[str]:
        """Forgets the targets that have been warm for a time."""
        now = self._clock.monotonic()
        warm = [
            target
            for target, record in self._records.items()
            if now >= record.end + grace_s
        ]
        for target in warm:
            del self._records[target]
        return warm

    def _concerns(self, report: ColdReport) -> bool:
        """Returns whether a report is about a start that is not over.

        A target that is not in the directory yet may be in that of the peer.
        """
        view = self._view(report.target)
        return view is None or (
            view.has_cold_starts and view.life <= report.life
        )

    def _note(
        self, target: str, life: int, left_s: float, cause: ColdCause
    ) -> None:
        """Records that a target stays cold for a time."""
        now = self._clock.monotonic()
        record = self._records.get(target)
        if record is None:
            record = self._records[target] = ColdRecord(life, now, {})
        if cause is ColdCause.ENTRY:
            # A target whose wall clock was set back has an earlier start.
            life = max(life, record.life)
        if life < record.life:
            return
        is_news = life > record.life or record.end <= now
        if is_news:
            record.life, record.since = life, now
            record.until.clear()
        until = now + left_s
        if cause is not ColdCause.ENTRY:
            until = max(until, record.until.get(cause, _NEVER))
        record.until[cause] = until
        if is_news:
            self._on_begin(ColdStart(target, life, left_s, cause))
