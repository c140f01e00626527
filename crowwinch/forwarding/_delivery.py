"""Passes the answer of a target on to the caller."""

from collections.abc import Callable

from crowwinch.forwarding._events import EventSplitter
from crowwinch.forwarding._exchange import (
    AttemptError,
    Exchange,
    TargetAnswer,
)
from crowwinch.forwarding._request_run import RequestContext


async def deliver(
    run: RequestContext,
    exchange: Exchange,
    answer: TargetAnswer,
    on_event: Callable[[], None],
) -> None:
    """Passes a whole answer, a stream of events or a large body on.

    Args:
        run: The request.
        exchange: Where the body comes from.
        answer: Head of the answer, and its body if it is short.
        on_event: Called with each part that the target has sent.

    Raises:
        AttemptError: If the answer breaks off.
    """
    call = run.call
    if answer.body is not None:
        on_event()
        if call.is_started:
            raise AttemptError(
                f"the stream was not resumed: {answer.status}",
                may_have_run=True,
            )
        await call.answer(
            answer.status, answer.reason, answer.headers, answer.body
        )
    elif answer.is_stream:
        await _relay_events(run, exchange, answer, on_event)
    else:
        await call.start(answer.status, answer.reason, answer.headers)
        async for data in exchange.chunks():
            await call.write(data)
        await call.finish()


async def _relay_events(
    run: RequestContext,
    exchange: Exchange,
    answer: TargetAnswer,
    on_event: Callable[[], None],
) -> None:
    """Passes whole events on as they come.

    The head is sent with the first event, so that a stream that breaks before
    it can be answered by another target.
    """
    call = run.call
    splitter = EventSplitter()
    async for data in exchange.chunks():
        events = splitter.feed(data)
        if not events:
            continue
        on_event()
        run.last_event_id = splitter.last_id or run.last_event_id
        if not call.is_started:
            await call.start(answer.status, answer.reason, answer.headers)
        await call.write(events)
    if splitter.has_rest:
        raise AttemptError(
            "the stream ended inside an event", may_have_run=True
        )
    if not call.is_started:
        await call.start(answer.status, answer.reason, answer.headers)
    await call.finish()
