"""Reads the operators' ports of routers."""

import asyncio
from collections.abc import Sequence

import aiohttp
import msgspec

_TIMEOUT_S = 5.0
_CONCURRENCY = 64


def read_all(urls: Sequence[str], path: str) -> list[object | Exception]:
    """Returns the JSON document of each router, or why there is none."""
    return asyncio.run(_read_all(urls, path))


async def _read_all(urls: Sequence[str], path: str) -> list[object | Exception]:
    limit = asyncio.Semaphore(_CONCURRENCY)
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)

    async def read(session: aiohttp.ClientSession, url: str) -> object:
        async with limit, session.get(url.rstrip("/") + path) as response:
            response.raise_for_status()
            return msgspec.json.decode(await response.read())

    async with aiohttp.ClientSession(timeout=timeout) as session:
        return list(
            await asyncio.gather(
                *(read(session, url) for url in urls), return_exceptions=True
            )
        )


def failure_text(error: BaseException) -> str:
    """Returns one line that says why a router gave no answer."""
    return str(error) or type(error).__name__


def format_grid(rows: Sequence[Sequence[str]]) -> str:
    """Returns rows as text with aligned columns."""
    widths = [
        max(len(cell) for cell in column) for column in zip(*rows, strict=True)
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
