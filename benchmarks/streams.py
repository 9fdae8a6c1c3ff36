"""A source and a sink of token streams with little overhead, for separate processes.

``python streams.py source --port P`` responds to every call as a model engine does, at
a fixed rate; ``python streams.py sink --url U`` reads many streams concurrently and
prints one line of JSON.
"""

from gevent import monkey

monkey.patch_all()

import socket  # noqa: E402
import time  # noqa: E402
from urllib.parse import urlsplit  # noqa: E402

import fire  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent.server import StreamServer  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
JSON_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
READ_BYTES = 65_536
DONE = b"data: [DONE]"
MAX_TOKENS = 1_000_000


def source(port: int, tokens_per_s: float = 50.0, per_write: int = 1) -> None:
    """Serve streams of `tokens_per_s`, with `per_write` tokens in each write."""
    pause_s = per_write / tokens_per_s

    def serve(connection: socket.socket, _address) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = read_request_body(connection)
        if not body:
            load = b'{"running":0,"waiting":0,"cached_blocks":0,"capacity":1000}'
            length = b"Content-Length: %d\r\n\r\n" % len(load)
            connection.sendall(JSON_HEAD + length + load)
            return
        call = msgspec.json.decode(body)
        connection.sendall(HEAD)
        due, index = time.monotonic(), 0
        stop = min(call.get("max_tokens", 1), MAX_TOKENS)
        try:
            while index < stop:
                count = min(per_write, stop - index)
                data = b"".join(
                    event(call, number, stop) for number in range(index, index + count)
                )
                connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
                index += count
                due += pause_s
                gevent.sleep(max(0.0, due - time.monotonic()))
            connection.sendall(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
        except OSError:
            pass

    print(f"ready port={port}", flush=True)
    StreamServer(("127.0.0.1", port), serve, backlog=1024).serve_forever()


def read_request_body(connection: socket.socket) -> bytes:
    """Return the body of the single request on `connection`."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += connection.recv(READ_BYTES)
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += connection.recv(READ_BYTES)
    return body


def event(call: dict, index: int, stop: int) -> bytes:
    """Return an engine's server-sent event of one token."""
    reason = b'"length"' if index == stop - 1 else b"null"
    return (
        b'data: {"id":"%s","attempt":%d,"index":%d,"choices":[{"index":0,'
        b'"text":"a1b2c3 ","finish_reason":%s}]}\n\n'
        % (call["request_id"].encode(), call["attempt"], index, reason)
    )


def sink(url: str, streams: int, seconds: float, key: str = "demo") -> None:
    """Read `streams` streams concurrently for `seconds`; print token rate and gaps."""
    gaps = HdrHistogram(1, 60_000_000, 3)
    token_count = [0]
    started = time.monotonic()
    measured_from, until = started + 2.0, started + 2.0 + seconds

    def read_stream() -> None:
        parts = urlsplit(url)
        connection = socket.create_connection((parts.hostname, parts.port))
        body = b'{"model":"chat","prompt":"x","max_tokens":4000,"stream":true}'
        head = (
            f"POST {parts.path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        connection.sendall(head.encode() + body)
        last = None
        while (now := time.monotonic()) < until:
            data = connection.recv(READ_BYTES)
            if not data:
                break
            now = time.monotonic()
            count = data.count(b"data: ")
            if now >= measured_from and count:
                token_count[0] += count
                if last is not None:
                    gaps.record_value(max(1, int((now - last) * 1e6)))
            last = now if count else last
        connection.close()

    for _ in range(streams):
        gevent.spawn(read_stream)
        gevent.sleep(0.002)
    gevent.sleep(until - time.monotonic() + 0.2)
    report = {
        "tokens_per_s": token_count[0] / seconds,
        "gap_p50_ms": gaps.get_value_at_percentile(50) / 1000,
        "gap_p95_ms": gaps.get_value_at_percentile(95) / 1000,
    }
    print(msgspec.json.encode(report).decode())


if __name__ == "__main__":
    fire.Fire({"source": source, "sink": sink})
