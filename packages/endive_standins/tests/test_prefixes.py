import time

from endive_standins.prefixes import CacheEvents, PrefixCache, block_hashes


def cache_of(capacity):
    events = []
    cache = PrefixCache(capacity, 2, lambda kind, blocks: events.append((kind, blocks)))
    return cache, events


def test_block_hash_depends_on_all_blocks_before_it():
    ours, theirs = block_hashes(list("abcd"), 2), block_hashes(list("xbcd"), 2)
    assert len(ours) == 2
    assert not set(ours) & set(theirs)


def test_only_full_leading_blocks_are_covered():
    cache, _ = cache_of(8)
    cache.store(list("abcde"))
    assert cache.cached_prefix_length(list("abcdef")) == 4
    assert cache.cached_prefix_length(list("abxd")) == 2
    assert cache.cached_prefix_length(list("xbcd")) == 0


def test_least_recently_used_prefix_is_evicted_from_its_end():
    cache, events = cache_of(3)
    cache.store(list("abcd"))
    cache.store(list("wxyz"))
    assert cache.cached_prefix_length(list("wxyz")) == 4
    assert cache.cached_prefix_length(list("abcd")) == 2
    assert events[-1] == ("evicted", block_hashes(list("abcd"), 2)[1:])


def test_events_become_visible_after_the_delay():
    events = CacheEvents(lag_s=0.05, loss_probability=0.0, seed=0)
    events.add("stored", ["h"])
    assert events.read(0) == {"events": [], "next": 0}
    time.sleep(0.06)
    event = {"seq": 0, "kind": "stored", "blocks": ["h"]}
    assert events.read(0) == {"events": [event], "next": 1}
    assert events.read(1) == {"events": [], "next": 1}


def test_lost_events_leave_gaps_in_the_numbers():
    events = CacheEvents(lag_s=0.0, loss_probability=0.5, seed=1)
    for _ in range(100):
        events.add("stored", ["h"])
    view = events.read(0)
    assert view["next"] == 100
    assert 30 < len(view["events"]) < 70
