"""Stand-in for a plain service beside the model engines."""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import time
from collections import Counter
from dataclasses import dataclass

import gevent
from bottle import HTTPResponse, request

from endive_standins.serving import BODY, Delayed, StandIn, answer, main

OWN_PATHS = {"/faults", "/load", "/stats"}


@dataclass
class PlainSettings:
    """The service's flags."""

    id: str = "plain"
    service_s: float = 0.0
    capacity: int = 64
    report_lag_s: float = 0.0
    seed: int = 0


class Plain(StandIn):
    """Service that answers any call with what it was asked."""

    settings_type = PlainSettings

    def __init__(self, settings: PlainSettings) -> None:
        super().__init__(settings)
        self.count = 0
        self.running = 0
        self.load = Delayed(settings.report_lag_s, 0)
        self.executions: Counter[str] = Counter()
        self.app.route("/load", "GET", self.get_load)
        self.app.route("/stats", "GET", self.get_stats)
        self.app.route(["/", "/<:path>"], "ANY", self.run)

    def is_work(self, method: str, path: str) -> bool:
        """Return whether the call is one that the service runs."""
        return path not in OWN_PATHS

    def get_load(self) -> HTTPResponse:
        """Report the load as it was a while ago."""
        report = {
            "running": self.load.get(),
            "waiting": 0,
            "capacity": self.settings.capacity,
            "time": time.time() - self.settings.report_lag_s,
        }
        return answer(report)

    def get_stats(self) -> HTTPResponse:
        """Report how often each request was run."""
        return answer({"executions": self.executions})

    def run(self) -> HTTPResponse:
        """Run a call."""
        self.count += 1
        request_id = request.get_header("X-Request-Id", "")
        self.executions[request_id] += 1
        echo = {
            "server": self.settings.id,
            "method": request.method,
            "path": request.path,
            "body": request.environ[BODY].decode(errors="replace"),
            "request_id": request_id,
            "count": self.count,
        }
        self._set_running(self.running + 1)
        try:
            gevent.sleep(self.settings.service_s)
        finally:
            self._set_running(self.running - 1)
        return answer(echo)

    def _set_running(self, running: int) -> None:
        self.running = running
        self.load.set(running)


if __name__ == "__main__":
    main(Plain)
