"""Sweeps of a specification's whole state space with `minicheck`."""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Any
from typing import Protocol as Interface

from minicheck import Protocol, check_liveness, check_safety

MAX_STATES = 3_000_000


class Model(Interface):
    """One specification: states, steps and what must hold in each state.

    A mutant is a subclass of a model with one method changed for the worse.
    """

    name: str
    fields: tuple[str, ...]

    def initial(self) -> tuple[Hashable, ...]:
        """Return the first state."""
        ...

    def steps(self, state: tuple) -> Iterable[tuple[str, tuple]]:
        """Return every step that can follow, as (label, next state)."""
        ...

    def invariants(self) -> dict[str, Callable[[dict[str, Any]], bool]]:
        """Return what must hold in every state, by name."""
        ...

    def goal(self, state: dict[str, Any]) -> bool:
        """Return whether everything has ended as it should."""
        ...


@dataclass(frozen=True)
class Sweep:
    """The result of one sweep.

    Attributes
    ----------
    traces : dict
        The shortest sequence of labels that breaks each refuted invariant.
    """

    name: str
    states: int
    whole: bool
    invariants: tuple[str, ...]
    traces: dict[str, list[str]]

    @property
    def holds(self) -> bool:
        """Whether every state was visited and no invariant broke."""
        return self.whole and not self.traces

    def describe(self) -> str:
        """Return one line for a person."""
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
        whole=result["exhaustive"],
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
        whole=result["holds"] is not None,
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
