"""Tests of routers in front of a target that starts and changes."""

import logging
import unittest

from crowwinch.sharing.tests.pace_model import SLOTS, PaceModel

_RUN_S = 14.0
_SIZES = (1, 8, 77)


def _rising(age_s):
    return 4 + 28 * min(age_s / 10.0, 1.0)


def _jumping(age_s):
    return 4 if age_s < 6.0 else 30


def _falling(age_s):
    return 20 if age_s < 6.0 else 6


def _small(age_s):
    return 4


def _whole(age_s):
    return SLOTS


_CAPACITIES = (_rising, _jumping, _falling, _small)


class PacedFleetTest(unittest.TestCase):
    """Guards against a flood of a target that starts, and against its idling.

    100 requests per second come for a target that runs each for 0.5 s.
    """

    def setUp(self):
        logging.disable(logging.INFO)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _run(self, size, capacity, **options):
        return PaceModel(size, capacity, **options).run(_RUN_S)

    def test_target_that_queues_what_it_cannot_hold(self):
        """Guards against a queue of all routers' requests at the target.

        Without the rule 26 to 28 requests of one router and 180 to 201 of 8 and
        of 77 are there beyond its capacity.
        """
        for size in _SIZES:
            for capacity in _CAPACITIES:
                with self.subTest(size=size, capacity=capacity.__name__):
                    paced = self._run(size, capacity, refuses=False)
                    free = self._run(
                        size, capacity, refuses=False, is_paced=False
                    )
                    # A fall from 20 to 6 leaves 14 more than it can hold.
                    bound = 20 if capacity is _falling else 12
                    self.assertLessEqual(paced.overshoot, bound)
                    self.assertGreater(free.overshoot, bound)
                    self.assertGreaterEqual(paced.served, 0.8 * free.served)

    def test_target_that_refuses_what_it_cannot_hold(self):
        """Guards against refusals, which callers wait for in vain.

        Without the rule 841 to 1,486 requests are refused.
        """
        for size in _SIZES:
            for capacity in _CAPACITIES:
                with self.subTest(size=size, capacity=capacity.__name__):
                    paced = self._run(size, capacity)
                    free = self._run(size, capacity, is_paced=False)
                    bound = 250 if capacity is _falling else 30
                    self.assertLessEqual(paced.refused, bound)
                    self.assertGreater(free.refused, bound)
                    self.assertGreaterEqual(paced.served, 0.5 * free.served)

    def test_target_that_is_at_once_at_its_capacity(self):
        """Guards against a pace that is too slow for a target that is well."""
        for size in _SIZES:
            with self.subTest(size):
                paced = self._run(size, _whole)
                self.assertEqual(paced.refused, 0)
                self.assertLess(paced.reached_s, 2.5)

    def test_most_requests_at_one_router(self):
        """Guards against a window in equal parts where demand is not equal.

        One of 77 routers gets 41% of the requests.
        """
        weights = [0.41 / 0.59 * 76] + [1.0] * 76
        paced = self._run(77, _rising, weights=weights, refuses=False)
        free = self._run(
            77, _rising, weights=weights, refuses=False, is_paced=False
        )
        self.assertLessEqual(paced.overshoot, 12)
        self.assertGreater(free.overshoot, 100)
        self.assertGreaterEqual(paced.served, 0.8 * free.served)
