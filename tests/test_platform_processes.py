"""Routers on the operators' platform as processes, under failures."""

import json
import signal
import threading
import time
import unittest

from tests.platform_fleet import (
    WORDS,
    PlatformFleet,
    configuration,
    wait_for,
)

# The bounds of the operators' rules.
_CONFIG_APPLY_S = 2.0
_CONFIG_APPLY_TURNED_AWAY_S = 7.0
_DRAIN_S = 2.0
_GRACE_S = 8.0


class PlatformProcessesTest(unittest.TestCase):
    """Guards against a path that fails between real processes."""

    def setUp(self):
        self.fleet = PlatformFleet(3)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def test_every_kind_of_request_is_served_once(self):
        fleet = self.fleet
        for path in ("/desk/a", "/look/a", "/chat/a", "/plan/a"):
            prefix = path[1:5]
            answers = fleet.ask_many(12, range(3), path, prefix)
            with self.subTest(path):
                expected = WORDS if path[1] in "cp" else b"body"
                self.assertEqual(answers, [(200, expected)] * 12)
        total: dict[str, int] = {}
        for runs in fleet.runs().values():
            for attempt, count in runs.items():
                total[attempt] = total.get(attempt, 0) + count
        own = {a: c for a, c in total.items() if not a.startswith("probe")}
        self.assertEqual(len(own), 48)
        self.assertEqual(set(own.values()), {1})

    def test_configuration_is_in_force_in_time_everywhere(self):
        """A version takes force also at a router that the store refuses."""
        fleet = self.fleet
        fleet.refuse([fleet.address(2)])
        tenants = [{"Name": "tenant", "ApiKeys": ["key-1", "key-2"]}]
        fleet.put("op/config", configuration(8, Tenants=tenants))
        started = time.monotonic()
        limits = (_CONFIG_APPLY_S, _CONFIG_APPLY_S, _CONFIG_APPLY_TURNED_AWAY_S)
        for index, limit in enumerate(limits):
            wait_for(
                lambda index=index: (
                    fleet.ask(index, "/look/a", key="key-2")[0] == 200
                ),
                f"router {index} does not know the new key",
            )
            self.assertLess(time.monotonic() - started, limit)
        # An older version must not come back.
        fleet.put("op/config", configuration(5))
        time.sleep(0.5)
        for index in range(3):
            self.assertEqual(fleet.ask(index, "/look/a", key="key-2")[0], 200)

    def test_forgotten_history_delays_nothing(self):
        fleet = self.fleet
        fleet.compact()
        fleet.put("op/config", configuration(9, Tenants=[]))
        for index in range(3):
            taken = wait_for(
                lambda index=index: fleet.ask(index, "/look/a")[0] == 401,
                "the key is still accepted",
            )
            self.assertLess(taken, _CONFIG_APPLY_S)

    def test_a_leaving_target_gets_nothing_new(self):
        fleet = self.fleet
        for how in ("draining", "removed"):
            name = "i-desk-1" if how == "draining" else "i-llm-1"
            path = "/desk/a" if how == "draining" else "/chat/a"
            with self.subTest(how):
                fleet.refuse([fleet.address(1)])
                if how == "draining":
                    fleet.register(name, "desk", "draining")
                else:
                    fleet.delete(f"servers/{name}")
                time.sleep(_DRAIN_S)
                answers = fleet.ask_many(24, range(3), path, how)
                self.assertEqual({status for status, _ in answers}, {200})
                late = [
                    attempt
                    for attempt in fleet.runs()[name]
                    if attempt.startswith(how)
                ]
                self.assertEqual(late, [])
                fleet.refuse([])

    def test_a_stopping_router_answers_everything(self):
        """Requests go on to come while the balancer still sends them."""
        fleet = self.fleet
        router = fleet.routers[0]
        answers: list[tuple[int, bytes]] = []

        def ask(number):
            answers.append(fleet.ask(0, "/chat/a", attempt=f"stop-{number}"))

        threads = [
            threading.Thread(target=ask, args=(number,)) for number in range(20)
        ]
        for thread in threads[:10]:
            thread.start()
        time.sleep(0.05)
        router.signal(signal.SIGTERM)
        started = time.monotonic()
        self.assertFalse(fleet.is_ready(0))
        for thread in threads[10:]:
            time.sleep(0.1)
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(answers, [(200, WORDS)] * 20)
        self.assertEqual(router.handle.wait(_GRACE_S), 0)
        self.assertLess(time.monotonic() - started, _GRACE_S)

    def test_a_router_with_endless_streams_ends_by_itself(self):
        """Guards against a router that is killed at the end of its grace."""
        fleet = self.fleet
        for name in ("i-llm-1", "i-llm-2"):
            fleet.set_work(name, 1.5)
        threads = [
            threading.Thread(target=fleet.ask, args=(0, "/chat/a"))
            for _ in range(10)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        router = fleet.routers[0]
        router.signal(signal.SIGTERM)
        self.assertEqual(router.handle.wait(_GRACE_S - 0.1), 0)
        for thread in threads:
            thread.join()

    def test_a_grace_period_that_gets_shorter_during_a_stop(self):
        """Guards against a router that is killed by a changed limit."""
        fleet = self.fleet
        for name in ("i-llm-1", "i-llm-2"):
            fleet.set_work(name, 1.5)
        thread = threading.Thread(target=fleet.ask, args=(0, "/chat/a"))
        thread.start()
        time.sleep(0.3)
        router = fleet.routers[0]
        router.signal(signal.SIGTERM)
        settings = fleet.path / "router-0.toml"
        text = settings.read_text().replace("GraceS = 8", "GraceS = 5")
        settings.write_text(text)
        self.assertEqual(router.handle.wait(5.0), 0)
        thread.join()

    def test_a_killed_target_loses_no_safe_request(self):
        fleet = self.fleet
        answers: list[tuple[int, bytes]] = []

        def ask(number):
            answers.append(fleet.ask(number % 3, "/plan/a"))

        threads = [
            threading.Thread(target=ask, args=(number,)) for number in range(12)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.08)
        fleet.targets["i-llm-1"].kill()
        for thread in threads:
            thread.join()
        self.assertEqual(answers, [(200, WORDS)] * 12)

    def test_a_router_starts_without_the_store(self):
        """It learns the configuration from the other routers."""
        fleet = self.fleet
        fleet.routers[2].kill()
        fleet.refuse(["127."])
        fleet.start_router(2)
        fleet.wait_ready([2])
        self.assertEqual(fleet.ask(2, "/desk/a")[0], 200)

    def test_all_routers_start_again_after_a_loss_of_power(self):
        fleet = self.fleet
        for router in fleet.routers:
            router.kill()
        for index in range(3):
            fleet.start_router(index)
        fleet.wait_ready(range(3))

    def test_a_frozen_router_does_not_go_back(self):
        """Guards against an old configuration after a pause."""
        fleet = self.fleet
        fleet.routers[1].signal(signal.SIGSTOP)
        fleet.put("op/config", configuration(8, Tenants=[]))
        time.sleep(1.0)
        fleet.routers[1].signal(signal.SIGCONT)
        taken = wait_for(
            lambda: fleet.ask(1, "/look/a")[0] == 401, "the key is accepted"
        )
        self.assertLess(taken, _CONFIG_APPLY_S)
        for _ in range(20):
            self.assertEqual(fleet.ask(1, "/look/a")[0], 401)

    def test_a_store_restored_from_a_copy_reverts_nothing(self):
        """Guards against an old copy in force and changes that are missed."""
        fleet = self.fleet
        fleet.copy_store()
        fleet.put("op/config", configuration(8))
        fleet.register("i-desk-1", "desk", "draining")
        time.sleep(1.0)
        before = fleet.runs()["i-desk-1"]
        fleet.restore_store()
        answers = []
        for number in range(30):
            answers.append(fleet.ask(number % 3, "/look/a")[0])
            time.sleep(0.05)
        self.assertEqual(answers, [200] * 30)
        self.assertEqual(fleet.runs()["i-desk-1"], before)
        fleet.put("op/config", configuration(9, Tenants=[]))
        for index in range(3):
            taken = wait_for(
                lambda index=index: fleet.ask(index, "/look/a")[0] == 401,
                f"router {index} accepts the key",
            )
            self.assertLess(taken, _CONFIG_APPLY_S)

    def _logged(self):
        """Returns the log lines of requests by their id."""
        text = self.fleet.log(0).read_text()
        # A last line without its end is still being written.
        lines = map(json.loads, text.split("\n")[:-1])
        return {
            line["request_id"]: line for line in lines if "request_id" in line
        }

    def test_logs_and_metrics_explain_a_request(self):
        fleet = self.fleet
        fleet.ask(0, "/look/a", attempt="explained")
        fleet.ask(0, "/nowhere/a", attempt="unknown-route")
        # The log is written by a thread, after the answer at times.
        wait_for(
            lambda: {"explained", "unknown-route"} <= set(self._logged()),
            "a request is not in the log",
        )
        by_id = self._logged()
        served = by_id["explained"]
        self.assertEqual(served["code"], "served")
        self.assertEqual(served["configuration"], 3)
        self.assertIn(served["attempts"][0]["target"], fleet.targets)
        self.assertEqual(by_id["unknown-route"]["code"], "not_found")
        metrics = fleet.metrics(0)
        self.assertIn('crowwinch_requests_total{code="served"}', metrics)
        self.assertIn("crowwinch_request_seconds_count", metrics)
