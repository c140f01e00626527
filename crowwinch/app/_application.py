"""The application object: wires the parts and owns their life cycle."""

import asyncio
import logging
import signal
import ssl
from typing import Protocol

import aiomisc

from crowwinch.api import CallerApi, OperatorApi
from crowwinch.app._http_server import HttpServer
from crowwinch.app._timer_driver import TimerDriver
from crowwinch.commands import CommandClient, CommandExecutor, LoadPacer
from crowwinch.configuration import (
    ConfigurationSpread,
    ConfigurationStore,
    EventClock,
)
from crowwinch.coordination import SystemClock, TimerService
from crowwinch.errors import RefusalReason, RetryReason
from crowwinch.generated.settings import RouterSettings
from crowwinch.observability import Metrics
from crowwinch.platform import PlatformClient
from crowwinch.routing import RequestHandler
from crowwinch.scheduling import FirstFreeDispatcher
from crowwinch.targets import TargetClient

_LOGGER = logging.getLogger(__name__)
_DRAIN_POLL_S = 0.05


class Component(Protocol):
    """A part with life-cycle hooks."""

    async def start(self) -> None:
        """Starts the part."""

    async def stop(self) -> None:
        """Stops the part."""


class RouterApplication(aiomisc.Service):
    """One router process."""

    def __init__(self, settings: RouterSettings) -> None:
        """Builds all parts; nothing runs until `start`."""
        super().__init__()
        self._settings = settings
        self._clock = SystemClock()
        self._timers = TimerService(self._clock)
        self._metrics = Metrics()
        self._metrics.declare_reasons("refusals", RefusalReason)
        self._metrics.declare_reasons("retries", RetryReason)
        self._store = ConfigurationStore(self._metrics.count)
        self._platform = PlatformClient(
            settings.configuration_url, settings.vm_list_url
        )
        self._spread = self._build_spread()
        self._events = EventClock(self._timers, lambda: self._store.snapshot)
        self._store.subscribe(lambda snapshot: self._events.refresh())
        self._command_client = CommandClient()
        self._commands = self._build_commands()
        self._client = TargetClient(_target_ssl(settings))
        self._dispatcher = FirstFreeDispatcher(lambda: self._store.snapshot)
        self._callers = CallerApi(
            self._clock,
            lambda: self._store.snapshot,
            RequestHandler(
                self._clock,
                lambda: self._store.snapshot,
                self._dispatcher,
                self._client,
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
        return self._store.snapshot.revision > 0 and not self._stopping

    def _build_spread(self) -> ConfigurationSpread:
        return ConfigurationSpread(
            self._settings.name,
            self._settings.availability_zone,
            self._timers,
            self._store,
            self._platform,
            self._send_to_peer,
            self._alive,
            self._metrics.count,
        )

    def _build_commands(self) -> CommandExecutor:
        return CommandExecutor(
            self._settings.name,
            self._settings.region,
            self._timers,
            lambda: self._store.snapshot,
            self._alive,
            self._command_client,
            LoadPacer(self._clock, self._settings.model_loads_per_second),
            self._metrics.count,
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
            self._client,
            self._command_client,
            HttpServer(
                self._callers.application(),
                settings.caller_host,
                settings.caller_port,
                _caller_ssl(settings),
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
        self._events.start()
        self._spread.start()
        self._commands.start()
        _LOGGER.info("router started", extra={"router": self._settings.name})

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops all parts in reverse order."""
        del exception
        self._commands.stop()
        self._spread.stop()
        self._events.stop()
        for task in self._background:
            task.cancel()
        for component in reversed(self._components):
            await component.stop()

    async def wait_stopped(self) -> None:
        """Returns when a graceful shutdown has finished every request."""
        await self._stopped.wait()

    def begin_shutdown(self) -> None:
        """Starts a graceful shutdown; repeated calls change nothing."""
        if self._stopping:
            return
        self._stopping = True
        _LOGGER.info("shutdown started", extra={"active": self._callers.active})
        self._callers.drain()
        self._spawn(self._drain())

    async def _drain(self) -> None:
        while self._callers.active:
            await asyncio.sleep(_DRAIN_POLL_S)
        _LOGGER.info("shutdown finished")
        self._stopped.set()

    def _send_to_peer(self, peer: str, message: object) -> None:
        """Drops the message: this router has no transport to its peers."""

    def _alive(self) -> dict[str, str]:
        """Returns the zone of each live member by name."""
        settings = self._settings
        return {settings.name: settings.availability_zone}

    def _state(self) -> dict[str, object]:
        return {
            "router": self._settings.name,
            "availability_zone": self._settings.availability_zone,
            "region": self._settings.region,
            "ready": self.is_ready,
            "revision": self._store.snapshot.revision,
            "digest": self._store.snapshot.digest,
            "active_requests": self._callers.active,
            "refused_documents": self._store.refused,
        }

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _caller_ssl(settings: RouterSettings) -> ssl.SSLContext | None:
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context


def _target_ssl(settings: RouterSettings) -> ssl.SSLContext | None:
    if not settings.target_ca:
        return None
    return ssl.create_default_context(cafile=settings.target_ca)


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
