"""A `crowwinch router` process whose clients try to exhaust it."""

import sys
import threading
import unittest

from standins import fleet as demo
from standins.processes import Fleet, call
from tests.platform_fleet import wait_for
from tests.untrusted_clients import (
    FORMS,
    ResourceWatch,
    run_untrusted_clients,
)

# Memory that the router may use when idle with all workspaces, and a quarter.
_MEMORY_BYTES = 80_000_000
# What the process is told, and less than that.
_DESCRIPTOR_LIMIT = 300
_DESCRIPTORS = 290
_CLIENTS = 48
_SILENT_CLIENTS = 480
_SECONDS = 5.0
_SERVED_WITHIN_S = 20.0
_BODY = b'{"model": "menu-model", "messages": [], "max_tokens": 4}'


class UntrustedRouterClientTest(unittest.TestCase):
    """Guards against clients that end a router or fill its memory."""

    def setUp(self):
        command = (
            "sh",
            "-c",
            f'ulimit -n {_DESCRIPTOR_LIMIT}; exec "$0" "$@"',
            sys.executable,
            "-m",
            "crowwinch",
        )
        self.fleet = Fleet(router_command=command)
        self.addCleanup(self.fleet.stop)
        demo.start_all(self.fleet, 1)

    def _addresses(self):
        router = self.fleet.routers[0]
        return [
            (host, int(port))
            for host, port in (
                url.removeprefix("http://").rsplit(":", 1)
                for url in (router.url, router.operator_url)
            )
        ]

    def _is_served(self) -> bool:
        headers = {"Authorization": "Bearer key-supplier"}
        url = f"{self.fleet.routers[0].url}/v1/chat/completions"
        try:
            return call("POST", url, _BODY, headers)[0] == 200
        except OSError:
            return False

    def _play(self, forms, clients=_CLIENTS):
        wait_for(self._is_served, "no request is served before")
        router = self.fleet.routers[0]
        with ResourceWatch(router, _MEMORY_BYTES) as watch:
            crowd = threading.Thread(
                target=run_untrusted_clients,
                args=(self._addresses(), forms, clients, _SECONDS),
            )
            crowd.start()
            crowd.join()
        peak = watch.peak
        print(
            f"{', '.join(forms)}: {peak.memory_bytes / 1e6:.0f} MB, "
            f"{peak.descriptors} descriptors, exit {router.handle.poll()}",
            flush=True,
        )
        self.assertIsNone(router.handle.poll(), peak)
        self.assertLessEqual(peak.memory_bytes, _MEMORY_BYTES)
        self.assertLessEqual(peak.descriptors, _DESCRIPTORS)
        wait_for(
            self._is_served, "no ordinary request is served", _SERVED_WITHIN_S
        )

    def test_head_of_many_large_fields(self):
        self._play(["large fields"])

    def test_field_without_end(self):
        self._play(["endless field"])

    def test_request_line_without_end(self):
        self._play(["endless request line"])

    def test_trailers_without_end(self):
        self._play(["endless trailers"])

    def test_responses_that_nobody_reads(self):
        self._play(["unread responses"])

    def test_connections_that_send_nothing(self):
        self._play(["silence"], _SILENT_CLIENTS)

    def test_all_forms_at_once(self):
        self._play(list(FORMS))


if __name__ == "__main__":
    unittest.main()
