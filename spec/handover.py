"""Specification of handover: one request, three nodes, two zones under notice.

The first node has accepted the request. Its zone is put under reclaim notice, then a
second zone; a node under notice may be killed at any moment. The sender first sends a
record of the request, which its receiver only holds, and continues to serve the
request. Then the sender stops permanently and sends the partial response, and the
receiver continues the request. Messages and their acknowledgements may be late or lost.
The claim of a key is modelled as one register, which :mod:`spec.claims` shows to be
equivalent; a continued request claims a key of its own.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from endive_core.lifecycle import REQUEST_TABLE, UNSENT_STATES, Event, Flags, State

ABSENT = "absent"
TERMINAL_STATES = frozenset(
    {State.FINISHED, State.FAILED, State.REFUSED, State.HANDED_OVER}
)
UNCLAIMED = -1


class Node(NamedTuple):
    """The state of the request at one node.

    Attributes
    ----------
    under_notice, killed : bool
        Whether its zone is under reclaim notice, and whether the node was killed.
    to : int
        The receiver of the handover in progress, or -1.
    holder : int
        For a request that is only held, the node that sent its record; else -1.
    claims : bool
        Whether the node holds the claim register.
    server : str
        State of its attempt at the server: arriving, running, done or stopped; empty
        without one.
    ran : bool
        Whether a server ever ran an attempt of this node.
    """

    lifecycle: str = ABSENT
    flags: Flags = Flags()
    under_notice: bool = False
    killed: bool = False
    target: int = -1
    holder: int = -1
    claims: bool = False
    attempts: int = 0
    server: str = ""
    ran: bool = False


class Message(NamedTuple):
    """A call between two nodes, or its response."""

    kind: str
    sender: int
    receiver: int
    sent_before: bool = False


class HandoverModel:
    """One request, handed over under reclaim notice.

    Parameters
    ----------
    non_idempotent : bool
        Whether the request is non-idempotent.
    attempts : int
        How often each node may send the request to a server.
    count : int
        Number of nodes.
    """

    fields = ("nodes", "sent", "claimed")

    def __init__(self, non_idempotent: bool, attempts: int = 1, count: int = 3) -> None:
        self.non_idempotent, self.attempts, self.count = non_idempotent, attempts, count
        kind = "non-idempotent" if non_idempotent else "idempotent"
        self.name = f"{type(self).__name__} {kind} {count}"

    def initial(self) -> tuple:
        """Return the state in which the first node has accepted the request."""
        first = Node(State.ACCEPTED, Flags(self.non_idempotent))
        others = (Node(flags=Flags(self.non_idempotent)),) * (self.count - 1)
        return ((first, *others), frozenset(), UNCLAIMED)

    def steps(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        """Yield every transition from `state`, as (label, next state)."""
        nodes, _, _ = state
        for i, node in enumerate(nodes):
            for label, after in self.server_steps(node):
                yield f"{label} {i}", self.with_changes(state, i, after)
            if node.killed:
                continue
            if self.may_get_notice(nodes, i):
                after = node._replace(under_notice=True)
                yield f"notice {i}", self.with_changes(state, i, after)
            if node.under_notice:
                yield (
                    f"kill {i}",
                    self.with_changes(state, i, node._replace(killed=True)),
                )
            for label, after in self.run_steps(state, i, node):
                yield f"{label} {i}", after
            for label, after in self.handover_steps(state, i, node):
                yield f"{label} {i}", after
            for label, after in self.receive_steps(state, i, node):
                yield f"{label} {i}", after

    def may_get_notice(self, nodes: tuple, i: int) -> bool:
        """Return whether node `i` may get a notice: in order, never the last node."""
        earlier = all(node.under_notice for node in nodes[:i])
        return earlier and i < self.count - 1 and not nodes[i].under_notice

    def with_changes(self, state, i, node, *, new_messages=(), claimed=None) -> tuple:
        """Return `state` with a new node `i`, more messages and the register set."""
        nodes, sent, register = state
        nodes = (*nodes[:i], canonical(node), *nodes[i + 1 :])
        sent = frozenset(m for m in sent.union(new_messages) if is_relevant(m, nodes))
        return (nodes, sent, register if claimed is None else claimed)

    def server_steps(self, node: Node) -> Iterator[tuple[str, Node]]:
        """Yield the steps of the server that has the node's attempt."""
        if node.server == "arriving":
            yield "server runs", node._replace(server="running", ran=True)
        elif node.server == "running" and self.non_idempotent:
            yield "server completes", node._replace(server="done")

    def run_steps(self, state: tuple, i: int, node: Node):
        """Yield serving the request, refusing it and failing it."""
        register = state[2]
        if node.lifecycle == State.ACCEPTED and self.non_idempotent:
            yield "claim", self.with_changes(state, i, fire(node, Event.CLAIM))
        if node.lifecycle == State.CLAIMING:
            if register == UNCLAIMED:
                won = fire(node, Event.WON)._replace(claims=True)
                yield "won", self.with_changes(state, i, won, claimed=i)
            else:
                lost = fire(fire(node, Event.LOST), Event.FAIL)
                yield "lost", self.with_changes(state, i, lost)
        queued = node
        if node.lifecycle == State.ACCEPTED and not self.non_idempotent:
            queued = fire(node, Event.ENQUEUE)
        if allows(queued, Event.DISPATCH) and node.attempts < self.attempts:
            after = fire(queued, Event.DISPATCH)
            after = after._replace(server="arriving", attempts=node.attempts + 1)
            yield "dispatch", self.with_changes(state, i, after)
        if node.lifecycle == State.DISPATCHED:
            yield from self.end_steps(state, i, node)
        if allows(node, Event.REFUSE):
            yield "refuse", self.with_claim_released(state, i, fire(node, Event.REFUSE))
        if node.lifecycle in (*UNSENT_STATES, State.MOVING) and allows(
            node, Event.FAIL
        ):
            yield "fail", self.with_changes(state, i, fire(node, Event.FAIL))

    def end_steps(self, state: tuple, i: int, node: Node):
        """Yield the results of its attempt that a node observes."""
        completed = "done" if self.non_idempotent else "running"
        if node.server == completed:
            yield "complete", self.with_changes(state, i, fire(node, Event.COMPLETE))
        lost = Event.FAIL if self.non_idempotent else Event.SERVER_LOST
        yield "server lost", self.with_changes(state, i, fire(node, lost))

    def with_claim_released(self, state: tuple, i: int, node: Node) -> tuple:
        """Return `state` with the node's claim withdrawn and released."""
        if not node.claims:
            return self.with_changes(state, i, node)
        return self.with_changes(
            state, i, node._replace(claims=False), claimed=UNCLAIMED
        )

    def handover_steps(self, state: tuple, i: int, node: Node):
        """Yield sending the record, stopping, and the results of the handover."""
        if not node.under_notice or node.lifecycle in (ABSENT, *TERMINAL_STATES):
            return
        sent = state[1]
        for j in range(i + 1, self.count):
            record = Message("record", i, j)
            if record not in sent:
                yield (
                    f"record to {j} from",
                    self.with_record_sent(state, i, node, record),
                )
            if Message("held", j, i) in sent:
                yield from self.stop_steps(state, i, node, j)
        if node.lifecycle == State.HANDING_OVER:
            if Message("took", node.target, i) in sent:
                after = fire(node, Event.ACKNOWLEDGED)
                yield "acknowledged", self.with_changes(state, i, after)
            if Message("declined", node.target, i) in sent:
                after = fire(node, Event.DECLINED)._replace(target=-1)
                yield "declined", self.with_changes(state, i, after)
            after = fire(node, Event.UNACKNOWLEDGED)._replace(target=-1)
            yield "unacknowledged", self.with_changes(state, i, after)

    def with_record_sent(
        self, state: tuple, i: int, node: Node, record: Message
    ) -> tuple:
        """Return `state` with the record sent; the receiver may run it from now on."""
        after = fire(node, Event.OFFER) if allows(node, Event.OFFER) else node
        return self.with_changes(state, i, after, new_messages=[record])

    def stop_steps(self, state: tuple, i: int, node: Node, j: int):
        """Yield stopping permanently and sending the partial response to node `j`."""
        if any(m.kind == "answer" and m[1:3] == (i, j) for m in state[1]):
            return
        if node.lifecycle == State.JOINING:
            answer = Message("answer", i, j, True)
            yield (
                f"pass on to {j} from",
                self.with_changes(state, i, node, new_messages=[answer]),
            )
            return
        stopped = node
        if node.lifecycle == State.DISPATCHED:
            stopped = self.stop_attempt(node)
        if not allows(stopped, Event.HAND_OVER):
            return
        given = fire(stopped, Event.HAND_OVER)._replace(target=j)
        answer = Message("answer", i, j, given.flags.sent_before)
        after = self.with_claim_released(state, i, given)
        if given.flags.sent_before and given.claims:
            after = self.with_changes(
                state, i, given._replace(claims=False), claimed=UNCLAIMED
            )
        yield (
            f"stop for {j} at",
            self.with_changes(after, i, after[0][i], new_messages=[answer]),
        )

    def stop_attempt(self, node: Node) -> Node:
        """Return `node` with its attempt stopped, if that is possible.

        A server confirms a stop only for a request that it is running. An idempotent
        request needs no confirmation, so its attempt is left running.
        """
        if not self.non_idempotent:
            return fire(node, Event.SERVER_LOST)
        if node.server == "running":
            return fire(node, Event.SERVER_STOPPED)._replace(server="stopped")
        return node

    def receive_steps(self, state: tuple, i: int, node: Node):
        """Yield receiving records and partial responses, and the holder's time-out."""
        for message in sorted(state[1]):
            if message.receiver != i:
                continue
            j = message.sender
            may_hold = node.lifecycle == ABSENT and not node.under_notice
            if message.kind == "record" and may_hold:
                held = node._replace(lifecycle=State.JOINING, holder=j)
                reply = Message("held", i, j)
                yield (
                    f"hold for {j} at",
                    self.with_changes(state, i, held, new_messages=[reply]),
                )
            if message.kind == "answer" and not self.has_replied(state, i, j):
                yield from self.answer_steps(state, i, node, message)
        if node.lifecycle == State.JOINING:
            yield "holder silent", self.with_changes(state, i, self.holder_silent(node))

    def has_replied(self, state: tuple, i: int, j: int) -> bool:
        """Return whether node `i` has replied to the partial response of node `j`."""
        return bool({Message("took", i, j), Message("declined", i, j)} & state[1])

    def answer_steps(self, state: tuple, i: int, node: Node, message: Message):
        """Yield continuing a request that its sender stopped, or declining it."""
        j = message.sender
        if node.under_notice or node.lifecycle != State.JOINING:
            reply = Message("declined", i, j)
            yield (
                f"decline {j} at",
                self.with_changes(state, i, node, new_messages=[reply]),
            )
            return
        after = self.as_owner(node, message.sent_before)
        reply = Message("took", i, j)
        yield (
            f"go on for {j} at",
            self.with_changes(state, i, after, new_messages=[reply]),
        )

    def as_owner(self, node: Node, sent_before: bool) -> Node:
        """Return `node` as the owner of the request, which it continues."""
        flags = Flags(self.non_idempotent, sent_before)
        return node._replace(lifecycle=State.ACCEPTED, flags=flags, holder=-1)

    def holder_silent(self, node: Node) -> Node:
        """Return `node` after the sender of its record is presumed dead.

        The sender may have dispatched the request after it sent the record, and may
        still be alive.
        """
        if self.non_idempotent:
            return fire(node, Event.FAIL)
        return self.as_owner(node, True)

    def invariants(self) -> dict:
        """Return the predicates that must hold in every state, by name."""
        found = {"'not run' is true": not_run_is_true}
        if self.non_idempotent:
            found["at most one run"] = at_most_one_run
            found["at most one may send"] = at_most_one_sender
        return found

    def goal(self, state: dict[str, Any]) -> bool:
        """Return whether the request ended at a node, or no live node has it.

        A request is lost with a node that is killed before any of its records arrived;
        its caller sees the connection break.
        """
        nodes = state["nodes"]
        ended = any(
            node.lifecycle in TERMINAL_STATES - {State.HANDED_OVER} for node in nodes
        )
        holders = [n for n in nodes if n.lifecycle != ABSENT and not n.killed]
        return ended or not holders


def canonical(node: Node) -> Node:
    """Return `node` without the parts that have no effect once it ended or was killed.

    States that differ only in these parts become one.
    """
    if not node.killed and node.lifecycle not in TERMINAL_STATES:
        return node
    lifecycle = node.lifecycle if node.lifecycle in TERMINAL_STATES else ABSENT
    under_notice = node.under_notice
    server = node.server
    if not node.flags.non_idempotent and server != "arriving":
        server = ""
    return Node(
        lifecycle,
        Flags(node.flags.non_idempotent),
        under_notice=under_notice,
        killed=node.killed,
        server=server,
        ran=node.ran,
    )


def is_relevant(message: Message, nodes: tuple) -> bool:
    """Return whether `message` can still have an effect."""
    receiver = nodes[message.receiver]
    if receiver.killed or receiver.lifecycle in TERMINAL_STATES:
        return False
    return message.kind != "record" or receiver.lifecycle == ABSENT


def fire(node: Node, event: Event) -> Node:
    """Return `node` after `event`, by the request's state chart."""
    lifecycle, flags = REQUEST_TABLE[node.flags, node.lifecycle, event]
    return node._replace(lifecycle=lifecycle, flags=flags)


def allows(node: Node, event: Event) -> bool:
    """Return whether the request's state chart allows `event`."""
    return (node.flags, node.lifecycle, event) in REQUEST_TABLE


def not_run_is_true(state: dict[str, Any]) -> bool:
    """Return whether nothing ran if a caller was told "not run".

    As it is checked in every state, nothing runs later either.
    """
    nodes = state["nodes"]
    if all(node.lifecycle != State.REFUSED for node in nodes):
        return True
    return not any(node.ran for node in nodes)


def at_most_one_run(state: dict[str, Any]) -> bool:
    """Return whether at most one run lacks a confirmation that it stopped."""
    runs = [n for n in state["nodes"] if n.server in ("running", "done")]
    return len(runs) <= 1


def at_most_one_sender(state: dict[str, Any]) -> bool:
    """Return whether at most one node may send the request to a server."""
    return sum(node.lifecycle == State.CLAIMED for node in state["nodes"]) <= 1
