"""Metrics through OpenTelemetry, in the Prometheus exposition format."""

import time
from collections import Counter

from endive_core.exceptions import REFUSAL_KINDS, ErrorKind, RetryReason
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

from endive_node.refusals import RefusalLog

DROP_REASONS = ("late", "repeated", "reordered", "foreign")
"""Reasons for which a piece of an answer is dropped instead of sent to a caller."""


class MonotonicClock:
    """The monotonic clock of the process."""

    def now(self) -> float:
        """Return seconds since an arbitrary fixed moment."""
        return time.monotonic()


class FastCounter:
    """A counter that is cheap enough to be incremented for each token.

    OpenTelemetry's own counter takes as long as decoding the token, which is 15 % of
    a stream's processor time. This one only adds to an integer.
    """

    def __init__(self) -> None:
        self.value = 0

    def add(self, amount: int) -> None:
        """Add `amount` to the counter."""
        self.value += amount


class Metrics:
    """The node's counters and histograms, which operators scrape at ``/metrics``.

    The counters of all refusal kinds, retry reasons and drop reasons exist from the
    start, so that a count of zero is exported as zero instead of being absent.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self.registry
        )
        self.provider = MeterProvider(metric_readers=[reader], shutdown_on_exit=False)
        self.meter = self.provider.get_meter("endivestack")
        self.refusals = {
            kind: self.counter(f"endive_refused_{kind}") for kind in REFUSAL_KINDS
        }
        self.refused_counts: Counter[ErrorKind] = Counter()
        self.retried_counts: Counter[RetryReason] = Counter()
        self.retries = {
            reason: self.counter(f"endive_retried_{reason}") for reason in RetryReason
        }
        self.drops = {
            reason: self.counter(f"endive_pieces_dropped_{reason}")
            for reason in DROP_REASONS
        }
        self.refused_connections: Counter[str] = Counter()
        self.refusal_log = RefusalLog(self.refused_connections)
        self.meter.create_observable_counter(
            "endive_connections_refused", [self._observe_refused_connections]
        )
        self.accepted = self.counter("endive_requests_accepted")
        self.finished = self.counter("endive_requests_finished")
        self.tokens = self.fast_counter("endive_tokens_sent")
        self.first_token = self.meter.create_histogram(
            "endive_first_token_seconds", unit="s"
        )

    def _observe_refused_connections(self, _options) -> list[Observation]:
        counts = self.refused_connections.items()
        return [Observation(count, {"reason": reason}) for reason, count in counts]

    def counter(self, name: str, description: str = ""):
        """Return a new counter, which is exported from the start with the value 0."""
        counter = self.meter.create_counter(name, description=description)
        counter.add(0)
        return counter

    def fast_counter(self, name: str) -> "FastCounter":
        """Return a counter that OpenTelemetry reads only when metrics are scraped."""
        counter = FastCounter()
        self.meter.create_observable_counter(
            name, [lambda _options: [Observation(counter.value)]]
        )
        return counter

    def gauge(self, name: str, read, description: str = ""):
        """Register a gauge; `read()` returns its value when metrics are scraped."""
        return self.meter.create_observable_gauge(
            name, [lambda _options: [Observation(read())]], description=description
        )

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count a refusal."""
        self.refused_counts[kind] += 1
        if kind in self.refusals:
            self.refusals[kind].add(1)

    def count_retry(self, reason: RetryReason) -> None:
        """Count a further attempt."""
        self.retried_counts[reason] += 1
        self.retries[reason].add(1)

    def count_drop(self, reason: str) -> None:
        """Count a piece that was not sent to a caller."""
        self.drops[reason].add(1)

    def page(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
