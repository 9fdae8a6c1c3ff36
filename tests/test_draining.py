"""Graceful shutdown: SIGTERM interrupts no request."""

import itertools
import signal
import threading
import time

import builders
import pytest
import urllib3
from reclaims import running_installation, text_of

HEALTH_POLL_S = 0.1
DRAIN_SETTLE_S = 0.5


class Balancer:
    """A load balancer as a platform has in front of the nodes.

    It polls /healthz, uses the nodes that returned 200 to the last poll, reuses
    connections, and retries at another node only if no connection was made or the
    response says that the request was not executed.
    """

    def __init__(self, nodes):
        self.nodes = nodes
        self.healthy = list(nodes)
        self.next_index = itertools.count()
        self.running = True
        self.pool = urllib3.PoolManager(maxsize=64, retries=False)

    def poll_health(self):
        """Poll the health of all nodes until stopped."""
        while self.running:
            self.healthy = [
                n for n in self.nodes if builders.responds_ok(n.url + "/healthz")
            ]
            time.sleep(HEALTH_POLL_S)

    def call(self, body):
        """Return the response to one call, or the error that its caller gets."""
        for _ in range(10):
            healthy = self.healthy or self.nodes
            node = healthy[next(self.next_index) % len(healthy)]
            try:
                response = self.send(node, body)
            except urllib3.exceptions.NewConnectionError:
                continue
            except (urllib3.exceptions.HTTPError, OSError) as error:
                return error
            if response.status == 503 and response.json()["error"]["executed"] == "no":
                continue
            return response
        return "no node accepted the request in 10 attempts"

    def send(self, node, body):
        return self.pool.request(
            "POST",
            node.url + "/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {builders.CALLER_KEY}"},
            timeout=20.0,
        )


def call_steadily(balancer, name, outcomes):
    """Send requests one after the other, alternately streamed and not."""
    for number in itertools.count():
        if not balancer.running:
            return
        prompt = f"{name} {number}"
        body = {"model": "chat", "prompt": prompt, "max_tokens": 20}
        response = balancer.call(body | {"stream": number % 2 == 0})
        expected = "".join(builders.expected_tokens(prompt, 20))
        ok = getattr(response, "status", 0) == 200 and text_of(response) == expected
        outcomes.append("ok" if ok else response)


@pytest.mark.processes
def test_a_rolling_restart_of_all_nodes_fails_no_call(tmp_path):
    """Every node is restarted in turn under steady load.

    A node that refused requests as soon as it receives SIGTERM would cause errors until
    the balancer's next poll, and one that closed connections with unfinished responses
    would cause an error for each of them.
    """
    with running_installation(tmp_path, max_batch=128) as (cluster, _):
        balancer = Balancer(cluster.nodes)
        outcomes = []
        threads = [threading.Thread(target=balancer.poll_health)]
        threads += [
            threading.Thread(target=call_steadily, args=(balancer, f"c{i}", outcomes))
            for i in range(12)
        ]
        for thread in threads:
            thread.start()
        for node in cluster.nodes:
            time.sleep(0.5)
            node.signal(signal.SIGTERM)
            assert node.process.wait(timeout=20) == 0
            cluster.restart(node)
        balancer.running = False
        for thread in threads:
            thread.join()
        failed = [outcome for outcome in outcomes if outcome != "ok"]
        assert not failed, failed[:5]
        assert len(outcomes) >= 100


@pytest.mark.processes
def test_a_long_answer_is_finished_before_the_process_ends(tmp_path):
    """A node receives SIGTERM while it streams a response that takes seconds more.

    If it ended at once, the caller would lose the rest. The caller gets the complete
    response, new requests are refused as not run, and the process exits with code 0.
    """
    with running_installation(tmp_path, nodes=1, engines=1) as (cluster, _):
        (node,) = cluster.nodes
        body = {"model": "chat", "prompt": "summary", "max_tokens": 80, "stream": True}
        responses = []
        caller = threading.Thread(
            target=lambda: responses.append(node.post("/v1/completions", body))
        )
        caller.start()
        time.sleep(0.3)
        node.signal(signal.SIGTERM)
        time.sleep(0.1)
        assert builders.call("GET", node.url + "/healthz").status == 503
        assert node.post("/v1/completions", body | {"max_tokens": 1}).status == 200
        time.sleep(DRAIN_SETTLE_S + 0.2)
        refused = node.post("/v1/completions", body).json()["error"]
        assert (refused["code"], refused["executed"]) == ("stopping", "no")
        caller.join()
        expected = "".join(builders.expected_tokens("summary", 80))
        assert text_of(responses[0]) == expected
        assert node.process.wait(timeout=10) == 0
