"""The processes of a soak, and when each of them was disturbed."""

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass

from standins.datagram_relay import DatagramRelay
from standins.processes import Process, call, start_standin
from tests.platform_fleet import (
    ENGINE_SERVICES,
    PlatformFleet,
    configuration,
)

DESKS = ("i-desk-1", "i-desk-2")
ENGINES = {
    "i-llm-1": "llm",
    "i-llm-2": "llm",
    "i-llm-3": "llm",
    "i-llm-b-1": "llm-b",
    "i-llm-b-2": "llm-b",
}
# Versions of different services have the same names and are different software.
VERSIONS = ("v1", "v2")
_ZONES = {"hall-a": "midlands", "hall-b": "midlands"}
# A part of the fleet counts as calm again this long after a disturbance, as on
# the operators' smaller sites.
CONTACT_S = 3.0


@dataclass(frozen=True, slots=True)
class Disturbance:
    """What was disturbed and when, in Unix seconds.

    Attributes:
        part: `router-N`, a target's name, or `store`.
        start: When it began.
        end: When it ended, infinite while it lasts.
        what: Kind of the fault.
    """

    part: str
    start: float
    end: float
    what: str


class SoakFleet(PlatformFleet):
    """A fleet whose links to the store and to targets can be disturbed."""

    def __init__(self, routers: int) -> None:
        """Starts the store and the relay."""
        super().__init__(routers, _ZONES)
        self.run_log = self.path / "runs.log"
        self.run_log.touch()
        self.disturbances: list[Disturbance] = []
        # Exit codes of routers that ended without being told to.
        self.ended_by_themselves: list[tuple[str, int]] = []
        self._relay = start_standin("relay")
        self._cuts: dict[str, list[str]] = {}
        self._delays: dict[str, float] = {}
        self._closed: set[str] = set()
        self._cut_off: set[str] = set()
        self._datagrams = DatagramRelay(
            {
                self.control_address(index): self.address(index)
                for index in range(routers)
            },
            self.peer_port,
        )
        self._store_links = [
            self._open_link(f"store-{index}", self.store.url)
            for index in range(routers)
        ]

    def start(self) -> None:
        """Starts targets and routers and waits until they serve."""
        for number, name in enumerate(("i-llm-3", "i-llm-b-1", "i-llm-b-2")):
            self.target_zones[name] = self.zone(number)
            self.start_target(name, ENGINES[name])
        super().start()

    def stop(self) -> None:
        """Ends all processes that were started."""
        super().stop()
        self._datagrams.stop()
        self._relay.kill()
        assert self._relay.handle.stdout is not None
        self._relay.handle.stdout.close()

    def store_address(self, index: int) -> str:
        """Returns a router's own way to the store."""
        return self._store_links[index]

    def control_address(self, index: int) -> str:
        """Returns the address at which the relay stands for a router."""
        return f"127.0.2.{index + 1}"

    def start_target(
        self, name: str, service: str, version: str = VERSIONS[0]
    ) -> None:
        """Starts a target behind the relay and registers it."""
        target = self._start_process(name, service)
        target.url = "http://" + self._open_link(name, target.url)
        self._introduce(name, service, version)

    def restart_in_place(self, name: str, service: str, version: str) -> None:
        """Starts a target again at the address that it had."""
        url = self.targets[name].url
        port = self.targets[name].operator_url.rpartition(":")[2]
        target = self._start_process(name, service, "--port", port)
        target.url = url
        self._introduce(name, service, version)

    def _start_process(self, name: str, service: str, *options: str) -> Process:
        target = start_standin(
            "operators_platform",
            "--target",
            name,
            "--run-log",
            str(self.run_log),
            *(("--engine",) if service in ENGINE_SERVICES else ()),
            *options,
        )
        target.operator_url = target.url
        self.targets[name] = target
        return target

    def _introduce(self, name: str, service: str, version: str) -> None:
        """Lets a target know its version, and registers it."""
        born = time.time()
        if service in ENGINE_SERVICES:
            self.set_start(name, born, version=f"{service}-{version}")
        self.register(name, service, born=born, version=version)

    def note(
        self, part: str, start: float, end: float, what: str
    ) -> Disturbance:
        """Records a disturbance."""
        disturbance = Disturbance(part, start, end, what)
        self.disturbances.append(disturbance)
        return disturbance

    def end(self, disturbance: Disturbance) -> None:
        """Records that a disturbance has ended."""
        self.disturbances.remove(disturbance)
        self.note(
            disturbance.part, disturbance.start, time.time(), disturbance.what
        )

    def is_calm(self, part: str, start: float, end: float) -> bool:
        """Returns whether a part was not disturbed shortly before or within."""
        return not any(
            each.part == part
            and each.start <= end
            and each.end + CONTACT_S >= start
            for each in self.disturbances
        )

    def cut(self, link: str, ways: list[str]) -> None:
        """Swallows what passes on a link; no ways heal it."""
        self._cuts[link] = ways
        self._put("cuts", self._cuts)

    def delay(self, link: str, seconds: float) -> None:
        """Delays each chunk on a link."""
        self._delays[link] = seconds
        self._put("delays", self._delays)

    def close(self, link: str, *, is_closed: bool) -> None:
        """Resets all connections of a link until it is opened again."""
        (self._closed.add if is_closed else self._closed.discard)(link)
        self._put("closed", sorted(self._closed))

    def cut_off(self, index: int, *, is_cut: bool) -> None:
        """Cuts a router off from the store and from its peers."""
        change = self._cut_off.add if is_cut else self._cut_off.discard
        change(self.address(index))
        self._datagrams.set_cut(frozenset(self._cut_off))
        self.cut(f"store-{index}", ["forward", "back"] if is_cut else [])

    def publish(self, version: int, plan_services: Sequence[str]) -> float:
        """Writes a configuration whose second key is that of its version.

        Args:
            version: Number of the version.
            plan_services: Services of streams that may be taken up.

        Returns:
            When the store had it, in Unix seconds.
        """
        keys = ["key-1", version_key(version)]
        tenants = [{"Name": "tenant", "ApiKeys": keys}]
        self.put(
            "op/config", configuration(version, plan_services, Tenants=tenants)
        )
        return time.time()

    def note_ended_routers(self) -> None:
        """Records routers that ended by themselves; call it often."""
        for index, router in enumerate(self.routers):
            if router is not None and router.handle.poll() is not None:
                code = router.handle.returncode
                self.ended_by_themselves.append((f"router-{index}", code))
                self.routers[index] = None

    def take_router(self, index: int) -> Process | None:
        """Returns a router that is about to be stopped by the soak."""
        router, self.routers[index] = self.routers[index], None
        return router

    def _open_link(self, name: str, url: str) -> str:
        port = int(url.rpartition(":")[2])
        _, answer = call(
            "PUT",
            f"{self._relay.url}/links/{name}",
            json.dumps({"port": port}).encode(),
        )
        return f"127.0.0.1:{json.loads(answer)['port']}"

    def _put(self, what: str, value: object) -> None:
        call("PUT", f"{self._relay.url}/{what}", json.dumps(value).encode())


def version_key(version: int) -> str:
    """Returns the key that only one version of the configuration holds."""
    return f"version-{version}"
