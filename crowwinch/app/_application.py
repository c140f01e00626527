"""The application object: wires the parts and owns their life cycle."""

import asyncio
import logging
import signal
from collections.abc import Awaitable

import aiomisc

from crowwinch.api import CallerApi, OperatorApi
from crowwinch.app._fleet_commands import FleetCommands
from crowwinch.app._fleet_configuration import FleetConfiguration
from crowwinch.app._fleet_crashes import FleetCrashes
from crowwinch.app._fleet_idempotency import FleetIdempotency
from crowwinch.app._fleet_scheduling import FleetScheduling
from crowwinch.app._http_server import HttpServer
from crowwinch.app._links import LinkTable
from crowwinch.app._memory import MemoryKeeper
from crowwinch.app._peer_service import PeerService
from crowwinch.app._tls import tls_contexts
from crowwinch.configuration import ConfigurationStore, ServiceClient, Snapshot
from crowwinch.coordination import (
    Component,
    SystemClock,
    TimerDriver,
    TimerService,
)
from crowwinch.errors import PeerRejection, RefusalReason, RetryReason
from crowwinch.generated.settings import RouterSettings
from crowwinch.observability import Metrics
from crowwinch.routing import (
    KeyedRequestHandler,
    RequestHandler,
    StreamIds,
)
from crowwinch.targets import (
    IncarnationTable,
    TargetClient,
    TargetLoad,
    TargetMonitor,
    TargetReport,
    fetch_load,
)

_LOGGER = logging.getLogger(__name__)
_DRAIN_POLL_S = 0.05
# After the longest life of a request, for refusals at its end to arrive.
_DRAIN_MARGIN_S = 2.0


class RouterApplication(aiomisc.Service):
    """One router process."""

    def __init__(self, settings: RouterSettings) -> None:
        """Builds all parts; nothing runs until `start`.

        Raises:
            SettingsError: If a certificate or a key cannot be used.
        """
        super().__init__()
        self._settings = settings
        self._caller_tls, target_tls = tls_contexts(settings)
        self._clock = SystemClock()
        self._timers = TimerService(self._clock)
        self._metrics = Metrics()
        self._metrics.declare_reasons("refusals", RefusalReason)
        self._metrics.declare_reasons("retries", RetryReason)
        self._metrics.declare_reasons("peer_rejections", PeerRejection)
        self._store = ConfigurationStore(self._metrics.count)
        self._store.subscribe(MemoryKeeper().on_change)
        self._platform = ServiceClient(
            settings.configuration_url, settings.vm_list_url
        )
        self._peers = PeerService(
            settings,
            self._timers,
            self._platform,
            self._metrics,
            lambda: (
                self._store.snapshot.revision,
                self._store.snapshot.digest,
            ),
        )
        self._configuration = FleetConfiguration(
            settings,
            self._timers,
            self._store,
            self._platform,
            self._peers,
            self._metrics,
        )
        self._client = TargetClient(target_tls)
        self._incarnations = IncarnationTable(self._fetch_load)
        self._commands = FleetCommands(
            settings, self._timers, self._snapshot, self._peers, self._metrics
        )
        self._monitor = TargetMonitor(self._timers, self._fetch_load)
        self._monitor.subscribe(self._observe_target)
        self._links = LinkTable(self._timers, self._peers, self._metrics)
        self._scheduling = FleetScheduling(
            settings,
            self._timers,
            self._snapshot,
            self._peers,
            self._links,
            self._monitor,
            self._count_retry,
        )
        self._crashes = FleetCrashes(
            settings, self._timers, self._peers, self._links
        )
        self._idempotency = FleetIdempotency(
            settings, self._timers, self._peers, self._links
        )
        handler = self._build_handler()
        self._callers = CallerApi(
            self._clock,
            self._snapshot,
            handler,
            KeyedRequestHandler(
                self._clock,
                self._snapshot,
                handler,
                self._idempotency.service,
            ),
            self._metrics,
            settings.region,
            settings.max_body_bytes,
            settings.request_timeout_s,
        )
        self._stopped = asyncio.Event()
        self._stopping = False
        self._background: set[asyncio.Task] = set()
        self._components = self._build_components()

    @property
    def is_ready(self) -> bool:
        """Whether the router takes requests."""
        return (
            self._store.snapshot.revision > 0
            and self._crashes.is_current
            and not self._stopping
        )

    def _build_handler(self) -> RequestHandler:
        return RequestHandler(
            self._clock,
            self._snapshot,
            self._scheduling.service.dispatcher,
            self._client,
            self._incarnations,
            self._crashes.registry,
            StreamIds(self._settings.peer_secret_key, self._snapshot),
            count_retry=self._count_retry,
            unavailable=lambda: self._monitor.unavailable,
        )

    def _build_components(self) -> list[Component]:
        settings = self._settings
        operators = OperatorApi(
            self._metrics,
            lambda: self.is_ready,
            self._state,
            self._store.documents,
        )
        return [
            TimerDriver(self._timers),
            self._platform,
            self._peers,
            self._configuration,
            self._crashes,
            self._commands,
            self._client,
            self._scheduling,
            HttpServer(
                self._callers.application(),
                settings.caller_host,
                settings.caller_port,
                self._caller_tls,
            ),
            HttpServer(
                operators.application(),
                settings.operator_host,
                settings.operator_port,
            ),
        ]

    async def start(self) -> None:
        """Starts all parts in order."""
        for component in self._components:
            await component.start()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_shutdown)
        _LOGGER.info("router started", extra={"router": self._settings.name})

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops all parts in reverse order."""
        del exception
        for task in self._background:
            task.cancel()
        self._links.stop()
        for component in reversed(self._components):
            await component.stop()

    async def wait_stopped(self) -> None:
        """Returns when a graceful shutdown has finished every request."""
        await self._stopped.wait()

    def begin_shutdown(self) -> None:
        """Starts a graceful shutdown; repeated calls change nothing.

        The router is not ready from now on, but serves what the balancer still
        sends until `stop_grace_s` has passed.
        """
        if self._stopping:
            return
        self._stopping = True
        self._callers.begin_stop()
        _LOGGER.info("shutdown started", extra={"active": self._callers.active})
        self._timers.call_later(self._settings.stop_grace_s, self._leave)

    def _leave(self) -> None:
        """Refuses new requests, hands roles over and waits for the others."""
        self._callers.drain()
        self._scheduling.service.leave()
        self._peers.leave()
        self._spawn(self._drain())

    async def _drain(self) -> None:
        """Waits for all answers, or for callers that do not read at the end."""
        end = self._clock.monotonic() + self._settings.request_timeout_s
        end += _DRAIN_MARGIN_S
        while self._callers.active and self._clock.monotonic() < end:
            await asyncio.sleep(_DRAIN_POLL_S)
        _LOGGER.info("shutdown finished", extra={"cut": self._callers.active})
        self._stopped.set()

    def _snapshot(self) -> Snapshot:
        return self._store.snapshot

    def _fetch_load(self, base_url: str) -> Awaitable[TargetLoad]:
        return fetch_load(self._client, base_url)

    def _observe_target(self, report: TargetReport) -> None:
        if report.is_reachable:
            self._incarnations.observe(report.target, report.incarnation)

    def _count_retry(self, reason: RetryReason) -> None:
        self._metrics.count_reason("retries", reason)

    def _state(self) -> dict[str, object]:
        return {
            "router": self._settings.name,
            "availability_zone": self._settings.availability_zone,
            "region": self._settings.region,
            "ready": self.is_ready,
            "active_requests": self._callers.active,
            **self._configuration.state(),
            "scheduler": self._scheduling.service.scheduler_name,
            **self._peers.state(),
        }

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def run_router(settings: RouterSettings) -> None:
    """Runs a router until a graceful shutdown has finished."""

    async def serve() -> None:
        application = RouterApplication(settings)
        await application.start()
        try:
            await application.wait_stopped()
        finally:
            await application.stop()

    with aiomisc.entrypoint(log_config=False, pool_size=1) as loop:
        loop.run_until_complete(serve())
