from endive_gateway.metrics import GatewayMetrics, LatencyHistogram, MetricsServer
from gateway_builders import Caller, RunningGateway, make_route, make_table
from server_builders import ScriptedServer, failing


def test_times_fall_into_their_buckets():
    made = LatencyHistogram()
    for seconds in (0.005, 0.05, 0.051, 99.0):
        made.observe(seconds)
    assert dict(made.cumulative())["0.05"] == 2
    assert dict(made.cumulative())["0.1"] == 3
    assert dict(made.cumulative())["+Inf"] == 4


def test_each_outcome_and_retry_is_counted():
    with RunningGateway(
        ScriptedServer(failing), ScriptedServer(server_id="i-2")
    ) as running:
        for _ in range(3):
            running.call()
        running.call(target="/none", Id="")
        metrics = running.context.metrics
    assert metrics.outcomes["ok"] == 3
    assert sum(metrics.retries.values()) <= 1
    assert sum(metrics.response_times.counts) == 3


def test_the_page_shows_what_was_counted():
    metrics = GatewayMetrics()
    metrics.outcomes["ok"] = 5
    metrics.retries["connect_failed"] = 2
    metrics.response_times.observe(0.03)
    metrics.add_gauge("endive_store_answer_age_seconds", lambda: 2.5, topic="servers")
    server = MetricsServer("127.0.0.1", 0, metrics)
    server.start()
    try:
        caller = Caller(server.server.server_port)
        caller.raw(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        page = caller.receive().body.decode()
    finally:
        server.stop()
    assert 'endive_requests_total{outcome="ok"} 5.0' in page
    assert 'endive_retries_total{reason="connect_failed"} 2.0' in page
    assert 'endive_answer_bucket_total{le="0.05"} 1.0' in page
    assert 'endive_store_answer_age_seconds{topic="servers"} 2.5' in page


def test_a_route_without_servers_counts_its_refusals():
    with RunningGateway(table=make_table(make_route())) as running:
        running.call()
        assert running.context.metrics.outcomes["no_server"] == 1
