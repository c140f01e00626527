"""Buffering and streaming of plain-service answers."""

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

# Larger answers are streamed, which limits 100 concurrent answers to 25 MB.
# Smaller ones are read completely before any byte is sent to the caller.
_MAX_BUFFERED_BYTES = 262_144


class ServiceBody:
    """Reads the answer of one attempt."""

    def __init__(
        self,
        run: RequestRun,
        attempt: Attempt,
        answer: TargetAnswer,
        finish: Callable[[], None],
    ) -> None:
        """Initializes the reader; calls `finish` after the last byte."""
        self._run = run
        self._attempt = attempt
        self._answer = answer
        self._finish = finish

    async def read(self) -> Answer:
        """Returns a buffered answer if it is small, otherwise a streamed one.

        Raises:
            ConnectionLostError: If the connection was lost before any byte
                was sent to the caller.
        """
        answer = self._answer
        chunks = answer.chunks()
        if answer.length is None or answer.length <= _MAX_BUFFERED_BYTES:
            body = bytearray()
            async for chunk in chunks:
                body += chunk
                if len(body) > _MAX_BUFFERED_BYTES:
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
