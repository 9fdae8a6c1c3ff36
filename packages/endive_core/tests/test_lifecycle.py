from itertools import product

import pytest
from endive_core.charts import IllegalEventError, load_chart
from endive_core.exceptions import Executed
from endive_core.lifecycle import (
    FINAL_STATES,
    REQUEST_TABLE,
    Event,
    Flags,
    Lifecycle,
    State,
)
from sismic.interpreter import Interpreter
from sismic.io.datadict import import_from_dict


def step_sismic(path, flags):
    """Run `path` of events through sismic; return its last state and flags."""
    interpreter = Interpreter(
        import_from_dict(load_chart("request")),
        initial_context={
            "non_idempotent": flags.non_idempotent,
            "sent_before": flags.sent_before,
        },
    )
    steps = interpreter.execute()
    for event in path:
        steps += interpreter.queue(str(event)).execute()
    entered = [name for step in steps for name in step.entered_states]
    if not interpreter.final:
        leaf = max(interpreter.configuration, key=interpreter.statechart.depth_for)
        assert leaf == entered[-1]
    context = interpreter.context
    return entered[-1], Flags(context["non_idempotent"], context["sent_before"])


def walk(start):
    """Return the shortest path of events to each reachable state of the table."""
    paths = {(State.ACCEPTED, start): ()}
    frontier = list(paths)
    for state, flags in frontier:
        for event in Event:
            step = REQUEST_TABLE.get((flags, state, event))
            if step is not None and step not in paths:
                paths[step] = (*paths[state, flags], event)
                frontier.append(step)
    return paths


@pytest.mark.parametrize("values", list(product((False, True), repeat=2)))
def test_table_steps_as_sismic_does(values):
    start = Flags(*values)
    for (state, flags), path in walk(start).items():
        assert step_sismic(path, start) == (state, flags)
        if state in FINAL_STATES:
            continue
        for event in Event:
            expected = REQUEST_TABLE.get((flags, state, event), (state, flags))
            assert step_sismic((*path, event), start) == expected, (path, event)


def test_refusal_as_not_run_is_impossible_after_dispatch():
    """A node gives up on a request after sending it. If it answered "not run", the
    caller would send the same request again and it could run twice."""
    life = Lifecycle(non_idempotent=True)
    for event in (Event.CLAIM, Event.WON, Event.DISPATCH):
        life.fire(event)
    with pytest.raises(IllegalEventError):
        life.fire(Event.REFUSE)
    assert life.executed is Executed.UNKNOWN


def test_non_idempotent_request_needs_a_won_claim():
    life = Lifecycle(non_idempotent=True)
    life.fire(Event.ENQUEUE)
    assert not life.allows(Event.DISPATCH)
    life.fire(Event.CLAIM)
    assert not life.allows(Event.DISPATCH)


def test_server_that_refused_before_starting_leaves_not_run():
    life = Lifecycle(non_idempotent=False)
    for event in (Event.ENQUEUE, Event.DISPATCH, Event.NOT_STARTED):
        life.fire(event)
    assert life.executed is Executed.NO
    for event in (Event.DISPATCH, Event.SERVER_LOST, Event.DISPATCH):
        life.fire(event)
    life.fire(Event.NOT_STARTED)
    assert life.executed is Executed.UNKNOWN
