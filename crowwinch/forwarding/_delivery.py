"""Relays the response of a target to the caller."""

from collections.abc import Callable

from crowwinch.forwarding._events import EventSplitter
from crowwinch.forwarding._exchange import (
    AttemptError,
    Exchange,
    TargetResponse,
)
from crowwinch.forwarding._request_context import RequestContext

# An event that is longer than this is not relayed. The events of engines are a
# few hundred bytes long.
_MAX_EVENT_BYTES = 1_048_576


async def deliver(
    context: RequestContext,
    exchange: Exchange,
    response: TargetResponse,
    on_event: Callable[[], None],
    on_stream_start: Callable[[], None],
) -> None:
    """Relays a buffered response, an event stream or a large body.

    Args:
        context: State of the request.
        exchange: Source of the body.
        response: Head of the response, and its body if it was buffered.
        on_event: Called when a buffered response or complete events have
            arrived.
        on_stream_start: Called before the first events of an attempt are
            passed on.

    Raises:
        AttemptError: If the response is incomplete.
    """
    call = context.call
    resumes_stream = response.is_stream and response.is_success
    if call.is_started and not resumes_stream:
        raise AttemptError(
            f"the stream was not resumed: {response.status}", may_have_run=True
        )
    if response.body is not None:
        on_event()
        await call.send_response(
            response.status, response.reason, response.headers, response.body
        )
    elif response.is_stream:
        await _relay_events(
            context, exchange, response, on_event, on_stream_start
        )
    else:
        await call.start(response.status, response.reason, response.headers)
        async for data in exchange.chunks():
            await call.write(data)
        await call.finish()


async def _relay_events(
    context: RequestContext,
    exchange: Exchange,
    response: TargetResponse,
    on_event: Callable[[], None],
    on_stream_start: Callable[[], None],
) -> None:
    """Relays complete events as they arrive.

    The head is sent with the first event, so that another target can respond if
    the stream breaks before it.
    """
    call = context.call
    splitter = EventSplitter()
    resumes_after = context.last_event_id if call.is_started else None
    has_events = False
    async for data in exchange.chunks():
        events = splitter.feed(data)
        _check_event_size(exchange, splitter.incomplete_bytes)
        if not events:
            continue
        if resumes_after is not None and splitter.repeats(resumes_after):
            raise AttemptError(
                f"the stream was resumed at event {splitter.first_id} after "
                f"event {resumes_after}",
                may_have_run=True,
            )
        on_event()
        if not has_events:
            has_events = True
            on_stream_start()
        if not call.is_started:
            await call.start(response.status, response.reason, response.headers)
        # Without an id, no other target could tell where to go on.
        context.relayed_event_id = splitter.last_id
        context.last_event_id = splitter.last_id or context.last_event_id
        await call.write(events)
    if splitter.has_incomplete_event:
        raise AttemptError(
            "the stream ended inside an event",
            may_have_run=True,
            is_connection_lost=True,
        )
    if not (has_events or response.has_marked_end):
        raise AttemptError(
            "the connection ended before the first event",
            may_have_run=True,
            is_connection_lost=True,
        )
    if not call.is_started:
        await call.start(response.status, response.reason, response.headers)
    await call.finish()


def _check_event_size(exchange: Exchange, size_bytes: int) -> None:
    """Ends an attempt whose next event takes too much memory.

    Raises:
        AttemptError: If the event is too large, or too many others are.
    """
    if size_bytes > _MAX_EVENT_BYTES:
        raise AttemptError(
            f"an event is longer than {_MAX_EVENT_BYTES} bytes",
            may_have_run=True,
            is_oversized=True,
        )
    if not exchange.memory.resize(size_bytes):
        raise AttemptError(
            f"no memory for an event of {size_bytes} bytes",
            may_have_run=True,
            is_oversized=True,
        )
