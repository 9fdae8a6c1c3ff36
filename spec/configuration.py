"""Specification of the configuration fold under races, crashes and log truncation.

Operators change one resource concurrently. Nodes fold the records that the log retains
with the production :class:`ConfigurationFold`; they crash and restart from a snapshot
in the log or from a peer's state. Delays, pauses and a log outage are steps that aren't
taken, as in :mod:`spec.claims`.
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
    """An operator's change at the node that received it.

    `copies` counts its appends; `reported` is the verdict and version in the response
    to the operator, empty until there is one.
    """

    copies: int = 0
    reported: tuple = ()


class Node(NamedTuple):
    """A node's fold, as an encoded snapshot.

    `regressed` tells whether the node ever replaced its state by an older one.
    """

    state: str = NO_STATE
    regressed: bool = False


class ConfigurationModel:
    """Operators' changes of one resource, appended and folded by a few nodes.

    Parameters
    ----------
    changes, nodes : int
        Numbers of changes and nodes. Change ``i`` is received by node ``i % nodes``.
    copies : int
        How often a change may be appended; 2 models an append whose response is lost.
    snapshots, crashes, forgets : int
        Bounds on snapshots appended, node crashes, and records removed from the log's
        start.
    """

    fields = ("log", "first_offset", "in_flight", "writers", "nodes", "budgets")

    def __init__(
        self, changes=2, nodes=2, copies=1, snapshots=1, crashes=1, truncations=2
    ) -> None:
        self.changes, self.count, self.copies = changes, nodes, copies
        self.budgets = (snapshots, crashes, truncations)
        kind = type(self).__name__
        self.name = f"{kind} {changes} {nodes} {copies} {self.budgets}"

    def initial(self) -> tuple:
        """Return the state with an empty log and nodes that have folded nothing."""
        empty = Node(encode_fold(ConfigurationFold()))
        writers = (Writer(),) * self.changes
        return ((), 0, (), writers, (empty,) * self.count, self.budgets)

    def steps(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        """Yield every transition from `state`, as (label, next state)."""
        log, first_offset, in_flight, writers, nodes, budgets = state
        snapshots, crashes, truncations = budgets
        for record in sorted(set(in_flight)):
            rest = list(in_flight)
            rest.remove(record)
            longer = (*log, record)
            yield (
                f"log takes {describe_record(record)}",
                (longer, first_offset, tuple(rest), *state[3:]),
            )
        if truncations and first_offset < len(log):
            remaining = (snapshots, crashes, truncations - 1)
            yield (
                "log forgets",
                (log, first_offset + 1, in_flight, writers, nodes, remaining),
            )
        yield from self.writer_steps(state)
        for i, node in enumerate(nodes):
            for label, after in self.node_steps(state, node, i):
                yield (
                    f"{label} {i}",
                    (*state[:4], replace_item(nodes, i, after), budgets),
                )
            if crashes and node.state:
                lost = replace_item(nodes, i, Node())
                remaining = (snapshots, crashes - 1, truncations)
                yield f"crash {i}", (*state[:4], lost, remaining)
            if snapshots and node.state and decode_fold(node.state).offset >= 0:
                remaining = (snapshots - 1, crashes, truncations)
                waiting = tuple(sorted((*in_flight, node.state)))
                yield (
                    f"snapshot {i}",
                    (log, first_offset, waiting, writers, nodes, remaining),
                )

    def writer_steps(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        """Yield appending a change, and reporting its outcome to the operator."""
        log, first_offset, in_flight, writers, nodes, budgets = state
        for i, writer in enumerate(writers):
            change = encode(CHANGES[i])
            if writer.copies < self.copies and not writer.reported:
                after = replace_item(
                    writers, i, writer._replace(copies=writer.copies + 1)
                )
                waiting = tuple(sorted((*in_flight, change)))
                yield f"append {i}", (log, first_offset, waiting, after, nodes, budgets)
            reported = self.outcome(state, i)
            if reported and not writer.reported:
                after = replace_item(writers, i, writer._replace(reported=reported))
                yield f"tell {i}", (log, first_offset, in_flight, after, nodes, budgets)

    def outcome(self, state: tuple, i: int) -> tuple:
        """Return the verdict and version of change `i` in its node's fold."""
        held = state[4][i % self.count].state
        found = decode_fold(held).outcomes.get(CHANGES[i].change_id) if held else None
        return (found.verdict, found.version) if found else ()

    def node_steps(self, state: tuple, node: Node, i: int):
        """Yield folding the next record, and adopting a snapshot or a peer's state."""
        log, first_offset, _, _, nodes, _ = state
        if node.state:
            following = decode_fold(node.state).offset + 1
            if first_offset <= following < len(log):
                yield "fold", with_state(node, self.fold(node.state, log[following]))
        for peer in nodes:
            if peer.state and self.should_adopt(peer.state, node.state):
                yield "pull", with_state(node, peer.state)
        found = self.start_state(log, first_offset)
        if found and self.should_adopt(found, node.state):
            yield "start", with_state(node, found)

    def fold(self, state: str, record: str) -> str:
        """Return the node's encoded state after `record`."""
        return fold_one(state, record)

    def should_adopt(self, found: str, held: str) -> bool:
        """Return whether a node replaces the state `held` by `found`."""
        return not held or decode_fold(found).offset > decode_fold(held).offset

    def start_state(self, log: tuple, first_offset: int) -> str:
        """Return the state that a node starts from if it reads the log alone."""
        if first_offset == 0:
            return encode_fold(ConfigurationFold())
        kept = [(n, decode(log[n])) for n in range(first_offset, len(log))]
        found = self.choose_snapshot(
            first_offset, [p for p in kept if isinstance(p[1], Snapshot)]
        )
        return (
            encode_fold(ConfigurationFold.from_snapshot(found)) if found else NO_STATE
        )

    def choose_snapshot(self, first_offset: int, snapshots: list) -> Snapshot | None:
        """Return the snapshot to start from, or ``None`` if none is usable."""
        return newest_usable_snapshot(first_offset, snapshots)

    def invariants(self) -> dict:
        """Return the predicates that must hold in every state, by name."""
        return {
            "nodes agree": nodes_agree,
            "never back to an older one": never_regresses,
            "told what the log decided": reports_match_log,
            "one of two racers wins": one_racer_wins,
        }

    def goal(self, state: dict[str, Any]) -> bool:
        """Return whether all nodes folded the whole log and all outcomes were sent."""
        last = len(state["log"]) - 1
        return all(writer.reported for writer in state["writers"]) and all(
            node.state and decode_fold(node.state).offset == last
            for node in state["nodes"]
        )


def newest_usable_snapshot(
    first_offset: int, snapshots: Iterable[tuple[int, Snapshot]]
) -> Snapshot | None:
    """Return the snapshot that a node without a state should start from.

    A snapshot whose append took effect late may hold a state so old that the log no
    longer keeps the records after it. A node that started from it would skip accepted
    changes and differ from its peers permanently without an error. Only a snapshot that
    the retained records follow without a gap is therefore usable.

    Parameters
    ----------
    first : int
        Oldest offset that the log retains.
    snapshots : iterable of (int, Snapshot)
        The snapshots among the retained records, with their offsets.
    """
    usable = [s for _, s in snapshots if s.through >= first_offset - 1]
    return max(usable, key=lambda s: s.through, default=None)


def replace_item(items: tuple, index: int, item: Any) -> tuple:
    """Return `items` with the one at `index` replaced."""
    return (*items[:index], item, *items[index + 1 :])


def with_state(node: Node, state: str) -> Node:
    """Return `node` with a new state; record it if that is an older one."""
    back = (
        bool(node.state) and decode_fold(state).offset < decode_fold(node.state).offset
    )
    return Node(state, node.regressed or back)


def describe_record(record: str) -> str:
    """Return a short description of an encoded record for traces."""
    decoded = decode(record)
    if isinstance(decoded, Change):
        return decoded.change_id
    return f"snapshot through {decoded.through}"


@lru_cache(maxsize=100_000)
def decode_fold(state: str) -> ConfigurationFold:
    """Return the fold of an encoded snapshot.

    The result is cached, so callers must not change it.
    """
    return ConfigurationFold.from_snapshot(decode(state))


def encode_fold(fold: ConfigurationFold) -> str:
    """Return `fold` as an encoded snapshot."""
    return encode(fold.snapshot())


@lru_cache(maxsize=100_000)
def fold_one(state: str, record: str) -> str:
    """Return the encoded state after `record`."""
    fold = ConfigurationFold.from_snapshot(decode(state))
    fold.apply(fold.offset + 1, decode(record))
    return encode_fold(fold)


@lru_cache(maxsize=100_000)
def reference(log: tuple) -> str:
    """Return the encoded state of a node that folded every record of `log`."""
    state = encode_fold(ConfigurationFold())
    for record in log:
        state = fold_one(state, record)
    return state


def nodes_agree(state: dict[str, Any]) -> bool:
    """Return whether each node's state equals a fold of the log up to its offset."""
    return all(
        node.state == reference(state["log"][: decode_fold(node.state).offset + 1])
        for node in state["nodes"]
        if node.state
    )


def never_regresses(state: dict[str, Any]) -> bool:
    """Return whether no running node ever adopted an older configuration."""
    return not any(node.regressed for node in state["nodes"])


def reports_match_log(state: dict[str, Any]) -> bool:
    """Return whether each reported outcome is the one that the whole log gives."""
    outcomes = decode_fold(reference(state["log"])).outcomes
    for i, writer in enumerate(state["writers"]):
        if writer.reported:
            found = outcomes.get(CHANGES[i].change_id)
            if found is None or (found.verdict, found.version) != writer.reported:
                return False
    return True


def one_racer_wins(state: dict[str, Any]) -> bool:
    """Return whether at most one change that expects no resource was applied."""
    racers = [
        writer.reported
        for writer, change in zip(state["writers"], CHANGES, strict=False)
        if change.expected_version == ABSENT
    ]
    return sum(bool(reported) and reported[0] == "applied" for reported in racers) <= 1
