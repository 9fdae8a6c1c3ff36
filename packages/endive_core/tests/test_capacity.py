from endive_core.capacity import (
    WAVE_S,
    CapacityView,
    Pool,
    PoolState,
    desired_servers,
)
from endive_core.routing import Scaling

ZONES = ("a", "b", "c")
PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}


def scaling(**options):
    values = {
        "min_servers": 1,
        "max_servers": 6,
        "boot_s": 4.0,
        "reclaimable_price": 0.22,
        "zone_prices": PRICES,
    }
    return Scaling(**(values | options))


def decide(needed, ready, *, now=100.0, on_demand=None, **options):
    """Decide with `ready` reclaimable servers by zone."""
    pools = {Pool(zone, True): PoolState(ready=n) for zone, n in ready.items()}
    for zone, n in (on_demand or {}).items():
        pools[Pool(zone, False)] = PoolState(ready=n)
    view = CapacityView(
        options.pop("scaling", scaling()), pools, needed, now, **options
    )
    return desired_servers(view)


def by_kind(wanted, reclaimable):
    return {p.zone: n for p, n in wanted.items() if p.reclaimable is reclaimable}


def test_the_load_is_carried_without_any_one_zone():
    """A zone's reclaimable servers go together. What is left must carry the load until
    others have started, or first tokens come late for seconds."""
    for needed in (0.5, 1.7, 2.4, 3.0, 4.2, 7.9):
        spread = by_kind(decide(needed, {"a": 9, "b": 9, "c": 9}), True)
        assert sum(spread.values()) - max(spread.values()) >= needed - 0.1


def test_the_cheapest_zones_get_one_more():
    assert by_kind(decide(3.0, {}), True) == {"a": 2, "b": 1, "c": 2}


def test_nothing_is_on_demand_while_the_reclaimable_ones_are_enough():
    wanted = decide(3.0, {"a": 2, "b": 2, "c": 2})
    assert sum(by_kind(wanted, False).values()) == 0


def test_a_reclaimed_zone_brings_on_demand_servers_for_the_whole_load():
    """Zones are reclaimed a few seconds after one another, and new servers take longer
    than that to start. Ordered zone by zone, they come in the middle of a hole."""
    wanted = decide(3.0, {"a": 2, "b": 0, "c": 2}, reclaimed_at=99.0)
    assert sum(by_kind(wanted, False).values()) == 3


def test_in_a_wave_all_but_two_zones_count():
    """One of four zones is reclaimed. Two more may go before servers ordered then have
    started; without on-demand ones for their load callers would wait, and with more
    the fleet pays for servers that nobody needs."""
    prices = dict.fromkeys("abcd", 1.0)
    ready = {"a": 0, "b": 10, "c": 10, "d": 10}
    options = {"scaling": scaling(zone_prices=prices, max_servers=23)}
    wanted = decide(26.0, ready, reclaimed_at=99.0, **options)
    assert sum(by_kind(wanted, False).values()) == 16
    ready["b"] = 0
    wanted = decide(26.0, ready, reclaimed_at=99.0, **options)
    assert sum(by_kind(wanted, False).values()) == 26


def test_after_the_wave_only_what_is_missing_stays():
    ready = {"a": 2, "b": 2, "c": 2}
    wanted = decide(3.0, ready, reclaimed_at=100.0 - WAVE_S - 1)
    assert sum(by_kind(wanted, False).values()) == 0


def test_on_demand_servers_stay_in_the_zones_where_they_run():
    """Prices or room change while on-demand servers run. Moved to another zone, each
    would have to start again, and the load would be without it meanwhile."""
    wanted = decide(
        3.0,
        {},
        ordered={Pool("b", False): 2, Pool("c", False): 1},
        reclaimed_at=99.0,
    )
    assert by_kind(wanted, False) == {"a": 0, "b": 2, "c": 1}


def test_a_zone_that_refused_is_not_asked_for_more_than_it_has():
    refused = {Pool("a", True): 101.0}
    wanted = decide(3.0, {"a": 0, "b": 2, "c": 2}, refused=refused)
    assert by_kind(wanted, True)["a"] == 0
    assert by_kind(decide(3.0, {"a": 0}, refused=refused, now=102.0), True)["a"] == 2


def test_no_zone_gets_more_than_the_most_of_both_kinds():
    few = scaling(max_servers=3)
    wanted = decide(20.0, {"a": 3, "b": 3, "c": 3}, scaling=few, reclaimed_at=99.0)
    for zone in ZONES:
        both = wanted[Pool(zone, True)] + wanted[Pool(zone, False)]
        assert both <= 3


def test_no_zone_gets_fewer_than_the_least():
    wanted = decide(0.1, {"a": 5, "b": 5, "c": 5}, scaling=scaling(min_servers=2))
    for zone in ZONES:
        assert wanted[Pool(zone, True)] + wanted[Pool(zone, False)] >= 2


def test_one_zone_alone_is_served():
    only = scaling(zone_prices={"a": 1.0})
    assert by_kind(decide(2.5, {"a": 3}, scaling=only), True) == {"a": 3}
