"""The notation for models that a group or an event wants."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

_WANTED = re.compile(
    r"(?P<model>[A-Za-z0-9_./-]{1,128})"
    r"(?:@(?P<version>[A-Za-z0-9_.-]{1,64}))?"
    r"(?::(?P<targets>[0-9]{1,3}))?"
)


@dataclass(frozen=True, slots=True)
class WantedModel:
    """A model that a group should hold.

    Attributes:
        model: Name of the model or adapter.
        version: Version, empty for any.
        targets: How many targets of the group hold it, 0 for all.
    """

    model: str
    version: str = ""
    targets: int = 0

    def __str__(self) -> str:
        """Renders the notation that `parse_models` reads."""
        version = f"@{self.version}" if self.version else ""
        targets = f":{self.targets}" if self.targets else ""
        return f"{self.model}{version}{targets}"


def parse_models(text: str) -> tuple[WantedModel, ...]:
    """Reads `MODEL[@VERSION][:TARGETS]`, separated by semicolons.

    Raises:
        ValueError: If an entry is malformed or a model is listed twice.
    """
    found: dict[str, WantedModel] = {}
    for entry in filter(None, (each.strip() for each in text.split(";"))):
        match = _WANTED.fullmatch(entry)
        if match is None:
            raise ValueError(f"{entry!r} is not MODEL[@VERSION][:TARGETS]")
        if match["model"] in found:
            raise ValueError(f"model {match['model']!r} is listed twice")
        found[match["model"]] = WantedModel(
            match["model"], match["version"] or "", int(match["targets"] or 0)
        )
    return tuple(found.values())


def format_models(models: Iterable[WantedModel]) -> str:
    """Returns the notation of several models, ordered by name."""
    return ";".join(str(each) for each in sorted(models, key=str))
