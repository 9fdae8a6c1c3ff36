import random

import pytest
from core_builders import call, dispatch_all, scheduler
from endive_core.prefilling import MAX_FACTOR_FROM_PRIOR, PrefillRate


def first_tokens(count, token_s, *, wait_s=0.0, seed=1):
    """Yield prompt lengths with a heavy tail, and their times to first token."""
    chance = random.Random(seed)
    for _ in range(count):
        tokens = min(54_000.0, chance.lognormvariate(8.0, 1.2))
        wait = chance.expovariate(1 / wait_s) if wait_s else 0.0
        yield tokens, 0.02 + wait + tokens * token_s


def learned(rate, samples):
    for tokens, seconds in samples:
        rate.learn(tokens, seconds)
    return rate.seconds_per_token


@pytest.mark.parametrize("true_us", [5.0, 18.0, 80.0])
def test_the_rate_is_learned_within_ten_seconds_of_a_node(true_us):
    """A new kind of engine has a prefill rate three times higher, or five times lower,
    than the prior. Capacity and placement depend on the estimate."""
    estimate = learned(PrefillRate(), first_tokens(50, true_us * 1e-6))
    assert estimate == pytest.approx(true_us * 1e-6, rel=0.15)


def test_waits_do_not_look_like_slow_engines():
    """In a wave of reclaims first tokens wait half a second, whatever the prompt
    length. If this lowered the estimate, twice as many servers would be ordered, at the
    highest price."""
    rate = PrefillRate()
    learned(rate, first_tokens(100, 18e-6))
    estimate = learned(rate, first_tokens(100, 18e-6, wait_s=0.5, seed=2))
    assert estimate == pytest.approx(18e-6, rel=0.35)


def test_a_server_that_hangs_hardly_changes_the_estimate():
    rate = PrefillRate()
    learned(rate, first_tokens(100, 18e-6))
    rate.learn(50_000.0, 14.0)
    assert rate.seconds_per_token == pytest.approx(18e-6, rel=0.5)


def test_the_estimate_follows_a_change_of_the_engines():
    rate = PrefillRate()
    learned(rate, first_tokens(200, 18e-6))
    estimate = learned(rate, first_tokens(300, 9e-6, seed=3))
    assert estimate == pytest.approx(9e-6, rel=0.15)


def test_the_prior_holds_while_nothing_is_learned():
    rate = PrefillRate(50_000.0)
    assert rate.tokens_per_s == pytest.approx(50_000.0)
    for _ in range(100):  # prompts of equal length give no slope
        rate.learn(1000.0, 0.4)
    assert rate.tokens_per_s == pytest.approx(50_000.0)


def test_the_rate_stays_within_bounds():
    rate = PrefillRate(50_000.0)
    for tokens in range(0, 50_000, 50):
        rate.learn(float(tokens), 1.0 - tokens * 1e-5)
    assert rate.tokens_per_s == pytest.approx(50_000.0 * MAX_FACTOR_FROM_PRIOR)


def test_the_learned_rate_is_applied_to_the_servers():
    made = scheduler()
    made.prefill = PrefillRate(50_000.0)
    now = 0.0
    for number in range(60):
        tokens = 500 + 300 * number
        made.offer(call(number, prompt_tokens=tokens), now)
        for dispatch in dispatch_all(made, now):
            seconds = 0.01 + dispatch.ticket.uncached_tokens * 50e-6
            made.started(dispatch.ticket, now + seconds)
            made.finished(dispatch.ticket, now + seconds + 0.1)
        now += 5.0
    made.next_dispatch(now)
    for server in made.servers.servers.values():
        assert server.view.prefill_tokens_per_s == pytest.approx(20_000.0, rel=0.1)
