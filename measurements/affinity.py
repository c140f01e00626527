"""Measures prefix affinity with conversations on targets with a prefix cache.

The fleet's own scheduler, dispatchers and hints run on a fake clock. Each turn
of a conversation contains all earlier ones. Prints one JSON object a line.
"""

import argparse
import json
import random
import statistics
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, replace

from crowwinch.coordination import identifier
from crowwinch.routing import PrefixHints, PromptAffinity
from crowwinch.scheduling import SlotRequest, _records
from measurements._arrivals import Request
from measurements._fleet import Crowwinch
from measurements._scenarios import Pool, Scenario
from measurements._targets import FakeTarget
from measurements._world import World
from standins.prefix_cache import BLOCK_CHARACTERS, PrefixCache

SEEDS = (1, 2, 3)
LOADS = (0.7, 1.6)
_TURNS = 6
_THINK_S = 4.0
_SYSTEM_CHARACTERS = 2048
_TURN_CHARACTERS = (400, 2000)
# The time to the first token of an uncached prompt of 4,400 characters is then
# the planned 0.44 s.
_PREFILL_PER_S = 10_000
# About twelve conversations at their end; ten targets hold half of those that
# are active at a load of 1.
_CACHE_CHARACTERS = 120_000
_END_S = 60.0
_SAMPLE_S = 0.1


@dataclass(frozen=True, slots=True)
class Turn(Request):
    """One request of a conversation."""

    conversation: int = 0
    index: int = 0
    parts: tuple[str, ...] = ()

    @property
    def prompt(self) -> str:
        """The text that the engine reads."""
        return "".join(self.parts)

    @property
    def known(self) -> int:
        """Characters of the preceding turn, 0 for the first one."""
        return sum(map(len, self.parts[:-2])) if self.index else 0

    @property
    def messages(self) -> bytes:
        """The messages as in the body of a request."""
        roles = ["system"] + ["user", "assistant"] * len(self.parts)
        return json.dumps(
            [
                {"role": role, "content": part}
                for role, part in zip(roles, self.parts, strict=False)
            ]
        ).encode()


class CachingTarget(FakeTarget):
    """Takes less time before the first token of a cached prompt."""

    def __init__(self, *arguments: object) -> None:
        """Starts with an empty cache."""
        super().__init__(*arguments)
        self._cache = PrefixCache(_CACHE_CHARACTERS)

    def duration(self, request: Turn) -> float:
        """Returns the seconds of prefill and generation."""
        cached = self._cache.use(request.prompt)
        prefill = (len(request.prompt) - cached) / _PREFILL_PER_S
        self._world.note_start(request, cached, prefill)
        return prefill + super().duration(request)


class ConversationWorld(World):
    """Conversations of several workspaces in a closed loop."""

    target_class = CachingTarget

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        prefers: bool,
        balanced: bool,
    ) -> None:
        """Prepares a run.

        Args:
            scenario: Sizes, workspaces and load.
            seed: Seed of all random choices.
            prefers: Whether requests name a preferred target.
            balanced: Whether each turn reaches a random router instead of one
                of its workspace.
        """
        self._source = random.Random(f"affinity/{seed}")
        self._turns: list[Turn] = []
        super().__init__(scenario, self._turns, Crowwinch())
        self._prefers = prefers
        self._balanced = balanced
        self._hints = defaultdict(lambda: PrefixHints(self.clock))
        self._affinities: dict[int, PromptAffinity] = {}
        self.cached: dict[int, int] = {}
        self.first_tokens: dict[int, float] = {}
        self.differences: list[float] = []
        self._begin_conversations()
        self.timers.call_every(_SAMPLE_S, self._sample)

    def slot_request(
        self, request: Turn, router: int, failed: frozenset[int]
    ) -> SlotRequest:
        """Asks for the target that the router's hints prefer."""
        plain = super().slot_request(request, router, failed)
        affinity = PromptAffinity(
            self._hints[router],
            request.workspace,
            request.group,
            request.messages,
            self.snapshot.groups[request.group].targets,
        )
        self._affinities[request.number] = affinity
        preferred = affinity.preferred() if self._prefers else 0
        return replace(plain, preferred=preferred)

    def note_start(self, request: Turn, cached: int, prefill: float) -> None:
        """Records the time to the first token and the cached characters."""
        self.first_tokens[request.number] = self.now + prefill - request.time
        self.cached[request.number] = cached

    def service_started(self, request: Turn, rate: float) -> None:
        """Counts service from the first token on, as it is charged.

        With the prefill, which is shorter for cached prompts and not charged,
        the gap would show differences of cache hits.
        """
        super().service_started(request, 0.0)
        self.timers.call_later(
            self.first_tokens[request.number] + request.time - self.now,
            lambda: self.gap.change_rate(
                self.now, request.group, request.workspace, rate
            ),
        )

    def answered(self, request: Turn, router: int, target: int) -> None:
        """Learns from the answer and continues the conversation."""
        del router
        part = self.cached[request.number] / len(request.prompt)
        self._affinities.pop(request.number).record_served(target, part)
        time = self.now + self._source.expovariate(1 / _THINK_S)
        if request.index + 1 < _TURNS and time < _END_S:
            self._add_turn(
                time,
                request.workspace,
                request.conversation,
                request.index + 1,
                request.parts,
            )

    def line(self) -> dict[str, object]:
        """Returns the figures of the run."""
        started = [turn for turn in self._turns if turn.number in self.cached]
        follow_ups = [turn for turn in started if turn.index]
        hits = sum(
            self.cached[turn.number] >= turn.known - BLOCK_CHARACTERS
            for turn in follow_ups
        )
        characters = sum(len(turn.prompt) for turn in started)
        times = sorted(self.first_tokens.values())
        return {
            "turns": len(started),
            "follow_up_hit_rate": round(hits / len(follow_ups), 3),
            "cached_part": round(sum(self.cached.values()) / characters, 3),
            "mean_first_token_s": round(statistics.fmean(times), 3),
            "p95_first_token_s": round(times[len(times) * 95 // 100], 3),
            "utilisation": round(self.utilisation.utilisation, 4),
            "fairness_gap": round(self.worst_gap(self.scenario.pools[0]).gap),
            "load_difference_mean": round(
                statistics.fmean(self.differences), 3
            ),
            "load_difference_max": round(max(self.differences), 3),
            "lost": self.lost,
        }

    def _begin_conversations(self) -> None:
        scenario = self.scenario
        pool = scenario.pools[0]
        names = list(scenario.weights)
        mean_prompt = _SYSTEM_CHARACTERS + sum(_TURN_CHARACTERS) / 2 * (
            (_TURNS + 1) / 2
        )
        seconds = pool.mean / pool.rate + mean_prompt / _PREFILL_PER_S
        rate = pool.load * pool.slots_total / seconds / _TURNS
        demand = list(scenario.demand.values())
        time, number = self._source.expovariate(rate), 0
        while time < _END_S:
            name = self._source.choices(names, demand)[0]
            system = self._text(f"system/{name}", _SYSTEM_CHARACTERS)
            self._add_turn(time, identifier(name), number, 0, (system,))
            time += self._source.expovariate(rate)
            number += 1

    def _add_turn(
        self,
        time: float,
        workspace: int,
        conversation: int,
        index: int,
        known: tuple[str, ...],
    ) -> None:
        # Everything about a turn follows from its conversation and index, so
        # that runs with and without affinity serve the same work.
        source = random.Random(f"{self.scenario.name}/{conversation}/{index}")
        pool = self.scenario.pools[0]
        added = self._text(
            f"{conversation}/{index}", source.randint(*_TURN_CHARACTERS)
        )
        # The answer to the last turn precedes the next question.
        middle = len(added) // 2 if index else 0
        answer, added = (added[:middle],) * bool(index), added[middle:]
        cost = round(min(source.lognormvariate(4.6, pool.sigma), pool.largest))
        homes = 1 + workspace % 3
        router = source.randrange(8 if self._balanced else homes)
        if not self._balanced:
            router = (workspace // 3 + router) % 8
        turn = Turn(
            number=len(self._turns) + 1,
            time=time,
            router=router,
            workspace=workspace,
            group=identifier(pool.name),
            cost=max(cost, 1),
            hint=max(1, round(cost * source.uniform(0.7, 1.4))),
            idempotent=True,
            conversation=conversation,
            index=index,
            parts=(*known, *answer, added),
        )
        self._turns.append(turn)
        if index:
            self.arrive(turn)

    def _sample(self) -> None:
        loads = [
            (len(each.running) + len(each.queue)) / each.slots
            for each in self.targets.values()
        ]
        if 5.0 <= self.now < _END_S:
            self.differences.append(max(loads) - min(loads))

    @staticmethod
    def _text(name: str, characters: int) -> str:
        return random.Random(name).randbytes(characters // 2).hex()


def scenario(load: float) -> Scenario:
    """Returns ten targets of eight slots and 15 workspaces, 3 of them large."""
    names = [f"camp-{index}" for index in range(15)]
    weights = {n: 4.0 if index < 3 else 1.0 for index, n in enumerate(names)}
    demand = {n: 8.0 if index < 3 else 1.0 for index, n in enumerate(names)}
    pool = Pool("chat", "engine", 10, 8, 50.0, 100.0, 0.8, 600, load)
    return Scenario(
        "conversations",
        8,
        (pool,),
        weights,
        demand,
        burst_start=5.0,
        burst_end=_END_S,
        end=_END_S,
    )


def measure(seeds: tuple[int, ...], loads: tuple[float, ...]) -> Iterator[dict]:
    """Runs every load, entry and seed with and without affinity."""
    for load in loads:
        for balanced in (False, True):
            for seed in seeds:
                for prefers in (False, True):
                    world = ConversationWorld(
                        scenario(load), seed, prefers, balanced
                    )
                    world.run()
                    yield {
                        "load": load,
                        "entry": "balanced" if balanced else "home",
                        "seed": seed,
                        "affinity": prefers,
                        **world.line(),
                    }


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--slack", type=float)
    parser.add_argument("--seed", type=int, help="only this seed")
    options = parser.parse_args()
    if options.slack is not None:
        _records.AFFINITY_SLACK = options.slack
    seeds = SEEDS if options.seed is None else (options.seed,)
    for line in measure(seeds, LOADS):
        print(json.dumps({"slack": _records.AFFINITY_SLACK, **line}))


if __name__ == "__main__":
    main()
