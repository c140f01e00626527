"""Requests that wait and can be answered in time.

Load: more is asked than all targets serve. While such requests wait, a slot is
worth more to them than to a request that can only be late.
"""

from collections import defaultdict

from crowwinch.sharing._ticket import Ticket


class TimelyRequests:
    """Tracks the waiting requests of each service whose callers are in time."""

    def __init__(self) -> None:
        """Creates an instance without requests."""
        self._waiting: defaultdict[str, set[Ticket]] = defaultdict(set)

    def add(self, ticket: Ticket) -> None:
        """Records that a request waits."""
        if not ticket.is_late:
            self._waiting[ticket.work.service].add(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Records that a request no longer waits."""
        self._waiting[ticket.work.service].discard(ticket)

    def has_others(self, ticket: Ticket) -> bool:
        """Returns whether others than a given request wait for its service."""
        waiting = self._waiting[ticket.work.service]
        return len(waiting) > (ticket in waiting)
