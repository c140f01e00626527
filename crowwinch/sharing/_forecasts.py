"""Forecasts for a request at a target and the expected loss."""

from dataclasses import dataclass

from crowwinch.sharing._cache_fetch import NO_FETCH, CacheFetch
from crowwinch.sharing._model import TargetView, Work
from crowwinch.sharing._speeds import prefill_seconds

# Penalty for traffic between availability zones, in active requests, of a
# non-engine target in another zone. Below 1, so that a difference of one
# request outweighs it.
_REMOTE_ZONE_PENALTY_REQUESTS = 0.5
# Value lost when an answer is late, as a fraction of the request's cost.
_LATE_LOSS = 0.7
# Forecasts, as fractions of the target latency, below which an answer is rarely
# late and above which it nearly always is.
_LATE_FROM = 0.6
_LATE_TO = 1.4
# Value of an early answer; balances load among equal targets.
_EARLY_VALUE = 0.1
# Cost of recomputing a cached shared token, in service units.
_RECOMPUTE_COST = 0.8
# The same for a token that is fetched from another target: it then takes memory
# at both.
_FETCH_COST = 0.1
_DEFAULT_LATENCY_S = 1.0


@dataclass(slots=True)
class TargetStatus:
    """State of a target that does not depend on the request.

    Attributes:
        target: The target.
        has_connection: Whether this router may open another connection.
        is_blocked: Whether it is in back-off after a failed connection.
        hold_left_s: Seconds until it wants requests again, 0 if it does now.
        limit_wait_s: Seconds until its limits allow a request of this router,
            0 if they do now, inf if no time is known.
        waiting_s: Modelled prefill time of the prompts queued at the target, 0
            if it is not an engine.
        use: Active requests at the target as a fraction of its slots.
        delay_s: Delay of the first event beyond prefill: the recent delay, the
            wait for a full batch and the cost of failures.
    """

    target: TargetView
    has_connection: bool
    is_blocked: bool
    hold_left_s: float
    limit_wait_s: float
    waiting_s: float
    use: float
    delay_s: float


# Not frozen: one is created for every pair of target and queued request,
# and creating a frozen one takes three times as long.
@dataclass(slots=True)
class Candidate:
    """A target with the forecast for a request.

    Attributes:
        target: The target.
        unread_tokens: Prompt tokens that are not cached at the target.
        reading_s: Modelled prefill time of these tokens.
        waiting_s: Modelled prefill time of the prompts queued before them.
        reading_from_s: Time until the target starts to read the prompt.
        reading_until_s: Time until it has read the prompt.
        queue_s: Part of expected_s that is due to other requests.
        forecast_s: Modelled time to the first event without recent delays.
        expected_s: Time to the first event including recent delays.
        use: Active requests at the target as a fraction of its slots.
        recompute_tokens: Shared prompt tokens that another target has cached,
            but not this one, and that it does not fetch.
        is_home: Whether the target is the home of the prefix, to which all
            routers prefer to send it.
        loss: Expected loss of value by choosing this target.
        limit_wait_s: Seconds until its limits allow a request of this router,
            0 if they do now, inf if no time is known.
        fetch: Part of the prompt that it fetches from another target.
    """

    target: TargetView
    unread_tokens: int
    reading_s: float
    waiting_s: float
    reading_from_s: float
    reading_until_s: float
    queue_s: float
    forecast_s: float
    expected_s: float
    use: float
    recompute_tokens: int
    is_home: bool
    loss: float
    limit_wait_s: float = 0.0
    fetch: CacheFetch = NO_FETCH


@dataclass(slots=True)
class Prefill:
    """Prefill of a prompt with a cached prefix.

    Attributes:
        unread_tokens: Prompt tokens that are neither cached nor fetched.
        seconds: Modelled prefill time of these tokens, and the time to fetch.
        alone_s: Modelled time to the first event at an idle engine.
        recompute_tokens: Shared prompt tokens that only another target has
            cached.
        fetch: Part of the prompt that is fetched from another target.
    """

    unread_tokens: int
    seconds: float
    alone_s: float
    recompute_tokens: int
    fetch: CacheFetch = NO_FETCH


@dataclass(slots=True)
class Speed:
    """Speed of the engines of a service.

    Attributes:
        ratio: Measured over modelled prefill time.
        overhead_s: Time from the end of prefill to the first event.
    """

    ratio: float
    overhead_s: float

    def first_event_s(self, reading_s: float) -> float:
        """Returns the time to the first event after some modelled prefill."""
        return self.overhead_s + reading_s * self.ratio


def prefill_of(
    work: Work,
    cached_tokens: int,
    speed: Speed,
    fetch: CacheFetch = NO_FETCH,
) -> Prefill:
    """Returns the prefill of a prompt of which some tokens are cached."""
    cached_tokens += fetch.tokens
    unread_tokens = max(work.prompt_tokens - cached_tokens, 1)
    seconds = prefill_seconds(unread_tokens, cached_tokens) + fetch.seconds
    return Prefill(
        unread_tokens=unread_tokens,
        seconds=seconds,
        alone_s=speed.first_event_s(seconds),
        recompute_tokens=max(work.shared_tokens - cached_tokens, 0),
        fetch=fetch,
    )


@dataclass(slots=True)
class Forecast:
    """What ranks a target for a request.

    Attributes:
        loss: Expected loss of value by choosing the target.
        status: State of the target.
        forecast_s: Modelled time to the first event without recent delays.
        expected_s: Time to the first event including recent delays.
        is_home: Whether the target is the home of the prefix.
        prefill: Prefill of the prompt, None if the target is not an engine.
        speed: Speed of the engines of the service, None likewise.
    """

    loss: float
    status: TargetStatus
    forecast_s: float
    expected_s: float
    is_home: bool = False
    prefill: Prefill | None = None
    speed: Speed | None = None

    def candidate(self) -> Candidate:
        """Returns the target with all parts of its forecast."""
        status, prefill, speed = self.status, self.prefill, self.speed
        if prefill is None or speed is None:
            return _non_engine_candidate(self)
        return Candidate(
            target=status.target,
            unread_tokens=prefill.unread_tokens,
            reading_s=prefill.seconds,
            waiting_s=status.waiting_s,
            reading_from_s=status.waiting_s * speed.ratio,
            reading_until_s=self.forecast_s - speed.overhead_s,
            queue_s=self.expected_s - prefill.alone_s,
            forecast_s=self.forecast_s,
            expected_s=self.expected_s,
            use=status.use,
            recompute_tokens=prefill.recompute_tokens,
            is_home=self.is_home,
            loss=self.loss,
            limit_wait_s=status.limit_wait_s,
            fetch=prefill.fetch,
        )


def forecast_engine(
    work: Work,
    status: TargetStatus,
    prefill: Prefill,
    is_home: bool,
    speed: Speed,
) -> Forecast:
    """Returns the forecast for a request at an engine."""
    forecast = speed.first_event_s(status.waiting_s + prefill.seconds)
    expected = forecast + status.delay_s
    return Forecast(
        _engine_loss(work, expected, prefill),
        status,
        forecast,
        expected,
        is_home,
        prefill,
        speed,
    )


def forecast_non_engine(status: TargetStatus) -> Forecast:
    """Returns the forecast for a request at a target without a model."""
    penalty = 0.0 if status.target.is_local else _REMOTE_ZONE_PENALTY_REQUESTS
    expected = status.use + penalty / max(status.target.slots, 1)
    expected += status.delay_s
    return Forecast(expected, status, expected, expected)


def _non_engine_candidate(forecast: Forecast) -> Candidate:
    status = forecast.status
    return Candidate(
        target=status.target,
        unread_tokens=0,
        reading_s=0.0,
        waiting_s=0.0,
        reading_from_s=0.0,
        reading_until_s=0.0,
        queue_s=0.0,
        forecast_s=forecast.forecast_s,
        expected_s=forecast.expected_s,
        use=status.use,
        recompute_tokens=0,
        is_home=False,
        loss=forecast.loss,
        limit_wait_s=status.limit_wait_s,
    )


def _engine_loss(work: Work, expected_s: float, prefill: Prefill) -> float:
    """Returns the expected loss in service units."""
    ratio = expected_s / (work.target_latency_s or _DEFAULT_LATENCY_S)
    late_probability = (ratio - _LATE_FROM) / (_LATE_TO - _LATE_FROM)
    late_probability = min(max(late_probability, 0.0), 1.0)
    return (
        work.cost * (_LATE_LOSS * late_probability + _EARLY_VALUE * ratio)
        + _RECOMPUTE_COST * prefill.recompute_tokens
        + _FETCH_COST * prefill.fetch.tokens
    )
