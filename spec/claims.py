"""Specification of claims: one idempotency key, sent several times to several nodes.

A step is any one thing that can happen next. What a step leaves out may stay out for
ever, so delays, pauses, lost appends and a log outage need no steps of their own: a
node that is paused takes none of its steps while the others take theirs; a record that
stays in flight is lost or late; while nothing lands, the log is down. What does need a
step: a crash, an append that takes effect twice because its answer was lost, a
connection lost after the request was sent.

The requests' and the claims' charts and the claim table are those of the running code.
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
NOT_HERE = "not_here"
CRASHED = "crashed"
NO_CLAIM = "none"
ENDED = frozenset({CRASHED, State.FINISHED, State.FAILED, State.REFUSED})


class Server(NamedTuple):
    """The request at the backend server: where it is, and how often it ran."""

    at: str = ""
    runs: int = 0
    ran_under: int = 0


class Send(NamedTuple):
    """One sending of the key by the caller, and the node that took it.

    `tries` counts the claims made; the present one's id is ``(send, tries)``. `told`
    is the ``executed`` field of what the caller was answered.
    """

    life: str = NOT_HERE
    flags: Flags = Flags(non_idempotent=True)
    claim: str = NO_CLAIM
    tries: int = 0
    sent: int = 0
    told: str = ""
    server: Server = Server()


class Append(NamedTuple):
    """A record on its way to the log, or in it."""

    kind: str
    send: int
    tries: int

    def record(self) -> Claim | Release:
        """Return the record as the running code has it."""
        name = f"{self.send}.{self.tries}"
        if self.kind == "release":
            return Release(name, KEY)
        return Claim(name, KEY, f"node-{self.send}", name)


class ClaimsModel:
    """Several sendings of one key, each to its own node.

    Parameters
    ----------
    tries : tuple of int
        For each sending of the key, how many claims its node may make one by one.
    copies : int
        How often one claim may be appended; 2 for an append whose answer was lost.
    dispatches : int
        How often one sending may reach servers that refuse before starting.
    """

    fields = ("log", "flight", "sends")
    table_class = ClaimTable

    def __init__(
        self, tries: tuple[int, ...] = (2, 1), copies: int = 1, dispatches: int = 1
    ) -> None:
        self.tries, self.copies, self.dispatches = tries, copies, dispatches
        self.logs: dict[tuple, tuple] = {}
        self.name = f"{type(self).__name__} {tries} {copies} {dispatches}"

    def initial(self) -> tuple:
        """Return the state before the caller sends anything."""
        return ((), (), (Send(),) * len(self.tries))

    def steps(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return every step that can follow `state`."""
        log, flight, sends = state
        found = []
        for record in sorted(set(flight)):
            rest = list(flight)
            rest.remove(record)
            label = f"log takes {record.kind} {record.send}.{record.tries}"
            found.append((label, (self.land(log, record), tuple(rest), sends)))
        for i, send in enumerate(sends):
            for label, after, appended in self.node_steps(state, i, send):
                changed = (*sends[:i], settled(after), *sends[i + 1 :])
                waiting = tuple(sorted((*flight, *appended)))
                found.append((f"{label} {i}", (log, waiting, changed)))
            for label, server in self.server_steps(send):
                after = send._replace(server=server)
                changed = (*sends[:i], settled(after), *sends[i + 1 :])
                found.append((f"{label} {i}", (log, flight, changed)))
        return found

    def land(self, log: tuple, record: Append) -> tuple:
        """Return the log with `record`, or an equal one that was met before.

        Two logs are equal if they hold the same records and the table folds them to
        the same state; without this the sweep would visit each of their orders.
        """
        longer = (*log, record)
        same = (frozenset(longer), content(fold(longer, self.table_class)))
        return self.logs.setdefault(same, longer)

    def server_steps(self, send: Send):
        """Yield what a backend server or the way to it does with a request."""
        at, runs, _ = send.server
        if at == "arriving":
            yield "server runs", Server("running", runs + 1, send.tries)
            yield "server refuses", send.server._replace(at="refused")
        elif at == "running":
            yield "server completes", send.server._replace(at="done")

    def node_steps(self, state: tuple, i: int, send: Send):
        """Yield what a node does with its request: (label, after, appended)."""
        if send.life == NOT_HERE:
            yield "arrives", send._replace(life=State.ACCEPTED), ()
            return
        if send.life in ENDED:
            return
        yield "crash", send._replace(life=CRASHED, told=send.told or "unknown"), ()
        yield from self.claim_steps(state, i, send)
        yield from self.dispatch_steps(state, i, send)
        yield from self.give_up_steps(state, i, send)

    def claim_steps(self, state: tuple, i: int, send: Send):
        """Yield making a claim, appending it once more, and reading it back."""
        if send.life == State.ACCEPTED and send.tries < self.tries[i]:
            claimed = fire(send, Event.CLAIM)._replace(
                claim=ClaimState.PENDING, tries=send.tries + 1
            )
            yield "claim", claimed, (Append("claim", i, self.number(claimed)),)
        if send.life != State.CLAIMING:
            return
        log, flight, _ = state
        mine = Append("claim", i, self.number(send))
        if log.count(mine) + flight.count(mine) < self.copies:
            yield "append again", send, (mine,)
        if mine in log:
            yield from self.read_back(state, i, send)

    def number(self, send: Send) -> int:
        """Return what tells the present claim's id from those of earlier tries."""
        return send.tries

    def read_back(self, state: tuple, i: int, send: Send):
        """Yield acting on the log's decision."""
        if self.outcome(state, i, send).verdict is ClaimVerdict.WON:
            yield "won", fire_claim(fire(send, Event.WON), ClaimEvent.WON), ()
        else:
            joined = fire(fire(send, Event.LOST), Event.FAIL)
            after = fire_claim(joined, ClaimEvent.LOST)._replace(told="unknown")
            yield "lost", after, (Append("release", i, self.number(send)),)

    def outcome(self, state: tuple, i: int, send: Send) -> ClaimOutcome:
        """Return how the running code's table decides the claim of `send`."""
        return fold(state[0], self.table_class).outcome(f"{i}.{self.number(send)}")

    def dispatch_steps(self, state: tuple, i: int, send: Send):
        """Yield sending the request, and what the node learns of it."""
        if send.life == State.CLAIMED and send.sent < self.dispatches:
            used = fire_claim(fire(send, Event.DISPATCH), ClaimEvent.USE)
            server = send.server._replace(at="arriving")
            yield "dispatch", used._replace(sent=send.sent + 1, server=server), ()
        if send.life != State.DISPATCHED:
            return
        if send.server.at == "done":
            yield "complete", fire(send, Event.COMPLETE)._replace(told="yes"), ()
        if send.server.at == "refused":
            yield "not_started", self.not_started(send), ()
        yield "fail", self.connection_lost(send), ()

    def not_started(self, send: Send) -> Send:
        """Return `send` after the server's word that it did not start."""
        back = fire_claim(fire(send, Event.NOT_STARTED), ClaimEvent.NOT_STARTED)
        return back._replace(server=send.server._replace(at=""))

    def connection_lost(self, send: Send) -> Send:
        """Return `send` after its connection was lost without a whole answer."""
        return fire(send, Event.FAIL)._replace(told="unknown")

    def give_up_steps(self, state: tuple, i: int, send: Send):
        """Yield answering "not run", and taking the request back from a peer."""
        if allows(send, Event.REFUSE):
            after, appended = self.withdraw(i, fire(send, Event.REFUSE))
            yield "refuse", after._replace(told="no"), appended
        if send.tries < self.tries[i] and allows(send, Event.HAND_OVER):
            offered, appended = self.withdraw(i, fire(send, Event.HAND_OVER))
            yield "declined", fire(offered, Event.DECLINED), appended

    def withdraw(self, i: int, send: Send) -> tuple[Send, tuple[Append, ...]]:
        """Return `send` with its claim withdrawn, and the release to append."""
        if (NoFlags(), send.claim, ClaimEvent.WITHDRAW) not in CLAIM_TABLE:
            return send, ()
        release = Append("release", i, self.number(send))
        return fire_claim(send, ClaimEvent.WITHDRAW), (release,)

    def invariants(self) -> dict:
        """Return what must hold in every state."""
        return {
            "at most one run": at_most_one_run,
            "'not run' is true": not_run_is_true,
            "no release after a run": no_release_after_a_run,
            "a released key is free": self.released_key_is_free,
        }

    def released_key_is_free(self, state: dict[str, Any]) -> bool:
        """Return whether a new claim would win exactly if every claim is released.

        Otherwise a caller that was told "not run, come back" would be refused for as
        long as the window lasts.
        """
        log = state["log"]
        claims = {r[1:] for r in log if r.kind == "claim"}
        released = {r[1:] for r in log if r.kind == "release"}
        fresh = Append("claim", len(state["sends"]), 1)
        table = fold((*log, fresh), self.table_class)
        won = table.outcome(fresh.record().claim_id).verdict is ClaimVerdict.WON
        return won == (claims <= released)

    def goal(self, state: dict[str, Any]) -> bool:
        """Return whether every sending was answered."""
        return all(send.told for send in state["sends"])


def fire(send: Send, event: Event) -> Send:
    """Return `send` after `event`, by the request's chart."""
    life, flags = REQUEST_TABLE[send.flags, send.life, event]
    return send._replace(life=life, flags=flags)


def allows(send: Send, event: Event) -> bool:
    """Return whether the request's chart allows `event`."""
    return (send.flags, send.life, event) in REQUEST_TABLE


def fire_claim(send: Send, event: ClaimEvent) -> Send:
    """Return `send` after `event`, by the claim's chart."""
    return send._replace(claim=CLAIM_TABLE[NoFlags(), send.claim, event][0])


def settled(send: Send) -> Send:
    """Return `send` without what no longer matters once it ended."""
    if send.life not in ENDED:
        return send
    server = send.server
    if server.at != "arriving":
        server = server._replace(at="")
    return Send(CRASHED, tries=send.tries, told=send.told, server=server)


def content(table: ClaimTable) -> tuple:
    """Return everything that decides what `table` does with further records."""
    decided = sorted((name, e.outcome()) for name, e in table.entries.items())
    live = tuple(c.claim_id for c in table.unreleased.get(KEY, ()))
    return (tuple(decided), live, frozenset(table.released))


@lru_cache(maxsize=100_000)
def fold(log: tuple, table_class: type[ClaimTable]) -> ClaimTable:
    """Return the running code's claim table after the records of `log`."""
    table = table_class()
    for offset, append in enumerate(log):
        table.apply(offset, 0.0, append.record())
    return table


def at_most_one_run(state: dict[str, Any]) -> bool:
    """Return whether the key ran at most once."""
    return sum(send.server.runs for send in state["sends"]) <= 1


def not_run_is_true(state: dict[str, Any]) -> bool:
    """Return whether no request ran of which the caller was told that it did not."""
    return all(s.server.runs == 0 for s in state["sends"] if s.told == "no")


def no_release_after_a_run(state: dict[str, Any]) -> bool:
    """Return whether no claim under which a server ran the request is released."""
    sends = state["sends"]
    releases = [r for r in (*state["log"], *state["flight"]) if r.kind == "release"]
    return all(sends[r.send].server.ran_under != r.tries for r in releases)
