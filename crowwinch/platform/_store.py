"""Read-only client of the platform's metadata store."""

import base64
import binascii
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec

from crowwinch.directory import (
    Changes,
    HistoryLostError,
    Item,
    Listing,
    StoreError,
)
from crowwinch.errors import DECODE_ERRORS
from crowwinch.forwarding import SocketAddress

# Configuration and targets are the only items, so one watch covers both.
_ALL_ITEMS = ""
# The store answers in 4 ms. The timeout admits answers of a store that is
# slowed down by a factor of 100.
_CALL_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 0.5
_GONE_STATUS = 410
# In all answers; rises by one each time the store was restored from a copy.
_ERA_HEADER = "Store-Era"


class _Item(msgspec.Struct):
    Key: str
    Revision: int
    Value: str = ""
    Deleted: bool = False


class _Range(msgspec.Struct):
    CurrentRev: int
    Items: list[_Item] = []
    Truncated: bool = False


class _Watch(msgspec.Struct):
    CurrentRev: int
    events: list[_Item] = []


class StoreClient:
    """Lists the items of the store and watches them for changes."""

    def __init__(self, address: SocketAddress) -> None:
        """Initializes the client without connecting to the store."""
        self._base_url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls made so far, including a pending watch."""
        return self._calls

    def set_address(self, address: SocketAddress) -> None:
        """Sets the address of the store for subsequent calls."""
        self._base_url = f"http://{address}"

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def list_items(self) -> Listing:
        """Returns all items.

        The pages are not a consistent snapshot. The revision is that of the
        first page, so changes after it have to be read with `watch`.

        Raises:
            StoreError: If the store is unavailable, rejects the call or sends
                an invalid answer.
        """
        items: list[Item] = []
        revision: int | None = None
        first_era = 0
        after = ""
        while True:
            query = {"Prefix": _ALL_ITEMS}
            if after:
                query["After"] = after
            page, era = await self._get("/kv-range", query, _Range, 0.0)
            if revision is None:
                revision, first_era = page.CurrentRev, era
            elif era != first_era:
                raise HistoryLostError(
                    f"store restored while it was listed (era {era})"
                )
            items.extend(_decode_items(page.Items))
            if not page.Truncated or not page.Items:
                return Listing(revision, tuple(items), first_era)
            after = page.Items[-1].Key

    async def watch(self, revision: int, wait_s: float) -> Changes:
        """Waits for changes after a revision.

        Args:
            revision: Revision up to which all changes are known.
            wait_s: Maximum wait in seconds.

        Raises:
            HistoryLostError: If the store has compacted these changes.
            StoreError: If the store is unavailable, rejects the call or sends
                an invalid answer.
        """
        query = {
            "Prefix": _ALL_ITEMS,
            "After": str(revision),
            "WaitMs": str(int(wait_s * 1000)),
        }
        answer, era = await self._get("/kv-watch", query, _Watch, wait_s)
        return Changes(
            answer.CurrentRev, tuple(_decode_items(answer.events)), era
        )

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        model: type[msgspec.Struct],
        wait_s: float,
    ) -> tuple[Any, int]:
        """Returns the decoded body of an answer and the era of the store."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        self._calls += 1
        try:
            async with self._session.get(
                self._base_url + path,
                params=query,
                timeout=aiohttp.ClientTimeout(
                    total=wait_s + _CALL_TIMEOUT_S,
                    sock_connect=_CONNECT_TIMEOUT_S,
                ),
            ) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            # A connection that has lost an answer delivers no further answers.
            await self.stop()
            raise StoreError(f"{path}: {error!r}") from error
        if answer.status == _GONE_STATUS:
            raise HistoryLostError(
                f"{path}: history compacted (status {_GONE_STATUS})"
            )
        if answer.status != 200:
            raise StoreError(f"{path}: unexpected status {answer.status}")
        try:
            document = msgspec.json.decode(body, type=model)
        except DECODE_ERRORS as error:
            raise StoreError(f"{path}: malformed answer: {error}") from error
        return document, _decode_era(answer.headers.get(_ERA_HEADER, ""))


def _decode_era(text: str) -> int:
    """Decodes the era; a store without eras is in era 0."""
    return int(text) if text.isascii() and text.isdigit() else 0


def _decode_items(items: Sequence[_Item]) -> list[Item]:
    return [
        Item(
            item.Key,
            item.Revision,
            None if item.Deleted else _decode_value(item.Value),
        )
        for item in items
    ]


def _decode_value(text: str) -> bytes:
    """Decodes base64; invalid text yields bytes that no decoder accepts."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return b""
