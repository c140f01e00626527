"""How full a target may be for requests beyond their share."""

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
        queue_s=queue_s,
        forecast_s=queue_s + own_s,
        expected_s=queue_s + own_s,
        use=use,
        read_again=0,
        is_home=True,
        loss=0.0,
    )


def _claim(share_use):
    return Claim(share_use, 1.0, latency_s=0.8, waited_s=0.0)


class BeyondShareTest(unittest.TestCase):
    """Guards against unequal rests and against long prompts left out."""

    def test_the_queue_shrinks_with_the_use_of_the_share(self):
        """The workspace that asked most got most of what was left over."""
        candidate = _candidate(queue_s=0.25)
        self.assertTrue(has_room(candidate, _claim(1.2)))
        self.assertFalse(has_room(candidate, _claim(4.0)))

    def test_the_batch_shrinks_with_the_use_of_the_share(self):
        candidate = _candidate(queue_s=0.0, own_s=0.05, use=0.6)
        self.assertTrue(has_room(candidate, _claim(1.2)))
        self.assertFalse(has_room(candidate, _claim(4.0)))

    def test_a_long_prompt_finds_room_at_an_idle_engine(self):
        """Its own reading alone was over the limit beyond a share."""
        self.assertTrue(has_room(_candidate(0.0, own_s=1.5), _claim(1.2)))
        self.assertFalse(has_room(_candidate(0.4, own_s=1.5), _claim(1.2)))
