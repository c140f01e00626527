"""Real routers in three zones whose configuration is read all the time."""

import http.client
import json
import threading
import time
import urllib.parse
from collections.abc import Callable, Sequence

from crowwinch.configuration import (
    CheckedTable,
    Documents,
    build_documents,
    digest_of,
    key_hash,
)
from crowwinch.generated.documents import Event, Group, Target, Workspace
from standins.processes import Fleet, Process, call

ZONES = ("az-1", "az-2", "az-3")
_POLL_S = 0.02
# A frozen router keeps its connection open without an answer.
_POLL_TIMEOUT_S = 0.5
Version = tuple[int, str]


def documents(
    revision: int,
    weight: float,
    events: Sequence[Event] = (),
    workspaces: int = 50,
) -> Documents:
    """Returns documents whose first workspace has a weight."""
    checked = CheckedTable(
        workspaces=[
            Workspace(
                f"workspace-{index}",
                weight if index == 0 else 1.0,
                [key_hash(f"key-{index}")],
            )
            for index in range(workspaces)
        ],
        events=list(events),
        groups=[
            Group("menus", "engine", "region-1", [Target("t", "http://t", 1)])
        ],
    )
    return build_documents(checked, revision)


def version_of(built: Documents) -> Version:
    """Returns revision and digest of documents."""
    return built.snapshot().revision, digest_of(built.manifest)


class _Watch(threading.Thread):
    """Reads the state of one router until it is told to end."""

    def __init__(self, router: Callable[[], Process]) -> None:
        """Stores how to find the router, which may be started again."""
        super().__init__(daemon=True)
        self._router = router
        self._ended = threading.Event()
        self._life = 0
        self._highest: Version = (0, "")
        self.state: dict = {}
        self.since: dict[Version, float] = {}
        self.polls = 0
        self.reverts = 0

    def run(self) -> None:
        """Reads the state every 20 ms."""
        connection = None
        while not self._ended.wait(_POLL_S):
            try:
                if connection is None:
                    connection = self._connect()
                connection.request("GET", "/v1/state")
                self._note(json.loads(connection.getresponse().read()))
            except (OSError, http.client.HTTPException):
                if connection is not None:
                    connection.close()
                connection = None
        if connection is not None:
            connection.close()

    def end(self) -> None:
        """Ends the thread."""
        self._ended.set()
        self.join()

    def _connect(self) -> http.client.HTTPConnection:
        parts = urllib.parse.urlsplit(self._router().operator_url)
        return http.client.HTTPConnection(
            parts.hostname or "", parts.port, timeout=_POLL_TIMEOUT_S
        )

    def _note(self, state: dict) -> None:
        version = (state["revision"], state["digest"])
        if state["life"] != self._life:
            # A router that was started again holds nothing at first.
            self._life, self._highest = state["life"], (0, "")
            self.since = {}
        self.polls += 1
        self.reverts += version < self._highest
        self._highest = max(version, self._highest)
        if version[0]:
            self.since.setdefault(version, state["in_force_since"])
        self.state = state


class Rig:
    """Routers, a configuration service with faults, and a checker."""

    def __init__(self, first: Documents, routers: int = 8) -> None:
        """Starts every process with a first configuration."""
        self.fleet = Fleet()
        self._watches: list[_Watch] = []
        self.revision = version_of(first)[0]
        try:
            self.fleet.start_platform()
            self.publish(first)
            started = time.time()
            self.fleet.start_routers(routers, ZONES)
            self._watches = [
                _Watch(lambda index=index: self.fleet.routers[index])
                for index in range(routers)
            ]
            for each in self._watches:
                each.start()
            self.first_s = self.wait(first) - started
        except BaseException:
            self.stop()
            raise

    @property
    def reverts(self) -> int:
        """Times a router was seen with a lower version than before."""
        return sum(each.reverts for each in self._watches)

    @property
    def polls(self) -> int:
        """States read so far."""
        return sum(each.polls for each in self._watches)

    @property
    def states(self) -> list[dict]:
        """The last state of each router."""
        return [each.state for each in self._watches]

    def stop(self) -> None:
        """Ends the checker and every process."""
        for each in self._watches:
            if each.is_alive():
                each.end()
        self.fleet.stop()

    def next(self, events: Sequence[Event] = ()) -> Documents:
        """Returns documents of the next revision."""
        self.revision += 1
        return documents(self.revision, float(self.revision), events)

    def publish(self, built: Documents) -> float:
        """Publishes documents; returns the Unix time of the manifest."""
        for name, document in built.parts.items():
            self.fleet.put(f"/control/values/{name}", document)
        moment = time.time()
        self.fleet.put("/control/values/manifest", built.manifest)
        return moment

    def faults(self, **faults: object) -> float:
        """Sets faults of the service; returns the Unix time afterwards."""
        assert self.fleet.platform is not None
        url = f"{self.fleet.platform.url}/control/faults"
        call("POST", url, json.dumps(faults).encode())
        return time.time()

    def calls(self) -> int:
        """Returns the calls that the service had."""
        assert self.fleet.platform is not None
        _, body = call("GET", f"{self.fleet.platform.url}/control/calls")
        return json.loads(body)["calls"]

    def wait(self, built: Documents, timeout_s: float = 30.0) -> float:
        """Returns the Unix time when the last router had documents in force.

        Raises:
            RuntimeError: If a router does not have them in time.
        """
        version = version_of(built)
        self.wait_until(
            lambda: all(version in each.since for each in self._watches),
            timeout_s,
        )
        return max(each.since[version] for each in self._watches)

    def wait_until(
        self, condition: Callable[[], bool], timeout_s: float = 30.0
    ) -> None:
        """Waits until a condition holds.

        Raises:
            RuntimeError: If it does not hold in time.
        """
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                shown = [
                    (each.get("router"), each.get("revision"))
                    for each in self.states
                ]
                raise RuntimeError(f"not in time: {shown}")
            time.sleep(_POLL_S)

    def counter(self, name: str) -> list[float]:
        """Returns a counter of each router, 0 where it was never counted."""
        values = []
        for router in self.fleet.routers:
            _, body = call("GET", f"{router.operator_url}/metrics")
            lines = body.decode().splitlines()
            prefix = f"crowwinch_{name}_total "
            found = [each for each in lines if each.startswith(prefix)]
            values.append(float(found[0].split()[-1]) if found else 0.0)
        return values
