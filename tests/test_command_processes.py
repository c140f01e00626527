"""Engine commands of real routers to real engine stand-ins."""

import json
import os
import signal
import threading
import time
import unittest
from unittest import mock

from standins.processes import Fleet, call, start_standin, workspace

_MODEL = "menu-model"
# The longest quiet period of commands plus a few passes of 2 s.
_TIMEOUT_S = 40.0


class _Checker(threading.Thread):
    """Polls the engines; notes versions and times without a serving one."""

    def __init__(self, urls):
        super().__init__(daemon=True)
        self._urls = urls
        self._ended = threading.Event()
        self._served = False
        self.versions = []
        self.history = [[] for _ in urls]
        self.gaps = 0

    def run(self):
        while not self._ended.wait(0.02):
            self.versions = [
                json.loads(call("GET", f"{url}/models")[1])["models"].get(
                    _MODEL
                )
                for url in self._urls
            ]
            for seen, version in zip(self.history, self.versions, strict=True):
                if version and (not seen or seen[-1] != version):
                    seen.append(version)
            serving = any(each is not None for each in self.versions)
            self.gaps += self._served and not serving
            self._served = self._served or serving

    def end(self):
        self._ended.set()
        self.join()


class CommandProcessTest(unittest.TestCase):
    """Guards against opposite commands and a model without a target."""

    def _start(self, fencing):
        settings = {"CROWWINCH_MODEL_LOADS_PER_SECOND": "10"}
        environment = mock.patch.dict(os.environ, settings)
        environment.start()
        self.addCleanup(environment.stop)
        self.fencing = fencing
        self.engines = []
        # Each fleet has a VM list of its own that lists one router, so both
        # routers believe that they are in charge of the same engines.
        self.fleets = [Fleet(), Fleet()]
        for fleet in self.fleets:
            self.addCleanup(fleet.stop)
        for index in range(2):
            self.engines.append(start_standin("engine"))
            self.fleets[0].targets[f"engine-{index}"] = self.engines[index]
            self._set_engine(index, load_seconds=0.5)
            if not fencing:
                self._set_engine(index, ignore_fencing=True)
        for fleet in self.fleets:
            fleet.start_platform()
            self._publish(fleet, 1)
            fleet.start_routers(1, ("az-1",))
        self.checker = _Checker([each.url for each in self.engines])
        self.checker.start()
        self.addCleanup(self.checker.end)

    def _set_engine(self, index, **faults):
        url = f"{self.engines[index].url}/control/faults"
        call("POST", url, json.dumps(faults).encode())

    def _publish(self, fleet, revision):
        group = {
            "name": "menus",
            "kind": "engine",
            "region": "region-1",
            "model": _MODEL,
            "models": f"{_MODEL}@{revision}",
            "targets": [
                {
                    "name": f"engine-{index}",
                    "url": engine.url,
                    "slots": 8,
                    "fencing": self.fencing,
                }
                for index, engine in enumerate(self.engines)
            ],
        }
        fleet.publish(revision, [workspace("a")], [group])

    def _await_version(self, version):
        started = time.monotonic()
        while self.checker.versions != [version] * 2:
            self.assertLess(
                time.monotonic() - started,
                _TIMEOUT_S,
                f"not at version {version}: {self.checker.history}",
            )
            time.sleep(0.02)
        return time.monotonic() - started

    def test_two_routers_in_charge_and_a_late_one(self):
        for fencing in (True, False):
            with self.subTest(fencing=fencing):
                self._start(fencing)
                self._await_version("1")
                for fleet in self.fleets:
                    self._publish(fleet, 2)
                took = self._await_version("2")
                frozen, other = self.fleets[0].routers[0], self.fleets[1]
                frozen.signal(signal.SIGSTOP)
                self._publish(other, 3)
                self._await_version("3")
                frozen.signal(signal.SIGCONT)
                # The late router has revision 2 until its service has the
                # next one; a pass takes place every 2 s.
                time.sleep(3)
                self._publish(self.fleets[0], 3)
                time.sleep(5)
                self.assertEqual(self.checker.history, [["1", "2", "3"]] * 2)
                self.assertEqual(self.checker.gaps, 0)
                print(f"fencing {fencing}: version 2 after {took:.1f} s")
