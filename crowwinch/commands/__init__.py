"""Commands to engines, computed from the configuration and the time."""

from crowwinch.commands._client import CommandClient
from crowwinch.commands._executor import (
    COMMAND_QUIET_PERIOD_S,
    CommandExecutor,
)
from crowwinch.commands._pacing import LoadPacer
from crowwinch.commands._plan import (
    EVENT_LEAD_S,
    Action,
    Command,
    TargetState,
    plan_commands,
    wanted_models,
)

__all__ = [
    "COMMAND_QUIET_PERIOD_S",
    "EVENT_LEAD_S",
    "Action",
    "Command",
    "CommandClient",
    "CommandExecutor",
    "LoadPacer",
    "TargetState",
    "plan_commands",
    "wanted_models",
]
