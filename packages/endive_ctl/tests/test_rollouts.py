"""Tests of the rollouts that are read from gateways' logs."""

from endive_ctl.loglines import read_lines
from endive_ctl.rollouts import rollout_histories
from endive_ctl.tables import rollouts
from log_builders import log_line


def write_log(tmp_path):
    lines = [
        log_line("rollout_ordered", at=1.0, service="s", to="v2", offset=7),
        log_line("rollout_ordered", at=1.1, node="n2", service="s", to="v2", offset=7),
        log_line("rollout_decided", at=2.0, service="s", stage="small", share=0.05),
        log_line(
            "rollout_evidence",
            at=3.0,
            service="s",
            route="r",
            responses=9,
            failures=4,
            base_responses=90,
            base_failures=1,
        ),
        log_line("rollout_decided", at=3.0, service="s", stage="rolled_back", reason=1),
        log_line("rollout_stopped", at=3.0, service="s", reason="failures"),
        log_line("rollout_stopped", at=3.1, node="n2", service="s", reason="failures"),
        log_line("rollout_status", at=3.2, key="rollout/s", value="rolled_back"),
        log_line("rollout_ordered", at=9.0, service="t", to="v9", offset=8),
    ]
    path = tmp_path / "log"
    path.write_text("".join(lines))
    return read_lines([path])


def test_a_rollout_is_put_together_from_the_lines_of_all_nodes(tmp_path):
    """An order that each node logs appears as many rollouts, or steps are missing."""
    first, second = rollout_histories(write_log(tmp_path))
    assert (first.service, first.state, second.state) == ("s", "rolled_back", "ordered")
    assert [step.event.removeprefix("rollout_") for step in first.steps] == [
        "decided",
        "decided",
        "stopped",
        "status",
    ]
    assert [h.service for h in rollout_histories(write_log(tmp_path), "t")] == ["t"]


def test_the_table_shows_evidence_by_route_and_version(tmp_path):
    """An operator can't see why a version was rolled back."""
    text = rollouts(rollout_histories(write_log(tmp_path)))
    rows = [line.split() for line in text.splitlines()]
    assert ["r", "v2", "9", "4", "-"] in rows
    assert ["r", "others", "90", "1", "-"] in rows
