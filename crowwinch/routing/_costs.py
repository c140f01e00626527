"""Request costs in service units."""

from collections.abc import Mapping
from typing import Any

import msgspec

from crowwinch.errors import DECODE_ERRORS
from crowwinch.generated.documents import Group

_BYTES_PER_TOKEN = 4
_DEFAULT_OUTPUT_TOKENS = 256
_SERVICE_UNITS_PER_S = 1000


def estimate_engine_cost(
    group: Group, body_bytes: int, max_tokens: int | None
) -> int:
    """Returns the estimated cost of an engine request in weighted tokens."""
    output = max_tokens if max_tokens is not None else _DEFAULT_OUTPUT_TOKENS
    return engine_cost(group, body_bytes // _BYTES_PER_TOKEN, output)


def engine_cost(group: Group, input_tokens: int, output_tokens: int) -> int:
    """Returns the cost in weighted tokens, at least 1."""
    cost = (
        input_tokens * group.input_token_weight
        + output_tokens * group.output_token_weight
    )
    return max(1, round(cost))


def service_cost(seconds: float) -> int:
    """Returns the cost of a plain-service call in slot-milliseconds."""
    return max(1, round(seconds * _SERVICE_UNITS_PER_S))


def usage_of(document: Any) -> tuple[int, int] | None:
    """Returns input and output tokens of an answer, or None without usage."""
    usage = document.get("usage") if isinstance(document, dict) else None
    if not isinstance(usage, dict):
        return None
    prompt = usage.get("prompt_tokens")
    completion = usage.get("completion_tokens")
    if not isinstance(prompt, int) or not isinstance(completion, int):
        return None
    return prompt, completion


class EngineMeter:
    """Counts the tokens of one answer as it arrives."""

    def __init__(self, group: Group, body_bytes: int) -> None:
        """Estimates the input tokens from the body until usage is reported."""
        self._group = group
        self._input = body_bytes // _BYTES_PER_TOKEN
        self._output = 0
        self._cached_part: float | None = None

    @property
    def cost(self) -> int:
        """Cost so far in weighted tokens."""
        return engine_cost(self._group, self._input, self._output)

    @property
    def cached_part(self) -> float | None:
        """Fraction of input tokens served from cache, None if not reported."""
        return self._cached_part

    def add_event(self, event: bytes) -> None:
        """Counts one server-sent event, one token unless it reports usage."""
        if b'"usage"' in event and self.add_document(
            event.removeprefix(b"data:").strip()
        ):
            return
        if event.startswith(b"data:") and b"[DONE]" not in event:
            self._output += 1

    def add_document(self, body: bytes) -> bool:
        """Applies the usage reported in a JSON document.

        Returns:
            Whether the document reports usage.
        """
        try:
            document = msgspec.json.decode(body)
        except DECODE_ERRORS:
            return False
        usage = usage_of(document)
        if usage is None:
            return False
        self._input, self._output = usage
        self._cached_part = _cached_part_of(document["usage"])
        return True


def _cached_part_of(usage: Mapping[str, Any]) -> float | None:
    """Returns the fraction of cached prompt tokens, None if not reported."""
    details = usage.get("prompt_tokens_details")
    cached = details.get("cached_tokens") if isinstance(details, dict) else None
    if not isinstance(cached, int):
        return None
    return cached / max(usage["prompt_tokens"], 1)
