"""Specification of the configuration fold: operators race, nodes and the log fail.

Nodes fold the running code's :class:`ConfigurationFold` from what the log still keeps;
they crash and start again from a snapshot in the log or from a peer's state. Delays,
pauses and an outage of the log are steps that don't happen, as in
:mod:`spec.claims`.
"""

from collections.abc import Iterable, Iterator
from functools import lru_cache
from typing import Any, NamedTuple

from endive_core.fold import ABSENT, ConfigurationFold
from endive_core.records import Change, Snapshot, decode, encode

CHANGES = (
    Change("first", "priority", "vip", "op", ABSENT, {"spec": {"level": 1}}),
    Change("second", "priority", "vip", "op", ABSENT, {"spec": {"level": 2}}),
    Change("third", "priority", "vip", "op", 0, {"spec": {"level": 3}}),
)
NO_STATE = ""


class Writer(NamedTuple):
    """An operator's change at the node that took it.

    `copies` counts its appends; `told` is the verdict and version that the operator
    was told.
    """

    copies: int = 0
    told: tuple = ()


class Node(NamedTuple):
    """What a node holds: its fold, as an encoded snapshot, and whether it went back."""

    state: str = NO_STATE
    went_back: bool = False


class ConfigurationModel:
    """Operators' changes of one resource, written and followed by a few nodes.

    Parameters
    ----------
    changes, nodes : int
        Changes, each taken by the node of the same number modulo `nodes`.
    copies : int
        How often a change may be appended; 2 for an append whose answer was lost.
    snapshots, crashes, forgets : int
        Bounds on snapshots appended, nodes lost, and records that the log forgets.
    """

    fields = ("log", "first", "flight", "writers", "nodes", "left")

    def __init__(
        self, changes=2, nodes=2, copies=1, snapshots=1, crashes=1, forgets=2
    ) -> None:
        self.changes, self.count, self.copies = changes, nodes, copies
        self.left = (snapshots, crashes, forgets)
        kind = type(self).__name__
        self.name = f"{kind} {changes} {nodes} {copies} {self.left}"

    def initial(self) -> tuple:
        """Return an empty log and nodes that have folded nothing."""
        empty = Node(write(ConfigurationFold()))
        writers = (Writer(),) * self.changes
        return ((), 0, (), writers, (empty,) * self.count, self.left)

    def steps(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        """Yield every step that can follow `state`."""
        log, first, flight, writers, nodes, left = state
        snapshots, crashes, forgets = left
        for record in sorted(set(flight)):
            rest = list(flight)
            rest.remove(record)
            longer = (*log, record)
            yield f"log takes {name(record)}", (longer, first, tuple(rest), *state[3:])
        if forgets and first < len(log):
            fewer = (snapshots, crashes, forgets - 1)
            yield "log forgets", (log, first + 1, flight, writers, nodes, fewer)
        yield from self.writer_steps(state)
        for i, node in enumerate(nodes):
            for label, after in self.node_steps(state, node, i):
                yield f"{label} {i}", (*state[:4], replaced(nodes, i, after), left)
            if crashes and node.state:
                lost = replaced(nodes, i, Node())
                fewer = (snapshots, crashes - 1, forgets)
                yield f"crash {i}", (*state[:4], lost, fewer)
            if snapshots and node.state and read(node.state).offset >= 0:
                fewer = (snapshots - 1, crashes, forgets)
                waiting = tuple(sorted((*flight, node.state)))
                yield f"snapshot {i}", (log, first, waiting, writers, nodes, fewer)

    def writer_steps(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        """Yield appending a change, and telling the operator what became of it."""
        log, first, flight, writers, nodes, left = state
        for i, writer in enumerate(writers):
            change = encode(CHANGES[i])
            if writer.copies < self.copies and not writer.told:
                after = replaced(writers, i, writer._replace(copies=writer.copies + 1))
                waiting = tuple(sorted((*flight, change)))
                yield f"append {i}", (log, first, waiting, after, nodes, left)
            told = self.outcome(state, i)
            if told and not writer.told:
                after = replaced(writers, i, writer._replace(told=told))
                yield f"tell {i}", (log, first, flight, after, nodes, left)

    def outcome(self, state: tuple, i: int) -> tuple:
        """Return what the writer's node read back about change `i`."""
        held = state[4][i % self.count].state
        found = read(held).outcomes.get(CHANGES[i].change_id) if held else None
        return (found.verdict, found.version) if found else ()

    def node_steps(self, state: tuple, node: Node, i: int):
        """Yield folding the next record, and starting from a snapshot or a peer."""
        log, first, _, _, nodes, _ = state
        if node.state:
            following = read(node.state).offset + 1
            if first <= following < len(log):
                yield "fold", advanced(node, self.fold(node.state, log[following]))
        for peer in nodes:
            if peer.state and self.better(peer.state, node.state):
                yield "pull", advanced(node, peer.state)
        found = self.start(log, first)
        if found and self.better(found, node.state):
            yield "start", advanced(node, found)

    def fold(self, state: str, record: str) -> str:
        """Return the state after one more record."""
        return fold_one(state, record)

    def better(self, found: str, held: str) -> bool:
        """Return whether a node takes `found` in place of what it holds."""
        return not held or read(found).offset > read(held).offset

    def start(self, log: tuple, first: int) -> str:
        """Return the state that a node would start from by the log alone."""
        if first == 0:
            return write(ConfigurationFold())
        kept = [(n, decode(log[n])) for n in range(first, len(log))]
        found = self.choose(first, [p for p in kept if isinstance(p[1], Snapshot)])
        return write(ConfigurationFold.from_snapshot(found)) if found else NO_STATE

    def choose(self, first: int, snapshots: list) -> Snapshot | None:
        """Return the snapshot to start from."""
        return newest_usable(first, snapshots)

    def invariants(self) -> dict:
        """Return what must hold in every state."""
        return {
            "nodes agree": nodes_agree,
            "never back to an older one": never_back,
            "told what the log decided": told_what_the_log_decided,
            "one of two racers wins": one_racer_wins,
        }

    def goal(self, state: dict[str, Any]) -> bool:
        """Return whether all nodes hold everything and all operators were told."""
        last = len(state["log"]) - 1
        return all(writer.told for writer in state["writers"]) and all(
            node.state and read(node.state).offset == last for node in state["nodes"]
        )


def newest_usable(
    first: int, snapshots: Iterable[tuple[int, Snapshot]]
) -> Snapshot | None:
    """Return the snapshot that a node without a state should start from.

    A snapshot whose append took effect late may describe a state so old that the log
    no longer keeps the records after it. A node that started from it would skip
    accepted changes, differ from its peers for ever, and say nothing; so only a
    snapshot that the kept records follow without a gap is usable.

    Parameters
    ----------
    first : int
        Oldest offset that the log still keeps.
    snapshots : iterable of (int, Snapshot)
        Those found in the kept records, with their offsets.
    """
    usable = [s for _, s in snapshots if s.through >= first - 1]
    return max(usable, key=lambda s: s.through, default=None)


def replaced(items: tuple, index: int, item: Any) -> tuple:
    """Return `items` with the one at `index` replaced."""
    return (*items[:index], item, *items[index + 1 :])


def advanced(node: Node, state: str) -> Node:
    """Return `node` with a new state, and whether that is an older one."""
    back = bool(node.state) and read(state).offset < read(node.state).offset
    return Node(state, node.went_back or back)


def name(record: str) -> str:
    """Return a short name of an encoded record for traces."""
    decoded = decode(record)
    if isinstance(decoded, Change):
        return decoded.change_id
    return f"snapshot through {decoded.through}"


@lru_cache(maxsize=100_000)
def read(state: str) -> ConfigurationFold:
    """Return the fold that an encoded snapshot holds; must not be changed."""
    return ConfigurationFold.from_snapshot(decode(state))


def write(fold: ConfigurationFold) -> str:
    """Return `fold` as an encoded snapshot."""
    return encode(fold.snapshot())


@lru_cache(maxsize=100_000)
def fold_one(state: str, record: str) -> str:
    """Return the state after one more record."""
    fold = ConfigurationFold.from_snapshot(decode(state))
    fold.apply(fold.offset + 1, decode(record))
    return write(fold)


@lru_cache(maxsize=100_000)
def reference(log: tuple) -> str:
    """Return the state of a node that saw every record of `log`."""
    state = write(ConfigurationFold())
    for record in log:
        state = fold_one(state, record)
    return state


def nodes_agree(state: dict[str, Any]) -> bool:
    """Return whether each node holds what the whole log up to its offset gives."""
    return all(
        node.state == reference(state["log"][: read(node.state).offset + 1])
        for node in state["nodes"]
        if node.state
    )


def never_back(state: dict[str, Any]) -> bool:
    """Return whether no running node went back to an older configuration."""
    return not any(node.went_back for node in state["nodes"])


def told_what_the_log_decided(state: dict[str, Any]) -> bool:
    """Return whether each operator was told what the whole log decides."""
    outcomes = read(reference(state["log"])).outcomes
    for i, writer in enumerate(state["writers"]):
        if writer.told:
            found = outcomes.get(CHANGES[i].change_id)
            if found is None or (found.verdict, found.version) != writer.told:
                return False
    return True


def one_racer_wins(state: dict[str, Any]) -> bool:
    """Return whether at most one of the changes that expect no resource applied."""
    racers = [
        writer.told
        for writer, change in zip(state["writers"], CHANGES, strict=False)
        if change.expected_version == ABSENT
    ]
    return sum(bool(told) and told[0] == "applied" for told in racers) <= 1
