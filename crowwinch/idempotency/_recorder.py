"""The recorder: the router that decides which attempt of a key may run."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from crowwinch.coordination import Clock, TimerService
from crowwinch.errors import RunState
from crowwinch.generated.bases import MessageStruct
from crowwinch.generated.peer_messages import (
    Claim,
    ClaimAnswer,
    Confirm,
    ConfirmAnswer,
    Outcome,
    Reserve,
    ReserveAnswer,
)
from crowwinch.idempotency._keys import (
    IdempotencyKey,
    digests_match,
    is_query,
    new_key,
    parse_key,
)
from crowwinch.idempotency._store import AnswerStore
from crowwinch.idempotency._verdicts import ClaimVerdict

KEY_LIFETIME_S = 24 * 3600.0
CONFIRM_TIMEOUT_S = 1.0
MAX_KEYS = 50_000

Send = Callable[[str, MessageStruct], None]


class RecordState(enum.Enum):
    """Progress of a key at its recorder."""

    RESERVING = "reserving"
    READY = "ready"
    CONFIRMING = "confirming"
    STARTED = "started"
    FINISHED = "finished"
    CLOSED = "closed"


@dataclass(slots=True)
class Record:
    """What the recorder knows of one key.

    Attributes:
        confirmed: Whether the witness confirmed the key.
        digest: Digest of the request that first used the key.
        attempt: The attempt that is confirmed or started.
        claimant: The router of that attempt.
        run_state: Result of a finished attempt.
        waiting: Router and attempt of claims that wait for the result.
    """

    state: RecordState
    expires: float
    confirmed: bool = False
    digest: str = ""
    attempt: str = ""
    claimant: str = ""
    run_state: RunState = RunState.UNKNOWN
    waiting: list[tuple[str, str]] = field(default_factory=list)


class Recorder:
    """Records of the keys that this router issued."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        clock: Clock,
        timers: TimerService,
        send: Send,
        answers: AnswerStore,
    ) -> None:
        """Creates a recorder without keys."""
        self._name = name
        self._incarnation = incarnation
        self._clock = clock
        self._timers = timers
        self._send = send
        self._answers = answers
        self._records: dict[str, Record] = {}
        self._issues: dict[str, Callable[[bool], None]] = {}

    @property
    def records(self) -> dict[str, Record]:
        """Records by key."""
        return self._records

    def issue(
        self,
        witness: str,
        witness_incarnation: int,
        done: Callable[[bool], None],
    ) -> IdempotencyKey | None:
        """Issues a key.

        Args:
            witness: Name of the witness, "" for none.
            witness_incarnation: Its incarnation.
            done: Called once with whether the witness holds the key. The key
                must not be given out before.

        Returns:
            The key, or None when too many keys are held.
        """
        self._forget_expired()
        if len(self._records) >= MAX_KEYS:
            return None
        key = new_key(
            self._name, self._incarnation, witness, witness_incarnation
        )
        text = str(key)
        expires = self._clock.monotonic() + KEY_LIFETIME_S
        if not witness:
            self._records[text] = Record(
                RecordState.READY, expires, confirmed=True
            )
            done(True)
            return key
        self._records[text] = Record(RecordState.RESERVING, expires)
        self._issues[text] = done
        self._timers.call_later(
            CONFIRM_TIMEOUT_S, lambda: self._end_issue(text, False)
        )
        self._send(witness, Reserve(text))
        return key

    def on_reserve_answer(self, message: ReserveAnswer) -> None:
        """Handles the witness's answer to a new key."""
        self._end_issue(message.key, message.accepted)

    def on_claim(self, router: str, message: Claim) -> None:
        """Answers a claim, or asks the witness first."""
        verdict = self._refuse_claim(message)
        if verdict is not None:
            self._answer(router, message.key, message.attempt, verdict)
            return
        record = self._records[message.key]
        if record.state is RecordState.READY:
            self._begin(router, message, record)
        elif (record.claimant, record.attempt) != (router, message.attempt):
            self._wait(router, message, record)
        elif record.state is RecordState.STARTED:
            self._answer(router, message.key, message.attempt, ClaimVerdict.RUN)

    def on_confirm_answer(self, message: ConfirmAnswer) -> None:
        """Handles the witness's answer to a confirmation."""
        record = self._records.get(message.key)
        if record is None or record.confirmed:
            return
        if not message.confirmed:
            self._close(message.key, record)
            return
        record.confirmed = True
        if record.state is RecordState.CONFIRMING:
            self._start(message.key, record)

    def on_outcome(self, message: Outcome) -> None:
        """Records the result of the attempt that was started.

        A result that is already known never changes.
        """
        record = self._records.get(message.key)
        if record is None or record.attempt != message.attempt:
            return
        known = (
            record.state is RecordState.FINISHED
            and record.run_state is not RunState.UNKNOWN
        )
        if known or record.state not in (
            RecordState.STARTED,
            RecordState.FINISHED,
        ):
            return
        self._finish(message.key, record, RunState(message.run_state), message)

    def on_router_lost(self, router: str) -> None:
        """Gives up on attempts of a router that is gone."""
        for key, record in self._records.items():
            if (
                record.state is RecordState.STARTED
                and record.claimant == router
            ):
                self._finish(key, record, RunState.UNKNOWN, None)

    def _refuse_claim(self, message: Claim) -> ClaimVerdict | None:
        record = self._records.get(message.key)
        if record is None or record.state is RecordState.RESERVING:
            return ClaimVerdict.UNKNOWN
        if not digests_match(record.digest, message.body_digest):
            return ClaimVerdict.MISMATCH
        if record.state is RecordState.CLOSED:
            return ClaimVerdict.CLOSED
        if record.state is RecordState.FINISHED:
            return _verdict_of(record.run_state)
        if is_query(message.body_digest) and record.state is RecordState.READY:
            return ClaimVerdict.NOT_STARTED
        return None

    def _begin(self, router: str, message: Claim, record: Record) -> None:
        record.digest = message.body_digest
        record.claimant, record.attempt = router, message.attempt
        if record.confirmed:
            self._start(message.key, record)
            return
        record.state = RecordState.CONFIRMING
        key = parse_key(message.key)
        assert key is not None, "a record has a valid key"
        attempt = message.attempt
        self._timers.call_later(
            CONFIRM_TIMEOUT_S,
            lambda: self.on_confirm_timeout(message.key, attempt),
        )
        self._send(key.witness, Confirm(message.key, attempt))

    def on_confirm_timeout(self, key: str, attempt: str) -> None:
        """Gives up waiting for the witness; the attempt will not run."""
        record = self._records.get(key)
        if (
            record is None
            or record.state is not RecordState.CONFIRMING
            or record.attempt != attempt
        ):
            return
        record.state = RecordState.READY
        self._answer_all(key, record, ClaimVerdict.NOT_STARTED)
        record.claimant = record.attempt = ""

    def _start(self, key: str, record: Record) -> None:
        record.state = RecordState.STARTED
        self._answer(record.claimant, key, record.attempt, ClaimVerdict.RUN)

    def _wait(self, router: str, message: Claim, record: Record) -> None:
        waiter = (router, message.attempt)
        if waiter not in record.waiting:
            record.waiting.append(waiter)
        self._answer(
            router, message.key, message.attempt, ClaimVerdict.IN_PROGRESS
        )

    def _close(self, key: str, record: Record) -> None:
        # A witness that refuses has closed the key or has lost its memory.
        # It may have told another router that the call did not run.
        record.state = RecordState.CLOSED
        self._answer_all(key, record, ClaimVerdict.CLOSED)

    def _finish(
        self,
        key: str,
        record: Record,
        run_state: RunState,
        message: Outcome | None,
    ) -> None:
        if run_state is RunState.NOT_RUN:
            record.state = RecordState.READY
            verdict = ClaimVerdict.NOT_STARTED
            record.claimant = record.attempt = ""
        else:
            record.state = RecordState.FINISHED
            record.run_state = run_state
            verdict = _verdict_of(run_state)
        if message is not None and run_state is RunState.RAN:
            self._answers.put(key, message.content)
        waiting, record.waiting = record.waiting, []
        for router, attempt in waiting:
            self._answer(router, key, attempt, verdict)

    def _answer_all(
        self, key: str, record: Record, verdict: ClaimVerdict
    ) -> None:
        waiting, record.waiting = record.waiting, []
        if record.attempt:
            waiting.insert(0, (record.claimant, record.attempt))
        for router, attempt in waiting:
            self._answer(router, key, attempt, verdict)

    def _answer(
        self, router: str, key: str, attempt: str, verdict: ClaimVerdict
    ) -> None:
        content = b""
        if verdict is ClaimVerdict.RECORDED:
            content = self._answers.get(key)
        self._send(router, ClaimAnswer(key, attempt, int(verdict), content))

    def _end_issue(self, key: str, accepted: bool) -> None:
        done = self._issues.pop(key, None)
        if done is None:
            return
        if accepted:
            self._records[key].state = RecordState.READY
        else:
            del self._records[key]
        done(accepted)

    def _forget_expired(self) -> None:
        # Records are in order of issue and all live equally long.
        now = self._clock.monotonic()
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.expires > now:
                return
            del self._records[key]
            self._issues.pop(key, None)
            self._answers.drop(key)


def _verdict_of(run_state: RunState) -> ClaimVerdict:
    if run_state is RunState.RAN:
        return ClaimVerdict.RECORDED
    return ClaimVerdict.UNKNOWN
