"""Life of a request: route, workspace, wait, attempts, answer."""

import asyncio
from collections.abc import Callable, Mapping

from crowwinch.coordination import Clock
from crowwinch.errors import RefusalError, RefusalReason, RunState
from crowwinch.forwarding._call import Call
from crowwinch.forwarding._delivery import deliver
from crowwinch.forwarding._exchange import AttemptError, Exchange
from crowwinch.forwarding._messages import AttemptHead, WireCodec
from crowwinch.forwarding._model import Route, RoutingTable
from crowwinch.forwarding._repeat_policy import RepeatPolicy
from crowwinch.forwarding._request_log import CALLER_GONE, SERVED, RequestLog
from crowwinch.forwarding._request_run import RequestRun
from crowwinch.forwarding._sharing_state import Placement, SharingState
from crowwinch.forwarding._target_client import TargetClient
from crowwinch.forwarding._target_set import TargetSet
from crowwinch.observability import Metrics
from crowwinch.sharing import Decision, Reservation, Ticket, Verdict, Work

# A caller that says nothing of its patience waits this long at most.
_DEFAULT_DEADLINE_S = 60.0
# A refused caller may return when a lost configuration was read again.
_NOT_READY_RETRY_S = 1.0
# Turns of the event loop in which the end of a connection is read and its
# request is cancelled. Each of them takes up to 60 ms in a late process.
_TURNS_TO_READ = 2
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
        was_late: Callable[[], bool] = lambda: False,
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
            was_late: Returns whether the process lacked processor time lately,
                so that it may read requests long after they were sent.
        """
        self._clock = clock
        self._was_late = was_late
        self._routing = routing
        self._targets = targets
        self._sharing = sharing
        self._client = client
        self._codec = codec
        self._random = random
        self._policy = RepeatPolicy(clock, sharing)
        self._log = RequestLog(clock, metrics, sharing.shares, describe_state)
        self._is_polling = False

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
        run: RequestRun | None = None
        try:
            run = self._begin(call)
            if self._was_late():
                await _read_sockets()
            async with asyncio.timeout(run.deadline - self._clock.monotonic()):
                await self._serve(run)
        except TimeoutError:
            assert run is not None
            await self._fail(call, self._deadline_refusal(run), run)
        except RefusalError as refusal:
            await self._fail(call, refusal, run)
        except asyncio.CancelledError:
            self._log.note_end(call, run, CALLER_GONE)
            raise
        except ConnectionError:
            # The caller left while its answer was written.
            self._log.note_end(call, run, CALLER_GONE)
        else:
            self._log.note_end(call, run, SERVED)

    def _begin(self, call: Call) -> RequestRun:
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
        self._sharing.budget.record_request(work.service)
        self._sharing.shares.record_demand(work.workspace, work.cost)
        return RequestRun(
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

    async def _serve(self, run: RequestRun) -> None:
        """Makes attempts until one gives an answer.

        Raises:
            RefusalError: If there is no answer to pass on.
        """
        while True:
            self._policy.check_crashes(run)
            placement = await self._admit(run)
            target = placement.decision.target
            try:
                await self._attempt(run, placement)
            except AttemptError as error:
                reason = self._policy.after_error(run, target, error)
                self._log.count_retry(reason)
            else:
                return

    async def _admit(self, run: RequestRun) -> Placement:
        """Waits for a target.

        Raises:
            RefusalError: If the request is not to be served.
        """
        future: asyncio.Future[Placement] = (
            asyncio.get_running_loop().create_future()
        )

        def decide(decision: Decision) -> None:
            # A caller that has just left has cancelled the future.
            if not future.done():
                future.set_result(self._sharing.place(run.work, decision))

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
            placement = await future
        except asyncio.CancelledError:
            # The caller may leave between the decision and this task's turn.
            if not future.cancelled() and future.done():
                self._sharing.give_back(run.work, future.result())
            raise
        finally:
            self._sharing.admission.withdraw(ticket)
        decision = placement.decision
        if decision.verdict is Verdict.SEND:
            return placement
        raise RefusalError(
            _REFUSALS[decision.verdict],
            decision.verdict.value,
            run.run_state,
            decision.retry_after_s,
        )

    async def _attempt(self, run: RequestRun, placement: Placement) -> None:
        """Makes one attempt and passes its answer on.

        Raises:
            AttemptError: If there is no complete answer.
        """
        decision, reservation = placement.decision, placement.reservation
        assert reservation is not None, "the request was refused"
        call, work = run.call, run.work
        target = self._targets.entry(decision.target)
        if target is None:
            self._sharing.give_back(work, placement)
            raise AttemptError("the target is gone", may_have_run=False)
        started = self._clock.monotonic()
        run.sends += 1
        run.attempts.append(
            {
                "target": decision.target,
                "unread_tokens": decision.unread_tokens,
                "read_again": decision.recompute_tokens,
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
            if self._policy.is_worth_repeating(run, answer):
                raise AttemptError(
                    f"target answered {answer.status}", may_have_run=True
                )
            progress = _Progress(self, run, reservation, started, decision)
            await deliver(run, exchange, answer, progress.note_event)
            self._sharing.health.record_response(
                decision.target, answer.status < 500
            )
        except AttemptError as error:
            if not error.may_have_run:
                run.runs -= 1
                self._sharing.shares.revert_usage(work.workspace, work.cost)
            raise
        finally:
            exchange.close()
            reservation.finish()
            self.poll_soon()

    def _deadline_refusal(self, run: RequestRun) -> RefusalError:
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
        self, call: Call, refusal: RefusalError, run: RequestRun | None
    ) -> None:
        self._log.count_refusal(refusal.reason)
        try:
            if call.is_started:
                call.abort()
            else:
                await call.refuse(refusal)
        except ConnectionError:
            # The caller left before its refusal.
            self._log.count_caller_gone()
        finally:
            self._log.note_end(call, run, refusal.code)

    def note_first_event(
        self, run: "RequestRun", decision: Decision, seconds: float
    ) -> None:
        """Learns from the first event of an engine's answer."""
        if not run.work.prompt_tokens:
            return
        self._log.note_first_event(seconds)
        self._sharing.loads.record_first_event(
            decision.target, seconds - decision.forecast_s
        )
        if decision.waiting_s < decision.reading_s * _READ_ALONE_SHARE:
            self._sharing.speeds.record_first_event(
                run.work.service, decision.reading_s, seconds
            )


async def _read_sockets() -> None:
    """Lets the event loop find out which callers have left.

    A late process reads requests whose callers may have closed their
    connections meanwhile; without this such a request goes to a target first.
    """
    for _ in range(_TURNS_TO_READ):
        await asyncio.sleep(0)


class _Progress:
    """Notices the first event of an answer."""

    def __init__(
        self,
        forwarder: Forwarder,
        run: RequestRun,
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
        self._reservation.record_first_event()
        seconds = self._forwarder.clock.monotonic() - self._started
        self._run.attempts[-1]["first_event_s"] = round(seconds, 3)
        self._forwarder.note_first_event(self._run, self._decision, seconds)
        self._forwarder.poll_soon()
