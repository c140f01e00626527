"""Routers, store and targets of the operators' platform as processes."""

import concurrent.futures
import contextlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence

from standins.processes import Process, call, free_ports, start_standin

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_READY_TIMEOUT_S = 20.0
# Start of targets that do not say another one, in Unix seconds.
_STARTED_S = 0.001
_ZONE = "az-1"
HOST = "host.example"
KEY = "key-1"
# Services whose targets write streams.
ENGINE_SERVICES = ("llm", "llm-b")
WORDS = b"".join(f"id: {n}\ndata: w{n}\n\n".encode() for n in range(1, 9))

_ROUTES = (
    ("desk", "/desk/", "unsafe", "desk", False),
    ("look", "/look/", "safe", "desk", False),
    ("chat", "/chat/", "streaming", "llm", False),
    ("plan", "/plan/", "streaming", "llm", True),
)


def configuration(
    version: int, plan_services: Sequence[str] = ("llm",), **changes: object
) -> bytes:
    """Returns a configuration document.

    Args:
        version: Number of the version.
        plan_services: Services over which the route `plan` is split.
        changes: Fields that replace others.
    """
    routes = [
        {
            "Name": name,
            "Host": HOST,
            "Prefix": prefix,
            "RouteType": kind,
            "TimeoutMs": 8000,
            "TargetLatencyMs": 500,
            "Service": service,
            "TrafficSplit": [
                {"Service": each, "Weight": 1.0}
                for each in (plan_services if name == "plan" else ())
            ],
            "MaxAttempts": 2,
            "StreamResume": resume,
        }
        for name, prefix, kind, service, resume in _ROUTES
    ]
    document = {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": "desk"},
            *(
                {"Name": name, "Engine": {"Slots": 8, "KvCapacity": 100000}}
                for name in ENGINE_SERVICES
            ),
        ],
        "Tenants": [{"Name": "tenant", "ApiKeys": [KEY]}],
    }
    return json.dumps(document | changes).encode()


class PlatformFleet:
    """Starts and stops all processes; each router has its own address."""

    def __init__(
        self, routers: int, zones: Mapping[str, str] | None = None
    ) -> None:
        """Starts the store.

        Args:
            routers: Number of routers.
            zones: Region of each availability zone, over which routers and
                targets are spread; None for one zone that no settings name.
        """
        self._zones = zones or {}
        # Availability zone of each target that is not in the first one.
        self.target_zones: dict[str, str] = {}
        self._folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self._folder.name)
        self.store = start_standin("operators_platform")
        self.targets: dict[str, Process] = {}
        self.routers: list[Process | None] = [None] * routers
        # Limits in the settings of the routers, and their configuration.
        self.memory_mb = 300
        self.max_descriptors = 4_100
        self.configuration = configuration(3)
        # One port of each kind on all routers, as on the platform.
        self._ports = free_ports(5)

    @property
    def peer_port(self) -> int:
        """Port at which routers send updates to each other."""
        return self._ports[3]

    def start(self) -> None:
        """Starts targets and routers and waits until they serve."""
        self.put("op/config", self.configuration)
        for name, service, number in (
            ("i-desk-1", "desk", 0),
            ("i-desk-2", "desk", 1),
            ("i-llm-1", "llm", 0),
            ("i-llm-2", "llm", 1),
        ):
            self.target_zones[name] = self.zone(number)
            self.start_target(name, service)
        for index in range(len(self.routers)):
            self.start_router(index)
        self.wait_ready(range(len(self.routers)))

    def stop(self) -> None:
        """Ends all processes that were started."""
        for process in [*self.routers, *self.targets.values(), self.store]:
            if process is not None:
                with contextlib.suppress(ProcessLookupError):
                    process.signal(signal.SIGCONT)
                process.kill()
                if process.handle.stdout is not None:
                    process.handle.stdout.close()
        self._folder.cleanup()

    def put(self, key: str, value: bytes) -> None:
        """Writes an item to the store."""
        status, _ = call("POST", f"{self.store.url}/test/put?key={key}", value)
        assert status == 200, status

    def delete(self, key: str) -> None:
        """Deletes an item of the store."""
        call("POST", f"{self.store.url}/test/delete?key={key}")

    def refuse(self, addresses: Sequence[str]) -> None:
        """Lets the store turn routers away by the start of their address."""
        body = json.dumps(addresses).encode()
        call("POST", f"{self.store.url}/test/refuse", body)

    def compact(self) -> None:
        """Lets the store forget its history."""
        call("POST", f"{self.store.url}/test/compact")

    def copy_store(self) -> None:
        """Lets the store keep a copy of its items."""
        call("POST", f"{self.store.url}/test/copy")

    def restore_store(self) -> None:
        """Lets the store return from its copy."""
        call("POST", f"{self.store.url}/test/restore")

    @property
    def zones(self) -> Sequence[str]:
        """Availability zones over which the fleet is spread."""
        return list(self._zones) or [_ZONE]

    def zone(self, number: int) -> str:
        """Returns the availability zone of a router."""
        return self.zones[number % len(self.zones)]

    def start_target(
        self, name: str, service: str, born: float = _STARTED_S
    ) -> None:
        """Starts a target and registers it."""
        options = ("--engine",) if service in ENGINE_SERVICES else ()
        target = start_standin("operators_platform", "--target", name, *options)
        self.targets[name] = target
        self.register(name, service, born=born)

    def register(
        self,
        name: str,
        service: str,
        state: str = "ready",
        born: float = _STARTED_S,
        version: str = "v1",
    ) -> None:
        """Writes the entry of a target that started at a Unix time."""
        with contextlib.suppress(OSError):
            # A target that has ended says nothing.
            self.set_start(name, born)
        address = self.targets[name].url.removeprefix("http://")
        entry = {
            "Service": service,
            "Address": address,
            "Zone": self.target_zones.get(name, _ZONE),
            "Slots": 8,
            "State": state,
            "Sequence": 1,
            "born": int(born * 1000),
            "Version": version,
        }
        self.put(f"servers/{name}", json.dumps(entry).encode())

    def set_start(self, name: str, born: float, **version: str) -> None:
        """Sets what a target says of itself.

        Args:
            name: Identifier of the target.
            born: Unix time of its start.
            version: Version of its software, which its events hold from then
                on.
        """
        target = self.targets[name]
        values = {"started_ms": int(born * 1000), **version}
        call(
            "POST",
            f"{target.operator_url or target.url}/test/start",
            json.dumps(values).encode(),
        )

    def set_work(self, name: str, seconds: float) -> None:
        """Sets the time that a target takes for an answer or an event."""
        url = f"{self.targets[name].url}/test/work"
        call("POST", url, str(seconds).encode())

    def runs(self) -> dict[str, dict[str, int]]:
        """Returns how often each target ran each request."""
        runs = {}
        for name, target in self.targets.items():
            if target.handle.poll() is None:
                _, body = call("GET", f"{target.url}/test/runs")
                runs[name] = json.loads(body)
        return runs

    def address(self, index: int) -> str:
        """Returns the IP address of a router."""
        return f"127.0.1.{index + 1}"

    def control_address(self, index: int) -> str:
        """Returns the IP address at which peers find a router."""
        return self.address(index)

    def caller_address(self, index: int) -> tuple[str, int]:
        """Returns where a router listens for callers."""
        return self.address(index), self._ports[0]

    def status_addresses(self, index: int) -> list[tuple[str, int]]:
        """Returns the readiness, control and metrics address of a router."""
        _, readiness, control, _, metrics = self._ports
        return [
            (self.address(index), readiness),
            (self.control_address(index), control),
            (self.address(index), metrics),
        ]

    def store_address(self, index: int) -> str:
        """Returns the address at which a router finds the store."""
        del index
        return self.store.url.removeprefix("http://")

    def start_router(self, index: int) -> None:
        """Starts a router."""
        caller, readiness, control, peer, metrics = self._ports
        address = self.address(index)
        seeds = ", ".join(
            f'"{self.control_address(each)}:{control}"' for each in range(2)
        )
        settings = self.path / f"router-{index}.toml"
        settings.write_text(
            f'NodeName = "edge-{index}"\nIp = "{address}"\n'
            f'Zone = "{self.zone(index)}"\n'
            f"PortRange = [{peer}, {metrics}]\nSeeds = [{seeds}]\n"
            "HeartbeatMs = 1200\n"
            f'[Listen]\nFrontend = "{address}:{caller}"\n'
            f'Readiness = "{address}:{readiness}"\n'
            f'Control = "{self.control_address(index)}:{control}"\n'
            f"[Limits]\nMemoryMb = {self.memory_mb}\n"
            f"MaxFds = {self.max_descriptors}\n"
            "[Bounds]\nDrainMs = 2000\nGraceS = 8\nReuseAfterS = 2\n"
            "RetryBudgetRatio = 0.2\nBudgetWindowS = 10\n"
            f'[Platform]\nAddress = "{self.store_address(index)}"\n'
            "HistoryS = 20\n"
            "[Zones]\n"
            + "".join(
                f'{zone} = "{region}"\n' for zone, region in self._zones.items()
            )
        )
        with open(self.log(index), "ab") as log:
            handle = subprocess.Popen(
                (sys.executable, "-m", "crowwinch", "gateway"),
                cwd=_ROOT,
                env=os.environ | {"CROWWINCH_BOOT": str(settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.routers[index] = Process(
            f"edge-{index}",
            f"http://{address}:{caller}",
            handle,
            operator_url=f"http://{address}:{readiness}",
        )

    def log(self, index: int) -> pathlib.Path:
        """Returns the file of a router's log."""
        return self.path / f"router-{index}.log"

    def metrics_url(self, index: int) -> str:
        """Returns the URL of a router's metrics port."""
        return f"http://{self.address(index)}:{self._ports[4]}"

    def metrics(self, index: int) -> str:
        """Returns the metrics of a router."""
        return call("GET", f"{self.metrics_url(index)}/metrics")[1].decode()

    def state(self, index: int) -> dict[str, object]:
        """Returns the state that a router reports to operators."""
        url = f"{self.metrics_url(index)}/v1/state"
        return json.loads(call("GET", url)[1])

    def is_ready(self, index: int) -> bool:
        """Returns whether a router says that it is ready."""
        url = f"{self.routers[index].operator_url}/readyz"
        try:
            return call("GET", url, timeout_s=1.0)[0] == 200
        except OSError:
            return False

    def wait_ready(self, indexes: Sequence[int]) -> None:
        """Waits until routers are ready and know all targets."""
        wait_for(
            lambda: all(self.is_ready(index) for index in indexes),
            "routers are not ready",
        )
        for index in indexes:
            for path in ("/look/x", "/chat/x"):
                wait_for(
                    lambda index=index, path=path: (
                        self.ask(index, path)[0] == 200
                    ),
                    f"router {index} does not serve {path}",
                )

    def ask(
        self,
        index: int,
        path: str,
        body: bytes = b"body",
        attempt: str = "",
        key: str = KEY,
    ) -> tuple[int, bytes]:
        """Sends a request; a broken connection counts as status 0."""
        headers = {
            "Host": HOST,
            "X-Api-Key": key,
            "X-Crowwinch-Attempt-Id": attempt or f"probe-{time.monotonic()}",
        }
        try:
            return call("POST", self.routers[index].url + path, body, headers)
        except (OSError, http.client.HTTPException):
            return 0, b""

    def ask_many(
        self, count: int, indexes: Sequence[int], path: str, prefix: str
    ) -> list[tuple[int, bytes]]:
        """Sends requests side by side, to the given routers in turn."""
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            return list(
                pool.map(
                    lambda number: self.ask(
                        indexes[number % len(indexes)],
                        path,
                        attempt=f"{prefix}-{number}",
                    ),
                    range(count),
                )
            )


def wait_for(
    check: Callable[[], bool], what: str, timeout_s: float = _READY_TIMEOUT_S
) -> float:
    """Waits until a check holds; returns the seconds that it took."""
    started = time.monotonic()
    while not check():
        if time.monotonic() - started > timeout_s:
            raise AssertionError(what)
        time.sleep(0.02)
    return time.monotonic() - started
