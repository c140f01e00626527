"""The application object of a router on the operators' platform."""

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
    StoreReaders,
    TargetState,
)
from crowwinch.errors import PeerRejection, RefusalReason, RetryReason
from crowwinch.fleet import FleetService
from crowwinch.forwarding import (
    CallerServer,
    Forwarder,
    GatewaySettings,
    RequestLimits,
    RoutingTable,
    SharingState,
    SocketAddress,
    Target,
    TargetClient,
    TargetSet,
)
from crowwinch.gateway._settings_file import SettingsFile
from crowwinch.observability import Metrics
from crowwinch.platform import (
    DocumentCodec,
    HeaderCodec,
    StoreClient,
    load_boot_settings,
)
from crowwinch.sharing import (
    Admission,
    CrashCounts,
    EngineSpeeds,
    KeptPrefixes,
    Placer,
    RepeatBudget,
    TargetHealth,
    TargetLoads,
    WorkspaceShares,
    time_constant,
)

_LOGGER = logging.getLogger(__name__)

# The balancer takes a router out after two questions, asked once a second. If
# too few others are in rotation it goes on to send; a stream that starts later
# would often be cut at the end of the grace time, so it is refused.
_OUT_OF_ROTATION_S = 2.5
# Closing all ports and connections takes up to 0.6 s on an idle machine, and
# took over 0.7 s beside other load; the process has to end before it is killed.
# Cutting streams up to a sixth of the grace time before its end is allowed,
# which is 1.3 s of the usual 8 s.
_STOP_MARGIN_S = 1.2
_DRAIN_POLL_S = 0.05
# The settings file may change without a signal.
_SETTINGS_PERIOD_S = 1.0
_SHUTDOWN_TIMEOUT_S = 0.1


class GatewayApplication(aiomisc.Service):
    """One router process on the operators' platform."""

    def __init__(self, path: str) -> None:
        """Builds all parts; nothing runs until `start`.

        Args:
            path: Settings file of the platform.

        Raises:
            SettingsError: With one finding for each wrong setting.
        """
        super().__init__()
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
        self._state = DirectoryState(self._clock, DocumentCodec())
        self._state.subscribe(self._on_directory)
        self._readers = StoreReaders(self._clock, str(settings.control))
        self._targets = TargetSet(settings.availability_zone, self._forget)
        self._sharing = self._build_sharing()
        codec = HeaderCodec()
        self._client = TargetClient(codec.attempt_header)
        self._callers = CallerServer(
            self._clock,
            settings.caller,
            codec,
            Forwarder(
                self._clock,
                lambda: self._state.routing,
                self._targets,
                self._sharing,
                self._client,
                codec,
                self._metrics,
                self._rng.random,
                self._describe_state,
                lambda: self._lag.was_late,
            ),
            self._limits,
            self._metrics,
            settings.memory_bytes,
            settings.max_descriptors,
            lambda: self._lag.was_late,
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
        )
        self._runners: list[web.ServerRunner] = []
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
        """Whether the balancer is to send new connections."""
        return (
            self._state.routing is not None
            and not self._is_stopping
            and not self._callers.is_overloaded
        )

    def _build_sharing(self) -> SharingState:
        settings = self._settings
        loads = TargetLoads(self._clock)
        prefixes = KeptPrefixes(self._clock)
        speeds = EngineSpeeds()
        health = TargetHealth(self._clock)
        shares = WorkspaceShares(
            self._clock, time_constant(settings.share_window_s)
        )
        return SharingState(
            admission=Admission(
                self._clock,
                Placer(loads, prefixes, speeds, health),
                shares,
                self._targets.of_service,
                self._rng.random,
            ),
            budget=RepeatBudget(
                self._clock, settings.retry_ratio, settings.retry_window_s
            ),
            crashes=CrashCounts(self._clock),
            health=health,
            loads=loads,
            prefixes=prefixes,
            shares=shares,
            speeds=speeds,
        )

    async def start(self) -> None:
        """Starts all parts in order."""
        settings = self._settings
        await self._serve_status(settings.readiness, self._ready)
        await self._serve_status(
            SocketAddress(settings.address, settings.metrics_port),
            self._render_metrics,
        )
        self._timers.call_every(
            _SETTINGS_PERIOD_S, self._settings_file.reload_if_changed
        )
        for component in self._components:
            await component.start()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self._settings_file.reload)
        _LOGGER.info(
            "router started",
            extra={"router": settings.name, "zone": settings.availability_zone},
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops all parts in reverse order."""
        del exception
        for task in self._background:
            task.cancel()
        for component in reversed(self._components):
            await component.stop()
        for runner in self._runners:
            await runner.cleanup()
        await self._store.stop()
        _LOGGER.info("router stopped", extra={"router": self._settings.name})

    async def wait_stopped(self) -> None:
        """Returns when a graceful shutdown has finished."""
        await self._stopped.wait()

    def begin_shutdown(self) -> None:
        """Starts a graceful shutdown; repeated calls change nothing."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._callers.close_after_answers()
        _LOGGER.info("shutdown started", extra={"active": self._callers.active})
        task = asyncio.ensure_future(self._drain())
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _drain(self) -> None:
        """Waits until the balancer sends nothing and all is answered."""
        now = self._clock.monotonic()
        earliest = now + _OUT_OF_ROTATION_S
        latest = now + self._settings.stop_grace_s - _STOP_MARGIN_S
        while (now := self._clock.monotonic()) < latest:
            if now >= earliest:
                self._callers.refuse_new()
                if not self._callers.active:
                    break
            await asyncio.sleep(_DRAIN_POLL_S)
        _LOGGER.info("shutdown finished", extra={"cut": self._callers.active})
        self._stopped.set()

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """Takes settings that changed while the router runs.

        The addresses at which it listens are those of its start.
        """
        self._settings = settings
        self._store.move(settings.store)
        self._fleet.set_seeds(settings.seeds)
        self._sharing.budget.set_limits(
            settings.retry_ratio, settings.retry_window_s
        )
        self._sharing.shares.set_time_constant(
            time_constant(settings.share_window_s)
        )

    def _describe_state(self) -> dict[str, object]:
        """Returns how old and how complete this router's knowledge is."""
        return {
            "revision": self._state.revision,
            "store_age_s": self._state.store_age_s,
            "peers": self._fleet.live_peers,
            "lag_s": round(self._lag.seconds, 3),
        }

    def _limits(self) -> RequestLimits:
        routing = self._state.routing
        return RequestLimits() if routing is None else routing.limits

    def _on_directory(self) -> None:
        routing = self._state.routing
        self._update_targets(routing)
        if routing is not None:
            self._sharing.shares.set_capacity(
                routing.limits.service_tokens_per_s
            )
        self._sharing.admission.poll()

    def _update_targets(self, routing: RoutingTable | None) -> None:
        self._targets.update(
            (
                Target(
                    identifier=entry.identifier,
                    life=entry.started_ms,
                    service=entry.service,
                    address=entry.address,
                    availability_zone=entry.availability_zone,
                    slots=entry.slots,
                )
                for entry in self._state.targets.values()
                if entry.state is TargetState.READY
            ),
            routing,
        )

    def _forget(self, target: str) -> None:
        self._sharing.prefixes.forget(target)
        self._sharing.health.forget(target)
        self._sharing.loads.forget_target(target)

    async def _serve_status(
        self, address: SocketAddress, handler: object
    ) -> None:
        runner = web.ServerRunner(
            web.Server(handler, access_log=None),
            handle_signals=False,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        await web.TCPSite(runner, address.host, address.port).start()
        self._runners.append(runner)

    async def _ready(self, request: web.BaseRequest) -> web.Response:
        del request
        if self.is_ready:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _render_metrics(self, request: web.BaseRequest) -> web.Response:
        del request
        return web.Response(text=self._metrics.render())


def run_gateway(path: str) -> None:
    """Runs a router until a graceful shutdown has finished.

    Args:
        path: Settings file of the platform.

    Raises:
        SettingsError: With one finding for each wrong setting.
    """

    async def serve() -> None:
        application = GatewayApplication(path)
        await application.start()
        try:
            await application.wait_stopped()
        finally:
            await application.stop()

    with aiomisc.entrypoint(log_config=False, pool_size=1) as loop:
        loop.run_until_complete(serve())
