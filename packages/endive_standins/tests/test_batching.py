from itertools import count

import pytest
from endive_standins.batching import STEP_S, Batch, KvBlob, Sequence, completion_token
from endive_standins.engine import EngineSettings
from endive_standins.prefixes import PrefixCache

PROMPT = "abcd" * 64


class ManualClock:
    at = 0.0

    def now(self):
        return self.at


class BatchHarness:
    """A batch with a manual clock."""

    def __init__(self, **settings):
        rates = {"decode_tokens_per_s": 10, "prefill_tokens_per_s": 64}
        self.settings = EngineSettings(**{**rates, **settings})
        self.clock = ManualClock()
        self.started = []
        cache = PrefixCache(100, 16, lambda kind, blocks: None)
        self.batch = Batch(self.settings, cache, self.clock, self.started.append)
        self.serials = count()

    def add(self, prompt=PROMPT, max_tokens=5, **fields):
        serial = next(self.serials)
        fields = {"attempt": 0, **fields}
        sequence = Sequence(
            serial, f"r{serial}", prompt=prompt, max_tokens=max_tokens, **fields
        )
        self.batch.add(sequence)
        return sequence

    def run_until(self, at):
        """Step whenever work is due, as the scheduler does."""
        while (due := self.batch.next_due()) is not None and due <= at:
            self.clock.at = max(self.clock.at, due)
            self.batch.step()
        self.clock.at = at
        self.batch.step()


def test_prompt_is_prefilled_before_the_first_token():
    harness = BatchHarness()
    sequence = harness.add()
    harness.run_until(0.9)
    assert sequence.tokens == []
    harness.run_until(1.0)
    assert sequence.tokens == [completion_token(PROMPT, 0)]


def test_cached_tokens_cost_no_prefill():
    harness = BatchHarness()
    harness.add(max_tokens=1)
    harness.run_until(1.0)
    second = harness.add(PROMPT + "wxyz" * 32, max_tokens=1)
    harness.run_until(1.49)
    assert second.tokens == []
    harness.run_until(1.5)
    assert second.reused_tokens == 64
    assert second.finish_reason == "length"


def test_prefill_takes_one_sequence_after_another():
    harness = BatchHarness()
    harness.add()
    second = harness.add("wxyz" * 64)
    harness.run_until(1.9)
    assert second.tokens == []
    harness.run_until(2.0)
    assert len(second.tokens) == 1


def test_cancelled_prefill_lets_the_next_one_start():
    harness = BatchHarness()
    first, second = harness.add(), harness.add("wxyz" * 64)
    harness.run_until(0.5)
    harness.batch.end(first, "cancelled")
    harness.run_until(1.5)
    assert (first.tokens, len(second.tokens)) == ([], 1)


def test_every_running_sequence_decodes_at_the_rate():
    harness = BatchHarness(prefill_tokens_per_s=1e9)
    sequences = [harness.add(f"{n}", max_tokens=50) for n in range(4)]
    harness.run_until(2.0)
    assert [len(sequence.tokens) for sequence in sequences] == [21] * 4


def test_fast_engine_generates_a_whole_completion_in_the_first_step():
    harness = BatchHarness(decode_tokens_per_s=100_000, prefill_tokens_per_s=1e9)
    assert harness.add(max_tokens=100).finish_reason == "length"


def test_sequence_over_the_batch_waits_for_a_place():
    harness = BatchHarness(max_batch=1, prefill_tokens_per_s=1e9)
    first, second = harness.add(max_tokens=2), harness.add(max_tokens=2)
    assert harness.started == [first]
    harness.run_until(0.1)
    assert harness.started == [first, second]


def test_higher_priority_starts_first_without_preemption():
    harness = BatchHarness(max_batch=1, prefill_tokens_per_s=1e9)
    running, low = harness.add(max_tokens=2), harness.add(max_tokens=2)
    high = harness.add(max_tokens=2, priority=1)
    harness.run_until(0.3)
    assert harness.started == [running, high, low]
    assert running.finish_reason == high.finish_reason == "length"


def test_full_queue_refuses_the_last_in_order():
    harness = BatchHarness(max_batch=1, max_waiting=1)
    harness.add()
    low, high, late = harness.add(), harness.add(priority=1), harness.add(priority=1)
    assert (low.finish_reason, high.finish_reason) == ("busy", None)
    assert late.finish_reason == "busy"
    assert low.started_at is late.started_at is None


def test_ended_sequence_generates_no_token_and_frees_its_place():
    harness = BatchHarness(max_batch=1, prefill_tokens_per_s=1e9)
    first, second = harness.add(max_tokens=100), harness.add()
    harness.batch.end(first, "cancelled")
    made = len(first.tokens)
    harness.run_until(1.0)
    assert len(first.tokens) == made
    assert second.finish_reason == "length"


KV = KvBlob(PROMPT, ["a ", "b "], 66)


@pytest.mark.parametrize(
    ("fields", "computed", "recomputed"),
    [
        ({}, 64 + 5, 0),
        ({"attempt": 1}, 64 + 5, 64),
        ({"tokens": ["a ", "b "]}, 66 + 3, 2),
        ({"tokens": ["a ", "b "], "attempt": 1}, 66 + 3, 66),
        ({"tokens": ["a ", "b "], "attempt": 1, "kv": KV}, 3, 0),
        ({"tokens": ["a ", "b ", "c "], "attempt": 1, "kv": KV}, 1 + 2, 1),
        ({"tokens": ["z "], "attempt": 1, "kv": KV}, 65 + 4, 65),
    ],
)
def test_tokens_are_counted_as_computed_and_recomputed(fields, computed, recomputed):
    harness = BatchHarness(prefill_tokens_per_s=1e9, decode_tokens_per_s=1e9)
    harness.add(**fields)
    counts = harness.batch.counts
    assert (counts.computed_tokens, counts.recomputed_tokens) == (computed, recomputed)


def test_resumed_tokens_in_the_prefix_cache_are_not_recomputed():
    """A sequence is resumed on the server that still caches its tokens."""
    harness = BatchHarness(prefill_tokens_per_s=1e9, decode_tokens_per_s=1e9)
    first = harness.add(max_tokens=32)
    harness.add(max_tokens=33, tokens=list(first.tokens), attempt=1)
    assert harness.batch.counts.recomputed_tokens == 0


def test_next_work_is_due_only_after_the_completed_step():
    harness = BatchHarness()
    harness.add(max_tokens=30)
    while (due := harness.batch.next_due()) is not None:
        assert due > harness.clock.at + STEP_S
        harness.clock.at = due
        harness.batch.step()
