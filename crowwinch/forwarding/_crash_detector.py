"""Tells crashes of targets from connections that were lost otherwise."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import xxhash

from crowwinch.coordination import Clock
from crowwinch.forwarding._target_set import Target
from crowwinch.sharing import CrashSuspects, RequestFeatures, TargetHealth

_LOGGER = logging.getLogger(__name__)

# Requests lost within this time before a target is found unreachable are
# attributed to its crash.
_CRASH_WINDOW_S = 1.5
_MAX_LOSSES_PER_TARGET = 64
# Time after a loss at which the target is checked. A process that crashes
# closes its port after its connections.
_CHECK_DELAY_S = 0.03


@dataclass(frozen=True, slots=True)
class _Loss:
    at: float
    crash: str
    features: RequestFeatures


class CrashDetector:
    """Records which requests were lost when a target crashed.

    A router of a large fleet sends so little to each target that it would not
    notice a crash by its own requests. After a loss it opens one connection to
    find out whether the target still listens.
    """

    def __init__(
        self,
        clock: Clock,
        suspects: CrashSuspects,
        health: TargetHealth,
        can_connect: Callable[[str], Awaitable[bool]],
    ) -> None:
        """Creates a detector without losses.

        Args:
            clock: Monotonic clock.
            suspects: Receives the crashes.
            health: Receives connection failures.
            can_connect: Returns whether a target at `IP:PORT` accepts
                connections.
        """
        self._clock = clock
        self._suspects = suspects
        self._health = health
        self._can_connect = can_connect
        self._losses: dict[str, list[_Loss]] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}

    def record_loss(self, target: Target, features: RequestFeatures) -> None:
        """Records a request whose connection was lost before its answer."""
        identity = f"{target.identifier}\0{target.life}"
        losses = self._losses.setdefault(target.identifier, [])
        losses.append(
            _Loss(
                self._clock.monotonic(),
                xxhash.xxh3_64_hexdigest(identity.encode()),
                features,
            )
        )
        del losses[:-_MAX_LOSSES_PER_TARGET]
        if target.identifier not in self._checks:
            self._checks[target.identifier] = asyncio.ensure_future(
                self._check(target)
            )

    def record_unreachable(self, target: str) -> None:
        """Records that a target accepts no connections."""
        oldest = self._clock.monotonic() - _CRASH_WINDOW_S
        losses = [
            loss for loss in self._losses.pop(target, ()) if loss.at >= oldest
        ]
        if not losses:
            return
        _LOGGER.warning(
            "target crashed",
            extra={
                "target": target,
                "lost": len(losses),
                "features": [loss.features.parts for loss in losses[:4]],
            },
        )
        for loss in losses:
            self._suspects.record_crash(loss.crash, loss.features, loss.at)

    async def _check(self, target: Target) -> None:
        try:
            await asyncio.sleep(_CHECK_DELAY_S)
            if not await self._can_connect(str(target.address)):
                self._health.record_connection_failure(target.identifier)
                self.record_unreachable(target.identifier)
        finally:
            del self._checks[target.identifier]
