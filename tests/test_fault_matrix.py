"""The fault matrix with separate processes; docs/faults.md lists the cases."""

import collections
import signal
import time
import unittest

from tests import fault_load
from tests import fault_matrix as matrix

# Time in which the fleet answers through every router again after a fault's
# end: 4 s for the detection of a lost router and its scheduler, and 6 s for a
# router that starts.
_RECOVERY_S = 10.0


class _MatrixCase(unittest.TestCase):
    """One fleet for all cases of a class."""

    cases = 0

    @classmethod
    def setUpClass(cls):
        cls.fleet = matrix.start_fleet()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()
        print(f"{cls.__name__}: {cls.cases} cases")

    def setUp(self):
        # A case that failed must not make the next ones fail.
        if self.fleet.has_exited_router:
            self.fleet.stop()
            type(self).fleet = matrix.start_fleet()

    def _case(self, name, inject, heal, lost_counts=False, during_s=2.0):
        """Runs load, a fault, its end, and checks all invariants.

        `inject` and `heal` take the fleet; the fault lasts until heal.
        """
        with self.subTest(name):
            type(self).cases += 1
            load = self.load = fault_load.Load(name)
            routers = [(each.name, each.url) for each in self.fleet.routers]
            try:
                load.begin(routers)
                self._wait_served(load, 10.0)
                inject(self.fleet)
                time.sleep(during_s)
                heal(self.fleet)
                took = self._wait_served(load, _RECOVERY_S)
            finally:
                records = load.finish()
            runs = matrix.count_runs(self.fleet)
            found = matrix.problems(records, runs, lost_counts)
            self.assertEqual(found[:5], [], f"{len(found)} problems")
            outcomes = collections.Counter(each.outcome for each in records)
            print(f"{name}: {dict(outcomes)}, recovered {took:.1f} s")
            return records

    def _wait_served(self, load, timeout_s):
        """Waits until every router gave correct answers of every kind."""
        start = len(load.records)

        def is_served():
            served = {
                (record.router, record.kind)
                for record in load.records[start:]
                if record.outcome == "correct"
            }
            return len(served) == len(self.fleet.routers) * len(
                fault_load.KINDS
            )

        return matrix.wait_until(is_served, timeout_s, "all routers serve")

    def _router(self, is_scheduler):
        index = matrix.scheduler_index(self.fleet)
        if is_scheduler:
            return index
        return (index + 1) % len(self.fleet.routers)


def _nothing(fleet):
    del fleet


class RouterFaultTest(_MatrixCase):
    """Guards against lost and doubled requests when routers fail."""

    def _restart(self, index):
        self.fleet.restart_router(index)
        self.fleet.wait_ready()

    def _wait_members(self):
        matrix.wait_members(self.fleet)

    def test_kill_and_restart_without_memory(self):
        for is_scheduler in (True, False):
            index = self._router(is_scheduler)
            kind = "the scheduler's router" if is_scheduler else "another"
            self._case(
                f"SIGKILL of {kind}",
                lambda fleet, index=index: fleet.routers[index].kill(),
                lambda fleet, index=index: self._restart(index),
            )
            self._wait_members()

    def test_restart_at_once(self):
        def inject(fleet):
            fleet.routers[index].kill()
            self._restart(index)

        index = self._router(True)
        self._case("restart without memory", inject, _nothing, during_s=0.5)
        self._wait_members()

    def test_freeze(self):
        for is_scheduler in (True, False):
            index = self._router(is_scheduler)
            kind = "the scheduler's router" if is_scheduler else "another"
            router = self.fleet.routers[index]
            self._case(
                f"SIGSTOP of {kind} for 3 s",
                lambda fleet, router=router: router.signal(signal.SIGSTOP),
                lambda fleet, router=router: router.signal(signal.SIGCONT),
                during_s=3.0,
            )
            self._wait_members()

    def _stop(self, index):
        router = self.fleet.routers[index]
        router.signal(signal.SIGTERM)
        router.signal(signal.SIGTERM)
        self.assertEqual(router.handle.wait(15), 0)

    def _check_stop(self, records):
        """A planned stop breaks no request that a router had accepted."""
        cut = [
            record
            for record in records
            if record.outcome == "broken"
            and "ClientConnectorError" not in record.detail
        ]
        self.assertEqual(cut[:5], [], f"{len(cut)} requests cut")

    def test_graceful_stop(self):
        for is_scheduler in (True, False):
            index = self._router(is_scheduler)
            kind = "the scheduler's router" if is_scheduler else "another"
            records = self._case(
                f"SIGTERM twice of {kind}",
                lambda fleet, index=index: self._stop(index),
                lambda fleet, index=index: self._restart(index),
                during_s=0.5,
            )
            self._check_stop(records or [])
            self._wait_members()

    def test_fleet_replaced_one_by_one(self):
        def replace(fleet):
            for index in range(len(fleet.routers)):
                self._stop(index)
                self._restart(index)

        records = self._case(
            "fleet replaced one by one", replace, _nothing, during_s=0
        )
        self._check_stop(records or [])
        self._wait_members()

    def _flood(self):
        """Sends 200 requests of one workspace at once through all routers."""
        for number in range(200):
            router = self.fleet.routers[number % len(self.fleet.routers)]
            record = self.load.new_record("whole", router.name, "large")
            self.flood.append(
                self.load.submit(
                    self.load.caller.send(record, router.url, tokens=60)
                )
            )

    def _end_flood(self):
        for future in self.flood:
            future.result(30)
        self.flood.clear()

    def _change(self, actions, pair):
        """Applies actions to the scheduler's router and to another one."""
        for action, index in reversed(list(zip(actions, pair, strict=True))):
            router = self.fleet.routers[index]
            if action in (signal.SIGSTOP, signal.SIGCONT, signal.SIGKILL):
                router.signal(action)
            elif action == "restart":
                router.handle.wait(5)
                self.fleet.restart_router(index)
            else:
                action()

    def test_pairs(self):
        self.flood = []
        kill, freeze = signal.SIGKILL, signal.SIGSTOP
        engine = "engine-1"
        # Faults of the scheduler's router and another one, and their ends.
        cases = (
            ("two routers killed", (kill, kill), ("restart", "restart"), 2),
            (
                "router killed while another is frozen",
                (kill, freeze),
                ("restart", signal.SIGCONT),
                3,
            ),
            (
                "scheduler's router frozen, engine killed",
                (freeze, lambda: self.fleet.targets[engine].kill()),
                (signal.SIGCONT, lambda: self.fleet.restart_target(engine)),
                3,
            ),
            ("flood, router killed", (self._flood, kill), None, 2),
            ("flood, scheduler's router killed", (kill, self._flood), None, 2),
        )
        for name, faults, ends, during_s in cases:
            first = self._router(True)
            pair = first, (first + 1) % len(self.fleet.routers)
            ends = ends or [
                "restart" if each == kill else self._end_flood
                for each in faults
            ]

            def heal(_, ends=ends, pair=pair):
                self._change(ends, pair)
                self.fleet.wait_ready()

            self._case(
                name,
                lambda _, faults=faults, pair=pair: self._change(faults, pair),
                heal,
                lost_counts="engine" in name,
                during_s=during_s,
            )
            self._wait_members()

    def _replace(self, index, names):
        """Replaces a VM; the list shows both changes 1.5 s late."""
        old = self.fleet.routers[index]
        self._stop(index)
        self.fleet.replace_router(index, f"{names[index]}-new")
        names[index] = f"{names[index]}-new"
        time.sleep(1.5)
        self.fleet.list_running()
        self.fleet.wait_ready()
        self.assertNotEqual(self.fleet.routers[index].name, old.name)

    def test_fleet_replaced_while_the_vm_list_lags(self):
        names = [each.name for each in self.fleet.routers]

        def replace(fleet):
            for index in range(len(fleet.routers)):
                self._replace(index, names)

        records = self._case(
            "fleet replaced, VM list lags", replace, _nothing, during_s=0
        )
        self._check_stop(records or [])
        self._wait_members()
