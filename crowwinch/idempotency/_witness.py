"""The witness: second router of a key, which can close it."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.errors import RunState
from crowwinch.generated.bases import MessageStruct
from crowwinch.generated.peer_messages import (
    Close,
    CloseAnswer,
    Confirm,
    ConfirmAnswer,
    Outcome,
    Reserve,
    ReserveAnswer,
)
from crowwinch.idempotency._recorder import KEY_LIFETIME_S, MAX_KEYS
from crowwinch.idempotency._store import AnswerStore
from crowwinch.idempotency._verdicts import ClaimVerdict

Send = Callable[[str, MessageStruct], None]


class WitnessState(enum.Enum):
    """Progress of a key at its witness."""

    RESERVED = "reserved"
    CONFIRMED = "confirmed"
    RAN = "ran"
    CLOSED = "closed"


_CLOSE_VERDICTS = {
    WitnessState.RESERVED: ClaimVerdict.CLOSED,
    WitnessState.CLOSED: ClaimVerdict.CLOSED,
    WitnessState.CONFIRMED: ClaimVerdict.UNKNOWN,
    WitnessState.RAN: ClaimVerdict.RECORDED,
}


@dataclass(slots=True)
class WitnessRecord:
    """What the witness knows of one key."""

    state: WitnessState
    expires: float


class Witness:
    """Keys that this router witnesses.

    A key that the witness does not hold is never confirmed and never closed,
    so a witness that lost its memory cannot make a statement false.
    """

    def __init__(self, clock: Clock, send: Send, answers: AnswerStore) -> None:
        """Creates a witness without keys."""
        self._clock = clock
        self._send = send
        self._answers = answers
        self._records: dict[str, WitnessRecord] = {}

    @property
    def records(self) -> dict[str, WitnessRecord]:
        """Records by key."""
        return self._records

    def on_reserve(self, router: str, message: Reserve) -> None:
        """Holds a new key if there is room."""
        self._forget_expired()
        accepted = len(self._records) < MAX_KEYS
        if accepted and message.key not in self._records:
            self._records[message.key] = WitnessRecord(
                WitnessState.RESERVED,
                self._clock.monotonic() + KEY_LIFETIME_S,
            )
        self._send(router, ReserveAnswer(message.key, accepted))

    def on_confirm(self, router: str, message: Confirm) -> None:
        """Confirms a key unless it was closed or is not held."""
        record = self._records.get(message.key)
        confirmed = (
            record is not None and record.state is not WitnessState.CLOSED
        )
        if record is not None and record.state is WitnessState.RESERVED:
            record.state = WitnessState.CONFIRMED
        self._send(
            router, ConfirmAnswer(message.key, message.attempt, confirmed)
        )

    def on_close(self, router: str, message: Close) -> None:
        """Closes a key that was not confirmed and tells what is known."""
        record = self._records.get(message.key)
        verdict = ClaimVerdict.UNKNOWN
        content = b""
        if record is not None:
            verdict = _CLOSE_VERDICTS[record.state]
            if verdict is ClaimVerdict.CLOSED:
                record.state = WitnessState.CLOSED
            elif verdict is ClaimVerdict.RECORDED:
                content = self._answers.get(message.key)
        self._send(
            router,
            CloseAnswer(message.key, message.attempt, int(verdict), content),
        )

    def on_outcome(self, message: Outcome) -> None:
        """Keeps the answer of a call that ran."""
        record = self._records.get(message.key)
        if (
            record is not None
            and record.state is WitnessState.CONFIRMED
            and message.run_state == RunState.RAN
        ):
            record.state = WitnessState.RAN
            self._answers.put(message.key, message.content)

    def _forget_expired(self) -> None:
        now = self._clock.monotonic()
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.expires > now:
                return
            del self._records[key]
            self._answers.drop(key)
