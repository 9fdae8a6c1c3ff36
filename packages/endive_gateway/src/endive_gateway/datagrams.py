"""A UDP port over which gateways exchange msgpack messages of one type."""

import socket
import time
from collections.abc import Callable, Iterable
from typing import Any

import gevent
import msgspec
from endive_node.logs import log_event, log_failure
from endive_node.sockets import listen_udp
from gevent.socket import wait_read, wait_write

from endive_gateway.decoding import decode_msgpack, is_ip_address
from endive_gateway.exceptions import UndecodableError
from endive_gateway.loops import keep_running
from endive_gateway.turns import WorkKind, end_turn

MAX_DATAGRAM_BYTES = 65_535
RECEIVE_RETRY_S = 0.2
"""Pause after a failed receive call, seconds."""

MAX_BATCH = 64
"""Datagrams handled before other greenlets run; one takes some 40 microseconds."""

LOG_INTERVAL_S = 1.0
"""Least time between two log lines on messages that were dropped, seconds. Anyone may
send any number of them."""


class DatagramPort:
    """Sends messages, and passes received ones to a handler.

    Delivery is not guaranteed. A message that can't be decoded or handled is dropped
    and logged, and later ones are received.

    Parameters
    ----------
    subject : str
        Name of the exchange, for the log.
    decoder : msgspec.msgpack.Decoder
        Decodes received messages.
    handle : callable
        Called with each message and the IP address of its sender.

    Attributes
    ----------
    pause_s : float
        Time for which nothing is received after each batch, seconds. The datagrams that
        arrive meanwhile are handled together: most of the processor time of a small
        datagram that arrives alone is that of waking up for it.
    dropped : int
        Messages that were dropped since the last log line on one.
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
        self.pause_s = 0.0
        self.dropped = 0
        self.next_log_at = 0.0
        self.port = 0
        self.socket: socket.socket | None = None
        self.receiver: gevent.Greenlet | None = None

    def start(self, address: str, port: int) -> None:
        """Start receiving at ``address:port``; all nodes use the same port."""
        self.port = port
        self.socket = listen_udp(address, port)
        self.socket.setblocking(False)
        self.receiver = gevent.spawn(keep_running, self._receive_all)

    def stop(self) -> None:
        """Stop receiving and close the port."""
        self.receiver.kill()
        self.socket.close()

    def send(self, message: Any, addresses: Iterable[str]) -> None:
        """Send a message to the nodes at `addresses`, which are IP addresses.

        A send that fails is logged, as is an address that is none: the resolver would
        be asked for its name, and hold up all greenlets.
        """
        data = self.encoder.encode(message)
        for address in addresses:
            try:
                if not is_ip_address(address):
                    raise OSError("not an IPv4 address")
                self._send_data(data, address)
            except OSError as error:
                log_event("not_told", subject=self.subject, peer=address, error=error)

    def _send_data(self, data: bytes, address: str) -> None:
        while True:
            try:
                self.socket.sendto(data, (address, self.port))
            except BlockingIOError:
                wait_write(self.socket.fileno())
            else:
                return

    def _receive_all(self) -> None:
        while True:
            wait_read(self.socket.fileno())
            while self._receive_batch() == MAX_BATCH:
                end_turn(WorkKind.MESSAGES)
            if self.pause_s:
                gevent.sleep(self.pause_s)

    def _receive_batch(self) -> int:
        """Handle up to `MAX_BATCH` datagrams that have arrived; return their number."""
        for number in range(MAX_BATCH):
            try:
                data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return number
            except OSError as error:
                log_event("not_received", subject=self.subject, error=error)
                gevent.sleep(RECEIVE_RETRY_S)
                return number
            self._handle_datagram(data, source[0])
        return MAX_BATCH

    def _handle_datagram(self, data: bytes, source: str) -> None:
        try:
            message = decode_msgpack(data, self.decoder)
        except UndecodableError as error:
            self._note_dropped("rejected", log_event, source, error)
            return
        try:
            self.handle(message, source)
        except Exception as error:
            self._note_dropped("message_failed", log_failure, source, repr(error))

    def _note_dropped(
        self, event: str, log: Callable[..., None], source: str, error: object
    ) -> None:
        self.dropped += 1
        if time.monotonic() < self.next_log_at:
            return
        self.next_log_at = time.monotonic() + LOG_INTERVAL_S
        dropped, self.dropped = self.dropped, 0
        log(event, subject=self.subject, source=source, error=error, dropped=dropped)
