"""Clients of the configuration service and the VM list."""

import aiohttp
import msgspec

from crowwinch.errors import DECODE_ERRORS, PlatformError
from crowwinch.generated.documents import VirtualMachineList

_CALL_TIMEOUT_S = 2.0
# A service that stops without closing connections leaves a watch pending for
# this time plus _CALL_TIMEOUT_S; a change must be in force within 7 s.
_WATCH_TIMEOUT_S = 3.0
_MAX_VALUE_BYTES = 1_000_000


class ServiceClient:
    """Reads the platform's services; nothing is ever written to them."""

    def __init__(self, configuration_url: str, vm_list_url: str) -> None:
        """Stores base URLs; call `start` inside the event loop."""
        self._configuration_url = configuration_url.rstrip("/")
        self._vm_list_url = vm_list_url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None
        self._calls = 0

    @property
    def calls(self) -> int:
        """Calls made so far; a waiting watch counts as one."""
        return self._calls

    async def start(self) -> None:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession()

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def read(self, name: str) -> bytes:
        """Returns the value of a name.

        Raises:
            PlatformError: If the service is down or has no such value.
        """
        url = f"{self._configuration_url}/v1/values/{name}"
        status, body = await self._get(url, _CALL_TIMEOUT_S)
        if status != 200:
            raise PlatformError(f"{url}: status {status}")
        return body

    async def watch(self, name: str, digest: str) -> bytes | None:
        """Waits until a value differs from a digest.

        Args:
            name: Name of the value.
            digest: SHA-256 (hex) of the value that is known.

        Returns:
            The new value, or None when the watch timed out.

        Raises:
            PlatformError: If the service is down.
        """
        url = (
            f"{self._configuration_url}/v1/watch/{name}"
            f"?digest={digest}&timeout={_WATCH_TIMEOUT_S:g}"
        )
        status, body = await self._get(url, _WATCH_TIMEOUT_S + _CALL_TIMEOUT_S)
        if status == 304:
            return None
        if status != 200:
            raise PlatformError(f"{url}: status {status}")
        return body

    async def vm_list(self) -> VirtualMachineList:
        """Returns the platform's list of VMs.

        Raises:
            PlatformError: If the service is down or the list is malformed.
        """
        url = f"{self._vm_list_url}/v1/vms"
        status, body = await self._get(url, _CALL_TIMEOUT_S)
        if status != 200:
            raise PlatformError(f"{url}: status {status}")
        try:
            return msgspec.json.decode(body, type=VirtualMachineList)
        except DECODE_ERRORS as error:
            raise PlatformError(f"{url}: {error}") from error

    async def _get(self, url: str, timeout_s: float) -> tuple[int, bytes]:
        assert self._session is not None, "the client was not started"
        self._calls += 1
        try:
            async with self._session.get(
                url, timeout=aiohttp.ClientTimeout(total=timeout_s)
            ) as response:
                body = await response.content.read(_MAX_VALUE_BYTES + 1)
                while not response.content.at_eof():
                    body += await response.content.read(_MAX_VALUE_BYTES + 1)
                    if len(body) > _MAX_VALUE_BYTES:
                        raise PlatformError(f"{url}: value is over 1 MB")
                return response.status, body
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(f"{url}: {error}") from error
