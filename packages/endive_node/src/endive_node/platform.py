"""HTTP clients of the platform's log, instance list and cloud API."""

from typing import Any
from urllib.parse import quote

import msgspec
import urllib3

from endive_node.checked_http import open_pools, read_body
from endive_node.interfaces import (
    READ_LIMIT,
    LogEntry,
    LogOffsetOutOfRangeError,
    LogOutcomeUnknownError,
    LogPage,
    LogThrottledError,
    LogUnavailableError,
)

CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
"""Errors that occur before anything can have been sent."""


class HttpService:
    """HTTP client of one platform service at a base address."""

    def __init__(self, base: str, timeout_s: float) -> None:
        self.base = base
        self.timeout_s = timeout_s
        self.pool = open_pools(maxsize=16)

    def call(
        self, method: str, path: str, body: Any = None, *, extra_s: float = 0.0
    ) -> tuple[int, Any]:
        """Return status and decoded body.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If the call fails.
        msgspec.DecodeError
            If the body is not JSON.
        """
        response = self.pool.request(
            method,
            self.base + path,
            body=None if body is None else msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            timeout=urllib3.Timeout(
                connect=self.timeout_s, read=self.timeout_s + extra_s
            ),
            preload_content=False,
        )
        return response.status, msgspec.json.decode(read_body(response) or b"null")


class HttpLog:
    """The platform's log.

    An append whose response is lost raises another error than one that was refused,
    since it may have taken effect. The caller finds out by reading the stream.
    """

    def __init__(self, base: str, timeout_s: float) -> None:
        self.service = HttpService(base, timeout_s)

    def append(self, stream: str, records: list[str]) -> int:
        """See :meth:`endive_node.interfaces.LogService.append`."""
        path = f"/streams/{quote(stream)}/records"
        try:
            status, body = self.service.call("POST", path, {"records": records})
        except CONNECT_ERRORS as error:
            raise LogUnavailableError(str(error)) from None
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            raise LogOutcomeUnknownError(str(error)) from None
        if status == 200:
            return body["offset"]
        if status == 429:
            raise LogThrottledError("the log's rate limit is exceeded (status 429)")
        if status == 503:
            raise LogUnavailableError(f"the log responded with status {status}")
        raise LogOutcomeUnknownError(f"the log responded with status {status}")

    def read(
        self, stream: str, start: int, *, wait_s: float = 0.0, limit: int = READ_LIMIT
    ) -> LogPage:
        """See :meth:`endive_node.interfaces.LogService.read`."""
        path = (
            f"/streams/{quote(stream)}/records"
            f"?from={start}&limit={limit}&wait_s={wait_s}"
        )
        try:
            status, body = self.service.call("GET", path, extra_s=wait_s)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            raise LogUnavailableError(str(error)) from None
        try:
            return _page(status, body)
        except (KeyError, TypeError) as error:
            # A malformed response must not end the loop that reads the log: the node
            # would keep an old configuration for ever.
            raise LogUnavailableError(
                f"malformed response of the log: {error!r}"
            ) from None


def _page(status: int, body: Any) -> LogPage:
    if status == 410:
        raise LogOffsetOutOfRangeError(body["error"]["first"])
    if status != 200:
        raise LogUnavailableError(f"the log responded with status {status}")
    entries = [LogEntry(r["offset"], r["body"], r["time"]) for r in body["records"]]
    return LogPage(body["first"], body["next"], entries)


class HttpInstanceList:
    """The platform's list of instances, which lags behind."""

    def __init__(self, base: str, timeout_s: float) -> None:
        self.service = HttpService(base, timeout_s)

    def instances(self) -> list[dict[str, Any]]:
        """See :meth:`endive_node.interfaces.InstanceList.instances`."""
        status, body = self.service.call("GET", "/instances")
        return body["instances"] if status == 200 else []


class HttpCloud:
    """The cloud API."""

    def __init__(self, base: str, timeout_s: float) -> None:
        self.service = HttpService(base, timeout_s)

    def notices(self) -> list[dict[str, Any]]:
        """See :meth:`endive_node.interfaces.CloudApi.notices`."""
        status, body = self.service.call("GET", "/notices")
        return body["notices"] if status == 200 else []
