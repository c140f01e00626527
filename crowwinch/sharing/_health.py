"""Health of targets, derived from their responses."""

from dataclasses import dataclass

from crowwinch.coordination import Clock

# Initial back-off after a failed connection; doubles with each further failure.
_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 4.0
# Targets that asked for a pause; the oldest are forgotten first.
_MAX_HOLDS = 1_000
# Weight of the latest response in the moving average of failures.
_SMOOTHING_FACTOR = 0.2
# Minimum failure rate at which a target counts as failing.
_FAILING_THRESHOLD = 0.25
# Without new responses the failure rate decays linearly to 0 over this time.
_DECAY_S = 3.0


@dataclass(slots=True)
class _Record:
    failures: float = 0.0
    at: float = 0.0
    backoff_s: float = _INITIAL_BACKOFF_S
    blocked_until: float = 0.0


class TargetHealth:
    """Tracks failed responses and connections of each target."""

    def __init__(self, clock: Clock) -> None:
        """Creates an instance without records."""
        self._clock = clock
        self._records: dict[str, _Record] = {}
        # End of each pause by target and its start time. A target that is
        # removed from the directory and comes back still wants its pause.
        self._holds: dict[tuple[str, int], float] = {}

    def record_response(self, target: str, is_good: bool) -> None:
        """Records whether a response was complete, or failed or truncated."""
        record = self._records.setdefault(target, _Record())
        now = self._clock.monotonic()
        record.failures = self._decayed_rate(record, now) * (
            1 - _SMOOTHING_FACTOR
        )
        record.at = now
        if is_good:
            record.backoff_s = _INITIAL_BACKOFF_S
            record.blocked_until = 0.0
        else:
            record.failures += _SMOOTHING_FACTOR

    def record_connection_failure(self, target: str) -> None:
        """Records a failed connection attempt and starts the back-off."""
        record = self._records.setdefault(target, _Record())
        now = self._clock.monotonic()
        if record.blocked_until > now:
            return
        record.blocked_until = now + record.backoff_s
        record.backoff_s = min(record.backoff_s * 2, _MAX_BACKOFF_S)

    def hold(self, target: str, life: int, seconds: float) -> None:
        """Sends nothing to a target for a time that it asked for.

        Args:
            target: Identifier of the target.
            life: Start of the target; a restart ends the pause.
            seconds: Length of the pause in seconds.
        """
        until = self._clock.monotonic() + seconds
        known = self._holds.pop((target, life), 0.0)
        self._holds[target, life] = max(until, known)
        if len(self._holds) > _MAX_HOLDS:
            del self._holds[next(iter(self._holds))]

    def hold_left_s(self, target: str, life: int) -> float:
        """Returns the seconds until a target wants requests again."""
        if not self._holds:
            return 0.0
        until = self._holds.get((target, life), 0.0)
        return max(until - self._clock.monotonic(), 0.0)

    def is_blocked(self, target: str) -> bool:
        """Returns whether a target is in back-off after a failed connection."""
        record = self._records.get(target)
        if record is None or not record.blocked_until:
            return False
        return record.blocked_until > self._clock.monotonic()

    def failing_share(self, target: str) -> float:
        """Returns the failure rate, or 0 if it is below the threshold."""
        record = self._records.get(target)
        if record is None or record.failures < _FAILING_THRESHOLD:
            return 0.0
        share = self._decayed_rate(record, self._clock.monotonic())
        return share if share >= _FAILING_THRESHOLD else 0.0

    def remove_target(self, target: str) -> None:
        """Removes the record of a target that restarted or was removed."""
        self._records.pop(target, None)

    @staticmethod
    def _decayed_rate(record: _Record, now: float) -> float:
        return record.failures * max(0.0, 1 - (now - record.at) / _DECAY_S)
