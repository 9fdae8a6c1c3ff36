"""Specification of claims: one idempotency key, submitted repeatedly to several nodes.

A step is any one event that can happen next. An enabled step need never be taken, so
delays, pauses, lost appends and a log outage need no steps of their own: a paused node
takes none of its steps while the others take theirs; a record that stays in flight is
lost or late; while no append takes effect, the log is down. Steps of their own model a
crash, an append that takes effect twice because its response was lost, and a connection
lost after the request was sent.

The state charts of requests and claims and the claim table are those of the production
code.
"""

from functools import lru_cache
from typing import Any, NamedTuple

from endive_core.claims import (
    CLAIM_TABLE,
    ClaimEvent,
    ClaimOutcome,
    ClaimState,
    ClaimTable,
    ClaimVerdict,
    NoFlags,
)
from endive_core.lifecycle import REQUEST_TABLE, Event, Flags, State
from endive_core.records import Claim, Release

KEY = "key"
NOT_RECEIVED = "not_here"
CRASHED = "crashed"
NO_CLAIM = "none"
TERMINAL_STATES = frozenset({CRASHED, State.FINISHED, State.FAILED, State.REFUSED})


class Server(NamedTuple):
    """The request at the backend server.

    Attributes
    ----------
    at : str
        Where the request is: arriving, refused, running, done, or nowhere if empty.
    runs : int
        How often it ran.
    ran_under : int
        The number of the claim under which it ran last.
    """

    at: str = ""
    runs: int = 0
    ran_under: int = 0


class Submission(NamedTuple):
    """One submission of the key by the caller, and the state of the node that took it.

    `tries` counts the claims made; the id of the current one is
    ``(submission, tries)``. `executed` is that field of the response to the caller,
    empty until there is one.
    """

    lifecycle: str = NOT_RECEIVED
    flags: Flags = Flags(non_idempotent=True)
    claim: str = NO_CLAIM
    tries: int = 0
    dispatch_count: int = 0
    executed: str = ""
    server: Server = Server()


class Append(NamedTuple):
    """A claim or release record, in flight to the log or in it."""

    kind: str
    submission: int
    tries: int

    def record(self) -> Claim | Release:
        """Return the record in the production code's type."""
        name = f"{self.submission}.{self.tries}"
        if self.kind == "release":
            return Release(name, KEY)
        return Claim(name, KEY, f"node-{self.submission}", name)


class ClaimsModel:
    """Several submissions of one key, each to its own node.

    Parameters
    ----------
    tries : tuple of int
        For each submission of the key, how many claims its node may make in turn.
    copies : int
        How often one claim may be appended; 2 models an append whose response is lost.
    dispatches : int
        How often the node may dispatch one submission; more than 1 models servers that
        refuse before starting.
    """

    fields = ("log", "in_flight", "submissions")
    table_class = ClaimTable

    def __init__(
        self, tries: tuple[int, ...] = (2, 1), copies: int = 1, dispatches: int = 1
    ) -> None:
        self.tries, self.copies, self.dispatches = tries, copies, dispatches
        self.logs: dict[tuple, tuple] = {}
        self.name = f"{type(self).__name__} {tries} {copies} {dispatches}"

    def initial(self) -> tuple:
        """Return the state before the caller submits anything."""
        return ((), (), (Submission(),) * len(self.tries))

    def steps(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return every transition from `state`, as (label, next state)."""
        log, in_flight, submissions = state
        found = []
        for record in sorted(set(in_flight)):
            rest = list(in_flight)
            rest.remove(record)
            label = f"log takes {record.kind} {record.submission}.{record.tries}"
            found.append(
                (label, (self.extend_log(log, record), tuple(rest), submissions))
            )
        for i, submission in enumerate(submissions):
            for label, after, appended in self.node_steps(state, i, submission):
                changed = (*submissions[:i], canonical(after), *submissions[i + 1 :])
                waiting = tuple(sorted((*in_flight, *appended)))
                found.append((f"{label} {i}", (log, waiting, changed)))
            for label, server in self.server_steps(submission):
                after = submission._replace(server=server)
                changed = (*submissions[:i], canonical(after), *submissions[i + 1 :])
                found.append((f"{label} {i}", (log, in_flight, changed)))
        return found

    def extend_log(self, log: tuple, record: Append) -> tuple:
        """Return the log with `record` appended, or an equivalent log seen before.

        Two logs are equivalent if they hold the same records and the table folds them
        to the same state. Without this reduction the exploration would visit every
        order of the records.
        """
        longer = (*log, record)
        same = (frozenset(longer), table_state(fold(longer, self.table_class)))
        return self.logs.setdefault(same, longer)

    def server_steps(self, submission: Submission):
        """Yield the steps of the backend server and of the connection to it."""
        at, runs, _ = submission.server
        if at == "arriving":
            yield "server runs", Server("running", runs + 1, submission.tries)
            yield "server refuses", submission.server._replace(at="refused")
        elif at == "running":
            yield "server completes", submission.server._replace(at="done")

    def node_steps(self, state: tuple, i: int, submission: Submission):
        """Yield the steps of a node, as (label, submission after, records appended)."""
        if submission.lifecycle == NOT_RECEIVED:
            yield "arrives", submission._replace(lifecycle=State.ACCEPTED), ()
            return
        if submission.lifecycle in TERMINAL_STATES:
            return
        yield (
            "crash",
            submission._replace(
                lifecycle=CRASHED, executed=submission.executed or "unknown"
            ),
            (),
        )
        yield from self.claim_steps(state, i, submission)
        yield from self.dispatch_steps(state, i, submission)
        yield from self.give_up_steps(state, i, submission)

    def claim_steps(self, state: tuple, i: int, submission: Submission):
        """Yield making a claim, appending it again, and reading the decision."""
        if submission.lifecycle == State.ACCEPTED and submission.tries < self.tries[i]:
            claimed = fire(submission, Event.CLAIM)._replace(
                claim=ClaimState.PENDING, tries=submission.tries + 1
            )
            yield "claim", claimed, (Append("claim", i, self.number(claimed)),)
        if submission.lifecycle != State.CLAIMING:
            return
        log, in_flight, _ = state
        mine = Append("claim", i, self.number(submission))
        if log.count(mine) + in_flight.count(mine) < self.copies:
            yield "append again", submission, (mine,)
        if mine in log:
            yield from self.read_back(state, i, submission)

    def number(self, submission: Submission) -> int:
        """Return the number that tells the current claim's id from earlier ones."""
        return submission.tries

    def read_back(self, state: tuple, i: int, submission: Submission):
        """Yield acting on the decision that the log's order gives."""
        if self.outcome(state, i, submission).verdict is ClaimVerdict.WON:
            yield "won", fire_claim(fire(submission, Event.WON), ClaimEvent.WON), ()
        else:
            joined = fire(fire(submission, Event.LOST), Event.FAIL)
            after = fire_claim(joined, ClaimEvent.LOST)._replace(executed="unknown")
            yield "lost", after, (Append("release", i, self.number(submission)),)

    def outcome(self, state: tuple, i: int, submission: Submission) -> ClaimOutcome:
        """Return how the production claim table decides the claim of `submission`."""
        return fold(state[0], self.table_class).outcome(
            f"{i}.{self.number(submission)}"
        )

    def dispatch_steps(self, state: tuple, i: int, submission: Submission):
        """Yield dispatching the request, and the results that the node observes."""
        if (
            submission.lifecycle == State.CLAIMED
            and submission.dispatch_count < self.dispatches
        ):
            used = fire_claim(fire(submission, Event.DISPATCH), ClaimEvent.USE)
            server = submission.server._replace(at="arriving")
            yield (
                "dispatch",
                used._replace(
                    dispatch_count=submission.dispatch_count + 1, server=server
                ),
                (),
            )
        if submission.lifecycle != State.DISPATCHED:
            return
        if submission.server.at == "done":
            yield (
                "complete",
                fire(submission, Event.COMPLETE)._replace(executed="yes"),
                (),
            )
        if submission.server.at == "refused":
            yield "not_started", self.not_started(submission), ()
        yield "fail", self.connection_lost(submission), ()

    def not_started(self, submission: Submission) -> Submission:
        """Return `submission` after the server reported that it did not start."""
        back = fire_claim(fire(submission, Event.NOT_STARTED), ClaimEvent.NOT_STARTED)
        return back._replace(server=submission.server._replace(at=""))

    def connection_lost(self, submission: Submission) -> Submission:
        """Return `submission` after its connection broke before the response ended."""
        return fire(submission, Event.FAIL)._replace(executed="unknown")

    def give_up_steps(self, state: tuple, i: int, submission: Submission):
        """Yield refusing as "not run", and a handover that the peer declines."""
        if allows(submission, Event.REFUSE):
            after, appended = self.withdraw(i, fire(submission, Event.REFUSE))
            yield "refuse", after._replace(executed="no"), appended
        if submission.tries < self.tries[i] and allows(submission, Event.HAND_OVER):
            offered, appended = self.withdraw(i, fire(submission, Event.HAND_OVER))
            yield "declined", fire(offered, Event.DECLINED), appended

    def withdraw(
        self, i: int, submission: Submission
    ) -> tuple[Submission, tuple[Append, ...]]:
        """Return `submission` with its claim withdrawn, and the releases to append."""
        if (NoFlags(), submission.claim, ClaimEvent.WITHDRAW) not in CLAIM_TABLE:
            return submission, ()
        release = Append("release", i, self.number(submission))
        return fire_claim(submission, ClaimEvent.WITHDRAW), (release,)

    def invariants(self) -> dict:
        """Return the predicates that must hold in every state, by name."""
        return {
            "at most one run": at_most_one_run,
            "'not run' is true": not_run_is_true,
            "no release after a run": no_release_after_a_run,
            "a released key is free": self.released_key_is_free,
        }

    def released_key_is_free(self, state: dict[str, Any]) -> bool:
        """Return whether a new claim would win if and only if all claims are released.

        Otherwise a caller that was told "not run, retry later" would be refused until
        the claim window ends.
        """
        log = state["log"]
        claims = {r[1:] for r in log if r.kind == "claim"}
        released = {r[1:] for r in log if r.kind == "release"}
        fresh = Append("claim", len(state["submissions"]), 1)
        table = fold((*log, fresh), self.table_class)
        won = table.outcome(fresh.record().claim_id).verdict is ClaimVerdict.WON
        return won == (claims <= released)

    def goal(self, state: dict[str, Any]) -> bool:
        """Return whether every submission got its response."""
        return all(submission.executed for submission in state["submissions"])


def fire(submission: Submission, event: Event) -> Submission:
    """Return `submission` after `event`, by the request's state chart."""
    lifecycle, flags = REQUEST_TABLE[submission.flags, submission.lifecycle, event]
    return submission._replace(lifecycle=lifecycle, flags=flags)


def allows(submission: Submission, event: Event) -> bool:
    """Return whether the request's state chart allows `event`."""
    return (submission.flags, submission.lifecycle, event) in REQUEST_TABLE


def fire_claim(submission: Submission, event: ClaimEvent) -> Submission:
    """Return `submission` after `event`, by the claim's state chart."""
    return submission._replace(claim=CLAIM_TABLE[NoFlags(), submission.claim, event][0])


def canonical(submission: Submission) -> Submission:
    """Return `submission` without the parts that have no effect once it ended.

    States that differ only in these parts become one.
    """
    if submission.lifecycle not in TERMINAL_STATES:
        return submission
    server = submission.server
    if server.at != "arriving":
        server = server._replace(at="")
    return Submission(
        CRASHED, tries=submission.tries, executed=submission.executed, server=server
    )


def table_state(table: ClaimTable) -> tuple:
    """Return all that determines how `table` treats further records."""
    decided = sorted((name, e.outcome()) for name, e in table.entries.items())
    live = tuple(c.claim_id for c in table.unreleased.get(KEY, ()))
    return (tuple(decided), live, frozenset(table.released))


@lru_cache(maxsize=100_000)
def fold(log: tuple, table_class: type[ClaimTable]) -> ClaimTable:
    """Return the production claim table after the records of `log`."""
    table = table_class()
    for offset, append in enumerate(log):
        table.apply(offset, 0.0, append.record())
    return table


def at_most_one_run(state: dict[str, Any]) -> bool:
    """Return whether the key ran at most once."""
    return sum(submission.server.runs for submission in state["submissions"]) <= 1


def not_run_is_true(state: dict[str, Any]) -> bool:
    """Return whether no request ran that was reported to its caller as not run."""
    return all(s.server.runs == 0 for s in state["submissions"] if s.executed == "no")


def no_release_after_a_run(state: dict[str, Any]) -> bool:
    """Return whether no claim is released under which a server ran the request."""
    submissions = state["submissions"]
    releases = [r for r in (*state["log"], *state["in_flight"]) if r.kind == "release"]
    return all(submissions[r.submission].server.ran_under != r.tries for r in releases)
