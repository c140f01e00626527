"""Lost routers and crashing targets, as separate processes."""

import http.client
import json
import threading
import time
import unittest
import urllib.parse

from standins.engine import expected_tokens
from standins.processes import Fleet, call, workspace

_HEADERS = {"Authorization": "Bearer key-camp"}


def _body(prompt, tokens, stream=False):
    return json.dumps(
        {
            "model": "menu-model",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
    ).encode()


def _ask(url, prompt, tokens):
    return call(
        "POST", f"{url}/v1/chat/completions", _body(prompt, tokens), _HEADERS
    )


def _tokens(lines):
    events = [line[6:] for line in lines if line.startswith(b"data: {")]
    return [
        choice["delta"]["content"]
        for event in events
        for choice in json.loads(event)["choices"]
    ]


class PathFaultTest(unittest.TestCase):
    """Guards against answers that are lost with a router or a target."""

    def _start(self, engines, routers, *arguments):
        fleet = Fleet()
        self.addCleanup(fleet.stop)
        fleet.start_platform()
        names = [f"engine-{index}" for index in range(engines)]
        for name in names:
            fleet.start_target(name, "engine", *arguments)
        targets = [
            {"name": name, "url": fleet.targets[name].url, "slots": 8}
            for name in names
        ]
        group = {"name": "menus", "kind": "engine", "region": "region-1"}
        group |= {"model": "menu-model", "targets": targets}
        fleet.publish(1, [workspace("camp")], [group])
        fleet.start_routers(routers, ("az-1", "az-2"))
        return fleet

    def test_stream_moves_to_another_router(self):
        fleet = self._start(1, 2)
        parts = urllib.parse.urlsplit(fleet.routers[0].url)
        connection = http.client.HTTPConnection(
            parts.hostname, parts.port, timeout=10
        )
        self.addCleanup(connection.close)
        connection.request(
            "POST",
            "/v1/chat/completions",
            _body("menu", 100, True),
            _HEADERS,
        )
        response = connection.getresponse()
        lines = [response.readline() for _ in range(20)]
        fleet.routers[0].kill()
        got = _tokens(lines)
        stream_id = response.headers["X-Stream-Id"]
        status, rest = call(
            "GET",
            f"{fleet.routers[1].url}/v1/streams/{stream_id}?offset={len(got)}",
            headers=_HEADERS,
        )
        self.assertEqual(status, 200)
        self.assertTrue(0 < len(got) < 100)
        self.assertEqual(
            got + _tokens(rest.splitlines()), expected_tokens("menu", 100)
        )
        self.assertTrue(rest.endswith(b"data: [DONE]\n\n"))

    def test_request_that_crashes_engines(self):
        fleet = self._start(3, 1, "--token-seconds=0.02")
        url = fleet.routers[0].url
        for engine in fleet.targets.values():
            call("POST", f"{engine.url}/control/faults", b'{"crash_on": "bad"}')
        answers = {}

        def ask(prompt, tokens):
            answers[prompt] = _ask(url, prompt, tokens)

        # One on each of two engines; the crashing one starts on the third.
        innocents = [f"menu {index}" for index in range(2)]
        threads = [
            threading.Thread(target=ask, args=(prompt, 50))
            for prompt in innocents
        ]
        for thread in threads:
            thread.start()
        threading.Event().wait(0.3)
        status, answer = _ask(url, "bad", 4)
        error = json.loads(answer)["error"]
        self.assertEqual((status, error["code"]), (422, "crash_suspect"))
        self.assertEqual(_ask(url, "bad", 4)[0], 422)
        for thread in threads:
            thread.join()
        for prompt in innocents:
            status, answer = answers[prompt]
            self.assertEqual(status, 200, answer)
            message = json.loads(answer)["choices"][0]["message"]
            expected = "".join(expected_tokens(prompt, 50))
            self.assertEqual(message["content"], expected)
        running = [
            engine
            for engine in fleet.targets.values()
            if engine.handle.poll() is None
        ]
        self.assertEqual(len(running), 1)

    def test_crashing_request_is_refused_by_every_router(self):
        """Guards against a router that lets a known request crash more."""
        fleet = self._start(4, 3, "--token-seconds=0.02")
        for engine in fleet.targets.values():
            call("POST", f"{engine.url}/control/faults", b'{"crash_on": "bad"}')
        self.assertEqual(_ask(fleet.routers[0].url, "bad", 4)[0], 422)
        fleet.routers[2].kill()
        fleet.restart_router(2)
        fleet.wait_ready()
        for router in fleet.routers[1:]:
            with self.subTest(router.name):
                for _ in range(50):
                    status, answer = _ask(router.url, "harmless", 1)
                    self.assertEqual(status, 200, answer)
                    state = call("GET", f"{router.operator_url}/v1/state")[1]
                    if len(json.loads(state)["alive"]) == 3:
                        break
                    time.sleep(0.1)
                time.sleep(0.5)
                self.assertEqual(_ask(router.url, "bad", 4)[0], 422)
        running = [
            engine
            for engine in fleet.targets.values()
            if engine.handle.poll() is None
        ]
        self.assertEqual(len(running), 2)
