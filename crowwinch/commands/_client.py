"""Sends commands to engines over HTTP."""

import aiohttp
import msgspec

from crowwinch.commands._plan import Command, TargetState
from crowwinch.errors import DECODE_ERRORS, CrowwinchError

_TIMEOUT_S = 2.0


class CommandError(CrowwinchError):
    """A target did not answer a command or a read of its state."""


class _Report(msgspec.Struct):
    models: dict[str, str]
    role: str = "mixed"


class CommandClient:
    """Reads states of engines and sends commands."""

    def __init__(self) -> None:
        """Creates a client; call `start` inside the event loop."""
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
        status, body = await self._call(
            "GET", url.rstrip("/") + "/models", None
        )
        if status != 200:
            raise CommandError(f"{url}: status {status}")
        try:
            report = msgspec.json.decode(body, type=_Report)
        except DECODE_ERRORS as error:
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
        status, _ = await self._call(
            "POST", command.url.rstrip("/") + "/orders", order
        )
        return status == 200

    async def _call(
        self, method: str, url: str, body: object
    ) -> tuple[int, bytes]:
        assert self._session is not None, "the client was not started"
        try:
            async with self._session.request(
                method, url, json=body
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise CommandError(f"{url}: {error}") from error
