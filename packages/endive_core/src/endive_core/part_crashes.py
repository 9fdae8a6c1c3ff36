"""Evidence on which part of a prompt crashes servers.

A part may crash each server that begins an answer on it, whatever else the request
holds. Requests that share it need not be alike in anything else, so their crashes are
counted by part, at any path, caller or service. The cause is one part of several:

- A server that ends implicates the parts of all requests that it had not begun to
  answer. The last part of a prompt belongs to one request and is left out.
- An answer that begins clears all of its parts of earlier crashes, and of the next few
  crashes for a short time, since the news of it and of them takes different ways.
- Only independent crashes add up: those of requests that were sent after the crash
  before. Many servers may end at one moment, of one cause, under the same part.
- A crash says nothing against a part if another part under it explains it, by crashes
  of as many different prompts, or of two.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import replace

from endive_core.part_reports import (
    NO_EVIDENCE,
    Evidence,
    PartAnswer,
    PartCrash,
)

VOUCHED_S = 5.0
VOUCHED_ROUNDS = 2
"""Time after an answer in which crashes don't count against its parts, seconds, and the
number of independent ones to which that is limited: a part may be answered by one
version of a server's software and crash the next."""

MAX_CRASHES = 512
MAX_ANSWERS = 4096
MAX_CRASHES_PER_PART = 16
"""Reports, parts with the time of their last answer, and reports of one part that are
kept, at most; the oldest are dropped."""

MAX_REPORTED_PARTS = 12
"""Parts that a report names, at most."""

MAX_ANSWERED_PARTS = 64
"""Parts of one prompt that its answer clears, at most. Callers may send thousands."""

EXPLAINING_PROMPTS = 2
"""Different prompts under which a part has crashed servers, from which on it explains
all crashes that it was part of. One prompt may be sent several times, and all that is
in it alone then looks as guilty as the cause."""

ROUNDS_OF_ONE_CAUSE = 3
"""Independent crashes from which on one part is taken for their cause rather than
several others, unless a few of these explain all."""

MAX_CAUSES = 4
LEAST_EXPLAINED = 2
"""Most parts that are taken for the causes in place of one, and the servers whose end
each of them must explain beyond the others: chance alone seldom has so few parts in all
prompts."""


class PartTable:
    """The crashes and answers that this node knows of, by part.

    Nodes send each other crashes and the answers that matter for them; repeats and
    order don't matter.

    Parameters
    ----------
    memory_s : float
        Time for which a crash counts, seconds.

    Attributes
    ----------
    crashes : OrderedDict
        Reports by server and prompt, the newest last.
    by_part : dict of int to dict
        Of each implicated part, the reports after its last answer.
    by_server : dict of str to set of int
        Parts in the reports of each server's end.
    ended : OrderedDict of str to float
        When servers ended, also those whose reports count against no part any more.
    answers : OrderedDict of int to float
        When an answer on each part last began, the newest last.
    listeners, success_listeners : list of callable
        Called with each :class:`PartCrash` that is new, and each :class:`PartAnswer`
        that other nodes need.
    clearing_listeners : list of callable
        Called with each :class:`PartAnswer` that ends the suspicion against its part.
    """

    def __init__(self, memory_s: float) -> None:
        self.memory_s = memory_s
        self.crashes: OrderedDict[tuple, PartCrash] = OrderedDict()
        self.by_part: dict[int, dict[tuple, PartCrash]] = {}
        self.by_server: dict[str, set[int]] = {}
        self.ended: OrderedDict[str, float] = OrderedDict()
        self.answers: OrderedDict[int, float] = OrderedDict()
        self.listeners: list[Callable[[PartCrash], None]] = []
        self.success_listeners: list[Callable[[PartAnswer], None]] = []
        self.clearing_listeners: list[Callable[[PartAnswer], None]] = []
        self.cached: dict[int, Evidence] = {}

    # Crashes

    def add(self, crash: PartCrash) -> bool:
        """Record a report; return whether it was new and implicates any part."""
        self.note_end(crash.server, crash.at)
        key = crash.key
        known = self.crashes.get(key)
        if known is not None and known.at <= crash.at:
            return False
        implicated = [part for part in crash.parts if self._implicates(crash, part)]
        if not implicated:
            return False
        if known is not None:
            self._remove(key)  # each message delays the news: the earliest is best
        self.crashes[key] = crash
        self.by_server.setdefault(crash.server, set()).update(crash.parts)
        for part in implicated:
            reports = self.by_part.setdefault(part, {})
            reports[key] = crash
            self.cached.pop(part, None)
            if len(reports) > MAX_CRASHES_PER_PART:
                self._unlink(part, min(reports, key=lambda k: reports[k].at))
        while len(self.crashes) > MAX_CRASHES:
            self._remove(next(iter(self.crashes)))
        if known is None:
            for listener in self.listeners:
                listener(crash)
        return known is None

    def note_end(self, server: str, at: float) -> None:
        """Record that a server ended, whatever it was running."""
        if server in self.ended:
            return
        self.ended[server] = at
        if len(self.ended) > MAX_CRASHES:
            self.ended.popitem(last=False)

    def _implicates(self, crash: PartCrash, part: int) -> bool:
        """Return whether `crash` is to be kept as a report on `part`."""
        if crash.at <= self._answered_at(part):
            return False
        reports = self.by_part.get(part, {})
        is_full = len(reports) >= MAX_CRASHES_PER_PART
        return not is_full or crash.at > min(kept.at for kept in reports.values())

    def report(self, crash: PartCrash) -> bool:
        """Record a crash that this node has seen; return whether it was new.

        The answers that this node has seen on its parts are passed on with it.
        """
        crash = replace(crash, parts=self.reported_parts(crash.parts, crash.at))
        if not crash.parts:
            return False
        is_new = self.add(crash)
        for part in crash.parts:
            answered_at = self._answered_at(part)
            if part in self.by_part and crash.at - answered_at <= VOUCHED_S:
                self._tell(PartAnswer(part, answered_at))
        return is_new

    def reported_parts(self, parts: tuple[int, ...], now: float) -> tuple[int, ...]:
        """Return the parts that a report names: implicated and unanswered ones first.

        A prompt may have thousands, and only a few fit into a message.
        """
        if len(parts) <= MAX_REPORTED_PARTS:
            return parts
        ranked = sorted(
            parts,
            key=lambda part: (
                part not in self.by_part,
                now - self._answered_at(part) <= VOUCHED_S,
            ),
        )
        return tuple(ranked[:MAX_REPORTED_PARTS])

    def contains(self, crash: PartCrash, now: float) -> bool:
        """Return whether `crash` is known and counts against any part."""
        known = self.crashes.get(crash.key)
        return known is not None and now - known.at <= self.memory_s

    def is_refused(self, crash: PartCrash, now: float) -> bool:
        """Return whether several crashes count against a part of `crash`."""
        return any(len(self.evidence(part).rounds) > 1 for part in crash.parts)

    def expire(self, now: float) -> None:
        """Forget the reports that are too old."""
        while self.crashes:
            key, crash = next(iter(self.crashes.items()))
            if now - crash.at <= self.memory_s:
                return
            self._remove(key)

    def _unlink(self, part: int, key: tuple) -> None:
        reports = self.by_part.get(part)
        if reports is not None and reports.pop(key, None) is not None:
            self.cached.pop(part, None)
            if not reports:
                del self.by_part[part]

    def _remove(self, key: tuple) -> None:
        crash = self.crashes.pop(key)
        for part in crash.parts:
            self._unlink(part, key)
        if not any(server == crash.server for server, _ in self.crashes):
            self.by_server.pop(crash.server, None)

    # Answers

    def add_answers(self, parts: tuple[int, ...], now: float) -> None:
        """Record that an answer begins on a prompt with `parts`."""
        for part in parts[:MAX_ANSWERED_PARTS]:
            self.add_answer(PartAnswer(part, now))

    def add_answer(self, answer: PartAnswer) -> None:
        """Record an answer on a part; earlier crashes no longer count against it.

        It is passed on if any crash under the part is known. One that precedes the
        crash vouches for the part for a short time.
        """
        part = answer.part
        if answer.at <= self._answered_at(part):
            return
        was_implicated = self.is_implicated(part)
        self.answers[part] = answer.at
        self.answers.move_to_end(part)
        if len(self.answers) > MAX_ANSWERS:
            self.answers.popitem(last=False)
        reports = self.by_part.get(part)
        if reports is None:
            return
        self.cached.pop(part, None)
        for key in [key for key, crash in reports.items() if crash.at <= answer.at]:
            self._unlink(part, key)
            self._drop_if_cleared(key)
        self._tell(answer)
        if was_implicated and not self.is_implicated(part):
            for listener in self.clearing_listeners:
                listener(answer)

    def answers_on(self, crash: PartCrash) -> list[PartAnswer]:
        """Return the answers by which a crash does not count against its parts."""
        return [
            PartAnswer(part, self.answers[part])
            for part in crash.parts
            if crash.at - self._answered_at(part) <= VOUCHED_S
        ]

    def _drop_if_cleared(self, key: tuple) -> None:
        """Forget a report that implicates no part any more."""
        parts = self.crashes[key].parts
        if not any(key in self.by_part.get(part, ()) for part in parts):
            self._remove(key)

    def _tell(self, answer: PartAnswer) -> None:
        for listener in self.success_listeners:
            listener(answer)

    def _answered_at(self, part: int) -> float:
        return self.answers.get(part, -math.inf)

    # Conclusions

    def evidence(self, part: int) -> Evidence:
        """Return what counts against a part."""
        if part not in self.by_part:
            return NO_EVIDENCE
        found = self.cached.get(part)
        if found is None:
            found = self.cached[part] = self._find_evidence(part)
        return found

    def _find_evidence(self, part: int) -> Evidence:
        all_of_it = Evidence.from_crashes(self.by_part[part].values())
        vouched_until = self._answered_at(part) + VOUCHED_S
        rounds = all_of_it.rounds
        vouched = sum(at <= vouched_until for at in rounds[:VOUCHED_ROUNDS])
        if vouched == len(rounds):
            return NO_EVIDENCE
        since = rounds[vouched]
        counted = [crash for crash in all_of_it.crashes if crash.at >= since]
        return Evidence.from_crashes(counted)

    def is_implicated(self, part: int) -> bool:
        """Return whether any crash counts against a part."""
        return bool(self.evidence(part).rounds)

    def suspected(self) -> list[int]:
        """Return the parts against which crashes count."""
        return [part for part in list(self.by_part) if self.is_implicated(part)]

    def unexplained(self, part: int, prompt: frozenset[int]) -> Evidence:
        """Return the crashes under `part` that no part outside of `prompt` explains.

        Several others together explain only a few, unless each is known from several
        crashes of its own: one cause is likelier than two.

        Parameters
        ----------
        prompt : frozenset of int
            The parts of a prompt, `part` among them.
        """
        found = self.evidence(part)
        explained = self._explanations(found, prompt)
        servers = {crash.server for crash in found.crashes}
        if any(ended == servers for ended in explained.values()):
            return NO_EVIDENCE
        if _explain_together(explained.values(), servers):
            return NO_EVIDENCE
        if len(found.rounds) >= ROUNDS_OF_ONE_CAUSE:
            return found
        explained_servers = set().union(*explained.values())
        return Evidence.from_crashes(
            crash for crash in found.crashes if crash.server not in explained_servers
        )

    def _explanations(
        self, found: Evidence, prompt: frozenset[int]
    ) -> dict[int, set[str]]:
        """Return the servers whose end each part outside of `prompt` explains."""
        least = min(found.prompts, EXPLAINING_PROMPTS)
        explained: dict[int, set[str]] = {}
        for crash in found.crashes:
            for other in self.by_server.get(crash.server, set()) - prompt:
                if self.evidence(other).prompts >= least:
                    explained.setdefault(other, set()).add(crash.server)
        return explained

    def servers_ended(self, since: float, part: int) -> tuple[int, int]:
        """Return how many servers have ended under `part` since then, and how many not.

        Those that end under another part of repeated crashes are left out.
        """
        crashes = self.evidence(part).crashes
        under = {crash.server for crash in crashes if crash.at >= since}
        others = 0
        for server, at in reversed(self.ended.items()):
            if at < since:
                break
            others += server not in under and not self._is_explained_end(server)
        return len(under), others

    def _is_explained_end(self, server: str) -> bool:
        parts = self.by_server.get(server, ())
        return any(self.evidence(p).prompts >= EXPLAINING_PROMPTS for p in parts)


def _explain_together(explained: Collection[set[str]], servers: set[str]) -> bool:
    """Return whether the ends of `servers` have a few separate causes.

    Parameters
    ----------
    explained : collection of set of str
        The servers whose end each other part explains.
    """
    left = set(servers)
    for _ in range(MAX_CAUSES):
        most = max(explained, key=lambda ended: len(ended & left), default=set())
        if len(most & left) < LEAST_EXPLAINED:
            return False
        left -= most
        if not left:
            return True
    return False
