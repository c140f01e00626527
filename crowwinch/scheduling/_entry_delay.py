"""How long a new entry may wait for other events to travel with."""

from collections.abc import Callable

from crowwinch.scheduling._slots import WaitingRequest, WaitingTable

# Entries behind this many of their workspace and group wait for a message that
# leaves anyway: until then the scheduler has others to grant.
_ENTRIES_AHEAD = 4
_DELAY_BEHIND_OTHERS_S = 0.5
# In a group in which entries wait longer than this, a new entry waits a short
# time for a completion, which frees a slot and must not wait for credit.
_BUSY_FORECAST_S = 0.5
_BUSY_DELAY_S = 0.4


def entry_delay(
    waiting: WaitingRequest,
    table: WaitingTable,
    forecast: Callable[[int], float],
    now: float,
) -> float:
    """Returns the longest delay of an entry in seconds.

    Args:
        waiting: The new request.
        table: All requests that wait at this router.
        forecast: Returns the wait for a slot of a group in seconds.
        now: Monotonic time in seconds.
    """
    if waiting.is_urgent(now):
        # The scheduler refuses at once what it cannot serve in time.
        return 0.0
    if table.ahead(waiting, _ENTRIES_AHEAD) == _ENTRIES_AHEAD:
        return _DELAY_BEHIND_OTHERS_S
    is_busy = forecast(waiting.request.group) > _BUSY_FORECAST_S
    return _BUSY_DELAY_S if is_busy else 0.0
