"""Batching delay of new demand entries."""

from collections.abc import Callable

from crowwinch.scheduling._slots import WaitingRequest, WaitingTable

# An entry with this many entries of its workspace and group ahead of it is
# batched with the next message: the scheduler can grant the others first.
_ENTRIES_AHEAD = 4
_DELAY_BEHIND_OTHERS_S = 0.5
# If the forecast wait of a group exceeds this, a new entry is delayed briefly
# to be batched with a completion, which frees a slot and must not be held back
# for lack of send credit.
_BUSY_FORECAST_S = 0.5
_BUSY_DELAY_S = 0.4


def entry_delay(
    waiting: WaitingRequest,
    table: WaitingTable,
    forecast: Callable[[int], float],
    now: float,
) -> float:
    """Returns the maximum batching delay of an entry in seconds.

    Args:
        waiting: The new request.
        table: All requests waiting at this router.
        forecast: Returns the expected wait for a slot of a group in
            seconds.
        now: Monotonic time in seconds.
    """
    if waiting.is_urgent(now):
        # Sent without delay, as the scheduler immediately refuses requests
        # that it cannot serve before their deadline.
        return 0.0
    if table.count_ahead(waiting, _ENTRIES_AHEAD) == _ENTRIES_AHEAD:
        return _DELAY_BEHIND_OTHERS_S
    is_busy = forecast(waiting.request.group) > _BUSY_FORECAST_S
    return _BUSY_DELAY_S if is_busy else 0.0
