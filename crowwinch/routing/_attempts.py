"""State of a request and of its attempts."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from crowwinch.errors import RefusalError, RefusalReason, RunState
from crowwinch.generated.documents import Group, Target
from crowwinch.routing._crashes import CrashRegistry
from crowwinch.routing._prefixes import PromptAffinity
from crowwinch.routing._requests import AnswerParts, CallerRequest
from crowwinch.scheduling import Slot, SlotOutcome, SlotRequest
from crowwinch.targets import TargetAnswer

_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclass(slots=True)
class RequestRun:
    """State of a request across all its attempts.

    Attributes:
        excluded: Targets at which an attempt failed.
        failures: Number of failed attempts.
        run_state: Whether any attempt ran; monotonic, never downgraded.
        affinity: Prompt-cache affinity, None for plain services.
    """

    request: CallerRequest
    group_number: int
    group: Group
    excluded: set[int] = field(default_factory=set)
    failures: int = 0
    run_state: RunState = RunState.NOT_RUN
    affinity: PromptAffinity | None = None
    _digest: str = ""

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        if self.request.idempotency_key:
            return False
        return (
            self.group.kind == "engine"
            or self.request.method in _SAFE_METHODS
            or self.group.idempotent
        )

    @property
    def digest(self) -> str:
        """Digest of workspace and body, computed on first use."""
        if not self._digest:
            self._digest = CrashRegistry.digest(
                self.request.workspace, self.request.body
            )
        return self._digest

    def merge_run_state(self, state: RunState) -> None:
        """Merges the run state of an attempt into that of the request."""
        order = (RunState.NOT_RUN, RunState.UNKNOWN, RunState.RAN)
        self.run_state = max(self.run_state, state, key=order.index)

    def refusal(
        self,
        reason: RefusalReason,
        message: str,
        retry_after_s: float | None = None,
    ) -> RefusalError:
        """Returns a refusal with the run state of the whole request."""
        return RefusalError(reason, message, self.run_state, retry_after_s)

    def record_served(self, target: int, cached_part: float | None) -> None:
        """Records which target served the prompt."""
        if self.affinity is not None:
            self.affinity.record_served(target, cached_part)

    def slot_request(
        self, excluded: frozenset[int], exclusive: bool
    ) -> SlotRequest:
        """Returns the slot request for the dispatcher."""
        request = self.request
        preferred = self.affinity.preferred() if self.affinity else 0
        return SlotRequest(
            workspace=request.workspace,
            group=self.group_number,
            request_class=request.request_class,
            estimate=request.estimate,
            deadline=request.deadline,
            exclusive=exclusive,
            excluded_targets=excluded,
            preferred=0 if preferred in excluded else preferred,
        )


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one target.

    Attributes:
        name: Identifier of the attempt, which the target echoes.
        alone: Whether nothing else runs on the target.
        epoch: Epoch of the target's incarnation at the start.
        started: Monotonic time in seconds.
    """

    name: str
    number: int
    target: Target
    slot: Slot | None
    alone: bool
    epoch: int
    started: float
    answer: TargetAnswer | None = None
    is_settled: bool = False

    def settle(self, cost: int, outcome: SlotOutcome) -> None:
        """Releases the slot; idempotent."""
        if self.is_settled:
            return
        self.is_settled = True
        if self.slot is not None:
            self.slot.finish(cost, outcome)

    def fail(self) -> None:
        """Releases the slot as failed and closes the connection."""
        self.settle(0, SlotOutcome.FAILED)
        if self.answer is not None:
            self.answer.close()

    def report_served(self, cost: int) -> None:
        """Reports the cost accumulated so far."""
        if self.slot is not None and not self.is_settled:
            self.slot.report_served(cost)


class StartedParts:
    """Parts whose first element has already been read from the source.

    Closing an asynchronous generator that was never started would not run its
    cleanup and would leak its slot, so the first part is read in advance.
    """

    def __init__(self, first: bytes, source: AsyncIterator[bytes]) -> None:
        """Initializes the iterator with the part that was already read."""
        self._first: bytes | None = first
        self._source = source

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns itself."""
        return self

    async def __anext__(self) -> bytes:
        """Returns the next part."""
        if self._first is not None:
            first, self._first = self._first, None
            return first
        return await self._source.__anext__()

    async def aclose(self) -> None:
        """Closes the source."""
        await self._source.aclose()


async def start_parts(source: AsyncIterator[bytes]) -> AnswerParts:
    """Returns the parts of a source after reading the first.

    Raises:
        RefusalError: If the source fails before its first part.
    """
    return StartedParts(await source.__anext__(), source)


def with_state(refusal: RefusalError, run: RequestRun) -> RefusalError:
    """Returns a refusal of the dispatcher with the run state of a request."""
    return run.refusal(refusal.reason, str(refusal), refusal.retry_after_s)
