"""A gateway process whose clients try to exhaust it.

The tests check only what does not depend on the speed of the machine.
"""

import threading
import unittest
from collections.abc import Sequence

from tests.platform_fleet import PlatformFleet, configuration, wait_for
from tests.untrusted_clients import (
    FORMS,
    Address,
    ResourceWatch,
    run_untrusted_clients,
)

# What the settings of the router say; also the bounds that it must keep.
_MEMORY_MB = 100
_DESCRIPTORS = 300
_HEADER_BYTES = 16_384
_HEADER_TIMEOUT_MS = 3_000
# 48 heads of 120 fields take 86 MB, beside 50 MB of an idle router.
_CLIENTS = 48
# More connections than the descriptors that the router may use.
_SILENT_CLIENTS = 480
_SECONDS = 5.0
# Time in which a router serves again; it does not tell its speed.
_SERVED_WITHIN_S = 20.0


class UntrustedClientTest(unittest.TestCase):
    """Guards against clients that end a router or fill its memory (LOST)."""

    def setUp(self):
        self.fleet = PlatformFleet(1)
        self.fleet.memory_mb = _MEMORY_MB
        self.fleet.max_descriptors = _DESCRIPTORS
        self.fleet.configuration = configuration(
            3,
            Limits={
                "MaxHeaderBytes": _HEADER_BYTES,
                "HeaderTimeoutMs": _HEADER_TIMEOUT_MS,
            },
        )
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def _play(
        self,
        forms: Sequence[str],
        addresses: Sequence[Address],
        clients: int = _CLIENTS,
    ) -> None:
        router = self.fleet.routers[0]
        with ResourceWatch(router, _MEMORY_MB * 1_000_000) as watch:
            crowd = threading.Thread(
                target=run_untrusted_clients,
                args=(addresses, forms, clients, _SECONDS),
            )
            crowd.start()
            crowd.join()
        peak = watch.peak
        print(
            f"{', '.join(forms)}: {peak.memory_bytes / 1e6:.0f} MB, "
            f"{peak.descriptors} descriptors, "
            f"exit {router.handle.poll()}",
            flush=True,
        )
        self.assertIsNone(router.handle.poll(), peak)
        self.assertLessEqual(peak.memory_bytes, _MEMORY_MB * 1_000_000)
        self.assertLessEqual(peak.descriptors, _DESCRIPTORS)
        wait_for(
            lambda: self.fleet.ask(0, "/look/x")[0] == 200,
            "no ordinary request is served",
            _SERVED_WITHIN_S,
        )
        self.assertTrue(self.fleet.is_ready(0))
        self.assertIn("crowwinch_ready", self.fleet.metrics(0))

    def _play_at_callers(self, form: str, clients: int = _CLIENTS) -> None:
        self._play([form], [self.fleet.caller_address(0)], clients)

    def test_head_of_many_large_fields(self):
        self._play_at_callers("large fields")

    def test_field_without_end(self):
        self._play_at_callers("endless field")

    def test_request_line_without_end(self):
        self._play_at_callers("endless request line")

    def test_trailers_without_end(self):
        self._play_at_callers("endless trailers")

    def test_empty_lines_without_end(self):
        self._play_at_callers("empty lines")

    def test_tiny_fields(self):
        self._play_at_callers("tiny fields")

    def test_chunk_extensions_without_end(self):
        self._play_at_callers("chunk extensions")

    def test_responses_that_nobody_reads(self):
        self._play_at_callers("unread responses")

    def test_body_that_is_announced_and_never_sent(self):
        self._play_at_callers("announced body")

    def test_connections_that_send_nothing(self):
        self._play_at_callers("silence", _SILENT_CLIENTS)

    def test_all_forms_at_once(self):
        self._play(list(FORMS), [self.fleet.caller_address(0)])

    def test_status_addresses(self):
        """Guards against addresses of operators without limits."""
        for form in FORMS:
            with self.subTest(form=form):
                # The figures of each form are those of a process of its own.
                self.fleet.routers[0].kill()
                self.fleet.start_router(0)
                self.fleet.wait_ready([0])
                self._play(
                    [form],
                    self.fleet.status_addresses(0),
                    _SILENT_CLIENTS if form == "silence" else _CLIENTS,
                )

    def test_all_forms_at_all_addresses(self):
        self._play(
            list(FORMS),
            [
                self.fleet.caller_address(0),
                *self.fleet.status_addresses(0),
            ],
        )


if __name__ == "__main__":
    unittest.main()
