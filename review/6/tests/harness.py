"""Stand-ins of the platform, servers and clients for the scripts of this review.

They follow the published pages and need Python's standard library only. All of them
run in the script's process, which therefore sees every call. The gateways are separate
processes, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[3]
RECORD_LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
NO_LINGER = struct.pack("ii", 1, 0)

FRONT, READY, CONTROL, FIRST_PEER, LAST_PEER = 0, 1, 2, 10, 25
"""Offsets of a gateway's ports from the first one."""

LOGGED = ("dut", "usage", "attempt_failed", "failed", "Error", "stream_resumption")
MAX_LOGGED = 250
"""Parts of the gateways' log lines that are kept in the record, and most such lines."""

BROKE, HELD, NOT_RUN = 1, 0, 2
"""Exit codes: the rule was broken, it held, the case couldn't run."""


class CaseError(Exception):
    """The case couldn't run."""


@dataclass
class Request:
    """A request as it was received."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        found = [v for n, v in self.headers if n.lower() == name.lower()]
        return found[0] if found else ""


@dataclass
class Answer:
    """An answer; `status` is 0 if the channel ended before it was complete."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    keeps: bool = True

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        found = [v for n, v in self.headers if n.lower() == name.lower()]
        return found[0] if found else ""


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, list[tuple[str, str]]]:
    """Return the first line and the headers of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, [(name, value.strip()) for name, _, value in pairs]


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body in chunks."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request of a channel."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    request = Request(method, target, headers, b"")
    if request.header("transfer-encoding"):
        request.body = await read_chunks(reader)
    else:
        request.body = await reader.readexactly(
            int(request.header("content-length") or 0)
        )
    return request


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer of a channel."""
    first, headers = await read_head(reader)
    answer = Answer(int(first.split(" ", 2)[1]), headers, b"")
    if answer.header("transfer-encoding"):
        answer.body = await read_chunks(reader)
    elif answer.header("content-length"):
        answer.body = await reader.readexactly(int(answer.header("content-length")))
    else:
        answer.body, answer.keeps = await reader.read(), False
    answer.keeps = answer.keeps and answer.header("connection").lower() != "close"
    return answer


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an encoded answer with a length."""
    headers = headers | {"Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} Status", *(f"{n}: {v}" for n, v in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a channel."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


class Listener:
    """An HTTP server on a loopback address."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip, self.port = ip, port
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The address of the listener."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Begin to listen."""
        self.server = await asyncio.start_server(self._accept, self.ip, self.port)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            await self.serve(reader, writer)
        writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one channel."""
        while True:
            request = await read_request(reader)
            status, headers, body = await self.handle(request)
            writer.write(encode(status, headers, body))
            await writer.drain()

    async def handle(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        """Return the answer to one request."""
        raise NotImplementedError


@dataclass
class Topic:
    """A partition of a topic: its records with their times, and the first offset."""

    keyed: bool
    first: int
    records: list[tuple[float, bytes]]

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def trim(self, keep_s: float) -> None:
        """Drop the records that have expired; all of a keyed topic are retained."""
        while (
            not self.keyed
            and self.records
            and time.monotonic() - self.records[0][0] > keep_s
        ):
            del self.records[0]
            self.first += 1


class Store(Listener):
    """The platform's store.

    Parameters
    ----------
    keep_s : float
        Time after which records expire, seconds.
    """

    def __init__(self, ip: str, port: int, keep_s: float) -> None:
        super().__init__(ip, port)
        self.keep_s = keep_s
        self.topics: dict[str, Topic] = {}
        self.grown = asyncio.Event()

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        topic = self.topics.setdefault(name, Topic(name.startswith("keyed."), 0, []))
        topic.trim(self.keep_s)
        return topic

    def append(self, name: str, records: list[bytes]) -> int:
        """Append records and return the offset of the first one."""
        topic = self.topic(name)
        offset = topic.end
        topic.records += [(time.monotonic(), record) for record in records]
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def put(self, name: str, key: str, document: dict | None) -> None:
        """Write one keyed record, as the operator and the servers do."""
        value = b"" if document is None else json.dumps(document).encode()
        self.append(name, [bytes([len(key)]) + key.encode() + value])

    async def handle(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        """See :meth:`Listener.handle`."""
        parts = urlsplit(request.target)
        query = dict(parse_qsl(parts.query))
        call = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-newest": self._newest,
        }.get(parts.path)
        if call is None:
            return 404, {}, b""
        status, body = await call(query, request.body)
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        return status, {}, body

    async def _append(self, query: dict, body: bytes) -> tuple[int, dict]:
        topic = self.topic(query["topic"])
        if "at" in query and int(query["at"]) != topic.end:
            return 412, {"end": topic.end}
        records, position = [], 0
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size + length
            records.append(body[position - length : position])
        offset = self.append(query["topic"], records)
        return 200, {"offset": offset, "end": topic.end}

    async def _read(self, query: dict, _body: bytes) -> tuple[int, dict | bytes]:
        start, name = int(query["from"]), query["topic"]
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while self.topic(name).end <= start and time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.grown.wait(), until - time.monotonic())
        topic = self.topic(name)
        if start < topic.first:
            return 410, {"first": topic.first}
        records = topic.records[start - topic.first :]
        framed = [RECORD_LENGTH.pack(len(data)) + data for _, data in records]
        return 200, OFFSETS.pack(topic.end, topic.first) + b"".join(framed)

    async def _newest(self, query: dict, _body: bytes) -> tuple[int, dict]:
        topic, newest = self.topic(query["topic"]), {}
        for offset, (_, record) in enumerate(topic.records, topic.first):
            end = 1 + record[0]
            newest[record[1:end].decode()] = offset, record[end:]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > query.get("after", "")
        ]
        return 200, {"items": items, "truncated": False, "end": topic.end}


class Cloud(Listener):
    """The platform's calls that are one node's duty at a time.

    Attributes
    ----------
    calls : list of (float, str, str, int, dict)
        Time, path, holder, fencing token and body of each accepted call.
    on_call : callable
        Called with an accepted call, before it is answered.
    """

    def __init__(self, ip: str, port: int) -> None:
        super().__init__(ip, port)
        self.calls: list[tuple[float, str, str, int, dict]] = []
        self.on_call: Callable[[tuple], None] = lambda call: None

    async def handle(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        """See :meth:`Listener.handle`."""
        call = (
            time.time(),
            request.target,
            request.header("duty-holder"),
            int(request.header("fencing-token")),
            json.loads(request.body),
        )
        self.calls.append(call)
        self.on_call(call)
        return 200, {}, b"{}"


class Link:
    """A proxy between a gateway and a part of the platform.

    Attributes
    ----------
    is_cut : bool
        Whether nothing passes; what is sent meanwhile is lost.
    """

    def __init__(self, ip: str, port: int, target: Listener) -> None:
        self.ip, self.port, self.target = ip, port, target
        self.is_cut = False
        self.pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()

    @property
    def address(self) -> str:
        """The address of this end of the link."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Begin to listen."""
        await asyncio.start_server(self._accept, self.ip, self.port)

    def cut(self) -> None:
        """Cut the link silently."""
        self.is_cut = True

    def heal(self) -> None:
        """End the cut; channels that were open meanwhile are reset."""
        self.is_cut = False
        for pair in list(self.pairs):
            for writer in pair:
                reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            onward = await asyncio.open_connection(self.target.ip, self.target.port)
        except OSError:
            reset(writer)
            return
        pair = (writer, onward[1])
        self.pairs.add(pair)
        pumps = (self._pump(reader, onward[1]), self._pump(onward[0], writer))
        try:
            await asyncio.gather(*pumps)
        finally:
            self.pairs.discard(pair)
            for end in pair:
                end.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if not self.is_cut:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            reset(writer)
        while self.is_cut:
            await asyncio.sleep(0.02)
        writer.close()


@dataclass
class Gateway:
    """A gateway process of the project and its settings file."""

    name: str
    ip: str
    zone: str
    document: dict
    folder: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.document))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
        environment |= {
            "ENDIVESTACK_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        """Return what the processes of this gateway have written."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace")


async def send(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
    on_sent: Callable[[], None] = lambda: None,
) -> Answer:
    """Send one request on a channel of its own and return the answer.

    `on_sent` is called once the request has been sent.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            await writer.drain()
            on_sent()
            return await read_answer(reader)
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        return Answer(0, [("error", repr(error))], b"", keeps=False)
    finally:
        if writer is not None:
            writer.close()


class Case:
    """The parts of one script: addresses, stand-ins, gateways and the record.

    Parameters
    ----------
    folder : Path
        The case's folder, in which the record is written.
    keep_s : float
        Time after which records of the store expire, seconds.

    Attributes
    ----------
    has_trouble : bool
        Whether the disruption takes place.
    """

    def __init__(self, folder: Path, *, keep_s: float = 300.0) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = (folder / "record.txt").open("w")
        self.began_at = time.monotonic()
        self.temporary = Path(tempfile.mkdtemp())
        self.prefix, self.port = self._free_addresses()
        self.keep_s = keep_s
        self.store = Store(self.ip(200), self.port, keep_s)
        self.cloud = Cloud(self.ip(201), self.port)
        self.gateways: list[Gateway] = []
        self.tasks: set[asyncio.Task] = set()

    @staticmethod
    def _free_addresses() -> tuple[str, int]:
        for _ in range(50):
            middle = f"{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            port = random.randrange(15_000, 30_000)
            try:
                for offset in range(LAST_PEER + 1):
                    with socket.socket() as probe:
                        probe.bind((f"127.{middle}.1", port + offset))
            except OSError:
                continue
            return f"127.{middle}", port
        raise CaseError("no free ports")

    def ip(self, number: int) -> str:
        """Return a loopback address of this case."""
        return f"{self.prefix}.{number}"

    def write(self, text: str) -> None:
        """Write a line of the record, until it is closed."""
        if self.record.closed:
            return
        self.record.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self.record.flush()

    def spawn(self, work: Awaitable) -> asyncio.Task:
        """Run something beside the rest until the end of the case."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def gateway(self, store: str = "", **changes: object) -> Gateway:
        """Add a gateway with settings like those of a small deployment."""
        number = len(self.gateways) + 1
        ip, zone = self.ip(number), "abc"[(number - 1) % 3]
        document = {
            "node_name": f"front-{zone}-{number}",
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": ip,
            "zone": zone,
            "region": "r",
            "zones": {"a": "r", "b": "r", "c": "r"},
            "listen": {
                "front": f"{ip}:{self.port + FRONT}",
                "ready_addr": f"{ip}:{self.port + READY}",
                "control": f"{ip}:{self.port + CONTROL}",
            },
            "port_range": [self.port + FIRST_PEER, self.port + LAST_PEER],
            "seeds": [f"{self.ip(1)}:{self.port + CONTROL}"],
            "bootstrap": True,
            "limits": {"memory_mb": 300, "max_fds": 1000, "link_mbps": 1000.0},
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"]
            + ["engine", "stream", "tenants", "quota", "leader", "platform"],
            "bounds": BOUNDS,
            "platform": {
                "address": store or self.store.address,
                "form": "log",
                "keep_s": self.keep_s,
            },
            "cloud": {"address": self.cloud.address, "duties": ["usage", "scale"]},
        } | changes
        gateway = Gateway(document["node_name"], ip, zone, document, self.temporary)
        self.gateways.append(gateway)
        return gateway

    async def wait_ready(self, gateway: Gateway, within_s: float = 15.0) -> None:
        """Wait until a gateway answers the readiness probe with 200."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            answer = await send(
                (gateway.ip, self.port + READY), "GET", "/ready", {"Host": "x"}
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{gateway.name} is not ready")

    def heartbeat(self, server_id: str, entry: Callable[[], dict | None]) -> None:
        """Let a server write its entry until the end."""

        async def beat() -> None:
            sequence = 0
            while (document := entry()) is not None:
                sequence += 1
                document = document | {"sequence": sequence}
                self.store.put("keyed.servers", server_id, document)
                await asyncio.sleep(1.2)

        self.spawn(beat())

    def close(self) -> None:
        """End everything, and append the gateways' logs to the record."""
        for gateway in self.gateways:
            gateway.kill()
        for gateway in self.gateways:
            lines = gateway.log().splitlines()
            told = [line for line in lines if any(word in line for word in LOGGED)]
            for line in told[-MAX_LOGGED:]:
                self.record.write(f"log {gateway.name}: {line[:300]}\n")
        self.record.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_ms": 2000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 56,
    "quota_window_s": 8,
    "quota_slack": 72_000,
    "require_fence": False,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "usage_window_s": 5,
    "usage_late_s": 10,
}


def route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 6000,
        "target_latency_ms": 1000,
        "priority": 1,
        "max_attempts": 2,
    } | changes


def configuration(routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration with two tenants."""
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_048_576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": "hule930", "api_keys": ["key-hule930"]},
            {"name": "fida11", "api_keys": ["key-fida11"]},
        ],
    }


def run(folder: str, play: Callable[[Case], Awaitable[bool]], **options) -> None:
    """Play a case; the exit code says whether the rule was broken."""

    async def main() -> int:
        case = Case(Path(folder), **options)
        try:
            async with asyncio.timeout(115):
                await case.store.start()
                await case.cloud.start()
                broken = await play(case)
        except (CaseError, TimeoutError, OSError) as error:
            case.write(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            case.close()
        return BROKE if broken else HELD

    code = asyncio.run(main())
    print({BROKE: "broken", HELD: "held", NOT_RUN: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
