"""Time that engines take to read prompts.

An engine reads a prompt in chunks between the steps of running requests. Each
token costs a fixed time and one that grows with the tokens before it. The ratio
of real to modelled times is learned for each service from first events.
"""

# Time of one token of a prompt without the tokens before it.
_TOKEN_S = 1 / 60_000
# Time of the attention of one token to one token before it.
_PAIR_S = 0.32e-9
# Steps of running requests come between the chunks of a prompt.
_INITIAL_RATIO = 1.2
_LOWEST_RATIO = 0.2
_HIGHEST_RATIO = 20.0
# Time from the end of reading to the first event of a stream.
_BASE_S = 0.06
# Shorter prompts say more about steps than about reading.
_SHORTEST_SAMPLE_S = 0.06
_WEIGHT = 0.03


def read_seconds(unread_tokens: float, kept_tokens: float = 0.0) -> float:
    """Returns the modelled time to read a prompt.

    Args:
        unread_tokens: Tokens to read.
        kept_tokens: Tokens before them that need not be read.
    """
    pairs = unread_tokens * (kept_tokens + unread_tokens / 2)
    return unread_tokens * _TOKEN_S + pairs * _PAIR_S


def first_event_seconds(reading_s: float, ratio: float) -> float:
    """Returns the forecast of the time to a first event.

    Args:
        reading_s: Modelled time of the prompt and of those before it.
        ratio: Real over modelled time at the engine.
    """
    return _BASE_S + reading_s * ratio


class EngineSpeeds:
    """How much slower than the model the engines of each service read."""

    def __init__(self) -> None:
        """Starts from the assumed ratio."""
        self._ratios: dict[str, float] = {}

    def ratio(self, service: str) -> float:
        """Returns real over modelled time."""
        return self._ratios.get(service, _INITIAL_RATIO)

    def note_first_event(
        self, service: str, reading_s: float, seconds: float
    ) -> None:
        """Records the time to the first event of a prompt read alone.

        Args:
            service: Service of the engine.
            reading_s: Modelled time to read it.
            seconds: Time from sending to the first event.
        """
        if reading_s < _SHORTEST_SAMPLE_S:
            return
        sample = max(seconds - _BASE_S, 0.001) / reading_s
        sample = min(max(sample, _LOWEST_RATIO), _HIGHEST_RATIO)
        ratio = self.ratio(service)
        self._ratios[service] = ratio + _WEIGHT * (sample - ratio)
