"""HTTP clients for backend servers: model engines and plain services."""

from collections.abc import Iterator
from dataclasses import dataclass

import gevent
import msgspec
import urllib3
from endive_core.exceptions import RetryReason
from endive_core.messages import Piece, Request

from endive_node.checked_http import open_pools, read_body
from endive_node.interfaces import BackendError
from endive_node.platform import CONNECT_ERRORS
from endive_node.settings import BackendSection

EVENT_END = b"\n\n"
EVENT_START = b"data: "
DONE = b"[DONE]"
READ_BYTES = 65_536
COMMAND_TIMEOUT_S = 1.0
"""Time-out, in seconds, of a command about one stream, and of a load request. A
reclaim notice lasts about three seconds."""

MAX_EVENT_BYTES = 262_144
"""Largest event of an engine, bytes."""

RESPONSE_END_TIMEOUT_S = 0.05
"""Seconds to wait for the end of a response after its last piece. Engines write both
together; waiting longer costs more than a new connection."""

LISTEN_CHECKS = 5
LISTEN_CHECK_PAUSE_S = 0.05
"""Seconds; with LISTEN_CHECKS a quarter of a second in all. A process that has died
has closed its port by then, and a request whose stream broke can wait that long for
its next attempt."""


class Delta(msgspec.Struct):
    """The text of a chat event."""

    content: str = ""


class Choice(msgspec.Struct):
    """The single choice of an engine's event."""

    text: str = ""
    delta: Delta | None = None
    finish_reason: str | None = None


class EngineEvent(msgspec.Struct):
    """One event of an engine's stream; the format is in docs/STANDINS.md.

    Attributes
    ----------
    id : str
        Request id.
    attempt : int
        Number of the attempt that the event belongs to, from 0.
    index : int
        Index of the event's token in the whole response.
    """

    id: str
    attempt: int
    index: int
    choices: list[Choice]


_event_decoder = msgspec.json.Decoder(EngineEvent)


@dataclass(frozen=True)
class PlainResponse:
    """Complete HTTP response of a plain service."""

    status: int
    content_type: str
    body: bytes


class BackendClients:
    """Connection pool to all backend servers, one for each node.

    Callers see its errors as ``backend_failed`` or ``backend_rejected``.
    """

    def __init__(self, settings: BackendSection) -> None:
        self.settings = settings
        self.pool = open_pools(num_pools=4096, maxsize=256)

    @classmethod
    def from_settings(cls, settings: BackendSection) -> "BackendClients":
        """Return clients with the time-outs in `settings`."""
        return cls(settings)

    def engine(self, address: str) -> "EngineServer":
        """Return a client of the engine at `address`, for one attempt."""
        return EngineServer(self, address)

    def plain(self, address: str) -> "PlainServer":
        """Return a client of the plain service's server at `address`."""
        return PlainServer(self, address)

    def timeout(self) -> urllib3.Timeout:
        """Return the time-outs of one attempt."""
        return urllib3.Timeout(
            connect=self.settings.connect_timeout_s, read=self.settings.stall_timeout_s
        )

    def open(self, method: str, url: str, body: bytes, headers: dict):
        """Send one request; return the response with its body unread.

        Raises
        ------
        BackendError
            If the request failed; ``started`` is false only if no connection was made.
        """
        try:
            return self.pool.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=self.timeout(),
                preload_content=False,
            )
        except CONNECT_ERRORS as error:
            raise BackendError(
                str(error), started=False, reason=RetryReason.CONNECT_FAILED
            ) from None
        except urllib3.exceptions.HTTPError as error:
            raise BackendError(
                str(error), started=True, reason=RetryReason.SERVER_FAILED
            ) from None

    def is_listening(self, address: str) -> bool:
        """Return whether a process listens at `address`; called after a stream broke.

        A dying process closes its sockets one after the other, so that a pooled
        connection may be reset while the port still accepts new ones. With a single
        check such a server looks alive: its crash is not counted against the request,
        which then crashes another server. So the check is repeated after a broken
        connection; a refused one, a complete response or a time-out decides.
        """
        for _ in range(LISTEN_CHECKS):
            try:
                self.fetch_json(address, "/load", timeout=COMMAND_TIMEOUT_S)
            except CONNECT_ERRORS:
                return False
            except urllib3.exceptions.TimeoutError:
                return True
            except (urllib3.exceptions.HTTPError, OSError):
                gevent.sleep(LISTEN_CHECK_PAUSE_S)
            except msgspec.DecodeError:
                return True
            else:
                return True
        return True

    def fetch_json(
        self, address: str, path: str, *, timeout: float | None = None
    ) -> dict:
        """Return the JSON object at `path` of the server at `address`.

        Parameters
        ----------
        timeout : float, optional
            Seconds; by default the time-outs of an attempt apply.
        """
        response = self.pool.request(
            "GET",
            f"http://{address}{path}",
            timeout=timeout or self.timeout(),
            preload_content=False,
        )
        return msgspec.json.decode(read_body(response))


class EngineServer:
    """Client of one model engine; see :class:`endive_node.interfaces.BackendServer`."""

    def __init__(self, clients: BackendClients, address: str) -> None:
        self.clients = clients
        self.address = address
        self.response = None
        self.kv_handle: str | None = None

    def run(
        self, request: Request, attempt: int, tokens: list[str], *, priority: int = 0
    ) -> Iterator[list[Piece]]:
        """Send `request`; yield the pieces of each read as one batch."""
        body = request.body | {
            "stream": True,
            "request_id": request.request_id,
            "attempt": attempt,
            "priority": priority,
        }
        if tokens:
            body["resume"] = {"tokens": tokens}
        if self.kv_handle is not None:
            body["kv_handle"] = self.kv_handle
        self.response = self.clients.open(
            "POST",
            f"http://{self.address}{request.endpoint}",
            msgspec.json.encode(body),
            {"Content-Type": "application/json"},
        )
        check_status(self.response)
        return self._pieces()

    def import_kv(self, blob: dict) -> None:
        """Import a KV cache that another server exported, for the next attempt.

        If this server can't import it, it computes prompt and tokens again.
        """
        reply = self._send_command("/kv/import", {"blob": blob})
        self.kv_handle = None if reply is None else reply["kv_handle"]

    def export_kv(self, request_id: str) -> tuple[list[str], dict] | None:
        """Stop a request; return its tokens and KV cache.

        Returns ``None`` if the server didn't confirm that it stopped the request.
        """
        reply = self._send_command("/kv/export", {"request_id": request_id})
        return None if reply is None else (reply["tokens"], reply["blob"])

    def cancel(self, request_id: str) -> list[str] | None:
        """Stop a request; return its tokens, or ``None`` if it isn't confirmed."""
        reply = self._send_command("/cancel", {"request_id": request_id})
        if reply is None or not reply["stopped"]:
            return None
        return reply["tokens"]

    def _send_command(self, path: str, body: dict) -> dict | None:
        try:
            response = self.clients.pool.request(
                "POST",
                f"http://{self.address}{path}",
                body=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=COMMAND_TIMEOUT_S,
                preload_content=False,
            )
            value = msgspec.json.decode(read_body(response))
        except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError):
            return None
        return value if response.status == 200 else None

    def _pieces(self) -> Iterator[list[Piece]]:
        finished = False
        buffer = b""
        try:
            for data in self.response.stream(READ_BYTES, decode_content=False):
                events, buffer = split_events(buffer + data)
                if len(buffer) > MAX_EVENT_BYTES:
                    raise urllib3.exceptions.ProtocolError("an event is too large")
                pieces = [decode_piece(event) for event in events if event != DONE]
                finished = finished or any(p.finish_reason for p in pieces)
                if pieces:
                    yield pieces
        except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError) as error:
            if not finished:
                raise BackendError(
                    str(error), started=True, reason=RetryReason.SERVER_FAILED
                ) from None
        finally:
            self._release_connection(finished)
        if not finished:
            raise BackendError(
                "stream ended before the finish reason",
                started=True,
                reason=RetryReason.SERVER_FAILED,
            )

    def _release_connection(self, finished: bool) -> None:
        """Return the connection to the pool if the response is complete, or close it.

        The bytes after the last piece must be read first, or the next request finds
        unread bytes on the connection, drops it and opens a new one. A greenlet of its
        own reads them, so that the caller does not wait for it.
        """
        if finished:
            gevent.spawn(self._drain)
        else:
            self.response.close()

    def _drain(self) -> None:
        """Read the response's end and pool the connection; close it on a time-out."""
        with gevent.Timeout(RESPONSE_END_TIMEOUT_S, False):
            self.response.drain_conn()
            self.response.release_conn()
            return
        self.response.close()

    def close(self) -> None:
        """Abort the attempt; the greenlet that reads it gets a BackendError."""
        if self.response is not None:
            self.response.close()


def split_events(buffer: bytes) -> tuple[list[bytes], bytes]:
    """Return the data of all complete events in `buffer`, and the remaining bytes."""
    *whole, rest = buffer.split(EVENT_END)
    return [event.removeprefix(EVENT_START) for event in whole], rest


def decode_piece(data: bytes) -> Piece:
    """Return the piece in the data of one engine event."""
    event = _event_decoder.decode(data)
    choice = event.choices[0]
    text = choice.delta.content if choice.delta is not None else choice.text
    return Piece(event.id, event.attempt, event.index, text, choice.finish_reason or "")


def check_status(response) -> None:
    """Check that the server accepted the request.

    Raises
    ------
    BackendError
        For a status other than 200. After a 503 with ``"executed":"no"`` and after a
        4xx the request did not start, and the 4xx is final: no other server would
        accept it either. After any other status it may have run.
    """
    if response.status == 200:
        return
    try:
        data = read_body(response)
    except (urllib3.exceptions.HTTPError, OSError):
        data = b""  # without its body no refusal counts as one
    if response.status == 503 and b'"executed":"no"' in data.replace(b" ", b""):
        raise BackendError(
            "the server is busy", started=False, reason=RetryReason.SERVER_BUSY
        )
    rejection_status = response.status if 400 <= response.status < 500 else None
    raise BackendError(
        f"the server responded with status {response.status}",
        started=rejection_status is None,
        reason=RetryReason.SERVER_FAILED,
        final_status=rejection_status,
    )


class PlainServer:
    """Client of one server of a plain service: one request, one complete response."""

    def __init__(self, clients: BackendClients, address: str) -> None:
        self.clients = clients
        self.address = address

    def call(self, request: Request, attempt: int, data: bytes) -> PlainResponse:
        """Send the request and return the complete response.

        Raises
        ------
        BackendError
            If the response was incomplete, or the server refused before starting.
        """
        response = self.clients.open(
            request.method,
            f"http://{self.address}{request.path}",
            data,
            {
                "Content-Type": "application/json",
                "X-Request-Id": request.request_id,
                "X-Attempt": str(attempt),
            },
        )
        if response.status == 503:
            check_status(response)
        try:
            body = read_body(response)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BackendError(
                str(error), started=True, reason=RetryReason.SERVER_FAILED
            ) from None
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return PlainResponse(response.status, content_type, body)
