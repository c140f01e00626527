"""Tests of the limits on the requests to targets."""

import math
import unittest

from crowwinch.sharing import (
    UNLIMITED,
    Allowance,
    LimitReason,
    TargetLimits,
    TargetView,
)

_TARGET = TargetView(
    identifier="target", life=1, service="chat", is_local=True, slots=8
)


class _FixedLimit:
    """Gives the same answer for all targets and counts requests."""

    def __init__(self, allowance: Allowance, rate: float = math.inf) -> None:
        self._allowance = allowance
        self._rate = rate
        self.taken = 0

    def allowance(self, target: TargetView) -> Allowance:
        del target
        return self._allowance

    def rate_per_s(self, target: TargetView) -> float:
        del target
        return self._rate

    def take(self, target: str, life: int) -> None:
        del target, life
        self.taken += 1

    def give_back(self, target: str, life: int) -> None:
        del target, life
        self.taken -= 1


class TargetLimitsTest(unittest.TestCase):
    """Guards against a limit that another one hides."""

    def test_longest_wait(self) -> None:
        short = Allowance(0.2, LimitReason.RATE_LIMIT)
        long = Allowance(0.5, LimitReason.COLD)
        unknown = Allowance(math.inf, LimitReason.PACE)
        cases = {
            "no limit": ([], UNLIMITED),
            "nothing limited": ([UNLIMITED, UNLIMITED], UNLIMITED),
            "one": ([UNLIMITED, short], short),
            "longest first": ([long, short], long),
            "longest last": ([short, long], long),
            "unknown time": ([short, unknown, long], unknown),
        }
        for name, (allowances, expected) in cases.items():
            with self.subTest(name):
                limits = TargetLimits(
                    [_FixedLimit(each) for each in allowances]
                )
                self.assertEqual(limits.allowance(_TARGET), expected)

    def test_lowest_rate(self) -> None:
        limits = TargetLimits(
            [_FixedLimit(UNLIMITED, 3.0), _FixedLimit(UNLIMITED, 2.0)]
        )
        self.assertEqual(limits.rate_per_s(_TARGET), 2.0)
        self.assertEqual(TargetLimits([]).rate_per_s(_TARGET), math.inf)

    def test_every_limit_counts_a_request(self) -> None:
        parts = [_FixedLimit(UNLIMITED), _FixedLimit(UNLIMITED)]
        limits = TargetLimits(parts)
        limits.take("target", 1)
        limits.take("target", 1)
        limits.give_back("target", 1)
        self.assertEqual([part.taken for part in parts], [1, 1])

    def test_all_that_restrict_a_target_are_listed(self) -> None:
        short = Allowance(0.2, LimitReason.RATE_LIMIT)
        long = Allowance(0.5, LimitReason.COLD)
        limits = TargetLimits(
            [_FixedLimit(each) for each in (short, UNLIMITED, long)]
        )
        self.assertEqual(limits.allowances(_TARGET), [short, long])
