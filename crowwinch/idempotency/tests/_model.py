"""Explores every interleaving of steps and faults of one key.

The world consists of the real recorder, witness and claim classes, a bag of
messages in flight that are delivered in any order, lost (never delivered) or
duplicated, and a target that counts runs.
"""

import functools
import pickle
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from crowwinch.coordination import ManualClock
from crowwinch.errors import RunState
from crowwinch.generated.peer_messages import (
    Claim,
    ClaimAnswer,
    Close,
    CloseAnswer,
    Confirm,
    ConfirmAnswer,
    Outcome,
)
from crowwinch.idempotency import (
    AnswerStore,
    ClaimAttempt,
    ClaimVerdict,
    Recorder,
    Witness,
    request_digest,
)
from crowwinch.idempotency._witness import WitnessRecord, WitnessState

_NOT_RUN = (ClaimVerdict.NOT_STARTED, ClaimVerdict.CLOSED)
_ANSWER = b"answer"


class _NoTimers:
    """Timeouts are steps of the exploration instead."""

    def call_later(self, delay, callback):
        del delay, callback


@dataclass(frozen=True)
class Limits:
    """Bounds of an exploration."""

    depth: int
    crashes: int = 1
    duplicates: int = 1
    losses_of_router: int = 1
    attempts: tuple[tuple[str, str], ...] = (("r1", "a1"), ("r2", "a2"))


class World:
    """One state of the fleet for one key."""

    def __init__(self, limits, recorder=Recorder, witness=Witness):
        self._recorder_class = recorder
        self._witness_class = witness
        self.messages = []
        self.verdicts = {}
        self.ran = ()
        self.closed_told = False
        self.wrong_answer = False
        self.crashes = limits.crashes
        self.duplicates = limits.duplicates
        self.losses = limits.losses_of_router
        self.claims = {}
        self.recorder = self._new_recorder()
        self.witness = self._new_witness()
        self.key = self.recorder.issue("w", 1, _ignore)
        text = str(self.key)
        self.witness.records[text] = WitnessRecord(WitnessState.RESERVED, 1e9)
        self.recorder._end_issue(text, True)
        self.messages.clear()

    def _new_recorder(self):
        return self._recorder_class(
            "p",
            1,
            ManualClock(),
            _NoTimers(),
            functools.partial(self.send, "p"),
            AnswerStore(100, 100),
        )

    def _new_witness(self):
        return self._witness_class(
            ManualClock(),
            functools.partial(self.send, "w"),
            AnswerStore(100, 100),
        )

    def send(self, sender, receiver, message):
        self.messages.append((sender, receiver, message))

    def decide(self, attempt, verdict, content):
        self.verdicts[attempt] = verdict
        if verdict is ClaimVerdict.CLOSED:
            self.closed_told = True
        if verdict is ClaimVerdict.RECORDED and (
            not self.ran or content not in (b"", _ANSWER)
        ):
            self.wrong_answer = True

    def steps(self, limits) -> Iterator[tuple]:
        for router, attempt in limits.attempts:
            if attempt not in self.claims and attempt not in self.verdicts:
                yield ("start", router, attempt)
        for index in range(len(self.messages)):
            yield ("deliver", index)
            if self.duplicates:
                yield ("duplicate", index)
        for attempt, claim in self.claims.items():
            if not claim.ended:
                yield ("recorder_silent", attempt)
                if claim._closing:
                    yield ("witness_silent", attempt)
                yield ("abandon", attempt)
            allowed = self.verdicts.get(attempt) is ClaimVerdict.RUN
            if allowed and attempt not in self.ran:
                yield ("run", attempt)
                yield ("not_sent", attempt)
        yield from self._fault_steps()

    def _fault_steps(self) -> Iterator[tuple]:
        for record in self.recorder.records.values():
            if record.attempt:
                yield ("confirm_timeout", record.attempt)
            if self.losses and record.claimant:
                yield ("router_lost", record.claimant)
        if self.crashes:
            yield ("crash", "p")
            yield ("crash", "w")
            for router in sorted(
                {each.router for each in self.claims.values()}
            ):
                yield ("crash", router)

    def apply(self, step) -> None:
        getattr(self, f"_do_{step[0]}")(*step[1:])

    def _do_start(self, router, attempt):
        claim = ClaimAttempt(
            self.key,
            request_digest(7, "POST", "/", b"body"),
            attempt,
            _NoTimers(),
            functools.partial(self.send, router),
            functools.partial(self.decide, attempt),
        )
        claim.router = router
        self.claims[attempt] = claim
        claim.start()

    def _do_deliver(self, index):
        self._deliver(*self.messages.pop(index))

    def _do_duplicate(self, index):
        self.duplicates -= 1
        self._deliver(*self.messages[index])

    def _deliver(self, sender, receiver, message):
        handlers = {
            ("p", Claim): lambda: self.recorder.on_claim(sender, message),
            ("p", ConfirmAnswer): lambda: self.recorder.on_confirm_answer(
                message
            ),
            ("p", Outcome): lambda: self.recorder.on_outcome(message),
            ("w", Confirm): lambda: self.witness.on_confirm(sender, message),
            ("w", Close): lambda: self.witness.on_close(sender, message),
            ("w", Outcome): lambda: self.witness.on_outcome(message),
        }
        handler = handlers.get((receiver, type(message)))
        if handler is not None:
            handler()
            return
        claim = self.claims.get(message.attempt)
        if claim is not None and isinstance(message, ClaimAnswer):
            claim.on_claim_answer(message)
        elif claim is not None and isinstance(message, CloseAnswer):
            claim.on_close_answer(message)

    def _do_recorder_silent(self, attempt):
        self.claims[attempt].on_recorder_lost()

    def _do_witness_silent(self, attempt):
        self.claims[attempt].on_witness_silent()

    def _do_abandon(self, attempt):
        self.claims[attempt].abandon()

    def _do_run(self, attempt):
        self.ran = (*self.ran, attempt)
        self.claims[attempt].finish(RunState.RAN, _ANSWER)

    def _do_not_sent(self, attempt):
        self.verdicts[attempt] = ClaimVerdict.NOT_STARTED
        self.claims[attempt].finish(RunState.NOT_RUN, b"")

    def _do_confirm_timeout(self, attempt):
        self.recorder.on_confirm_timeout(str(self.key), attempt)

    def _do_router_lost(self, router):
        self.losses -= 1
        self.recorder.on_router_lost(router)

    def _do_crash(self, name):
        self.crashes -= 1
        if name == "p":
            self.recorder = self._new_recorder()
        elif name == "w":
            self.witness = self._new_witness()
        else:
            for attempt, claim in list(self.claims.items()):
                if claim.router == name:
                    del self.claims[attempt]
                    self.verdicts.setdefault(attempt, None)

    def broken_invariant(self) -> str:
        if len(self.ran) > 1:
            return "the call ran twice"
        for attempt in self.ran:
            if self.verdicts.get(attempt) in _NOT_RUN:
                return "an attempt that was told not_run ran"
        if self.closed_told and self.ran:
            return "a key that was told closed ran"
        if self.wrong_answer:
            return "a recorded answer without a run"
        return ""

    def frozen(self) -> tuple:
        records = [
            (
                record.state,
                record.confirmed,
                record.attempt,
                record.claimant,
                record.run_state,
                tuple(record.waiting),
                record.digest,
            )
            for record in self.recorder.records.values()
        ]
        return (
            tuple(records),
            tuple(each.state for each in self.witness.records.values()),
            tuple(
                (name, claim._ended, claim._waits, claim._closing)
                for name, claim in sorted(self.claims.items())
            ),
            frozenset(self.verdicts.items()),
            self.ran,
            self.closed_told,
            self.crashes,
            self.duplicates,
            self.losses,
            tuple(
                sorted(
                    (sender, receiver, type(each).__name__, str(each))
                    for sender, receiver, each in self.messages
                )
            ),
        )


def _ignore(accepted):
    del accepted


def explore(limits, max_states, recorder=Recorder, witness=Witness):
    """Visits all states up to a depth.

    Returns:
        The number of states and the first broken invariant with its steps, or
        an empty string.
    """
    start = World(limits, recorder, witness)
    seen = {start.frozen()}
    queue = deque([(start, ())])
    while queue:
        world, path = queue.popleft()
        if len(path) >= limits.depth:
            continue
        # Loading a pickle is several times faster than a deep copy.
        image = pickle.dumps(world)
        for step in world.steps(limits):
            following = pickle.loads(image)
            following.apply(step)
            broken = following.broken_invariant()
            if broken:
                return len(seen), f"{broken}: {(*path, step)}"
            state = following.frozen()
            if state not in seen:
                seen.add(state)
                queue.append((following, (*path, step)))
        if len(seen) > max_states:
            raise AssertionError(f"more than {max_states} states")
    return len(seen), ""
