"""Model of the prefill time of engines.

An engine prefills a prompt in chunks between the decode steps of running
requests. Each token costs a fixed time plus an attention time proportional to
the number of tokens before it. The ratio of measured to modelled time is
estimated for each service from the times to the first event.
"""

# Prefill time of one prompt token, excluding attention.
_PREFILL_TOKEN_S = 1 / 60_000
# Attention time for one pair of tokens.
_ATTENTION_PAIR_S = 0.32e-9
# Above 1 because decode steps run between the chunks of a prompt.
_INITIAL_RATIO = 1.2
_MIN_RATIO = 0.2
_MAX_RATIO = 20.0
# Time from the end of prefill to the first event of a stream, until it is
# measured.
_INITIAL_OVERHEAD_S = 0.06
_MIN_OVERHEAD_S = 0.002
_MAX_OVERHEAD_S = 0.5
# The time of shorter prompts is dominated by decode steps, not by prefill.
_MIN_SAMPLE_S = 0.06
_SMOOTHING_FACTOR = 0.03


def prefill_seconds(unread_tokens: float, cached_tokens: float = 0.0) -> float:
    """Returns the modelled prefill time of a prompt in seconds.

    Args:
        unread_tokens: Tokens to prefill.
        cached_tokens: Tokens before them that are already cached.
    """
    pairs = unread_tokens * (cached_tokens + unread_tokens / 2)
    return unread_tokens * _PREFILL_TOKEN_S + pairs * _ATTENTION_PAIR_S


class EngineSpeeds:
    """Estimates the speed of the engines of each service.

    The ratio of measured to modelled prefill time comes from long prompts, the
    time from the end of prefill to the first event from short ones.
    """

    def __init__(self) -> None:
        """Creates an instance without samples."""
        self._ratios: dict[str, float] = {}
        self._overheads_s: dict[str, float] = {}

    def ratio(self, service: str) -> float:
        """Returns the ratio of measured to modelled prefill time."""
        return self._ratios.get(service, _INITIAL_RATIO)

    def overhead_s(self, service: str) -> float:
        """Returns the time from the end of prefill to the first event."""
        return self._overheads_s.get(service, _INITIAL_OVERHEAD_S)

    def record_first_event(
        self, service: str, reading_s: float, seconds: float
    ) -> None:
        """Records the time to first event of a prompt prefilled alone.

        Args:
            service: Service of the engine.
            reading_s: Modelled prefill time.
            seconds: Time from sending to the first event.
        """
        ratio, overhead_s = self.ratio(service), self.overhead_s(service)
        if reading_s < _MIN_SAMPLE_S:
            sample = seconds - reading_s * ratio
            sample = min(max(sample, _MIN_OVERHEAD_S), _MAX_OVERHEAD_S)
            self._overheads_s[service] = overhead_s + _SMOOTHING_FACTOR * (
                sample - overhead_s
            )
            return
        sample = max(seconds - overhead_s, 0.001) / reading_s
        sample = min(max(sample, _MIN_RATIO), _MAX_RATIO)
        self._ratios[service] = ratio + _SMOOTHING_FACTOR * (sample - ratio)
