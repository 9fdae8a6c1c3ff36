"""The operators' HTTP API, as a client."""

from typing import Any

import msgspec
import urllib3


class ApiError(Exception):
    """The node refused a call, or did not answer; `kind` is the error's code."""

    def __init__(self, kind: str, message: str, details: dict | None = None) -> None:
        super().__init__(f"{kind}: {message}")
        self.kind = kind
        self.details = details or {}


class OperatorClient:
    """Calls to one node's operators' port with an operator's token."""

    def __init__(self, server: str, token: str, timeout_s: float = 15.0) -> None:
        self.server = server.rstrip("/")
        self.headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
        }
        self.timeout_s = timeout_s
        self.pool = urllib3.PoolManager(retries=False)

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the decoded answer.

        Raises
        ------
        ApiError
            If the node refused, or no answer came (kind ``unreachable``).
        """
        try:
            response = self.pool.request(
                method,
                self.server + path,
                body=None if body is None else msgspec.json.encode(body),
                headers=self.headers,
                timeout=self.timeout_s,
            )
        except urllib3.exceptions.HTTPError as error:
            raise ApiError("unreachable", str(error)) from None
        answer = msgspec.json.decode(response.data or b"null")
        if response.status >= 400:
            error = answer["error"]
            raise ApiError(error["code"], error["message"], error)
        return answer

    def put(self, resource: dict) -> dict:
        """Create or change one resource; return its version."""
        kind, name = resource["kind"], resource["name"]
        return self.call("PUT", f"/v1/resources/{kind}/{name}", resource)

    def get(self, kind: str, name: str) -> dict:
        """Return one resource."""
        return self.call("GET", f"/v1/resources/{kind}/{name}")

    def list(self, kind: str) -> dict:
        """Return all visible resources of a kind."""
        return self.call("GET", f"/v1/resources/{kind}")
