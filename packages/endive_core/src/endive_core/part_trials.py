"""Decides which requests go on while parts of prompts crash servers.

The evidence of :mod:`.part_crashes` names one of several parts, so the next request
with one of them is also the next trial: it shows whether the part is the cause.

- While a part is suspected, one request with it at a time is sent alone. The others
  wait for its outcome: the first token, or the end of its server.
- Once its crashes have no other explanation, all requests with it are refused at once.
- Later, one request is tried again: a new version of the servers' software may answer
  it, and a part that was refused wrongly must come back. The time to the next trial
  grows with each that ends a server.

Which node may try next is decided by hashing, without messages: at first a few nodes,
then twice as many in each further step, so that among many nodes few try at the same
moment, and none has to wait for one that gets no such request.
"""

import itertools
import math
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from endive_core.calls import Refusal
from endive_core.exceptions import ErrorKind
from endive_core.hashing import rendezvous_score
from endive_core.part_crashes import PartTable
from endive_core.part_reports import PartAnswer
from endive_core.policy import Policy

REFUSED_FROM = 2
"""Independent crashes without another explanation from which a part is refused."""

REFUSED_FROM_AMID_OTHERS = 3
"""The same while as many servers end under other parts, for example in a reclaim."""

OTHERS_WINDOW_S = 10.0
"""Time in which servers that ended under other parts are counted, seconds."""

SUSPECT_STEP_S = 0.2
"""Time in which twice as many nodes may try a suspected part, seconds. A trial and the
news of it take about as long."""

REFUSED_STEP_S = 1.0
"""The same for a refused part, of which no request waits, seconds."""

CRASHED_HEAD_START_S = 0.4
"""Time by which a request under which a server has ended may be tried sooner than
others, seconds."""

MAX_WAIT_S = 1.0
"""Longest time for which a request waits for trials of other requests, seconds."""

FIRST_TRIAL_S = 10.0
MAX_TRIAL_S = 300.0
TRIAL_GROWTH = 4.0
"""Time from the last crash of a refused part to its next trial: the first, the longest,
seconds, and its growth with each trial that ends a server."""


class Standing(StrEnum):
    """What may become of a request now."""

    SOUND = "sound"
    TRIED = "tried"
    WAITING = "waiting"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Judgement:
    """What may become of a request, and the evidence.

    Attributes
    ----------
    parts : tuple of int
        The suspected parts of its prompt; of a refused one the part that it is
        refused for.
    crashes : int
        Independent crashes that count against the latter.
    """

    standing: Standing
    parts: tuple[int, ...] = ()
    crashes: int = 0


SOUND = Judgement(Standing.SOUND)


class PartTrials:
    """The trials of suspected parts at this node.

    Attributes
    ----------
    table : PartTable
        What this node knows of all crashes.
    node : str
        This node's address.
    nodes : int
        Number of live nodes, this one included.
    under_way : Counter of int
        Requests of this node with each suspected part that wait for a first token.
    informed_from : float
        When this node knows what the others know, clock time in seconds. Before that it
        tries no refused part: it may not have heard of the latest trial.
    outcomes : Counter of str
        Requests that were refused, tried, or kept waiting, and parts that were cleared.
    """

    def __init__(self, table: PartTable, node: str = "") -> None:
        self.table = table
        self.node = node
        self.nodes = 1
        self.informed_from = -math.inf
        self.under_way: Counter[int] = Counter()
        self.outcomes: Counter[str] = Counter()
        table.clearing_listeners.append(self._count_cleared)

    def judge(
        self,
        parts: tuple[int, ...],
        now: float,
        *,
        crashed: bool = False,
        waited_s: float = 0.0,
    ) -> Judgement:
        """Return what may become of a request now.

        Parameters
        ----------
        parts : tuple of int
            Keys of the parts of its prompt, the last one aside.
        crashed : bool
            Whether a server has ended under this request. It is a good trial, since
            its node knows of that crash first and its caller has waited already.
        waited_s : float
            Time for which it has waited for other trials, seconds.
        """
        by_part = self.table.by_part
        if not by_part or by_part.keys().isdisjoint(parts):
            return SOUND
        self.table.expire(now)
        suspected = tuple(p for p in parts if self.table.is_implicated(p))
        if not suspected:
            return SOUND
        prompt = frozenset(parts)
        for part in suspected:
            rounds = self.table.unexplained(part, prompt).rounds
            if len(rounds) >= self._refused_from(part, now):
                if not self._is_trial_due(part, now):
                    return Judgement(Standing.REFUSED, (part,), len(rounds))
                return Judgement(Standing.TRIED, suspected)
        if waited_s >= MAX_WAIT_S:
            return Judgement(Standing.TRIED, suspected)
        if any(self.under_way[part] for part in suspected):
            return Judgement(Standing.WAITING, suspected)
        head_start_s = CRASHED_HEAD_START_S if crashed else 0.0
        may_try = self._is_turn(suspected, now + head_start_s)
        return Judgement(Standing.TRIED if may_try else Standing.WAITING, suspected)

    def _refused_from(self, part: int, now: float) -> int:
        under, others = self.table.servers_ended(now - OTHERS_WINDOW_S, part)
        return REFUSED_FROM if others < max(1, under) else REFUSED_FROM_AMID_OTHERS

    def _is_turn(self, parts: tuple[int, ...], now: float) -> bool:
        """Return whether this node may try suspected parts now."""
        crashes = [self.table.evidence(part).crashes[-1] for part in parts]
        last = max(crashes, key=lambda crash: crash.at)
        return self._is_among(last.server, now - last.at, SUSPECT_STEP_S)

    def _is_trial_due(self, part: int, now: float) -> bool:
        """Return whether this node may try a refused part now."""
        if self.under_way[part] or now < self.informed_from:
            return False
        evidence = self.table.evidence(part)
        late_s = now - evidence.last_at - trial_delay_s(evidence.rounds)
        last = evidence.crashes[-1].server
        return late_s >= 0 and self._is_among(last, late_s, REFUSED_STEP_S)

    def _is_among(self, key: str, since_s: float, step_s: float) -> bool:
        """Return whether this node is among those chosen by `since_s`.

        One node is at first, and twice as many after each `step_s` seconds.
        """
        share = 2.0 ** min(since_s / step_s, 64.0) / self.nodes
        return rendezvous_score(key, self.node) < share * 2.0**64

    def _count_cleared(self, answer: PartAnswer) -> None:
        self.outcomes["cleared"] += 1

    def count_waiting(self) -> None:
        """Record that a request begins to wait for trials of others."""
        self.outcomes["waited"] += 1

    def begin(self, parts: tuple[int, ...]) -> None:
        """Record that a request has been sent, with suspected parts or without any."""
        if parts:
            self.outcomes["tried"] += 1
            self.under_way.update(parts)

    def end(self, parts: tuple[int, ...]) -> None:
        """Record that such a request waits for a first token no more."""
        for part in parts:
            self.under_way[part] -= 1
            if self.under_way[part] <= 0:
                del self.under_way[part]

    def refusal(self, policy: Policy) -> Refusal:
        """Return the refusal of a request with a part on which servers crash.

        Its caller is told to return as late as callers are ever told, since it can only
        be served after a trial.
        """
        self.outcomes["refused"] += 1
        return Refusal.from_kind(
            ErrorKind.POISON_REQUEST,
            "servers crashed when they began an answer on a part of this prompt",
            policy.max_retry_after_s,
        )

    def is_outdated(self, parts: tuple[int, ...], decided_at: float) -> bool:
        """Return whether a part has crashed a server since a request was dispatched.

        Parameters
        ----------
        decided_at : float
            When it was dispatched, clock time in seconds.
        """
        by_part = self.table.by_part
        if not by_part or by_part.keys().isdisjoint(parts):
            return False
        return any(
            self.table.evidence(part).last_at > decided_at
            for part in parts
            if self.table.is_implicated(part)
        )


def trial_delay_s(rounds: tuple[float, ...]) -> float:
    """Return the time from the last crash of a refused part to its next trial.

    A crash counts as that of a trial if one was due; how long after the crash before it
    came says nothing.

    Parameters
    ----------
    rounds : tuple of float
        Times of its independent crashes, seconds.
    """
    delay_s = FIRST_TRIAL_S
    for earlier, later in itertools.pairwise(rounds[REFUSED_FROM - 1 :]):
        if later - earlier >= delay_s:
            delay_s = min(MAX_TRIAL_S, TRIAL_GROWTH * delay_s)
    return delay_s
