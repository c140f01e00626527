"""Streams that are taken up while two software versions serve, as processes."""

import concurrent.futures
import contextlib
import http.client
import json
import signal
import time
import unittest

from standins.processes import call
from tests.platform_fleet import (
    ENGINE_SERVICES,
    HOST,
    KEY,
    WORDS,
    PlatformFleet,
    configuration,
    wait_for,
)

_ROUTERS = 4
_STREAMS = 3
_EVENT_S = 0.15
_TIMEOUT_S = 10.0
# Requesters wait longer than the time limit of the route, 8 s.
_LONG_WAIT_MS = 20_000
_LONG_EVENT_S = 0.9
_LONG_STREAMS = 4
# After the first stream began. Versions that left over 3 s ago, and no longer
# ago than the streams began, have to count.
_KILLED_AT_S = 5.5
# Both services of a route get one of them.
_SPLIT_STREAMS = 10
_ENGINES = ("i-llm-1", "i-llm-2")


class _StreamTest(unittest.TestCase):
    """Begins streams at routers, kills these and takes the streams up."""

    def setUp(self):
        self.fleet = PlatformFleet(_ROUTERS)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

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

    def _begin(self, index, attempt, headers=()):
        """Returns the first event of a new stream."""
        response = self._open(index, attempt, headers)
        event = b""
        while not event.endswith(b"\n\n"):
            event += response.read(1)
        return event

    def _take_up(self, index, attempt, first, left_ms=None):
        """Returns the status and the rest of a stream."""
        number = first.split(b"\n")[0].removeprefix(b"id: ").decode()
        headers = {"Last-Event-Id": number, "Resumes": attempt}
        if left_ms is not None:
            headers["X-Crowwinch-Deadline-Ms"] = str(left_ms)
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

    def _wait_in_step(self):
        """Waits until all routers know all changes of the store."""
        _, body = call("GET", f"{self.fleet.store.url}/kv-range?Prefix=none")
        revision = json.loads(body)["CurrentRev"]
        wait_for(
            lambda: all(
                self.fleet.state(index)["revision"] >= revision
                for index in range(_ROUTERS)
            ),
            "routers are not in step",
        )


class StreamVersionProcessesTest(_StreamTest):
    """Guards against streams joined from two versions after a kill."""

    def _set_versions(self, *versions):
        for name, version in zip(_ENGINES, versions, strict=True):
            self.fleet.register(name, "llm", version=version)
            self.fleet.set_work(name, _EVENT_S)
        # Routers that know the versions serve a request after the change.
        self.fleet.wait_ready(range(_ROUTERS))

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

    def test_caller_that_waits_longer_than_the_time_limit(self):
        """Guards against an old stream that is taken for a new one (ORDER).

        The routers that have its record are killed. The one that is left is
        younger than the stream, and knows from them which versions served.
        """
        for is_released, expected in ((False, 200), (True, 503)):
            with self.subTest(is_released=is_released):
                self._play_kill_of_the_holders(is_released, expected)

    def _play_kill_of_the_holders(self, is_released, expected):
        fleet = self.fleet
        old, new = _ENGINES
        fleet.register(old, "llm")
        fleet.set_work(old, _LONG_EVENT_S)
        fleet.delete(f"servers/{new}")
        fleet.set_work(new, _EVENT_S)
        self._wait_in_step()
        young = _ROUTERS - 1
        self._kill(young)
        began = time.monotonic()
        deadline = {"X-Crowwinch-Deadline-Ms": str(_LONG_WAIT_MS)}
        names = [f"long-{expected}-{n}" for n in range(_LONG_STREAMS)]
        with concurrent.futures.ThreadPoolExecutor(_LONG_STREAMS) as pool:
            first_events = pool.map(
                lambda name: self._begin(0, name, deadline), names
            )
            events = dict(zip(names, first_events, strict=True))
        if is_released:
            fleet.register(new, "llm", born=time.time(), version="v2")
            fleet.delete(f"servers/{old}")
        fleet.start_router(young)
        time.sleep(began + _KILLED_AT_S - time.monotonic())
        for index in range(young):
            self._kill(index)
        fleet.set_work(old, _EVENT_S)
        for name, first in events.items():
            left_ms = _LONG_WAIT_MS - int(1000 * (time.monotonic() - began))
            status, rest = self._take_up(young, name, first, left_ms)
            self.assertEqual(status, expected, rest)
            if status == 200:
                self.assertEqual(first + rest, WORDS)
        for index in range(young):
            fleet.start_router(index)
        fleet.wait_ready(range(_ROUTERS))


class SplitRouteProcessesTest(_StreamTest):
    """Guards against streams that go on at a service drawn anew (LOST)."""

    def setUp(self):
        super().setUp()
        fleet = self.fleet
        for service, version in zip(ENGINE_SERVICES, ("v4", "v7"), strict=True):
            for number in (1, 2):
                name = f"i-{service}-{number}"
                if name not in fleet.targets:
                    fleet.start_target(name, service)
                fleet.register(name, service, version=version)
                fleet.set_work(name, _EVENT_S)
        self._split_route(4, ENGINE_SERVICES)

    def _split_route(self, version, services):
        self.fleet.put("op/config", configuration(version, services))
        self._wait_in_step()

    def _begin_streams(self):
        """Returns the first event of each stream, and the service it is of."""
        streams = {}
        for number in range(_SPLIT_STREAMS):
            name = f"split-{number}"
            first = self._begin(0, name)
            streams[name] = (first, self._service_of(name))
        services = {service for _, service in streams.values()}
        self.assertEqual(services, set(ENGINE_SERVICES))
        return streams

    def _service_of(self, attempt):
        (target,) = self._target_of(attempt)
        return target.removeprefix("i-").rpartition("-")[0]

    def test_streams_go_on_at_their_service(self):
        streams = self._begin_streams()
        self._kill(0)
        for number, (name, (first, service)) in enumerate(streams.items()):
            router = 1 + number % (_ROUTERS - 1)
            status, rest = self._take_up(router, name, first)
            self.assertEqual((status, first + rest), (200, WORDS))
            self.assertEqual(self._service_of(f"{name}-again"), service)

    def test_service_that_the_route_no_longer_has(self):
        """Guards against streams that go on at it, or at another one."""
        streams = self._begin_streams()
        self._split_route(5, ENGINE_SERVICES[:1])
        self._kill(0)
        for name, (first, service) in streams.items():
            status, rest = self._take_up(1, name, first)
            if service in ENGINE_SERVICES[:1]:
                self.assertEqual((status, first + rest), (200, WORDS))
                continue
            self.assertEqual(status, 503)
            self.assertIn(b"stream_service_removed", rest)
            self.assertEqual(self._target_of(f"{name}-again"), [])
