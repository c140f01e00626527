"""Tests of stream records while routers are stopped and started in turn."""

import asyncio
import random
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.fleet._record_handover import RecordHandover
from crowwinch.fleet.tests.support import FleetModel
from crowwinch.forwarding import StreamOrigin, StreamOriginTable
from crowwinch.generated.fleet_messages import HandoverReceipt, StreamHandover

_STARTUP_S = 3.0
# A router stops for this long, which is less than the usual grace period.
_STOP_S = 7.0
_RESTART_S = 0.5
# Time after a start at which callers take streams up at a router.
_SETTLED_S = 3.0
_STREAMS_PER_ROUTER = 4
_ORIGIN = StreamOrigin("llm", "v1")


async def _find(fleet, router, names, age_s):
    """Looks streams up while the fleet goes on."""
    *origins, _ = await asyncio.gather(
        *(router.service.streams.find(name, age_s) for name in names),
        fleet.run(0.5),
    )
    return origins


class RollTest(unittest.TestCase):
    """Guards against streams that nobody can take up after a roll.

    Both holders of a record stopped before the router of the stream did.
    """

    def _roll(self, size, gap_s):
        """Stops and starts all routers in turn and looks up their streams.

        Args:
            size: Number of routers.
            gap_s: Time in seconds between two stops.

        Returns:
            What was found of each stream once its router had ended.
        """

        async def run():
            fleet = FleetModel(size)
            await fleet.start()
            await fleet.run(_STARTUP_S)
            found = []
            began = {}
            due = []
            for number in range(size):
                at = fleet.clock.monotonic() + number * gap_s
                due.append((at, "stop", number))
                due.append((at + _STOP_S, "end", number))
                started = at + _STOP_S + _RESTART_S
                due.append((started, "start", number))
                due.append((started + _SETTLED_S, "find", number))
            for at, action, number in sorted(due):
                await fleet.run(max(at - fleet.clock.monotonic(), 0.0))
                router = fleet.routers[number]
                names = [f"{number}-{n}" for n in range(_STREAMS_PER_ROUTER)]
                if action == "stop":
                    began[number] = fleet.clock.monotonic()
                    for name in names:
                        router.service.streams.record(name, _ORIGIN)
                    router.is_leaving = True
                elif action == "end":
                    fleet.network.frozen.add(router.host)
                elif action == "start":
                    fleet.network.frozen.discard(router.host)
                    await fleet.restart(number)
                else:
                    age_s = fleet.clock.monotonic() - began[number]
                    found += await _find(fleet, router, names, age_s)
            await fleet.stop()
            return found

        return asyncio.run(run())

    def test_streams_are_found_after_their_routers_have_ended(self):
        for size, gap_s in ((2, 11.0), (4, 1.0), (8, 1.0), (20, 0.5)):
            with self.subTest(size=size, gap_s=gap_s):
                found = self._roll(size, gap_s)
                self.assertGreaterEqual(found.count(_ORIGIN), 0.95 * len(found))


class _Receivers:
    """Peers that take records and lose datagrams."""

    def __init__(self, size, loss=0.0):
        self.clock = ManualClock()
        self.rng = random.Random(1)
        self.loss = loss
        self.messages = 0
        self.lives = dict.fromkeys((f"10.0.0.{n}:1" for n in range(size)), 1)
        self.held = {control: {} for control in self.lives}
        self.table = StreamOriginTable(self.clock)
        self.handover = RecordHandover(
            self.clock,
            "10.0.1.1:1",
            self.table,
            lambda key: sorted(self.lives)[:2],
            self._send,
        )

    def restart(self, control):
        """Starts a peer without records."""
        self.lives[control] += 1
        self.held[control] = {}

    def run(self, seconds):
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.handover.refresh(self.lives)
            self.clock.move_to(self.clock.monotonic() + 0.05)

    def _is_lost(self):
        self.messages += 1
        return self.rng.random() < self.loss

    def _send(self, message, controls):
        assert isinstance(message, StreamHandover)
        for control in controls:
            if control not in self.lives or self._is_lost():
                continue
            for record in message.records:
                self.held[control][record.stream] = record.age_ms
            if not self._is_lost():
                self.handover.confirm(HandoverReceipt(control, message.number))


class RecordHandoverTest(unittest.TestCase):
    """Guards against records that end with the router that stops."""

    def _start(self, size, records, loss=0.0):
        peers = _Receivers(size, loss)
        for number in range(records):
            peers.table.record(str(number), _ORIGIN)
        peers.handover.add(peers.table)
        return peers

    def test_two_peers_get_all_records(self):
        peers = self._start(3, 100)
        peers.run(0.5)
        self.assertEqual(
            [len(held) for held in peers.held.values()], [100, 100, 0]
        )
        self.assertFalse(peers.handover.is_pending)

    def test_lost_datagrams_are_sent_again(self):
        """Guards against a batch or a receipt that is lost."""
        peers = self._start(2, 100, loss=0.3)
        peers.run(5.0)
        self.assertEqual([len(held) for held in peers.held.values()], [100] * 2)
        self.assertFalse(peers.handover.is_pending)

    def test_peer_that_starts_again_gets_the_records_again(self):
        """Guards against copies that count although their peer has lost them.

        A peer that is back within the liveness timeout was never down.
        """
        peers = self._start(2, 10)
        peers.run(0.2)
        peers.restart("10.0.0.0:1")
        peers.run(0.2)
        self.assertEqual(len(peers.held["10.0.0.0:1"]), 10)

    def test_peer_that_leaves_is_replaced(self):
        peers = self._start(3, 10)
        peers.run(0.2)
        del peers.lives["10.0.0.0:1"]
        peers.run(0.2)
        self.assertEqual(len(peers.held["10.0.0.2:1"]), 10)

    def test_peer_that_ends_before_its_receipt_is_not_waited_for(self):
        """Guards against a stop that waits for a peer that is gone."""
        peers = self._start(2, 10, loss=1.0)
        peers.run(0.2)
        self.assertTrue(peers.handover.is_pending)
        peers.lives.clear()
        peers.run(0.2)
        self.assertFalse(peers.handover.is_pending)

    def test_first_peer_that_comes_up_gets_the_records(self):
        """Guards against records that are dropped while nobody stays."""
        peers = self._start(1, 10)
        lives = dict(peers.lives)
        peers.lives.clear()
        peers.run(1.0)
        peers.lives.update(lives)
        peers.run(0.2)
        self.assertEqual(len(peers.held["10.0.0.0:1"]), 10)

    def test_records_keep_their_age(self):
        """Guards against records that each handover keeps for longer."""
        peers = self._start(1, 1)
        peers.clock.move_to(40.0)
        peers.run(0.2)
        self.assertEqual(peers.held["10.0.0.0:1"], {"0": 40_000})
        table = StreamOriginTable(peers.clock)
        table.record("0", _ORIGIN, 40.0)
        self.assertAlmostEqual(table.age_s("0"), 40.0)

    def test_no_records_are_sent_once_all_peers_have_them(self):
        """Guards against traffic that goes on until the router has ended."""
        peers = self._start(2, 10)
        peers.run(0.2)
        sent = peers.messages
        peers.run(3.0)
        self.assertEqual(peers.messages, sent)


if __name__ == "__main__":
    unittest.main()
