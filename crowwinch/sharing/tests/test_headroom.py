"""Tests of the admission limits for requests over their share."""

import unittest

from crowwinch.sharing import Candidate, TargetView
from crowwinch.sharing._claim import Claim
from crowwinch.sharing._headroom import has_room, use_limit

_ENGINE = TargetView("e", 0, "llm", False, 32, is_engine=True)


def _candidate(queue_s, own_s=0.1, use=0.1, recompute_tokens=0):
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
        recompute_tokens=recompute_tokens,
        is_home=True,
        loss=0.0,
    )


def _claim(
    share_use,
    prior_wait_s=0.0,
    relative_use=1.0,
    is_contended=False,
    lead=0.0,
):
    return Claim(
        share_use,
        relative_use,
        latency_s=0.8,
        waited_s=0.0,
        prior_wait_s=prior_wait_s,
        is_contended=is_contended,
        lead=lead,
    )


class LeadTest(unittest.TestCase):
    """Guards against workspaces that take the room of others that wait."""

    def test_limits_fall_with_the_lead(self):
        """The engine is half full, and its queue takes half of the time."""
        candidate = _candidate(queue_s=0.3, use=0.5)
        for share_use in (0.8, 1.2):
            for lead, expected in ((0.0, True), (1.1, True), (2.0, False)):
                with self.subTest(share_use=share_use, lead=lead):
                    claim = _claim(share_use, relative_use=0.9, lead=lead)
                    self.assertIs(has_room(candidate, claim), expected)

    def test_large_workspace_that_is_behind_is_not_held_back(self):
        candidate = _candidate(queue_s=0.3, use=0.5)
        for lead, expected in ((0.5, True), (0.0, False), (1.0, False)):
            with self.subTest(lead=lead):
                claim = _claim(0.5, relative_use=3.0, lead=lead)
                self.assertIs(has_room(candidate, claim), expected)

    def test_workspace_that_is_behind_is_not_held_back_by_its_share(self):
        """Guards against a configured capacity of half of what is served."""
        candidate = _candidate(queue_s=0.3, use=0.8)
        for lead, expected in ((0.8, True), (0.0, False), (1.0, False)):
            with self.subTest(lead=lead):
                claim = _claim(2.3, relative_use=3.0, lead=lead)
                self.assertIs(has_room(candidate, claim), expected)
                self.assertIs(use_limit(claim) > candidate.use, expected)


class ReturningCallerTest(unittest.TestCase):
    """Guards against refusing callers whose answers can still be in time.

    The time that a caller had waited before was taken for a queue, whose limit
    is short beyond the share.
    """

    def test_answer_that_can_be_in_time(self):
        candidate = _candidate(queue_s=0.05, use=0.4)
        self.assertTrue(has_room(candidate, _claim(2.0, prior_wait_s=0.5)))

    def test_answer_that_would_be_late(self):
        candidate = _candidate(queue_s=0.05, use=0.4)
        self.assertFalse(has_room(candidate, _claim(2.0, prior_wait_s=0.7)))

    def test_idle_engine_is_used(self):
        candidate = _candidate(queue_s=0.0, use=0.05)
        self.assertTrue(has_room(candidate, _claim(1.2, prior_wait_s=0.7)))


class WithinShareTest(unittest.TestCase):
    """Guards against answers that are late because of an optimistic limit."""

    def test_forecast_leaves_time_for_its_error(self):
        """Otherwise about half of the answers at the limit are late."""
        claim = _claim(0.5)
        self.assertTrue(has_room(_candidate(0.5), claim))
        self.assertFalse(has_room(_candidate(0.6), claim))

    def test_long_prompt_goes_to_an_idle_engine(self):
        """Its forecast exceeds the target latency at any engine."""
        claim = _claim(0.5)
        self.assertTrue(has_room(_candidate(0.01, own_s=1.0), claim))
        self.assertFalse(has_room(_candidate(0.1, own_s=1.0), claim))


class LateAnswerTest(unittest.TestCase):
    """Guards against late answers in slots that others need for timely ones."""

    def test_large_workspace_needs_a_nearly_empty_batch_while_others_wait(self):
        claim = _claim(0.5, 1.0, relative_use=2.0, is_contended=True)
        self.assertTrue(has_room(_candidate(0.0, use=0.1), claim))
        self.assertFalse(has_room(_candidate(0.0, use=0.5), claim))

    def test_large_workspace_uses_free_slots_that_nobody_waits_for(self):
        """Guards against idle capacity while a late caller waits."""
        claim = _claim(0.5, prior_wait_s=1.0, relative_use=2.0)
        self.assertTrue(has_room(_candidate(0.0, use=0.7), claim))

    def test_nearly_full_batch_is_kept_for_answers_in_time(self):
        """Guards against late answers while others wait at other routers."""
        claim = _claim(0.5, prior_wait_s=1.0, relative_use=2.0)
        self.assertFalse(has_room(_candidate(0.0, use=0.9), claim))

    def test_small_workspace_needs_a_short_queue_only(self):
        claim = _claim(0.5, prior_wait_s=1.0, relative_use=0.5)
        self.assertTrue(has_room(_candidate(0.0, use=0.5), claim))


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
