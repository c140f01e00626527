"""Connects the commands to engines with the fleet."""

from collections.abc import Callable

from crowwinch.app._peer_service import PeerService
from crowwinch.commands import CommandClient, CommandExecutor, LoadPacer
from crowwinch.configuration import Snapshot
from crowwinch.coordination import TimerService
from crowwinch.generated.settings import RouterSettings
from crowwinch.observability import Metrics


class FleetCommands:
    """Gives commands while this router is in charge of its region."""

    def __init__(
        self,
        settings: RouterSettings,
        timers: TimerService,
        snapshot: Callable[[], Snapshot],
        peers: PeerService,
        metrics: Metrics,
    ) -> None:
        """Builds the executor and follows the membership view."""
        self._client = CommandClient()
        self._executor = CommandExecutor(
            settings.name,
            settings.region,
            timers,
            snapshot,
            lambda: peers.alive_in_region(settings.region),
            self._client,
            LoadPacer(timers.clock, settings.model_loads_per_second),
            metrics.count,
        )
        peers.membership.subscribe(
            lambda _: self._executor.on_membership_changed()
        )
        peers.subscribe_vm_list(lambda _: self._executor.on_vm_list_read())

    async def start(self) -> None:
        """Starts periodic passes."""
        await self._client.start()
        self._executor.start()

    async def stop(self) -> None:
        """Ends the passes."""
        self._executor.stop()
        await self._client.stop()
