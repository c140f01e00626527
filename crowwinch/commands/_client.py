"""Sends commands to engines over HTTP."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import aiohttp
import msgspec

from crowwinch.commands._plan import Command, TargetState
from crowwinch.errors import CrowwinchError

_TIMEOUT_S = 2.0


class CommandError(CrowwinchError):
    """A target did not answer a command or a read of its state."""


class Answer(Protocol):
    """Answer to a read."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def body(self) -> bytes:
        """Whole body."""


class _Report(msgspec.Struct):
    models: dict[str, str]
    role: str = "mixed"


class CommandClient:
    """Reads states of engines and sends commands."""

    def __init__(
        self, get: Callable[[str, str, float], Awaitable[Answer]]
    ) -> None:
        """Creates a client; call `start` inside the event loop.

        Args:
            get: Reads from a target, given its URL, the path and the longest
                duration in seconds; raises CrowwinchError.
        """
        self._get = get
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S)
        )

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def read_state(self, url: str) -> TargetState:
        """Returns what a target holds.

        Raises:
            CommandError: If the target does not answer or answers nonsense.
        """
        try:
            answer = await self._get(url, "/models", _TIMEOUT_S)
        except CrowwinchError as error:
            raise CommandError(f"{url}: {error}") from error
        if answer.status != 200:
            raise CommandError(f"{url}: status {answer.status}")
        try:
            report = msgspec.json.decode(answer.body, type=_Report)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise CommandError(f"{url}: {error}") from error
        return TargetState(report.models, report.role)

    async def send(self, command: Command) -> bool:
        """Sends a command.

        Returns:
            False if the target rejected it, for instance for an old fencing
            number.

        Raises:
            CommandError: If the target does not answer.
        """
        order = {
            "fencing": command.fencing,
            "action": command.action.value,
            "model": command.model,
            "version": command.version,
            "role": command.role,
        }
        assert self._session is not None, "the client was not started"
        url = command.url.rstrip("/") + "/orders"
        try:
            async with self._session.post(url, json=order) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise CommandError(f"{url}: {error}") from error
