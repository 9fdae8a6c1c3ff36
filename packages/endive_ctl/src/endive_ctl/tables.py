"""Text tables for responses and reports."""

import time
from collections import Counter
from collections.abc import Iterable, Sequence

from endive_ctl.loglines import LogLine
from endive_ctl.losses import LossReport
from endive_ctl.rollouts import RolloutHistory

COLUMN_SEPARATOR = "  "
NO_VALUE = "-"


def table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return aligned columns; without rows only the head."""
    cells = [list(head), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(head))]
    lines = (
        COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def resources(items: list[dict]) -> str:
    """Return one row for each resource, with whether it is in force."""
    head = ("KIND", "NAME", "OWNER", "VERSION", "IN FORCE", "NODES", "WHY NOT")
    return table(head, map(_resource_row, items))


def _resource_row(item: dict) -> tuple:
    status = item["status"]
    return (
        item["kind"],
        item["name"],
        item["owner"],
        item["version"],
        "yes" if status["in_force"] else "no",
        f"{status['nodes_in_force']}/{status['nodes_live']}",
        "; ".join(status["reasons"]) or NO_VALUE,
    )


def event(version: int, data: dict) -> str:
    """Return the line that a watch prints for one change."""
    return (
        f"{clock(data['at'])} version {version} {data['type']} "
        f"{data['kind']}/{data['name']} by {data['operator'] or NO_VALUE}"
    )


def status(response: dict) -> str:
    """Return the state of a node as text with several tables."""
    configuration = response["configuration"]
    age = configuration["log_read_s_ago"]
    parts = [
        f"node {response['node']} in {response['zone']}: "
        + ("ready" if response["ready"] else "not ready")
        + (", stopping" if response["stopping"] else ""),
        f"configuration version {configuration['version']}, log read "
        + (NO_VALUE if age is None else f"{age:.1f} s ago"),
        f"requests in flight: {response['in_flight']}",
        "",
        _nodes(response["nodes"], configuration["version"]),
        "",
        _servers(response["servers"]),
    ]
    for title in ("zones_under_notice", "queues", "refusals", "retries"):
        parts += _section(title, response.get(title))
    return "\n".join(parts)


def _nodes(nodes: list[dict], version: int) -> str:
    rows = (
        (n["id"], n["zone"], n["state"], n["version"], max(0, version - n["version"]))
        for n in nodes
    )
    return table(("NODE", "ZONE", "STATE", "VERSION", "BEHIND"), rows)


def _servers(servers: list[dict]) -> str:
    rows = (
        (
            server["service"],
            server["id"],
            server["zone"],
            "leaving" if server["leaving"] else "taking work",
            server["in_flight"],
            server["reported_running"],
            server["reported_waiting"],
        )
        for server in servers
    )
    head = ("SERVICE", "SERVER", "ZONE", "STATE", "OURS", "RUNNING", "WAITING")
    return table(head, rows)


def _section(title: str, value) -> list[str]:
    if not value:
        return []
    head = title.replace("_", " ").upper()
    if isinstance(value, dict):
        return ["", table((head, "COUNT"), value.items())]
    return ["", f"{head}: {', '.join(map(str, value))}"]


def explanation(response: dict) -> str:
    """Return the outcome of a request and its events, one event a line."""
    lines = [
        f"request {response['request_id']} of {response['organisation']}: "
        f"{response['state']}, executed: {response['executed']}",
    ]
    lines += [f"{note['after_s']:9.3f} s  {note['text']}" for note in response["notes"]]
    return "\n".join(lines)


def losses(report: LossReport) -> str:
    """Return a loss report as tables: by route, by time, server cost and downtime."""
    causes = report.causes()

    def rows(groups) -> list[tuple]:
        return [(name, *(c[cause] for cause in causes)) for name, c in groups]

    total = sum(report.by_route.values(), Counter())
    by_route = [*sorted(report.by_route.items()), ("all", total)]
    by_time = [(f"{at:.0f} s", c) for at, c in sorted(report.by_time.items())]
    servers = [(*key, round(s)) for key, s in sorted(report.servers_s.items())]
    dark = [(node, f"{s:.2f}") for node, s in sorted(report.dark_s.items())]
    return "\n\n".join(
        (
            table(("ROUTE", *causes), rows(by_route)),
            table(("FROM", *causes), rows(by_time)),
            table(("SERVICE", "KIND", "SERVER SECONDS ORDERED"), servers),
            table(("NODE", "DARK SECONDS"), dark),
            f"prompt tokens sent {report.prompt_tokens:.0f}, "
            f"expected to be computed {report.uncached_tokens:.0f}",
        )
    )


def trace(lines: Iterable[LogLine]) -> str:
    """Return a table of log lines of one request, one event a row."""
    rows = (
        (
            f"{line.at:.3f} s",
            line.node or NO_VALUE,
            line.event,
            " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "request"),
        )
        for line in lines
    )
    return table(("AT", "NODE", "EVENT", "FIELDS"), rows)


def rollouts(histories: Iterable[RolloutHistory]) -> str:
    """Return for each rollout its order, its steps, and its evidence by route."""
    parts = []
    for history in histories:
        parts.append(
            f"{history.service} to {history.to} within {history.duration_s:g} s: "
            f"{history.state}"
        )
        steps = [
            (
                f"{line.at - history.ordered_at:.2f} s",
                line.node or NO_VALUE,
                line.event.removeprefix("rollout_"),
                line.fields.get("stage") or line.fields.get("value", NO_VALUE),
                line.fields.get("share", NO_VALUE),
                line.fields.get("exposed", NO_VALUE),
                line.fields.get("reason", NO_VALUE),
            )
            for line in history.steps
        ]
        parts.append(
            table(("AFTER", "NODE", "STEP", "STAGE", "SHARE", "EXPOSED", "WHY"), steps)
        )
        parts.append(table(EVIDENCE_HEAD, _evidence_rows(history)))
    return "\n\n".join(parts) or "no rollout in the given files"


EVIDENCE_HEAD = ("ROUTE", "VERSION", "RESPONSES", "FAILURES", "MEDIAN OF EXPECTED")


def _evidence_rows(history: RolloutHistory) -> list[tuple]:
    rows = []
    for route, line in sorted(history.evidence.items()):
        for prefix, version in (("", history.to), ("base_", "others")):
            figures = ("responses", "failures", "median")
            values = (line.fields.get(prefix + name, NO_VALUE) for name in figures)
            rows.append((route, version, *values))
    return rows


def clock(at: float) -> str:
    """Return a Unix time as an ISO 8601 timestamp in UTC."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(at))


def placement(response: dict) -> str:
    """Return where a request would go, with all candidates, as text."""
    parts = [
        f"node {response['node']}, configuration {response['configuration_version']}, "
        f"route {response['route']}, priority {response['priority']}, "
        f"target {response['target_s']:.3f} s"
    ]
    limit = response["limit"]
    if limit is not None:
        verdict = "refused with 429" if limit["is_refused"] else "allowed"
        parts.append(
            f"limit: {limit['units']:.0f} units, {limit['units_left']:.0f} left of "
            f"{limit['units_when_full']:.0f}: {verdict}"
        )
    parts += map(_placement_in_service, response["services"])
    return "\n\n".join(parts)


def _placement_in_service(service: dict) -> str:
    candidates = service["candidates"]
    open_ones = [c for c in candidates if not c["ruled_out_by"]]
    verdict = "no server is open: it would be queued"
    if service["refusal"]:
        after_s = service["retry_after_s"]
        told = "no time to retry" if after_s is None else f"Retry-After {after_s:.3f} s"
        verdict = f"refused, {service['refusal']}; {told}"
    elif service["pooled_slots"]:
        verdict = "to the first free slot, from the service's coordinator"
    elif open_ones:
        verdict = f"to {open_ones[0]['id']} if it is compared with the others"
    lines = [
        f"service {service['service']}: {verdict}",
        f"queue {service['queue_s']:.3f} s, allowance {service['allowance_s']:.3f} s, "
        f"start {service['start_s']:.3f} s",
        f"{service['queued_tokens_ahead']:.0f} tokens queued ahead, "
        f"{service['tier']}, share of this node {service['node_share']:.4f}",
        table(
            (
                *("SERVER", "ZONE", "COST", "WAIT", "CACHED", "HASHED", "LOAD", "AGE"),
                *("OWN", "SLOWDOWN", "RULED OUT BY"),
            ),
            map(_candidate_row, candidates),
        ),
    ]
    return "\n".join(lines)


def _candidate_row(candidate: dict) -> tuple:
    age_s = candidate["report_age_s"]
    return (
        candidate["id"],
        candidate["zone"],
        f"{candidate['cost_s']:.3f}",
        f"{candidate['wait_s']:.3f}",
        candidate["cached_tokens"],
        "yes" if candidate["is_hashed"] else "no",
        f"{candidate['running']}+{candidate['waiting']}/{candidate['slots']}",
        NO_VALUE if age_s is None else f"{age_s:.1f}",
        candidate["own_in_flight"],
        f"{candidate['slowness'] * candidate['slowdown']:.2f}",
        "; ".join(candidate["ruled_out_by"]) or NO_VALUE,
    )
