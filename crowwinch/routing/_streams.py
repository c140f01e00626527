"""Relay of engine streams that resumes after a lost connection."""

import contextlib
from collections.abc import AsyncIterator, Callable

from crowwinch.errors import RefusalReason, RunState
from crowwinch.routing._attempts import Attempt, RequestRun
from crowwinch.routing._costs import EngineMeter
from crowwinch.routing._retries import RetryPolicy
from crowwinch.scheduling import SlotOutcome
from crowwinch.targets import (
    TERMINAL_EVENT,
    ConnectionLostError,
    EventSplitter,
    IncompleteAnswerError,
    MismatchedAnswerError,
    NotSentError,
    TargetAnswer,
    TargetCall,
    TargetClient,
    TargetError,
    is_token_event,
)


class StreamGoneError(ConnectionLostError):
    """The engine lost a stream before any event was sent to the caller."""


class StreamRelay:
    """Relays one stream and resumes it at its engine."""

    def __init__(
        self,
        client: TargetClient,
        policy: RetryPolicy,
        run: RequestRun,
        attempt: Attempt,
        remaining: Callable[[RequestRun], float],
        offset: int = 0,
    ) -> None:
        """Initializes the relay.

        Args:
            client: Opens the attempts.
            policy: Decides whether a lost stream is resumed.
            run: The request.
            attempt: The attempt whose stream is relayed.
            remaining: Returns the seconds until the deadline.
            offset: Number of token events the caller has already received.
        """
        self._client = client
        self._policy = policy
        self._run = run
        self._attempt = attempt
        self._remaining = remaining
        self._offset = offset
        self._meter = EngineMeter(run.group, len(run.request.body))
        self._has_relayed = offset > 0
        self._relayed_usage = b""
        self._is_complete = False

    async def events(self, answer: TargetAnswer) -> AsyncIterator[bytes]:
        """Yields the events of a stream up to its terminal event.

        Raises:
            StreamGoneError: If the stream may be restarted.
            RefusalError: If the stream cannot be completed.
        """
        current: TargetAnswer | None = answer
        try:
            while current is not None:
                try:
                    async with contextlib.aclosing(
                        self._relay(current)
                    ) as events:
                        async for event in events:
                            yield event + b"\n\n"
                    return
                except ConnectionLostError as error:
                    current.close()
                    current = await self._recover(error)
        finally:
            self._finish(current)

    async def resume(self) -> TargetAnswer:
        """Requests the rest of the stream from the engine.

        Raises:
            TargetError: If the engine no longer has the stream or the
                connection failed.
        """
        name = self._attempt.name
        answer = await self._client.open(
            TargetCall(
                attempt=name,
                base_url=self._attempt.target.url,
                method="GET",
                path=f"/v1/streams/{name}?offset={self._offset}",
                headers={"X-Request-Id": name},
                body=b"",
                timeout_s=self._remaining(self._run),
                requires_echo=True,
                reuse_connection=True,
            )
        )
        if answer.status != 200:
            answer.close()
            raise StreamGoneError("the engine no longer has the stream")
        return answer

    async def _relay(self, answer: TargetAnswer) -> AsyncIterator[bytes]:
        splitter = EventSplitter()
        async with contextlib.aclosing(answer.chunks()) as chunks:
            async for chunk in chunks:
                for event in splitter.feed(chunk):
                    if not self._record_event(event):
                        continue
                    yield event
                    if self._is_complete:
                        return
                self._attempt.report_served(self._meter.cost)
        raise IncompleteAnswerError(
            "the target closed the stream before its terminal event"
        )

    def _record_event(self, event: bytes) -> bool:
        """Records an event and returns whether to relay it.

        Comments before the first event are dropped, so that the stream can
        still be restarted. A resumed stream repeats its usage report.
        """
        if event.startswith(TERMINAL_EVENT):
            self._is_complete = True
        elif is_token_event(event):
            self._offset += 1
        elif not event.startswith(b"data:"):
            return self._has_relayed
        elif event == self._relayed_usage:
            return False
        else:
            self._relayed_usage = event
        self._meter.add_event(event)
        self._has_relayed = True
        self._run.merge_run_state(RunState.RAN)
        if self._is_complete:
            self._attempt.settle(self._meter.cost, SlotOutcome.SERVED)
            self._run.record_served(
                self._attempt.number, self._meter.cached_part
            )
        return True

    async def _recover(self, error: TargetError) -> TargetAnswer:
        """Resumes a lost stream and returns its remainder."""
        while True:
            lost = (
                error
                if isinstance(error, ConnectionLostError)
                else ConnectionLostError(str(error))
            )
            cannot_resume = isinstance(
                error, StreamGoneError | MismatchedAnswerError
            )
            if cannot_resume or not await self._policy.before_resume(
                self._run, self._attempt, lost
            ):
                break
            try:
                return await self.resume()
            except (ConnectionLostError, NotSentError) as failure:
                error = failure
        if not self._has_relayed:
            raise StreamGoneError(str(error))
        raise self._run.refusal(RefusalReason.STREAM_INCOMPLETE, str(error))

    def _finish(self, answer: TargetAnswer | None) -> None:
        outcome = (
            SlotOutcome.SERVED if self._is_complete else SlotOutcome.FAILED
        )
        self._attempt.settle(self._meter.cost, outcome)
        if answer is not None:
            answer.close()
        if self._is_complete:
            self._policy.record_finished(self._run, self._attempt)
        else:
            self._client.cancel(self._attempt.target.url, self._attempt.name)
