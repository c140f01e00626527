"""Start-up of the fleet of stand-ins."""

import unittest
from unittest import mock

from standins import processes


class PortsTest(unittest.TestCase):
    """Guards against two routers of a fleet that get one port."""

    def test_ports_differ(self):
        drawn = iter([20_000, 20_000, 20_001, 20_001, 20_002])
        with (
            mock.patch.object(
                processes.random, "randrange", lambda *_: next(drawn)
            ),
            mock.patch.object(processes.socket, "socket"),
        ):
            ports = processes.free_ports(3)
        self.assertEqual(ports, [20_000, 20_001, 20_002])
