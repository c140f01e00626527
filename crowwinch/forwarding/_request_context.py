"""State of a request that is being forwarded."""

from dataclasses import dataclass, field

import xxhash

from crowwinch.errors import RunState
from crowwinch.forwarding._call import Call
from crowwinch.forwarding._model import Route, RoutingTable
from crowwinch.forwarding._target_set import Target
from crowwinch.sharing import RequestFeatures, Work


@dataclass(slots=True)
class RequestContext:
    """State of a request that is being forwarded.

    Attributes:
        call: The request and response as the caller sees them.
        table: Configuration in force when the request arrived.
        route: Route that the request matched.
        workspace: Name of the workspace, None on routes that need no key.
        work: Demand that the request places on a target.
        deadline: Monotonic time in seconds by which the response must be
            complete.
        prior_wait_s: Estimated time in seconds that the caller has waited
            before the request arrived.
        possible_runs: Number of targets that may have run the request.
        attempt_count: Number of attempts that may have reached a target,
            including those that were refused.
        unreachable_count: Number of attempts that no target has received.
        last_event_id: Id of the event after which a stream resumes.
        is_taken_up: Whether the caller got the first events of the stream in an
            earlier request.
        relayed_event_id: Id of the last event that the caller got, None without
            one.
        software_version: Version of the software of the targets that may go on
            with the stream, None before its first event.
        home_regions: Regions whose targets may run the request, None if all
            may.
        excluded: Targets at which an attempt has failed.
        attempts: Log entry of each attempt.
        first_event_at: Monotonic time in seconds at which the first event was
            received from a target, None before.
        last_event_at: Same for the latest event.
        longest_pause_s: Longest time between two reads of complete events.
        target: Target of the last attempt, None before.
        attempt_began_at: Time of the first event of the last attempt, None
            before.
        refused_feature: Feature for which the request was refused.
    """

    call: Call
    table: RoutingTable
    route: Route
    workspace: str | None
    work: Work
    deadline: float
    prior_wait_s: float = 0.0
    possible_runs: int = 0
    attempt_count: int = 0
    unreachable_count: int = 0
    last_event_id: str | None = None
    is_taken_up: bool = False
    relayed_event_id: str | None = None
    software_version: str | None = None
    home_regions: frozenset[str] | None = None
    excluded: set[str] = field(default_factory=set)
    attempts: list[dict[str, object]] = field(default_factory=list)
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause_s: float = 0.0
    target: Target | None = None
    attempt_began_at: float | None = None
    refused_feature: str | None = None
    _features: RequestFeatures | None = field(default=None, init=False)

    @property
    def features(self) -> RequestFeatures:
        """What the request has in common with others."""
        if self._features is None:
            self._features = RequestFeatures(self.digest(), self.shared_parts)
        return self._features

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Digests of the parts of the prompt that other requests may share."""
        return tuple(
            xxhash.xxh3_64_hexdigest(part.identifier.encode())
            for part in self.work.parts[:-1]
        )

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.possible_runs > 0

    @property
    def can_resume(self) -> bool:
        """Whether another target can go on with the started response."""
        return self.route.is_resumable and self.relayed_event_id is not None

    @property
    def stream_id(self) -> str:
        """Attempt that brought the first event of the stream, or will."""
        return self.call.head.resumed_attempt_id or self.call.head.attempt_id

    @property
    def run_state(self) -> RunState:
        """Run state that a refusal reports."""
        return RunState.UNKNOWN if self.may_have_run else RunState.NOT_RUN

    def record_event(self, now: float) -> None:
        """Records the time at which events were received from a target."""
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause_s = max(
                self.longest_pause_s, now - self.last_event_at
            )
        self.last_event_at = now

    def digest(self) -> str:
        """Returns a hash of the workspace, method, path and body."""
        call = self.call
        head = f"{self.workspace}\0{call.method}\0{call.raw_path}\0"
        return xxhash.xxh3_128_hexdigest(head.encode() + call.body)
