"""Tests all sequences of up to three attempt outcomes on every route kind."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable
from unittest import mock

from crowwinch.forwarding import RouteKind, _target_client
from crowwinch.forwarding.tests.support import (
    ReceivedRequest,
    RouterTest,
    chunk,
    event,
    make_response,
    reset,
    stream_head,
)

_POLL_INTERVAL_S = 0.01
# All routers and targets share one event loop. On a busy machine it may be
# blocked for longer than the default connect time-out.
_TIMEOUT_S = 30.0
_MAX_ATTEMPTS = 2
_TARGET_COUNT = 3
_EVENT_COUNT = 6
_TRUNCATED_EVENT_COUNT = 3
_COMPLETE_STREAM = b"".join(event(number + 1) for number in range(_EVENT_COUNT))
_COMPLETE_BODY = b"hello"
# These statuses promise that the request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


def _stream_part(request: ReceivedRequest, last: int) -> bytes:
    """Returns the events up to `last` that follow the Last-Event-Id header."""
    first = int(request.headers.get("last-event-id", 0)) + 1
    events = b"".join(chunk(event(number)) for number in range(first, last + 1))
    return stream_head(request) + events


def _complete(request: ReceivedRequest, is_stream: bool) -> bytes:
    if is_stream:
        return _stream_part(request, _EVENT_COUNT) + chunk(b"")
    return make_response(request, _COMPLETE_BODY)


def _truncated(request: ReceivedRequest, is_stream: bool) -> bytes:
    if is_stream:
        return _stream_part(request, _TRUNCATED_EVENT_COUNT)
    return make_response(
        request, _COMPLETE_BODY[:2], length=len(_COMPLETE_BODY)
    )


@dataclasses.dataclass(frozen=True)
class _Outcome:
    """Outcome of an attempt at a target.

    Attributes:
        name: Name of the outcome in test failures.
        may_have_run: Whether the target may have run the request.
        make_data: Returns the bytes that the target sends before it closes the
            connection.
    """

    name: str
    may_have_run: bool
    make_data: Callable[[ReceivedRequest, bool], bytes]


_NOT_RUN_HEADER = "X-Crowwinch-Not-Executed: 1\r\n"
_OUTCOMES = (
    _Outcome(
        "refused",
        False,
        lambda request, is_stream: make_response(
            request, b"", "503 Full", _NOT_RUN_HEADER, seal=False
        ),
    ),
    _Outcome(
        "misdirected",
        False,
        lambda request, is_stream: make_response(
            request, b"", "421 Other", seal=False
        ),
    ),
    _Outcome(
        "server error",
        True,
        lambda request, is_stream: make_response(request, b"bad", "500 Error"),
    ),
    _Outcome("reset", True, lambda request, is_stream: b""),
    _Outcome(
        "wrong response",
        True,
        lambda request, is_stream: make_response(request, b"other", seal=False),
    ),
    _Outcome("truncated", True, _truncated),
    _Outcome("success", True, _complete),
)


class AttemptOutcomeTest(RouterTest):
    """Guards against forbidden retries, false refusals and mixed responses.

    Runs each sequence of outcomes through the real forwarder.
    """

    async def _run_sequence(self, kind, sequence):
        """Returns the response and the outcomes that were used."""
        used = []

        async def script(request, writer):
            outcome = sequence[len(used)]
            used.append(outcome)
            writer.write(outcome.make_data(request, kind.is_stream))
            await writer.drain()
            if outcome.name in ("reset", "truncated"):
                reset(writer)
            return False

        router = await self.router(
            *[script] * _TARGET_COUNT,
            kind=kind,
            max_attempts=_MAX_ATTEMPTS,
            timeout_s=_TIMEOUT_S,
        )
        poll_task = asyncio.ensure_future(self._poll(router))
        try:
            return await router.call(), used
        finally:
            poll_task.cancel()
            await router.stop()

    async def _poll(self, router):
        """Polls the admission, as fleet updates do in a running router."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            router.sharing.admission.poll()

    def _check(self, kind, reply, used):
        runs = sum(outcome.may_have_run for outcome in used)
        expected = _COMPLETE_STREAM if kind.is_stream else _COMPLETE_BODY
        self.assertLessEqual(runs, _MAX_ATTEMPTS if kind.allows_retry else 1)
        if reply.status in _NOT_RUN_STATUSES:
            self.assertEqual(runs, 0)
        elif reply.status == 200 and reply.is_complete:
            self.assertEqual(reply.body, expected)
        elif reply.status == 200:
            self.assertTrue(expected.startswith(reply.body))
        elif reply.status == 500:
            self.assertEqual(used[-1].name, "server error")
        else:
            self.assertGreater(runs, 0)
        if used[-1].name == "success":
            self.assertEqual((reply.status, reply.body), (200, expected))
            return
        may_retry = runs == 0 or (kind.allows_retry and runs < _MAX_ATTEMPTS)
        if may_retry and len(used) < _TARGET_COUNT:
            self.fail(f"not retried after {reply.status}: {reply.body!r}")

    async def _run_all_sequences(self, kind, first):
        """Runs all sequences that start with the outcome `first`."""
        results = {}
        for rest in itertools.product(_OUTCOMES, repeat=_TARGET_COUNT - 1):
            sequence = (first, *rest)
            # Outcomes after the last attempt of a run are not used, so other
            # sequences with the same beginning need not be run.
            if any(sequence[:length] in results for length in (1, 2)):
                continue
            reply, used = await self._run_sequence(kind, sequence)
            results[tuple(used)] = reply
        return results

    @mock.patch.object(_target_client, "_CONNECT_TIMEOUT_S", _TIMEOUT_S)
    async def test_all_outcome_sequences(self):
        for kind in RouteKind:
            groups = await asyncio.gather(
                *(self._run_all_sequences(kind, first) for first in _OUTCOMES)
            )
            for used, reply in itertools.chain.from_iterable(
                group.items() for group in groups
            ):
                names = [outcome.name for outcome in used]
                with self.subTest(kind=kind, sequence=names):
                    self._check(kind, reply, used)
