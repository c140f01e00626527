"""How fast the engines of a service read, learned from first events."""

from dataclasses import dataclass

# Assumed until the first answers: an engine reads about 60 tokens in a
# millisecond alone, and less between the steps of running requests.
_INITIAL_TOKENS_PER_S = 45_000.0
_LOWEST_TOKENS_PER_S = 5_000.0
_HIGHEST_TOKENS_PER_S = 500_000.0
# Time to the first event of a short prompt at an engine that does not wait.
_BASE_S = 0.08
# Shorter prompts say more about steps than about reading.
_SHORTEST_SAMPLE_TOKENS = 3_000
_WEIGHT = 0.05


@dataclass(slots=True)
class _Speed:
    tokens_per_s: float = _INITIAL_TOKENS_PER_S


class EngineSpeeds:
    """Reading speed of the engines of each service."""

    def __init__(self) -> None:
        """Starts from the assumed speed."""
        self._speeds: dict[str, _Speed] = {}

    def read_tokens_per_s(self, service: str) -> float:
        """Returns prompt tokens that an engine reads a second."""
        return self._speeds.setdefault(service, _Speed()).tokens_per_s

    def base_s(self, service: str) -> float:
        """Returns the time to the first event apart from reading."""
        del service
        return _BASE_S

    def note_first_event(
        self, service: str, tokens: float, seconds: float
    ) -> None:
        """Records the time to a first event.

        Args:
            service: Service of the engine.
            tokens: Unread tokens of the request and of those before it.
            seconds: Time from sending to the first event.
        """
        if tokens < _SHORTEST_SAMPLE_TOKENS:
            return
        speed = self._speeds.setdefault(service, _Speed())
        sample = tokens / max(seconds - _BASE_S, 0.001)
        sample = min(max(sample, _LOWEST_TOKENS_PER_S), _HIGHEST_TOKENS_PER_S)
        speed.tokens_per_s += _WEIGHT * (sample - speed.tokens_per_s)
