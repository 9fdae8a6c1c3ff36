import time

from endive_standins.weights import Weights


def test_loads_over_the_rate_are_refused(call):
    weights = Weights.from_config(loads_per_s=10)
    statuses = [call(weights, "GET", "/weights/quotes-7")[0] for _ in range(11)]
    assert statuses == [200] * 10 + [429]
    time.sleep(0.11)
    _, body = call(weights, "GET", "/weights/quotes-7")
    assert body == {"name": "quotes-7", "size_bytes": 14_000_000_000}
