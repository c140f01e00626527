"""Starts routers and stand-ins as separate processes on loopback."""

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.parse
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from crowwinch.configuration import digest_of, key_hash

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_START_TIMEOUT_S = 20.0
_LOG_LINES_SHOWN = 12
# Below the range of outgoing connections, which begins at 32768 on Linux.
_PORTS = (16384, 32768)
# Test modules that run side by side draw from slices of their own.
PORT_SLICE_VARIABLE = "TEST_PORT_SLICE"
PORT_SLICES = 32


def free_port() -> int:
    """Returns a TCP port that is free now on all addresses.

    Ports that the kernel gives to outgoing connections are left out: one of
    them could be taken while its router is down for a restart.
    """
    first, last = _port_range()
    while True:
        port = random.randrange(first, last)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("", port))
            except OSError:
                continue
        return port


def _port_range() -> tuple[int, int]:
    index = os.environ.get(PORT_SLICE_VARIABLE)
    if index is None:
        return _PORTS
    size = (_PORTS[1] - _PORTS[0]) // PORT_SLICES
    first = _PORTS[0] + int(index) % PORT_SLICES * size
    return first, first + size


def free_ports(count: int) -> list[int]:
    """Returns different TCP ports that are free now.

    Of 24 independent ones, two were equal in 1.6% of the draws.
    """
    ports: dict[int, None] = {}
    while len(ports) < count:
        ports[free_port()] = None
    return list(ports)


def call(
    method: str,
    url: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, bytes]:
    """Makes one HTTP call and returns status and body."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=timeout_s
    )
    try:
        path = parts.path + (f"?{parts.query}" if parts.query else "")
        connection.request(method, path, body, dict(headers or {}))
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


@dataclass
class Process:
    """A started process with its URL."""

    name: str
    url: str
    handle: subprocess.Popen
    operator_url: str = ""
    arguments: Sequence[str] = ()

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it still runs."""
        if self.handle.poll() is None:
            self.handle.send_signal(number)

    def stop(self, timeout_s: float = 10.0) -> int:
        """Stops the process and returns its exit code."""
        self.signal(signal.SIGTERM)
        try:
            return self.handle.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.handle.kill()
            return self.handle.wait()

    def kill(self) -> None:
        """Ends the process at once."""
        self.handle.kill()
        self.handle.wait()


def start_standin(module: str, *arguments: str) -> Process:
    """Starts a stand-in and waits until it listens."""
    command = [sys.executable, "-m", f"standins.{module}", *arguments]
    handle = subprocess.Popen(
        command, cwd=_ROOT, stdout=subprocess.PIPE, text=True
    )
    assert handle.stdout is not None
    line = handle.stdout.readline()
    if "listening on" not in line:
        raise RuntimeError(f"{module} did not start")
    return Process(module, line.split()[-1], handle, arguments=tuple(command))


@dataclass
class Fleet:
    """A platform stand-in, targets and routers."""

    log_path: str = os.devnull
    platform: Process | None = None
    relay: Process | None = None
    routers: list[Process] = field(default_factory=list)
    targets: dict[str, Process] = field(default_factory=dict)
    router_command: Sequence[str] = (sys.executable, "-m", "crowwinch")
    _machines: list[dict[str, object]] = field(default_factory=list)
    _list_version: int = 1

    def start_platform(self) -> None:
        """Starts the stand-in for the platform."""
        self.platform = start_standin("platform_service")

    def start_relay(self) -> None:
        """Puts a relay between the routers that are started later."""
        self.relay = start_standin("relay")

    def start_target(self, name: str, module: str, *arguments: str) -> None:
        """Starts a target stand-in; module is engine or plain_service."""
        self.targets[name] = start_standin(module, *arguments)

    def publish(
        self,
        revision: int,
        workspaces: Sequence[Mapping[str, object]],
        groups: Sequence[Mapping[str, object]],
    ) -> None:
        """Publishes a configuration."""
        parts = {
            "workspaces-000": {"workspaces": list(workspaces)},
            "groups-000": {"groups": list(groups)},
        }
        documents = {
            name: json.dumps(part).encode() for name, part in parts.items()
        }
        manifest = {
            "revision": revision,
            "parts": [
                {"name": name, "digest": digest_of(document)}
                for name, document in documents.items()
            ],
        }
        for name, document in documents.items():
            self.put(f"/control/values/{name}", document)
        self.put("/control/values/manifest", json.dumps(manifest).encode())

    def put(self, path: str, body: bytes) -> None:
        """Writes to the platform stand-in."""
        assert self.platform is not None
        status, _ = call("PUT", self.platform.url + path, body)
        if status != 204:
            raise RuntimeError(f"{path}: status {status}")

    def start_routers(self, count: int, zones: Sequence[str]) -> None:
        """Starts routers spread over availability zones."""
        free = iter(free_ports(3 * count))
        ports = list(zip(free, free, free, strict=True))
        machines = [
            {
                "name": f"router-{index}",
                "address": f"127.0.0.1:{peer}",
                "role": "router",
                "availability_zone": zones[index % len(zones)],
                "region": "region-1",
                "state": "live",
            }
            for index, (_, _, peer) in enumerate(ports)
        ]
        self._machines = machines
        self.list_machines(1, machines)
        if self.relay is not None:
            self._list_relayed(machines)
        for index, (caller, operator, peer) in enumerate(ports):
            self.routers.append(
                self.start_router(
                    f"router-{index}",
                    zones[index % len(zones)],
                    caller,
                    operator,
                    peer,
                )
            )
        self.wait_ready()

    def list_machines(
        self,
        version: int,
        machines: Sequence[Mapping[str, object]],
        reader: str = "",
    ) -> None:
        """Publishes a VM list, for one reader or for all the others."""
        document = {"version": version, "machines": list(machines)}
        path = "/control/vms" + (f"/{reader}" if reader else "")
        self.put(path, json.dumps(document).encode())

    def _list_relayed(self, machines: Sequence[Mapping[str, object]]) -> None:
        """Gives each router a list with relayed addresses of the others."""
        for reader in machines:
            seen = []
            for machine in machines:
                address = str(machine["address"])
                if machine is not reader:
                    address = self._relayed(reader, machine)
                seen.append({**machine, "address": address})
            self.list_machines(1, seen, str(reader["name"]))

    def _relayed(
        self, reader: Mapping[str, object], machine: Mapping[str, object]
    ) -> str:
        assert self.relay is not None
        port = int(str(machine["address"]).rsplit(":", 1)[1])
        url = f"{self.relay.url}/links/{reader['name']}>{machine['name']}"
        _, answer = call("PUT", url, json.dumps({"port": port}).encode())
        return f"127.0.0.1:{json.loads(answer)['port']}"

    def cut_links(self, pairs: Sequence[tuple[str, str]]) -> None:
        """Cuts the links from first to second of each pair, heals others."""
        assert self.relay is not None
        cuts = {f"{a}>{b}": ["forward", "back"] for a, b in pairs}
        call("PUT", f"{self.relay.url}/cuts", json.dumps(cuts).encode())

    def hold_messages(self, sender: str, receiver: str) -> None:
        """Holds what one router sends to another until `release_messages`."""
        assert self.relay is not None
        holds = {
            f"{sender}>{receiver}": ["forward"],
            f"{receiver}>{sender}": ["back"],
        }
        call("PUT", f"{self.relay.url}/holds", json.dumps(holds).encode())

    def holds_messages(self) -> bool:
        """Whether any message is held."""
        assert self.relay is not None
        return bool(json.loads(call("GET", f"{self.relay.url}/holds")[1]))

    def release_messages(self) -> None:
        """Passes held messages on."""
        assert self.relay is not None
        call("PUT", f"{self.relay.url}/holds", b"{}")

    def start_router(
        self, name: str, zone: str, caller: int, operator: int, peer: int
    ) -> Process:
        """Starts one router on the given ports."""
        assert self.platform is not None
        command = [
            *self.router_command,
            "router",
            f"--name={name}",
            f"--availability-zone={zone}",
            "--region=region-1",
            f"--caller-port={caller}",
            f"--operator-port={operator}",
            f"--peer-port={peer}",
            f"--configuration-url={self.platform.url}",
            f"--vm-list-url={self.platform.url}/views/{name}",
        ]
        with open(self.log_path, "a", encoding="utf-8") as log:
            handle = subprocess.Popen(command, cwd=_ROOT, stderr=log)
        return Process(
            name,
            f"http://127.0.0.1:{caller}",
            handle,
            f"http://127.0.0.1:{operator}",
            command,
        )

    def replace_router(self, index: int, name: str) -> None:
        """Starts a new router in place of a stopped one, not listed yet.

        It has the ports for callers and operators of the old one.
        """
        old = self.routers[index]
        caller, operator = (
            int(url.rsplit(":", 1)[1]) for url in (old.url, old.operator_url)
        )
        peer = free_port()
        zone = str(self._machines[index]["availability_zone"])
        self._machines[index] = {
            **self._machines[index],
            "name": name,
            "address": f"127.0.0.1:{peer}",
        }
        self.routers[index] = self.start_router(
            name, zone, caller, operator, peer
        )

    def list_running(self) -> None:
        """Publishes a VM list of the present routers."""
        self._list_version += 1
        self.list_machines(self._list_version, self._machines)

    def restart_target(self, name: str) -> None:
        """Starts a killed engine again at its address."""
        old = self.targets[name]
        if old.handle.poll() is None:
            return
        if old.handle.stdout is not None:
            old.handle.stdout.close()
        port = old.url.rsplit(":", 1)[1]
        self.start_target(name, "engine", f"--port={port}")

    def restart_router(self, index: int) -> None:
        """Starts a router again with the arguments that it had."""
        old = self.routers[index]
        with open(self.log_path, "a", encoding="utf-8") as log:
            handle = subprocess.Popen(old.arguments, cwd=_ROOT, stderr=log)
        self.routers[index] = Process(
            old.name, old.url, handle, old.operator_url, old.arguments
        )

    def wait_ready(self, timeout_s: float = _START_TIMEOUT_S) -> None:
        """Waits until every running router is ready.

        Raises:
            RuntimeError: If a router is not ready in time.
        """
        end = time.monotonic() + timeout_s
        for router in self.routers:
            while not _is_ready(router):
                if time.monotonic() > end or router.handle.poll() is not None:
                    code = router.handle.poll()
                    raise RuntimeError(
                        f"{router.name} is not ready, exit code {code}; "
                        f"end of the log:\n{self._log_end()}"
                    )
                time.sleep(0.05)

    @property
    def has_exited_router(self) -> bool:
        """Whether a router has ended that was not replaced."""
        return any(router.handle.poll() is not None for router in self.routers)

    def _log_end(self) -> str:
        lines = pathlib.Path(self.log_path).read_text("utf-8").splitlines()
        return "\n".join(lines[-_LOG_LINES_SHOWN:])

    def stop(self) -> None:
        """Stops every process that this fleet started."""
        running = [*self.routers, *self.targets.values()]
        for helper in (self.platform, self.relay):
            if helper is not None:
                running.append(helper)
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in running:
            process.stop()
            if process.handle.stdout is not None:
                process.handle.stdout.close()


def _is_ready(router: Process) -> bool:
    try:
        return call("GET", f"{router.operator_url}/readyz")[0] == 200
    except OSError:
        return False


def workspace(
    name: str, weight: float = 1.0, **limits: object
) -> dict[str, object]:
    """Returns a workspace document whose bearer key is `key-NAME`."""
    return {
        "name": name,
        "weight": weight,
        "key_hashes": [key_hash(f"key-{name}")],
        **limits,
    }
