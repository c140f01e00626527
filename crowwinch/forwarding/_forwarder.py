"""Life of a request: route, workspace, wait, attempts, answer."""

import asyncio
import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import xxhash

from crowwinch.coordination import Clock
from crowwinch.errors import (
    RefusalError,
    RefusalReason,
    RetryReason,
    RunState,
)
from crowwinch.forwarding._call import Call
from crowwinch.forwarding._events import EventSplitter
from crowwinch.forwarding._exchange import (
    AttemptError,
    Exchange,
    TargetAnswer,
)
from crowwinch.forwarding._messages import AttemptHead, WireCodec
from crowwinch.forwarding._model import Route, RoutingTable
from crowwinch.forwarding._target_client import TargetClient
from crowwinch.forwarding._target_set import TargetSet
from crowwinch.observability import Metrics
from crowwinch.sharing import (
    Admission,
    CrashCounts,
    Decision,
    EngineSpeeds,
    KeptPrefixes,
    RepeatBudget,
    Reservation,
    TargetHealth,
    TargetLoads,
    Ticket,
    Verdict,
    Work,
    WorkspaceShares,
)

_LOGGER = logging.getLogger(__name__)

# A caller that says nothing of its patience waits this long at most.
_DEFAULT_DEADLINE_S = 60.0
# A refused caller may return when a lost configuration was read again.
_NOT_READY_RETRY_S = 1.0
# Sends of one request, whether or not a target ran it.
_MAX_SENDS = 4
# Losses of connections this long before a target was found dead count as
# caused by its crash.
_CRASH_WINDOW_S = 1.5
_CRASH_RETRY_S = 5.0
# Waiting requests are decided at most once in this time.
_POLL_S = 0.02
# A prompt with less to read before it than this part of its own counts as read
# alone, so that its time says how fast the engine reads.
_READ_ALONE_SHARE = 0.1

_REFUSALS = {
    Verdict.REFUSE_OVERLOAD: RefusalReason.DEADLINE_UNREACHABLE,
    Verdict.REFUSE_OVER_SHARE: RefusalReason.WORKSPACE_LIMIT,
    Verdict.REFUSE_NO_TARGET: RefusalReason.NO_TARGET,
}


@dataclass(slots=True)
class SharingState:
    """The decision classes that one router uses."""

    admission: Admission
    budget: RepeatBudget
    crashes: CrashCounts
    health: TargetHealth
    loads: TargetLoads
    prefixes: KeptPrefixes
    shares: WorkspaceShares
    speeds: EngineSpeeds


@dataclass(slots=True)
class _Run:
    """A request while it is served."""

    call: Call
    table: RoutingTable
    route: Route
    workspace: str | None
    work: Work
    deadline: float
    runs: int = 0
    sends: int = 0
    last_event_id: str | None = None
    excluded: set[str] = field(default_factory=set)
    attempts: list[dict[str, object]] = field(default_factory=list)
    cause: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.runs > 0

    @property
    def run_state(self) -> RunState:
        """What a refusal says of the request."""
        return RunState.UNKNOWN if self.may_have_run else RunState.NOT_RUN


class Forwarder:
    """Serves requests at targets that the admission chooses."""

    def __init__(
        self,
        clock: Clock,
        routing: Callable[[], RoutingTable | None],
        targets: TargetSet,
        sharing: SharingState,
        client: TargetClient,
        codec: WireCodec,
        metrics: Metrics,
        random: Callable[[], float],
        describe_state: Callable[[], Mapping[str, object]] = dict,
    ) -> None:
        """Stores the parts that a request needs.

        Args:
            clock: Monotonic time.
            routing: Returns the configuration in force.
            targets: Targets that take requests.
            sharing: Decisions on shares, placing and repeats.
            client: Sends attempts.
            codec: Translates headers.
            metrics: Counters and histograms.
            random: Returns a number from 0 to 1.
            describe_state: Returns the age and version of what this router
                knows, for the log.
        """
        self._clock = clock
        self._routing = routing
        self._targets = targets
        self._sharing = sharing
        self._client = client
        self._codec = codec
        self._metrics = metrics
        self._random = random
        self._describe_state = describe_state
        self._is_polling = False
        self._losses: dict[str, list[tuple[float, str]]] = {}

    @property
    def clock(self) -> Clock:
        """Monotonic time."""
        return self._clock

    def poll_soon(self) -> None:
        """Decides waiting requests after a target made progress.

        Progress of many requests at a time is taken together: in a crowd, a
        decision for each of them took all of the processor.
        """
        admission = self._sharing.admission
        if not self._is_polling and admission.waiting:
            self._is_polling = True
            asyncio.get_running_loop().call_later(_POLL_S, self._poll)

    def _poll(self) -> None:
        self._is_polling = False
        self._sharing.admission.poll()

    async def serve(self, call: Call) -> None:
        """Serves a request; its answer is complete or its connection closed."""
        run: _Run | None = None
        try:
            run = self._begin(call)
            async with asyncio.timeout(run.deadline - self._clock.monotonic()):
                await self._serve(run)
        except TimeoutError:
            assert run is not None
            await self._fail(call, self._deadline_refusal(run), run)
        except RefusalError as refusal:
            await self._fail(call, refusal, run)
        except asyncio.CancelledError:
            self._log(call, run, "caller_gone")
            raise
        except ConnectionError:
            # The caller left while its answer was written.
            self._log(call, run, "caller_gone")
        else:
            self._log(call, run, "")

    def _begin(self, call: Call) -> _Run:
        """Finds the route and workspace of a request.

        Raises:
            RefusalError: If no route or workspace may serve it.
        """
        table = self._routing()
        if table is None:
            raise RefusalError(
                RefusalReason.NOT_READY,
                "no configuration is known yet",
                retry_after_s=_NOT_READY_RETRY_S,
            )
        route = table.match(call.host, call.raw_path)
        if route is None:
            raise RefusalError(RefusalReason.NOT_FOUND, "no such route")
        head = call.head
        if not table.may_use_key(route, head.key):
            raise RefusalError(RefusalReason.UNKNOWN_KEY, "unknown key")
        workspace = table.workspace(route, head.key)
        patience = min(
            route.timeout_s or _DEFAULT_DEADLINE_S,
            head.deadline_s or _DEFAULT_DEADLINE_S,
        )
        work = Work(
            service=self._choose_service(route),
            workspace=workspace or "",
            model=head.model,
            parts=head.parts,
            prompt_tokens=head.prompt_tokens,
            output_tokens=head.output_tokens,
            target_latency_s=route.target_latency_s,
            priority=route.priority,
        )
        self._sharing.budget.note_request(work.service)
        self._sharing.shares.note_asked(work.workspace, work.cost)
        return _Run(
            call=call,
            table=table,
            route=route,
            workspace=workspace,
            work=work,
            deadline=call.arrived + patience,
            last_event_id=head.last_event_id,
        )

    def _choose_service(self, route: Route) -> str:
        services = list(route.services.items())
        if len(services) == 1:
            return services[0][0]
        point = self._random() * sum(weight for _, weight in services)
        for name, weight in services:
            point -= weight
            if point < 0:
                return name
        return services[-1][0]

    async def _serve(self, run: _Run) -> None:
        """Makes attempts until one gives an answer.

        Raises:
            RefusalError: If there is no answer to pass on.
        """
        while True:
            self._check_crashes(run)
            decision = await self._admit(run)
            try:
                await self._attempt(run, decision)
            except AttemptError as error:
                self._after_error(run, decision.target, error)
            else:
                return

    def _check_crashes(self, run: _Run) -> None:
        crashes = self._sharing.crashes
        if not crashes.is_empty and crashes.is_refused(_digest(run)):
            raise RefusalError(
                RefusalReason.CRASH_SUSPECT,
                "the request crashed several targets",
                run.run_state,
                _CRASH_RETRY_S,
            )

    async def _admit(self, run: _Run) -> Decision:
        """Waits for a target.

        Raises:
            RefusalError: If the request is not to be served.
        """
        future: asyncio.Future[Decision] = (
            asyncio.get_running_loop().create_future()
        )

        def decide(decision: Decision) -> None:
            if not future.done():
                future.set_result(decision)

        ticket = Ticket(
            work=run.work,
            arrived=(
                run.call.arrived if not run.sends else self._clock.monotonic()
            ),
            deadline=run.deadline,
            on_decision=decide,
            excluded=run.excluded,
        )
        self._sharing.admission.submit(ticket)
        try:
            decision = await future
        finally:
            self._sharing.admission.withdraw(ticket)
        if decision.verdict is Verdict.SEND:
            return decision
        raise RefusalError(
            _REFUSALS[decision.verdict],
            decision.verdict.value,
            run.run_state,
            decision.retry_after_s,
        )

    async def _attempt(self, run: _Run, decision: Decision) -> None:
        """Makes one attempt and passes its answer on.

        Raises:
            AttemptError: If there is no complete answer.
        """
        target = self._targets.entry(decision.target)
        if target is None:
            raise AttemptError("the target is gone", may_have_run=False)
        call, work = run.call, run.work
        started = self._clock.monotonic()
        reservation = self._sharing.loads.reserve(
            decision.target, decision.reading_s, decision.expected_s
        )
        self._sharing.shares.note_served(work.workspace, work.cost)
        if work.parts:
            self._sharing.prefixes.note_read(
                decision.target, work, decision.is_home
            )
        run.sends += 1
        run.attempts.append(
            {
                "target": decision.target,
                "unread_tokens": decision.unread_tokens,
                "read_again": decision.read_again,
                "ahead_s": round(decision.waiting_s, 3),
                "expected_s": round(decision.expected_s, 3),
                "waited_s": round(started - call.arrived, 3),
            }
        )
        exchange = Exchange(
            self._client,
            self._codec,
            str(target.address),
            call.head.attempt_id,
        )
        try:
            run.runs += 1
            answer = await exchange.open(
                call.method,
                call.raw_path,
                self._codec.encode_attempt(
                    call.headers,
                    AttemptHead(
                        target_id=target.identifier,
                        remaining_s=run.deadline - started,
                        workspace=run.workspace,
                        last_event_id=run.last_event_id,
                    ),
                ),
                call.body,
            )
            if self._is_worth_repeating(run, answer):
                raise AttemptError(
                    f"target answered {answer.status}", may_have_run=True
                )
            progress = _Progress(self, run, reservation, started, decision)
            await self._pass_on(run, exchange, answer, progress)
            self._sharing.health.note_answer(
                decision.target, answer.status < 500
            )
        except AttemptError as error:
            if not error.may_have_run:
                run.runs -= 1
                self._sharing.shares.note_returned(work.workspace, work.cost)
            raise
        finally:
            exchange.close()
            reservation.finish()
            self.poll_soon()

    def _is_worth_repeating(self, run: _Run, answer: TargetAnswer) -> bool:
        return (
            answer.status >= 500
            and run.route.kind.may_repeat
            and not run.call.is_started
            and self._may_send_again(run)
        )

    def _may_send_again(self, run: _Run) -> bool:
        return (
            run.runs < run.route.max_attempts
            and run.sends < _MAX_SENDS
            and self._sharing.budget.has_room(run.work.service)
        )

    async def _pass_on(
        self,
        run: _Run,
        exchange: Exchange,
        answer: TargetAnswer,
        progress: "_Progress",
    ) -> None:
        call = run.call
        if answer.body is not None:
            progress.note_event()
            if call.is_started:
                raise AttemptError(
                    f"the stream was not resumed: {answer.status}",
                    may_have_run=True,
                )
            await call.answer(
                answer.status, answer.reason, answer.headers, answer.body
            )
            return
        if answer.is_stream:
            await self._relay_events(run, exchange, answer, progress)
            return
        await call.start(answer.status, answer.reason, answer.headers)
        async for data in exchange.chunks():
            await call.write(data)
        await call.finish()

    async def _relay_events(
        self,
        run: _Run,
        exchange: Exchange,
        answer: TargetAnswer,
        progress: "_Progress",
    ) -> None:
        """Passes whole events on as they come."""
        call = run.call
        splitter = EventSplitter()
        async for data in exchange.chunks():
            events = splitter.feed(data)
            if not events:
                continue
            progress.note_event()
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

    def _after_error(self, run: _Run, target: str, error: AttemptError) -> None:
        """Records a failed attempt.

        Raises:
            RefusalError: If the request is not to be sent again.
        """
        run.cause = str(error)
        if run.attempts:
            run.attempts[-1]["error"] = str(error)
        if error.is_unreachable:
            if not self._sharing.health.is_blocked(target):
                _LOGGER.warning(
                    "target unreachable",
                    extra={"target": target, "cause": str(error)},
                )
            self._sharing.health.note_unreachable(target)
            self._judge_losses(target)
        elif not error.is_refusal:
            self._sharing.health.note_answer(target, is_good=False)
            self._note_loss(run, target)
        run.excluded.add(target)
        may_repeat = not run.may_have_run or run.route.kind.may_repeat
        if (
            may_repeat
            and self._may_send_again(run)
            and self._sharing.budget.take(run.work.service)
        ):
            self._metrics.count_reason("retries", _retry_reason(run, error))
            return
        raise RefusalError(
            RefusalReason.TARGET_FAILED
            if run.may_have_run
            else RefusalReason.NO_TARGET,
            str(error),
            run.run_state,
            None if run.may_have_run else _NOT_READY_RETRY_S / 2,
        )

    def _note_loss(self, run: _Run, target: str) -> None:
        losses = self._losses.setdefault(target, [])
        losses.append((self._clock.monotonic(), _digest(run)))
        del losses[:-64]

    def _judge_losses(self, target: str) -> None:
        """Counts the requests that were in flight when a target crashed."""
        oldest = self._clock.monotonic() - _CRASH_WINDOW_S
        for lost, digest in self._losses.pop(target, ()):
            if lost >= oldest:
                self._sharing.crashes.note_crash(digest)

    def _deadline_refusal(self, run: _Run) -> RefusalError:
        if run.may_have_run:
            return RefusalError(
                RefusalReason.DEADLINE_EXCEEDED,
                "no answer in time",
                run.run_state,
            )
        return RefusalError(
            RefusalReason.DEADLINE_UNREACHABLE,
            "no target in time",
            RunState.NOT_RUN,
            _NOT_READY_RETRY_S,
        )

    async def _fail(
        self, call: Call, refusal: RefusalError, run: _Run | None
    ) -> None:
        self._metrics.count_reason("refusals", refusal.reason)
        try:
            if call.is_started:
                call.abort()
            else:
                await call.refuse(refusal)
        except ConnectionError:
            # The caller left before its refusal.
            self._metrics.count("callers_gone")
        finally:
            self._log(call, run, refusal.code)

    def note_first_event(
        self, run: "_Run", decision: Decision, seconds: float
    ) -> None:
        """Learns from the first event of an engine's answer."""
        if not run.work.prompt_tokens:
            return
        self._metrics.observe("first_event", seconds)
        self._sharing.loads.note_first_event(
            decision.target, seconds - decision.forecast_s
        )
        if decision.waiting_s < decision.reading_s * _READ_ALONE_SHARE:
            self._sharing.speeds.note_first_event(
                run.work.service, decision.reading_s, seconds
            )

    def _log(self, call: Call, run: _Run | None, code: str) -> None:
        elapsed = self._clock.monotonic() - call.arrived
        self._metrics.observe("request", elapsed)
        self._metrics.count("requests", "code", code or "served")
        entry: dict[str, object] = {
            "request_id": call.head.attempt_id,
            "status": call.status,
            "code": code or "served",
            "elapsed_s": round(elapsed, 4),
        }
        if run is not None:
            entry |= {
                "route": run.route.name,
                "workspace": run.workspace,
                "service": run.work.service,
                "configuration": run.table.version,
                "cost": run.work.cost,
                "workspace_served": round(
                    self._sharing.shares.served(run.work.workspace)
                ),
                "share_level": _finite(self._sharing.shares.level),
                "attempts": run.attempts,
            }
            entry |= self._describe_state()
        _LOGGER.info("request", extra=entry)


class _Progress:
    """Notices the first event of an answer."""

    def __init__(
        self,
        forwarder: Forwarder,
        run: _Run,
        reservation: Reservation,
        started: float,
        decision: Decision,
    ) -> None:
        self._forwarder = forwarder
        self._run = run
        self._reservation = reservation
        self._started = started
        self._decision = decision
        self._is_first = True

    def note_event(self) -> None:
        """Records that the target has sent something."""
        if not self._is_first:
            return
        self._is_first = False
        self._reservation.note_first_event()
        seconds = self._forwarder.clock.monotonic() - self._started
        self._run.attempts[-1]["first_event_s"] = round(seconds, 3)
        self._forwarder.note_first_event(self._run, self._decision, seconds)
        self._forwarder.poll_soon()


def _finite(units: float) -> int | None:
    """Returns a level for the log, None if there is no limit."""
    return None if math.isinf(units) else round(units)


def _digest(run: _Run) -> str:
    """Identifies equal requests: workspace, method, path and body."""
    call = run.call
    head = f"{run.workspace}\0{call.method}\0{call.raw_path}\0".encode()
    return xxhash.xxh3_128_hexdigest(head + call.body)


def _retry_reason(run: _Run, error: AttemptError) -> RetryReason:
    if error.is_unreachable:
        return RetryReason.CONNECTION_REFUSED
    if error.is_refusal:
        return RetryReason.TARGET_REFUSED
    if run.call.is_started:
        return RetryReason.STREAM_RESUMED
    return RetryReason.CONNECTION_LOST
