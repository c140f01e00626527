"""Part of a prompt that one engine fetches from another."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheFetch:
    """A part of a prompt that an engine fetches from another one.

    Attributes:
        source: Identifier of the other engine, empty without a fetch.
        tokens: Size of the part.
        seconds: Time to transfer it.
    """

    source: str = ""
    tokens: int = 0
    seconds: float = 0.0


NO_FETCH = CacheFetch()
