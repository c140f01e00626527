"""One request end to end through separate processes."""

import json
import signal
import threading
import time
import unittest

from standins import fleet as demo
from standins.engine import expected_tokens
from standins.processes import call

_BODY = {
    "model": "menu-model",
    "messages": [{"role": "user", "content": "hello"}],
    "max_tokens": 4,
}


def _ask(url, body, key="key-supplier", path="/v1/chat/completions"):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {key}"}
    return call("POST", url + path, raw, headers)


class WholePathTest(unittest.TestCase):
    """Guards against a broken path from a caller to a target and back."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = demo.build_fleet()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def test_answers_are_complete(self):
        text = "".join(expected_tokens("hello", 4))
        for router in self.fleet.routers:
            with self.subTest(router.name):
                status, body = _ask(router.url, _BODY)
                self.assertEqual(status, 200)
                message = json.loads(body)["choices"][0]["message"]
                self.assertEqual(message["content"], text)
                status, body = _ask(router.url, {**_BODY, "stream": True})
                self.assertEqual(status, 200)
                self.assertTrue(body.endswith(b"data: [DONE]\n\n"))

    def test_engines_report_cached_tokens(self):
        # Of three requests with one prompt, two reach the same of 2 engines.
        prompt = [{"role": "user", "content": "cached " * 100}]

        def details():
            router = self.fleet.routers[0]
            _, body = _ask(router.url, {**_BODY, "messages": prompt})
            return json.loads(body)["usage"].get("prompt_tokens_details")

        cached = [details()["cached_tokens"] for _ in range(3)]
        self.assertEqual((cached[0], max(cached)), (0, 160))
        for omit in (True, False):
            for name in ("engine-0", "engine-1"):
                url = f"{self.fleet.targets[name].url}/control/faults"
                raw = json.dumps({"omit_cached_tokens": omit}).encode()
                call("POST", url, raw)
            self.assertEqual(details() is None, omit)

    def test_malformed_requests_get_stable_codes(self):
        url = self.fleet.routers[0].url
        cases = (
            ("unknown key", _BODY, "nobody", 401, "unknown_key"),
            ("not JSON", b"{", "key-supplier", 400, "malformed_body"),
            ("no model", {}, "key-supplier", 400, "malformed_body"),
            (
                "unknown model",
                {**_BODY, "model": "none"},
                "key-supplier",
                404,
                "unknown_model",
            ),
            (
                "too large",
                b"x" * 5_000_000,
                "key-supplier",
                413,
                "body_too_large",
            ),
        )
        for name, body, key, status, code in cases:
            with self.subTest(name):
                got, answer = _ask(url, body, key)
                error = json.loads(answer)["error"]
                self.assertEqual((got, error["code"]), (status, code))
                self.assertEqual(error["run_state"], "not_run")
        self.assertEqual(_ask(url, _BODY)[0], 200)


class GracefulStopTest(unittest.TestCase):
    """Guards against a planned stop that cuts a stream (I7)."""

    def test_stream_finishes_after_sigterm(self):
        fleet = demo.build_fleet()
        self.addCleanup(fleet.stop)
        router = fleet.routers[0]
        results = []
        body = {**_BODY, "stream": True, "max_tokens": 300}
        thread = threading.Thread(
            target=lambda: results.append(_ask(router.url, body))
        )
        thread.start()
        time.sleep(0.3)
        router.signal(signal.SIGTERM)
        router.signal(signal.SIGTERM)
        time.sleep(0.1)
        # The balancer learns first; what it still sends is served.
        self.assertEqual(call("GET", f"{router.operator_url}/readyz")[0], 503)
        self.assertEqual(_ask(router.url, _BODY)[0], 200)
        time.sleep(1.2)
        status, answer = _ask(router.url, _BODY)
        error = json.loads(answer)["error"]
        self.assertEqual(
            (status, error["code"], error["run_state"]),
            (503, "shutting_down", "not_run"),
        )
        thread.join()
        self.assertTrue(results[0][1].endswith(b"data: [DONE]\n\n"))
        self.assertEqual(router.handle.wait(10), 0)
