"""Exhaustive check of the state machines of one key."""

import dataclasses
import unittest

from crowwinch.generated.peer_messages import ConfirmAnswer
from crowwinch.idempotency import Recorder, Witness
from crowwinch.idempotency._recorder import RecordState
from crowwinch.idempotency.tests._model import Limits, explore

_MAX_STATES = 400_000


class _ForgetfulWitness(Witness):
    """Defect: confirms keys that it does not hold."""

    def on_confirm(self, router, message):
        self._send(router, ConfirmAnswer(message.key, message.attempt, True))


class _EagerRecorder(Recorder):
    """Defect: starts without the witness when it is silent."""

    def on_confirm_timeout(self, key, attempt):
        record = self._records.get(key)
        if record and record.state is RecordState.CONFIRMING:
            self._start(key, record)


class _RerunningRecorder(Recorder):
    """Defect: allows a new run when the claimant was lost."""

    def on_router_lost(self, router):
        for record in self._records.values():
            if record.state is RecordState.STARTED:
                record.state = RecordState.READY


class ModelTest(unittest.TestCase):
    """Guards against double runs and false `not_run` statements (I4, I5)."""

    def test_every_interleaving_keeps_the_invariants(self):
        cases = (
            ("one crash and one duplicate", Limits(depth=8)),
            (
                "two crashes",
                Limits(depth=8, crashes=2, duplicates=0, losses_of_router=0),
            ),
            (
                "two attempts, deep",
                Limits(depth=12, crashes=0, duplicates=0, losses_of_router=1),
            ),
            (
                "repeat at one router, deep",
                Limits(
                    depth=13,
                    crashes=1,
                    duplicates=0,
                    losses_of_router=1,
                    attempts=(("r1", "a1"),),
                ),
            ),
        )
        for name, limits in cases:
            with self.subTest(name):
                states, broken = explore(limits, _MAX_STATES)
                print(f"idempotency model, {name}: {states} states")
                self.assertEqual(broken, "")

    def test_injected_defects_are_found(self):
        cases = (
            ("witness confirms without a record", Recorder, _ForgetfulWitness),
            ("recorder starts unconfirmed", _EagerRecorder, Witness),
            ("recorder runs a lost call again", _RerunningRecorder, Witness),
        )
        for name, recorder, witness in cases:
            with self.subTest(name):
                limits = Limits(depth=12, crashes=1, duplicates=0)
                if recorder is not Recorder:
                    limits = dataclasses.replace(limits, crashes=0)
                _, broken = explore(limits, _MAX_STATES, recorder, witness)
                self.assertNotEqual(broken, "")
