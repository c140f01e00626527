"""Charges of grants, from the estimate to the real cost."""

from collections.abc import Callable

from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock
from crowwinch.scheduling._estimates import CostEstimator
from crowwinch.scheduling._fair_queue import Entry, FairQueue
from crowwinch.scheduling._interfaces import SlotOutcome
from crowwinch.scheduling._records import GrantRecord


class GrantLedger:
    """Keeps accounts and estimates in step with grants."""

    def __init__(self, clock: Clock, snapshot: Callable[[], Snapshot]) -> None:
        """Creates empty accounts."""
        self.queue = FairQueue(clock, snapshot)
        self.estimator = CostEstimator()

    def open(self, entry: Entry, charged: int = 0) -> GrantRecord:
        """Charges an entry.

        Args:
            entry: What the grant is for.
            charged: Cost to charge, 0 for the estimate.
        """
        cost = charged or self.estimator.estimate(
            entry.workspace, entry.group, entry.hint
        )
        grant = GrantRecord(entry, cost, 1.0)
        self._charge(grant)
        return grant

    def reopen(self, grant: GrantRecord, entry: Entry, charged: int) -> None:
        """Charges another entry that took over a settled grant."""
        grant.entry = entry
        grant.charged = max(charged, 1)
        self._charge(grant)

    def restore(self, grant: GrantRecord) -> None:
        """Counts a grant that an earlier scheduler charged."""
        workspace = grant.entry.workspace
        grant.weight = self.queue.limits(workspace).weight
        self.queue.begin(workspace)

    def overrun(self, grant: GrantRecord) -> None:
        """Charges the charged cost once more."""
        self._add(grant, grant.charged)
        grant.charged *= 2

    def settle(
        self, grant: GrantRecord, cost: int, outcome: SlotOutcome
    ) -> None:
        """Ends the use of a grant by its entry at the real cost."""
        entry = grant.entry
        self.settle_charge(grant, cost)
        self.queue.end(entry.workspace)
        if outcome == SlotOutcome.SERVED:
            self.estimator.observe(
                entry.workspace, entry.group, entry.hint, cost
            )

    def settle_charge(self, grant: GrantRecord, cost: int) -> None:
        """Replaces the charged cost by the real cost."""
        difference = cost - grant.charged
        grant.charged = cost
        if difference:
            self._add(grant, difference)

    def _charge(self, grant: GrantRecord) -> None:
        workspace = grant.entry.workspace
        grant.weight = self.queue.limits(workspace).weight
        self._add(grant, grant.charged)
        self.queue.begin(workspace)

    def _add(self, grant: GrantRecord, cost: int) -> None:
        entry = grant.entry
        self.queue.charge(entry.workspace, cost, grant.weight, entry.group)
