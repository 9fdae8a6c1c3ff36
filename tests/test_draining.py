"""A planned stop: SIGTERM cuts off no request."""

import itertools
import signal
import threading
import time

import builders
import pytest
import urllib3
from reclaims import started, text_of

HEALTH_S = 0.1
SETTLE_S = 0.5


class Balancer:
    """Sends calls as the platform's balancer does.

    It looks at /healthz now and then, uses the nodes that said 200 when it last
    looked, keeps connections, and sends a call elsewhere only if no connection was
    made or the answer says that it was not executed.
    """

    def __init__(self, nodes):
        self.nodes = nodes
        self.healthy = list(nodes)
        self.turns = itertools.count()
        self.running = True
        self.pool = urllib3.PoolManager(maxsize=64, retries=False)

    def look(self):
        """Ask all nodes for ever."""
        while self.running:
            self.healthy = [
                n for n in self.nodes if builders.answers_ok(n.url + "/healthz")
            ]
            time.sleep(HEALTH_S)

    def call(self, body):
        """Return the answer to one call, or the error that its caller sees."""
        for _ in range(10):
            healthy = self.healthy or self.nodes
            node = healthy[next(self.turns) % len(healthy)]
            try:
                answer = self.send(node, body)
            except urllib3.exceptions.NewConnectionError:
                continue
            except (urllib3.exceptions.HTTPError, OSError) as error:
                return error
            if answer.status == 503 and answer.json()["error"]["executed"] == "no":
                continue
            return answer
        return "no node took the call"

    def send(self, node, body):
        return self.pool.request(
            "POST",
            node.url + "/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {builders.CALLER_KEY}"},
            timeout=20.0,
        )


def call_steadily(balancer, name, outcomes):
    """Send one call after the other, streamed and whole by turns."""
    for number in itertools.count():
        if not balancer.running:
            return
        prompt = f"{name} {number}"
        body = {"model": "chat", "prompt": prompt, "max_tokens": 20}
        answer = balancer.call(body | {"stream": number % 2 == 0})
        expected = "".join(builders.expected_tokens(prompt, 20))
        ok = getattr(answer, "status", 0) == 200 and text_of(answer) == expected
        outcomes.append("ok" if ok else answer)


@pytest.mark.processes
def test_a_rolling_restart_of_all_nodes_fails_no_call(tmp_path):
    """Every node is stopped and started again in turn, under steady load.

    A node that refused calls as soon as it is told to stop, or closed connections
    with answers under way, would show callers errors until the balancer had looked
    and for each answer it cut off.
    """
    with started(tmp_path, max_batch=128) as (cluster, _):
        balancer = Balancer(cluster.nodes)
        outcomes = []
        threads = [threading.Thread(target=balancer.look)]
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
    """A node is told to stop while it streams an answer that takes seconds more.

    The caller would lose the rest. It gets the whole answer, new calls are refused as
    not run, and the process ends by itself with code 0.
    """
    with started(tmp_path, nodes=1, engines=1) as (cluster, _):
        (node,) = cluster.nodes
        body = {"model": "chat", "prompt": "summary", "max_tokens": 80, "stream": True}
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(node.post("/v1/completions", body))
        )
        caller.start()
        time.sleep(0.3)
        node.signal(signal.SIGTERM)
        time.sleep(0.1)
        assert builders.call("GET", node.url + "/healthz").status == 503
        assert node.post("/v1/completions", body | {"max_tokens": 1}).status == 200
        time.sleep(SETTLE_S + 0.2)
        refused = node.post("/v1/completions", body).json()["error"]
        assert (refused["code"], refused["executed"]) == ("stopping", "no")
        caller.join()
        expected = "".join(builders.expected_tokens("summary", 80))
        assert text_of(answers[0]) == expected
        assert node.process.wait(timeout=10) == 0
