"""A UDP port over which gateways exchange msgpack messages of one type."""

import socket
from collections.abc import Callable, Iterable
from typing import Any

import gevent
import msgspec
from endive_node.logs import log_event
from endive_node.sockets import listen_udp
from gevent import socket as gsocket

MAX_DATAGRAM_BYTES = 65_535
RECEIVE_RETRY_S = 0.2
"""Pause after a failed receive call, seconds."""


class DatagramPort:
    """Sends messages, and passes received ones to a handler.

    Delivery is not guaranteed. A message that can't be decoded is logged and dropped.

    Parameters
    ----------
    subject : str
        Name of the exchange, for the log.
    decoder : msgspec.msgpack.Decoder
        Decodes received messages.
    handle : callable
        Called with each message and the IP address of its sender.
    """

    def __init__(
        self,
        subject: str,
        decoder: msgspec.msgpack.Decoder,
        handle: Callable[[Any, str], None],
    ) -> None:
        self.subject = subject
        self.decoder = decoder
        self.handle = handle
        self.encoder = msgspec.msgpack.Encoder()
        self.port = 0
        self.socket: socket.socket | None = None
        self.receiver: gevent.Greenlet | None = None

    def start(self, address: str, port: int) -> None:
        """Start receiving at ``address:port``; all nodes use the same port."""
        self.port = port
        udp = listen_udp(address, port)
        self.socket = gsocket.socket(
            socket.AF_INET, socket.SOCK_DGRAM, fileno=udp.detach()
        )
        self.receiver = gevent.spawn(self._receive_all)

    def stop(self) -> None:
        """Stop receiving and close the port."""
        self.receiver.kill()
        self.socket.close()

    def send(self, message: Any, addresses: Iterable[str]) -> None:
        """Send a message to the nodes at `addresses`, which are IP addresses.

        A send that fails is logged.
        """
        data = self.encoder.encode(message)
        for address in addresses:
            try:
                self.socket.sendto(data, (address, self.port))
            except OSError as error:
                log_event("not_told", subject=self.subject, peer=address, error=error)

    def _receive_all(self) -> None:
        while True:
            try:
                data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                log_event("not_received", subject=self.subject, error=error)
                gevent.sleep(RECEIVE_RETRY_S)
                continue
            try:
                message = self.decoder.decode(data)
            except msgspec.MsgspecError as error:
                log_event(
                    "rejected", subject=self.subject, source=source[0], error=error
                )
                continue
            self.handle(message, source[0])
