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
        grant.weight = self.queue.limits(grant.entry.workspace).weight
        self._begin(grant)

    def overrun(self, grant: GrantRecord) -> None:
        """Charges the charged cost once more."""
        entry = grant.entry
        self._add(grant, grant.charged)
        charge = grant.charged / grant.weight
        self.queue.extend(entry.workspace, entry.group, charge)
        grant.charged *= 2

    def drop(self, grant: GrantRecord) -> None:
        """Ends the use of a grant and leaves its charge as it is."""
        entry = grant.entry
        charge = grant.charged / grant.weight
        self.queue.end(entry.workspace, entry.group, charge)

    def settle(
        self, grant: GrantRecord, cost: int, outcome: SlotOutcome
    ) -> None:
        """Ends the use of a grant by its entry at the real cost."""
        entry = grant.entry
        self.drop(grant)
        self.settle_charge(grant, cost)
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
        grant.weight = self.queue.limits(grant.entry.workspace).weight
        self._add(grant, grant.charged)
        self._begin(grant)

    def _begin(self, grant: GrantRecord) -> None:
        entry = grant.entry
        charge = grant.charged / grant.weight
        self.queue.begin(entry.workspace, entry.group, charge)

    def _add(self, grant: GrantRecord, cost: int) -> None:
        entry = grant.entry
        self.queue.charge(entry.workspace, cost, grant.weight, entry.group)
