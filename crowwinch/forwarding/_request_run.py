"""A request while it is served."""

from dataclasses import dataclass, field

import xxhash

from crowwinch.errors import RunState
from crowwinch.forwarding._call import Call
from crowwinch.forwarding._model import Route, RoutingTable
from crowwinch.sharing import Work


@dataclass(slots=True)
class RequestRun:
    """A request while it is served.

    Attributes:
        call: The callers' side.
        table: Configuration in force when the request arrived.
        route: Its route.
        workspace: Its workspace, None on routes that need no key.
        work: What it asks of a target.
        deadline: Monotonic time of its final answer at the latest.
        runs: Targets that may have run it.
        sends: Attempts, including those that were refused.
        last_event_id: Event after which a stream goes on.
        excluded: Targets that failed it.
        attempts: What the log says of each attempt.
    """

    call: Call
    table: RoutingTable
    route: Route
    workspace: str | None
    work: Work
    deadline: float
    runs: int = 0
    sends: int = 0
    last_event_id: str | None = None
    excluded: set[str] = field(default_factory=set)
    attempts: list[dict[str, object]] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.runs > 0

    @property
    def run_state(self) -> RunState:
        """What a refusal says of the request."""
        return RunState.UNKNOWN if self.may_have_run else RunState.NOT_RUN

    def digest(self) -> str:
        """Identifies equal requests: workspace, method, path and body."""
        call = self.call
        head = f"{self.workspace}\0{call.method}\0{call.raw_path}\0"
        return xxhash.xxh3_128_hexdigest(head.encode() + call.body)
