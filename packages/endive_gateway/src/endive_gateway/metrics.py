"""Counters and latencies of a gateway, and the page that shows them.

Requests only add to numbers. OpenTelemetry, which makes the page, is loaded when the
page is first asked for: a node starts a tenth of a second sooner without it, and most
nodes are never asked.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable

from endive_node.sockets import listen_tcp
from gevent import Timeout
from gevent.server import StreamServer

from endive_gateway.http import encode_head, status_line

BOUNDS_S = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0)
"""Upper bounds of the latency buckets, seconds: fine around the targets of 0.15 to 0.6
that routes declare."""

ANSWER_TIMEOUT_S = 1.0

Gauge = Callable[[], float]


class Latencies:
    """Counts by bucket of a time in seconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_S) + 1)

    def add(self, seconds: float) -> None:
        """Count one time."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1

    def cumulative(self) -> Iterable[tuple[str, int]]:
        """Yield each bucket's bound with the count up to it."""
        total = 0
        for bound, count in zip((*BOUNDS_S, "+Inf"), self.counts, strict=True):
            total += count
            yield str(bound), total


class GatewayMetrics:
    """What a gateway counts.

    Attributes
    ----------
    outcomes : Counter
        Requests by outcome: ``ok``, a kind of refusal, or a server's own status.
    retries : Counter
        Further attempts by reason.
    events : Counter
        Everything else that is counted, by name.
    gauges : dict
        Functions that return a state now, by the metric's name and its labels.
    """

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.retries: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.first_bytes = Latencies()
        self.whole = Latencies()
        self.gauges: dict[str, dict[tuple[tuple[str, str], ...], Gauge]] = {}
        self.page_maker = None

    def add_gauge(self, name: str, gauge: Gauge, **labels: str) -> None:
        """Let the page show what `gauge` returns; before the page is first made."""
        self.gauges.setdefault(name, {})[tuple(labels.items())] = gauge

    def page(self) -> bytes:
        """Return the scrape page."""
        if self.page_maker is None:
            self.page_maker = self._make_page_maker()
        return self.page_maker()

    def _make_page_maker(self):
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.metrics import Observation
        from opentelemetry.sdk.metrics import MeterProvider
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=registry
        )
        provider = MeterProvider(metric_readers=[reader], shutdown_on_exit=False)
        meter = provider.get_meter("endivestack.gateway")

        def observe(name: str, label: str, counts) -> None:
            meter.create_observable_counter(
                name,
                [lambda _options: [Observation(n, {label: k}) for k, n in counts()]],
            )

        def watch(name: str, gauges) -> None:
            meter.create_observable_gauge(
                name,
                [
                    lambda _options: [
                        Observation(gauge(), dict(labels))
                        for labels, gauge in gauges.items()
                    ]
                ],
            )

        for name, gauges in self.gauges.items():
            watch(name, gauges)
        observe("endive_requests", "outcome", self.outcomes.items)
        observe("endive_retries", "reason", self.retries.items)
        observe("endive_events", "name", self.events.items)
        observe("endive_first_byte_bucket", "le", self.first_bytes.cumulative)
        observe("endive_answer_bucket", "le", self.whole.cumulative)
        return lambda: generate_latest(registry)


class MetricsServer:
    """Answers whoever asks for the page."""

    def __init__(self, address: str, port: int, metrics: GatewayMetrics) -> None:
        self.metrics = metrics
        self.server = StreamServer(listen_tcp(address, port), self._answer)

    def start(self) -> None:
        """Begin to answer."""
        self.server.start()

    def stop(self) -> None:
        """Close the port."""
        self.server.stop(0)

    def _answer(self, sock, _address) -> None:
        with Timeout(ANSWER_TIMEOUT_S, False):
            if not sock.recv(4096):
                return
            body = self.metrics.page()
            headers = [
                (b"Content-Type", b"text/plain; version=0.0.4"),
                (b"Content-Length", b"%d" % len(body)),
                (b"Connection", b"close"),
            ]
            sock.sendall(encode_head(status_line(200), headers) + body)
