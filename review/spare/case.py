"""Many clients send long prompts within the limits at once."""

import asyncio
from pathlib import Path

from standins.clients import Ids
from standins.deployment import HAS_TROUBLE, LIMITS, Deployment, play, route
from standins.servers import Server

NODES = 2
STREAM_CLIENTS = 8
STREAM_MS = 12_000
DRAFT_MS = 5_000
CLIENTS = 40
LONG_BYTES = LIMITS["max_body_bytes"] - 4_096
SHORT_BYTES = 18_000
LINK_BYTES_PER_S = 125_000_000
"""A machine's link: 1,000 Mbit/s, which the clients share."""

ALLOWED = 3


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


async def send_draft(deployment, node, ids, body) -> None:
    """Send one request with a long prompt."""
    channel = deployment.channel(node)
    found = deployment.headers(ids.next()) | {"Token-Counts": "600,200"}
    rate = LINK_BYTES_PER_S / CLIENTS
    await channel.send(
        "POST", "/draft/x", found, body, deadline_ms=DRAFT_MS, bytes_per_s=rate
    )
    channel.close()


async def case() -> tuple[bool, str]:
    """Play the case."""
    async with Deployment(Path(__file__).parent, NODES) as deployment:
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
        await deployment.add_server(
            Server("i-drafts", "drafts", record, events=20, event_gap_s=0.1)
        )
        await deployment.start_nodes()
        ids, results = Ids(), []
        for node in deployment.nodes:
            deployment.spawn(node.enforce_memory())
            for _ in range(STREAM_CLIENTS):
                deployment.spawn(follow_streams(deployment, node, ids, results))
        await asyncio.sleep(5.0)
        body = b"x" * (LONG_BYTES if HAS_TROUBLE else SHORT_BYTES)
        for node in deployment.nodes:
            drafts = [send_draft(deployment, node, ids, body) for _ in range(CLIENTS)]
            await asyncio.gather(*drafts)
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
