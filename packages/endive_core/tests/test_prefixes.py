from endive_core.prefixes import (
    SAMPLING_INTERVAL,
    PrefixIndex,
    part_blocks,
    prefix_blocks,
)

BLOCKS = tuple(range(0, 40 * SAMPLING_INTERVAL, SAMPLING_INTERVAL))


def test_equal_prefixes_have_equal_blocks_and_others_none_in_common():
    text = "Rate sheet of all operators. " * 40
    first, second = prefix_blocks(text + "Naha?"), prefix_blocks(text + "Osaka?")
    shared = len(text) // 64
    assert first[:shared] == second[:shared]
    assert not set(first) & set(prefix_blocks("x" + text))


def test_gap_in_the_events_does_not_hide_a_prefix():
    """The cache event for the middle of a prompt is lost. The end is known to be
    cached, and blocks are chained, so the middle must be cached too."""
    index = PrefixIndex(max_blocks=1000)
    index.apply_event("s0", 0, stored=True, blocks=list(BLOCKS[:10]))
    index.apply_event("s0", 2, stored=True, blocks=list(BLOCKS[20:30]))
    assert index.prefix_holders(BLOCKS) == {"s0": 30}
    assert index.gaps == 1


def test_event_that_arrives_twice_does_nothing():
    index = PrefixIndex(max_blocks=1000)
    index.apply_event("s0", 5, stored=True, blocks=list(BLOCKS[:4]))
    index.apply_event("s0", 6, stored=False, blocks=list(BLOCKS[:4]))
    index.apply_event("s0", 5, stored=True, blocks=list(BLOCKS[:4]))
    assert index.prefix_holders(BLOCKS) == {}


def test_index_is_bounded_and_keeps_the_newest():
    index = PrefixIndex(max_blocks=20)
    index.add("s0", range(0, 4000, SAMPLING_INTERVAL))
    assert len(index) <= 1000
    index.add("s1", BLOCKS[:5])
    assert index.prefix_holders(BLOCKS[:5])["s1"] == 5


def test_parts_are_chained_and_end_at_their_token_counts():
    blocks, ends = part_blocks("m", [(1, 100), (2, 50)])
    assert ends == (100, 150)
    assert part_blocks("m", [(1, 100), (3, 10)])[0][0] == blocks[0]
    assert part_blocks("m", [(9, 100), (2, 50)])[0][1] != blocks[1]
    assert part_blocks("n", [(1, 100)])[0][0] != blocks[0]


def test_every_part_is_indexed():
    index = PrefixIndex(max_blocks=100)
    blocks, _ = part_blocks("m", [(part, 10) for part in range(8)])
    index.add("s", blocks)
    assert index.prefix_holders(blocks[:3]) == {"s": 3}
