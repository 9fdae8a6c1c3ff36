"""Loads state charts from files and compiles them into transition tables.

The files are in the format of `sismic`. Importing that library would cost a node 9 MB
of memory and each of its steps takes 79 us, so a chart is compiled here, once, into a
table from (flags, state, event) to the next state and flags. A test steps `sismic` and
the table through a whole chart and compares them. The model checker under ``spec``
uses the same tables.
"""

from collections.abc import Iterator
from dataclasses import asdict, replace
from importlib import resources
from typing import Any

import msgspec

TransitionTable = dict[tuple[Any, str, str], tuple[str, Any]]
"""Maps (flags, state, event) to the next state and flags."""


class IllegalEventError(Exception):
    """Raised for an event that a chart does not allow in the current state."""


def load_chart(name: str) -> dict[str, Any]:
    """Return the content of the chart file `name`, in the format of `sismic`."""
    text = resources.files(__name__).joinpath(f"{name}.json").read_bytes()
    return msgspec.json.decode(text)


def compile_chart(chart: dict[str, Any], all_flags: list[Any]) -> TransitionTable:
    """Return the table of every transition in `chart`.

    A state's own transitions take precedence over those of its enclosing states. A
    transition whose guard is false for the given flags is left out.

    Parameters
    ----------
    chart : dict
        A chart as returned by :func:`load_chart`.
    all_flags : list of dataclass
        Every combination of the flags that the guards read.
    """
    root = chart["statechart"]["root state"]
    on_entry = {s["name"]: s["on entry"] for s in _states(root) if "on entry" in s}
    table: TransitionTable = {}
    for flags in all_flags:
        for state, transition in _transitions(root, ()):
            key = (flags, state, transition["event"])
            if key in table or not _guard_holds(transition.get("guard"), flags):
                continue
            target = transition.get("target", state)
            after = _apply_action(transition.get("action"), flags)
            table[key] = (target, _apply_action(on_entry.get(target), after))
    return table


def _states(state: dict[str, Any]) -> Iterator[dict[str, Any]]:
    yield state
    for child in state.get("states", ()):
        yield from _states(child)


def _transitions(
    state: dict[str, Any], inherited: tuple
) -> Iterator[tuple[str, dict[str, Any]]]:
    transitions = (*state.get("transitions", ()), *inherited)
    for child in state.get("states", ()):
        yield from _transitions(child, transitions)
    if "states" not in state:
        yield from ((state["name"], transition) for transition in transitions)


def _guard_holds(guard: str | None, flags: Any) -> bool:
    return guard is None or eval(guard, {"__builtins__": {}}, asdict(flags))


def _apply_action(action: str | None, flags: Any) -> Any:
    if action is None:
        return flags
    name, value = action.split(" = ")
    return replace(flags, **{name: value == "True"})
