"""Generated requests: classes, sessions with shared prefixes, and a varying rate."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
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


@dataclass
class Profile:
    """Rates over time: the periodic load, bursts and organisations, drawn by a seed.

    Attributes
    ----------
    kind_bursts, organisation_bursts : list of tuple
        Name or number, begin, end and factor of each burst.
    weights : list of float
        Part of the usual requests that each organisation sends.
    """

    deployment: Deployment
    kind_bursts: list[tuple[str, float, float, float]] = field(default_factory=list)
    organisation_bursts: list[tuple[int, float, float, float]] = field(
        default_factory=list
    )
    weights: list[float] = field(default_factory=list)

    @classmethod
    def draw(cls, deployment: Deployment, seed: int) -> "Profile":
        """Draw the times and factors of the bursts."""
        random = Random(f"bursts {seed}")
        profile = cls(deployment)
        spec = deployment.organisations
        count = spec.count if spec else 1
        weights = [(n + 1) ** -(spec.skew if spec else 0.0) for n in range(count)]
        profile.weights = [weight / sum(weights) for weight in weights]
        for burst in deployment.bursts:
            begin = random.uniform(*burst.at_s)
            end = begin + random.uniform(*burst.for_s)
            factor = random.uniform(*burst.factor)
            if burst.kind:
                profile.kind_bursts.append((burst.kind, begin, end, factor))
            for number in random.sample(range(count), burst.organisations):
                profile.organisation_bursts.append((number, begin, end, factor))
        return profile

    def kind_factor(self, kind: str, now: float) -> float:
        """Return the rate of a class at `now` as a multiple of its mean."""
        swing, period_s = self.deployment.swing, self.deployment.period_s
        factor = 1 + swing * math.sin(2 * math.pi * now / period_s)
        for name, begin, end, multiple in self.kind_bursts:
            if name == kind and begin <= now < end:
                factor *= multiple
        return factor

    def organisation_rates(self, now: float) -> list[float]:
        """Return the organisations' rates at `now`; the usual ones add up to 1."""
        rates = list(self.weights)
        for number, begin, end, multiple in self.organisation_bursts:
            if begin <= now < end:
                rates[number] = max(rates[number], self.weights[number] * multiple)
        return rates

    @property
    def bound(self) -> float:
        """Upper bound of the rate of any class as a multiple of its mean."""
        bound = 1 + self.deployment.swing
        for _, _, _, multiple in self.kind_bursts:
            bound *= max(1.0, multiple)
        extra = sum(
            self.weights[number] * max(0.0, multiple - 1)
            for number, _, _, multiple in self.organisation_bursts
        )
        return bound * (1 + extra)


def arrivals(deployment: Deployment, seed: int) -> Iterator[Arrival]:
    """Yield all requests of one simulation in order of time, determined by `seed`."""
    random = Random(seed)
    profile = Profile.draw(deployment, seed)
    kinds = list(deployment.requests.items())
    sessions = {name: _sessions(kind, random) for name, kind in kinds}
    bound = profile.bound
    rate = sum(kind.per_s for _, kind in kinds) * bound
    now, number = 0.0, 0
    while True:
        now += random.expovariate(rate)
        if now >= deployment.seconds:
            return
        name, kind = random.choices(kinds, [kind.per_s for _, kind in kinds])[0]
        by_organisation = profile.organisation_rates(now)
        factor = profile.kind_factor(name, now) * sum(by_organisation)
        if random.random() > factor / bound:
            continue
        number += 1
        node = random.randrange(deployment.nodes)
        shared = random.choice(sessions[name])
        own = ((number << 8) + 1, _draw(kind.own_tokens, random))
        parts = (*shared, own)
        blocks, ends = part_blocks("m", parts)
        organisation = random.choices(range(len(by_organisation)), by_organisation)[0]
        call = Call(
            request_id=f"r{number}",
            organisation=f"o{organisation}",
            deployment=name,
            level=-kind.priority,
            prompt_tokens=ends[-1],
            max_tokens=_draw(kind.answer_tokens, random),
            blocks=blocks,
            block_ends=ends,
            target_s=kind.target_ms / 1000,
            deadline=now + kind.deadline_ms / 1000,
            fingerprint=f"r{number}",
        )
        yield Arrival(now, node, name, call, parts, call.max_tokens)


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
