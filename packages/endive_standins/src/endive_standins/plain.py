"""Stand-in for a plain HTTP service: a backend server that isn't a model engine."""

import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

import gevent
from bottle import request

from endive_standins import serving


@dataclass
class PlainSettings:
    """Command-line flags of the service.

    `service_s` is the duration of a request, and `report_lag_s` the age of the reported
    load, both in seconds.
    """

    id: str = "plain"
    service_s: float = 0.0
    capacity: int = 64
    report_lag_s: float = 0.0


class Plain(serving.StandIn):
    """Service that echoes any request in its response."""

    settings_type = PlainSettings

    def __init__(self, settings: PlainSettings) -> None:
        super().__init__(settings)
        self.count = self.running = 0
        self.load = serving.DelayedValue(settings.report_lag_s, 0)
        self.executions: Counter[str] = Counter()
        self.route("GET", "/load", self.get_load)
        self.route("GET", "/stats", lambda: {"executions": self.executions})
        self.route("ANY", "/", self.run)
        self.route("ANY", "/<path:path>", self.run)

    def is_work(self, method: str, path: str) -> bool:
        """Return whether the request is one that the service executes."""
        return path not in ("/load", "/stats")

    def get_load(self) -> dict[str, Any]:
        """Return the load as of `report_lag_s` seconds ago."""
        reported_at = time.time() - self.settings.report_lag_s
        running, capacity = self.load.get(), self.settings.capacity
        return {
            "running": running,
            "waiting": 0,
            "capacity": capacity,
            "time": reported_at,
        }

    def run(self, path: str = "") -> dict[str, Any]:
        """Execute a request: count it, wait, and echo it."""
        self.count += 1
        request_id = request.get_header("X-Request-Id", "")
        self.executions[request_id] += 1
        echo = {
            "server": self.settings.id,
            "method": request.method,
            "path": request.path,
            "body": request.environ[serving.BODY_KEY].decode(errors="replace"),
            "request_id": request_id,
            "count": self.count,
        }
        self.adjust_running(1)
        try:
            gevent.sleep(self.settings.service_s)
        finally:
            self.adjust_running(-1)
        return echo

    def adjust_running(self, change: int) -> None:
        """Add `change` to the number of running requests."""
        self.running += change
        self.load.set(self.running)


if __name__ == "__main__":
    serving.main(Plain)
