"""Exchange of crashes by parts of prompts, and of answers that clear parts.

Both are part of the state messages. A node that sees a crash also sends one at once.

A report of a crash names all parts of its prompt, also those that answers have cleared.
So the answers on its parts go along with it whenever it is sent, also to nodes that
started after these answers. A node that starts beside others takes all of both at once:
with a few reports of a part it would try again what the others refuse.
"""

from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec
from endive_core import part_crashes
from endive_core.crash_news import CrashNews
from endive_core.part_crashes import MAX_REPORTED_PARTS, PartTable
from endive_core.part_reports import PartAnswer, PartCrash
from endive_node.logs import log_event

from endive_gateway.quantities import Age, Name

MAX_CRASHES = 3
MAX_REPEATS = 1
"""Most crashes in one state message, and how many of them may have been sent before: a
crash takes up to 140 bytes."""

MAX_ANSWERS = 6
"""Most answers in one state message."""

MIN_RELAY_GAP_S = 0.1
"""Least time between two messages with which a node passes on at once what it has
learned, seconds. Otherwise its regular messages take it along."""

MAX_LOGGED_PARTS = 8
"""Parts of a prompt that a log line names, at most."""

Parts = Annotated[tuple[int, ...], msgspec.Meta(max_length=MAX_REPORTED_PARTS)]
CrashReport = tuple[Name, int, Parts, Age, Age]
"""A server with its incarnation, the hash of a request that it had not begun to answer,
the keys of the parts of its prompt, and the ages of request and crash in seconds."""

AnswerReport = tuple[int, Age]
"""The key of a part, and the age in seconds of the last answer that began on it."""


KnownCrashes = Annotated[
    list[CrashReport], msgspec.Meta(max_length=part_crashes.MAX_CRASHES)
]
KnownAnswers = Annotated[
    list[AnswerReport], msgspec.Meta(max_length=part_crashes.MAX_ANSWERS)
]


class PartEvidence(msgspec.Struct, array_like=True):
    """All that a node knows of crashes by parts, and the answers that matter for them.

    Attributes
    ----------
    crashes : list of CrashReport
    answers : list of AnswerReport
    """

    crashes: KnownCrashes
    answers: KnownAnswers


class PartExchange:
    """Sends what this node knows of crashing parts, and takes what others know.

    Parameters
    ----------
    announce_soon : callable
        Sends a state message to some other nodes within milliseconds.

    Attributes
    ----------
    accompanying : dict of int to PartAnswer
        By part, the answers that matter for the crashes of the current message.
    turn : int
        Number of such answers that were sent; of many, others are sent each time.
    """

    def __init__(self, table: PartTable, announce_soon: Callable[[], None]) -> None:
        self.table = table
        self.announce_soon = announce_soon
        self.next_relay_at = 0.0
        self.accompanying: dict[int, PartAnswer] = {}
        self.turn = 0
        self.news: CrashNews[PartCrash, PartAnswer] = CrashNews(table)
        table.clearing_listeners.append(self._log_cleared)

    def next_crashes(self, now: float, receivers: int) -> list[CrashReport]:
        """Return the crashes for a message to some nodes."""
        taken = self.news.take(
            now, limit=MAX_CRASHES, receivers=receivers, repeats=MAX_REPEATS
        )
        self.accompanying = self._answers_on(taken)
        return _crash_reports(taken, now)

    def _answers_on(self, crashes: Iterable[PartCrash]) -> dict[int, PartAnswer]:
        """Return by part the answers by which crashes don't count against it."""
        return {
            answer.part: answer
            for crash in crashes
            for answer in self.table.answers_on(crash)
        }

    def evidence(self, now: float) -> PartEvidence:
        """Return all that counts against parts and for them, for a starting node."""
        self.table.expire(now)
        crashes = list(self.table.crashes.values())
        answers = self._answers_on(crashes).values()
        return PartEvidence(_crash_reports(crashes, now), _answer_reports(answers, now))

    def learn_evidence(self, evidence: PartEvidence, now: float) -> None:
        """Apply what another node knew when this one started."""
        for part, age_s in evidence.answers:
            self.table.add_answer(PartAnswer(part, now - age_s))
        for crash in _read_crashes(evidence.crashes, now):
            self.news.learn_known(crash)

    def next_answers(self, now: float, receivers: int) -> list[AnswerReport]:
        """Return the answers for a message to some nodes, the newest of each part.

        Those that no node has yet been told of precede those that accompany crashes.
        """
        taken = self.news.take_successes(limit=MAX_ANSWERS, receivers=receivers)
        for answer in taken:
            self.accompanying.pop(answer.part, None)
        taken += self._next_accompanying(MAX_ANSWERS - len(taken))
        return _answer_reports(taken, now)

    def _next_accompanying(self, limit: int) -> list[PartAnswer]:
        """Return up to `limit` of the answers that go along with crashes."""
        answers = list(self.accompanying.values())
        if len(answers) <= limit:
            return answers
        first = self.turn % len(answers)
        self.turn += limit
        return (answers[first:] + answers[:first])[:limit]

    def learn(
        self,
        peer: str,
        crashes: Iterable[CrashReport],
        answers: Iterable[AnswerReport],
        now: float,
    ) -> None:
        """Apply what another node has sent."""
        learned = _read_crashes(crashes, now)
        delays_s = self._delays_s(learned)
        for part, age_s in answers:
            at = now - age_s - delays_s.get(part, 0.0)
            self.table.add_answer(PartAnswer(part, at))
        for crash in learned:
            if self.news.learn(crash):
                log_event(
                    "part_crash_learned",
                    peer=peer,
                    crash=crash.server,
                    parts=format_parts(crash.parts),
                    age_s=round(now - crash.at, 3),
                )
                self._relay(crash, now)

    def _delays_s(self, crashes: Iterable[PartCrash]) -> dict[int, float]:
        """Return by part how late a message's times are, by crashes known before.

        Each message delays the news. The time of a crash is that of the earliest one,
        but an answer that is told again and again would seem to follow a crash which it
        has preceded.
        """
        delays_s: dict[int, float] = {}
        for crash in crashes:
            known = self.table.crashes.get(crash.key)
            if known is None:
                continue
            for part in crash.parts:
                late_s = max(crash.at - known.at, delays_s.get(part, 0.0))
                delays_s[part] = late_s
        return delays_s

    def _relay(self, crash: PartCrash, now: float) -> None:
        """Pass a crash on at once if any part is suspected because of it."""
        is_suspected = any(self.table.is_implicated(part) for part in crash.parts)
        if is_suspected and now >= self.next_relay_at:
            self.next_relay_at = now + MIN_RELAY_GAP_S
            self.announce_soon()

    def _log_cleared(self, answer: PartAnswer) -> None:
        log_event("part_cleared", part=f"{answer.part:x}")


def _crash_reports(crashes: Iterable[PartCrash], now: float) -> list[CrashReport]:
    return [(c.server, c.prompt, c.parts, now - c.sent_at, now - c.at) for c in crashes]


def _answer_reports(answers: Iterable[PartAnswer], now: float) -> list[AnswerReport]:
    return [(answer.part, now - answer.at) for answer in answers]


def _read_crashes(reports: Iterable[CrashReport], now: float) -> list[PartCrash]:
    return [
        PartCrash(server, prompt, parts, now - sent_age_s, now - age_s)
        for server, prompt, parts, sent_age_s, age_s in reports
    ]


def format_parts(parts: tuple[int, ...]) -> str:
    """Return the keys of the parts of a prompt as the log shows them."""
    shown = ",".join(f"{part:x}" for part in parts[:MAX_LOGGED_PARTS])
    return f"{shown},..." if len(parts) > MAX_LOGGED_PARTS else shown
