"""Forwards a request: routing, admission, attempts, response."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable, Mapping

from crowwinch.coordination import Clock
from crowwinch.errors import (
    RefusalError,
    RefusalReason,
    RunState,
)
from crowwinch.forwarding._call import Call
from crowwinch.forwarding._delivery import deliver
from crowwinch.forwarding._event_recorder import EventRecorder
from crowwinch.forwarding._exchange import (
    AttemptError,
    Exchange,
    StalePlacementError,
)
from crowwinch.forwarding._memory import MemoryPool
from crowwinch.forwarding._messages import (
    AttemptHead,
    WireCodec,
)
from crowwinch.forwarding._model import Route, RoutingTable
from crowwinch.forwarding._request_context import RequestContext
from crowwinch.forwarding._request_log import CALLER_GONE, SERVED, RequestLog
from crowwinch.forwarding._retry_policy import RetryPolicy
from crowwinch.forwarding._sharing_state import Placement, SharingState
from crowwinch.forwarding._shutdown import Shutdown
from crowwinch.forwarding._stream_origins import (
    StreamOrigin,
    StreamOrigins,
    TakenUpStream,
)
from crowwinch.forwarding._target_client import TargetClient
from crowwinch.forwarding._target_lives import TargetLives
from crowwinch.forwarding._target_observer import TargetObserver
from crowwinch.forwarding._target_set import Target, TargetSet
from crowwinch.observability import Metrics
from crowwinch.sharing import Decision, Ticket, Verdict, Work

# Used where the route has no time-out or the caller sets no deadline.
_DEFAULT_TIMEOUT_S = 60.0
# Retry delay after a refusal for lack of a configuration or of a target; it
# gives the router time to read a lost configuration again.
_RETRY_DELAY_S = 1.0
# Event loop iterations needed to read the end of a connection and cancel its
# request. Each takes up to 60 ms in a process that lacks processor time.
_SOCKET_EVENT_ITERATIONS = 2
# Minimum interval between two decisions on the waiting requests.
_POLL_INTERVAL_S = 0.02
# The time to the first event measures the prefill speed of an engine only if
# the prompt hardly waits for others: the prefill queued ahead of it must take
# less than this fraction of its own prefill time.
_MAX_QUEUED_PREFILL_RATIO = 0.1

_REFUSALS = {
    Verdict.REFUSE_OVERLOAD: RefusalReason.DEADLINE_UNREACHABLE,
    Verdict.REFUSE_OVER_SHARE: RefusalReason.WORKSPACE_LIMIT,
    Verdict.REFUSE_NO_TARGET: RefusalReason.NO_TARGET,
    Verdict.REFUSE_EVACUATED: RefusalReason.EVACUATED,
    Verdict.REFUSE_NO_HOME_TARGET: RefusalReason.NO_HOME_TARGET,
}


class Forwarder:
    """Forwards requests to the targets that admission control selects."""

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
        streams: StreamOrigins,
        lives: TargetLives,
        response_memory: MemoryPool,
        describe_state: Callable[[], Mapping[str, object]] = dict,
        was_late: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initializes the forwarder.

        Args:
            clock: Monotonic clock.
            routing: Returns the current configuration, None if unknown.
            targets: Targets that accept requests.
            sharing: State for admission, placement and retries.
            client: Sends attempts to targets.
            codec: Encodes and decodes headers.
            metrics: Counters and histograms.
            random: Returns a random number in [0, 1).
            streams: Finds the origins of streams.
            lives: Confirms the start times of targets.
            response_memory: Pool for bytes of targets that are kept before they
                are relayed.
            describe_state: Returns the age and version of this router's state
                for the request log.
            was_late: Returns whether the process recently lacked processor
                time, so that it may read requests long after they were sent.
        """
        self._clock = clock
        self._was_late = was_late
        self._routing = routing
        self._targets = targets
        self._sharing = sharing
        self._client = client
        self._codec = codec
        self._random = random
        self._streams = streams
        self._lives = lives
        self._response_memory = response_memory
        self._retry_policy = RetryPolicy(clock, sharing, client.can_connect)
        self._log = RequestLog(clock, metrics, sharing.shares, describe_state)
        self._is_polling = False
        self._shutdown = Shutdown(clock)
        self._observer = TargetObserver(clock, targets, sharing, self._log)

    @property
    def clock(self) -> Clock:
        """Monotonic clock."""
        return self._clock

    @property
    def shutdown(self) -> Shutdown:
        """Limits the requests that are taken while the router stops."""
        return self._shutdown

    def log_workspaces(self) -> None:
        """Logs what each workspace asked for and got since the last call."""
        self._log.write_workspaces()

    def schedule_poll(self) -> None:
        """Schedules a decision on the waiting requests.

        Called when a target has made progress. Calls within the poll interval
        share one decision: under high load, one decision per call used all of
        the processor time.
        """
        admission = self._sharing.admission
        if not self._is_polling and admission.waiting:
            self._is_polling = True
            asyncio.get_running_loop().call_later(_POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self._is_polling = False
        self._sharing.admission.poll()

    async def serve(self, call: Call) -> None:
        """Forwards a request.

        The response is complete, or the connection to the caller is closed.
        """
        context: RequestContext | None = None
        try:
            context = self._resolve_request(call)
            self._log.record_request(context)
            self._shutdown.refuse_if_too_late(context)
            if self._was_late():
                await _process_socket_events()
            if not context.is_taken_up:
                self._refuse_if_certain(context)
            async with asyncio.timeout(
                context.deadline - self._clock.monotonic()
            ) as time_limit:
                with self._shutdown.track(time_limit):
                    await self._serve(context)
        except TimeoutError:
            assert context is not None
            await self._finish_refused(
                call, self._deadline_refusal(context), context
            )
        except RefusalError as refusal:
            await self._finish_refused(call, refusal, context)
        except asyncio.CancelledError:
            self._log.record_end(call, context, CALLER_GONE)
            raise
        except ConnectionError:
            # The caller disconnected while the response was written.
            self._log.record_end(call, context, CALLER_GONE)
        else:
            self._shutdown.record_answer(context)
            self._log.record_end(call, context, SERVED)

    def _refuse_if_certain(self, context: RequestContext) -> None:
        """Refuses a request whose refusal needs nothing but its workspace.

        While requests that crash targets are known, the refusal of those comes
        first.

        Raises:
            RefusalError: If the request would be refused at once.
        """
        if not self._sharing.crashes.is_empty:
            return
        decision = self._sharing.admission.certain_refusal(
            context.work, context.deadline, context.is_taken_up
        )
        if decision is not None:
            raise _refusal_of(decision, context)

    def _resolve_request(self, call: Call) -> RequestContext:
        """Determines the route, workspace and deadline of a request.

        Raises:
            RefusalError: If there is no configuration, no matching route or
                no permission to use the route.
        """
        table = self._routing()
        if table is None:
            raise RefusalError(
                RefusalReason.NOT_READY,
                "no configuration is known yet",
                retry_after_s=_RETRY_DELAY_S,
            )
        route = table.match(call.host, call.raw_path)
        if route is None:
            raise RefusalError(RefusalReason.NOT_FOUND, "no such route")
        head = call.head
        if not table.is_key_allowed(route, head.key):
            raise RefusalError(RefusalReason.UNKNOWN_KEY, "unknown key")
        workspace = table.workspace(route, head.key)
        timeout_s = min(
            route.timeout_s or _DEFAULT_TIMEOUT_S,
            head.deadline_s or _DEFAULT_TIMEOUT_S,
        )
        is_taken_up = route.is_resumable and bool(head.last_event_id)
        work = Work(
            # A stream that is taken up goes on at the service that began it.
            service="" if is_taken_up else self._choose_service(route),
            workspace=workspace or "",
            model=head.model,
            parts=head.parts,
            prompt_tokens=head.prompt_tokens,
            output_tokens=head.output_tokens,
            target_latency_s=route.target_latency_s,
            priority=route.priority,
        )
        self._sharing.shares.record_demand(work.workspace, work.cost)
        context = RequestContext(
            call=call,
            table=table,
            route=route,
            workspace=workspace,
            work=work,
            deadline=call.arrived + timeout_s,
            prior_wait_s=(
                self._sharing.deadlines.record(
                    work.workspace, route.name, head.deadline_s
                )
                if head.deadline_s
                else 0.0
            ),
            last_event_id=head.last_event_id,
            is_taken_up=is_taken_up,
            home_regions=table.home_regions(route, head.key),
        )
        if not is_taken_up:
            self._count_request(work.service)
            if route.is_resumable:
                self._sharing.caller_waits.record(
                    route.key, head.deadline_s or timeout_s
                )
        return context

    def _count_request(self, service: str) -> None:
        """Counts a request for the limits on a service."""
        self._sharing.budget.record_request(service)
        self._sharing.rate_limits.record_demand(service)
        self._sharing.pace.record_demand(service)

    def _choose_service(self, route: Route) -> str:
        services = list(route.services.items())
        if len(services) == 1:
            return services[0][0]
        threshold = self._random() * sum(weight for _, weight in services)
        for name, weight in services:
            threshold -= weight
            if threshold < 0:
                return name
        return services[-1][0]

    async def _serve(self, context: RequestContext) -> None:
        """Makes attempts until one returns a response to the caller.

        Raises:
            RefusalError: If no response can be returned.
        """
        if context.is_taken_up:
            await self._find_stream_origin(context)
            self._refuse_if_certain(context)
        while True:
            self._retry_policy.refuse_crash_suspect(context)
            placement = await self._admit(context)
            target = placement.decision.target
            try:
                await self._attempt(context, placement)
            except StalePlacementError:
                # Nothing was sent, so this is no retry and no failure.
                continue
            except AttemptError as error:
                reason = self._retry_policy.handle_attempt_error(
                    context, target, error
                )
                self._log.count_retry(reason)
            else:
                return

    async def _find_stream_origin(self, context: RequestContext) -> None:
        """Finds the service and software version that began a stream.

        Raises:
            RefusalError: If they are not known, or the route no longer sends
                requests to the service. Nothing else must go on with the
                stream.
        """
        services = context.route.active_services
        origin = await self._streams.find(
            TakenUpStream(
                context.call.head.resumed_attempt_id,
                context.route.key,
                services,
                context.route.timeout_s or _DEFAULT_TIMEOUT_S,
                context.call.head.deadline_s,
            )
        )
        if origin is None or origin.service is None:
            raise RefusalError(
                RefusalReason.STREAM_VERSION_UNKNOWN,
                "the software version that began the stream is not known",
            )
        if origin.service not in services:
            raise RefusalError(
                RefusalReason.STREAM_SERVICE_REMOVED,
                f"the route has no service {origin.service!r} any more, "
                "which began the stream",
            )
        context.software_version = origin.version
        context.work = dataclasses.replace(context.work, service=origin.service)
        self._count_request(origin.service)

    async def _admit(self, context: RequestContext) -> Placement:
        """Waits until the request is assigned to a target.

        Raises:
            RefusalError: If the request is refused.
        """
        future: asyncio.Future[Placement] = (
            asyncio.get_running_loop().create_future()
        )

        def on_decision(decision: Decision) -> None:
            # The future is cancelled if the caller has just disconnected.
            if not future.done():
                now = self._clock.monotonic()
                future.set_result(
                    self._sharing.place(context.work, decision, now)
                )

        ticket = Ticket(
            work=context.work,
            arrived=(
                context.call.arrived
                if not context.attempt_count
                else self._clock.monotonic()
            ),
            deadline=context.deadline,
            on_decision=on_decision,
            excluded=context.excluded,
            # The caller of a broken stream has its first events in time.
            prior_wait_s=0.0 if context.is_taken_up else context.prior_wait_s,
            is_taken_up=context.is_taken_up,
            software_version=context.software_version,
            home_regions=context.home_regions,
        )
        self._sharing.admission.submit(ticket)
        try:
            placement = await future
        except asyncio.CancelledError:
            # The caller may disconnect after the decision but before this task
            # resumes.
            if not future.cancelled() and future.done():
                self._sharing.release(context.work, future.result())
            raise
        finally:
            self._sharing.admission.withdraw(ticket)
        decision = placement.decision
        if decision.verdict is Verdict.SEND:
            return placement
        raise _refusal_of(decision, context)

    async def _attempt(
        self, context: RequestContext, placement: Placement
    ) -> None:
        """Makes one attempt and returns its response to the caller.

        Raises:
            AttemptError: If there is no complete response.
            StalePlacementError: If the request must be placed anew.
        """
        decision, reservation = placement.decision, placement.reservation
        assert reservation is not None, "no load reserved for the attempt"
        call, work = context.call, context.work
        target = await self._find_target(context, placement)
        if target is None:
            self._sharing.release(work, placement)
            raise StalePlacementError("the target is gone")
        if context.software_version not in (None, target.software_version):
            self._sharing.release(work, placement)
            raise AttemptError(
                "the target has restarted with another software version",
                may_have_run=False,
            )
        self._check_grant(target, context, placement)
        started = self._clock.monotonic()
        context.target = target
        context.attempt_began_at = None
        context.attempt_count += 1
        context.attempts.append(
            {
                "target": decision.target,
                "unread_tokens": decision.unread_tokens,
                "read_again": decision.recompute_tokens,
                "fetched": decision.fetched_tokens,
                "ahead_s": round(decision.waiting_s, 3),
                "expected_s": round(decision.expected_s, 3),
                "delay_s": round(decision.expected_s - decision.forecast_s, 3),
                "waited_s": round(started - call.arrived, 3),
                "software": target.software_version,
                **self._log.describe_directory(),
            }
        )
        exchange = Exchange(
            self._client,
            self._codec,
            str(target.address),
            call.head.attempt_id,
            self._response_memory,
            functools.partial(self._observer.observe_head, target, started),
        )
        events = EventRecorder(
            self._clock,
            context,
            reservation,
            started,
            functools.partial(self._note_first_event, context, decision),
        )
        try:
            context.possible_runs += 1
            response = await exchange.open(
                call.method,
                call.raw_path,
                self._codec.encode_attempt(
                    call.headers,
                    AttemptHead(
                        target_id=target.identifier,
                        remaining_s=context.deadline - started,
                        workspace=context.workspace,
                        last_event_id=context.last_event_id,
                        fetch_from=self._address(decision.fetch_from),
                    ),
                ),
                call.body,
            )
            if self._retry_policy.is_failure(context, response):
                raise AttemptError(
                    f"target answered {response.status}", may_have_run=True
                )
            await deliver(
                context,
                exchange,
                response,
                events.record_event,
                functools.partial(self._note_stream_start, context, target),
            )
            self._sharing.health.record_response(
                decision.target, response.status < 500
            )
            if response.status >= 500:
                self._sharing.pace.record_failure(decision.target)
            self._retry_policy.record_answer(context)
        except AttemptError as error:
            if error.is_connection_lost or error.is_unreachable:
                self._lives.doubt(target)
                self._observer.record_broken_connection(target, error)
            if error.is_oversized:
                self._observer.record_oversized(target, error)
            if not error.may_have_run:
                context.possible_runs -= 1
                self._sharing.shares.revert_usage(work.workspace, work.cost)
            raise
        finally:
            exchange.close()
            reservation.finish()
            self.schedule_poll()

    def _address(self, identifier: str) -> str | None:
        """Returns the address of a target, None if it is gone."""
        target = self._targets.get(identifier) if identifier else None
        return None if target is None else str(target.address)

    async def _find_target(
        self, context: RequestContext, placement: Placement
    ) -> Target | None:
        """Returns the target of a decision, None if it is gone.

        A stream is bound to the software version of its target, which has to be
        known.
        """
        target = self._targets.get(placement.decision.target)
        if target is None:
            return None
        self._lives.check_connections(target)
        if not context.route.is_resumable:
            return target
        try:
            confirmed = await self._lives.confirm(target)
        except asyncio.CancelledError:
            self._sharing.release(context.work, placement)
            raise
        # The target may have left, or its zone may have been evacuated.
        is_present = self._targets.get(target.identifier) is not None
        return confirmed if is_present else None

    def _check_grant(
        self, target: Target, context: RequestContext, placement: Placement
    ) -> None:
        """Checks that a request may be sent to its target now.

        Raises:
            StalePlacementError: If the target became cold after the request was
                placed, or too much time has passed since.
        """
        view = self._targets.view(target.identifier)
        if view is None or self._sharing.cold.may_send(
            view, placement.placed_at
        ):
            return
        self._sharing.release(context.work, placement)
        raise StalePlacementError("the target is cold")

    def _note_stream_start(
        self, context: RequestContext, target: Target
    ) -> None:
        """Binds a stream to the service and version of its first event.

        Before it, the caller has nothing that another version could not begin
        again.
        """
        if context.software_version is None:
            context.software_version = target.software_version
        if context.route.is_resumable:
            self._streams.record(
                context.stream_id,
                StreamOrigin(context.work.service, context.software_version),
            )

    def _deadline_refusal(self, context: RequestContext) -> RefusalError:
        if context.may_have_run:
            return RefusalError(
                RefusalReason.DEADLINE_EXCEEDED,
                "no answer in time",
                context.run_state,
            )
        return RefusalError(
            RefusalReason.DEADLINE_UNREACHABLE,
            "no target in time",
            RunState.NOT_RUN,
            _RETRY_DELAY_S,
        )

    async def _finish_refused(
        self, call: Call, refusal: RefusalError, context: RequestContext | None
    ) -> None:
        self._log.count_refusal(refusal.reason)
        try:
            if call.is_started:
                call.abort()
            else:
                await call.refuse(refusal)
        except ConnectionError:
            # The caller disconnected before the refusal was sent.
            self._log.count_disconnect()
        finally:
            self._log.record_end(call, context, refusal.code)

    def _note_first_event(
        self, context: RequestContext, decision: Decision, seconds: float
    ) -> None:
        """Updates estimates and decides what waits after the first event.

        Args:
            context: State of the request.
            decision: The decision that selected the target.
            seconds: Time in seconds from the start of the attempt to the first
                event of the response.
        """
        if context.work.prompt_tokens:
            self._record_prefill(context, decision, seconds)
        else:
            self._sharing.pace.record_first_event(decision.target, 0.0)
        self.schedule_poll()

    def _record_prefill(
        self, context: RequestContext, decision: Decision, seconds: float
    ) -> None:
        self._log.record_first_event(context, seconds)
        late_s = seconds - decision.forecast_s
        self._sharing.loads.record_first_event(decision.target, late_s)
        self._sharing.pace.record_first_event(decision.target, late_s, seconds)
        if decision.waiting_s < decision.reading_s * _MAX_QUEUED_PREFILL_RATIO:
            self._sharing.speeds.record_first_event(
                context.work.service, decision.reading_s, seconds
            )


def _refusal_of(decision: Decision, context: RequestContext) -> RefusalError:
    return RefusalError(
        _REFUSALS[decision.verdict],
        decision.verdict.value,
        context.run_state,
        decision.retry_after_s,
    )


async def _process_socket_events() -> None:
    """Lets the event loop detect callers that have disconnected.

    A process that lacks processor time reads requests whose callers may
    already have closed their connections. Without this step such requests
    would be sent to a target before the disconnection is noticed.
    """
    for _ in range(_SOCKET_EVENT_ITERATIONS):
        await asyncio.sleep(0)
