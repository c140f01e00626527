"""Membership of routers in separate processes."""

import json
import signal
import time
import unittest

from standins import fleet as demo
from standins.processes import call


def _members(router):
    status, body = call("GET", f"{router.operator_url}/v1/state")
    assert status == 200, status
    return {entry["name"]: entry for entry in json.loads(body)["members"]}


def _until(condition, timeout_s):
    """Returns the seconds until a condition holds, or None."""
    started = time.monotonic()
    while time.monotonic() - started < timeout_s:
        if condition():
            return time.monotonic() - started
        time.sleep(0.05)
    return None


class MembershipProcessTest(unittest.TestCase):
    """Guards against routers that do not notice each other."""

    def setUp(self):
        self.fleet = demo.build_fleet()
        self.addCleanup(self.fleet.stop)
        self.routers = self.fleet.routers

    def _heard_everywhere(self):
        return all(
            len(members) == 2
            and all(
                entry["state"] == "alive" and entry["life"] > 0
                for entry in members.values()
            )
            for members in map(_members, self.routers)
        )

    def _seen_as(self, name, state):
        return all(
            _members(router)[name]["state"] == state
            for router in self.routers
            if router.name != name
        )

    def test_kill_and_restart(self):
        self.assertIsNotNone(_until(self._heard_everywhere, 10))
        old = _members(self.routers[0])["router-2"]["life"]
        self.routers[2].kill()
        took = _until(lambda: self._seen_as("router-2", "dead"), 6)
        self.assertIsNotNone(took, "not dead within 6 s")
        self.fleet.restart_router(2)
        back = _until(
            lambda: (
                self._seen_as("router-2", "alive")
                and _members(self.routers[0])["router-2"]["life"] > old
                and _members(self.routers[1])["router-2"]["life"] > old
            ),
            10,
        )
        self.assertIsNotNone(back, "not alive again within 10 s")
        print(f"killed router dead after {took:.1f} s, back {back:.1f} s")

    def test_graceful_stop_is_known_at_once(self):
        self.assertIsNotNone(_until(self._heard_everywhere, 10))
        self.routers[2].signal(signal.SIGTERM)
        # Before any probe could have failed: 0.9 s and 2 s of suspicion.
        left = _until(lambda: self._seen_as("router-2", "left"), 2)
        self.assertIsNotNone(left, "not left within 2 s")
        self.assertEqual(self.routers[2].handle.wait(10), 0)

    def test_last_list_stays_while_the_platform_is_down(self):
        self.assertIsNotNone(_until(self._heard_everywhere, 10))
        fault = json.dumps({"down": True}).encode()
        call("POST", f"{self.fleet.platform.url}/control/faults", fault)
        time.sleep(5)
        self.assertTrue(self._heard_everywhere())
