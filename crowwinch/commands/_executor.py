"""Gives the commands of a region while this router is in charge."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from crowwinch.commands._client import CommandError
from crowwinch.commands._pacing import LoadPacer
from crowwinch.commands._plan import (
    Action,
    Command,
    TargetState,
    plan_commands,
)
from crowwinch.configuration import Snapshot
from crowwinch.coordination import Subscription, TimerService, owner
from crowwinch.generated.documents import Target

_LOGGER = logging.getLogger(__name__)
# For targets that ignore fencing numbers: longer than SWIM takes to agree on
# the router in charge, so that its predecessor has stopped.
COMMAND_QUIET_PERIOD_S = 10.0
_PERIOD_S = 2.0
# A pass that starts later than this shows that the process was frozen. It may
# have lost the charge or missed a revision without knowing.
_FROZEN_S = 0.5
# A pass reads states within 2 s. A plan that is older was made before a freeze.
_PLAN_LIFETIME_S = 3.0
# A load may take minutes until the target reports the model.
_REPEAT_AFTER_S = 120.0
_PACED = frozenset((Action.LOAD, Action.VERSION))


class EngineClient(Protocol):
    """Reads states of engines and sends commands."""

    async def read_state(self, url: str) -> TargetState:
        """Returns what a target holds; raises CommandError."""

    async def send(self, command: Command) -> bool:
        """Returns whether the target accepted; raises CommandError."""


class CommandExecutor:
    """Plans and sends commands in periodic passes."""

    def __init__(
        self,
        name: str,
        region: str,
        timers: TimerService,
        snapshot: Callable[[], Snapshot],
        alive: Callable[[], Iterable[str]],
        client: EngineClient,
        pacer: LoadPacer,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        """Stores the parts.

        Args:
            name: Name of this router.
            region: Region whose targets get commands.
            timers: Timer service.
            snapshot: Returns the configuration in force.
            alive: Returns names of the live routers of the region.
            client: Reaches the targets.
            pacer: Rate of the weight store.
            count: Adds one to the counter of a name.
        """
        self._name = name
        self._region = region
        self._timers = timers
        self._snapshot = snapshot
        self._alive = alive
        self._client = client
        self._pacer = pacer
        self._count = count
        self._quiet_until = 0.0
        self._sent: dict[Command, float] = {}
        self._members: frozenset[str] = frozenset()
        self._ticked_at = 0.0
        self._task: asyncio.Task | None = None
        self._timer: Subscription | None = None
        self.on_membership_changed()

    @property
    def is_in_charge(self) -> bool:
        """Whether this router gives the commands of its region."""
        members = {*self._alive(), self._name}
        return owner(f"{self._region}/commands", members) == self._name

    def start(self) -> None:
        """Starts periodic passes."""
        self._ticked_at = self._timers.clock.monotonic()
        self._timer = self._timers.call_every(_PERIOD_S, self._tick)

    def stop(self) -> None:
        """Ends the pass in progress."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def on_membership_changed(self) -> None:
        """Starts the quiet period for targets that ignore fencing."""
        now = self._timers.clock.monotonic()
        self._members = frozenset(self._alive())
        self._quiet_until = now + COMMAND_QUIET_PERIOD_S
        self._pacer.restart()

    def on_vm_list_read(self) -> None:
        """Starts the quiet period if the list changed the live routers.

        The list is read every 2 s, so a quiet period at each read would never
        end.
        """
        if frozenset(self._alive()) != self._members:
            self.on_membership_changed()

    async def run_once(self) -> int:
        """Makes one pass if this router is in charge.

        Returns:
            The number of commands that targets accepted.
        """
        if not self.is_in_charge:
            return 0
        snapshot = self._snapshot()
        started = self._timers.clock.monotonic()
        states = await self._read_states(snapshot)
        accepted = 0
        commands = self._plan(snapshot, states)
        # A command that is no longer planned has taken effect. If it is planned
        # again, a late command of another router has undone it.
        self._sent = {
            each: when for each, when in self._sent.items() if each in commands
        }
        for command in commands:
            if not self._is_current(snapshot, started):
                self._count("commands_stale")
                break
            if not self._is_due(command):
                continue
            if not command.enforced and not await self._confirm(
                command, snapshot, states
            ):
                continue
            if command.action in _PACED and not self._pacer.try_take():
                continue
            accepted += await self._send(command)
        return accepted

    def _plan(
        self, snapshot: Snapshot, states: dict[str, TargetState]
    ) -> list[Command]:
        now = self._timers.clock.time()
        return plan_commands(snapshot, now, states, self._region)

    def _is_current(self, snapshot: Snapshot, started: float) -> bool:
        age = self._timers.clock.monotonic() - started
        return (
            age <= _PLAN_LIFETIME_S
            and snapshot is self._snapshot()
            and self.is_in_charge
        )

    def _is_due(self, command: Command) -> bool:
        now = self._timers.clock.monotonic()
        sent = self._sent.get(command)
        return sent is None or now - sent >= _REPEAT_AFTER_S

    async def _confirm(
        self,
        command: Command,
        snapshot: Snapshot,
        states: dict[str, TargetState],
    ) -> bool:
        """Reads the target again, because it would obey an old command."""
        now = self._timers.clock.monotonic()
        try:
            state = await self._client.read_state(command.url)
        except CommandError:
            return False
        states[command.target] = state
        return (
            self._is_current(snapshot, now)
            and self._timers.clock.monotonic() >= self._quiet_until
            and command in self._plan(snapshot, states)
        )

    async def _send(self, command: Command) -> bool:
        fields = {
            "target": command.target,
            "action": command.action.value,
            "model": command.model,
            "version": command.version,
            "fencing": command.fencing,
        }
        try:
            accepted = await self._client.send(command)
        except CommandError as error:
            self._count("commands_failed")
            _LOGGER.warning("command failed: %s", error, extra=fields)
            return False
        if accepted:
            self._sent[command] = self._timers.clock.monotonic()
            self._count("commands_accepted")
            _LOGGER.info("command accepted", extra=fields)
        else:
            self._count("commands_rejected")
            _LOGGER.warning("command rejected", extra=fields)
        return accepted

    async def _read_states(self, snapshot: Snapshot) -> dict[str, TargetState]:
        async def read(target: Target) -> tuple[str, TargetState | None]:
            try:
                return target.name, await self._client.read_state(target.url)
            except CommandError:
                return target.name, None

        results = await asyncio.gather(
            *(
                read(target)
                for group in snapshot.groups.values()
                if group.kind == "engine"
                and group.models
                and group.region == self._region
                for target in group.targets
            )
        )
        return {name: state for name, state in results if state is not None}

    def _tick(self) -> None:
        now = self._timers.clock.monotonic()
        if now - self._ticked_at > _PERIOD_S + _FROZEN_S:
            self.on_membership_changed()
        self._ticked_at = now
        if self._task is None and self.is_in_charge:
            self._task = asyncio.ensure_future(self.run_once())
            self._task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task) -> None:
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error("command pass failed", exc_info=task.exception())
