"""Many callers at once in one process, each with one streamed request.

A caller does what docs/RECLAIM.md asks of callers: it goes on at another node with the
request's id and the index it needs next, or sends the request again with its key.
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
PAUSE_S = 0.1
ERRORS = (urllib3.exceptions.HTTPError, OSError)
NEXT_NODE = ("stopping", "not_ready")


def expected_token(prompt, index):
    """Return the token that an engine stand-in makes."""
    return xxhash.xxh3_64_hexdigest(f"{prompt}\0{index}".encode())[:6] + " "


@dataclass
class Fleet:
    """All callers, and what became of their requests."""

    nodes: list
    key: str
    requests: int
    max_tokens: int
    prompt: str
    padding: int = 0
    with_keys: bool = True
    only_first: bool = False
    counts: Counter = field(default_factory=Counter)
    failures: list = field(default_factory=list)

    def run(self):
        """Send all requests at once and wait for all answers."""
        self.pool = urllib3.PoolManager(maxsize=self.requests, retries=False)
        callers = [Caller(self, number) for number in range(self.requests)]
        gevent.joinall([gevent.spawn(caller.run) for caller in callers])

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
        """Call until the answer is whole or the caller gives up."""
        deadline = time.monotonic() + GIVE_UP_S
        while not self.ended and time.monotonic() < deadline:
            try:
                self.call()
            except ERRORS:
                self.fleet.counts["broken_connections"] += 1
                self.turn()
        self.judge()

    def turn(self):
        """Go to the next node."""
        self.node = next(self.nodes)
        gevent.sleep(PAUSE_S)

    def call(self):
        """Send the request, or go on with its answer if its id is known."""
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
            self.refused(msgspec.json.decode(response.read())["error"])
            return
        self.request_id = response.headers["X-Request-Id"]
        self.read(response, index)

    def refused(self, error):
        """Do what an error body asks for."""
        code = error["code"]
        self.fleet.counts[code] += 1
        if code == "moved":
            self.request_id = error["request_id"]
        elif code == "unknown_request":
            self.request_id = ""
        elif code not in NEXT_NODE:
            self.ended = code
            return
        gevent.sleep(error.get("retry_after_s", 0.0))
        self.turn()

    def read(self, response, index):
        """Take the events of a stream that begins at token `index`."""
        buffer = b""
        for data in response.stream(65536):
            *events, buffer = (buffer + data).split(b"\n\n")
            for event in events:
                index = self.take(event, index)
                if index is None:
                    response.close()
                    return
        raise urllib3.exceptions.ProtocolError("the stream ended early")

    def take(self, event, index):
        """Take one event; return the next index, or ``None`` at the end."""
        lines = event.split(b"\n")
        if lines[0] == b"event: error":
            self.refused(msgspec.json.decode(lines[1].removeprefix(b"data: "))["error"])
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

    def judge(self):
        """Compare the answer with the only right one, token by token."""
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
):
    """Print one line of JSON: counts by outcome, and failures."""
    urls = nodes if isinstance(nodes, list | tuple) else str(nodes).split(",")
    fleet = Fleet(
        list(urls), key, requests, max_tokens, prompt, padding, keys, only_first
    )
    fleet.run()
    print(msgspec.json.encode(fleet.report()).decode())


if __name__ == "__main__":
    fire.Fire(main)
