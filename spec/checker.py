"""Exhaustive exploration of a specification's state space with `minicheck`."""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Any
from typing import Protocol as Interface

from minicheck import Protocol, check_liveness, check_safety

MAX_STATES = 3_000_000


class Model(Interface):
    """One specification: its states, transitions and invariants.

    A mutant is a subclass of a model with a fault in one method.
    """

    name: str
    fields: tuple[str, ...]

    def initial(self) -> tuple[Hashable, ...]:
        """Return the initial state."""
        ...

    def steps(self, state: tuple) -> Iterable[tuple[str, tuple]]:
        """Return every transition from `state`, as (label, next state)."""
        ...

    def invariants(self) -> dict[str, Callable[[dict[str, Any]], bool]]:
        """Return the predicates that must hold in every state, by name."""
        ...

    def goal(self, state: dict[str, Any]) -> bool:
        """Return whether `state` is a desired end state, for the liveness check."""
        ...


@dataclass(frozen=True)
class Sweep:
    """The result of exploring one model.

    Attributes
    ----------
    states : int
        Number of reachable states visited.
    exhaustive : bool
        Whether the whole state space was explored.
    traces : dict
        The shortest sequence of step labels that violates each refuted invariant.
    """

    name: str
    states: int
    exhaustive: bool
    invariants: tuple[str, ...]
    traces: dict[str, list[str]]

    @property
    def holds(self) -> bool:
        """Whether every state was visited and no invariant was violated."""
        return self.exhaustive and not self.traces

    def describe(self) -> str:
        """Return a summary on one line."""
        verdict = "holds" if self.holds else "REFUTED" if self.traces else "NOT SWEPT"
        names = ", ".join(self.traces or self.invariants)
        return f"{verdict:9} {self.name:34} {self.states:>9,} states: {names}"


def sweep(model: Model, max_states: int = MAX_STATES) -> Sweep:
    """Visit every state of `model` and check its invariants."""
    result = check_safety(_protocol(model), max_states)
    properties = result["properties"]
    return Sweep(
        name=model.name,
        states=result["reachable_states"],
        exhaustive=result["exhaustive"],
        invariants=tuple(properties),
        traces={
            name: [step["label"] for step in found["counterexample"][1:]]
            for name, found in properties.items()
            if found["holds"] is False
        },
    )


def sweep_liveness(model: Model) -> Sweep:
    """Check that from every state of `model` its goal can still be reached."""
    result = check_liveness(_protocol(model))
    trace = result.get("counterexample")
    return Sweep(
        name=f"{model.name}, goal",
        states=result.get("reachable_states", 0),
        exhaustive=result["holds"] is not None,
        invariants=("goal stays reachable",),
        traces={"goal": [step["label"] for step in trace[1:]]} if trace else {},
    )


def _protocol(model: Model) -> Protocol:
    return Protocol(
        name=model.name,
        candidate=False,
        fields=model.fields,
        initial=model.initial(),
        transitions=model.steps,
        invariants=model.invariants(),
        goal=model.goal,
    )
