"""Tells whether a target is still the process that the directory names."""

import asyncio
import dataclasses
import itertools
import logging
from collections.abc import Callable

from crowwinch.coordination import Clock
from crowwinch.forwarding._messages import WireCodec
from crowwinch.forwarding._target_client import TargetClient
from crowwinch.forwarding._target_set import Target, TargetSet
from crowwinch.sharing import ColdTargets

_LOGGER = logging.getLogger(__name__)

# A target that restarts is in the directory again within this time, if the
# store answers.
_REGISTRATION_S = 2.0
# A directory that is older than this may miss the restart of a target.
_MAX_DIRECTORY_AGE_S = 3.0
# Targets that were doubted longest ago are forgotten first.
_MAX_DOUBTS = 1_000


class TargetLives:
    """Confirms the start times of targets that may have restarted.

    A target may start again under its identifier and address with another
    software version. The directory shows that only once the store has answered.
    Until then the target itself is asked for its start time.
    """

    def __init__(
        self,
        clock: Clock,
        client: TargetClient,
        codec: WireCodec,
        targets: TargetSet,
        synced_at: Callable[[], float],
        cold: ColdTargets,
    ) -> None:
        """Creates an instance without doubts.

        Args:
            clock: Monotonic time.
            client: Reads the reports of targets.
            codec: Decodes them.
            targets: Targets of the directory; restarts are noted there.
            synced_at: Returns the monotonic time up to which the directory
                includes all changes.
            cold: Limits the reports that cold targets are asked for, and is
                told of restarts.
        """
        self._clock = clock
        self._cold = cold
        self._client = client
        self._codec = codec
        self._targets = targets
        self._synced_at = synced_at
        # Start time of each doubted target, and since when it is doubted.
        self._doubts: dict[str, tuple[int, float]] = {}
        self._confirmations: dict[str, asyncio.Future[int | None]] = {}
        self._unknown = itertools.count()

    def doubt(self, target: Target) -> None:
        """Records that a target may have restarted."""
        self._doubts.pop(target.identifier, None)
        self._doubts[target.identifier] = (
            target.life,
            self._clock.monotonic(),
        )
        if len(self._doubts) > _MAX_DOUBTS:
            del self._doubts[next(iter(self._doubts))]

    def check_connections(self, target: Target) -> None:
        """Doubts a target that may have restarted without being noticed.

        An open connection belongs to one process; without one, and while the
        directory is old, nothing shows a restart.
        """
        age_s = self._clock.monotonic() - self._synced_at()
        if age_s > _MAX_DIRECTORY_AGE_S and not self._client.connections(
            str(target.address)
        ):
            self.doubt(target)

    async def confirm(self, target: Target) -> Target:
        """Returns a target with the software version that it certainly has.

        Args:
            target: The target as the directory knows it.

        Returns:
            The target, with a version that no other target has if its version
            is not known.
        """
        # Without a start time in its entry, there is nothing to compare.
        if not target.life or not self._is_doubted(target):
            return target
        doubted_at = self._doubts[target.identifier][1]
        started_ms = await self._read_started_ms(target)
        if started_ms is None:
            version = f"?{target.identifier}/{next(self._unknown)}"
            return dataclasses.replace(target, software_version=version)
        if self._doubts.get(target.identifier) == (target.life, doubted_at):
            del self._doubts[target.identifier]
        if started_ms == target.life:
            return target
        _LOGGER.warning(
            "target has restarted; its software version is not known yet",
            extra={
                "target": target.identifier,
                "started_ms": started_ms,
                "known_ms": target.life,
            },
        )
        restarted = self._targets.mark_restarted(target, started_ms)
        view = self._targets.view(target.identifier)
        if view is not None:
            self._cold.assume_cold(view, started_ms)
        return restarted

    def _is_doubted(self, target: Target) -> bool:
        doubt = self._doubts.get(target.identifier)
        if doubt is None:
            return False
        life, doubted_at = doubt
        is_registered = self._synced_at() > doubted_at + _REGISTRATION_S
        if life != target.life or is_registered:
            del self._doubts[target.identifier]
            return False
        return True

    async def _read_started_ms(self, target: Target) -> int | None:
        """Returns the start time that a target reports, None without one.

        A cold target is only asked if this router may send it a request now.
        """
        running = self._confirmations.get(target.identifier)
        if running is None:
            view = self._targets.view(target.identifier)
            if view is not None and not self._cold.try_take(view):
                return None
            running = asyncio.ensure_future(self._read_report(target))
            self._confirmations[target.identifier] = running
            running.add_done_callback(
                lambda _: self._confirmations.pop(target.identifier, None)
            )
        return await asyncio.shield(running)

    async def _read_report(self, target: Target) -> int | None:
        body = await self._client.read_report(
            str(target.address), self._codec.report_path
        )
        return None if body is None else self._codec.decode_start_time(body)
