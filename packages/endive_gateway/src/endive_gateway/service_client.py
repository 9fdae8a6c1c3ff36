"""HTTP client for a service that all nodes call, with paced calls.

It uses the gateway's own HTTP connections, which are loaded anyway. ``urllib3``, with
the TLS and e-mail modules that it imports, took 35 ms of the 150 ms in which the
libraries load. If all nodes restart at the same time, no caller is served meanwhile.
"""

from collections import deque
from dataclasses import dataclass
from time import monotonic
from urllib.parse import urlencode

import gevent
from endive_core.call_pacing import CallPacing
from endive_core.response_times import MAX_TIMEOUT_S, ResponseTimes
from gevent.event import Event

from endive_gateway.connections import Connection
from endive_gateway.exceptions import (
    CallFailedError,
    CallHeldBackError,
    CallTimedOutError,
    ConnectionBrokenError,
)
from endive_gateway.http import encode_head
from endive_gateway.response_parser import ResponseMessage
from endive_gateway.tcp import PLATFORM_SILENCE_TIMEOUT_S, TcpStream


@dataclass(frozen=True)
class CallResponse:
    """The service's response to a call."""

    status: int
    data: bytes


class ServiceClient:
    """Client for one address, which reuses its connections.

    Parameters
    ----------
    least_timeout_s : float
        Time-out of a response while responses are quick, seconds, in addition to the
        time that a call asks the service to wait.
    keeps_bodies : bool
        Whether the bodies of responses are read; else they are dropped as they come,
        and responses have none.

    Attributes
    ----------
    pacing : CallPacing
        Decides when a call may start. Calls that ask the service to wait are not
        counted.
    call_ended : Event
        Set when a call ends, for those that wait until they may start.
    response_times : ResponseTimes
        How long the service takes to respond, from which the time-out follows.
    late_exchange : Greenlet or None
        A call that was given up, and whose response is still awaited to learn how long
        it takes. A service that has fallen silent never sends it; a slow one does.
    """

    def __init__(
        self, address: str, least_timeout_s: float, *, keeps_bodies: bool = True
    ) -> None:
        self.address = address
        self.least_timeout_s = least_timeout_s
        self.keeps_bodies = keeps_bodies
        self.idle_connections: deque[Connection] = deque()
        self.pacing = CallPacing()
        self.call_ended = Event()
        self.response_times = ResponseTimes()
        self.late_exchange: gevent.Greenlet | None = None

    def call(
        self,
        method: str,
        path: str,
        *,
        query: dict | None = None,
        body: bytes = b"",
        headers: dict | None = None,
        wait_s: float = 0.0,
    ) -> CallResponse:
        """Send a request and return the response; raises :class:`CallFailedError`.

        The request may ask the service to wait for `wait_s` seconds, which are added
        to the time-out.
        """
        if query:
            path = f"{path}?{urlencode(query)}"
        lines = [(b"Host", self.address.encode())]
        lines += [(name.encode(), v.encode()) for name, v in (headers or {}).items()]
        lines.append((b"Content-Length", b"%d" % len(body)))
        head = encode_head(f"{method} {path} HTTP/1.1".encode(), lines)
        if wait_s:
            return self._send(head, body, wait_s)
        self._await_turn()
        return self._send_paced(head, body)

    def _await_turn(self) -> None:
        """Wait until a call may start; fail at once while the service is silent."""
        end = monotonic() + self.least_timeout_s
        while not self.pacing.may_start(monotonic()):
            left_s = end - monotonic()
            if self.pacing.is_probing or left_s <= 0:
                raise CallHeldBackError
            self.call_ended.clear()
            self.call_ended.wait(left_s)

    def _send_paced(self, head: bytes, body: bytes) -> CallResponse:
        started_at = monotonic()
        self.pacing.start(started_at)
        try:
            response = self._send(head, body, 0.0)
        except CallTimedOutError:
            self.pacing.time_out(started_at, monotonic())
            raise
        except BaseException:
            self.pacing.end()
            raise
        finally:
            self.call_ended.set()
        self.pacing.answer()
        return response

    def _send(self, head: bytes, body: bytes, wait_s: float) -> CallResponse:
        try:
            connection = self._acquire_connection()
        except ConnectionBrokenError as error:
            raise CallFailedError(str(error), sent=error.sent) from None
        return self._await_response(connection, head, body, wait_s)

    def _acquire_connection(self) -> Connection:
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.is_reusable(monotonic()):
                return connection
            connection.close()
        stream = TcpStream.connect(
            self.address, silence_timeout_s=PLATFORM_SILENCE_TIMEOUT_S
        )
        return Connection(stream)

    def _await_response(
        self, connection: Connection, head: bytes, body: bytes, wait_s: float
    ) -> CallResponse:
        sent_at = monotonic()
        exchange = gevent.spawn(self._exchange, connection, head, body, wait_s)
        exchange.rawlink(lambda ended: _close_if_killed(ended, connection))
        try:
            while not exchange.ready():
                left_s = sent_at + self._timeout_s() + wait_s - monotonic()
                if left_s <= 0:
                    break
                exchange.join(left_s)
        except BaseException:
            exchange.kill(block=False)
            raise
        if not exchange.ready():
            self._give_up(exchange, observe=not wait_s)
            raise CallTimedOutError("response timed out", sent=True)
        if isinstance(exchange.value, ConnectionBrokenError):
            raise CallFailedError(str(exchange.value), sent=exchange.value.sent)
        return exchange.value

    def _timeout_s(self) -> float:
        return self.response_times.timeout_s(self.least_timeout_s)

    def _give_up(self, exchange: gevent.Greenlet, *, observe: bool) -> None:
        """Close a call's connection, but observe one call at a time a little longer."""
        if observe and (self.late_exchange is None or self.late_exchange.ready()):
            self.late_exchange = exchange
            gevent.spawn_later(MAX_TIMEOUT_S, exchange.kill, block=False)
        else:
            exchange.kill(block=False)

    def _exchange(
        self, connection: Connection, head: bytes, body: bytes, wait_s: float
    ) -> CallResponse | ConnectionBrokenError:
        """Return the response, or the error that prevented one; runs in a greenlet."""
        sent_at = monotonic()
        try:
            connection.send(head, body)
            message = connection.next_message()
            response = CallResponse(message.status, self._read(connection, message))
        except ConnectionBrokenError as error:
            connection.close()
            return error
        except BaseException:
            connection.close()
            raise
        if not wait_s:
            self.response_times.record(monotonic() - sent_at)
            if gevent.getcurrent() is self.late_exchange:
                self.pacing.answer_late()
        if connection.finish(message):
            self.idle_connections.append(connection)
        else:
            connection.close()
        return response

    def _read(self, connection: Connection, message: ResponseMessage) -> bytes:
        if self.keeps_bodies:
            return connection.read_all(message)
        connection.skip_body(message)
        return b""


def _close_if_killed(exchange: gevent.Greenlet, connection: Connection) -> None:
    """Close the connection of a killed exchange, which may not have begun."""
    if isinstance(exchange.value, gevent.GreenletExit):
        connection.close()
