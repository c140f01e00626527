"""Streams that are taken up while two software versions serve, as processes."""

import contextlib
import http.client
import signal
import time
import unittest

from tests.platform_fleet import HOST, KEY, WORDS, PlatformFleet, wait_for

_ROUTERS = 4
_STREAMS = 3
_EVENT_S = 0.15
_TIMEOUT_S = 10.0
_ENGINES = ("i-llm-1", "i-llm-2")


class StreamVersionProcessesTest(unittest.TestCase):
    """Guards against streams joined from two versions after a kill."""

    def setUp(self):
        self.fleet = PlatformFleet(_ROUTERS)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def _set_versions(self, *versions):
        for name, version in zip(_ENGINES, versions, strict=True):
            self.fleet.register(name, "llm", version=version)
            self.fleet.set_work(name, _EVENT_S)
        # Routers that know the versions serve a request after the change.
        self.fleet.wait_ready(range(_ROUTERS))

    def _open(self, index, attempt, headers=()):
        host, port = self.fleet.caller_address(index)
        connection = http.client.HTTPConnection(host, port, timeout=_TIMEOUT_S)
        self.addCleanup(connection.close)
        connection.request(
            "POST",
            "/plan/a",
            b"body",
            {
                "Host": HOST,
                "X-Api-Key": KEY,
                "X-Crowwinch-Attempt-Id": attempt,
                **dict(headers),
            },
        )
        return connection.getresponse()

    def _begin(self, index, attempt):
        """Returns the first event of a new stream."""
        response = self._open(index, attempt)
        event = b""
        while not event.endswith(b"\n\n"):
            event += response.read(1)
        return event

    def _take_up(self, index, attempt, first):
        """Returns the status and the rest of a stream."""
        number = first.split(b"\n")[0].removeprefix(b"id: ").decode()
        headers = {"Last-Event-Id": number, "Resumes": attempt}
        response = self._open(index, f"{attempt}-again", headers)
        with contextlib.suppress(http.client.IncompleteRead):
            return response.status, response.read()
        return response.status, b""

    def _target_of(self, attempt):
        return [
            name for name, runs in self.fleet.runs().items() if attempt in runs
        ]

    def _kill(self, index):
        router = self.fleet.routers[index]
        router.signal(signal.SIGKILL)
        router.handle.wait()

    def test_any_router_goes_on_at_the_same_version(self):
        fleet = self.fleet
        self._set_versions("v1", "v2")
        streams = {}
        for engine, other in (_ENGINES, _ENGINES[::-1]):
            version = f"v{other[-1]}"
            fleet.register(other, "llm", "draining", version=version)
            wait_for(
                lambda engine=engine: self._is_used_alone(engine),
                f"{engine} is not alone",
            )
            for number in range(_STREAMS):
                name = f"{engine}-{number}"
                streams[name] = (engine, self._begin(0, name))
            fleet.register(other, "llm", born=time.time(), version=version)
        fleet.wait_ready(range(_ROUTERS))
        self._kill(0)
        for number, (name, (engine, first)) in enumerate(streams.items()):
            router = 1 + number % (_ROUTERS - 1)
            status, rest = self._take_up(router, name, first)
            self.assertEqual((status, first + rest), (200, WORDS))
            self.assertEqual(self._target_of(f"{name}-again"), [engine])

    def _is_used_alone(self, engine):
        """Returns whether router 0 sends streams to one engine only."""
        name = f"probe-{time.monotonic()}"
        self.fleet.ask(0, "/plan/a", attempt=name)
        return self._target_of(name) == [engine]

    def test_nothing_is_guessed_after_a_kill_of_all_routers(self):
        for versions, expected in ((("v1", "v1"), 200), (("v1", "v2"), 503)):
            with self.subTest(versions=versions):
                self._set_versions(*versions)
                name = f"stream-{expected}"
                first = self._begin(0, name)
                for index in range(_ROUTERS):
                    self._kill(index)
                for index in range(_ROUTERS):
                    self.fleet.start_router(index)
                self.fleet.wait_ready(range(_ROUTERS))
                status, rest = self._take_up(1, name, first)
                self.assertEqual(status, expected)
                if status == 200:
                    self.assertEqual(first + rest, WORDS)
                else:
                    self.assertIn(b"stream_version_unknown", rest)
                    self.assertEqual(self._target_of(f"{name}-again"), [])
