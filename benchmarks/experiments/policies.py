"""Policies by name, and their combinations."""

from dataclasses import fields, replace
from typing import Any

from experiments.options import Options

POLICIES = {
    "all": Options(),
    "before": Options(contention=False),
    "contention-rate-only": Options().limits(
        contention_backlog_part=1.0, contention_min_share=1.0
    ),
    "half-backlog": Options().limits(contention_backlog_part=0.125),
    "double-backlog": Options().limits(contention_backlog_part=0.5),
    "half-min-share": Options().limits(contention_min_share=0.125),
    "double-min-share": Options().limits(contention_min_share=0.5),
    "half-long-share": Options().limits(contention_long_share=0.25),
    "double-long-share": Options().limits(contention_long_share=1.0),
    "no-overtaking": Options().limits(overtaking_share=0.0),
    "half-overtaking": Options().limits(overtaking_share=0.125),
    "double-overtaking": Options().limits(overtaking_share=0.5),
    "all-overtaking": Options().limits(overtaking_share=1.0),
    "no-backlogs": Options(backlogs=False),
    "no-affinity": Options().limits(affinity_candidates=0, max_known_blocks=2),
    "half-belief": Options().limits(affinity_belief=0.5),
    "one-copy": Options().limits(affinity_copies=1),
    "four-copies": Options().limits(affinity_copies=4),
    "copies-no-wait": Options().limits(affinity_copy_wait=0.0),
    "copies-double-wait": Options().limits(affinity_copy_wait=0.5),
    "no-load-bound": Options().limits(load_bound=100.0),
    "no-yielding": Options().limits(yield_wait_part=1e9),
    "no-crowding": Options().limits(crowding_s=0.0),
    "fetch": Options(fetching="all"),
    "fetch-seen": Options(fetching="seen"),
    "fetch-hidden": Options(fetching="hidden"),
    "fixed-rate": Options(learned_rate=False),
    "fewer-servers": Options(target_utilisation=1.15),
    "more-servers": Options(target_utilisation=0.65),
    "no-speeds": Options(speeds=False),
    "untold-speeds": Options(told_speeds=False),
}
"""Policies by name: the decisions of a gateway, unchanged or with one changed."""


def options_of(name: str) -> Options:
    """Return the options of a policy, or of several joined by plus signs.

    Raises
    ------
    SystemExit
        If a policy is unknown, or two of them change the same decision differently.
    """
    options: dict[str, Any] = {}
    limits: dict[str, Any] = {}
    for part in name.split("+"):
        if part not in POLICIES:
            raise SystemExit(f"no policy {part!r}, allowed: {', '.join(POLICIES)}")
        policy = POLICIES[part]
        changes = _changes(policy, Options())
        changes.pop("policy", None)
        _merge(options, changes, name)
        _merge(limits, _changes(policy.policy, Options().policy), name)
    return replace(Options(), **options).limits(**limits)


def _changes(changed: Any, usual: Any) -> dict[str, Any]:
    """Return the fields of a data class that differ from the usual ones."""
    values = {field.name: getattr(changed, field.name) for field in fields(changed)}
    return {n: value for n, value in values.items() if value != getattr(usual, n)}


def _merge(found: dict[str, Any], changes: dict[str, Any], name: str) -> None:
    for field, value in changes.items():
        if found.setdefault(field, value) != value:
            raise SystemExit(f"{name}: two policies change {field}")
