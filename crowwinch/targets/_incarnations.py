"""Distinguishes a crashed target from a lost connection."""

import asyncio
from collections.abc import Awaitable, Callable

from crowwinch.targets._client import (
    AnswerTimeoutError,
    NotSentError,
    TargetError,
)
from crowwinch.targets._load import TargetLoad

# A dying process may close its connections shortly before its listening
# socket, so a connection lost during the check is retried.
_MAX_CHECK_ATTEMPTS = 3
_CHECK_RETRY_DELAY_S = 0.05


class IncarnationTable:
    """Tracks the incarnation of each recently used target.

    Each detected crash starts a new epoch of the target. All attempts
    that were in flight on it compare the epoch in which they started, so one
    check serves all of them.
    """

    def __init__(self, fetch: Callable[[str], Awaitable[TargetLoad]]) -> None:
        """Initializes the table; `fetch` reads the load report at a URL."""
        self._fetch = fetch
        self._incarnations: dict[int, int] = {}
        self._epochs: dict[int, int] = {}
        self._reads: dict[int, asyncio.Task[bool]] = {}
        self._checks: dict[int, asyncio.Task[bool]] = {}

    def epoch(self, target: int, base_url: str) -> int:
        """Returns the epoch in which an attempt starts.

        The first use of a target starts to read its incarnation.
        """
        if target not in self._incarnations:
            self._start_or_join(self._reads, target, base_url, 1)
        return self._epochs.get(target, 0)

    def observe(self, target: int, incarnation: int) -> None:
        """Records the incarnation reported by a target."""
        known = self._incarnations.get(target, 0)
        self._incarnations[target] = incarnation or known
        if known and incarnation and known != incarnation:
            self._epochs[target] = self._epochs.get(target, 0) + 1

    async def has_crashed(self, target: int, base_url: str, epoch: int) -> bool:
        """Returns whether the target crashed since an epoch.

        Called after a lost connection. Queries the target, which counts as
        crashed if it refuses connections or reports another incarnation.
        """
        if self._epochs.get(target, 0) == epoch:
            check = self._start_or_join(
                self._checks, target, base_url, _MAX_CHECK_ATTEMPTS
            )
            refused = await asyncio.shield(check)
            if refused and self._epochs.get(target, 0) == epoch:
                self._epochs[target] = epoch + 1
                self._incarnations.pop(target, None)
        return self._epochs.get(target, 0) != epoch

    def _start_or_join(
        self,
        tasks: dict[int, asyncio.Task[bool]],
        target: int,
        base_url: str,
        max_attempts: int,
    ) -> asyncio.Task[bool]:
        task = tasks.get(target)
        if task is None:
            task = asyncio.ensure_future(
                self._query(target, base_url, max_attempts)
            )
            tasks[target] = task
            task.add_done_callback(lambda _: tasks.pop(target, None))
        return task

    async def _query(
        self, target: int, base_url: str, max_attempts: int
    ) -> bool:
        """Reads the incarnation; returns whether the target refuses."""
        for remaining in reversed(range(max_attempts)):
            try:
                load = await self._fetch(base_url)
            except NotSentError as error:
                return error.refused
            except AnswerTimeoutError:
                break
            except TargetError:
                if remaining:
                    await asyncio.sleep(_CHECK_RETRY_DELAY_S)
            else:
                self.observe(target, load.incarnation)
                return False
        # Prevents a query on every use of a target that has no /load.
        self._incarnations.setdefault(target, 0)
        return False
