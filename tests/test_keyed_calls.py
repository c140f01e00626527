"""Calls with an idempotency key through real routers."""

import json
import signal
import threading
import time
import unittest

from standins import fleet as demo
from standins.processes import call

_HEADERS = {"Authorization": "Bearer key-supplier"}


def _issue(router):
    status, body = call(
        "POST", f"{router.url}/v1/idempotency-keys", b"", _HEADERS
    )
    assert status == 201, body
    return json.loads(body)["idempotency_key"]


def _send(router, key, body, timeout_s=15.0):
    return call(
        "POST",
        f"{router.url}/services/rosters/orders",
        body,
        {**_HEADERS, "Idempotency-Key": key, "X-Deadline-Ms": "12000"},
        timeout_s,
    )


def _error(body):
    return json.loads(body)["error"]


class KeyedCallTest(unittest.TestCase):
    """Guards against calls that run twice and false statements (I4, I5)."""

    def setUp(self):
        self.fleet = demo.build_fleet()
        self.addCleanup(self.fleet.stop)
        self.routers = self.fleet.routers
        self._wait_for_members()

    def _wait_for_members(self):
        for router in self.routers:
            for _ in range(100):
                state = json.loads(
                    call("GET", f"{router.operator_url}/v1/state")[1]
                )
                if len(state["alive"]) == len(self.routers):
                    break
                time.sleep(0.1)

    def _runs(self, body):
        target = self.fleet.targets["roster-0"]
        answer = call("GET", f"{target.url}/control/runs")[1]
        return json.loads(answer)["runs"].get(body.decode(), 0)

    def test_repeats_through_other_routers_get_the_recorded_answer(self):
        key = _issue(self.routers[0])
        first = _send(self.routers[1], key, b"order 1")
        self.assertEqual(first[0], 200)
        for router in self.routers:
            self.assertEqual(_send(router, key, b"order 1"), first)
        self.assertEqual(self._runs(b"order 1"), 1)
        status, body = _send(self.routers[2], key, b"order 2")
        self.assertEqual(
            (status, _error(body)["code"]), (422, "idempotency_key_mismatch")
        )

    def test_concurrent_repeats_run_once(self):
        key = _issue(self.routers[0])
        answers = []
        threads = [
            threading.Thread(
                target=lambda router=router: answers.append(
                    _send(router, key, b"order 3")
                )
            )
            for router in self.routers * 3
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual({status for status, _ in answers}, {200})
        self.assertEqual(self._runs(b"order 3"), 1)

    def test_answer_survives_the_loss_of_the_recorder(self):
        key = _issue(self.routers[0])
        first = _send(self.routers[1], key, b"order 4")
        self.routers[0].kill()
        fetched = call(
            "GET",
            f"{self.routers[2].url}/v1/idempotency-keys/{key}",
            b"",
            _HEADERS,
            15.0,
        )
        self.assertEqual(fetched, first)
        self.assertEqual(_send(self.routers[1], key, b"order 4"), first)
        self.assertEqual(self._runs(b"order 4"), 1)

    def test_unused_key_of_a_lost_recorder_is_closed_for_ever(self):
        key = _issue(self.routers[0])
        self.routers[0].signal(signal.SIGSTOP)
        status, body = _send(self.routers[1], key, b"order 5")
        error = _error(body)
        self.assertEqual(
            (status, error["code"], error["run_state"]),
            (409, "idempotency_key_closed", "not_run"),
        )
        self.routers[0].signal(signal.SIGCONT)
        for router in self.routers:
            status, body = _send(router, key, b"order 5")
            self.assertEqual(_error(body)["run_state"], "not_run")
        self.assertEqual(self._runs(b"order 5"), 0)

    def test_restarted_recorder_never_runs_an_old_key(self):
        key = _issue(self.routers[0])
        self.routers[0].kill()
        self.fleet.restart_router(0)
        self.fleet.wait_ready()
        status, body = _send(self.routers[0], key, b"order 6")
        self.assertNotEqual(status, 200)
        self.assertEqual(self._runs(b"order 6"), 0)
        self.assertIn(_error(body)["run_state"], ("not_run", "unknown"))

    def test_call_goes_on_when_its_caller_has_gone(self):
        target = self.fleet.targets["roster-0"]
        call("POST", f"{target.url}/control/faults", b'{"seconds": 1.0}')
        key = _issue(self.routers[0])
        with self.assertRaises(TimeoutError):
            _send(self.routers[1], key, b"order 7", timeout_s=0.6)
        answer = call(
            "GET",
            f"{self.routers[2].url}/v1/idempotency-keys/{key}",
            b"",
            _HEADERS,
        )
        self.assertEqual(answer[0], 200, (answer, target.url))
        self.assertEqual(self._runs(b"order 7"), 1)

    def test_malformed_and_foreign_keys_are_refused(self):
        url = f"{self.routers[0].url}/v1/idempotency-keys/my-key"
        status, body = call("GET", url, b"", _HEADERS)
        self.assertEqual(
            (status, _error(body)["code"]), (400, "idempotency_key_malformed")
        )
        key = _issue(self.routers[0])
        _send(self.routers[0], key, b"order 9")
        status, body = call(
            "GET",
            f"{self.routers[1].url}/v1/idempotency-keys/{key}",
            b"",
            {"Authorization": "Bearer key-camp-small"},
        )
        self.assertEqual(status, 422)
