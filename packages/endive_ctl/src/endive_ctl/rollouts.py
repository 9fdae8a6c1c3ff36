"""Rollouts in gateways' logs: orders, stages, evidence by route, and why."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from endive_ctl.loglines import LogLine

STEP_EVENTS = ("rollout_decided", "rollout_stopped", "rollout_status")


@dataclass
class RolloutHistory:
    """One order and what came of it.

    Attributes
    ----------
    ordered_at : float
        When the first node learned of it, seconds since the earliest line.
    steps : list of LogLine
        Decisions of the holder, the first stop, and outcomes written.
    evidence : dict of str to LogLine
        By route, the newest counts of both versions at the holder.
    """

    service: str
    to: str
    duration_s: float
    ordered_at: float
    steps: list[LogLine] = field(default_factory=list)
    evidence: dict[str, LogLine] = field(default_factory=dict)

    @property
    def state(self) -> str:
        """The stage that was decided last."""
        decided = [s for s in self.steps if s.event == "rollout_decided"]
        return decided[-1].fields.get("stage", "") if decided else "ordered"

    def to_body(self) -> dict[str, Any]:
        """Return the history for machine-readable output."""
        return {
            "service": self.service,
            "to": self.to,
            "duration_s": self.duration_s,
            "state": self.state,
            "steps": [
                {"after_s": s.at - self.ordered_at, "event": s.event} | s.fields
                for s in self.steps
            ],
            "evidence": [line.fields for line in self.evidence.values()],
        }


def rollout_histories(
    lines: Iterable[LogLine], service: str = ""
) -> list[RolloutHistory]:
    """Return the rollouts in log lines, by the time of their orders.

    Parameters
    ----------
    service : str
        Only those of this service; all if empty.
    """
    found: dict[tuple[str, str], RolloutHistory] = {}
    newest: dict[str, RolloutHistory] = {}
    for line in lines:
        if not line.event.startswith("rollout_"):
            continue
        name = line.fields.get("service") or _service_of_key(line)
        if line.event == "rollout_ordered":
            key = name, line.fields.get("offset", "")
            if key not in found:
                found[key] = newest[name] = RolloutHistory(
                    name, line.fields.get("to", ""), line.number("duration_s"), line.at
                )
        elif name in newest:
            _add(newest[name], line)
    return [h for h in found.values() if service in ("", h.service)]


def _add(history: RolloutHistory, line: LogLine) -> None:
    if line.event == "rollout_evidence":
        history.evidence[line.fields.get("route", "")] = line
    elif line.event == "rollout_stopped":
        if not any(step.event == line.event for step in history.steps):
            history.steps.append(line)
    elif line.event in STEP_EVENTS:
        history.steps.append(line)


def _service_of_key(line: LogLine) -> str:
    return line.fields.get("key", "").rpartition("/")[2]
