"""Measures what an idle router uses.

Starts 3 routers, puts a configuration of many workspaces in force, lists more
members that answer and send probes, and waits. Prints one JSON object with the
resident memory, processor time and control traffic of one of the 3 routers.
"""

import argparse
import asyncio
import json
import os
import pathlib
import sys

import zmq

from crowwinch.configuration import CheckedTable, build_documents, key_hash
from crowwinch.generated.documents import Group, Target, Workspace
from crowwinch.peers import CurveKeys
from measurements._peers import ProbedPeers
from standins.processes import Fleet, call, free_ports

_ROUTERS = 3
_REGION = "region-1"
_WORKSPACES = 10_000
_LISTED = 340
_ZONES = 25
_SEED = 1
_SETTLE_S = 15.0
_SECONDS = 30.0
_READY_TIMEOUT_S = 60.0
_TARGET_MB = 64.0
# Shares of a core and bytes a second that control may take.
_TARGET_PERCENT = 2.9
_TARGET_BYTES_PER_S = 3000.0


def _publish(fleet: Fleet, workspaces: int) -> None:
    table = CheckedTable(
        [
            Workspace(f"workspace-{index:05}", 1.0, [key_hash(f"key-{index}")])
            for index in range(workspaces)
        ],
        [],
        [
            Group(
                "menus",
                "service",
                _REGION,
                [Target("target-0", "http://127.0.0.1:9", 8)],
            )
        ],
    )
    documents = build_documents(table, 1)
    for name, part in documents.parts.items():
        fleet.put(f"/control/values/{name}", part)
    fleet.put("/control/values/manifest", documents.manifest)


async def _start(fleet: Fleet, peers: ProbedPeers) -> None:
    await peers.start()
    drawn = free_ports(3 * _ROUTERS)
    ports = [drawn[index::_ROUTERS] for index in range(_ROUTERS)]
    names = [f"router-{index}" for index in range(_ROUTERS)]
    routers = {
        name: f"127.0.0.1:{port[2]}"
        for name, port in zip(names, ports, strict=True)
    }
    machines = [
        {
            "name": name,
            "address": address,
            "role": "router",
            "availability_zone": f"az-{index % _ZONES}",
            # The scheduler of the region is one of the routers measured.
            "region": _REGION if name in routers else "region-2",
            "state": "live",
        }
        for index, (name, address) in enumerate(
            (routers | peers.addresses).items()
        )
    ]
    vm_list = {"version": 1, "machines": machines}
    fleet.put("/control/vms", json.dumps(vm_list).encode())
    peers.begin(routers)
    for index, name in enumerate(names):
        fleet.routers.append(
            fleet.start_router(name, f"az-{index}", *ports[index])
        )
    await asyncio.to_thread(fleet.wait_ready, _READY_TIMEOUT_S)


def _resident_mb(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError("no resident memory in the status of the process")


def _processor_s(pid: int) -> float:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _metrics(url: str) -> dict[str, float]:
    _, text = await asyncio.to_thread(call, "GET", f"{url}/metrics")
    lines = (line.rsplit(" ", 1) for line in text.decode().splitlines())
    return {name: float(value) for name, value in lines}


async def _measure(
    fleet: Fleet, peers: ProbedPeers, settle_s: float, seconds: float
) -> dict[str, object]:
    await _start(fleet, peers)
    await asyncio.sleep(settle_s)
    router = fleet.routers[0]
    pid = router.handle.pid
    first, spent = await _metrics(router.operator_url), _processor_s(pid)
    await asyncio.sleep(seconds)
    last = await _metrics(router.operator_url)
    percent = (_processor_s(pid) - spent) / seconds * 100

    def rate(*names: str) -> float:
        names = tuple(f"crowwinch_{name}" for name in names)
        grown = sum(last.get(each, 0) - first.get(each, 0) for each in names)
        return grown / seconds

    return {
        "resident_mb": round(_resident_mb(pid), 1),
        "processor_percent": round(percent, 2),
        "control_bytes_per_s": round(
            rate(
                "peer_sent_bytes",
                "peer_received_bytes",
                "peer_handshake_bytes",
            )
        ),
        "handshake_bytes_per_s": round(rate("peer_handshake_bytes")),
        "descriptors": len(os.listdir(f"/proc/{pid}/fd")),
        "members_alive": int(last["crowwinch_members_alive"]),
    }


def measure(
    workspaces: int = _WORKSPACES,
    listed: int = _LISTED,
    seconds: float = _SECONDS,
    settle_s: float = _SETTLE_S,
) -> dict[str, object]:
    """Returns what one idle router uses.

    Args:
        workspaces: Size of the configuration in force.
        listed: Members in the VM list, with the 3 routers.
        seconds: Time over which rates are taken.
        settle_s: Time between the start and the first reading.
    """
    public, secret = (part.decode() for part in zmq.curve_keypair())
    os.environ["CROWWINCH_PEER_PUBLIC_KEY"] = public
    os.environ["CROWWINCH_PEER_SECRET_KEY"] = secret
    peers = ProbedPeers(listed - _ROUTERS, CurveKeys(public, secret), _SEED)
    fleet = Fleet()

    async def run() -> dict[str, object]:
        try:
            return await _measure(fleet, peers, settle_s, seconds)
        finally:
            await asyncio.to_thread(fleet.stop)
            await peers.stop()

    try:
        fleet.start_platform()
        _publish(fleet, workspaces)
        figures = asyncio.run(run())
    finally:
        fleet.stop()
    return {
        "measurement": "idle_router",
        "workspaces": workspaces,
        "listed": listed,
        **figures,
        "met": figures["resident_mb"] <= _TARGET_MB
        and figures["processor_percent"] <= _TARGET_PERCENT
        and figures["control_bytes_per_s"] <= _TARGET_BYTES_PER_S,
    }


def main() -> int:
    """Prints the measurement; returns 0 if the targets are met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workspaces", type=int, default=_WORKSPACES)
    parser.add_argument("--listed", type=int, default=_LISTED)
    parser.add_argument("--seconds", type=float, default=_SECONDS)
    arguments = parser.parse_args()
    result = measure(arguments.workspaces, arguments.listed, arguments.seconds)
    print(json.dumps(result))
    return 0 if result["met"] else 1


if __name__ == "__main__":
    sys.exit(main())
