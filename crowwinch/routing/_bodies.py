"""Answers of plain services."""

import contextlib
from collections.abc import AsyncIterator, Callable

from crowwinch.errors import RefusalReason
from crowwinch.routing._attempts import Attempt, RequestRun, start_parts
from crowwinch.routing._requests import Answer, BodyAnswer, WholeAnswer
from crowwinch.scheduling import SlotOutcome
from crowwinch.targets import (
    AnswerTimeoutError,
    ConnectionLostError,
    TargetAnswer,
)

# Larger answers are passed on as they arrive, so that 100 of them at once
# take 25 MB. Smaller ones are checked before the caller sees any byte.
_BUFFERED_BYTES = 262_144


class ServiceBody:
    """Reads the answer of one attempt."""

    def __init__(
        self,
        run: RequestRun,
        attempt: Attempt,
        answer: TargetAnswer,
        finish: Callable[[], None],
    ) -> None:
        """Prepares to read; `finish` is called after the last byte."""
        self._run = run
        self._attempt = attempt
        self._answer = answer
        self._finish = finish

    async def read(self) -> Answer:
        """Returns a whole answer if it is small.

        Raises:
            ConnectionLostError: If the answer broke off before any byte of it
                was passed on.
        """
        answer = self._answer
        chunks = answer.chunks()
        if answer.length is None or answer.length <= _BUFFERED_BYTES:
            body = bytearray()
            async for chunk in chunks:
                body += chunk
                if len(body) > _BUFFERED_BYTES:
                    break
            else:
                self._finish()
                return WholeAnswer(answer.status, answer.headers, bytes(body))
            first = bytes(body)
        else:
            first = b""
        return BodyAnswer(
            answer.status,
            answer.headers,
            await start_parts(self._parts(first, chunks)),
            answer.length,
        )

    async def _parts(
        self, first: bytes, chunks: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        is_complete = False
        try:
            yield first
            async with contextlib.aclosing(chunks):
                async for chunk in chunks:
                    yield chunk
            is_complete = True
            self._finish()
        except AnswerTimeoutError as error:
            raise self._run.refusal(
                RefusalReason.DEADLINE_EXCEEDED, str(error)
            ) from error
        except ConnectionLostError as error:
            raise self._run.refusal(
                RefusalReason.STREAM_INCOMPLETE, str(error)
            ) from error
        finally:
            if not is_complete:
                self._attempt.settle(0, SlotOutcome.FAILED)
            self._answer.close()
