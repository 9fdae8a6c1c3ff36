"""Generated requests: classes, sessions with shared prefixes, and a varying rate."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from endive_core.calls import Call
from endive_core.prefixes import part_blocks

from experiments.deployment import Deployment, Length, Requests

MIN_TOKENS = 16


@dataclass(frozen=True)
class Arrival:
    """One request, with its node, its prompt and the length of its answer.

    Attributes
    ----------
    parts : tuple of (int, int)
        Hash and tokens of each part of its prompt.
    """

    at: float
    node: int
    kind: str
    call: Call
    parts: tuple[tuple[int, int], ...]
    answer_tokens: int


def arrivals(deployment: Deployment, seed: int) -> Iterator[Arrival]:
    """Yield all requests of one simulation in order of time, determined by `seed`."""
    random = Random(seed)
    kinds = list(deployment.requests.items())
    sessions = {name: _sessions(kind, random) for name, kind in kinds}
    rate = sum(kind.per_s for _, kind in kinds) * (1 + deployment.swing)
    now, number = 0.0, 0
    while True:
        now += random.expovariate(rate)
        if now >= deployment.seconds:
            return
        if random.random() > _load_share(deployment, now):
            continue
        name, kind = random.choices(kinds, [kind.per_s for _, kind in kinds])[0]
        number += 1
        node = random.randrange(deployment.nodes)
        shared = random.choice(sessions[name])
        own = ((number << 8) + 1, _draw(kind.own_tokens, random))
        parts = (*shared, own)
        blocks, ends = part_blocks("m", parts)
        call = Call(
            request_id=f"r{number}",
            organisation="o",
            level=-kind.priority,
            prompt_tokens=ends[-1],
            max_tokens=_draw(kind.answer_tokens, random),
            blocks=blocks,
            block_ends=ends,
            target_s=kind.target_ms / 1000,
            deadline=now + kind.deadline_ms / 1000,
        )
        yield Arrival(now, node, name, call, parts, call.max_tokens)


def _load_share(deployment: Deployment, now: float) -> float:
    """Return the load at `now` as a fraction of the peak load."""
    swing = deployment.swing
    wave = math.sin(2 * math.pi * now / deployment.period_s)
    return (1 + swing * wave) / (1 + swing)


def _sessions(kind: Requests, random: Random) -> list[tuple]:
    common = [
        (random.getrandbits(40) << 8, _draw(kind.common_tokens, random))
        for _ in range(kind.common)
    ]
    return [
        (
            random.choice(common),
            (random.getrandbits(40) << 8, _draw(kind.session_tokens, random)),
        )
        for _ in range(kind.sessions)
    ]


def _draw(length: Length, random: Random) -> int:
    """Draw from the log-normal distribution of `length`, within its bounds."""
    mu = math.log(length.mean) - length.spread**2 / 2
    drawn = random.lognormvariate(mu, length.spread)
    return int(max(MIN_TOKENS, min(length.most, drawn)))
