"""Cut links between routers that still reach callers and targets."""

import collections
import json
import threading
import time
import unittest

from standins.processes import Fleet, call, workspace
from tests import fault_load
from tests import fault_matrix as matrix

_SLOTS = 8
# Section 4.2 of the design page: two slots for one report interval, and the
# ceilings of two sides round up by less than one slot each.
_MARGIN = 2 + 1
_IDLE_S = 2.0
_CUT_S = 5.0
_RECOVERY_S = 10.0
# More requests than slots at each router, so that work always waits.
_KINDS = ("whole", "stream") * 5 + ("plain", "keyed")


class _LoadWatch:
    """Samples GET /load of the engines."""

    def __init__(self, urls):
        self._urls = urls
        self._stopping = threading.Event()
        self.highest = collections.Counter()
        self.idle_s = collections.Counter()
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    def _watch(self):
        busy = dict.fromkeys(self._urls, time.monotonic())
        while not self._stopping.wait(0.05):
            for url in self._urls:
                load = json.loads(call("GET", f"{url}/load")[1])
                now = time.monotonic()
                if load["running"] or load["waiting"]:
                    busy[url] = now
                total = load["running"] + load["waiting"]
                self.highest[url] = max(self.highest[url], total)
                self.idle_s[url] = max(self.idle_s[url], now - busy[url])

    def stop(self):
        """Ends the sampling."""
        self._stopping.set()
        self._thread.join()


def _start_fleet():
    fleet = Fleet()
    try:
        fleet.start_platform()
        fleet.start_relay()
        for name in ("engine-0", "engine-1"):
            fleet.start_target(
                name, "engine", "--batch=32", "--token-seconds=0.03"
            )
        fleet.start_target("roster-0", "plain_service")
        owners = [
            workspace(name, weight) for name, weight in fault_load.WORKSPACES
        ]
        used = [each for each in matrix.groups(fleet) if each["targets"]]
        fleet.publish(1, owners, used)
        fleet.start_routers(4, ("az-1", "az-2", "az-3"))
        matrix.wait_members(fleet)
    except BaseException:
        fleet.stop()
        raise
    return fleet


def _between(first, second, both_ways=True):
    pairs = [(f"router-{a}", f"router-{b}") for a in first for b in second]
    return pairs + [(b, a) for a, b in pairs] if both_ways else pairs


def _nothing(fleet):
    del fleet


def _kill_one(fleet):
    fleet.routers[3].kill()


def _restart_one(fleet):
    fleet.restart_router(3)
    fleet.wait_ready()


def _set_platform(down):
    return lambda fleet: matrix.set_faults(fleet.platform.url, down=down)


class PartitionTest(unittest.TestCase):
    """Guards against idle or overrun targets while links are cut."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = _start_fleet()
        cls.cases = 0

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()
        print(f"{cls.__name__}: {cls.cases} cases")

    def _wait_served(self, load, what, kinds=frozenset(_KINDS)):
        """Waits until every router gave correct answers of these kinds."""
        start = len(load.records)
        wanted = {
            (router.name, kind)
            for router in self.fleet.routers
            for kind in kinds
        }

        def missing():
            return wanted - {
                (record.router, record.kind)
                for record in load.records[start:]
                if record.outcome == "correct"
            }

        try:
            return matrix.wait_until(lambda: not missing(), _RECOVERY_S, what)
        except AssertionError as error:
            raise AssertionError(f"{error}; missing {missing()}") from None

    def _run(self, name, pairs, inject=_nothing, heal=_nothing):
        """Cuts links; the second fault ends before both sides must serve."""
        engines = [
            target.url
            for each, target in self.fleet.targets.items()
            if each.startswith("engine")
        ]
        load = fault_load.Load(name)
        watch = None
        try:
            load.begin(
                [(each.name, each.url) for each in self.fleet.routers],
                _KINDS,
                0.01,
            )
            self._wait_served(load, "served before the cut")
            watch = _LoadWatch(engines)
            self.fleet.cut_links(pairs)
            inject(self.fleet)
            time.sleep(_CUT_S)
            heal(self.fleet)
            # A key's recorder and witness may be on the other side.
            unkeyed = set(_KINDS) - {"keyed"}
            side = self._wait_served(load, "both sides serve", unkeyed)
            self.fleet.cut_links([])
            took = self._wait_served(load, "all serve after the cut")
            matrix.wait_members(self.fleet)
        finally:
            if watch is not None:
                watch.stop()
            self.fleet.cut_links([])
            records = load.finish()
        outcomes = collections.Counter(each.outcome for each in records)
        print(
            f"{name}: {dict(outcomes)}, highest {max(watch.highest.values())}"
            f" of {_SLOTS}, idle {max(watch.idle_s.values()):.2f} s,"
            f" sides {side:.1f} s, healed {took:.1f} s"
        )
        runs = matrix.count_runs(self.fleet)
        self.assertEqual(matrix.problems(records, runs)[:5], [])
        self.assertLessEqual(max(watch.highest.values()), _SLOTS + _MARGIN)
        self.assertLessEqual(max(watch.idle_s.values()), _IDLE_S)

    def test_cuts(self):
        cases = (
            ("two sides", _between((0, 1), (2, 3))),
            ("one router alone", _between((0,), (1, 2, 3))),
            ("one way", _between((0, 1), (2, 3), both_ways=False)),
            ("one link", _between((1,), (2,))),
            ("one link, one way", _between((1,), (2,), both_ways=False)),
        )
        self._run_all(cases)

    def test_cuts_with_a_second_fault(self):
        cases = (
            (
                "two sides, a router killed",
                _between((0, 1), (2, 3)),
                _kill_one,
                _restart_one,
            ),
            (
                "two sides, configuration service and VM list down",
                _between((0, 1), (2, 3)),
                _set_platform(True),
                _set_platform(False),
            ),
        )
        self._run_all(cases)

    def _run_all(self, cases):
        for name, *case in cases:
            with self.subTest(name):
                type(self).cases += 1
                self._run(name, *case)
