"""Application object of a router process on the operators' platform."""

import asyncio
import logging
import random
import signal

import aiomisc
from aiohttp import web

from crowwinch.coordination import (
    Component,
    LoopLag,
    SystemClock,
    TimerDriver,
    TimerService,
)
from crowwinch.directory import (
    DirectoryState,
    DirectoryWatcher,
    StoreReaderSelector,
    TargetEntry,
)
from crowwinch.errors import PeerRejection, RefusalReason, RetryReason
from crowwinch.fleet import DirectorySync, FleetService, FleetStreamOrigins
from crowwinch.forwarding import (
    CallerServer,
    Forwarder,
    GatewaySettings,
    MemoryPool,
    RequestLimits,
    RoutingTable,
    SharingState,
    SocketAddress,
    StatusServer,
    Target,
    TargetClient,
    TargetLives,
    TargetSet,
    max_status_connections,
)
from crowwinch.gateway._cold_entries import observe_cold_entries
from crowwinch.gateway._settings_file import SettingsFile
from crowwinch.gateway._state_report import STATE_PATH, StateReport
from crowwinch.observability import Metrics
from crowwinch.platform import (
    DocumentCodec,
    HeaderCodec,
    StoreClient,
    load_boot_settings,
)
from crowwinch.sharing import (
    Admission,
    CallerWaits,
    ColdStart,
    ColdTargets,
    CrashSuspects,
    EngineSpeeds,
    Placer,
    PrefixCacheTracker,
    SlidingWindowRetryBudget,
    StartPace,
    TargetHealth,
    TargetLimits,
    TargetLoads,
    TargetRateLimits,
    WorkspaceShares,
    time_constant,
)

_LOGGER = logging.getLogger(__name__)

# The load balancer removes a router after two failed probes, one a second. It
# keeps sending requests if too few other routers are in rotation. Requests that
# arrive later are refused, since their streams would often be cut at the end of
# the grace period.
_OUT_OF_ROTATION_S = 2.5
# Time reserved to close all ports and connections before the process is killed.
# Closing takes up to 0.6 s on an idle host and took over 0.7 s on a busy one.
# Streams may be cut in the last sixth of the grace period, which is 1.3 s of
# the usual 8 s.
_STOP_MARGIN_S = 1.2
_DRAIN_POLL_S = 0.05
# Time to write the answers of requests that the shutdown ends.
_LAST_ANSWERS_S = 0.2
# The settings file may change without a signal, so it is polled.
_SETTINGS_POLL_S = 1.0
_WORKSPACE_LOG_PERIOD_S = 1.0
# Maximum share of the process memory for bytes of targets that are kept before
# they are relayed.
_RESPONSE_MEMORY_SHARE = 0.15
# Events and bodies up to this size are always kept.
_FREE_RESPONSE_BYTES = 8_192


class GatewayApplication(aiomisc.Service):
    """One router process on the operators' platform."""

    def __init__(self, path: str, *, is_paced: bool = False) -> None:
        """Creates all components; none runs until `start` is called.

        Args:
            path: Path of the settings file of the platform.
            is_paced: Whether targets that have started or recovered are paced.

        Raises:
            SettingsError: If settings are invalid, with a finding for each.
        """
        super().__init__()
        self._is_paced = is_paced
        self._settings_file = SettingsFile(
            path, load_boot_settings, self._apply_settings
        )
        settings = self._settings_file.settings
        self._settings = settings
        self._clock = SystemClock()
        self._timers = TimerService(self._clock)
        self._lag = LoopLag(self._timers)
        self._rng = random.Random()
        self._metrics = Metrics()
        self._metrics.declare_reasons("refusals", RefusalReason)
        self._metrics.declare_reasons("retries", RetryReason)
        self._metrics.declare_reasons("peer_rejections", PeerRejection)
        self._metrics.gauge("loop_lag_seconds", lambda: self._lag.seconds)
        self._metrics.gauge("ready", lambda: self.is_ready)
        self._store = StoreClient(settings.store)
        self._state = DirectoryState(
            self._clock,
            DocumentCodec(),
            lambda zone: zone in self._settings.zones,
        )
        self._state.subscribe(self._on_directory_changed)
        self._readers = StoreReaderSelector(self._clock, str(settings.control))
        self._targets = TargetSet(
            settings.availability_zone, self._remove_target
        )
        self._metrics.gauge(
            "evacuated_zones", lambda: len(self._state.evacuated_zones)
        )
        self._sharing = self._build_sharing()
        self._metrics.gauge("cold_targets", lambda: self._sharing.cold.count)
        self._metrics.gauge(
            "paced_targets", lambda: self._sharing.pace.paced_targets
        )
        self._is_stopping = False
        self._stopped = asyncio.Event()
        self._background: set[asyncio.Task[None]] = set()
        self._fleet = FleetService(
            self._timers,
            settings,
            self._state,
            self._readers,
            self._sharing,
            lambda: self._is_stopping,
            lambda reason: self._metrics.count_reason(
                "peer_rejections", reason
            ),
            lambda: self._callers.is_short,
        )
        sync = DirectorySync(
            self._clock, self._state, self._store, self._fleet.sync_with_peers
        )
        self._fleet.serve_sync(sync.sync_with_store)
        self._state_report = self._build_state_report()
        self._metrics.gauge(
            "evicted_stream_records", lambda: self._fleet.streams.evictions
        )
        response_memory = MemoryPool(
            int(settings.memory_bytes * _RESPONSE_MEMORY_SHARE),
            _FREE_RESPONSE_BYTES,
        )
        self._metrics.gauge(
            "response_memory_bytes", lambda: response_memory.used_bytes
        )
        codec = HeaderCodec()
        self._client = TargetClient(codec.attempt_header)
        self._forwarder = Forwarder(
            self._clock,
            lambda: self._state.routing,
            self._targets,
            self._sharing,
            self._client,
            codec,
            self._metrics,
            self._rng.random,
            FleetStreamOrigins(
                self._clock,
                self._fleet.streams,
                self._sharing.caller_waits,
                self._state,
                self._store,
                sync,
                settings.store_history_s,
                settings.heartbeat_s,
            ),
            TargetLives(
                self._clock,
                self._client,
                codec,
                self._targets,
                lambda: self._state.synced_at,
                self._sharing.cold,
            ),
            response_memory,
            self._describe_state,
            lambda: self._lag.was_late,
        )
        self._callers = CallerServer(
            self._clock,
            settings.caller,
            codec,
            self._forwarder,
            self._limits,
            self._metrics,
            settings.memory_bytes,
            settings.max_descriptors,
            lambda: self._lag.was_late,
            lambda: self._lag.seconds,
            lambda: self._fleet.has_relief,
        )
        self._status_servers = [
            StatusServer(
                address,
                handler,
                max_status_connections(settings.max_descriptors),
                self._metrics,
            )
            for address, handler in (
                (settings.readiness, self._handle_readiness),
                (
                    SocketAddress(settings.address, settings.metrics_port),
                    self._handle_metrics,
                ),
            )
        ]
        self._components: list[Component] = [
            TimerDriver(self._timers),
            self._lag,
            self._client,
            self._callers,
            self._fleet,
            DirectoryWatcher(
                self._timers,
                self._store,
                self._state,
                self._readers,
                self._rng,
            ),
        ]

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections."""
        return (
            self._state.routing is not None
            and not self._is_stopping
            and not self._callers.is_overloaded
        )

    def _build_sharing(self) -> SharingState:
        settings = self._settings
        loads = TargetLoads(self._clock)
        prefixes = PrefixCacheTracker(self._clock)
        speeds = EngineSpeeds()
        health = TargetHealth(self._clock)
        rate_limits = TargetRateLimits(self._clock, self._rng.random)
        cold = ColdTargets(
            self._clock,
            self._targets.view,
            settings.cold_overage,
            settings.cold_slack,
            _log_cold_target,
        )
        pace = StartPace(self._clock, loads, cold)
        limits = TargetLimits(
            [rate_limits, cold, *([pace] if self._is_paced else [])]
        )
        shares = WorkspaceShares(
            self._clock, time_constant(settings.share_window_s)
        )
        return SharingState(
            admission=Admission(
                self._clock,
                Placer(loads, prefixes, speeds, health, limits),
                shares,
                self._targets.views_of_service,
                self._rng.random,
                self._targets.evacuated_views_of_service,
            ),
            budget=SlidingWindowRetryBudget(
                self._clock, settings.retry_ratio, settings.retry_window_s
            ),
            caller_waits=CallerWaits(self._clock),
            cold=cold,
            crashes=CrashSuspects(
                self._clock,
                self._rng.random,
                lambda: loads.peer_count + 1,
            ),
            health=health,
            limits=limits,
            loads=loads,
            pace=pace,
            prefixes=prefixes,
            rate_limits=rate_limits,
            shares=shares,
            speeds=speeds,
        )

    def _build_state_report(self) -> StateReport:
        report = StateReport(
            self._clock,
            lambda: self._settings,
            self._state,
            self._targets,
            self._sharing,
        )
        report.add_section("ready", lambda: self.is_ready)
        report.add_section("peers", lambda: self._fleet.live_peers)
        return report

    async def start(self) -> None:
        """Starts all components in order."""
        settings = self._settings
        for server in self._status_servers:
            await server.start()
        self._timers.call_every(
            _SETTINGS_POLL_S, self._settings_file.reload_if_changed
        )
        self._timers.call_every(
            _WORKSPACE_LOG_PERIOD_S, self._forwarder.log_workspaces
        )
        for component in self._components:
            await component.start()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.begin_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self._settings_file.reload)
        _LOGGER.info(
            "router started",
            extra={"router": settings.name, "zone": settings.availability_zone},
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops all components in reverse order."""
        del exception
        for task in self._background:
            task.cancel()
        for component in reversed(self._components):
            await component.stop()
        for server in self._status_servers:
            await server.stop()
        await self._store.stop()
        _LOGGER.info("router stopped", extra={"router": self._settings.name})

    async def wait_stopped(self) -> None:
        """Waits until a graceful shutdown has finished."""
        await self._stopped.wait()

    def begin_shutdown(self) -> None:
        """Starts a graceful shutdown; idempotent."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._callers.close_after_responses()
        _LOGGER.info("shutdown started", extra={"active": self._callers.active})
        task = asyncio.ensure_future(self._drain())
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _drain(self) -> None:
        """Waits until the router is out of rotation and has no requests.

        Ends early enough to close all connections within the grace period.
        """
        started = self._clock.monotonic()
        while True:
            now = self._clock.monotonic()
            # The grace period may change while the router stops.
            end = started + self._settings.stop_grace_s - _STOP_MARGIN_S
            self._callers.set_shutdown_deadline(end)
            if now >= started + _OUT_OF_ROTATION_S:
                self._callers.refuse_new_requests()
                if not (
                    self._callers.active or self._fleet.streams.is_handing_over
                ):
                    break
            if now >= end:
                await self._end_requests()
                break
            await asyncio.sleep(_DRAIN_POLL_S)
        _LOGGER.info(
            "shutdown finished",
            extra={
                "cut": self._callers.active,
                "records_left": self._fleet.streams.unconfirmed,
            },
        )
        self._stopped.set()

    async def _end_requests(self) -> None:
        """Answers the requests that are still open."""
        self._callers.refuse_new_requests()
        self._callers.end_requests()
        end = self._clock.monotonic() + _LAST_ANSWERS_S
        while self._callers.active and self._clock.monotonic() < end:
            await asyncio.sleep(_DRAIN_POLL_S)

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """Applies settings that changed while the router runs.

        Changes of the addresses at which it listens need a restart.
        """
        self._settings = settings
        self._store.set_address(settings.store)
        self._fleet.set_seeds(settings.seeds)
        self._sharing.budget.set_limits(
            settings.retry_ratio, settings.retry_window_s
        )
        self._sharing.shares.set_time_constant(
            time_constant(settings.share_window_s)
        )
        self._sharing.cold.set_bound(settings.cold_overage, settings.cold_slack)
        # The zones of the deployment may have changed.
        self._on_directory_changed()

    def _describe_state(self) -> dict[str, object]:
        """Returns log fields on how current this router's state is."""
        return {
            "revision": self._state.revision,
            "behind_s": self._fleet.behind_s,
            "store_age_s": self._state.store_age_s,
            "peers": self._fleet.live_peers,
            "lag_s": round(self._lag.seconds, 3),
        }

    def _limits(self) -> RequestLimits:
        routing = self._state.routing
        return RequestLimits() if routing is None else routing.limits

    def _on_directory_changed(self) -> None:
        routing = self._state.routing
        self._update_targets(routing)
        if routing is not None:
            self._sharing.shares.set_capacity(
                routing.limits.service_tokens_per_s
            )
        self._sharing.admission.note_targets_changed()

    def _update_targets(self, routing: RoutingTable | None) -> None:
        entries = self._state.available_targets()
        self._targets.update(
            map(self._to_target, entries),
            routing,
            map(self._to_target, self._state.evacuated_targets()),
        )
        observe_cold_entries(self._sharing.cold, entries, routing)
        # Without targets, no pace begins and nothing is told to peers.
        if self._is_paced:
            self._sharing.pace.observe_targets(self._targets.views)

    def _to_target(self, entry: TargetEntry) -> Target:
        return Target(
            identifier=entry.identifier,
            life=entry.started_ms,
            service=entry.service,
            address=entry.address,
            availability_zone=entry.availability_zone,
            slots=entry.slots,
            software_version=entry.software_version,
            region=self._settings.zones.get(entry.availability_zone, ""),
        )

    def _remove_target(self, target: str) -> None:
        self._sharing.prefixes.remove_target(target)
        self._sharing.health.remove_target(target)
        self._sharing.loads.remove_target(target)

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        del request
        if self.is_ready:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _handle_metrics(self, request: web.BaseRequest) -> web.Response:
        if request.path == STATE_PATH:
            return self._state_report.respond()
        return web.Response(text=self._metrics.render())


def _log_cold_target(start: ColdStart) -> None:
    _LOGGER.info(
        "target is cold",
        extra={
            "target": start.target,
            "started_ms": start.life,
            "seconds": round(start.left_s, 3),
            "cause": start.cause.value,
        },
    )


def run_gateway(path: str, *, is_paced: bool = False) -> None:
    """Runs a router until a graceful shutdown has finished.

    Args:
        path: Path of the settings file of the platform.
        is_paced: Whether targets that have started or recovered are paced.

    Raises:
        SettingsError: If settings are invalid, with a finding for each.
    """

    async def serve() -> None:
        application = GatewayApplication(path, is_paced=is_paced)
        await application.start()
        try:
            await application.wait_stopped()
        finally:
            await application.stop()

    with aiomisc.entrypoint(log_config=False, pool_size=1) as loop:
        loop.run_until_complete(serve())
