"""Counters and latency histograms of a gateway, and the Prometheus endpoint.

Requests only increment plain numbers. OpenTelemetry, which renders the page, is
imported on the first scrape: a node starts a tenth of a second faster without it, and
most nodes are never scraped.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import msgspec
from endive_node.refusals import RefusalLog
from endive_node.sockets import listen_tcp
from gevent import Timeout

from endive_gateway.bounded_server import BoundedServer
from endive_gateway.exceptions import QueryError
from endive_gateway.http import encode_head, status_line

BUCKET_BOUNDS_S = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0)
"""Upper bounds of the latency buckets, seconds: fine around the targets of 0.15 to 0.6
that routes declare."""

MAX_QUERY_BYTES = 4096
"""Bytes of a request that are read; its first line has to be among them."""

SCRAPE_TIMEOUT_S = 1.0
"""Longest time to serve one scrape, seconds."""

MAX_SCRAPES = 8
"""Scrapes that may be served at once. There are a few scrapers."""

Gauge = Callable[[], float]


class LatencyHistogram:
    """A histogram of times in seconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)

    def observe(self, seconds: float) -> None:
        """Count one time in its bucket."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1

    def cumulative(self) -> Iterable[tuple[str, int]]:
        """Yield each bucket's upper bound and its cumulative count."""
        total = 0
        for bound, count in zip((*BUCKET_BOUNDS_S, "+Inf"), self.counts, strict=True):
            total += count
            yield str(bound), total


class GatewayMetrics:
    """The metrics of a gateway.

    Attributes
    ----------
    outcomes : Counter
        Requests by outcome: ``ok``, an error kind, or a server's own status.
    retries : Counter
        Failed attempts by reason.
    events : Counter
        Other counted events, by name.
    transit_replies : Counter
        Connections that other nodes have asked this one for, by reply.
    slot_replies : Counter
        Slots of brittle servers that this node has asked for, by reply.
    resumptions : Counter
        Streams that callers have taken up, by how it was known where they go on.
    part_outcomes : Counter
        Requests with suspected parts, and such parts, by what became of them.
    fetch_outcomes : Counter
        Fetches of cached prompt parts that requests asked for, and those that paused
        their sources, by cause.
    refusals : Counter
        Requests refused and connections closed for want of room, and malformed
        requests, by reason.
    first_byte_times, response_times : LatencyHistogram
        Times from a request's first byte to the first byte of a server's response, or
        to the loss of that response, and to the end of a successful response.
    turn_lengths : LatencyHistogram
        Times for which the event loop did not poll.
    gauges : dict
        Functions that return the present value, by metric name and labels.
    """

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.retries: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.transit_replies: Counter[str] = Counter()
        self.slot_replies: Counter[str] = Counter()
        self.resumptions: Counter[str] = Counter()
        self.part_outcomes: Counter[str] = Counter()
        self.fetch_outcomes: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.first_byte_times = LatencyHistogram()
        self.response_times = LatencyHistogram()
        self.turn_lengths = LatencyHistogram()
        self.gauges: dict[str, dict[tuple[tuple[str, str], ...], Gauge]] = {}
        self.render_page = None

    def add_gauge(self, name: str, gauge: Gauge, **labels: str) -> None:
        """Add a gauge; must be called before the first page is rendered."""
        self.gauges.setdefault(name, {})[tuple(labels.items())] = gauge

    def page(self) -> bytes:
        """Return the page in the Prometheus text format."""
        if self.render_page is None:
            self.render_page = self._make_page_renderer()
        return self.render_page()

    def _make_page_renderer(self):
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

        def add_counter(name: str, label: str, counts) -> None:
            meter.create_observable_counter(
                name,
                [lambda _options: [Observation(n, {label: k}) for k, n in counts()]],
            )

        def add_gauge_callbacks(name: str, gauges) -> None:
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
            add_gauge_callbacks(name, gauges)
        add_counter("endive_requests", "outcome", self.outcomes.items)
        add_counter("endive_retries", "reason", self.retries.items)
        add_counter("endive_events", "name", self.events.items)
        add_counter("endive_prefix_fetches", "outcome", self.fetch_outcomes.items)
        add_counter("endive_transit_replies", "reply", self.transit_replies.items)
        add_counter("endive_slot_replies", "reply", self.slot_replies.items)
        add_counter("endive_stream_resumptions", "outcome", self.resumptions.items)
        add_counter("endive_suspected_parts", "outcome", self.part_outcomes.items)
        add_counter("endive_refusals", "reason", self.refusals.items)
        add_counter("endive_first_byte_bucket", "le", self.first_byte_times.cumulative)
        add_counter("endive_answer_bucket", "le", self.response_times.cumulative)
        add_counter("endive_turn_bucket", "le", self.turn_lengths.cumulative)
        return lambda: generate_latest(registry)


class MetricsServer:
    """Serves the metrics page over HTTP, and answers operators' queries.

    Attributes
    ----------
    queries : dict of str to callable
        By path, functions that return the body of an answer from the fields of a query,
        or raise QueryError. Every other path gets the metrics page.
    """

    def __init__(self, address: str, port: int, metrics: GatewayMetrics) -> None:
        self.metrics = metrics
        self.queries: dict[str, Callable[[dict[str, str]], Any]] = {}
        self.server = BoundedServer(
            listen_tcp(address, port),
            self._serve_page,
            lambda: MAX_SCRAPES,
            RefusalLog(metrics.refusals),
            "metrics",
        )

    def start(self) -> None:
        """Start serving."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving and close the port."""
        self.server.stop(0)

    def _serve_page(self, sock, _address) -> None:
        with Timeout(SCRAPE_TIMEOUT_S, False):
            received = sock.recv(MAX_QUERY_BYTES)
            if not received:
                return
            status, content_type, body = self._answer(received)
            headers = [
                (b"Content-Type", content_type),
                (b"Content-Length", b"%d" % len(body)),
                (b"Connection", b"close"),
            ]
            sock.sendall(encode_head(status_line(status), headers) + body)

    def _answer(self, received: bytes) -> tuple[int, bytes, bytes]:
        """Return status, content type and body of the answer to a request."""
        words = received.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
        target = urlsplit(words[1] if len(words) > 1 else "")
        query = self.queries.get(target.path)
        if query is None:
            return 200, b"text/plain; version=0.0.4", self.metrics.page()
        try:
            status, answer = 200, query(dict(parse_qsl(target.query)))
        except QueryError as error:
            status, answer = (
                400,
                {"error": {"code": "bad_query", "message": str(error)}},
            )
        return status, b"application/json", msgspec.json.encode(answer)
