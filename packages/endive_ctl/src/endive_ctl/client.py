"""Client of the operators' HTTP API."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import urllib3

UNREACHABLE = "unreachable"
WATCH_TIMEOUT_S = 10.0
"""Longest wait for the next event of a watch, seconds. A node sends its current version
every 2 s, so a node that sends nothing for this long hangs and the watch is ended."""


class ApiError(Exception):
    """A request that a node refused or no node answered; `kind` is the error code."""

    def __init__(self, kind: str, message: str, details: dict | None = None) -> None:
        super().__init__(f"{kind}: {message}")
        self.kind = kind
        self.details = details or {}


@dataclass(frozen=True)
class WatchEvent:
    """One event of a watch; the watch can be resumed from `version`."""

    name: str
    version: int
    data: dict[str, Any]


class OperatorClient:
    """Sends requests to the operators' port of a node.

    Parameters
    ----------
    servers : list of str
        URLs of nodes. Each request goes to the first one that accepts a connection,
        since every node serves all requests.
    token : str
        The operator's token.
    timeout_s : float
        Connect and read timeout, seconds.
    """

    def __init__(self, servers: list[str], token: str, timeout_s: float = 15.0) -> None:
        self.servers = [server.rstrip("/") for server in servers]
        self.headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
        }
        self.timeout_s = timeout_s
        self.pool = urllib3.PoolManager(retries=False)

    def call(self, method: str, path: str, body: Any = None, **query: Any) -> Any:
        """Send a request and return the decoded response body.

        Raises
        ------
        ApiError
            If the node refused the request, or no node responded (kind
            ``unreachable``).
        """
        response = self._send(method, path, body, query)
        try:
            decoded = msgspec.json.decode(response.data or b"null")
        except (msgspec.DecodeError, urllib3.exceptions.HTTPError) as error:
            raise ApiError(
                UNREACHABLE, f"invalid or truncated response: {error}"
            ) from None
        return body_or_error(response.status, decoded)

    def _send(self, method: str, path: str, body: Any, query: dict, **options: Any):
        """Return the response of the first node that accepts a connection.

        Only a failed connection leads to the next node. After any other failure the
        change may have been applied, so only a caller that knows its change id can
        retry it safely.
        """
        text = urlencode({k: v for k, v in query.items() if v is not None})
        target = path + (f"?{text}" if text else "")
        for server in self.servers:
            try:
                return self.pool.request(
                    method,
                    server + target,
                    body=None if body is None else msgspec.json.encode(body),
                    headers=self.headers,
                    **({"timeout": self.timeout_s} | options),
                )
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ):
                continue
            except urllib3.exceptions.HTTPError as error:
                raise ApiError(UNREACHABLE, f"{server}: {error}") from None
        raise ApiError(
            UNREACHABLE, f"cannot connect to any node of {', '.join(self.servers)}"
        )

    def put(self, resource: dict, **options: Any) -> dict:
        """Create or change one resource; return the response with its version."""
        path = resource_path(resource["kind"], resource["name"])
        return self.call("PUT", path, resource, **options)

    def get(self, kind: str, name: str) -> dict:
        """Return one resource with its status."""
        return self.call("GET", resource_path(kind, name))

    def list(self, kind: str) -> dict:
        """Return all resources of a kind that the operator may see."""
        return self.call("GET", f"/v1/resources/{quote(kind)}")

    def delete(self, kind: str, name: str, **options: Any) -> dict:
        """Delete one resource."""
        return self.call("DELETE", resource_path(kind, name), **options)

    def status(self) -> dict:
        """Return the state of the node that responds."""
        return self.call("GET", "/v1/status")

    def explain(self, request_id: str) -> dict:
        """Return the outcome of a request and the events that led to it."""
        return self.call("GET", f"/v1/requests/{quote(request_id)}")

    def watch(self, start: int | None, kind: str | None) -> Iterator[WatchEvent]:
        """Yield events from version `start` on, until the stream breaks.

        Raises
        ------
        ApiError
            If the node refused the watch, or the stream ended (kind
            ``unreachable``).
        """
        query = {"from": start, "kind": kind}
        response = self._send(
            "GET",
            "/v1/watch",
            None,
            query,
            preload_content=False,
            timeout=urllib3.Timeout(connect=self.timeout_s, read=WATCH_TIMEOUT_S),
        )
        if response.status != 200:
            body_or_error(response.status, msgspec.json.decode(response.read()))
        buffer = b""
        try:
            for data in response.stream(65536, decode_content=False):
                *blocks, buffer = (buffer + data).split(b"\n\n")
                yield from map(parse_event, blocks)
        except urllib3.exceptions.HTTPError as error:
            raise ApiError(UNREACHABLE, f"watch interrupted: {error}") from None
        raise ApiError(UNREACHABLE, "watch closed by the node")


def resource_path(kind: str, name: str) -> str:
    """Return the URL path of one resource."""
    return f"/v1/resources/{quote(kind)}/{quote(name)}"


def body_or_error(status: int, decoded: Any) -> Any:
    """Return a decoded response body; raise ApiError if it describes an error."""
    if status < 400:
        return decoded
    error = decoded["error"]
    raise ApiError(error["code"], error["message"], error)


def parse_event(text: bytes) -> WatchEvent:
    """Return the event in one block of a stream of server-sent events."""
    fields = dict(line.split(": ", 1) for line in text.decode().split("\n"))
    return WatchEvent(
        fields["event"], int(fields["id"]), msgspec.json.decode(fields["data"])
    )
