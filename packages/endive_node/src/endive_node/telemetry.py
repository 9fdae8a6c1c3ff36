"""Metrics through OpenTelemetry."""

import time
from collections import Counter

from endive_core.exceptions import REFUSAL_KINDS, ErrorKind, RetryReason
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

DROP_REASONS = ("late", "repeated", "reordered", "foreign")
"""Why a piece of an answer is dropped instead of being shown to a caller."""


class MonotonicClock:
    """The process's clock."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()


class FastCounter:
    """A counter for each token of each stream.

    OpenTelemetry's own takes as long as decoding the token: 15 % of a stream's
    processor time. This one adds to a number.
    """

    def __init__(self) -> None:
        self.value = 0

    def add(self, amount: int) -> None:
        """Count `amount` more."""
        self.value += amount


class Metrics:
    """The node's counters and histograms, and the page that shows them.

    Operators meet it as ``/metrics`` on the operators' port. One counter exists for
    each refusal kind, retry reason and drop reason from the start, so that a zero is
    seen as a zero.
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
        self.accepted = self.counter("endive_requests_accepted")
        self.finished = self.counter("endive_requests_finished")
        self.tokens = self.fast_counter("endive_tokens_sent")
        self.first_token = self.meter.create_histogram(
            "endive_first_token_seconds", unit="s"
        )

    def counter(self, name: str, description: str = ""):
        """Return a new counter that starts at a visible zero."""
        counter = self.meter.create_counter(name, description=description)
        counter.add(0)
        return counter

    def fast_counter(self, name: str) -> "FastCounter":
        """Return a counter that is read only when the page is asked for."""
        counter = FastCounter()
        self.meter.create_observable_counter(
            name, [lambda _options: [Observation(counter.value)]]
        )
        return counter

    def gauge(self, name: str, read, description: str = ""):
        """Register a gauge whose value `read()` gives when the page is asked for."""
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
        """Count a piece that was not shown to a caller."""
        self.drops[reason].add(1)

    def page(self) -> bytes:
        """Return the scrape page."""
        return generate_latest(self.registry)
