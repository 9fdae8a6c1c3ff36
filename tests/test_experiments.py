from dataclasses import replace
from pathlib import Path

import pytest
from experiments.__main__ import POLICIES, compare
from experiments.deployment import Deployment
from experiments.engines import Engine, Stream
from experiments.play import Options, Play
from experiments.report import figures_of, table
from pydantic import ValidationError

FOLDER = Path(__file__).parents[1] / "benchmarks" / "experiments" / "deployments"
SEVEN = FOLDER / "seven-nodes.toml"


@pytest.fixture
def short():
    """A deployment's first ten seconds, with a reclaim after seven."""
    whole = Deployment.from_file(SEVEN)
    wave = whole.wave.model_copy(update={"at_s": [7.0]})
    return whole.model_copy(update={"seconds": 10.0, "wave": wave})


@pytest.fixture
def engine(short):
    return Engine("e", "z", short.engines, True, 0.0, {})


def stream(parts, answer, times, name="s"):
    tokens = sum(tokens for _, tokens in parts)
    return Stream(
        parts,
        tokens,
        answer,
        lambda at: times.append((name, "first", at)),
        lambda at: times.append((name, "end", at)),
    )


def drain(engine, now=0.0):
    while not engine.idle:
        now = engine.step(now)
    return now


def test_all_deployments_can_be_read():
    for path in FOLDER.glob("*.toml"):
        assert Deployment.from_file(path).requests


def test_a_figure_that_is_missing_or_unknown_is_named(tmp_path):
    text = SEVEN.read_text()
    for bad, name in (
        (text.replace("chunk", "chonk"), "chonk"),
        ("nodes = 0", "zones"),
    ):
        path = tmp_path / "bad.toml"
        path.write_text(bad)
        with pytest.raises(ValidationError, match=name):
            Deployment.from_file(path)


def test_an_engine_reads_a_prompt_at_its_rate_and_makes_tokens_for_all(engine):
    times = []
    engine.submit(stream([(1, 56_600)], 1, times), 0.0)
    drain(engine)
    assert times[0] == ("s", "first", pytest.approx(1.0))
    assert times[1][1] == "end"


def test_a_long_prompt_delays_who_comes_after_it(engine):
    times = []
    engine.submit(stream([(1, 28_300)], 1, times, "long"), 0.0)
    engine.submit(stream([(2, 566)], 1, times, "short"), 0.0)
    drain(engine)
    firsts = {name: at for name, what, at in times if what == "first"}
    assert firsts["short"] == pytest.approx(0.51)


def test_kept_parts_are_not_read_again(engine):
    times = []
    engine.submit(stream([(1, 5_000), (2, 600)], 1, times), 0.0)
    drain(engine)
    before = engine.read
    engine.submit(stream([(1, 5_000), (3, 700)], 1, times), 1.0)
    drain(engine, 1.0)
    assert engine.read - before == 700
    assert engine.read_again == 0


def test_the_same_seed_plays_the_same(short):
    one, other = (Play(short, Options(), 3).run() for _ in range(2))
    assert one.ended == other.ended
    assert len(one.ended) > 200


def test_every_request_ends_once(short):
    """A zone is reclaimed with requests under way; each of them ends all the same."""
    play = Play(short, Options(), 5)
    outcomes = [end.outcome for end in play.run().ended]
    assert not play.running
    assert {"ok", "lost"} <= set(outcomes)


def test_without_tellings_more_short_prompts_wait_behind_long_ones(short):
    """The tool must rank a policy as played days did: of 1,800 short prompts 16 came
    late without tellings, 10 with them."""
    calm = short.model_copy(update={"seconds": 25.0})
    late = {}
    for name in ("all", "no-backlogs"):
        found = [
            figures_of(calm, Play(calm, POLICIES[name], s).run()) for s in (1, 2, 3)
        ]
        late[name] = sum(f.first_p99_s["notes"] for f in found)
    assert late["all"] < late["no-backlogs"]


def test_the_table_pairs_policies_by_seed(short):
    found = [figures_of(short, Play(short, Options(), seed).run()) for seed in (1, 2)]
    better = [replace(figures, served=figures.served + 0.01) for figures in found]
    made = table({"one": found, "two": better})
    assert "+0.0100 ± 0.0000" in made


def test_an_unknown_policy_is_named():
    with pytest.raises(SystemExit, match="no policy"):
        compare(str(SEVEN), policies="all,nonsense")
