"""A holder that was replaced long ago takes the duties again and counts anew."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(HERE.parent / "6" / "tests"))

import harness  # noqa: E402

CUT_S = 5.5
HISTORY_S = 20.0
DOWN_S = 3.5
QUICK_S, SLOW_S = 0.05, 2.5


class Server(harness.Listener):
    """A sound server of a plain service."""

    def __init__(self, case: harness.Case, ip: str, server_id: str) -> None:
        super().__init__(ip, case.port)
        self.case, self.id = case, server_id

    def entry(self) -> dict:
        """Return the server's entry in the store."""
        return {
            "service": "stock",
            "address": self.address,
            "zone": "a",
            "version": "1",
            "slots": 40,
            "state": "ready",
            "cold_left_ms": 0,
        }

    async def handle(self, request: harness.Request) -> tuple[int, dict, bytes]:
        """See :meth:`harness.Listener.handle`."""
        if request.header("expect-instance") != self.id:
            return 421, {"Not-Run": "1", "Instance-Id": self.id}, b""
        request_id = request.header("request-id")
        self.case.write(f"run {request_id} at {self.id}")
        await asyncio.sleep(SLOW_S if request.target.startswith("/plan/") else QUICK_S)
        return 200, {"Request-Id": request_id, "Response-Seal": "made"}, b"done"


async def call(case: harness.Case, gateway: harness.Gateway, path: str, key: str):
    """Send one request, and record it with its answer."""
    request_id = f"{random.getrandbits(64):016x}"
    headers = {
        "Host": "desk.example",
        "Request-Id": request_id,
        "Deadline-Ms": "5000",
        "Authorization": f"Bearer {key}",
    }
    case.write(f"sent {request_id} {path} to {gateway.name}")
    address = gateway.ip, case.port + harness.FRONT
    answer = await harness.send(address, "POST", path, headers, b"x", 6.0)
    case.write(f"answered {request_id} {answer.status}")


async def clients(case: harness.Case, gateway: harness.Gateway) -> None:
    """Send quick and slow requests to one gateway until the end."""
    for number in range(10_000):
        key = ("key-hule930", "key-fida11")[number % 2]
        path = "/plan/1" if number % 4 == 0 else "/stock/1"
        case.spawn(call(case, gateway, path, key))
        await asyncio.sleep(0.15)


def usage(case: harness.Case) -> list[tuple]:
    """Return the accepted usage reports."""
    return [entry for entry in case.cloud.calls if entry[1] == "/usage"]


async def wait_for_holder(case: harness.Case, name: str, within_s: float) -> None:
    """Wait for a usage report of a gateway."""
    known, end = len(usage(case)), time.monotonic() + within_s
    while not any(entry[2] == name for entry in usage(case)[known:]):
        if time.monotonic() > end:
            raise harness.CaseError(f"no usage report of {name}")
        await asyncio.sleep(0.02)


async def kill_at_report(case: harness.Case, gateway: harness.Gateway) -> None:
    """Kill a gateway as soon as its next usage report has been accepted."""
    killed = asyncio.Event()

    def on_call(entry: tuple) -> None:
        if entry[1] == "/usage" and entry[2] == gateway.name and not killed.is_set():
            gateway.signal(signal.SIGKILL)
            killed.set()

    case.cloud.on_call = on_call
    await asyncio.wait_for(killed.wait(), 12.0)
    case.write(f"killed {gateway.name}, which acted last")
    gateway.kill()


def judge(case: harness.Case) -> bool:
    """Return whether two reports for one window were accepted with other counts."""
    counts: dict[int, dict] = {}
    broken = False
    for _, _, holder, fence, body in usage(case):
        case.write(f"usage {body['window_id']} {holder} {fence} {body['counts']}")
        before = counts.setdefault(body["window_id"], body["counts"])
        if before != body["counts"]:
            case.write(f"BROKEN: window {body['window_id']} twice: {before} before")
            broken = True
    return broken


async def play(case: harness.Case) -> bool:
    """Play the case; return whether the rule was broken."""
    servers = [Server(case, case.ip(210 + n), f"i-{n}") for n in range(3)]
    for server in servers:
        await server.start()
        case.heartbeat(server.id, server.entry)
    routes = [harness.route(n, "unsafe", "stock") for n in ("plan", "stock")]
    services = [{"name": "stock", "health_path": "/health"}]
    case.store.put("keyed.op", "config", harness.configuration(routes, services))
    links = [harness.Link(case.ip(220 + n), case.port, case.store) for n in range(2)]
    for link in links:
        await link.start()
    first, second = (case.gateway(store=link.address) for link in links)
    first.start()
    await case.wait_ready(first)
    case.spawn(clients(case, first))
    await wait_for_holder(case, first.name, 15.0)
    second.start()
    await case.wait_ready(second)
    case.spawn(clients(case, second))
    await asyncio.sleep(2.0)
    if case.has_trouble:
        case.write(f"{first.name} is cut off from the store for {CUT_S} s")
        links[0].cut()
        await asyncio.sleep(CUT_S)
        links[0].heal()
        await wait_for_holder(case, second.name, 12.0)
    await asyncio.sleep(HISTORY_S + 5.0)
    if case.has_trouble:
        await kill_at_report(case, second)
        await asyncio.sleep(DOWN_S)
        second.start()
    await asyncio.sleep(15.0)
    return judge(case)


if __name__ == "__main__":
    harness.run(str(HERE), play, keep_s=HISTORY_S)
