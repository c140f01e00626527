"""Sheets and columns of the operators' table and how cells are read."""

import datetime
import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from crowwinch.configuration._models import format_models, parse_models

_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")
_HASH = re.compile(r"[0-9a-f]{64}")
_TRUE = frozenset(("yes", "true", "1"))
_FALSE = frozenset(("no", "false", "0"))
_LARGEST_COUNT = 2**31 - 1


def _name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError(
            f"{text!r} is not 1 to 64 letters, digits, '_', '.' or '-'"
        )
    return text


def _text(text: str) -> str:
    return text


def _url(text: str) -> str:
    if not re.fullmatch(r"https?://[^\s/]+\S*", text):
        raise ValueError(f"{text!r} is not an http or https URL")
    return text


def _number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number") from None
    if not math.isfinite(value):
        raise ValueError(f"{text!r} is not a finite number")
    if value < 0:
        raise ValueError(f"{text!r} is negative")
    return value


def _positive(text: str) -> float:
    value = _number(text)
    if not 0 < value <= 1_000_000:
        raise ValueError(f"{text!r} is not above 0 and at most 1000000")
    return value


def _count(text: str) -> int:
    if not re.fullmatch(r"-?[0-9]+", text):
        raise ValueError(f"{text!r} is not a whole number")
    if not 0 <= int(text) <= _LARGEST_COUNT:
        raise ValueError(f"{text!r} is not from 0 to {_LARGEST_COUNT}")
    return int(text)


def _slots(text: str) -> int:
    value = _count(text)
    if value > 4096:
        raise ValueError(f"{text!r} is above 4096")
    return value


def _flag(text: str) -> bool:
    if text.lower() not in _TRUE | _FALSE:
        raise ValueError(f"{text!r} is neither yes nor no")
    return text.lower() in _TRUE


def _instant(text: str) -> int:
    try:
        value = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise ValueError(f"{text!r} is not an ISO 8601 time") from None
    if value.tzinfo is None:
        raise ValueError(f"{text!r} has no offset from UTC")
    seconds = value.timestamp()
    if seconds != int(seconds) or seconds < 0:
        raise ValueError(f"{text!r} is not in whole seconds since 1970")
    return int(seconds)


def _hashes(text: str) -> list[str]:
    values = text.replace(";", " ").split()
    for value in values:
        if not _HASH.fullmatch(value):
            raise ValueError(f"{value!r} is not a SHA-256 in lower-case hex")
    if len(set(values)) != len(values):
        raise ValueError("the same key hash is listed twice")
    return sorted(values)


def _models(text: str) -> str:
    return format_models(parse_models(text))


def _choice(*values: str) -> Callable[[str], str]:
    def read(text: str) -> str:
        if text not in values:
            raise ValueError(f"{text!r} is not one of {', '.join(values)}")
        return text

    return read


@dataclass(frozen=True, slots=True)
class Column:
    """A column of a sheet.

    Attributes:
        name: Header of the column.
        read: Turns a cell into a value; raises ValueError.
        required: Whether the column and each of its cells must be present.
        field: Field of the document, the same as the header by default.
    """

    name: str
    read: Callable[[str], Any]
    required: bool = False
    field: str = ""

    @property
    def target_field(self) -> str:
        """Field of the document that the column fills."""
        return self.field or self.name


_LIMITS = (
    Column("max_in_flight", _count),
    Column("max_service_per_second", _number),
)

SHEETS: dict[str, tuple[Column, ...]] = {
    "workspaces": (
        Column("workspace", _name, True, "name"),
        Column("weight", _positive, True),
        *_LIMITS,
        Column("max_waiting", _count),
        Column("class", _choice("interactive", "bulk"), field="request_class"),
        Column("key_hashes", _hashes, True),
    ),
    "events": (
        Column("event", _name, True, "name"),
        Column("workspace", _text, True),
        Column("start", _instant, True),
        Column("end", _instant, True),
        Column("weight", _number),
        *_LIMITS,
        Column("group", _text),
        Column("models", _models),
    ),
    "groups": (
        Column("group", _name, True, "name"),
        Column("kind", _choice("engine", "service"), True),
        Column("region", _text, True),
        Column("model", _text),
        Column("input_token_weight", _positive),
        Column("output_token_weight", _positive),
        Column("idempotent", _flag),
        Column("requires_idempotency_key", _flag),
        Column("models", _models),
    ),
    "targets": (
        Column("target", _name, True, "name"),
        Column("group", _text, True),
        Column("url", _url, True),
        Column("slots", _slots, True),
        Column("max_slots", _slots),
        Column("fencing", _flag),
        Column("role", _choice("mixed", "prefill", "decode")),
    ),
}


def format_cell(column: Column, value: object) -> str:
    """Returns the text of a value, which `Column.read` turns back."""
    if column.read is _instant:
        moment = datetime.datetime.fromtimestamp(int(str(value)), datetime.UTC)
        return moment.isoformat()
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    if isinstance(value, list):
        return " ".join(value)
    return str(value)
