"""Specification of handover: one request, three nodes, two zones under notice.

The first node has accepted the request. Its zone is put under notice, then a second
zone; a node under notice may be killed at any moment. A record of the request goes
first, and its receiver only holds it; the sender goes on. Then the sender stops for
good and sends the answer so far, and the receiver goes on. Messages and their
acknowledgements may be late or lost. Claims are one register for each key here, as
:mod:`spec.claims` shows them to be; a continued request claims a key of its own.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from endive_core.lifecycle import REQUEST_TABLE, UNSENT_STATES, Event, Flags, State

ABSENT = "absent"
OVER = frozenset({State.FINISHED, State.FAILED, State.REFUSED, State.HANDED_OVER})
FREE = -1


class Node(NamedTuple):
    """One node's part in the request.

    Attributes
    ----------
    under_notice, killed : bool
        Whether its zone is under notice, and whether it is gone.
    to : int
        The node that a handover under way goes to.
    holder : int
        For a request that is only held, the node that sent its record.
    claims : bool
        Whether it holds the register.
    server : str
        Where its attempt is: arriving, running, done or stopped.
    ran : bool
        Whether a server ever ran an attempt of it.
    """

    life: str = ABSENT
    flags: Flags = Flags()
    under_notice: bool = False
    killed: bool = False
    to: int = -1
    holder: int = -1
    claims: bool = False
    attempts: int = 0
    server: str = ""
    ran: bool = False


class Message(NamedTuple):
    """A call between two nodes, or its answer."""

    kind: str
    sender: int
    receiver: int
    sent_before: bool = False


class HandoverModel:
    """One request, handed over under notice.

    Parameters
    ----------
    non_idempotent : bool
        Which kind of request.
    attempts : int
        How often each node may send it to a server.
    """

    fields = ("nodes", "sent", "claimed")

    def __init__(self, non_idempotent: bool, attempts: int = 1, count: int = 3) -> None:
        self.non_idempotent, self.attempts, self.count = non_idempotent, attempts, count
        kind = "non-idempotent" if non_idempotent else "idempotent"
        self.name = f"{type(self).__name__} {kind} {count}"

    def initial(self) -> tuple:
        """Return the request accepted at the first node."""
        first = Node(State.ACCEPTED, Flags(self.non_idempotent))
        others = (Node(flags=Flags(self.non_idempotent)),) * (self.count - 1)
        return ((first, *others), frozenset(), FREE)

    def steps(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        """Yield every step that can follow `state`."""
        nodes, _, _ = state
        for i, node in enumerate(nodes):
            for label, after in self.server_steps(node):
                yield f"{label} {i}", self.changed(state, i, after)
            if node.killed:
                continue
            if self.may_be_noticed(nodes, i):
                after = node._replace(under_notice=True)
                yield f"notice {i}", self.changed(state, i, after)
            if node.under_notice:
                yield f"kill {i}", self.changed(state, i, node._replace(killed=True))
            for label, after in self.run_steps(state, i, node):
                yield f"{label} {i}", after
            for label, after in self.handover_steps(state, i, node):
                yield f"{label} {i}", after
            for label, after in self.receive_steps(state, i, node):
                yield f"{label} {i}", after

    def may_be_noticed(self, nodes: tuple, i: int) -> bool:
        """Return whether the wave may reach node `i`: in order, sparing the last."""
        earlier = all(node.under_notice for node in nodes[:i])
        return earlier and i < self.count - 1 and not nodes[i].under_notice

    def changed(self, state, i, node, *, send=(), claimed=None) -> tuple:
        """Return `state` with node `i`, messages and the register replaced."""
        nodes, sent, register = state
        nodes = (*nodes[:i], settled(node), *nodes[i + 1 :])
        sent = frozenset(m for m in sent.union(send) if matters(m, nodes))
        return (nodes, sent, register if claimed is None else claimed)

    def server_steps(self, node: Node) -> Iterator[tuple[str, Node]]:
        """Yield what a server does with the node's attempt."""
        if node.server == "arriving":
            yield "server runs", node._replace(server="running", ran=True)
        elif node.server == "running" and self.non_idempotent:
            yield "server completes", node._replace(server="done")

    def run_steps(self, state: tuple, i: int, node: Node):
        """Yield serving the request, and giving it up."""
        register = state[2]
        if node.life == State.ACCEPTED and self.non_idempotent:
            yield "claim", self.changed(state, i, fire(node, Event.CLAIM))
        if node.life == State.CLAIMING:
            if register == FREE:
                won = fire(node, Event.WON)._replace(claims=True)
                yield "won", self.changed(state, i, won, claimed=i)
            else:
                lost = fire(fire(node, Event.LOST), Event.FAIL)
                yield "lost", self.changed(state, i, lost)
        queued = node
        if node.life == State.ACCEPTED and not self.non_idempotent:
            queued = fire(node, Event.ENQUEUE)
        if allows(queued, Event.DISPATCH) and node.attempts < self.attempts:
            after = fire(queued, Event.DISPATCH)
            after = after._replace(server="arriving", attempts=node.attempts + 1)
            yield "dispatch", self.changed(state, i, after)
        if node.life == State.DISPATCHED:
            yield from self.end_steps(state, i, node)
        if allows(node, Event.REFUSE):
            yield "refuse", self.freed(state, i, fire(node, Event.REFUSE))
        if node.life in (*UNSENT_STATES, State.MOVING) and allows(node, Event.FAIL):
            yield "fail", self.changed(state, i, fire(node, Event.FAIL))

    def end_steps(self, state: tuple, i: int, node: Node):
        """Yield what a node learns of its attempt."""
        whole = "done" if self.non_idempotent else "running"
        if node.server == whole:
            yield "complete", self.changed(state, i, fire(node, Event.COMPLETE))
        lost = Event.FAIL if self.non_idempotent else Event.SERVER_LOST
        yield "server lost", self.changed(state, i, fire(node, lost))

    def freed(self, state: tuple, i: int, node: Node) -> tuple:
        """Return `state` with the node's claim withdrawn and released."""
        if not node.claims:
            return self.changed(state, i, node)
        return self.changed(state, i, node._replace(claims=False), claimed=FREE)

    def handover_steps(self, state: tuple, i: int, node: Node):
        """Yield sending the record, stopping, and learning what became of it."""
        if not node.under_notice or node.life in (ABSENT, *OVER):
            return
        sent = state[1]
        for j in range(i + 1, self.count):
            record = Message("record", i, j)
            if record not in sent:
                yield f"record to {j} from", self.offered(state, i, node, record)
            if Message("held", j, i) in sent:
                yield from self.stop_steps(state, i, node, j)
        if node.life == State.HANDING_OVER:
            if Message("took", node.to, i) in sent:
                after = fire(node, Event.ACKNOWLEDGED)
                yield "acknowledged", self.changed(state, i, after)
            if Message("declined", node.to, i) in sent:
                after = fire(node, Event.DECLINED)._replace(to=-1)
                yield "declined", self.changed(state, i, after)
            after = fire(node, Event.UNACKNOWLEDGED)._replace(to=-1)
            yield "unacknowledged", self.changed(state, i, after)

    def offered(self, state: tuple, i: int, node: Node, record: Message) -> tuple:
        """Return `state` with the record sent: from now on the receiver may run it."""
        after = fire(node, Event.OFFER) if allows(node, Event.OFFER) else node
        return self.changed(state, i, after, send=[record])

    def stop_steps(self, state: tuple, i: int, node: Node, j: int):
        """Yield stopping for good and sending the answer so far to node `j`."""
        if any(m.kind == "answer" and m[1:3] == (i, j) for m in state[1]):
            return
        if node.life == State.JOINING:
            answer = Message("answer", i, j, True)
            yield f"pass on to {j} from", self.changed(state, i, node, send=[answer])
            return
        stopped = node
        if node.life == State.DISPATCHED:
            stopped = self.stopped(node)
        if not allows(stopped, Event.HAND_OVER):
            return
        given = fire(stopped, Event.HAND_OVER)._replace(to=j)
        answer = Message("answer", i, j, given.flags.sent_before)
        after = self.freed(state, i, given)
        if given.flags.sent_before and given.claims:
            after = self.changed(state, i, given._replace(claims=False), claimed=FREE)
        yield f"stop for {j} at", self.changed(after, i, after[0][i], send=[answer])

    def stopped(self, node: Node) -> Node:
        """Return `node` with its attempt stopped, if that can be.

        A server confirms only that a request which it runs has stopped. An idempotent
        request need not be confirmed: its attempt is left alone.
        """
        if not self.non_idempotent:
            return fire(node, Event.SERVER_LOST)
        if node.server == "running":
            return fire(node, Event.SERVER_STOPPED)._replace(server="stopped")
        return node

    def receive_steps(self, state: tuple, i: int, node: Node):
        """Yield taking records and answers, and taking a holder for dead."""
        for message in sorted(state[1]):
            if message.receiver != i:
                continue
            j = message.sender
            takes = node.life == ABSENT and not node.under_notice
            if message.kind == "record" and takes:
                held = node._replace(life=State.JOINING, holder=j)
                reply = Message("held", i, j)
                yield f"hold for {j} at", self.changed(state, i, held, send=[reply])
            if message.kind == "answer" and not self.answered(state, i, j):
                yield from self.answer_steps(state, i, node, message)
        if node.life == State.JOINING:
            yield "holder silent", self.changed(state, i, self.holder_silent(node))

    def answered(self, state: tuple, i: int, j: int) -> bool:
        """Return whether node `i` answered the answer of node `j` already."""
        return bool({Message("took", i, j), Message("declined", i, j)} & state[1])

    def answer_steps(self, state: tuple, i: int, node: Node, message: Message):
        """Yield going on with a request that its sender stopped, or declining it."""
        j = message.sender
        if node.under_notice or node.life != State.JOINING:
            reply = Message("declined", i, j)
            yield f"decline {j} at", self.changed(state, i, node, send=[reply])
            return
        after = self.gone_on(node, message.sent_before)
        reply = Message("took", i, j)
        yield f"go on for {j} at", self.changed(state, i, after, send=[reply])

    def gone_on(self, node: Node, sent_before: bool) -> Node:
        """Return `node` as the request's owner."""
        flags = Flags(self.non_idempotent, sent_before)
        return node._replace(life=State.ACCEPTED, flags=flags, holder=-1)

    def holder_silent(self, node: Node) -> Node:
        """Return `node` after it took the record's sender for dead.

        Its sender may have sent the request after the record left, and may even live.
        """
        if self.non_idempotent:
            return fire(node, Event.FAIL)
        return self.gone_on(node, True)

    def invariants(self) -> dict:
        """Return what must hold in every state."""
        found = {"'not run' is true": not_run_is_true}
        if self.non_idempotent:
            found["at most one run"] = at_most_one_run
            found["at most one may send"] = at_most_one_sender
        return found

    def goal(self, state: dict[str, Any]) -> bool:
        """Return whether the request ended somewhere alive, or nobody could save it.

        A node killed before any of its records arrived takes the request along; its
        caller sees the connection break.
        """
        nodes = state["nodes"]
        ended = any(node.life in OVER - {State.HANDED_OVER} for node in nodes)
        holders = [n for n in nodes if n.life != ABSENT and not n.killed]
        return ended or not holders


def settled(node: Node) -> Node:
    """Return `node` without what no longer matters once it ended or was killed."""
    if not node.killed and node.life not in OVER:
        return node
    life = node.life if node.life in OVER else ABSENT
    under_notice = node.under_notice
    server = node.server
    if not node.flags.non_idempotent and server != "arriving":
        server = ""
    return Node(
        life,
        Flags(node.flags.non_idempotent),
        under_notice=under_notice,
        killed=node.killed,
        server=server,
        ran=node.ran,
    )


def matters(message: Message, nodes: tuple) -> bool:
    """Return whether `message` can still change anything."""
    receiver = nodes[message.receiver]
    if receiver.killed or receiver.life in OVER:
        return False
    return message.kind != "record" or receiver.life == ABSENT


def fire(node: Node, event: Event) -> Node:
    """Return `node` after `event`, by the request's chart."""
    life, flags = REQUEST_TABLE[node.flags, node.life, event]
    return node._replace(life=life, flags=flags)


def allows(node: Node, event: Event) -> bool:
    """Return whether the request's chart allows `event`."""
    return (node.flags, node.life, event) in REQUEST_TABLE


def not_run_is_true(state: dict[str, Any]) -> bool:
    """Return whether nothing ran or will run if a caller was told "not run"."""
    nodes = state["nodes"]
    if all(node.life != State.REFUSED for node in nodes):
        return True
    return not any(node.ran for node in nodes)


def at_most_one_run(state: dict[str, Any]) -> bool:
    """Return whether at most one run was not confirmed to have been stopped."""
    runs = [n for n in state["nodes"] if n.server in ("running", "done")]
    return len(runs) <= 1


def at_most_one_sender(state: dict[str, Any]) -> bool:
    """Return whether at most one node may send the request to a server."""
    return sum(node.life == State.CLAIMED for node in state["nodes"]) <= 1
