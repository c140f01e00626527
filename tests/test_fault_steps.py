"""Router faults at each step of a request's life, with separate processes.

One request is held at each step before the fault, so that no case depends on
when a random load happens to be hit.
"""

import asyncio
import json
import signal
import socket
import time
import unittest

from standins.processes import call
from tests import fault_load
from tests import fault_matrix as matrix

_OWNER = "supplier"
_SETTLE_S = 30.0
# Tokens of a request that runs for 4 s, longer than it takes to start all.
_LONG = 400
# More than the kernel buffers of one connection.
_LARGE = 12_000_000
# More connections than the accept queue of a stand-in holds (128).
_ACCEPT_QUEUE = 160


class _Steps:
    """Requests held at each step, most of them at one router."""

    def __init__(self, label, fleet, faulted):
        """Uses the router with index `faulted` for the fault."""
        self.load = fault_load.Load(label)
        self.fleet = fleet
        self.router = fleet.routers[faulted]
        others = [each for each in fleet.routers if each is not self.router]
        self.other, self.third = others[:2]
        self.held = {}
        self.keys = {}
        self.fetched = None
        self.gate = fleet.targets["gate-0"]
        self.queue_fillers = []
        self.hold = asyncio.Event()

    def start_all(self):
        """Brings one request to each step."""
        self._occupy("stream", model="queue-model", tokens=120)
        self._occupy("plain", service="narrow")
        self._record_one("recorded, issued by it", self.router, self.other)
        self._record_one("recorded, run by it", self.other, self.router)
        self.start_finished()
        self._begin("received", "whole", hold=self.hold)
        self._begin("waiting", "whole", model="queue-model")
        self._keyed("waiting with a claimed key", self.other, "narrow")
        self._begin("sent", "whole", tokens=_LONG)
        self._begin("sent plain call", "plain", service="slow")
        self._keyed("sent with a key", self.other, "slow")
        self._keyed("sent elsewhere, key of it", self.router, "slow", False)
        self._stream()
        self._fetch()
        # The last ones, since they are held for less than a second.
        self._accept_grant()
        self._send_grant()

    def start_finished(self):
        """Brings one request of each kind of large answer to its end."""
        self.finish("finished", "whole")
        self.finish("passed on", "plain")

    def finish(self, step, kind):
        """Lets the target answer a caller that reads nothing."""
        heads = []
        self._begin(
            step,
            kind,
            padding=_LARGE,
            reading=self.hold,
            progress=heads.append,
        )
        matrix.wait_until(lambda: heads, 5, step)

    def _accept_grant(self):
        """Holds a request that has a slot while its target cannot accept."""
        self.gate.signal(signal.SIGSTOP)
        address = ("127.0.0.1", int(self.gate.url.rsplit(":", 1)[1]))
        for _ in range(_ACCEPT_QUEUE):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self.queue_fillers.append(filler)
        record = self._begin("granted", "plain", service="gate")
        # The other target serves a repeat, should the connection time out. An
        # idle group uses its first target.
        url = f"{self.fleet.targets['gate-1'].url}/control/runs"
        assert record.text not in json.loads(call("GET", url)[1])["runs"]

    def _send_grant(self):
        """Holds a request whose grant is on its way."""
        names = [each.name for each in self.fleet.routers]
        scheduler = names[matrix.scheduler_index(self.fleet)]
        at_router = scheduler != self.router.name
        receiver = self.router if at_router else self.third
        self.fleet.hold_messages(scheduler, receiver.name)
        self._begin("granted, on its way", "plain", at_router)
        matrix.wait_until(self.fleet.holds_messages, 5, "a grant is held")

    def _occupy(self, kind, **options):
        record = self.load.new_record(kind, self.other.name, _OWNER)
        future = self.load.submit(
            self.load.caller.send(record, self.other.url, **options)
        )
        self.held[f"occupying {kind}"] = record, future
        self._wait_counted(record)

    def _wait_counted(self, record):
        matrix.wait_until(
            lambda: matrix.count_runs(self.fleet)[record.text],
            5,
            f"counted: {record.text}",
        )

    def _issue(self, router):
        headers = {"Authorization": f"Bearer key-{_OWNER}"}
        url = f"{router.url}/v1/idempotency-keys"
        return json.loads(call("POST", url, b"", headers)[1])["idempotency_key"]

    def _record_one(self, step, issuer, runner):
        record = self.load.new_record("keyed", runner.name, _OWNER)
        key = self._issue(issuer)
        self.load.submit(
            self.load.caller.send(record, runner.url, key=key)
        ).result(10)
        self.keys[step] = key, record, "rosters"

    def _active(self, router):
        return matrix.state_of(router.operator_url)["active_requests"]

    def _begin(self, step, kind, at_router=True, **options):
        router = self.router if at_router else self.third
        before = self._active(router)
        record = self.load.new_record(kind, router.name, _OWNER)
        future = self.load.submit(
            self.load.caller.send(record, router.url, **options)
        )
        self.held[step] = record, future
        matrix.wait_until(lambda: self._active(router) > before, 5, step)
        if step.startswith("sent"):
            self._wait_counted(record)
        return record

    def _keyed(self, step, issuer, service, at_router=True):
        key = self._issue(issuer)
        record = self._begin(step, "keyed", at_router, key=key, service=service)
        self.keys[step] = key, record, service

    def _stream(self):
        seen = []
        self._begin("streaming", "stream", tokens=_LONG, progress=seen.append)
        matrix.wait_until(lambda: seen and seen[-1] >= 10, 5, "streaming")

    def start_fetch(self):
        """Lets the router do nothing but wait for another one's answer."""
        self._keyed("sent elsewhere, key of it", self.other, "slow", False)
        self._fetch()

    def _fetch(self):
        """Asks the router for the answer of a call that still runs."""
        key, of_call, _ = self.keys["sent elsewhere, key of it"]
        record = fault_load.Record(
            "fetch", self.router.name, _OWNER, of_call.text
        )
        started = asyncio.Event()
        future = self.load.submit(
            self.load.caller.fetch(record, self.router.url, key, started)
        )
        self.load.submit(started.wait()).result(5)
        self.fetched = record, future

    def release(self):
        """Lets everything that is held go on."""
        self.fleet.release_messages()
        for filler in self.queue_fillers:
            filler.close()
        self.queue_fillers.clear()
        self.gate.signal(signal.SIGCONT)

        async def send():
            self.hold.set()

        self.load.submit(send()).result()

    def settle(self):
        """Waits for the end of all requests."""
        for _, future in [*self.held.values(), *filter(None, [self.fetched])]:
            future.result(_SETTLE_S)

    def repeat_keyed(self):
        """Repeats every keyed call through a router without a fault."""
        repeats = {}
        for step, (key, first, service) in self.keys.items():
            record = fault_load.Record(
                "keyed", self.other.name, _OWNER, first.text
            )
            repeats[step] = self.load.submit(
                self.load.caller.send(
                    record, self.other.url, key=key, service=service
                )
            )
        return {step: each.result(30) for step, each in repeats.items()}


class StepTest(unittest.TestCase):
    """Guards against a fault that harms a request at one step of its life."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = matrix.start_fleet(relay=True)
        cls.cases = 0

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()
        print(f"{cls.__name__}: {cls.cases} cases")

    def _run(self, name, faulted, inject, heal, may_break, must_answer):
        """Holds requests at each step, injects, heals and checks."""
        steps = _Steps(name, self.fleet, faulted)
        try:
            steps.start_all()
            inject(steps.router)
            steps.release()
            heal(faulted)
            steps.settle()
            # A call that was refused as not run may run when it is repeated.
            runs = matrix.count_runs(self.fleet)
            repeats = steps.repeat_keyed()
        finally:
            steps.release()
            records = steps.load.finish()
        self.assertEqual(matrix.problems(records, runs), [])
        for step, (record, _) in steps.held.items():
            with self.subTest(f"{name}, {step}"):
                type(self).cases += 1
                self.assertEqual(matrix.problems([record], runs), [])
                at_router = record.router == steps.router.name
                if must_answer or not at_router:
                    self.assertIn(record.outcome, ("correct", "refused"))
                if must_answer and step != "received" or not at_router:
                    self.assertEqual(record.outcome, "correct", record)
        with self.subTest(f"{name}, fetching"):
            type(self).cases += 1
            record = steps.fetched[0]
            if not may_break:
                self.assertEqual(record.outcome, "correct", record)
        runs = matrix.count_runs(self.fleet)
        for step, record in repeats.items():
            with self.subTest(f"{name}, repeat of {step}"):
                type(self).cases += 1
                self.assertEqual(matrix.problems([record], runs), [])
                if step.startswith("recorded"):
                    self.assertEqual(record.outcome, "correct", record)
        matrix.wait_members(self.fleet)

    def test_graceful_stop_of_a_router_that_only_fetches(self):
        """Guards against fetches that a planned stop cuts (I7)."""
        steps = _Steps("fetch", self.fleet, 3)
        try:
            steps.start_fetch()
            steps.router.signal(signal.SIGTERM)
            self.assertEqual(steps.router.handle.wait(15), 0)
            steps.settle()
        finally:
            steps.load.finish()
        self._restart(3)
        matrix.wait_members(self.fleet)
        type(self).cases += 1
        self.assertEqual(steps.fetched[0].outcome, "correct", steps.fetched[0])

    def test_graceful_stop_waits_for_slow_readers(self):
        """Guards against large answers that a planned stop cuts (I7).

        The callers read nothing until 4 s after the signal, then slowly.
        """
        for kind in ("whole", "plain"):
            with self.subTest(kind):
                type(self).cases += 1
                self._stop_with_slow_reader(kind)

    def _stop_with_slow_reader(self, kind):
        steps = _Steps(f"slow {kind}", self.fleet, 3)
        try:
            steps.finish("finished", kind)
            steps.router.signal(signal.SIGTERM)
            time.sleep(4.0)
            steps.release()
            self.assertEqual(steps.router.handle.wait(20), 0)
            steps.settle()
        finally:
            steps.release()
            steps.load.finish()
        self._restart(3)
        matrix.wait_members(self.fleet)
        record = steps.held["finished"][0]
        self.assertEqual(record.outcome, "correct", record)

    def test_graceful_stop_ends_despite_a_caller_that_never_reads(self):
        """Guards against a stop that takes longer than the stated time."""
        router = self.fleet.routers[3]
        arguments = router.arguments
        router.arguments = [*arguments, "--request-timeout-s=3"]
        steps = None
        try:
            router.kill()
            self._restart(3)
            matrix.wait_members(self.fleet)
            steps = _Steps("no reader", self.fleet, 3)
            steps.start_finished()
            started = time.monotonic()
            steps.router.signal(signal.SIGTERM)
            self.assertEqual(steps.router.handle.wait(20), 0)
            # The grace of 1 s, the life of a request and 5 s to close.
            self.assertLess(time.monotonic() - started, 1 + 3 + 5)
        finally:
            if steps is not None:
                steps.release()
                steps.load.finish()
            self.fleet.routers[3].arguments = arguments
            self._restart(3)
            matrix.wait_members(self.fleet)
        type(self).cases += 1

    def _restart(self, index):
        self.fleet.restart_router(index)
        self.fleet.wait_ready()

    def test_kill(self):
        self._run(
            "SIGKILL",
            0,
            lambda router: router.kill(),
            self._restart,
            may_break=True,
            must_answer=False,
        )

    def test_freeze(self):
        def heal(index):
            time.sleep(3.0)
            self.fleet.routers[index].signal(signal.SIGCONT)

        self._run(
            "SIGSTOP",
            1,
            lambda router: router.signal(signal.SIGSTOP),
            heal,
            may_break=False,
            must_answer=False,
        )

    def test_graceful_stop(self):
        def heal(index):
            router = self.fleet.routers[index]
            router.signal(signal.SIGTERM)
            self.assertEqual(router.handle.wait(15), 0)
            self._restart(index)

        self._run(
            "SIGTERM",
            2,
            lambda router: router.signal(signal.SIGTERM),
            heal,
            may_break=False,
            must_answer=True,
        )
