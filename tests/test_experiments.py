from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from experiments.__main__ import POLICIES, compare
from experiments.deployment import Crash, Deployment, Speed
from experiments.engines import Engine, SpeedPhases, Stream
from experiments.play import Options, Simulation
from experiments.policies import options_of
from experiments.report import figures_of, table
from experiments.traffic import arrivals
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


def stream(parts, answer, times, name="s", priority=0):
    return Stream(
        parts,
        answer,
        lambda at: times.append((name, "first", at)),
        lambda at: times.append((name, "end", at)),
        priority=priority,
    )


def drain(engine, now=0.0):
    while not engine.idle:
        now = engine.step(now)
    return now


def test_all_deployments_can_be_read():
    for path in FOLDER.glob("*.toml"):
        assert Deployment.from_file(path).requests


def test_only_the_deployment_with_inverted_targets_changes_its_order():
    """Earlier deployments must be served as before; there is no run to compare then."""
    active = set()
    for path in FOLDER.glob("*.toml"):
        deployment = Deployment.from_file(path).model_copy(update={"nodes": 1})
        node = Simulation(deployment, Options(), 1).nodes[0]
        if node.scheduler.order.active:
            active.add(path.stem)
    assert active == {"uneven-engines"}


def test_a_missing_or_unknown_field_is_named(tmp_path):
    text = SEVEN.read_text()
    for bad, name in (
        (text.replace("chunk", "chonk"), "chonk"),
        ("nodes = 0", "zones"),
    ):
        path = tmp_path / "bad.toml"
        path.write_text(bad)
        with pytest.raises(ValidationError, match=name):
            Deployment.from_file(path)


def test_an_engine_prefills_a_prompt_at_its_rate(engine):
    times = []
    engine.submit(stream([(1, 56_600)], 1, times))
    drain(engine)
    assert times[0] == ("s", "first", pytest.approx(1.0))
    assert times[1][1] == "end"


def test_a_long_prompt_delays_later_prompts(engine):
    times = []
    engine.submit(stream([(1, 28_300)], 1, times, "long"))
    engine.submit(stream([(2, 566)], 1, times, "short"))
    drain(engine)
    firsts = {name: at for name, what, at in times if what == "first"}
    assert firsts["short"] == pytest.approx(0.51)


def test_cached_parts_are_not_prefilled_again(engine):
    times = []
    engine.submit(stream([(1, 5_000), (2, 600)], 1, times))
    drain(engine)
    before = engine.read
    engine.submit(stream([(1, 5_000), (3, 700)], 1, times))
    drain(engine, 1.0)
    assert engine.read - before == 700
    assert engine.read_again == 0


def test_an_engine_admits_by_priority_then_in_order(engine):
    """A waiting prompt must not delay a more urgent one, but one begun does."""
    times = []
    engine.submit(stream([(1, 5_660)], 1, times, "begun", priority=9))
    now = engine.step(0.0)
    for number, priority in enumerate((2, 1, 2, 0)):
        made = stream([(number + 2, 566)], 1, times, f"p{priority}-{number}", priority)
        engine.submit(made)
    drain(engine, now)
    names = [name for name, what, _ in times if what == "first"]
    assert names == ["begun", "p0-3", "p1-1", "p2-0", "p2-2"]


def test_an_engine_preempts_the_newest_of_the_least_urgent(short):
    """Running requests hold memory, so that an urgent one may find none."""
    figures = short.engines.model_copy(update={"memory_tokens": 3_000})
    engine, times = Engine("e", "z", figures, True, 0.0, {}), []
    now = 0.0
    for number, priority in enumerate((2, 2, 1)):
        engine.submit(
            stream([(number, 900)], 50, times, f"p{priority}-{number}", priority)
        )
        now = engine.step(now)
    engine.submit(stream([(9, 900)], 2, times, "urgent", 0))
    drain(engine, now)
    ends = [name for name, what, _ in times if what == "end"]
    assert engine.preemptions == 1
    assert ends == ["urgent", "p2-0", "p1-2", "p2-1"]
    assert engine.used_tokens == 0


def test_a_part_behind_one_that_is_not_cached_is_prefilled_again(engine):
    """A part counts as cached only if all parts before it are."""
    engine.store(stream([(1, 1_000), (2, 500), (3, 10)], 1, []), [(2, 500)])
    engine.submit(stream([(1, 1_000), (2, 500), (3, 10)], 1, []))
    drain(engine)
    assert engine.read == 1_510
    assert engine.used_tokens == 1_500


def test_fetched_parts_take_memory_but_preempt_no_running_request(short):
    """A fetch for a request that isn't admitted must not stop a running one."""
    figures = short.engines.model_copy(update={"memory_tokens": 3_000})
    engine, times = Engine("e", "z", figures, True, 0.0, {}), []
    engine.submit(stream([(1, 600), (2, 900)], 50, times, "running", priority=2))
    engine.store(stream([(3, 700), (4, 10)], 1, times), [(3, 700)])
    now = engine.step(0.0)
    while engine.prefilling is not None:
        now = engine.step(now)
    urgent = stream([(5, 1_000), (6, 600), (7, 10)], 1, times, "urgent")
    engine.store(urgent, urgent.parts[:-1])
    assert set(engine.cache) == {1, 5}
    assert engine.used_tokens == 2_500
    assert engine.preemptions == 0
    engine.submit(urgent)
    drain(engine, now)
    assert engine.preemptions == 1  # its admission does
    assert engine.read == 1_500 + 610 + 900


def test_a_slow_phase_lengthens_prefill_and_decoding(short):
    """Priorities and memory must not hide that an engine is slow."""
    ends = {}
    for slowdown in (1.0, 2.5):
        speed = Speed(slowdown=slowdown, slow_s=1e9, usual_s=1e-9)
        engine = Engine("e", "z", short.engines, True, 0.0, {})
        engine.phases = SpeedPhases(speed, Random(1))
        engine.submit(stream([(1, 5_660)], 20, []))
        ends[slowdown] = drain(engine)
    assert ends[2.5] == pytest.approx(2.5 * ends[1.0])


def test_the_same_seed_gives_the_same_outcomes(short):
    one, other = (Simulation(short, Options(), 3).run() for _ in range(2))
    assert one.ended == other.ended
    assert len(one.ended) > 200


def test_every_request_ends_once(short):
    """A zone is reclaimed while requests run there; each of them ends exactly once."""
    simulation = Simulation(short, Options(), 5)
    outcomes = [end.outcome for end in simulation.run().ended]
    assert not simulation.running
    assert {"ok", "lost"} <= set(outcomes)


def test_without_backlogs_more_short_prompts_wait_behind_long_ones(short):
    """The simulation must rank the policies as runs of the real system do: without the
    backlogs in state messages 16 of 1,800 short prompts were late, with them 10."""
    calm = short.model_copy(update={"seconds": 25.0})
    late = {}
    for name in ("all", "no-backlogs"):
        found = [
            figures_of(calm, Simulation(calm, POLICIES[name], s).run())
            for s in (1, 2, 3)
        ]
        late[name] = sum(f.first_p99_s["notes"] for f in found)
    assert late["all"] < late["no-backlogs"]


def test_the_table_pairs_policies_by_seed(short):
    found = [
        figures_of(short, Simulation(short, Options(), seed).run()) for seed in (1, 2)
    ]
    better = [replace(figures, served=figures.served + 0.01) for figures in found]
    made = table({"one": found, "two": better})
    assert "+0.0100 ± 0.0000" in made


def test_an_unknown_policy_is_named():
    with pytest.raises(SystemExit, match="no policy"):
        compare(str(SEVEN), policies="all,nonsense")


def test_policies_of_contention_fetching_and_speeds_combine():
    """A combination must keep every change of its parts."""
    made = options_of("before+fetch-seen+no-speeds+half-belief+no-crowding")
    assert (made.contention, made.fetching, made.speeds) == (False, "seen", False)
    assert (made.policy.affinity_belief, made.policy.crowding_s) == (0.5, 0.0)
    assert all(options_of(name) == options for name, options in POLICIES.items())
    with pytest.raises(SystemExit, match="two policies change fetching"):
        options_of("fetch+fetch-seen")


@pytest.mark.parametrize("name", ["all", "before", "fetch", "before+fetch+no-speeds"])
def test_every_request_ends_once_through_crashes_retries_and_fetches(name):
    """An attempt that ends late, after its engine or caller is gone, counts once."""
    whole = Deployment.from_file(FOLDER / "messages-8.toml")
    speed = Speed(slowdown=2.5, slow_s=0.6, usual_s=3.4)
    crashes = [Crash(at_s=(4.0, 4.5), share=0.5), Crash(at_s=(6.0, 6.5), share=0.3)]
    wave = whole.wave.model_copy(update={"at_s": [2.0, 5.0]})
    changes = {"seconds": 8.0, "speed": speed, "crashes": crashes, "wave": wave}
    harsh = whole.model_copy(update=changes)
    simulation = Simulation(harsh, options_of(name), 2)
    result = simulation.run()
    assert not simulation.running
    assert len(result.ended) == sum(1 for _ in arrivals(harsh, 2))
    assert {end.outcome for end in result.ended} == {"ok", "lost", "refused"}
    assert (result.links.fetches > 0) == ("fetch" in name)
    for engine in simulation.servers.engines.values():
        assert engine.used_tokens == sum(engine.cache.values())
        assert not engine.users
