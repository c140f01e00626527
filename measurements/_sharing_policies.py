"""The ways in which routers can share engines."""

from collections.abc import Callable, Mapping

from crowwinch.sharing import WorkspaceUse
from measurements._sharing_world import PERIOD_S, Load, Node, SharingWorld
from standins.engine_model import Job

# Updates of a router in one period; larger fleets are served in turn.
_FAN_OUT = 12
# Time between two reports of shares to a peer in a small fleet. In a large one
# each update has them.
_SHARES_PERIOD_S = 0.2
# Routers of one service are a hop of this time apart.
_HOP_S = 0.001
# Delay of each message of a router that lags.
_LAG_S = 0.4
# Silence of a scheduler until another router takes over: half a second without
# a message, and as much until the others have registered with it.
_TAKEOVER_S = 1.0


class LeastInFlight(SharingWorld):
    """Each request goes to the engine with the fewest; nothing waits."""

    def submit(self, job: Job, router: int) -> None:
        """Sends a request at once."""
        del router
        min(
            self.engines.values(),
            key=lambda engine: engine.active + len(engine.waiting),
        ).send(job)


class OneQueue(SharingWorld):
    """One place decides at once and sees everything: the bound."""

    def __init__(self, load: Load, seed: int) -> None:
        """Creates the one node."""
        super().__init__(load, seed)
        self._node = self.make_node()

    def submit(self, job: Job, router: int) -> None:
        """Decides at once."""
        del router
        self.submit_to(self._node, job)


class Scheduler(SharingWorld):
    """(a) One router grants each start to the others.

    A frozen or cut scheduler is replaced; its successor knows what the routers
    have at the engines, but requests wait until then. A lagging one answers
    late.
    """

    def __init__(self, load: Load, seed: int) -> None:
        """Creates the scheduler."""
        super().__init__(load, seed)
        self._node = self.make_node()

    def submit(self, job: Job, router: int) -> None:
        """Asks the scheduler for a start."""
        del router
        now = self.clock.monotonic()
        hop_s = _HOP_S
        asked = now + hop_s
        if self.is_faulty and self.load.fault == "lagging":
            hop_s = _LAG_S
            asked = now + hop_s
        elif _has_no_scheduler(self.load, now):
            asked = self.load.fault_start_s + _TAKEOVER_S + hop_s
        self.events.at(asked, lambda: self.submit_to(self._node, job, hop_s))


class LocalDecisions(SharingWorld):
    """(b) Each router decides from its own counts and those of the others."""

    def __init__(self, load: Load, seed: int) -> None:
        """Creates a node for each router."""
        super().__init__(load, seed)
        self.nodes = [self.make_node() for _ in range(load.routers)]
        self._turns = [0] * load.routers
        self._updates = [0] * load.routers
        # A fifth of the routers has the fault.
        self._faulty = set(range(0, load.routers, 5))

    def tick(self) -> None:
        """Lets each router send its counts to the next ones in turn.

        Routers are started at different times, so their periods are not in
        step. If all of them decided at the same instant, all would send to the
        same target.
        """
        now = self.clock.monotonic()
        for index, node in enumerate(self.nodes):
            phase_s = PERIOD_S * index / len(self.nodes)
            self.events.at(
                now + phase_s,
                lambda index=index, node=node: self._refresh(index, node),
            )

    def _refresh(self, index: int, node: Node) -> None:
        if not self._is_out(index, "frozen"):
            node.refresh()
            self._send_update(index, node)

    def submit(self, job: Job, router: int) -> None:
        """Decides at the router that the request came to."""
        if self._is_out(router, "frozen"):
            # Its balancer sends to another one; a connection is tried anew.
            router = (router + 1) % len(self.nodes)
        self.submit_to(self.nodes[router], job)

    def _is_out(self, index: int, fault: str) -> bool:
        return (
            self.load.fault == fault
            and self.is_faulty
            and index in self._faulty
        )

    def _send_update(self, index: int, node: Node) -> None:
        others = len(self.nodes) - 1
        if not others:
            return
        rounds = -(-others // _FAN_OUT)
        node.reads = [(left - 1, read) for left, read in node.reads if left > 1]
        node.reads += [
            (rounds, read) for read in node.prefixes.take_unsent_prefills()
        ]
        loads = node.loads.own_use()
        shares = self._take_shares(index, node, rounds)
        reads = [read for _, read in node.reads]
        lag_s = _LAG_S if self._is_out(index, "lagging") else _HOP_S
        for step in range(min(_FAN_OUT, others)):
            peer = (index + 1 + (self._turns[index] + step) % others) % len(
                self.nodes
            )
            is_cut = self._is_out(index, "cut") or self._is_out(peer, "cut")
            if is_cut or self._is_out(peer, "frozen"):
                continue

            def deliver(receiver: Node = self.nodes[peer]) -> None:
                receiver.loads.replace_peer_report(str(index), loads)
                if shares is not None:
                    receiver.shares.replace_peer_report(str(index), shares)
                receiver.prefixes.merge_peer_prefills(reads)

            self.events.at(self.clock.monotonic() + lag_s, deliver)
        self._turns[index] = (self._turns[index] + _FAN_OUT) % others

    def _take_shares(
        self, index: int, node: Node, rounds: int
    ) -> list[WorkspaceUse] | None:
        """Returns the shares to report with this update, None if not due.

        Each peer gets an update in a round of several periods.

        Args:
            index: Number of the router.
            node: The router.
            rounds: Number of periods.
        """
        interval_s = _shares_period_s(rounds)
        between = max(round(interval_s / (PERIOD_S * rounds)), 1)
        # Routers were started at different times, so they are not in step.
        number = self._updates[index] // rounds + index
        self._updates[index] += 1
        return None if number % between else node.shares.own_use(interval_s)


class LocalPlacing(LocalDecisions):
    """(c) As (b), but a scheduler orders the starts under overload."""

    def __init__(self, load: Load, seed: int) -> None:
        """Creates the routers and the scheduler."""
        super().__init__(load, seed)
        self._scheduler = self.make_node()

    def tick(self) -> None:
        """Lets the scheduler hear of all that routers sent themselves."""
        super().tick()
        for index, node in enumerate(self.nodes):
            self._scheduler.loads.replace_peer_report(
                str(index), node.loads.own_use()
            )
            self._scheduler.shares.replace_peer_report(
                str(index), node.shares.own_use()
            )
        self._scheduler.refresh()

    def submit(self, job: Job, router: int) -> None:
        """Asks the scheduler if more is asked than can be done."""
        now = self.clock.monotonic()
        is_lost = _has_no_scheduler(self.load, now)
        if is_lost or self._scheduler.shares.level == float("inf"):
            super().submit(job, router)
            return
        hop_s = _HOP_S
        if self.load.fault == "lagging" and self.is_faulty:
            hop_s = _LAG_S
        self.events.at(
            now + hop_s, lambda: self.submit_to(self._scheduler, job, hop_s)
        )


POLICIES: Mapping[str, Callable[[Load, int], SharingWorld]] = {
    "one queue": OneQueue,
    "scheduler": Scheduler,
    "local": LocalDecisions,
    "local and scheduler": LocalPlacing,
    "least in flight": LeastInFlight,
}


def _shares_period_s(rounds: int) -> float:
    """Returns the time between two reports of shares to a peer in seconds.

    Args:
        rounds: Periods in which each peer gets an update.
    """
    return max(_SHARES_PERIOD_S, PERIOD_S * rounds)


def _has_no_scheduler(load: Load, now: float) -> bool:
    """Returns whether a lost scheduler has no successor yet."""
    since = now - load.fault_start_s
    return load.fault in ("frozen", "cut") and 0.0 <= since < _TAKEOVER_S
