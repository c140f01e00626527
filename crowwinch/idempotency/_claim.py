"""The claimant: one attempt of a router to run a call under a key."""

from collections.abc import Callable

from crowwinch.coordination import TimerService
from crowwinch.errors import RunState
from crowwinch.generated.bases import MessageStruct
from crowwinch.generated.peer_messages import (
    Claim,
    ClaimAnswer,
    Close,
    CloseAnswer,
    Outcome,
)
from crowwinch.idempotency._keys import IdempotencyKey
from crowwinch.idempotency._verdicts import ClaimVerdict

CLAIM_TIMEOUT_S = 2.5
CLOSE_TIMEOUT_S = 1.5

Send = Callable[[str, MessageStruct], None]


class ClaimAttempt:
    """Asks the recorder and, when it is silent, the witness.

    `decided` is called exactly once, unless `abandon` comes first. Only the
    verdict RUN allows the call to run.
    """

    def __init__(
        self,
        key: IdempotencyKey,
        body_digest: str,
        attempt: str,
        timers: TimerService,
        send: Send,
        decided: Callable[[ClaimVerdict, bytes], None],
    ) -> None:
        """Prepares an attempt; `start` sends the claim.

        Args:
            key: The key of the call.
            body_digest: From `request_digest`, or from `query_digest` to ask
                for the result without starting the call.
            attempt: Unique in the fleet.
            timers: For the timeouts.
            send: Sends a message to a router.
            decided: Gets the verdict and the recorded answer.
        """
        self._key = key
        self._text = str(key)
        self._body_digest = body_digest
        self._attempt = attempt
        self._timers = timers
        self._send = send
        self._decided = decided
        self._ended = False
        self._waits = False
        self._closing = False

    @property
    def ended(self) -> bool:
        """Whether the verdict was given or the attempt abandoned."""
        return self._ended

    @property
    def attempt(self) -> str:
        """Identifier of the attempt."""
        return self._attempt

    def start(self) -> None:
        """Sends the claim."""
        self._timers.call_later(CLAIM_TIMEOUT_S, self.on_recorder_silent)
        self._send(
            self._key.recorder,
            Claim(self._text, self._body_digest, self._attempt),
        )

    def on_claim_answer(self, message: ClaimAnswer) -> None:
        """Handles an answer of the recorder."""
        verdict = ClaimVerdict(message.verdict)
        if verdict is ClaimVerdict.IN_PROGRESS:
            self._waits = True
        elif self._ended:
            if verdict is ClaimVerdict.RUN:
                self.finish(RunState.NOT_RUN, b"")
        elif verdict is ClaimVerdict.UNKNOWN:
            # A recorder that restarted holds nothing, but the witness may
            # hold the answer.
            self.on_recorder_lost()
        else:
            self._decide(verdict, message.content)

    def on_recorder_silent(self) -> None:
        """Asks the witness when the recorder has not answered in time."""
        if self._ended or self._waits or self._closing:
            return
        self._closing = True
        if not self._key.witness:
            self._decide(ClaimVerdict.UNKNOWN, b"")
            return
        self._timers.call_later(CLOSE_TIMEOUT_S, self.on_witness_silent)
        self._send(self._key.witness, Close(self._text, self._attempt))

    def on_recorder_lost(self) -> None:
        """Asks the witness when the recorder died while this attempt waits."""
        self._waits = False
        self.on_recorder_silent()

    def on_close_answer(self, message: CloseAnswer) -> None:
        """Handles the answer of the witness."""
        if not self._ended and self._closing:
            self._decide(ClaimVerdict(message.verdict), message.content)

    def on_witness_silent(self) -> None:
        """Gives up: neither recorder nor witness answers."""
        if not self._ended:
            self._decide(ClaimVerdict.UNKNOWN, b"")

    def abandon(self) -> None:
        """Ends the attempt, for instance when the caller has gone."""
        self._ended = True

    def finish(self, run_state: RunState, content: bytes) -> None:
        """Reports the result of an attempt that was allowed to run."""
        outcome = Outcome(self._text, self._attempt, int(run_state), content)
        self._send(self._key.recorder, outcome)
        if self._key.witness and run_state is RunState.RAN:
            self._send(self._key.witness, outcome)

    def _decide(self, verdict: ClaimVerdict, content: bytes) -> None:
        self._ended = True
        self._decided(verdict, content)
