"""An answer without a length that is reset on the way reaches its client as whole."""

import asyncio
import contextlib
import random
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(HERE.parent / "6" / "tests"))

import harness  # noqa: E402

PLAY_S = 95.0
BURSTS, BURST_GAP_S = (6, 2, 2), 0.1
WORK_S, REST_S = 0.03, 0.5
UNFRAMED_SHARE = 0.3
RESET_SHARE, RESET_GAP_S = 0.5, 2.0
SLOTS = 40


class Server(harness.Listener):
    """A sound server some of whose answers have no length and end with their channel.

    Attributes
    ----------
    writers : dict of StreamWriter to str
        The open channels, and the gateway that each comes from.
    gateways : dict of str to str
        The gateway to which each request was sent, by its id.
    bodies : dict of str to bytes
        The whole body of each answer, by the request's id.
    cut : set of str
        Ids of the requests whose channels were reset amid an answer without a length.
    """

    def __init__(
        self, case: harness.Case, number: int, gateways: dict[str, str]
    ) -> None:
        super().__init__(case.ip(210 + number), case.port)
        self.gateways = gateways
        self.case, self.id, self.zone = case, f"i-{number}", "abc"[number]
        self.random = random.Random(number)
        self.writers: dict[asyncio.StreamWriter, str] = {}
        self.bodies: dict[str, bytes] = {}
        self.cut: set[str] = set()
        self.kinds: Counter[str] = Counter()
        self.busy = 0

    def entry(self) -> dict:
        """Return the server's entry in the store."""
        return {
            "service": "stock",
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": SLOTS,
            "state": "ready",
            "cold_left_ms": 0,
        }

    async def serve(self, reader, writer) -> None:
        """See :meth:`harness.Listener.serve`."""
        try:
            while True:
                request = await harness.read_request(reader)
                self.writers[writer] = self.gateways[request.header("request-id")]
                if not await self._answer(request, writer):
                    return
        finally:
            self.writers.pop(writer, None)

    async def _answer(self, request, writer) -> bool:
        """Run and answer a request; return whether its channel is kept."""
        request_id = request.header("request-id")
        headers = {"Request-Id": request_id, "Server-Load": f"{self.busy},0,{SLOTS}"}
        if request.header("expect-instance") != self.id:
            headers |= {"Not-Run": "1", "Instance-Id": self.id}
            writer.write(harness.encode(421, headers, b""))
            return True
        self.case.write(f"run {request_id} at {self.id}")
        self.busy += 1
        try:
            await asyncio.sleep(self.random.expovariate(1 / WORK_S))
        finally:
            self.busy -= 1
        body = self.bodies[request_id] = (request_id * 50).encode()
        headers["Response-Seal"] = "made"
        if self.random.random() >= UNFRAMED_SHARE:
            self.kinds["with a length"] += 1
            writer.write(harness.encode(200, headers, body))
            await writer.drain()
            return True
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers.items()), "", ""]
        writer.write("\r\n".join(lines).encode() + body[:400])
        await writer.drain()
        await asyncio.sleep(REST_S)
        if writer not in self.writers:
            self.kinds["reset on the way"] += 1
            self.case.write(f"{request_id} was reset on the way at {self.id}")
            return False
        self.kinds["without a length"] += 1
        writer.write(body[400:])
        with contextlib.suppress(OSError):
            await writer.drain()
        return False

    def reset_some(self, gateway: str) -> None:
        """Reset a share of a gateway's channels, idle ones and others."""
        for writer, name in list(self.writers.items()):
            if name == gateway and self.random.random() < RESET_SHARE:
                del self.writers[writer]
                harness.reset(writer)


async def call(
    case: harness.Case,
    gateway: harness.Gateway,
    gateways: dict[str, str],
    answers: dict,
    sent: asyncio.Event,
) -> None:
    """Send one request, and record it with its answer."""
    request_id = f"{random.getrandbits(64):016x}"
    gateways[request_id] = gateway.name
    headers = {
        "Host": "desk.example",
        "Request-Id": request_id,
        "Deadline-Ms": "3000",
        "Authorization": "Bearer key-hule930",
    }
    case.write(f"sent {request_id} to {gateway.name}")
    address = gateway.ip, case.port + harness.FRONT
    answer = await harness.send(
        address, "POST", "/stock/1", headers, b"x", 4.0, sent.set
    )
    answers[request_id] = answer
    case.write(f"answered {request_id} {answer.status} {len(answer.body)}")


async def clients(
    case: harness.Case,
    gateway: harness.Gateway,
    burst: int,
    servers: list[Server],
    answers: dict,
) -> None:
    """Send a few requests at a time to one gateway.

    Amid those to the first one, some of its channels are reset now and then.
    """
    generator = random.Random(gateway.name)
    loop = asyncio.get_running_loop()
    is_hit = case.has_trouble and gateway is case.gateways[0]
    next_reset_at = loop.time() + RESET_GAP_S
    while True:
        sent = asyncio.Event()
        for _ in range(burst):
            case.spawn(call(case, gateway, servers[0].gateways, answers, sent))
        if is_hit and loop.time() >= next_reset_at:
            next_reset_at += RESET_GAP_S
            await sent.wait()
            case.write(f"half of the channels of {gateway.name} to servers are reset")
            for server in servers:
                server.reset_some(gateway.name)
        await asyncio.sleep(generator.uniform(0.5, 1.5) * BURST_GAP_S)


def judge(case: harness.Case, servers: list[Server], answers: dict) -> bool:
    """Return whether a success has not the whole body of its server's answer."""
    bodies = {name: body for server in servers for name, body in server.bodies.items()}
    broken = 0
    for request_id, answer in answers.items():
        if 200 <= answer.status < 300 and answer.body != bodies[request_id]:
            size = len(bodies[request_id])
            case.write(f"BROKEN: MIXED {request_id} {len(answer.body)} bytes of {size}")
            broken += 1
    for server in servers:
        case.write(f"{server.id}: {dict(server.kinds)}")
    statuses = Counter(answer.status for answer in answers.values())
    case.write(f"answers {dict(statuses)}; broken {broken}")
    return broken > 0


async def play(case: harness.Case) -> bool:
    """Play the case; return whether the rule was broken."""
    sent_to: dict[str, str] = {}
    servers = [Server(case, number, sent_to) for number in range(2)]
    for server in servers:
        await server.start()
        case.heartbeat(server.id, server.entry)
    routes = [harness.route("stock", "unsafe", "stock", timeout_ms=3000)]
    services = [{"name": "stock", "health_path": "/health"}]
    case.store.put("keyed.op", "config", harness.configuration(routes, services))
    gateways = [case.gateway() for _ in BURSTS]
    for gateway in gateways:
        gateway.start()
    answers: dict[str, harness.Answer] = {}
    for gateway in gateways:
        await case.wait_ready(gateway)
    work = [
        case.spawn(clients(case, gateway, burst, servers, answers))
        for gateway, burst in zip(gateways, BURSTS, strict=True)
    ]
    await asyncio.sleep(PLAY_S)
    for task in work:
        task.cancel()
    await asyncio.sleep(5.0)
    return judge(case, servers, answers)


if __name__ == "__main__":
    harness.run(str(HERE), play)
