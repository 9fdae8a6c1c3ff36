from endive_core.retrying import FLEET_BUDGET_SHARE, FleetRetryBudget


def test_an_outage_does_not_multiply_the_load():
    """All servers of a service fail for seconds. Each node retries up to its budget,
    and together they must stay within a fifth of the requests plus the slack."""
    nodes, requests = 8, 100
    budgets = [
        FleetRetryBudget(ratio=0.2, slack=56, window_s=10.0) for _ in range(nodes)
    ]
    retries = 0
    for index in range(nodes * requests):
        now = index * 9.0 / (nodes * requests)
        budget = budgets[index % nodes]
        budget.request(now)
        retries += budget.spend(now, nodes=nodes)
    assert retries <= 0.2 * nodes * requests + 56
    assert retries >= FLEET_BUDGET_SHARE * 0.2 * nodes * requests


def test_requests_older_than_the_window_do_not_count():
    budget = FleetRetryBudget(ratio=0.5, slack=0, window_s=10.0)
    for _ in range(10):
        budget.request(0.0)
    assert budget.spend(9.0, nodes=1)
    assert not budget.spend(11.0, nodes=1)
