"""Every check of the harness counts what it judged, and a run that judged nothing fails."""

import sys
from collections import Counter
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace

import pytest

import harness
import harness.model_checking.__main__ as model
from harness.experiments import (
    allowances,
    chaos,
    days,
    digest,
    orders,
    replacements,
    scenarios,
    size,
    soak,
    storms,
    twins,
)
from harness.fuzzing.run import FuzzReport
from harness.local_cluster import platform_city
from harness.model_checking.explore import Report
from harness.model_checking.story import Outcome, Story
from harness.run_checks import find_unchecked
from sumachook.simulation.fault_injection import FaultInjection

SEEDED = [storms, twins, chaos, orders, allowances]


class _Pool:
    """Runs in this process what others would run."""

    def __init__(self, *_):
        pass

    def __enter__(self):
        return self

    def __exit__(self, *_):
        return None

    def map(self, work, *items):
        return map(work, *items)

    def submit(self, work, *words):
        return SimpleNamespace(result=lambda: work(*words))


def _exit_code(monkeypatch, module, *words) -> int:
    """What the command ends with."""
    monkeypatch.setattr(module, "ProcessPoolExecutor", _Pool)
    monkeypatch.setattr(sys, "argv", ["command", *words])
    with pytest.raises(SystemExit) as ended:
        module.main()
    return ended.value.code


def test_each_kind_of_which_nothing_was_judged_is_a_fault():
    """Given counts, those of none are named."""
    assert find_unchecked({"calls": 0, "runs": 2, "orders": 0}) == [
        "nothing was judged: 0 calls",
        "nothing was judged: 0 orders",
    ]


@pytest.mark.parametrize("module", SEEDED, ids=lambda module: module.__name__)
def test_command_without_a_seed_is_refused(module, monkeypatch):
    """Given a last seed before the first, there is nothing to run, which is no success."""
    assert _exit_code(monkeypatch, module, "9", "3") not in (0, None)


def test_storm_in_which_no_call_is_made_fails(monkeypatch):
    """Given a storm whose callers ask for nothing, no rule is broken, and the storm is faulty all the same."""
    monkeypatch.setattr(FaultInjection, "run", lambda *_, **__: [])
    found = storms.play(2)[4]
    assert "nothing was judged: 0 calls answered" in found and "nothing was judged: 0 faults played" in found


def test_storms_with_faults_fail(monkeypatch):
    """Given what a storm found, the command fails on it, and on nothing else."""
    for found, code in (([], 0), (["nothing was judged: 0 prompts run"], 1)):
        monkeypatch.setattr(storms, "play", lambda seed, found=found: (seed, "kosice", {}, (1, 0), found, []))
        assert _exit_code(monkeypatch, storms, "1", "1") == code


@pytest.mark.parametrize(
    ("found", "code"),
    [({}, 1), ({"stamps": ([], 0)}, 1), ({"stamps": ([timedelta(seconds=1)], 0)}, 0)],
)
def test_twins_without_answers_fail(monkeypatch, found, code):
    """Given pairs of storms without groups or answers, nobody was compared with anybody."""
    monkeypatch.setattr(twins, "play", lambda seed, is_heavy: found)
    assert _exit_code(monkeypatch, twins, "1", "1") == code


def test_chaos_without_a_change_fails(monkeypatch):
    """Given a run in which nobody orders anything, there is nothing to lose, and the run is faulty."""
    monkeypatch.setattr(chaos.Chaos, "__init__", lambda self, *_: setattr(self, "history", chaos.ChangeHistory()))
    monkeypatch.setattr(chaos.Chaos, "play", lambda *_: None)
    assert chaos.play(1)[3] == ["nothing was judged: 0 changes acknowledged", "nothing was judged: 0 changes delivered"]


def test_orders_without_an_order_fail(monkeypatch):
    """Given a storm in which operators order nothing, it is faulty."""

    class Quiet:
        """A storm without orders."""

        history, kills = SimpleNamespace(orders=[]), 0

        def __init__(self, *_):
            pass

        def run(self, *_):
            return []

    monkeypatch.setattr(orders, "OrderStorm", Quiet)
    assert orders.play(1)[4] == ["nothing was judged: 0 orders", "nothing was judged: 0 orders acknowledged"]


def test_digest_of_no_effect_is_an_error(monkeypatch):
    """Given a storm of which no effect is seen, there is no digest: it would never differ."""
    monkeypatch.setattr(digest, "play", lambda *_: None)
    with pytest.raises(digest.EmptyDigestError):
        digest.take(41)


def test_storm_of_allowances_that_judges_nobody_fails(monkeypatch):
    """Given a storm in which no call is made, it is faulty, though no bound is broken."""

    class Quiet:
        """A storm without calls."""

        spec, judged, wait, told = "kosice", 0, 0.0, ()
        offices = SimpleNamespace(calls=[])

        def __init__(self, *_):
            pass

        def run(self, *_):
            return []

    monkeypatch.setattr(allowances, "ShareStorm", Quiet)
    assert allowances.play(1)[5] == [
        "nothing was judged: 0 calls inside a floor",
        "nothing was judged: 0 calls let in",
    ]


def test_twins_and_turns_of_allowances_without_a_run_are_not_good():
    """Given no seeds, or runs in which nobody was answered, nobody can be said not to be later."""
    assert not allowances.twins([], _Pool()) and not allowances.turns([], _Pool())


@pytest.mark.parametrize("times", [[], [0.1]])
def test_twins_of_allowances_need_answers_and_a_flood(monkeypatch, times):
    """Given runs with a flood that is let in and refused, they are good if the others were answered."""
    monkeypatch.setattr(
        allowances, "play_twin", lambda seed, place, is_flooded: ("kosice", "audits", {"stamps": (times, 0)}, (1, 1))
    )
    assert allowances.twins([1], _Pool()) == bool(times)
    monkeypatch.setattr(
        allowances, "play_twin", lambda seed, place, is_flooded: ("kosice", "audits", {"stamps": (times, 0)}, (0, 0))
    )
    assert not allowances.twins([1], _Pool())


def test_unknown_scenario_is_refused(monkeypatch):
    """Given a name that no scenario has, the command says so instead of running none."""
    assert _exit_code(monkeypatch, scenarios, "--only", "no_such_scenario") not in (0, None)


def test_scenario_in_which_nobody_is_answered_is_broken(monkeypatch):
    """Given a scenario whose witness finds nothing since nobody called, its row says that nothing was judged."""
    scene = SimpleNamespace(
        callers=SimpleNamespace(calls=[]),
        invariant_checker=SimpleNamespace(resends=lambda: (1, 0), unaccounted=list, faults=list),
        fault_at=None,
        figures={},
    )
    monkeypatch.setattr(scenarios, "Scene", lambda *_: scene)
    assert scenarios.play(lambda _: None, "kosice", 7)["broken"] == ["nothing was judged: 0 calls answered"]


def test_kind_of_request_that_never_came_in_time_fails_the_platform_city():
    """Given a day whose call history breaks no rule, each kind of which no request came in time is a fault, and so is no run at all."""
    kinds = [*platform_city.KINDS, platform_city.ADDED_KIND]
    call_history = SimpleNamespace(violations=list, runs={"r": []})
    deployment = SimpleNamespace(
        call_history=call_history, outcomes={kind.name: [("in time", 0.1, 200)] for kind in kinds}
    )
    assert platform_city.faults_of(deployment) == []
    deployment.outcomes[kinds[0].name] = [("late", 0.1, 200)]
    assert platform_city.faults_of(deployment) == [f"nothing was judged: 0 requests of {kinds[0].name} in time"]
    call_history.runs.clear()
    assert "nothing was judged: 0 requests run" in platform_city.faults_of(deployment)


def test_fuzz_report_without_a_case_is_faulty():
    """Given a report of no case, nothing is broken and nothing was judged."""
    assert len(FuzzReport().faults()) == 3 and FuzzReport(cases=1, requests=1, runs=1).faults() == []


def test_days_of_which_none_was_played_fail(monkeypatch, tmp_path):
    """Given days that are all for another site, none was played, and that is no success."""
    (tmp_path / "a.toml").touch()
    skipped = lambda self, run: days.Outcome(run, None, f"{days.UNPLAYED}: contract pool {days.NOT_IN_FORCE}")  # noqa: E731
    monkeypatch.setattr(days.Player, "play", skipped)
    given = ["--bench", "none", "--site", "x.toml", "--days", str(tmp_path), "--out", str(tmp_path)]
    assert days.main(given) == 1


@pytest.mark.parametrize(("counts", "code"), [((0, 0), 1), ((3, 0), 1), ((3, 1), 0)])
def test_walk_in_which_nothing_happens_fails(monkeypatch, counts, code):
    """Given walks that delivered or acknowledged nothing, they judged nothing."""
    story = Story(seed=1, seconds=1.0, choices=())
    outcome = Outcome((), Counter(delivered=counts[0], acknowledged=counts[1]), 1.0)
    monkeypatch.setattr(model, "_walk", lambda seed, **_: (story, outcome, story))
    assert _exit_code(monkeypatch, model, "walk", "--seeds", "1", "1") == code


def test_walks_without_a_seed_fail(monkeypatch):
    """Given a last seed before the first, no walk is a success."""
    assert _exit_code(monkeypatch, model, "walk", "--seeds", "9", "3") == 1


@pytest.mark.parametrize(("states", "recoveries", "code"), [(0, 0, 1), (5, 0, 1), (5, 1, 0)])
def test_search_that_tries_nothing_fails(monkeypatch, states, recoveries, code):
    """Given a search that came to no state, or to no end at which a recovery is judged, it judged nothing."""
    report = Report("calm_view", states=states, recoveries=recoveries)
    monkeypatch.setattr(model, "_search", lambda *_, **__: report)
    assert _exit_code(monkeypatch, model, "explore", "--beginnings", "calm_view") == code


def test_search_from_no_beginning_fails(monkeypatch):
    """Given no beginning at all, nothing is searched."""
    assert _exit_code(monkeypatch, model, "explore", "--beginnings") == 1


@pytest.mark.parametrize(("took", "code"), [(0.5, 0), (None, 1)])
def test_replacement_that_does_not_come_in_time_fails(monkeypatch, took, code):
    """Given a replacement that was not whole within the limit, the table is no success."""
    monkeypatch.setattr(replacements, "measure", lambda *_: [took])
    monkeypatch.setattr(sys, "argv", ["command"])
    with pytest.raises(SystemExit) as ended:
        replacements.main()
    assert ended.value.code == code


def test_fleet_of_size_without_a_seed_is_refused(monkeypatch):
    """Given a last seed before the first, there is nothing to run, which is no success."""
    assert _exit_code(monkeypatch, size, "--seeds", "9", "3") not in (0, None)


@pytest.mark.parametrize(
    ("fresh_after_s", "between_zones", "code"), [(0.5, {"feed": 10}, 0), (None, {"feed": 10}, 1), (0.5, {}, 1)]
)
def test_fleet_of_size_that_does_not_come_back_or_says_nothing_fails(monkeypatch, fresh_after_s, between_zones, code):
    """Given a story whose edges stay without a fresh state, or whose nodes sent nothing, the command fails."""
    result = size.StoryResult("rest", 20, 1, fresh_after_s, 1.0, between_zones)
    monkeypatch.setattr(size, "play", lambda *_: result)
    assert _exit_code(monkeypatch, size, "--stories", "rest", "--nodes", "20") == code


def test_soak_without_a_seed_is_refused(monkeypatch):
    """Given a last seed before the first, there is nothing to run, which is no success."""
    monkeypatch.setattr(sys, "argv", ["command", "9", "3"])
    with pytest.raises(SystemExit) as ended:
        soak.main()
    assert ended.value.code not in (0, None)


@pytest.mark.parametrize(("faults", "code"), [([], 0), (["a fault"], 1)])
def test_soak_with_a_fault_fails(monkeypatch, faults, code):
    """Given a run with a fault, the command fails; given none, it does not."""

    async def play_soak(spec, work):
        return soak.SoakResult(spec, faults=faults)

    monkeypatch.setattr(soak, "play_soak", play_soak)
    monkeypatch.setattr(sys, "argv", ["command", "1", "1"])
    with pytest.raises(SystemExit) as ended:
        soak.main()
    assert ended.value.code == code


def test_soak_in_which_nothing_was_done_counts_nothing():
    """Given a run without a request or a restart, each kind of what it judges is counted as none, which is a fault each."""
    counts = soak.SoakResult(soak.SoakSpec(1)).counts()
    assert set(counts) == {
        "requests served",
        "requests on kept connections",
        "restarts",
        "reloads",
        "configurations",
    }
    assert len(find_unchecked(counts)) == len(counts)


def test_every_check_is_known_to_these_tests():
    """Given the commands of the harness that end with a verdict, each is one whose emptiness is tested here or beside."""
    folder = Path(harness.__file__).parent
    judging = {
        ".".join(path.relative_to(folder.parent).with_suffix("").parts)
        for path in folder.rglob("*.py")
        if "raise SystemExit(" in path.read_text() or "sys.exit(" in path.read_text()
    }
    tested = {module.__name__ for module in (*SEEDED, days, model, platform_city, replacements, scenarios, size, soak)}
    tested_beside = {"harness.mutations.runner", "harness.fuzzing.__main__"}
    of_real_processes = {f"harness.local_cluster.{name}" for name in ("city", "trials", "processes")}
    of_measurements = {f"harness.experiments.scale.{name}" for name in ("__main__", "child", "socket_run")}
    assert tested <= judging
    assert judging <= tested | tested_beside | of_real_processes | of_measurements | {"harness.__main__"}
