"""At-most-once execution over separate processes; each fault has a fixed schedule."""

import signal
import threading
import time

import builders
import pytest

pytestmark = pytest.mark.processes
PATH = "/services/bookings/courts/7"


class BookingCluster:
    """A cluster with one plain service and one engine service."""

    def __init__(self, cluster, nodes=3, sections=None, **options):
        self.cluster = cluster
        cluster.with_log()
        self.servers = [cluster.plain(f"court-{i}", **options) for i in (1, 2)]
        self.engines = [cluster.engine(f"engine-{i}") for i in (1, 2)]
        self.nodes = cluster.add_nodes(nodes, **(sections or {}))
        cluster.apply(
            builders.organisation(),
            builders.service("bookings", self.servers, kind="plain"),
            builders.service("engines", self.engines),
            builders.deployment(),
        )
        for node in self.nodes:
            cluster.wait_in_force(node)
        self.before = self.runs_now()

    def runs_now(self):
        alive = [s for s in self.servers + self.engines if s.process.poll() is None]
        return sum(sum(s.stats()["executions"].values()) for s in alive)

    @property
    def runs(self):
        """Executions since the start on all servers that are still running."""
        return self.runs_now() - self.before

    def book(self, node, key, **headers):
        """Send a non-idempotent request to the plain service."""
        return node.post(
            PATH,
            {"at": 18},
            Idempotency_Key=key,
            Endive_Non_Idempotent="true",
            **headers,
        )

    def quote(self, node, key, max_tokens=4):
        """Send a non-idempotent completion request."""
        return node.post(
            "/v1/completions",
            {"model": "chat", "prompt": "quote", "max_tokens": max_tokens},
            Idempotency_Key=key,
            Endive_Non_Idempotent="true",
        )


def code(response):
    return "ok" if response.status == 200 else response.json()["error"]["code"]


class BackgroundCall:
    """A call that runs in a thread."""

    def __init__(self, function, *arguments):
        self.response = None
        self.thread = threading.Thread(target=self.run, args=(function, arguments))
        self.thread.start()

    def run(self, function, arguments):
        self.response = function(*arguments)

    def result(self):
        self.thread.join(30)
        assert self.response is not None, "no response within 30 s"
        return self.response


def run_concurrently(calls):
    started = [BackgroundCall(*call) for call in calls]
    return [call.result() for call in started]


def test_key_sent_to_three_nodes_at_once_runs_once(cluster):
    """A caller that lost its connection sends a request to every node at once. One node
    runs it; the others name the request that holds the key."""
    booking = BookingCluster(cluster)
    for number in range(5):
        for send in (booking.book, booking.quote):
            key = f"{send.__name__}-{number}"
            before = booking.runs
            responses = run_concurrently([(send, node, key) for node in booking.nodes])
            codes = sorted(code(response) for response in responses)
            assert codes == ["duplicate_request", "duplicate_request", "ok"]
            assert booking.runs - before == 1
            lost = next(a for a in responses if a.status != 200).json()["error"]
            won = next(a for a in responses if a.status == 200)
            assert lost["holder_request_id"] == won.headers["X-Request-Id"]
            assert lost["executed"] == "unknown"


def test_same_key_with_another_body_is_refused(cluster):
    booking = BookingCluster(cluster, nodes=2)
    assert code(booking.book(booking.nodes[0], "k")) == "ok"
    before = booking.runs
    assert code(booking.quote(booking.nodes[1], "k")) == "key_reused"
    assert booking.runs == before


def test_lost_append_responses_do_not_run_twice_or_lose_the_request(cluster):
    """The log stores the claim and its response is lost. The node reads the claim back
    or appends it again with the same id, and the first copy decides."""
    booking = BookingCluster(cluster)
    for number in range(3):
        cluster.log.faults(lose_answers=2)
        assert code(booking.book(booking.nodes[number], f"k{number}")) == "ok"
    assert booking.runs == 3


def test_append_that_takes_effect_late_burns_no_key(cluster):
    """The log returns 504 and stores the claim a second later. By then the node has
    appended it again, or has reported "not run" and released the claim."""
    booking = BookingCluster(cluster)
    cluster.log.faults(late_appends={"count": 1, "delay_s": 1.0})
    first = booking.book(booking.nodes[0], "k")
    assert code(first) in ("ok", "log_unavailable")
    time.sleep(1.2)
    second = booking.book(booking.nodes[1], "k")
    assert sorted([code(first), code(second)]) in (
        ["duplicate_request", "ok"],
        ["log_unavailable", "ok"],
    )
    assert booking.runs == 1


def test_log_outage_refuses_at_once_as_not_run_and_the_next_try_runs(cluster):
    """Without the log no node can know that it alone claims the key. The caller is told
    at once that the request was not run and when to retry."""
    booking = BookingCluster(cluster)
    cluster.log.faults(outage_s=3.0)
    for node in booking.nodes:
        response = booking.book(node, "k")
        error = response.json()["error"]
        assert (error["code"], error["executed"]) == ("log_unavailable", "no")
        assert int(response.headers["Retry-After"]) >= 1
    assert booking.runs == 0
    builders.wait_until(
        lambda: code(booking.book(booking.nodes[0], "k")) == "ok", "the next try"
    )
    assert booking.runs == 1


def test_paused_claimant_that_wakes_does_not_run_what_a_peer_ran(cluster):
    """A node is paused while it appends a claim, and its caller retries at other nodes.
    After the first one resumes, only one node may have run the request."""
    booking = BookingCluster(cluster)
    for number, paused in enumerate(booking.nodes):
        cluster.log.faults(delay_s=0.3)
        key, before = f"k{number}", booking.runs
        first = BackgroundCall(booking.book, paused, key)
        time.sleep(0.15)
        paused.signal(signal.SIGSTOP)
        others = [node for node in booking.nodes if node is not paused]
        time.sleep(0.5)
        seconds = run_concurrently([(booking.book, node, key) for node in others])
        paused.signal(signal.SIGCONT)
        codes = [code(first.result()), *map(code, seconds)]
        cluster.log.faults(delay_s=0.0)
        time.sleep(0.5)
        assert booking.runs - before == codes.count("ok") <= 1, codes
        assert code(booking.book(others[0], key)) in ("ok", "duplicate_request")
        assert booking.runs - before == 1


def test_paused_writer_is_passed_over(cluster):
    """All nodes but one are paused, among them the writers of most shards. Requests at
    the remaining node still get their claims."""
    booking = BookingCluster(cluster)
    for node in booking.nodes[1:]:
        node.signal(signal.SIGSTOP)
    codes = [code(booking.book(booking.nodes[0], f"k{i}")) for i in range(6)]
    for node in booking.nodes[1:]:
        node.signal(signal.SIGCONT)
    assert codes == ["ok"] * 6
    assert booking.runs == 6


def test_restarted_node_still_knows_that_the_key_was_used(cluster):
    """The node that ran a request restarts without its state; the caller sends the
    request again, to it and to another node."""
    booking = BookingCluster(cluster)
    node = booking.nodes[0]
    assert code(booking.book(node, "k")) == "ok"
    node.kill()
    cluster.restart(node)
    cluster.wait_in_force(node)
    assert code(booking.book(node, "k")) == "duplicate_request"
    assert code(booking.book(booking.nodes[1], "k")) == "duplicate_request"


def test_server_reclaimed_between_claim_and_dispatch(cluster):
    """A server is killed while the claim is being decided. Nothing was sent to it, so
    the request runs at the other server, under the same claim."""
    patient = {
        "claims": {"timeout_s": 15.0, "peer_timeout_s": 10.0},
        "platform": {"timeout_s": 10.0},
    }
    booking = BookingCluster(cluster, sections=patient)
    cluster.log.signal(signal.SIGSTOP)
    calls = [BackgroundCall(booking.book, booking.nodes[0], f"k{i}") for i in range(4)]
    time.sleep(0.2)
    booking.servers[0].kill()
    cluster.log.signal(signal.SIGCONT)
    assert [code(call.result()) for call in calls] == ["ok"] * 4
    assert sum(booking.servers[1].stats()["executions"].values()) == 4


def test_lost_answer_of_a_server_is_unknown_and_stays_so(cluster):
    """A server ran the request and its response was lost. The caller is told that the
    outcome is unknown; sending the key again doesn't run it a second time."""
    booking = BookingCluster(cluster)
    for server in booking.servers:
        server.faults(lose_answers=1)
    response = booking.book(booking.nodes[0], "k")
    error = response.json()["error"]
    assert (error["code"], error["executed"]) == ("outcome_unknown", "unknown")
    assert code(booking.book(booking.nodes[1], "k")) == "duplicate_request"
    assert booking.runs == 1


def test_key_older_than_the_window_is_refused(cluster):
    """The log may no longer keep the key's records. A caller that states that it first
    sent the key before the window is told that the key is expired."""
    booking = BookingCluster(cluster, nodes=1)
    old = str(time.time() - 3600)
    response = booking.book(booking.nodes[0], "k", Endive_Key_Time=old)
    assert code(response) == "key_expired"
    assert booking.runs == 0
    fresh = str(time.time() - 10)
    assert code(booking.book(booking.nodes[0], "k", Endive_Key_Time=fresh)) == "ok"


def test_refusal_does_not_wait_for_a_log_that_hangs(cluster):
    """The log hangs and the node gives the request up. The refusal must reach the
    caller while the log still hangs, not only once it stores the claim's release."""
    booking = BookingCluster(cluster)
    cluster.log.faults(freeze_s=20.0)
    for node in booking.nodes:
        response = booking.book(node, "k")
        error = response.json()["error"]
        assert (error["code"], error["executed"]) == ("log_unavailable", "no")
        assert int(response.headers["Retry-After"]) >= 1
    with pytest.raises(builders.urllib3.exceptions.TimeoutError):
        builders.http.request("GET", f"{cluster.log.url}/streams", timeout=0.2)
    assert booking.runs == 0


@pytest.mark.parametrize("seed_delay_s", [0.1, 0.4, 0.8])
def test_node_reclaimed_between_claim_and_dispatch(cluster, seed_delay_s):
    """A node receives its reclaim notice while its claim is being decided. The request
    moves to a peer, which claims the key itself. The caller retries with its key, and
    the request has run once."""
    cluster.with_cloud()
    builders.wait_until(cluster.cloud.is_ready, "cloud")
    booking = BookingCluster(cluster)
    node, *others = booking.nodes
    cluster.log.faults(delay_s=0.4)
    first = BackgroundCall(booking.book, node, "k")
    time.sleep(seed_delay_s)
    notice = {"zone": node.zone, "seconds": 3}
    builders.call("POST", f"{cluster.cloud.url}/notices", notice)
    codes = [code(first.result())]
    cluster.log.faults(delay_s=0.0)

    def settled():
        codes.append(code(booking.book(others[0], "k")))
        return codes[-1] in ("ok", "duplicate_request")

    builders.wait_until(settled, "a final response of another node")
    assert booking.runs == 1, codes


def test_running_quote_moves_once_its_server_confirmed_the_stop(cluster):
    """A node is reclaimed during a long non-idempotent completion. Its server confirms
    that it stopped, a peer resumes under a claim of its own, and the caller gets the
    complete response. No server computes it from the beginning."""
    cluster.with_cloud()
    builders.wait_until(cluster.cloud.is_ready, "cloud")
    booking = BookingCluster(cluster)
    node, *others = booking.nodes
    first = BackgroundCall(booking.quote, node, "k", 400)
    builders.wait_until(lambda: booking.runs == 1, "the quote runs")
    notice = {"instance": node.node_id, "seconds": 3}
    builders.call("POST", f"{cluster.cloud.url}/notices", notice)
    error = first.result().json()["error"]
    assert error["code"] == "moved"
    headers = {"Authorization": f"Bearer {builders.CALLER_KEY}"}
    url = f"{others[0].url}/v1/requests/{error['request_id']}"
    response = builders.call("GET", url, headers=headers)
    assert response.status == 200, response.data
    whole = "".join(builders.expected_tokens("quote", 400))
    assert response.json()["choices"][0]["text"] == whole
    stats = [engine.stats() for engine in booking.engines]
    runs = sum(s["executions"].get(error["request_id"], 0) for s in stats)
    assert runs == booking.runs == 2
    assert sum(s["decoded_tokens"] for s in stats) < 500
