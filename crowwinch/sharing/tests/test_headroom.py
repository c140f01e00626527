"""Tests of the admission limits for requests over their share."""

import unittest

from crowwinch.sharing import Candidate, TargetView
from crowwinch.sharing._headroom import Claim, has_room

_ENGINE = TargetView("e", 0, "llm", False, 32, is_engine=True)


def _candidate(queue_s, own_s=0.1, use=0.1):
    return Candidate(
        target=_ENGINE,
        unread_tokens=1_000,
        reading_s=own_s,
        waiting_s=queue_s,
        reading_from_s=queue_s,
        reading_until_s=queue_s + own_s,
        queue_s=queue_s,
        forecast_s=queue_s + own_s,
        expected_s=queue_s + own_s,
        use=use,
        recompute_tokens=0,
        is_home=True,
        loss=0.0,
    )


def _claim(share_use):
    return Claim(share_use, 1.0, latency_s=0.8, waited_s=0.0)


class OverShareTest(unittest.TestCase):
    """Guards against uneven spare capacity and starved long prompts."""

    def test_queue_limit_decreases_with_share_use(self):
        """Otherwise the largest workspace takes most spare capacity."""
        candidate = _candidate(queue_s=0.25)
        self.assertTrue(has_room(candidate, _claim(1.2)))
        self.assertFalse(has_room(candidate, _claim(4.0)))

    def test_batch_limit_decreases_with_share_use(self):
        candidate = _candidate(queue_s=0.0, own_s=0.05, use=0.6)
        self.assertTrue(has_room(candidate, _claim(1.2)))
        self.assertFalse(has_room(candidate, _claim(4.0)))

    def test_idle_engine_accepts_long_prompt(self):
        """Uncapped, its prefill time alone exceeds the latency limit."""
        self.assertTrue(has_room(_candidate(0.0, own_s=1.5), _claim(1.2)))
        self.assertFalse(has_room(_candidate(0.4, own_s=1.5), _claim(1.2)))
