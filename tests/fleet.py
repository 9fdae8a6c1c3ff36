"""Many concurrent callers in one process, each with one streamed request.

A caller follows the rules for callers in docs/RECLAIM.md: after a lost connection it
resumes at another node with the request's id and the index of the next token, or sends
the request again with its idempotency key.
"""

from gevent import monkey

monkey.patch_all()

import itertools  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402

import fire  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402
import urllib3  # noqa: E402
import xxhash  # noqa: E402

GIVE_UP_S = 120.0
RETRY_PAUSE_S = 0.1
ERRORS = (urllib3.exceptions.HTTPError, OSError)
RETRY_CODES = ("stopping", "not_ready")


def expected_token(prompt, index):
    """Return the token that an engine stand-in generates."""
    return xxhash.xxh3_64_hexdigest(f"{prompt}\0{index}".encode())[:6] + " "


@dataclass
class CallerFleet:
    """All callers, and the outcomes of their requests."""

    nodes: list
    key: str
    requests: int
    max_tokens: int
    prompt: str
    padding: int = 0
    with_keys: bool = True
    only_first: bool = False
    per_s: float = 0.0
    counts: Counter = field(default_factory=Counter)
    failures: list = field(default_factory=list)

    def run(self):
        """Send all requests and wait until each caller has finished."""
        self.pool = urllib3.PoolManager(maxsize=self.requests, retries=False)
        callers = [Caller(self, number) for number in range(self.requests)]
        # Too many simultaneous connections overflow the listener's backlog, and the
        # kernel retries them only after a second or more.
        gap_s = 1 / self.per_s if self.per_s else 0.0
        gevent.joinall(
            [
                gevent.spawn_later(number * gap_s, caller.run)
                for number, caller in enumerate(callers)
            ]
        )

    def report(self):
        """Return counts and the first failures."""
        return {"counts": self.counts, "failures": self.failures[:5]}


class Caller:
    """One caller and its request."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.prompt = f"{fleet.prompt} {number}" + " pad" * fleet.padding
        self.idempotency_key = f"{fleet.prompt}-{number}" if fleet.with_keys else ""
        self.nodes = itertools.cycle(range(len(fleet.nodes)))
        for _ in range(0 if fleet.only_first else number % len(fleet.nodes)):
            next(self.nodes)
        self.node = next(self.nodes)
        self.tokens = []
        self.request_id = ""
        self.ended = ""

    def run(self):
        """Send requests until the response is complete or `GIVE_UP_S` is over."""
        deadline = time.monotonic() + GIVE_UP_S
        while not self.ended and time.monotonic() < deadline:
            try:
                self.call()
            except ERRORS:
                self.fleet.counts["broken_connections"] += 1
                self.switch_node()
        self.check_result()

    def switch_node(self):
        """Switch to the next node after a pause."""
        self.node = next(self.nodes)
        gevent.sleep(RETRY_PAUSE_S)

    def call(self):
        """Send the request, or resume its response if its id is known."""
        headers = {
            "Authorization": f"Bearer {self.fleet.key}",
            "Content-Type": "application/json",
        }
        url = self.fleet.nodes[self.node]
        if self.request_id:
            self.fleet.counts["resumed"] += 1
            headers["Last-Event-ID"] = str(len(self.tokens))
            path, method, body, index = (
                f"/v1/requests/{self.request_id}",
                "GET",
                None,
                len(self.tokens),
            )
        else:
            self.fleet.counts["sent"] += 1
            if self.idempotency_key:
                headers["Idempotency-Key"] = self.idempotency_key
            path, method, index = "/v1/completions", "POST", 0
            body = msgspec.json.encode(
                {
                    "model": "chat",
                    "prompt": self.prompt,
                    "max_tokens": self.fleet.max_tokens,
                    "stream": True,
                }
            )
        response = self.fleet.pool.request(
            method,
            url + path,
            body=body,
            headers=headers,
            preload_content=False,
            timeout=urllib3.Timeout(connect=1.0, read=GIVE_UP_S),
        )
        if response.status != 200:
            self.handle_error(msgspec.json.decode(response.read())["error"])
            return
        self.request_id = response.headers["X-Request-Id"]
        self.read(response, index)

    def handle_error(self, error):
        """Act on an error body: retry at the next node, or end."""
        code = error["code"]
        self.fleet.counts[code] += 1
        if code == "moved":
            self.request_id = error["request_id"]
        elif code == "unknown_request":
            self.request_id = ""
        elif code not in RETRY_CODES:
            self.ended = code
            return
        gevent.sleep(error.get("retry_after_s", 0.0))
        self.switch_node()

    def read(self, response, index):
        """Read the events of a stream that begins at token `index`."""
        buffer = b""
        for data in response.stream(65536):
            *events, buffer = (buffer + data).split(b"\n\n")
            for event in events:
                index = self.apply_event(event, index)
                if index is None:
                    response.close()
                    return
        raise urllib3.exceptions.ProtocolError("stream ended without [DONE]")

    def apply_event(self, event, index):
        """Apply one event; return the next index, or ``None`` at the end."""
        lines = event.split(b"\n")
        if lines[0] == b"event: error":
            self.handle_error(
                msgspec.json.decode(lines[1].removeprefix(b"data: "))["error"]
            )
            return None
        data = lines[-1].removeprefix(b"data: ")
        if data == b"[DONE]":
            self.ended = "whole"
            return None
        value = msgspec.json.decode(data)
        text = value["choices"][0]["text"]
        if self.request_id not in value["id"]:
            self.fleet.counts["foreign"] += 1
        if index < len(self.tokens):
            if self.tokens[index] != text:
                self.fleet.counts["changed"] += 1
        else:
            self.tokens.append(text)
        return index + 1

    def check_result(self):
        """Compare the response with the expected one, token by token."""
        size = self.fleet.max_tokens
        right = [expected_token(self.prompt, index) for index in range(size)]
        if self.ended == "whole" and self.tokens == right:
            self.fleet.counts["whole"] += 1
            return
        outcome = self.ended or "gave_up"
        self.fleet.counts[f"failed_{outcome}"] += 1
        self.fleet.failures.append(
            f"{self.request_id} {outcome} {len(self.tokens)} tokens"
        )


def main(
    nodes,
    requests=10,
    max_tokens=10,
    prompt="quote",
    key="demo",
    keys=True,
    padding=0,
    only_first=False,
    per_s=0.0,
):
    """Print one line of JSON: counts by outcome, and failures."""
    urls = nodes if isinstance(nodes, list | tuple) else str(nodes).split(",")
    fleet = CallerFleet(
        list(urls),
        key,
        requests,
        max_tokens,
        prompt,
        padding,
        keys,
        only_first,
        per_s,
    )
    fleet.run()
    print(msgspec.json.encode(fleet.report()).decode())


if __name__ == "__main__":
    fire.Fire(main)
