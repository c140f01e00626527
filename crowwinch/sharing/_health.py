"""Which targets fail, judged by their answers."""

from dataclasses import dataclass

from crowwinch.coordination import Clock

# A target that cannot be reached is left alone for this time, doubled with
# each further failure.
_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 4.0
# Weight of the newest answer in the share of failures.
_WEIGHT = 0.2
# From this share of failures on a target counts as failing.
_FAILING_SHARE = 0.25
# Time constant in which a bad record fades without new answers.
_FADE_S = 3.0


@dataclass(slots=True)
class _Record:
    failures: float = 0.0
    at: float = 0.0
    pause_s: float = _FIRST_PAUSE_S
    blocked_until: float = 0.0


class TargetHealth:
    """Records answers and failed connections of each target."""

    def __init__(self, clock: Clock) -> None:
        """Creates an empty record."""
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def note_answer(self, target: str, is_good: bool) -> None:
        """Records a complete answer, or one that failed or broke off."""
        record = self._records.setdefault(target, _Record())
        now = self._clock.monotonic()
        record.failures = self._faded(record, now) * (1 - _WEIGHT)
        record.at = now
        if is_good:
            record.pause_s = _FIRST_PAUSE_S
            record.blocked_until = 0.0
        else:
            record.failures += _WEIGHT

    def note_unreachable(self, target: str) -> None:
        """Records a connection that could not be made."""
        record = self._records.setdefault(target, _Record())
        now = self._clock.monotonic()
        if record.blocked_until > now:
            return
        record.blocked_until = now + record.pause_s
        record.pause_s = min(record.pause_s * 2, _LONGEST_PAUSE_S)

    def is_blocked(self, target: str) -> bool:
        """Returns whether a target could not be reached a moment ago."""
        record = self._records.get(target)
        return (
            record is not None
            and record.blocked_until > self._clock.monotonic()
        )

    def failing_share(self, target: str) -> float:
        """Returns the share of failures, 0 if it is within the usual."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        share = self._faded(record, self._clock.monotonic())
        return share if share >= _FAILING_SHARE else 0.0

    def forget(self, target: str) -> None:
        """Forgets a target that restarted or is gone."""
        self._records.pop(target, None)

    @staticmethod
    def _faded(record: _Record, now: float) -> float:
        return record.failures * max(0.0, 1 - (now - record.at) / _FADE_S)
