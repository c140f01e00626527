"""Slopes of classes that run as a fleet on a fake clock."""

import functools
import gc
import math
import random
import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from crowwinch.app._peer_messages import from_wire_updates, to_wire
from crowwinch.coordination import (
    Ack,
    ManualClock,
    Membership,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    Ping,
    PingRequest,
    TimerService,
)
from crowwinch.peers import (
    FRAMING_BYTES,
    HANDSHAKE_BYTES,
    IDLE_S,
    LIFE_BYTES,
    RETURN_S,
    SPARE_IDLE_S,
    decode,
    encode,
    kept_connections,
)
from measurements._arrivals import Request, arrivals
from measurements._fit import slope_of
from measurements._fleet import Crowwinch
from measurements._scenarios import Scenario, scale, scenarios
from measurements._world import World

_DIGEST = "0" * 16
_LATENCY_S = 0.0005
_ZONES = 25
_REGIONS = 8


class Connections:
    """Open connections between members, as the transport keeps them."""

    def __init__(self, members: int) -> None:
        """Starts without connections."""
        self._kept = kept_connections(members - 1)
        # Time of the last message by peer, first opened first.
        self._used: dict[str, dict[str, float]] = defaultdict(dict)

    def extra_bytes(self, sender: str, receiver: str, now: float) -> int:
        """Returns bytes of a handshake or of a life besides a message."""
        own, incoming = self._open(sender, now), self._open(receiver, now)
        if receiver in own:
            self._use(sender, receiver, now)
            return 0
        if now - incoming.get(sender, -math.inf) < RETURN_S:
            self._use(receiver, sender, now)
            return LIFE_BYTES
        self._use(sender, receiver, now)
        return HANDSHAKE_BYTES

    def _use(self, opener: str, peer: str, now: float) -> None:
        self._used[opener][peer] = now

    def _open(self, opener: str, now: float) -> dict[str, float]:
        used = self._used[opener]
        for index, (peer, at) in enumerate(list(used.items())):
            if now - at >= (SPARE_IDLE_S if index >= self._kept else IDLE_S):
                del used[peer]
        return used


class SwimFleet:
    """Membership views that exchange encoded messages on a fake clock."""

    def __init__(self, members: int) -> None:
        """Starts all members at once, as in a cold start."""
        self.clock = ManualClock(0.0, 1_700_000_000.0)
        self.timers = TimerService(self.clock)
        self.bytes: Counter[str] = Counter()
        self.messages = 0
        self.connections = Connections(members)
        self.silent: set[str] = set()
        self.side: set[str] = set()
        names = [f"router-{index}" for index in range(members)]
        self.views = {name: self._view(name) for name in names}
        for view in self.views.values():
            view.set_listed(names)
            view.start()

    def run(self, seconds: float) -> None:
        """Moves the clock forward."""
        end = self.clock.monotonic() + seconds
        while (due := self.timers.next_due()) is not None and due <= end:
            self.clock.move_to(max(due, self.clock.monotonic()))
            self.timers.run_due()
        self.clock.move_to(end)

    def introduce(self) -> None:
        """Ends the news of first incarnations, which last 2.5 s a member."""
        for name, view in self.views.items():
            for other, peer in self.views.items():
                if other != name:
                    update = MemberUpdate(
                        other, peer.incarnation, MemberState.ALIVE
                    )
                    view._merge(update)
                    view._queue.discard(other)

    def rates(self, seconds: float) -> tuple[float, float, float]:
        """Runs and returns bytes/s mean and largest, and share of a core."""
        self.bytes.clear()
        started = time.process_time()
        self.run(seconds)
        spent = time.process_time() - started
        live = [name for name in self.views if name not in self.silent]
        rates = [self.bytes[name] / seconds for name in live]
        return sum(rates) / len(live), max(rates), spent / seconds / len(live)

    def until(self, names: set[str], is_alive: bool, limit: float) -> float:
        """Returns seconds until every live view agrees on some members."""
        start = self.clock.monotonic()
        while self.clock.monotonic() < start + limit:
            self.run(0.25)
            if all(
                (state.state is MemberState.ALIVE) == is_alive
                for name, view in self.views.items()
                if name not in self.silent and name not in names
                for member, state in view.members().items()
                if member in names
            ):
                return self.clock.monotonic() - start
        return limit

    def _view(self, name: str) -> Membership:
        return Membership(
            name,
            1_700_000_000_000,
            self.timers,
            lambda peer, message: self._send(name, peer, message),
            random.Random(name),
        )

    def _send(self, sender: str, peer: str, message: MembershipMessage) -> None:
        raw = encode(to_wire(message, 1000, _DIGEST))
        size = len(raw) + FRAMING_BYTES
        self.messages += 1
        self.bytes[sender] += size
        if peer in self.silent or (sender in self.side) != (peer in self.side):
            return
        extra = self.connections.extra_bytes(
            sender, peer, self.clock.monotonic()
        )
        self.bytes[sender] += extra
        size += extra
        self.bytes[peer] += size
        self.timers.call_later(
            _LATENCY_S, lambda: self._deliver(sender, peer, raw)
        )

    def _deliver(self, sender: str, peer: str, raw: bytes) -> None:
        if sender in self.silent or peer in self.silent:
            return
        wire: Any = decode(raw)
        view = self.views[peer]
        updates = from_wire_updates(wire.updates)
        kind = type(wire).__name__
        if kind == "Ping":
            view.handle_ping(
                sender, Ping(wire.probe, wire.incarnation, updates)
            )
        elif kind == "Ack":
            view.handle_ack(
                sender,
                Ack(wire.probe, wire.subject, wire.incarnation, updates),
            )
        else:
            view.handle_ping_request(
                sender, PingRequest(wire.probe, wire.subject, updates)
            )


@functools.cache
def membership_bytes(routers: int) -> int:
    """Returns the mean bytes a second of a member, handshakes included."""
    fleet = SwimFleet(routers)
    fleet.introduce()
    # Connections are kept from one cycle of probes to the next.
    fleet.run(routers + 10.0)
    return round(fleet.rates(max(20.0, routers))[0])


def membership() -> Iterator[dict[str, Any]]:
    """Yields traffic and processor time in a cold start and afterwards."""
    sizes = (8, 34, 102)
    cold, steady = [], []
    for size in sizes:
        fleet = SwimFleet(size)
        cold.append(fleet.rates(20.0))
        # First incarnations take this long to be passed on often enough.
        fleet.run(size * 2.5)
        steady.append(fleet.rates(30.0))
    for name, runs in (("cold", cold), ("steady", steady)):
        for index, (what, unit, factor) in enumerate(
            (
                ("bytes_mean", "bytes/s", 1),
                ("bytes_largest", "bytes/s", 1),
                ("processor", "% of a core", 100),
            )
        ):
            yield slope_of(
                f"membership_{name}_{what}",
                unit,
                "routers",
                sizes,
                [run[index] * factor for run in runs],
                8,
                340,
            )


def membership_faults() -> Iterator[dict[str, Any]]:
    """Yields the loss of a zone and of a region's links at several sizes."""
    for routers in (34, 102, 340):
        fleet = SwimFleet(routers)
        mean, largest, core = fleet.rates(10.0)
        names = list(fleet.views)
        result: dict[str, Any] = {
            "measurement": "membership_faults",
            "routers": routers,
            "cold_bytes_mean_s": round(mean),
            "cold_bytes_largest_s": round(largest),
            "cold_core_percent": round(core * 100, 3),
        }
        fleet.silent = set(names[::_ZONES][: max(1, routers // _ZONES)])
        result["zone_routers"] = len(fleet.silent)
        result["zone_loss_known_s"] = fleet.until(fleet.silent, False, 30.0)
        mean, largest, core = fleet.rates(5.0)
        result |= {
            "zone_loss_bytes_mean_s": round(mean),
            "zone_loss_bytes_largest_s": round(largest),
        }
        fleet = SwimFleet(routers)
        fleet.run(5.0)
        fleet.side = set(names[::_REGIONS])
        mean, largest, core = fleet.rates(10.0)
        result |= {
            "region_routers": len(fleet.side),
            "region_cut_bytes_mean_s": round(mean),
            "region_cut_bytes_largest_s": round(largest),
            "region_cut_core_percent": round(core * 100, 3),
        }
        cut, fleet.side = fleet.side, set()
        result["region_rejoin_known_s"] = fleet.until(cut, True, 60.0)
        yield result


class _WaitingWorld(World):
    """Notes the time from the arrival of a request to its start."""

    def __init__(
        self, scenario: Scenario, requests: list[Request], policy: Crowwinch
    ) -> None:
        super().__init__(scenario, requests, policy)
        self.waits: list[float] = []

    def service_started(self, request: Request, rate: float) -> None:
        super().service_started(request, rate)
        if self.scenario.burst_start <= request.time:
            self.waits.append(self.now - request.time)


def _run(scenario: Scenario) -> dict[str, float]:
    # Objects of earlier runs would be traversed in the time of this one.
    gc.collect()
    policy = Crowwinch()
    world = _WaitingWorld(scenario, arrivals(scenario, 1), policy)
    world.run()
    seconds = scenario.burst_end - scenario.burst_start
    rates = sorted(count / seconds for count in policy.control_bytes)
    messages = sorted(count / seconds for count in policy.control_messages)
    waits = sorted(world.waits) or [0.0]
    requests = world.requests_per_second()
    per_decision = policy.scheduler_seconds / max(policy.decisions, 1)
    return {
        "host": rates[-1],
        "ordinary": sum(rates[:-1]) / (len(rates) - 1),
        "host_messages": messages[-1],
        "ordinary_messages": sum(messages[:-1]) / (len(messages) - 1),
        "requests": requests,
        "decision_us": per_decision * 1e6,
        "host_core": per_decision * requests * 100,
        "report_core": policy.report_seconds / world.now * 100,
        "wait_p50_ms": waits[len(waits) // 2] * 1e3,
        "wait_p95_ms": waits[len(waits) * 95 // 100] * 1e3,
    }


@functools.cache
def _domain(routers: int) -> dict[str, float]:
    scenario = scale(routers)
    return _run(replace(scenario, burst_end=15.0, end=15.0))


def scheduler() -> Iterator[dict[str, Any]]:
    """Yields traffic and processor time by routers of a domain."""
    sizes = (11, 21, 42)
    for key, unit in (
        ("host", "bytes/s"),
        ("ordinary", "bytes/s"),
        ("host_messages", "messages/s"),
        ("ordinary_messages", "messages/s"),
        ("decision_us", "us"),
        ("host_core", "% of a core"),
        ("report_core", "% of a core"),
    ):
        yield slope_of(
            f"scheduler_{key}",
            unit,
            "routers of the domain",
            sizes,
            [_domain(size)[key] for size in sizes],
            8,
            42.5,
        )


def _shard(shards: int) -> Scenario:
    """Returns a region of 42 routers with a part of its groups."""
    whole = scale(42)
    pools = whole.pools[: len(whole.pools) // shards]
    names = list(whole.weights)[: len(whole.weights) // shards]
    demand = {
        name: 15.0 if index // len(pools) % 10 == 0 else 1.0
        for index, name in enumerate(names)
    }
    return replace(
        whole,
        pools=pools,
        weights=dict.fromkeys(names, 1.0),
        demand=demand,
        burst_end=15.0,
        end=15.0,
    )


def sharding() -> Iterator[dict[str, Any]]:
    """Yields the traffic of a scheduler of a part of the region's groups."""
    for shards in (1, 2, 4):
        run = _domain(42) if shards == 1 else _run(_shard(shards))
        yield {
            "measurement": "sharding",
            "schedulers_of_region": shards,
            "host_bytes_s": round(run["host"]),
            "host_core_percent": round(run["host_core"], 1),
            "host_report_core_percent": round(run["report_core"], 1),
            "ordinary_bytes_s_for_all": round(run["ordinary"] * shards),
        }


def pacing() -> Iterator[dict[str, Any]]:
    """Yields waits for a slot while slots are free, by requests a second."""
    runs = []
    for load in (0.1375, 0.275, 0.55):
        whole = scale(42)
        # With twice the capacity only messages keep a request waiting.
        pools = tuple(
            replace(pool, rate=pool.rate * 2, load=load) for pool in whole.pools
        )
        scenario = replace(
            whole, pools=pools, base_load=load, burst_end=13.0, end=13.0
        )
        runs.append(_run(scenario))
    sizes = [round(run["requests"] / 42, 2) for run in runs]
    for key, unit in (
        ("wait_p50_ms", "ms"),
        ("wait_p95_ms", "ms"),
        ("ordinary", "bytes/s"),
    ):
        yield slope_of(
            f"pacing_{key}",
            unit,
            "requests/s of a router",
            sizes,
            [run[key] for run in runs],
            2,
            8.2,
        )


def today() -> Iterator[dict[str, Any]]:
    """Yields the scheduling traffic of today's deployments."""
    for scenario in scenarios()[:2]:
        run = _run(replace(scenario, drains=False, end=scenario.burst_end))
        yield {
            "measurement": "today",
            "scenario": scenario.name,
            "routers": scenario.routers,
            **{key: round(value, 2) for key, value in run.items()},
        }
