"""Routers and targets in several availability zones, as processes."""

import concurrent.futures
import contextlib
import io
import json
import time
import unittest

from crowwinch.cli import main
from tests.platform_fleet import (
    KEY,
    WORDS,
    PlatformFleet,
    configuration,
    wait_for,
)

_ZONES = {"az-1": "north", "az-2": "south"}
# Time from the order to evacuate a zone within which all routers must obey.
_EVACUATE_S = 5.0
# Time for which a router may lack processor time on a busy machine.
_PATIENCE_S = 20.0
_PATHS = ("/desk/a", "/look/a", "/chat/a", "/plan/a")


class ZoneProcessesTest(unittest.TestCase):
    """Guards against requests sent to the wrong zone by real processes."""

    def setUp(self):
        self.fleet = PlatformFleet(3, _ZONES)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.questions = 0

    def _ask_all(self, indexes=range(3)):
        """Sends requests of each kind to routers; returns status and code."""
        outcomes = set()
        for path in _PATHS:
            self.questions += 1
            answers = self.fleet.ask_many(
                12, list(indexes), path, f"q{self.questions}"
            )
            for number, (status, body) in enumerate(answers):
                if b"router_overloaded" in body:
                    index = indexes[number % len(indexes)]
                    status, body = self._repeat(index, path)
                code = ""
                if status == 200:
                    whole = WORDS if path[1] in "cp" else b"body"
                    self.assertEqual(body, whole)
                else:
                    error = json.loads(body)["error"]
                    self.assertEqual(error["run_state"], "not_run")
                    code = error["code"]
                outcomes.add((status, code))
        return outcomes

    def _repeat(self, index, path, key=KEY):
        """Asks until the router has processor time, as callers do."""
        end = time.monotonic() + _PATIENCE_S
        while True:
            status, body = self.fleet.ask(index, path, key=key)
            if b"router_overloaded" not in body:
                return status, body
            self.assertLess(time.monotonic(), end, "no processor time")
            time.sleep(0.2)

    def _runs(self):
        """Returns the number of requests that each target ran."""
        return {
            name: sum(runs.values()) for name, runs in self.fleet.runs().items()
        }

    def _used(self, ask):
        """Returns the targets that ran requests during a call."""
        before = self._runs()
        ask()
        after = self._runs()
        return {name for name in after if after[name] > before.get(name, 0)}

    def _evacuated(self, index):
        zones = self.fleet.state(index)["evacuated_zones"]
        return [each["zone"] for each in zones]

    def _wait_evacuated(self, zones, indexes=range(3)):
        wait_for(
            lambda: all(self._evacuated(index) == zones for index in indexes),
            f"evacuated zones are not {zones}",
            _EVACUATE_S,
        )

    def _status(self):
        output = io.StringIO()
        urls = [self.fleet.metrics_url(index) for index in range(3)]
        with contextlib.redirect_stdout(output):
            code = main(["status", *urls])
        return code, output.getvalue()

    def _logged(self, index, message):
        """Returns zones and revisions of lines in the log of a router."""
        text = self.fleet.log(index).read_text()
        # A last line without its end is still being written.
        lines = map(json.loads, text.split("\n")[:-1])
        return [
            (line["zone"], line["revision"])
            for line in lines
            if line.get("message") == message
        ]

    def test_evacuated_zones(self):
        fleet = self.fleet
        for name in ("i-llm-1", "i-llm-2"):
            fleet.set_work(name, 0.2)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            # These streams run for 1.6 s, some of them in the first zone.
            streams = pool.submit(
                fleet.ask_many, 12, range(3), "/chat/a", "running"
            )
            wait_for(
                lambda: all(
                    "running" in str(runs)
                    for name, runs in fleet.runs().items()
                    if "llm" in name
                ),
                "the streams do not run",
            )
            fleet.put("op/evacuate/az-1", b"{}")
            fleet.put("op/evacuate/az-9", b"{}")
            fleet.put("op/evacuate/az-2", b"null")
            self._wait_evacuated(["az-1"])
            answers = {
                (status, body)
                for status, body in streams.result()
                if b"router_overloaded" not in body
            }
            self.assertEqual(answers, {(200, WORDS)})
        for name in ("i-llm-1", "i-llm-2"):
            fleet.set_work(name, 0.02)
        outcomes = set()

        def ask():
            outcomes.update(self._ask_all())

        second = {"i-desk-2", "i-llm-2"}
        self.assertEqual(self._used(ask), second)

        # A router that starts in the evacuation, at first without the store.
        fleet.refuse([fleet.address(2)])
        fleet.routers[2].kill()
        fleet.start_router(2)
        self.assertEqual(self._used(lambda: fleet.wait_ready([2])), second)
        fleet.refuse([])
        self.assertEqual(self._used(ask), second)
        self.assertEqual(outcomes, {(200, "")})

        fleet.put("op/evacuate/az-2", b"{}")
        self._wait_evacuated(["az-1", "az-2"])
        refusals = []
        self.assertEqual(
            self._used(lambda: refusals.append(self._ask_all())), set()
        )
        self.assertEqual(refusals, [{(503, "evacuated")}])
        code, text = self._status()
        self.assertEqual((code, text.count("az-1,az-2")), (0, 3), text)

        fleet.delete("op/evacuate/az-1")
        self._wait_evacuated(["az-2"])
        self.assertEqual(self._used(ask), {"i-desk-1", "i-llm-1"})
        fleet.delete("op/evacuate/az-2")
        self._wait_evacuated([])
        self.assertEqual(self._used(ask), {*second, "i-desk-1", "i-llm-1"})
        self.assertEqual(outcomes, {(200, "")})

        self.assertIn("crowwinch_evacuated_zones 0\n", fleet.metrics(0))
        for message in ("evacuation started", "evacuation ended"):
            lines = self._logged(0, message)
            self.assertEqual([zone for zone, _ in lines], ["az-1", "az-2"])
            self.assertTrue(all(revision > 0 for _, revision in lines))

    def test_a_zone_that_is_lost_and_found(self):
        """Guards against callers of a lost zone who get no answers elsewhere.

        The targets return as new ones, and its routers without their memory.
        """
        fleet = self.fleet
        for index in (0, 2):
            fleet.routers[index].kill()
        for name in ("i-desk-1", "i-llm-1"):
            target = fleet.targets.pop(name)
            target.kill()
            target.handle.stdout.close()
        lost = time.monotonic()
        while time.monotonic() - lost < 2.0:
            # Repeated where that is allowed; the others may be lost.
            for path in ("/look/a", "/plan/a"):
                self.assertEqual(self._repeat(1, path)[0], 200)
        for name in ("i-desk-1", "i-llm-1"):
            fleet.delete(f"servers/{name}")
        wait_for(
            lambda: fleet.state(1)["peers"] == 0, "the lost routers are peers"
        )
        self.assertEqual(self._ask_all([1]), {(200, "")})

        for name, service in (("i-desk-3", "desk"), ("i-llm-3", "llm")):
            fleet.start_target(name, service, born=time.time())
        for index in (0, 2):
            fleet.start_router(index)
        fleet.wait_ready((0, 2))
        outcomes = []
        used = self._used(lambda: outcomes.append(self._ask_all()))
        self.assertEqual(outcomes, [{(200, "")}])
        self.assertEqual(used, {"i-desk-2", "i-desk-3", "i-llm-2", "i-llm-3"})

    def test_home_regions(self):
        fleet = self.fleet
        tenants = (
            ("anywhere", KEY, []),
            ("south", "key-south", ["south"]),
            ("nowhere", "key-east", ["east"]),
        )
        fleet.put(
            "op/config",
            configuration(
                4,
                Tenants=[
                    {"Name": name, "ApiKeys": [key], "AllowedRegions": regions}
                    for name, key, regions in tenants
                ],
            ),
        )
        for index in range(3):
            wait_for(
                lambda index=index: (
                    fleet.ask(index, "/look/a", key="key-south")[0] == 200
                ),
                "the keys are not in force",
            )

        def ask(key):
            for number in range(24):
                path = _PATHS[number % len(_PATHS)]
                status, body = self._repeat(number % 3, path, key)
                if key == "key-east":
                    error = json.loads(body)["error"]
                    self.assertEqual(error["code"], "no_home_target")
                    self.assertEqual(error["run_state"], "not_run")
                else:
                    self.assertEqual(status, 200)

        for key, used in (
            ("key-south", {"i-desk-2", "i-llm-2"}),
            ("key-east", set()),
        ):
            with self.subTest(key):
                self.assertEqual(self._used(lambda key=key: ask(key)), used)


if __name__ == "__main__":
    unittest.main()
