"""Start-up of the fleet of stand-ins."""

import socket
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

    def test_a_port_in_use_on_another_address_is_not_free(self):
        """Guards against routers that exit since another fleet has their port.

        The routers of a fleet listen on addresses of their own.
        """
        with socket.create_server(("127.0.1.1", 0)) as server:
            used = server.getsockname()[1]
            drawn = iter([used, 20_001])
            with mock.patch.object(
                processes.random, "randrange", lambda *_: next(drawn)
            ):
                port = processes.free_port()
        self.assertEqual(port, 20_001)
