"""Faults of targets and of the platform under load, with real processes."""

import collections
import json
import threading
import time
import unittest
from concurrent import futures

from standins.processes import call
from tests import fault_load
from tests import fault_matrix as matrix

_RECOVERY_S = 10.0
_HEADERS = {"Authorization": "Bearer key-supplier"}


class TargetFaultTest(unittest.TestCase):
    """Guards against lost, doubled or cut answers when targets fail."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = matrix.start_fleet()
        cls.cases = 0

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()
        print(f"{cls.__name__}: {cls.cases} cases")

    def _wait_served(self, load):
        start = len(load.records)
        wanted = {
            (router.name, kind)
            for router in self.fleet.routers
            for kind in fault_load.KINDS
        }

        def is_served():
            return wanted <= {
                (record.router, record.kind)
                for record in load.records[start:]
                if record.outcome == "correct"
            }

        return matrix.wait_until(is_served, _RECOVERY_S, "all routers serve")

    def _run(self, name, inject, heal, during_s=1.5, lost_counts=False):
        type(self).cases += 1
        load = fault_load.Load(name)
        try:
            load.begin([(each.name, each.url) for each in self.fleet.routers])
            self._wait_served(load)
            inject()
            time.sleep(during_s)
            heal()
            took = self._wait_served(load)
        finally:
            heal()
            records = load.finish()
        outcomes = collections.Counter(each.outcome for each in records)
        print(f"{name}: {dict(outcomes)}, recovered {took:.1f} s")
        found = matrix.problems(
            records, matrix.count_runs(self.fleet), lost_counts
        )
        self.assertEqual(found[:5], [], f"{len(found)} problems")
        return records

    def _set(self, names, **faults):
        for name in names:
            matrix.set_faults(self.fleet.targets[name].url, **faults)

    def test_faulty_targets(self):
        one, engines = ("engine-0",), ("engine-0", "engine-1", "engine-2")
        roster = ("roster-0",)
        cases = (
            ("engine slow", one, {"slow_factor": 20}, {"slow_factor": 1}),
            (
                "stream broken midway",
                engines,
                {"break_stream_after": 5},
                {"break_stream_after": 0},
            ),
            ("engine truncates", one, {"truncate": True}, {"truncate": False}),
            (
                "all engines truncate",
                engines,
                {"truncate": True},
                {"truncate": False},
            ),
            ("engine refuses", one, {"refuse": True}, {"refuse": False}),
            (
                "all engines refuse",
                engines,
                {"refuse": True},
                {"refuse": False},
            ),
            ("service refuses", roster, {"refuse": True}, {"refuse": False}),
            (
                "service breaks after the run",
                roster,
                {"break_after_run": True},
                {"break_after_run": False},
            ),
            (
                "service breaks and engine refuses",
                (*one, *roster),
                {"break_after_run": True, "refuse": True},
                {"break_after_run": False, "refuse": False},
            ),
        )
        for name, targets, faults, healthy in cases:
            with self.subTest(name):
                self._run(
                    name,
                    lambda targets=targets, faults=faults: self._set(
                        targets, **faults
                    ),
                    lambda targets=targets, healthy=healthy: self._set(
                        targets, **healthy
                    ),
                )

    def test_engine_killed_and_restarted(self):
        def inject():
            self.fleet.targets["engine-1"].kill()

        self._run(
            "engine killed",
            inject,
            lambda: self.fleet.restart_target("engine-1"),
            lost_counts=True,
        )

    def test_platform_down_and_stale(self):
        url = self.fleet.platform.url
        for fault in ("down", "stale"):
            with self.subTest(fault):
                self._run(
                    f"configuration service {fault}",
                    lambda fault=fault: matrix.set_faults(url, **{fault: True}),
                    lambda fault=fault: matrix.set_faults(
                        url, **{fault: False}
                    ),
                )

    def test_engine_killed_while_the_platform_is_down(self):
        url = self.fleet.platform.url

        def inject():
            matrix.set_faults(url, down=True)
            self.fleet.targets["engine-2"].kill()

        def heal():
            self.fleet.restart_target("engine-2")
            matrix.set_faults(url, down=False)

        self._run(
            "engine killed, configuration service down",
            inject,
            heal,
            lost_counts=True,
        )

    def test_vm_list_lags(self):
        """A killed router stays in the VM list."""
        router = self.fleet.routers[3]

        def heal():
            if self.fleet.routers[3].handle.poll() is not None:
                self.fleet.restart_router(3)
                self.fleet.wait_ready()

        self._run("VM list lags", router.kill, heal, during_s=6.0)

    def test_leaving_target(self):
        """Nothing new after 3 s (I6) while its streams end whole (I7)."""
        load = fault_load.Load("leaving")
        engine = self.fleet.targets["engine-0"]
        type(self).cases += 1
        try:
            load.begin([(each.name, each.url) for each in self.fleet.routers])
            self._wait_served(load)
            streams = self._long_streams(load)
            matrix.set_faults(engine.url, leaving=True)
            time.sleep(3.0)
            before = self._runs(engine)
            time.sleep(2.0)
            self.assertEqual(set(self._runs(engine)) - set(before), set())
            for record, future in streams:
                future.result(30)
                self.assertEqual(record.outcome, "correct", record)
        finally:
            matrix.set_faults(engine.url, leaving=False)
            records = load.finish()
        found = matrix.problems(records, matrix.count_runs(self.fleet))
        self.assertEqual(found[:5], [])

    def _runs(self, target):
        return json.loads(call("GET", f"{target.url}/control/runs")[1])["runs"]

    def _long_streams(self, load):
        """Starts streams of 4 s until each engine has one."""
        streams = []

        def on_engine():
            texts = set(self._runs(self.fleet.targets["engine-0"]))
            return bool(texts & {record.text for record, _ in streams})

        while not on_engine() and len(streams) < 30:
            router = self.fleet.routers[len(streams) % 4]
            record = load.new_record("stream", router.name, "large")
            future = load.submit(
                load.caller.send(record, router.url, tokens=400)
            )
            streams.append((record, future))
            time.sleep(0.2)
        self.assertTrue(on_engine(), "no stream on the engine that leaves")
        return streams

    def test_flood_of_one_workspace(self):
        """Others are served while one workspace sends 300 at once (I2)."""
        load = fault_load.Load("flood")
        type(self).cases += 1
        try:
            load.begin([(each.name, each.url) for each in self.fleet.routers])
            self._wait_served(load)
            flood = []
            for number in range(300):
                router = self.fleet.routers[number % 4]
                record = load.new_record("whole", router.name, "large")
                flood.append(
                    load.submit(
                        load.caller.send(record, router.url, tokens=100)
                    )
                )
            start = len(load.records)
            time.sleep(3.0)
            # The flood takes 12 s on 24 slots.
            waits = [
                record.seconds
                for record in load.records[start:]
                if record.workspace != "large" and record.outcome
            ]
            for future in flood:
                future.result(60)
            took = self._wait_served(load)
        finally:
            records = load.finish()
        small = [
            record
            for record in records
            if record.workspace != "large" and record.outcome != "correct"
        ]
        print(
            f"flood: {len(records)} requests, others at most"
            f" {max(waits, default=0):.1f} s, recovered {took:.1f} s"
        )
        self.assertEqual(small[:3], [])
        self.assertGreater(len(waits), 8)
        found = matrix.problems(records, matrix.count_runs(self.fleet))
        self.assertEqual(found[:5], [])


class CrashingRequestTest(unittest.TestCase):
    """Guards against a request that crashes every engine (section 1.4)."""

    def setUp(self):
        self.fleet = matrix.start_fleet()
        self.addCleanup(lambda: self.fleet.stop())
        self._crash_after_s = 0

    def _ask_bad(self, router):
        body = fault_load.engine_body("menu-model", "bad request", 4, False)
        status, answer = call(
            "POST",
            f"{router.url}/v1/chat/completions",
            json.dumps(body).encode(),
            _HEADERS,
            20.0,
        )
        return status, json.loads(answer)["error"]["code"]

    def _engines(self):
        return [
            name for name in self.fleet.targets if name.startswith("engine-")
        ]

    def _supervise(self, stopping, crashes):
        """Restarts crashed engines, as a platform does."""
        while not stopping.wait(0.1):
            for name in self._engines():
                old = self.fleet.targets[name]
                if old.handle.poll() is not None:
                    crashes.append(name)
                    self.fleet.restart_target(name)
                    self._arm(name)

    def _arm(self, name):
        url = self.fleet.targets[name].url
        matrix.set_faults(
            url, crash_on="bad request", crash_after_s=self._crash_after_s
        )

    def _copies(self, count):
        """Sends copies through all routers at once; returns their answers."""
        routers = self.fleet.routers
        with futures.ThreadPoolExecutor(count) as pool:
            return list(
                pool.map(
                    self._ask_bad,
                    [routers[each % len(routers)] for each in range(count)],
                )
            )

    def test_copies_at_the_same_moment(self):
        """No copy starts beside another one once the first crash is known.

        Copies that run at that moment may each crash their target.
        """
        cases = (
            ("after the first crash", 1, 8, 2),
            ("from the start", 4, 8, len(self._engines()) + 1),
        )
        for name, first, later, most in cases:
            with self.subTest(name):
                self._crash_after_s = 1.5
                self._run_copies(name, first, later, most)
                self.fleet.stop()
                self.fleet = matrix.start_fleet()

    def _run_copies(self, name, first, later, most):
        stopping, crashes = threading.Event(), []
        supervisor = threading.Thread(
            target=self._supervise, args=(stopping, crashes)
        )
        for engine in self._engines():
            self._arm(engine)
        supervisor.start()
        try:
            with futures.ThreadPoolExecutor(1) as pool:
                running = pool.submit(self._copies, first)
                matrix.wait_until(lambda: crashes, 10, "the first crash")
                # Reports take milliseconds; the suspect runs for 1.5 s.
                time.sleep(0.7)
                answers = self._copies(later)
                answers += running.result()
            answers += self._copies(4)
            time.sleep(2.0)
        finally:
            stopping.set()
            supervisor.join()
        print(f"copies {name}: crashes {crashes}")
        self.assertEqual(set(answers[-4:]), {(422, "crash_suspect")})
        codes = {"crash_suspect", "no_target", "target_failed"}
        self.assertLessEqual({code for _, code in answers}, codes)
        self.assertLessEqual(len(crashes), most, crashes)

    def test_repeats_through_other_routers(self):
        for name in self._engines():
            self._arm(name)
        stopping, crashes = threading.Event(), []
        supervisor = threading.Thread(
            target=self._supervise, args=(stopping, crashes)
        )
        supervisor.start()
        load = fault_load.Load("innocent")
        try:
            load.begin(
                [(each.name, each.url) for each in self.fleet.routers],
                ("whole", "stream"),
            )
            answers = [
                self._ask_bad(router) for router in self.fleet.routers * 2
            ]
            # A router without memory learns the digest from the others.
            self.fleet.routers[0].kill()
            self.fleet.restart_router(0)
            self.fleet.wait_ready()
            matrix.wait_members(self.fleet)
            answers.append(self._ask_bad(self.fleet.routers[0]))
        finally:
            records = load.finish()
            stopping.set()
            supervisor.join()
        outcomes = collections.Counter(each.outcome for each in records)
        print(f"crashing request: {dict(outcomes)}, crashes {crashes}")
        self.assertEqual(set(answers), {(422, "crash_suspect")})
        # The first run beside others, and one alone at another engine.
        self.assertEqual(len(crashes), 2, crashes)
        found = matrix.problems(
            records, matrix.count_runs(self.fleet), lost_counts=True
        )
        self.assertEqual(found[:5], [])
        refused = collections.Counter(
            record.code for record in records if record.outcome == "refused"
        )
        self.assertNotIn("crash_suspect", refused)
