"""Charging of grants, first at the estimated and then at the actual cost."""

from collections.abc import Callable

from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock
from crowwinch.scheduling._estimates import CostEstimator
from crowwinch.scheduling._fair_queue import Entry, FairQueue
from crowwinch.scheduling._interfaces import SlotOutcome
from crowwinch.scheduling._records import GrantRecord


class GrantLedger:
    """Updates accounts and cost estimates as grants start and end.

    Attributes:
        queue: Holds the accounts of workspaces and their waiting entries.
        estimator: Estimates the cost of new grants.
    """

    def __init__(self, clock: Clock, snapshot: Callable[[], Snapshot]) -> None:
        """Creates a ledger with empty accounts.

        Args:
            clock: Clock of the queue.
            snapshot: Returns the current configuration.
        """
        self.queue = FairQueue(clock, snapshot)
        self.estimator = CostEstimator()

    def open(self, entry: Entry, charged: int = 0) -> GrantRecord:
        """Charges an entry and returns its grant.

        Args:
            entry: Entry for which the grant is made.
            charged: Cost to charge in service units, 0 for the estimate.
        """
        cost = charged or self.estimator.estimate(
            entry.workspace, entry.group, entry.hint
        )
        grant = GrantRecord(entry, cost, 1.0)
        self._charge(grant)
        return grant

    def reopen(self, grant: GrantRecord, entry: Entry, charged: int) -> None:
        """Charges another entry that reuses a settled grant."""
        grant.entry = entry
        grant.charged = max(charged, 1)
        self._charge(grant)

    def restore(self, grant: GrantRecord) -> None:
        """Records a grant that an earlier scheduler has charged."""
        grant.weight = self.queue.limits(grant.entry.workspace).weight
        self._begin_in_queue(grant)

    def charge_overrun(self, grant: GrantRecord) -> None:
        """Doubles the charge of a grant whose cost exceeds it."""
        entry = grant.entry
        self._charge_queue(grant, grant.charged)
        weighted_charge = grant.charged / grant.weight
        self.queue.extend(entry.workspace, entry.group, weighted_charge)
        grant.charged *= 2

    def end_use(self, grant: GrantRecord) -> None:
        """Ends the use of a grant without changing its charge."""
        entry = grant.entry
        weighted_charge = grant.charged / grant.weight
        self.queue.end(entry.workspace, entry.group, weighted_charge)

    def settle(
        self, grant: GrantRecord, cost: int, outcome: SlotOutcome
    ) -> None:
        """Ends the use of a grant and charges the actual cost.

        Args:
            grant: Grant of the entry.
            cost: Actual cost in service units.
            outcome: Result of using the slot. Only served requests contribute
                to the cost estimate.
        """
        entry = grant.entry
        self.end_use(grant)
        self.settle_charge(grant, cost)
        if outcome == SlotOutcome.SERVED:
            self.estimator.observe(
                entry.workspace, entry.group, entry.hint, cost
            )

    def settle_charge(self, grant: GrantRecord, cost: int) -> None:
        """Replaces the charged cost with the actual cost in service units."""
        difference = cost - grant.charged
        grant.charged = cost
        if difference:
            self._charge_queue(grant, difference)

    def _charge(self, grant: GrantRecord) -> None:
        grant.weight = self.queue.limits(grant.entry.workspace).weight
        self._charge_queue(grant, grant.charged)
        self._begin_in_queue(grant)

    def _begin_in_queue(self, grant: GrantRecord) -> None:
        entry = grant.entry
        weighted_charge = grant.charged / grant.weight
        self.queue.begin(entry.workspace, entry.group, weighted_charge)

    def _charge_queue(self, grant: GrantRecord, cost: int) -> None:
        entry = grant.entry
        self.queue.charge(entry.workspace, cost, grant.weight, entry.group)
