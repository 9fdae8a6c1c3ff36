"""The operators' HTTP API, as a client."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import urllib3

UNREACHABLE = "unreachable"
WATCH_TIMEOUT_S = 10.0
"""A node says every 2 s which version it has reached; one that is silent for longer
hangs, and the watch goes on elsewhere."""


class ApiError(Exception):
    """The node refused a call, or did not answer; `kind` is the error's code."""

    def __init__(self, kind: str, message: str, details: dict | None = None) -> None:
        super().__init__(f"{kind}: {message}")
        self.kind = kind
        self.details = details or {}


@dataclass(frozen=True)
class WatchEvent:
    """One event of a watch; `version` is where to go on from."""

    name: str
    version: int
    data: dict[str, Any]


class OperatorClient:
    """Calls to a node's operators' port with an operator's token.

    Parameters
    ----------
    servers : list of str
        Addresses of nodes; the first that answers is used, for any node will do.
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
        """Return the decoded answer.

        Raises
        ------
        ApiError
            If the node refused, or no node answered (kind ``unreachable``).
        """
        response = self._send(method, path, body, query)
        try:
            decoded = msgspec.json.decode(response.data or b"null")
        except (msgspec.DecodeError, urllib3.exceptions.HTTPError) as error:
            raise ApiError(UNREACHABLE, f"the answer was cut off: {error}") from None
        return body_or_error(response.status, decoded)

    def _send(self, method: str, path: str, body: Any, query: dict, **options: Any):
        """Return the response of the first node that can be connected to.

        Only a failed connection moves on to the next node: after that the change may
        have been taken, and sending it again is for whoever knows its change id.
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
        raise ApiError(UNREACHABLE, f"no node answers at {', '.join(self.servers)}")

    def put(self, resource: dict, **options: Any) -> dict:
        """Create or change one resource; return its version."""
        path = resource_path(resource["kind"], resource["name"])
        return self.call("PUT", path, resource, **options)

    def get(self, kind: str, name: str) -> dict:
        """Return one resource with its status."""
        return self.call("GET", resource_path(kind, name))

    def list(self, kind: str) -> dict:
        """Return all visible resources of a kind."""
        return self.call("GET", f"/v1/resources/{quote(kind)}")

    def delete(self, kind: str, name: str, **options: Any) -> dict:
        """Delete one resource."""
        return self.call("DELETE", resource_path(kind, name), **options)

    def status(self) -> dict:
        """Return the state of the node that answers."""
        return self.call("GET", "/v1/status")

    def explain(self, request_id: str) -> dict:
        """Return what became of a request, and why."""
        return self.call("GET", f"/v1/requests/{quote(request_id)}")

    def watch(self, start: int | None, kind: str | None) -> Iterator[WatchEvent]:
        """Yield events from version `start` on, until the stream breaks.

        Raises
        ------
        ApiError
            If the node refused, or the stream broke (kind ``unreachable``).
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
            raise ApiError(UNREACHABLE, f"the watch broke: {error}") from None
        raise ApiError(UNREACHABLE, "the node ended the watch")


def resource_path(kind: str, name: str) -> str:
    """Return the path of one resource."""
    return f"/v1/resources/{quote(kind)}/{quote(name)}"


def body_or_error(status: int, decoded: Any) -> Any:
    """Return `decoded`, or raise the error that it is."""
    if status < 400:
        return decoded
    error = decoded["error"]
    raise ApiError(error["code"], error["message"], error)


def parse_event(text: bytes) -> WatchEvent:
    """Return the event that one block of a server-sent stream holds."""
    fields = dict(line.split(": ", 1) for line in text.decode().split("\n"))
    return WatchEvent(
        fields["event"], int(fields["id"]), msgspec.json.decode(fields["data"])
    )
