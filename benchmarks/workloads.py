"""Callers of the load model: conversations, batches, and their outcomes."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from endive_core.calls import Call
from endive_core.hashing import rendezvous_score
from endive_core.prefixes import BLOCK_TOKENS
from endive_core.resources import Weights
from load_jobs import Job
from load_model import Model

MAX_RETRIES = 5
"""How often a refused call is retried before its caller gives up."""


@dataclass(frozen=True)
class Traffic:
    """Calls of one organisation, a Poisson process of `rate` calls a second.

    Attributes
    ----------
    system_tokens : int
        Prompt tokens that all calls of the organisation share.
    turn_tokens, answer_tokens : tuple of int
        Bounds of the tokens that one call adds to its conversation, and of its answer.
    follow_up_share : float
        Fraction of the calls that continue a conversation.
    node : int or None
        The node that receives all calls, for a load balancer that is uneven; ``None``
        for a random node each time.
    """

    organisation: str
    rate: float
    start: float = 0.0
    end: float = 60.0
    system_tokens: int = 512
    turn_tokens: tuple[int, int] = (60, 180)
    answer_tokens: tuple[int, int] = (100, 300)
    follow_up_share: float = 0.75
    max_turns: int = 10
    level: int = 0
    bulk: bool = False
    target_s: float = 0.38
    weights: Weights = field(default_factory=Weights)
    node: int | None = None


@dataclass
class Conversation:
    """A conversation's prompt so far, as blocks."""

    name: str
    blocks: list[int]
    tokens: int
    turns: int = 0

    def extend(self, tokens: int) -> list[int]:
        """Add `tokens`; return the blocks that become complete."""
        self.tokens += tokens
        new = [
            rendezvous_score(self.name, str(number))
            for number in range(len(self.blocks), self.tokens // BLOCK_TOKENS)
        ]
        self.blocks += new
        return new


class Callers:
    """Sends the calls of one :class:`Traffic` to a model."""

    def __init__(self, model: Model, traffic: Traffic, seed: int) -> None:
        self.model = model
        self.traffic = traffic
        self.random = Random(seed)
        self.idle: deque[Conversation] = deque()
        self.call_count = 0

    def start(self) -> None:
        """Schedule the first call."""
        self.model.at(self.traffic.start + self._gap(), self._arrival)

    def _gap(self) -> float:
        return self.random.expovariate(self.traffic.rate)

    def _arrival(self) -> None:
        if self.model.now >= self.traffic.end:
            return
        self.send()
        self.model.at(self.model.now + self._gap(), self._arrival)

    def send(self) -> None:
        """Send one call."""
        conversation = self._conversation()
        traffic = self.traffic
        conversation.extend(self.random.randint(*traffic.turn_tokens))
        conversation.turns += 1
        answer = self.random.randint(*traffic.answer_tokens)
        self.call_count += 1
        call = Call(
            request_id=f"{traffic.organisation}-{self.call_count}",
            organisation=traffic.organisation,
            fingerprint=f"{traffic.organisation}-{self.call_count}",
            level=traffic.level,
            bulk=traffic.bulk,
            prompt_tokens=conversation.tokens,
            max_tokens=answer,
            blocks=tuple(conversation.blocks),
            target_s=traffic.target_s,
            weights=traffic.weights,
        )
        answer_blocks = conversation.extend(answer)
        job = Job(
            call,
            self.model.now,
            answer,
            answer_blocks,
            lambda j: self._done(j, conversation),
        )
        self.model.offer(job, node=traffic.node)

    def _conversation(self) -> Conversation:
        if self.idle and self.random.random() < self.traffic.follow_up_share:
            return self.idle.popleft()
        traffic = self.traffic
        name = f"{traffic.organisation}.{self.call_count}"
        shared = traffic.system_tokens // BLOCK_TOKENS
        blocks = [
            rendezvous_score(traffic.organisation, str(number))
            for number in range(shared)
        ]
        return Conversation(name, blocks, traffic.system_tokens)

    def _done(self, job: Job, conversation: Conversation) -> None:
        if job.finished_at is not None:
            if conversation.turns < self.traffic.max_turns:
                self.idle.append(conversation)
            return
        delay_s = job.refusals[-1].retry_after_s
        if delay_s is not None and job.offers <= MAX_RETRIES:
            self.model.at(
                self.model.now + delay_s,
                lambda: self.model.offer(job, node=self.traffic.node),
            )


class ConstantBatch:
    """A batch of constant size: each answered call is replaced by a new one."""

    def __init__(self, model: Model, traffic: Traffic, size: int, seed: int) -> None:
        self.callers = Callers(model, traffic, seed)
        self.callers._done = self._done
        self.model = model
        self.size = size

    def start(self) -> None:
        """Schedule the whole batch at once."""
        for _ in range(self.size):
            self.model.at(self.callers.traffic.start, self.callers.send)

    def _done(self, job: Job, conversation: Conversation) -> None:
        if job.finished_at is not None:
            self.callers.send()
            return
        delay_s = job.refusals[-1].retry_after_s
        self.model.at(
            self.model.now + (delay_s or 1.0),
            lambda: self.model.offer(job, node=self.callers.traffic.node),
        )


@dataclass
class Outcome:
    """Results of one run for callers and operators.

    Attributes
    ----------
    within : float
        Fraction of the admitted interactive calls with the first token within target.
    within_worst : float
        The same for the organisation and priority with the lowest fraction.
    refused, gave_up : int
        Refused offers of interactive calls, and calls that were never admitted before
        their callers gave up or the run ended.
    honest : float
        Admitted calls among those retried, over the number of retries; retries come
        after the retry-after time of the refusal.
    returns : int
        Number of retries of refused calls.
    goodput : float
        Tokens of good answers over the decode capacity of all slots. An answer is good
        if its call is bulk or its first token came within target.
    recomputed, wasted : int
        Prefilled tokens that some server had computed before; tokens spent on calls
        without an answer.
    server_s : float
        Server-seconds for each good answer.
    shares : dict
        Tokens answered for each organisation.
    """

    within: float
    within_worst: float
    p95_s: float
    refused: int
    gave_up: int
    honest: float
    returns: int
    goodput: float
    recomputed: int
    prefilled: int
    wasted: int
    server_s: float
    by_class: dict[tuple[str, int], float]
    shares: dict[str, float]
    offered: dict[str, float]


def outcome(model: Model, *, start: float, end: float) -> Outcome:
    """Summarise calls offered and answers finished between `start` and `end`."""
    interactive = [j for j in model.jobs if not j.call.bulk]
    measured = [
        j
        for j in interactive
        if start <= j.first_offered_at < end and j.ticket is not None
    ]
    by_class: dict[tuple[str, int], list[bool]] = {}
    for job in measured:
        key = (job.call.organisation, job.call.level)
        by_class.setdefault(key, []).append(_within_target(job))
    parts = {key: sum(values) / len(values) for key, values in by_class.items()}
    good = [
        j
        for j in model.jobs
        if j.finished_at is not None
        and start <= j.finished_at < end
        and (j.call.bulk or _within_target(j))
    ]
    cluster = model.cluster
    capacity = cluster.servers * cluster.slots * cluster.decode_tokens_per_s
    shares: dict[str, float] = {}
    offered: dict[str, float] = {}
    for job in model.jobs:
        name = job.call.organisation
        if start <= job.first_offered_at < end:
            offered[name] = offered.get(name, 0) + job.answer_tokens
        if job.finished_at is not None and start <= job.finished_at < end:
            shares[name] = shares.get(name, 0) + job.answer_tokens
    retried = [j for j in interactive if j.offers > 1]
    returns = sum(j.offers - 1 for j in retried)
    admitted = sum(j.ticket is not None for j in retried)
    waits = sorted((j.first_token_at or 1e9) - j.offered_at for j in measured)
    alive = sum(not server.dead for server in model.servers.values())
    return Outcome(
        within=sum(_within_target(j) for j in measured) / max(1, len(measured)),
        within_worst=min(parts.values(), default=0.0),
        p95_s=waits[int(len(waits) * 0.95)] if waits else 0.0,
        refused=sum(len(j.refusals) for j in interactive),
        gave_up=sum(j.ticket is None for j in interactive),
        honest=admitted / returns if returns else 1.0,
        returns=returns,
        goodput=sum(j.answer_tokens for j in good) / (capacity * (end - start)),
        recomputed=model.recomputed_tokens,
        prefilled=model.prefilled_tokens,
        wasted=model.wasted_tokens,
        server_s=alive * (end - start) / max(1, len(good)),
        by_class=parts,
        shares=shares,
        offered=offered,
    )


def _within_target(job: Job) -> bool:
    if job.first_token_at is None:
        return False
    return job.first_token_at - job.offered_at <= job.call.target_s


def max_min_shares(offered: dict[str, float], capacity: float) -> dict[str, float]:
    """Return each organisation's max-min fair share, at most its offer."""
    fair: dict[str, float] = {}
    left = dict(offered)
    while left:
        part = capacity / len(left)
        small = {name: value for name, value in left.items() if value <= part}
        if not small:
            fair.update(dict.fromkeys(left, part))
            break
        for name, value in small.items():
            fair[name] = value
            capacity -= value
            del left[name]
    return fair
