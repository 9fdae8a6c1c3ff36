"""A second, late copy of a refusal is taken for the answer to the retry."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(HERE.parent / "6" / "tests"))

import harness  # noqa: E402

PLAY_S = 75.0
WORK_S = 0.05
SLOTS, QUEUE = 3, 1
GATEWAYS, RATE = 12, 9.0
SPOILT_SHARE = 0.03
SPELL_S, PAUSE_S = 6.5, 2.5
PROMISES = (408, 421, 429, 503)


class Server(harness.Listener):
    """A server that may send a second copy of some of its answers.

    The copy comes late, where the answer to the next request of the channel is due.
    """

    def __init__(self, case: harness.Case, number: int, *, spoils: bool) -> None:
        super().__init__(case.ip(210 + number), case.port)
        self.case, self.id, self.spoils = case, f"i-{number}", spoils
        self.zone = "abc"[number % 3]
        self.runs: Counter[str] = Counter()
        self.busy = self.answers = self.in_spells = self.copies = self.refusals = 0
        self.slot = asyncio.Semaphore(SLOTS)

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

    def is_due(self) -> bool:
        """Return whether another answer may be spoilt in this spell."""
        in_spell = (time.monotonic() - self.case.began_at) % (SPELL_S + PAUSE_S)
        if not self.spoils or in_spell > SPELL_S:
            return False
        self.in_spells += 1
        return self.copies + 1 <= SPOILT_SHARE * self.in_spells

    async def serve(self, reader, writer) -> None:
        """See :meth:`harness.Listener.serve`."""
        late = b""
        while True:
            request = await harness.read_request(reader)
            if late:
                self.case.write(f"late copy of a refusal from {self.id}")
                writer.write(late)
                await writer.drain()
            answer = harness.encode(*await self.handle(request))
            self.answers += 1
            is_spoilt = self.is_due() and answer.startswith(b"HTTP/1.1 503")
            late = answer if is_spoilt else b""
            self.copies += is_spoilt
            writer.write(answer)
            await writer.drain()

    async def handle(self, request: harness.Request) -> tuple[int, dict, bytes]:
        """See :meth:`harness.Listener.handle`."""
        request_id = request.header("request-id")
        load = f"{min(self.busy, SLOTS)},{max(0, self.busy - SLOTS)},{SLOTS}"
        headers = {"Request-Id": request_id, "Server-Load": load}
        if request.header("expect-instance") != self.id:
            return 421, headers | {"Not-Run": "1", "Instance-Id": self.id}, b""
        if self.busy >= SLOTS + QUEUE:
            self.refusals += 1
            self.case.write(f"refused {request_id} at {self.id}")
            return 503, headers | {"Not-Run": "1"}, b""
        self.busy += 1
        try:
            async with self.slot:
                self.runs[request_id] += 1
                self.case.write(f"run {request_id} at {self.id}")
                await asyncio.sleep(WORK_S)
        finally:
            self.busy -= 1
        headers |= {"Response-Seal": "made", "Content-Type": "text/event-stream"}
        events = [f"id: {n}\ndata: {request_id} {n}\n\n" for n in range(1, 4)]
        return 200, headers, "".join(events).encode()


async def call(case: harness.Case, gateway: harness.Gateway, answers: dict) -> None:
    """Send one request, and record it with its answer."""
    request_id = f"{random.getrandbits(64):016x}"
    headers = {
        "Host": "desk.example",
        "Request-Id": request_id,
        "Deadline-Ms": "3000",
        "Authorization": "Bearer key-hule930",
        "Model": "m",
        "Token-Counts": "400,12",
        "Prompt-Prefix": f"5c1e07a2:300,{random.getrandbits(32):08x}:100",
    }
    case.write(f"sent {request_id} to {gateway.name}")
    address = gateway.ip, case.port + harness.FRONT
    answer = await harness.send(address, "POST", "/stock/1", headers, b"x", 4.0)
    answers[request_id] = answer
    case.write(f"answered {request_id} {answer.status}")


async def clients(case: harness.Case, gateway: harness.Gateway, answers: dict) -> None:
    """Send requests to one gateway until the end."""
    generator = random.Random(gateway.name)
    while True:
        case.spawn(call(case, gateway, answers))
        await asyncio.sleep(generator.expovariate(RATE))


def judge(case: harness.Case, servers: list[Server], answers: dict) -> bool:
    """Return whether a request ran twice, or ran and was answered as not run."""
    runs = sum((server.runs for server in servers), Counter())
    broken = 0
    for request_id, answer in answers.items():
        if runs[request_id] > 1:
            case.write(f"BROKEN: TWICE {request_id} ran {runs[request_id]} times")
            broken += 1
        elif runs[request_id] and answer.status in PROMISES:
            case.write(f"BROKEN: REFUSED {request_id} ran, answered {answer.status}")
            broken += 1
    for server in servers:
        case.write(
            f"{server.id}: answers {server.answers}, refusals {server.refusals}, "
            f"copies {server.copies}"
        )
    statuses = Counter(answer.status for answer in answers.values())
    case.write(f"answers {dict(statuses)}; broken {broken}")
    return broken > 0


async def play(case: harness.Case) -> bool:
    """Play the case; return whether the rule was broken."""
    servers = [Server(case, n, spoils=case.has_trouble and n == 0) for n in range(2)]
    for server in servers:
        await server.start()
        case.heartbeat(server.id, server.entry)
    routes = [harness.route("stock", "streaming", "stock", sticky=True, max_attempts=2)]
    engine = {"slots": SLOTS, "stride": 4, "kv_capacity": 100_000}
    services = [{"name": "stock", "health_path": "/health", "engine": engine}]
    case.store.put("keyed.op", "config", harness.configuration(routes, services))
    gateways = [case.gateway() for _ in range(GATEWAYS)]
    for gateway in gateways:
        gateway.start()
    answers: dict[str, harness.Answer] = {}
    for gateway in gateways:
        await case.wait_ready(gateway)
    work = [case.spawn(clients(case, gateway, answers)) for gateway in gateways]
    await asyncio.sleep(PLAY_S)
    for task in work:
        task.cancel()
    await asyncio.sleep(5.0)
    return judge(case, servers, answers)


if __name__ == "__main__":
    harness.run(str(HERE), play)
