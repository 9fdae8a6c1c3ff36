"""A server in trouble that sends a body without end which is no answer."""

import asyncio
from pathlib import Path

from standins.clients import Ids
from standins.deployment import HAS_TROUBLE, Deployment, play, route
from standins.servers import Server

NODES = 2
STREAM_CLIENTS = 8
STREAM_MS = 12_000
DRAFT_MS = 5_000
LINK_BYTES_PER_S = 125_000_000
"""A machine's link: 1,000 Mbit/s."""

PIECE = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
ALLOWED = 3
"""Requests on kept channels whose answers may be lost."""


class EndlessServer(Server):
    """A server in trouble: it answers with bytes that are no answer, without end."""

    async def run(self, request, writer) -> bool:
        """Send a body of no request until the caller closes."""
        request_id = request.headers.get("request-id", "")
        self.record.write(f"server {self.id} sends bytes without end to {request_id}")
        loop = asyncio.get_running_loop()
        began_at, sent = loop.time(), 0
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while True:
                writer.write(PIECE)
                await writer.drain()
                sent += len(PIECE)
                ahead_s = sent / LINK_BYTES_PER_S - (loop.time() - began_at)
                if ahead_s > 0:
                    await asyncio.sleep(ahead_s)
        finally:
            self.record.write(
                f"server {self.id} sent {sent / 1e6:.0f} MB and is closed"
            )


async def follow_streams(deployment, node, ids, results) -> None:
    """Request one stream after the other over a kept channel."""
    channel = deployment.channel(node)
    while True:
        found = deployment.headers(ids.next()) | {"Token-Counts": "600,200"}
        was_open = channel.writer is not None
        result = await channel.send(
            "POST", "/stream/x", found, b"prompt", deadline_ms=STREAM_MS
        )
        results.append((was_open, result))
        if result.outcome != "200":
            await asyncio.sleep(0.3)


async def case() -> tuple[bool, str]:
    """Play the case."""
    async with Deployment(Path(__file__).parents[1], NODES) as deployment:
        record = deployment.record
        deployment.configure(
            [
                route("stream", "streaming", "chat", timeout_ms=STREAM_MS),
                route("draft", "streaming", "drafts", timeout_ms=DRAFT_MS),
            ],
            ["chat", "drafts"],
        )
        sound = Server("i-sound", "chat", record, events=20, event_gap_s=0.1)
        await deployment.add_server(sound)
        kind = EndlessServer if HAS_TROUBLE else Server
        await deployment.add_server(kind("i-troubled", "drafts", record))
        await deployment.start_nodes()
        ids, results = Ids(), []
        for node in deployment.nodes:
            deployment.spawn(node.enforce_memory())
            for _ in range(STREAM_CLIENTS):
                deployment.spawn(follow_streams(deployment, node, ids, results))
        await asyncio.sleep(5.0)
        for _ in range(3):
            for node in deployment.nodes:
                channel = deployment.channel(node)
                found = deployment.headers(ids.next()) | {"Token-Counts": "600,200"}
                await channel.send(
                    "POST", "/draft/x", found, b"prompt", deadline_ms=DRAFT_MS
                )
                channel.close()
                await asyncio.sleep(2.0)
        passed_on = {request_id for _, request_id in sound.runs}
        lost = [
            result
            for was_open, result in results
            if was_open and result.outcome == "cut" and result.request_id in passed_on
        ]
        ends = {node.name: len(node.ends) for node in deployment.nodes}
        most = max(node.most_mb for node in deployment.nodes)
        why = (
            f"{len(lost)} requests from kept channels were passed on to the sound "
            f"server and their channels closed without a whole answer (allowed "
            f"{ALLOWED}); processes that ended by themselves: {ends}; most memory "
            f"{most:.0f} MB"
        )
        record.write(why)
        return len(lost) > ALLOWED, why


play(case)
