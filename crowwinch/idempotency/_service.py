"""Recorder, witness and claims of one router, with their messages."""

import asyncio
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import singledispatchmethod

from crowwinch.coordination import TimerService
from crowwinch.errors import RunState
from crowwinch.generated.bases import MessageStruct
from crowwinch.generated.peer_messages import (
    Claim,
    ClaimAnswer,
    Close,
    CloseAnswer,
    Confirm,
    ConfirmAnswer,
    Outcome,
    Reserve,
    ReserveAnswer,
)
from crowwinch.idempotency._claim import ClaimAttempt
from crowwinch.idempotency._keys import IdempotencyKey
from crowwinch.idempotency._recorder import Recorder
from crowwinch.idempotency._store import AnswerStore
from crowwinch.idempotency._verdicts import ClaimVerdict
from crowwinch.idempotency._witness import Witness

MESSAGE_KINDS = (
    Claim,
    ClaimAnswer,
    Close,
    CloseAnswer,
    Confirm,
    ConfirmAnswer,
    Outcome,
    Reserve,
    ReserveAnswer,
)
# Both stores together take an eighth of the 64 MB of a router.
_STORE_BYTES = 4_000_000
_ANSWER_BYTES = 256_000
_ISSUE_TRIES = 2


@dataclass(frozen=True, slots=True)
class WitnessCandidate:
    """A live router that can witness a key."""

    name: str
    incarnation: int
    availability_zone: str


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Verdict on a claim.

    Attributes:
        content: The recorded answer, empty if none is held.
        finish: Reports the result of a call that was allowed to run.
    """

    verdict: ClaimVerdict
    content: bytes
    finish: Callable[[RunState, bytes], None]


class IdempotencyService:
    """Issues keys and decides which calls may run."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        availability_zone: str,
        timers: TimerService,
        send: Callable[[str, MessageStruct], None],
        candidates: Callable[[], Sequence[WitnessCandidate]],
        generator: random.Random,
    ) -> None:
        """Creates a service without keys.

        Args:
            name: Name of this router.
            incarnation: Incarnation of this router.
            availability_zone: Zone of this router.
            timers: For timeouts.
            send: Sends a message to another router.
            candidates: Returns the live routers except this one.
            generator: Chooses among candidates.
        """
        self._name = name
        self._incarnation = incarnation
        self._availability_zone = availability_zone
        self._timers = timers
        self._remote_send = send
        self._candidates = candidates
        self._random = generator
        self._recorder = Recorder(
            name,
            incarnation,
            timers.clock,
            timers,
            self._send,
            AnswerStore(_STORE_BYTES, _ANSWER_BYTES),
        )
        self._witness = Witness(
            timers.clock, self._send, AnswerStore(_STORE_BYTES, _ANSWER_BYTES)
        )
        self._claims: dict[str, tuple[IdempotencyKey, ClaimAttempt]] = {}
        self._numbers = itertools.count(1)

    async def issue(self) -> IdempotencyKey | None:
        """Returns a new key, or None when too many keys are held.

        A router without live peers issues a key without a witness: after its
        loss the result is unknown.
        """
        for witness in [*self._choose_witnesses(), None]:
            accepted = asyncio.get_running_loop().create_future()
            key = self._recorder.issue(
                witness.name if witness else "",
                witness.incarnation if witness else 0,
                accepted.set_result,
            )
            if key is None or await accepted:
                return key
        return None

    async def claim(self, key: IdempotencyKey, digest: str) -> ClaimResult:
        """Asks whether a call may run, and waits while another attempt runs.

        Args:
            key: The key of the call.
            digest: From `request_digest` or `query_digest`.
        """
        attempt = f"{self._name}-{self._incarnation}-{next(self._numbers)}"
        decided: asyncio.Future[tuple[ClaimVerdict, bytes]] = (
            asyncio.get_running_loop().create_future()
        )

        def decide(verdict: ClaimVerdict, content: bytes) -> None:
            if not decided.done():
                decided.set_result((verdict, content))

        claim = ClaimAttempt(
            key, digest, attempt, self._timers, self._send, decide
        )
        self._claims[attempt] = (key, claim)
        claim.start()
        try:
            verdict, content = await decided
        except asyncio.CancelledError:
            self._cancel(claim, decided)
            raise
        if verdict is not ClaimVerdict.RUN:
            del self._claims[attempt]
        return ClaimResult(
            verdict,
            content,
            lambda state, answer: self._finish(attempt, state, answer),
        )

    def router_lost(self, router: str) -> None:
        """Gives up on attempts and records of a router that is gone."""
        self._recorder.on_router_lost(router)
        for key, claim in list(self._claims.values()):
            if key.recorder == router:
                claim.on_recorder_lost()

    @singledispatchmethod
    def receive(self, message: MessageStruct, peer: str) -> None:
        """Handles a message of a router.

        Raises:
            TypeError: If the message does not concern idempotency.
        """
        raise TypeError(f"{type(message).__name__} from {peer}")

    @receive.register
    def _(self, message: Claim, peer: str) -> None:
        self._recorder.on_claim(peer, message)

    @receive.register
    def _(self, message: ConfirmAnswer, peer: str) -> None:
        del peer
        self._recorder.on_confirm_answer(message)

    @receive.register
    def _(self, message: ReserveAnswer, peer: str) -> None:
        del peer
        self._recorder.on_reserve_answer(message)

    @receive.register
    def _(self, message: Reserve, peer: str) -> None:
        self._witness.on_reserve(peer, message)

    @receive.register
    def _(self, message: Confirm, peer: str) -> None:
        self._witness.on_confirm(peer, message)

    @receive.register
    def _(self, message: Close, peer: str) -> None:
        self._witness.on_close(peer, message)

    @receive.register
    def _(self, message: Outcome, peer: str) -> None:
        del peer
        self._recorder.on_outcome(message)
        self._witness.on_outcome(message)

    @receive.register
    def _(self, message: ClaimAnswer, peer: str) -> None:
        del peer
        entry = self._claims.get(message.attempt)
        if entry is not None:
            entry[1].on_claim_answer(message)
        elif message.verdict == ClaimVerdict.RUN:
            # Nobody waits for this attempt any more, so it does not run.
            self._report_not_run(message)

    @receive.register
    def _(self, message: CloseAnswer, peer: str) -> None:
        del peer
        entry = self._claims.get(message.attempt)
        if entry is not None:
            entry[1].on_close_answer(message)

    def _report_not_run(self, message: ClaimAnswer) -> None:
        if not message.attempt.startswith(f"{self._name}-{self._incarnation}-"):
            return
        recorder = message.key.split("~")[1]
        self._send(
            recorder,
            Outcome(message.key, message.attempt, int(RunState.NOT_RUN), b""),
        )

    def _cancel(
        self,
        claim: ClaimAttempt,
        decided: "asyncio.Future[tuple[ClaimVerdict, bytes]]",
    ) -> None:
        claim.abandon()
        decision = None
        if decided.done() and not decided.cancelled():
            decision = decided.result()[0]
        if decision is ClaimVerdict.RUN:
            claim.finish(RunState.NOT_RUN, b"")
        self._claims.pop(claim.attempt, None)

    def _finish(self, attempt: str, state: RunState, answer: bytes) -> None:
        entry = self._claims.pop(attempt, None)
        if entry is not None:
            entry[1].finish(state, answer)

    def _send(self, router: str, message: MessageStruct) -> None:
        if router != self._name:
            self._remote_send(router, message)
            return
        # Later, so that a state machine is never entered while it runs.
        asyncio.get_running_loop().call_soon(self.receive, message, self._name)

    def _choose_witnesses(self) -> list[WitnessCandidate]:
        candidates = list(self._candidates())
        self._random.shuffle(candidates)
        candidates.sort(
            key=lambda each: each.availability_zone == self._availability_zone
        )
        return candidates[:_ISSUE_TRIES]
