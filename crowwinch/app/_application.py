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
from crowwinch.configuration import Snapshot, load_snapshot, parse_manifest
from crowwinch.coordination import SystemClock, TimerService
from crowwinch.errors import (
    CrowwinchError,
    RefusalReason,
    RetryReason,
)
from crowwinch.generated.settings import RouterSettings
from crowwinch.observability import Metrics
from crowwinch.platform import PlatformClient
from crowwinch.routing import RequestHandler
from crowwinch.scheduling import SchedulingMessage, SchedulingService
from crowwinch.targets import TargetClient

_LOGGER = logging.getLogger(__name__)
_DRAIN_POLL_S = 0.05
_CONFIGURATION_POLL_S = 0.5


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
        self._snapshot = Snapshot()
        self._platform = PlatformClient(
            settings.configuration_url, settings.vm_list_url
        )
        self._client = TargetClient(_target_ssl(settings))
        self._scheduling = SchedulingService(
            self._clock,
            self._timers,
            lambda: self._snapshot,
            settings.name,
            int(self._clock.time() * 1000),
            settings.region,
            self._send_to_peer,
            alive=lambda: {settings.name},
            listed=lambda: {settings.name},
            max_waiting=settings.max_waiting,
            on_retry=lambda reason: self._metrics.count_reason(
                "retries", reason
            ),
        )
        self._callers = CallerApi(
            self._clock,
            lambda: self._snapshot,
            RequestHandler(
                self._clock,
                lambda: self._snapshot,
                self._scheduling.dispatcher,
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
        return self._snapshot.revision > 0 and not self._stopping

    def _build_components(self) -> list[Component]:
        settings = self._settings
        operators = OperatorApi(
            self._metrics, lambda: self.is_ready, self._state
        )
        return [
            TimerDriver(self._timers),
            self._platform,
            self._client,
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
        self._scheduling.start()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_shutdown)
        self._spawn(self._load_configuration())
        _LOGGER.info("router started", extra={"router": self._settings.name})

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops all parts in reverse order."""
        del exception
        for task in self._background:
            task.cancel()
        self._scheduling.stop()
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

    async def _load_configuration(self) -> None:
        while True:
            try:
                manifest = await self._platform.read("manifest")
                parts = {
                    reference.name: await self._platform.read(reference.name)
                    for reference in parse_manifest(manifest).parts
                }
                self._snapshot = load_snapshot(manifest, parts)
            except CrowwinchError as error:
                _LOGGER.warning("configuration not loaded: %s", error)
            await asyncio.sleep(_CONFIGURATION_POLL_S)

    def _send_to_peer(self, peer: str, message: SchedulingMessage) -> None:
        """Drops a message to another router; there is no transport yet."""
        _LOGGER.warning(
            "no transport to a peer",
            extra={"peer": peer, "kind": type(message).__name__},
        )

    def _state(self) -> dict[str, object]:
        return {
            "router": self._settings.name,
            "availability_zone": self._settings.availability_zone,
            "region": self._settings.region,
            "ready": self.is_ready,
            "revision": self._snapshot.revision,
            "digest": self._snapshot.digest,
            "active_requests": self._callers.active,
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
