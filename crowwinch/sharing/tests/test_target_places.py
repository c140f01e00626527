"""Tests of requests that only targets in some places may run."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.sharing import (
    Admission,
    EngineSpeeds,
    Placer,
    PrefixCacheTracker,
    TargetHealth,
    TargetLimits,
    TargetLoads,
    TargetView,
    Ticket,
    Verdict,
    Work,
    WorkspaceShares,
)

_SLOTS = 2
_DEADLINE_S = 8.0
_NORTH, _SOUTH = frozenset(["north"]), frozenset(["south"])


def _view(name, region, version="v1"):
    return TargetView(
        name,
        1,
        "llm",
        False,
        _SLOTS,
        memory_tokens=500_000,
        is_engine=True,
        software_version=version,
        region=region,
    )


_N1, _N2 = _view("n1", "north"), _view("n2", "north", "v2")
_S1, _UNKNOWN = _view("s1", "south"), _view("u1", "")


class _Router:
    """Admission control of a router and the targets that it knows."""

    def __init__(self, available, evacuated=()):
        self.available, self.evacuated = list(available), list(evacuated)
        self.clock = ManualClock(100.0)
        self.loads = TargetLoads(self.clock)
        self.health = TargetHealth(self.clock)
        self.admission = Admission(
            self.clock,
            Placer(
                self.loads,
                PrefixCacheTracker(self.clock),
                EngineSpeeds(),
                self.health,
                TargetLimits([]),
            ),
            WorkspaceShares(self.clock, 4.0),
            lambda service: self.available,
            lambda: 0.5,
            lambda service: self.evacuated,
        )
        self.decisions = []

    def submit(self, **options):
        """Submits a request; its decision is added when it is taken."""
        now = self.clock.monotonic()
        number = len(self.decisions)
        self.decisions.append(None)

        def on_decision(decision):
            self.decisions[number] = decision
            if decision.verdict is Verdict.SEND:
                self.loads.reserve_decided(decision)

        work = Work("llm", "w", target_latency_s=1.0)
        ticket = Ticket(work, now, now + _DEADLINE_S, on_decision, **options)
        self.admission.submit(ticket)
        return ticket

    def decide(self, **options):
        """Returns what is decided at once, None if the request waits."""
        self.submit(**options)
        return self.decisions[-1]

    def fill(self, region):
        """Lets requests take all slots of a region."""
        for target in self.available:
            if target.region == region:
                for _ in range(_SLOTS):
                    self.loads.reserve(target.identifier, 0.0)

    def evacuate(self, *targets):
        self.available = [
            each for each in self.available if each not in targets
        ]
        self.evacuated = [*self.evacuated, *targets]
        self.admission.note_targets_changed()

    @property
    def outcomes(self):
        """Target or verdict of each request, None while it waits."""
        return [
            decision and (decision.target or decision.verdict)
            for decision in self.decisions
        ]


class PlacesTest(unittest.TestCase):
    """Guards against requests sent to places where they must not run.

    Also against callers who wait for a refusal that is certain.
    """

    _CASES = (
        # Name, available, evacuated, options of the request, outcome.
        ("no restriction", [_N1], [], {}, "n1"),
        ("one zone evacuated", [_S1], [_N1], {}, "s1"),
        ("all evacuated", [], [_N1, _S1], {}, Verdict.REFUSE_EVACUATED),
        ("no targets", [], [], {}, None),
        (
            "other targets failed this request",
            [_S1],
            [_N1],
            {"excluded": {"s1"}},
            Verdict.REFUSE_EVACUATED,
        ),
        ("all failed this request", [_S1], [], {"excluded": {"s1"}}, None),
        (
            "the version of a stream is evacuated",
            [_N1],
            [_N2],
            {"software_version": "v2"},
            Verdict.REFUSE_EVACUATED,
        ),
        (
            "the version of a stream is gone",
            [_N1],
            [],
            {"software_version": "v2"},
            None,
        ),
        ("home", [_N1, _S1], [], {"home_regions": _SOUTH}, "s1"),
        (
            "several homes",
            [_UNKNOWN, _S1],
            [],
            {"home_regions": _NORTH | _SOUTH},
            "s1",
        ),
        (
            "home without targets",
            [_N1],
            [],
            {"home_regions": _SOUTH},
            Verdict.REFUSE_NO_HOME_TARGET,
        ),
        (
            "service without targets",
            [],
            [],
            {"home_regions": _SOUTH},
            Verdict.REFUSE_NO_HOME_TARGET,
        ),
        (
            "homes of route and workspace exclude each other",
            [_N1, _S1],
            [],
            {"home_regions": _NORTH & _SOUTH},
            Verdict.REFUSE_NO_HOME_TARGET,
        ),
        (
            "target of an unknown zone",
            [_UNKNOWN],
            [],
            {"home_regions": _NORTH},
            Verdict.REFUSE_NO_HOME_TARGET,
        ),
        (
            "home evacuated",
            [_S1],
            [_N1],
            {"home_regions": _NORTH},
            Verdict.REFUSE_EVACUATED,
        ),
        (
            "home and version",
            [_N1, _N2, _S1],
            [],
            {"home_regions": _NORTH, "software_version": "v2"},
            "n2",
        ),
    )

    def test_decisions(self):
        for name, available, evacuated, options, expected in self._CASES:
            with self.subTest(name):
                router = _Router(available, evacuated)
                router.submit(**options)
                self.assertEqual(router.outcomes, [expected])

    def test_refusals_behind_a_queue(self):
        """Guards against certain refusals that come after the queue."""
        refusals = [
            each for each in self._CASES if isinstance(each[-1], Verdict)
        ]
        for name, available, evacuated, options, expected in refusals:
            with self.subTest(name):
                router = _Router(available, evacuated)
                # Waits for an entry of a target that has just left.
                waiting = router.submit(software_version="none")
                self.assertFalse(waiting.is_done)
                router.submit(**options)
                self.assertEqual(router.outcomes[-1], expected)

    def test_refusals_tell_when_to_return(self):
        for evacuated in ([], [_N1]):
            decision = _Router([], evacuated).decide(home_regions=_NORTH)
            self.assertGreater(decision.retry_after_s, 0.0)

    def test_a_target_that_wants_no_requests_is_no_reason_to_refuse(self):
        """Guards against a refusal that blames the evacuation of others."""
        router = _Router([_S1], [_N1])
        router.health.hold("s1", 1, 0.1)
        self.assertIsNone(router.decide())


class WaitingTest(unittest.TestCase):
    """Guards against waiting requests that miss a change of the targets."""

    def test_waiting_requests_move_to_other_zones(self):
        router = _Router([_N1])
        router.fill("north")
        router.submit()
        self.assertEqual(router.outcomes, [None])
        router.available.append(_S1)
        router.evacuate(_N1)
        self.assertEqual(router.outcomes, ["s1"])

    def test_all_waiting_requests_are_refused_at_once(self):
        """Guards against a poll that stops after a few undecided requests."""
        router = _Router([_N1, _S1])
        router.fill("north")
        router.fill("south")
        homes = [None] * 20 + [_NORTH] * 20
        for home_regions in homes:
            router.submit(home_regions=home_regions)
        router.evacuate(_N1)
        refused = [None] * 20 + [Verdict.REFUSE_EVACUATED] * 20
        self.assertEqual(router.outcomes, refused)
        router.evacuate(_S1)
        self.assertEqual(router.outcomes, [Verdict.REFUSE_EVACUATED] * 40)
        self.assertEqual(router.admission.waiting, 0)

    def test_a_full_home_does_not_hold_up_requests_of_other_homes(self):
        """Guards against free targets while requests for them wait.

        A poll tried eight requests of a workspace, then no other.
        """
        router = _Router([_N1, _S1])
        router.fill("north")
        for _ in range(12):
            router.submit(home_regions=_NORTH)
        self.assertEqual(router.decide(home_regions=_SOUTH).target, "s1")
        router.fill("south")
        router.submit(home_regions=_SOUTH)
        self.assertEqual(router.outcomes[-1], None)
        router.available.append(_view("s2", "south"))
        router.admission.poll()
        self.assertEqual(router.outcomes[-1], "s2")

    def test_withdrawn_requests_are_not_refused(self):
        router = _Router([_N1])
        router.fill("north")
        router.admission.withdraw(router.submit())
        router.evacuate(_N1)
        self.assertEqual(router.outcomes, [None])


if __name__ == "__main__":
    unittest.main()
