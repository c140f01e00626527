"""Tests of refusals that need no ticket."""

import unittest

from crowwinch.sharing import Ticket, Verdict, Work, WorkspaceUse
from crowwinch.sharing.tests.support import SLOTS, Simulation

_WAITING = 8


def _work(workspace="large"):
    return Work("llm", workspace, prompt_tokens=1_000, target_latency_s=1.0)


class CertainRefusalTest(unittest.TestCase):
    """Guards against refusals that differ from those of the queue.

    Load: one workspace sends far more than its share to one router, which
    refuses most of its requests.
    """

    def _simulate(self, waiting, is_over_share):
        simulation = Simulation(1, 1_000 if is_over_share else 1e9)
        for _ in range(SLOTS):
            simulation.loads.reserve("e0", 0.0)
        for _ in range(waiting):
            simulation.admission.submit(
                Ticket(_work(), 0.0, 15.0, lambda _: None)
            )
        simulation.shares.record_demand("large", 1e6)
        simulation.shares.record_usage("large", 1e5)
        simulation.shares.refresh()
        return simulation

    def test_same_decision_as_that_of_a_ticket(self):
        # Requests that wait, whether their workspace is over its share, the
        # workspace of the new request, whether it is taken up, and whether it
        # is refused at once.
        cases = {
            "queue full, over share": (_WAITING, True, "large", False, True),
            "queue has room": (_WAITING - 1, True, "large", False, False),
            "nothing waits": (0, True, "large", False, False),
            "within share": (_WAITING, False, "large", False, False),
            "another workspace": (_WAITING, True, "small", False, False),
            "taken up": (_WAITING, True, "large", True, False),
        }
        for name, case in cases.items():
            waiting, is_over, workspace, is_taken_up, is_refused = case
            with self.subTest(name):
                simulation = self._simulate(waiting, is_over)
                admission = simulation.admission
                early = admission.certain_refusal(
                    _work(workspace), 15.0, is_taken_up
                )
                self.assertEqual(early is not None, is_refused)
                self.assertEqual(admission.waiting, waiting)
                decisions = []
                admission.submit(
                    Ticket(
                        _work(workspace),
                        0.0,
                        15.0,
                        decisions.append,
                        is_taken_up=is_taken_up,
                    )
                )
                self.assertEqual(len(decisions), is_refused)
                if early is not None:
                    self.assertIs(early.verdict, Verdict.REFUSE_OVER_SHARE)
                    self.assertIs(early.verdict, decisions[0].verdict)
                    self.assertGreater(early.retry_after_s, 0.0)

    def test_workspace_that_is_behind_is_not_refused_unseen(self):
        """Guards against refusals by a capacity that is configured too low.

        All callers of a workspace come to this router. It is over its share of
        the configured capacity, but another one gets four times as much.
        """
        simulation = self._simulate(_WAITING, is_over_share=True)
        simulation.shares.replace_peer_report(
            "peer", [WorkspaceUse("spread", 1e6, 4e5)]
        )
        simulation.shares.refresh()
        self.assertGreater(simulation.shares.use_of_share("large", 1), 1.0)
        decisions = []
        for _ in range(2):
            admission = simulation.admission
            self.assertIsNone(
                admission.certain_refusal(_work(), 15.0, is_taken_up=False)
            )
            admission.submit(Ticket(_work(), 0.0, 15.0, decisions.append))
        self.assertEqual(decisions, [])

    def test_number_of_waiting_requests_is_limited(self):
        """Guards against a poll that looks at hundreds of requests."""
        simulation = self._simulate(4 * _WAITING, is_over_share=True)
        simulation.shares.replace_peer_report(
            "peer", [WorkspaceUse("spread", 1e6, 4e5)]
        )
        simulation.shares.refresh()
        refusal = simulation.admission.certain_refusal(
            _work(), 15.0, is_taken_up=False
        )
        self.assertIsNotNone(refusal)


if __name__ == "__main__":
    unittest.main()
