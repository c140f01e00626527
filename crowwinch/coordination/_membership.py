"""Which members of a fleet are alive (SWIM)."""

import itertools
import random
from collections.abc import Callable, Iterable

from crowwinch.coordination._members import (
    MAX_INCARNATION,
    Ack,
    MemberChange,
    MemberRecord,
    MembershipMessage,
    MembershipOptions,
    MemberState,
    MemberUpdate,
    Ping,
    PingRequest,
    ProbeInFlight,
    UpdateQueue,
    incarnation_of,
    life_of,
)
from crowwinch.coordination._timers import Subscription, TimerService

# Probes made for others whose answers are still awaited. A period brings at
# most a few; the bound holds when a member sends requests without end.
_MAX_RELAYED = 256


class Membership:
    """View of one member; it holds no socket.

    A member exists while it is in the VM list. A listed member that was never
    heard counts as alive at incarnation 0 until a probe fails, so that routers
    that start together agree on placement at once.
    """

    def __init__(
        self,
        name: str,
        life: int,
        timers: TimerService,
        send: Callable[[str, MembershipMessage], None],
        rng: random.Random,
        options: MembershipOptions | None = None,
    ) -> None:
        """Creates a view without other members.

        Args:
            name: This member.
            life: Start time of this process in milliseconds of Unix time.
            timers: Drives probes and suspicion.
            send: Hands a message for a member to the transport.
            rng: Source of the probe order and of helpers.
            options: Times and bounds.
        """
        self._name = name
        self._incarnation = incarnation_of(life)
        self._timers = timers
        self._send = send
        self._rng = rng
        self._options = options or MembershipOptions()
        self._members: dict[str, MemberRecord] = {}
        self._queue = UpdateQueue()
        self._listeners: list[Callable[[MemberChange], None]] = []
        self._order: list[str] = []
        self._numbers = itertools.count(1)
        self._probe: ProbeInFlight | None = None
        self._relayed: dict[int, tuple[str, int]] = {}
        self._tick_timer: Subscription | None = None
        self._left = False
        self._refused = 0

    @property
    def incarnation(self) -> int:
        """Own incarnation: life and refutations."""
        return self._incarnation

    @property
    def has_left(self) -> bool:
        """Whether `leave` was called."""
        return self._left

    @property
    def refused(self) -> int:
        """Messages of members that are not in the VM list."""
        return self._refused

    def start(self) -> None:
        """Starts to probe at a random phase, so that probes are spread."""
        self._tick_timer = self._timers.call_later(
            self._rng.random() * self._options.period_s, self._tick
        )

    def stop(self) -> None:
        """Stops all timers."""
        timers = [record.suspicion for record in self._members.values()]
        timers.append(self._tick_timer)
        timers.append(self._probe.timer if self._probe else None)
        for timer in timers:
            if timer is not None:
                timer.cancel()

    def subscribe(self, listener: Callable[[MemberChange], None]) -> None:
        """Calls a listener after each change of the view."""
        self._listeners.append(listener)

    def alive(self) -> tuple[str, ...]:
        """Returns members, itself included, alive and not suspect, sorted."""
        names = [
            name
            for name, record in self._members.items()
            if record.state is MemberState.ALIVE
        ]
        if not self._left:
            names.append(self._name)
        return tuple(sorted(names))

    def members(self) -> dict[str, MemberUpdate]:
        """Returns the view by name, without this member."""
        return {
            name: MemberUpdate(name, record.incarnation, record.state)
            for name, record in self._members.items()
        }

    def life(self, member: str) -> int:
        """Returns the start time of a member in ms, 0 while unknown."""
        if member == self._name:
            return life_of(self._incarnation)
        record = self._members.get(member)
        return life_of(record.incarnation) if record else 0

    def set_listed(self, names: Iterable[str]) -> None:
        """Takes the names in the VM list; others are forgotten."""
        listed = set(names) - {self._name}
        for name in sorted(set(self._members) - listed):
            record = self._members.pop(name)
            self._order.remove(name)
            self._cancel_suspicion(record)
            self._queue.discard(name)
            self._notify(
                MemberChange(name, record.incarnation, None, record.state)
            )
        for name in sorted(listed - set(self._members)):
            self._members[name] = MemberRecord()
            position = self._rng.randrange(len(self._order) + 1)
            self._order.insert(position, name)
            self._notify(MemberChange(name, 0, MemberState.ALIVE, None))

    def mark_suspect(self, member: str) -> None:
        """Suspects a member that left a caller without an answer."""
        record = self._members.get(member)
        if record is not None and record.state is MemberState.ALIVE:
            self._suspect(member, record)

    def leave(self) -> None:
        """Says that this member stops; it still answers probes."""
        self._left = True
        self._queue.add(
            MemberUpdate(self._name, self._incarnation, MemberState.LEFT),
            urgent=True,
        )

    def handle_leaving(self, sender: str, incarnation: int) -> None:
        """Processes a member's own word that it stops."""
        self._merge(MemberUpdate(sender, incarnation, MemberState.LEFT))

    def handle_ping(self, sender: str, ping: Ping) -> None:
        """Answers a probe."""
        if not self._heard(sender, sender, ping.incarnation, ping.updates):
            return
        updates = self._updates_for(sender)
        self._send(
            sender, Ack(ping.probe, self._name, self._incarnation, updates)
        )

    def handle_ack(self, sender: str, ack: Ack) -> None:
        """Processes an answer, also one that a helper passes on."""
        if not self._heard(sender, ack.subject, ack.incarnation, ack.updates):
            return
        probe = self._probe
        if probe and (probe.number, probe.member) == (ack.probe, ack.subject):
            if probe.timer is not None:
                probe.timer.cancel()
            self._probe = None
        origin = self._relayed.pop(ack.probe, None)
        if origin is not None and ack.subject == sender:
            asker, number = origin
            updates = self._updates_for(asker)
            self._send(
                asker, Ack(number, ack.subject, ack.incarnation, updates)
            )

    def handle_ping_request(self, sender: str, request: PingRequest) -> None:
        """Probes a member for another one."""
        if not self._heard(sender, None, 0, request.updates):
            return
        if request.subject not in self._members:
            return
        while len(self._relayed) >= _MAX_RELAYED:
            del self._relayed[next(iter(self._relayed))]
        number = self._ping(request.subject)
        self._relayed[number] = (sender, request.probe)

    def _heard(
        self,
        sender: str,
        subject: str | None,
        incarnation: int,
        updates: Iterable[MemberUpdate],
    ) -> bool:
        if sender not in self._members:
            self._refused += 1
            return False
        if subject is not None:
            self._merge(MemberUpdate(subject, incarnation, MemberState.ALIVE))
        for update in updates:
            self._merge(update)
        return True

    def _merge(self, update: MemberUpdate) -> None:
        if not 0 <= update.incarnation < MAX_INCARNATION:
            return
        if update.member == self._name:
            self._refute(update)
            return
        record = self._members.get(update.member)
        if record is None or (update.incarnation, update.state) <= (
            record.incarnation,
            record.state,
        ):
            return
        if life_of(update.incarnation) != life_of(record.incarnation):
            record.life_seen_at = self._timers.clock.monotonic()
        self._apply(record, update)

    def _apply(self, record: MemberRecord, update: MemberUpdate) -> None:
        previous = record.state
        self._cancel_suspicion(record)
        record.incarnation = update.incarnation
        record.state = update.state
        alive_before = previous is MemberState.ALIVE
        alive_now = update.state is MemberState.ALIVE
        self._queue.add(update, urgent=not (alive_before and alive_now))
        if update.state is MemberState.SUSPECT:
            self._arm_suspicion(update.member, record)
        self._notify(
            MemberChange(
                update.member, update.incarnation, update.state, previous
            )
        )

    def _refute(self, update: MemberUpdate) -> None:
        if update.incarnation < self._incarnation or self._left:
            return
        own_life = life_of(self._incarnation)
        if life_of(update.incarnation) != own_life:
            # The wall clock went back across a restart. An unused life keeps
            # the earlier life of this router apart from this one.
            self._incarnation = incarnation_of(life_of(update.incarnation) + 1)
        elif update.state is MemberState.ALIVE:
            return
        else:
            self._incarnation = update.incarnation + 1
        self._queue.add(
            MemberUpdate(self._name, self._incarnation, MemberState.ALIVE),
            urgent=True,
        )

    def _suspect(self, member: str, record: MemberRecord) -> None:
        self._apply(
            record,
            MemberUpdate(member, record.incarnation, MemberState.SUSPECT),
        )
        # Only the first suspector tells the suspect directly. Updates alone
        # may reach it after the suspicion ended in a large fleet.
        self._ping(member)

    def _arm_suspicion(self, member: str, record: MemberRecord) -> None:
        def end() -> None:
            if self._was_paused(record.suspicion):
                self._arm_suspicion(member, record)
                return
            self._apply(
                record,
                MemberUpdate(member, record.incarnation, MemberState.DEAD),
            )

        record.suspicion = self._timers.call_later(
            self._options.suspicion_s, end
        )

    def _cancel_suspicion(self, record: MemberRecord) -> None:
        if record.suspicion is not None:
            record.suspicion.cancel()
            record.suspicion = None

    def _tick(self) -> None:
        self._tick_timer = self._timers.call_later(
            self._options.period_s, self._tick
        )
        lost = [
            name
            for name, record in self._members.items()
            if record.state is MemberState.DEAD
        ]
        if lost:
            # Finds the other side again after a partition.
            self._ping(self._rng.choice(sorted(lost)))
        if self._probe is not None and self._probe.timer is not None:
            self._probe.timer.cancel()
        self._probe = None
        member = self._next_member()
        if member is not None:
            self._probe = ProbeInFlight(self._ping(member), member)
            self._probe.timer = self._timers.call_later(
                self._options.direct_timeout_s, self._ask_helpers
            )

    def _next_member(self) -> str | None:
        """Returns the next member of a random cycle.

        A cycle bounds the time to the next probe of a member, which an
        independent choice does not.
        """
        for _ in range(len(self._order)):
            name = self._order.pop(0)
            self._order.append(name)
            if self._members[name].state <= MemberState.SUSPECT:
                return name
        return None

    def _ask_helpers(self) -> None:
        probe = self._probe
        if probe is None or self._was_paused(probe.timer):
            self._probe = None
            return
        candidates = [
            name
            for name in self.alive()
            if name not in (self._name, probe.member)
        ]
        count = min(self._options.helpers, len(candidates))
        for helper in self._rng.sample(candidates, count):
            updates = self._updates_for(helper)
            self._send(helper, PingRequest(probe.number, probe.member, updates))
        probe.timer = self._timers.call_later(
            self._options.indirect_timeout_s - self._options.direct_timeout_s,
            self._give_up,
        )

    def _give_up(self) -> None:
        probe, self._probe = self._probe, None
        if probe is not None and not self._was_paused(probe.timer):
            self.mark_suspect(probe.member)

    def _was_paused(self, timer: Subscription | None) -> bool:
        late = self._timers.clock.monotonic() - (timer.due if timer else 0.0)
        return late > self._options.pause_s

    def _ping(self, member: str) -> int:
        number = next(self._numbers)
        updates = self._updates_for(member)
        self._send(member, Ping(number, self._incarnation, updates))
        return number

    def _updates_for(self, receiver: str) -> tuple[MemberUpdate, ...]:
        record = self._members[receiver]
        first: dict[str, MemberUpdate] = {}
        if record.state is not MemberState.ALIVE:
            # The receiver must learn what to refute.
            first[receiver] = MemberUpdate(
                receiver, record.incarnation, record.state
            )
        room = self._options.updates - len(first)
        if record.state is MemberState.DEAD:
            # It is unlikely to receive them, so they would not be spread.
            room = 0
        size = len(self._members) + 1
        for update in self._queue.take(room, size):
            first.setdefault(update.member, update)
        now = self._timers.clock.monotonic()
        if now - record.life_seen_at <= self._options.introduction_s:
            self._introduce(first)
        return tuple(first.values())

    def _introduce(self, updates: dict[str, MemberUpdate]) -> None:
        missing = [
            update
            for name, update in sorted(self.members().items())
            if update.state is not MemberState.ALIVE and name not in updates
        ]
        room = min(self._options.updates - len(updates), len(missing))
        for update in self._rng.sample(missing, room):
            updates[update.member] = update

    def _notify(self, change: MemberChange) -> None:
        for listener in list(self._listeners):
            listener(change)
