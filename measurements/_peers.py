"""Routers that only answer and send probes."""

import asyncio
import itertools
import random

from crowwinch.errors import PeerMessageError
from crowwinch.generated.peer_messages import Ack, Ping
from crowwinch.peers import (
    CurveKeys,
    PeerIdentity,
    PeerTransport,
    decode,
    encode,
)

_LIFE = 1
_INCARNATION = _LIFE << 16
_PERIOD_S = 1.0


class ProbedPeers:
    """Live members of a fleet that do no other work.

    A fleet in which every member probes one other a second probes each member
    once a second; these peers probe the given routers at that rate.
    """

    def __init__(self, count: int, keys: CurveKeys, seed: int) -> None:
        """Creates the peers; nothing is opened before `start`."""
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._transports = {
            name: self._build(name, keys)
            for name in (f"peer-{index:03}" for index in range(count))
        }
        self._routers: dict[str, str] = {}
        self._task: asyncio.Task | None = None

    @property
    def addresses(self) -> dict[str, str]:
        """HOST:PORT by name once started."""
        return {
            name: f"127.0.0.1:{transport.port}"
            for name, transport in self._transports.items()
        }

    async def start(self) -> None:
        """Listens."""
        for transport in self._transports.values():
            await transport.start()

    def begin(self, routers: dict[str, str]) -> None:
        """Answers some routers and probes each of them once a second."""
        self._routers = routers
        for transport in self._transports.values():
            transport.set_peers(routers)
        self._task = asyncio.ensure_future(self._probe())

    async def stop(self) -> None:
        """Closes all sockets."""
        if self._task is not None:
            self._task.cancel()
        for transport in self._transports.values():
            await transport.stop()

    def _build(self, name: str, keys: CurveKeys) -> PeerTransport:
        def answer(sender: PeerIdentity, raw: bytes) -> None:
            try:
                message = decode(raw)
            except PeerMessageError:
                return
            if isinstance(message, Ping):
                ack = Ack(
                    message.probe,
                    name,
                    _INCARNATION,
                    message.revision,
                    message.digest,
                    [],
                )
                transport.send(sender.name, encode(ack))

        transport = PeerTransport(
            PeerIdentity(name, _LIFE),
            "127.0.0.1",
            0,
            answer,
            lambda reason: None,
            keys,
        )
        return transport

    async def _probe(self) -> None:
        peers = list(self._transports.values())
        while peers:
            await asyncio.sleep(_PERIOD_S)
            for router in self._routers:
                ping = Ping(next(self._numbers), _INCARNATION, 0, "", [])
                self._rng.choice(peers).send(router, encode(ping))
            for transport in peers:
                transport.close_idle()
