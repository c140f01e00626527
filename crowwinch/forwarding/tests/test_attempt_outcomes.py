"""All ends of up to three sends, for every kind of route."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable
from unittest import mock

from crowwinch.forwarding import RouteKind, _target_client
from crowwinch.forwarding.tests.support import (
    RouterTest,
    Seen,
    answer,
    chunk,
    event,
    reset,
    stream_head,
)

_POLL_S = 0.01
# All routers and targets share one loop, which may stand still for longer than
# the usual time limit of connections on a busy machine.
_PATIENCE_S = 30.0
_MAX_ATTEMPTS = 2
_SENDS = 3
_EVENTS = 6
_EVENTS_BEFORE_CUT = 3
_WHOLE_STREAM = b"".join(event(number + 1) for number in range(_EVENTS))
_WHOLE_BODY = b"hello"
# These statuses promise that the request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


def _stream_part(seen: Seen, last: int) -> bytes:
    """Returns the events up to one, after those that the caller has."""
    first = int(seen.headers.get("last-event-id", 0)) + 1
    events = b"".join(chunk(event(number)) for number in range(first, last + 1))
    return stream_head(seen) + events


def _good(seen: Seen, is_stream: bool) -> bytes:
    if is_stream:
        return _stream_part(seen, _EVENTS) + chunk(b"")
    return answer(seen, _WHOLE_BODY)


def _cut(seen: Seen, is_stream: bool) -> bytes:
    if is_stream:
        return _stream_part(seen, _EVENTS_BEFORE_CUT)
    return answer(seen, _WHOLE_BODY[:2], length=len(_WHOLE_BODY))


@dataclasses.dataclass(frozen=True)
class _Outcome:
    """How a target ends a request.

    Attributes:
        runs: Whether it may have run the request.
        data: Returns what it sends before it closes the connection.
    """

    name: str
    runs: bool
    data: Callable[[Seen, bool], bytes]


_NOT_RUN = "X-Crowwinch-Not-Executed: 1\r\n"
_OUTCOMES = (
    _Outcome(
        "refuses",
        False,
        lambda seen, is_stream: answer(
            seen, b"", "503 Full", _NOT_RUN, seal=False
        ),
    ),
    _Outcome(
        "is another target",
        False,
        lambda seen, is_stream: answer(seen, b"", "421 Other", seal=False),
    ),
    _Outcome(
        "fails",
        True,
        lambda seen, is_stream: answer(seen, b"bad", "500 Error"),
    ),
    _Outcome("resets", True, lambda seen, is_stream: b""),
    _Outcome(
        "sends another answer",
        True,
        lambda seen, is_stream: answer(seen, b"other", seal=False),
    ),
    _Outcome("breaks off", True, _cut),
    _Outcome("is good", True, _good),
)


class AttemptOutcomeTest(RouterTest):
    """Guards against second runs, false refusals and mixed answers.

    Plays each sequence of outcomes through the real forwarder.
    """

    async def _play(self, kind, sequence):
        """Returns the answer and the outcomes that were played."""
        played = []

        async def script(seen, writer):
            outcome = sequence[len(played)]
            played.append(outcome)
            writer.write(outcome.data(seen, kind.is_stream))
            await writer.drain()
            if outcome.name in ("resets", "breaks off"):
                reset(writer)
            return False

        router = await self.router(
            *[script] * _SENDS,
            kind=kind,
            max_attempts=_MAX_ATTEMPTS,
            timeout_s=_PATIENCE_S,
        )
        polling = asyncio.ensure_future(self._poll(router))
        try:
            return await router.call(), played
        finally:
            polling.cancel()
            await router.stop()

    async def _poll(self, router):
        """Decides waiting requests, as the updates between routers do."""
        while True:
            await asyncio.sleep(_POLL_S)
            router.sharing.admission.poll()

    def _check(self, kind, reply, played):
        runs = sum(outcome.runs for outcome in played)
        whole = _WHOLE_STREAM if kind.is_stream else _WHOLE_BODY
        self.assertLessEqual(runs, _MAX_ATTEMPTS if kind.allows_retry else 1)
        if reply.status in _NOT_RUN_STATUSES:
            self.assertEqual(runs, 0)
        elif reply.status == 200 and reply.is_complete:
            self.assertEqual(reply.body, whole)
        elif reply.status == 200:
            self.assertTrue(whole.startswith(reply.body))
        elif reply.status == 500:
            self.assertEqual(played[-1].name, "fails")
        else:
            self.assertGreater(runs, 0)
        if played[-1].name == "is good":
            self.assertEqual((reply.status, reply.body), (200, whole))
            return
        can_go_on = runs == 0 or (kind.allows_retry and runs < _MAX_ATTEMPTS)
        if can_go_on and len(played) < _SENDS:
            self.fail(f"gave up with {reply.status}: {reply.body!r}")

    async def _play_all(self, kind, first):
        """Plays the sequences that start with one outcome."""
        results = {}
        for rest in itertools.product(_OUTCOMES, repeat=_SENDS - 1):
            sequence = (first, *rest)
            # What follows the last send of a played sequence is not used.
            if any(sequence[:length] in results for length in (1, 2)):
                continue
            reply, played = await self._play(kind, sequence)
            results[tuple(played)] = reply
        return results

    @mock.patch.object(_target_client, "_CONNECT_TIMEOUT_S", _PATIENCE_S)
    async def test_all_sequences(self):
        for kind in RouteKind:
            groups = await asyncio.gather(
                *(self._play_all(kind, first) for first in _OUTCOMES)
            )
            for played, reply in itertools.chain.from_iterable(
                group.items() for group in groups
            ):
                names = [outcome.name for outcome in played]
                with self.subTest(kind=kind, sequence=names):
                    self._check(kind, reply, played)
