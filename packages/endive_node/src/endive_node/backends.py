"""Adapters to backend servers: model engines and plain services."""

from collections.abc import Iterator
from dataclasses import dataclass

import gevent
import msgspec
import urllib3
from endive_core.exceptions import RetryReason
from endive_core.messages import Piece, Request

from endive_node.interfaces import BackendError
from endive_node.platform import CONNECT_ERRORS
from endive_node.settings import BackendSection

EVENT_END = b"\n\n"
EVENT_START = b"data: "
DONE = b"[DONE]"
READ_BYTES = 65_536
COMMAND_TIMEOUT_S = 1.0
"""Time-out of an order about one stream: a notice lasts about three seconds."""

RESPONSE_END_TIMEOUT_S = 0.05
"""Engines write the end together with the last piece; waiting longer than this costs
more than a new connection."""

LISTEN_CHECKS = 5
LISTEN_CHECK_PAUSE_S = 0.05
"""A quarter of a second in all: a process that is gone has closed its port by then,
and a request whose stream broke can wait that long for its next attempt."""


class Delta(msgspec.Struct):
    """The new text of a chat event."""

    content: str = ""


class Choice(msgspec.Struct):
    """The one choice of an engine's event."""

    text: str = ""
    delta: Delta | None = None
    finish_reason: str | None = None


class EngineEvent(msgspec.Struct):
    """One event of an engine's stream; see docs/STANDINS.md."""

    id: str
    attempt: int
    index: int
    choices: list[Choice]


_event_decoder = msgspec.json.Decoder(EngineEvent)


@dataclass(frozen=True)
class PlainResponse:
    """A plain service's whole answer."""

    status: int
    content_type: str
    body: bytes


class BackendClients:
    """Connections to all backend servers; made once for a node.

    Users meet its errors as ``backend_failed`` or ``backend_rejected``.
    """

    def __init__(self, settings: BackendSection) -> None:
        self.settings = settings
        self.pool = urllib3.PoolManager(num_pools=4096, maxsize=256, retries=False)

    @classmethod
    def from_settings(cls, settings: BackendSection) -> "BackendClients":
        """Return clients with the time-outs in `settings`."""
        return cls(settings)

    def engine(self, address: str) -> "EngineServer":
        """Return the engine at `address`, for one attempt."""
        return EngineServer(self, address)

    def plain(self, address: str) -> "PlainServer":
        """Return the plain service's server at `address`."""
        return PlainServer(self, address)

    def timeout(self) -> urllib3.Timeout:
        """Return the time-outs of one attempt."""
        return urllib3.Timeout(
            connect=self.settings.connect_timeout_s, read=self.settings.stall_timeout_s
        )

    def open(self, method: str, url: str, body: bytes, headers: dict):
        """Send one call; return the response with its body unread.

        Raises
        ------
        BackendError
            ``started`` is false only if no connection was made.
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
        """Return whether a process listens at `address`; asked after a stream broke.

        A dying process closes its sockets one after the other, so that a kept
        connection may be reset while the port still takes new ones. Asked only once,
        such a server looks alive, its crash is not counted against the request, and
        the request takes down one more. Whole answers and time-outs end the asking.
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
        """Return the JSON at `path` of the server at `address`.

        Parameters
        ----------
        timeout : float, optional
            Seconds; without it the time-outs of an attempt.
        """
        response = self.pool.request(
            "GET", f"http://{address}{path}", timeout=timeout or self.timeout()
        )
        return msgspec.json.decode(response.data)


class EngineServer:
    """One model engine, as :class:`endive_node.interfaces.BackendServer`."""

    def __init__(self, clients: BackendClients, address: str) -> None:
        self.clients = clients
        self.address = address
        self.response = None
        self.kv_handle: str | None = None

    def run(
        self, request: Request, attempt: int, tokens: list[str], *, priority: int = 0
    ) -> Iterator[list[Piece]]:
        """Send `request`; yield pieces, all that one read brought at a time."""
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
        """Bring the KV cache that another server exported, for the next attempt.

        If this server can't take it in, it computes prompt and tokens again.
        """
        answer = self._send_command("/kv/import", {"blob": blob})
        self.kv_handle = None if answer is None else answer["kv_handle"]

    def export_kv(self, request_id: str) -> tuple[list[str], dict] | None:
        """Stop a request; return its tokens and KV cache.

        ``None`` if the server didn't confirm that it stopped.
        """
        answer = self._send_command("/kv/export", {"request_id": request_id})
        return None if answer is None else (answer["tokens"], answer["blob"])

    def cancel(self, request_id: str) -> list[str] | None:
        """Stop a request; return its tokens, or ``None`` if that isn't confirmed."""
        answer = self._send_command("/cancel", {"request_id": request_id})
        if answer is None or not answer["stopped"]:
            return None
        return answer["tokens"]

    def _send_command(self, path: str, body: dict) -> dict | None:
        try:
            response = self.clients.pool.request(
                "POST",
                f"http://{self.address}{path}",
                body=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=COMMAND_TIMEOUT_S,
            )
            value = msgspec.json.decode(response.data)
        except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError):
            return None
        return value if response.status == 200 else None

    def _pieces(self) -> Iterator[list[Piece]]:
        finished = False
        buffer = b""
        try:
            for data in self.response.stream(READ_BYTES, decode_content=False):
                events, buffer = split_events(buffer + data)
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
                "the stream ended early", started=True, reason=RetryReason.SERVER_FAILED
            )

    def _release_connection(self, finished: bool) -> None:
        """Keep the connection for the next call, if the server has ended its answer.

        What follows the last piece must be read, or the next call finds unread bytes
        on the connection, drops it and connects anew. It is read beside the answer's
        way to the caller, which is whole already and waits for nothing.
        """
        if finished:
            gevent.spawn(self._drain)
        else:
            self.response.close()

    def _drain(self) -> None:
        """Read the answer's end and keep the connection, or give it up."""
        with gevent.Timeout(RESPONSE_END_TIMEOUT_S, False):
            self.response.drain_conn()
            self.response.release_conn()
            return
        self.response.close()

    def close(self) -> None:
        """Cut the attempt off; the greenlet that reads gets a BackendError."""
        if self.response is not None:
            self.response.close()


def split_events(buffer: bytes) -> tuple[list[bytes], bytes]:
    """Return the data of all whole events in `buffer`, and the rest."""
    *whole, rest = buffer.split(EVENT_END)
    return [event.removeprefix(EVENT_START) for event in whole], rest


def decode_piece(data: bytes) -> Piece:
    """Return the piece that one engine event holds."""
    event = _event_decoder.decode(data)
    choice = event.choices[0]
    text = choice.delta.content if choice.delta is not None else choice.text
    return Piece(event.id, event.attempt, event.index, text, choice.finish_reason or "")


def check_status(response) -> None:
    """Raise unless the server started to answer.

    Raises
    ------
    BackendError
        A 503 that says ``executed: no`` did not start; a 4xx is the server's last
        word on this request; anything else may have run.
    """
    if response.status == 200:
        return
    data = response.read()
    response.release_conn()
    if response.status == 503 and b'"executed":"no"' in data.replace(b" ", b""):
        raise BackendError(
            "the server is busy", started=False, reason=RetryReason.SERVER_BUSY
        )
    rejection_status = response.status if 400 <= response.status < 500 else None
    raise BackendError(
        f"the server answered {response.status}",
        started=rejection_status is None,
        reason=RetryReason.SERVER_FAILED,
        final_status=rejection_status,
    )


class PlainServer:
    """One server of a plain service: one call, one whole answer."""

    def __init__(self, clients: BackendClients, address: str) -> None:
        self.clients = clients
        self.address = address

    def call(self, request: Request, attempt: int, data: bytes) -> PlainResponse:
        """Send the call and return the whole answer.

        Raises
        ------
        BackendError
            If no whole answer came, or the server refused before starting.
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
            body = response.read()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BackendError(
                str(error), started=True, reason=RetryReason.SERVER_FAILED
            ) from None
        response.release_conn()
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return PlainResponse(response.status, content_type, body)
