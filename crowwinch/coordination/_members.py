"""Values and messages of the membership."""

import enum
import heapq
import math
from dataclasses import dataclass

from crowwinch.coordination._timers import Subscription

# Low bits of an incarnation count refutations; the high bits are the life of
# the process, its start time in milliseconds.
_REFUTATION_BITS = 16
# Higher ones are ignored: refuting them would leave the 64 bits of the wire.
MAX_INCARNATION = 1 << 62
# Factor of the logarithm in the number of times an update is passed on. SWIM
# reports that 3 reaches every member with a probability above 0.99.
_SPREAD_FACTOR = 3


def incarnation_of(life: int) -> int:
    """Returns the first incarnation of a life in milliseconds."""
    return life << _REFUTATION_BITS


def life_of(incarnation: int) -> int:
    """Returns the start time in milliseconds; refutations do not change it."""
    return incarnation >> _REFUTATION_BITS


class MemberState(enum.IntEnum):
    """State of a member. At one incarnation the higher state counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What one router says of a member."""

    member: str
    incarnation: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class Ping:
    """A probe.

    Attributes:
        probe: Number that the answer repeats.
        incarnation: Incarnation of the sender.
        updates: News of members.
    """

    probe: int
    incarnation: int
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """An answer to a probe.

    Attributes:
        probe: Number of the probe.
        subject: The member that answered, which a helper may pass on.
        incarnation: Incarnation of the subject.
        updates: News of members.
    """

    probe: int
    subject: str
    incarnation: int
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a helper to probe a member that did not answer."""

    probe: int
    subject: str
    updates: tuple[MemberUpdate, ...] = ()


MembershipMessage = Ping | Ack | PingRequest


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of the view.

    Attributes:
        member: Whose entry changed.
        incarnation: Its incarnation, 0 if it was not heard yet.
        state: The new state, None when the member was forgotten.
        previous: The state before, None for a new member.
    """

    member: str
    incarnation: int
    state: MemberState | None
    previous: MemberState | None


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Times and bounds of the membership.

    Attributes:
        period_s: Time between two probes.
        direct_timeout_s: Wait for an answer before helpers are asked.
        indirect_timeout_s: Wait for any answer, shorter than the period.
        suspicion_s: Time in which a suspect can refute.
        helpers: Members that probe on behalf of the prober.
        updates: Most updates in a message.
        pause_s: A timer this late shows that this process was paused, so that
            a missing answer says nothing of the other member.
        introduction_s: Time in which a new life is told of members that are
            not alive, since it missed the updates.
    """

    period_s: float = 1.0
    direct_timeout_s: float = 0.3
    indirect_timeout_s: float = 0.9
    suspicion_s: float = 2.0
    helpers: int = 3
    updates: int = 6
    pause_s: float = 0.5
    introduction_s: float = 10.0


@dataclass(slots=True)
class MemberRecord:
    """Entry of the view.

    Attributes:
        incarnation: Highest known incarnation, 0 if never heard.
        state: State at this incarnation.
        suspicion: Timer that ends a suspicion.
        life_seen_at: Monotonic time at which this life was first heard.
    """

    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    suspicion: Subscription | None = None
    life_seen_at: float = -math.inf


@dataclass(slots=True)
class ProbeInFlight:
    """The probe of the current period."""

    number: int
    member: str
    timer: Subscription | None = None


class UpdateQueue:
    """Updates to pass on, each O(log n) times, the least spread first.

    Urgent updates precede others. When 340 members start together, each hears
    339 first incarnations; without the order, the news of a dead member waits
    behind them for minutes.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._pending: dict[str, tuple[bool, int, MemberUpdate]] = {}

    def __len__(self) -> int:
        """Returns the number of updates that wait."""
        return len(self._pending)

    def add(self, update: MemberUpdate, urgent: bool) -> None:
        """Adds an update in place of an earlier one of the same member.

        Args:
            update: What to pass on.
            urgent: Whether it changes who is alive.
        """
        self._pending[update.member] = (not urgent, 0, update)

    def discard(self, member: str) -> None:
        """Drops the update of a member."""
        self._pending.pop(member, None)

    def take(self, count: int, members: int) -> list[MemberUpdate]:
        """Returns updates for one message.

        Args:
            count: Most updates.
            members: Size of the fleet.
        """
        limit = _SPREAD_FACTOR * math.ceil(math.log2(members + 1))
        chosen = heapq.nsmallest(
            count, self._pending.values(), key=lambda entry: entry[:2]
        )
        for later, times, update in chosen:
            if times + 1 >= limit:
                del self._pending[update.member]
            else:
                self._pending[update.member] = (later, times + 1, update)
        return [update for _, _, update in chosen]
