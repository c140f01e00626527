"""Admits only holders of the fleet's key (ZAP, ZeroMQ RFC 27)."""

import asyncio

import zmq
from zmq.utils import z85

_ENDPOINT = "inproc://zeromq.zap.01"
_VERSION = b"1.0"


class FleetAuthenticator:
    """Answers the library's questions about connecting clients.

    A CURVE server without such a handler accepts every client that knows the
    server's public key.
    """

    def __init__(self, context: zmq.Context, public_key: str) -> None:
        """Binds the handler; sockets bound later use it.

        Args:
            context: Context of the sockets to protect.
            public_key: The only accepted client key, as Z85 text.
        """
        self._accepted = z85.decode(public_key.encode())
        self._socket = context.socket(zmq.REP)
        self._socket.linger = 0
        self._socket.bind(_ENDPOINT)
        self._refused = 0
        self._asked = 0

    @property
    def asked(self) -> int:
        """Connections that were admitted or refused."""
        return self._asked

    @property
    def refused(self) -> int:
        """Connections that were refused."""
        return self._refused

    def start(self) -> None:
        """Starts to answer on the running event loop."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self.answer)
        self.answer()

    def stop(self) -> None:
        """Stops to answer."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def answer(self) -> None:
        """Answers all questions that wait.

        The descriptor is edge-triggered, and sending can consume an edge, so
        the socket is read until it is empty.
        """
        while True:
            try:
                question = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            accepted = (
                len(question) == 7
                and question[0] == _VERSION
                and question[5] == b"CURVE"
                and question[6] == self._accepted
            )
            self._asked += 1
            self._refused += not accepted
            status = (b"200", b"OK") if accepted else (b"400", b"unknown key")
            number = question[1] if len(question) > 1 else b""
            self._socket.send_multipart([_VERSION, number, *status, b"", b""])
