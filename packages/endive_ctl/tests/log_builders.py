"""Builders for gateways' log lines, each prefixed with the node's name."""


def log_line(event, *, at=0.0, node="n1", **fields):
    hours, minutes, seconds = int(at // 3600), int(at % 3600 // 60), at % 60
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    stamp = f"{hours:02}:{minutes:02}:{seconds:09.6f}"
    return f"{node} I0310 {stamp} 140737351968128 logs.py:10] event={event} {pairs}\n"


def request_line(**fields):
    usual = {
        "request": "r1",
        "route": "plans",
        "outcome": "ok",
        "servers": "s1",
        "ms": 100,
        "target_ms": 1000,
        "first_ms": 90,
    }
    at, node = fields.pop("at", 0.0), fields.pop("node", "n1")
    return log_line("request", at=at, node=node, **(usual | fields))
