"""Passes datagrams between routers on, but for those of routers cut off."""

import selectors
import socket
import threading
from collections.abc import Mapping

_MAX_DATAGRAM_BYTES = 65_536
_POLL_S = 0.2


class DatagramRelay:
    """Listens at one address for each router and forwards to its own address.

    A router that is cut off neither sends nor receives.
    """

    def __init__(self, addresses: Mapping[str, str], port: int) -> None:
        """Opens the sockets and starts to forward.

        Args:
            addresses: Address of each router by the address that stands for it.
            port: Port of all of them.

        Raises:
            OSError: If an address is in use.
        """
        self._port = port
        self._cut: frozenset[str] = frozenset()
        self._is_stopping = False
        self._selector = selectors.DefaultSelector()
        for relayed, address in addresses.items():
            listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            listener.bind((relayed, port))
            listener.setblocking(False)
            self._selector.register(listener, selectors.EVENT_READ, address)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def set_cut(self, addresses: frozenset[str]) -> None:
        """Sets the routers that are cut off, by their own addresses."""
        self._cut = addresses

    def stop(self) -> None:
        """Stops forwarding and closes the sockets."""
        self._is_stopping = True
        self._thread.join()
        for key in tuple(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()

    def _run(self) -> None:
        while not self._is_stopping:
            for key, _ in self._selector.select(_POLL_S):
                self._forward(key.fileobj, key.data)

    def _forward(self, listener: socket.socket, address: str) -> None:
        try:
            datagram, sender = listener.recvfrom(_MAX_DATAGRAM_BYTES)
            if not {address, sender[0]} & self._cut:
                listener.sendto(datagram, (address, self._port))
        except OSError:
            # The router does not run, or its buffer is full.
            return
