"""Every check of the harness counts the items it judged, and a run that judged nothing fails."""

import sys
from collections import Counter
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace

import pytest

import harness
import harness.model_checking.__main__ as model
from harness.client_crowds.crowds import CROWDS
from harness.client_crowds.trial import CrowdResult, MachineLimits
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
from harness.model_checking.schedule import Outcome, Schedule
from harness.run_checks import find_unchecked
from sumachook.simulation.fault_injection import FaultInjection

SEEDED = [storms, twins, chaos, orders, allowances]


class _Pool:
    """Replaces a process pool: runs the work in this process."""

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
    """Returns the exit code of the command for these arguments."""
    monkeypatch.setattr(module, "ProcessPoolExecutor", _Pool)
    monkeypatch.setattr(sys, "argv", ["command", *words])
    with pytest.raises(SystemExit) as ended:
        module.main()
    return ended.value.code


def test_each_count_of_zero_is_a_fault():
    """Each count of zero gives a fault that names the kind of item."""
    assert find_unchecked({"calls": 0, "runs": 2, "orders": 0}) == [
        "nothing was judged: 0 calls",
        "nothing was judged: 0 orders",
    ]


@pytest.mark.parametrize("module", SEEDED, ids=lambda module: module.__name__)
def test_command_rejects_an_empty_range_of_seeds(module, monkeypatch):
    """A last seed before the first leaves nothing to run, which must not count as success."""
    assert _exit_code(monkeypatch, module, "9", "3") not in (0, None)


def test_storm_without_calls_fails(monkeypatch):
    """A storm without calls and faults breaks no rule, but judged nothing and is reported as faulty."""
    monkeypatch.setattr(FaultInjection, "run", lambda *_, **__: [])
    found = storms.play(2)[4]
    assert "nothing was judged: 0 calls answered" in found and "nothing was judged: 0 faults played" in found


def test_storms_with_faults_fail(monkeypatch):
    """The command exits with 1 if a storm reports a fault, and with 0 if it reports none."""
    for found, code in (([], 0), (["nothing was judged: 0 prompts run"], 1)):
        monkeypatch.setattr(storms, "play", lambda seed, found=found: (seed, "kosice", {}, (1, 0), found, []))
        assert _exit_code(monkeypatch, storms, "1", "1") == code


@pytest.mark.parametrize(
    ("found", "code"),
    [({}, 1), ({"stamps": ([], 0)}, 1), ({"stamps": ([timedelta(seconds=1)], 0)}, 0)],
)
def test_twins_without_answers_fail(monkeypatch, found, code):
    """Pairs of storms without groups or answered calls compare nothing, so the command fails."""
    monkeypatch.setattr(twins, "play", lambda seed, is_heavy: found)
    assert _exit_code(monkeypatch, twins, "1", "1") == code


def test_chaos_run_without_changes_fails(monkeypatch):
    """A run in which no change is proposed cannot lose one, so it is reported as faulty."""
    monkeypatch.setattr(chaos.ChaosRun, "__init__", lambda self, *_: setattr(self, "history", chaos.ChangeHistory()))
    monkeypatch.setattr(chaos.ChaosRun, "play", lambda *_: None)
    assert chaos.play(1)[3] == ["nothing was judged: 0 changes acknowledged", "nothing was judged: 0 changes delivered"]


def test_order_storm_without_orders_fails(monkeypatch):
    """A storm in which operators send no orders is reported as faulty."""

    class Quiet:
        """A storm without orders."""

        history, kills = SimpleNamespace(orders=[]), 0

        def __init__(self, *_):
            pass

        def run(self, *_):
            return []

    monkeypatch.setattr(orders, "OperatorFaultRun", Quiet)
    assert orders.play(1)[4] == ["nothing was judged: 0 orders", "nothing was judged: 0 orders acknowledged"]


def test_digest_without_effects_is_an_error(monkeypatch):
    """A storm without effects has no digest, because a digest of nothing would never differ."""
    monkeypatch.setattr(digest, "play", lambda *_: None)
    with pytest.raises(digest.EmptyDigestError):
        digest.take(41)


def test_allowance_storm_without_calls_fails(monkeypatch):
    """A storm without calls is reported as faulty, although no bound is exceeded."""

    class Quiet:
        """A storm without calls."""

        spec, checked_calls, p99_wait_ms, told = "kosice", 0, 0.0, ()
        simulator = SimpleNamespace(calls=[])

        def __init__(self, *_):
            pass

        def run(self, *_):
            return []

    monkeypatch.setattr(allowances, "QuotaFaultRun", Quiet)
    assert allowances.play(1)[5] == [
        "nothing was judged: 0 calls inside a floor",
        "nothing was judged: 0 calls let in",
    ]


def test_allowance_twins_and_turns_without_seeds_fail():
    """Without seeds there are no runs to compare, so neither comparison succeeds."""
    assert not allowances.twins([], _Pool()) and not allowances.turns([], _Pool())


@pytest.mark.parametrize("times", [[], [0.1]])
def test_allowance_twins_need_answered_calls_and_a_flood(monkeypatch, times):
    """The comparison succeeds only if calls of other tenants were answered and the flood was partly admitted and refused."""
    monkeypatch.setattr(
        allowances, "play_twin", lambda seed, place, is_flooded: ("kosice", "audits", {"stamps": (times, 0)}, (1, 1))
    )
    assert allowances.twins([1], _Pool()) == bool(times)
    monkeypatch.setattr(
        allowances, "play_twin", lambda seed, place, is_flooded: ("kosice", "audits", {"stamps": (times, 0)}, (0, 0))
    )
    assert not allowances.twins([1], _Pool())


def test_unknown_scenario_is_rejected(monkeypatch):
    """An unknown scenario name is an error; the command must not succeed by running nothing."""
    assert _exit_code(monkeypatch, scenarios, "--only", "no_such_scenario") not in (0, None)


def test_scenario_without_answered_calls_is_broken(monkeypatch):
    """A scenario without calls, whose checker therefore finds nothing, is reported as having judged nothing."""
    run = SimpleNamespace(
        callers=SimpleNamespace(calls=[]),
        invariant_checker=SimpleNamespace(resends=lambda: (1, 0), unaccounted=list, faults=list),
        fault_at=None,
        figures={},
    )
    monkeypatch.setattr(scenarios, "ScenarioRun", lambda *_: run)
    assert scenarios.play(lambda _: None, "kosice", 7)["broken"] == ["nothing was judged: 0 calls answered"]


def test_platform_city_fails_if_a_kind_of_request_is_never_in_time():
    """Each kind of request without a response in time is a fault even if no rule is broken, and so is a run without requests."""
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


def test_fuzz_report_without_cases_is_faulty():
    """A report without cases has one fault for each kind of item that was not judged."""
    assert len(FuzzReport().faults()) == 3 and FuzzReport(cases=1, requests=1, runs=1).faults() == []


def test_days_command_fails_if_no_day_was_played(monkeypatch, tmp_path):
    """If all days are for another site, none is played, which must not count as success."""
    (tmp_path / "a.toml").touch()
    skipped = lambda self, run: days.Outcome(run, None, f"{days.UNPLAYED}: contract pool {days.NOT_IN_FORCE}")  # noqa: E731
    monkeypatch.setattr(days.Player, "play", skipped)
    given = ["--bench", "none", "--site", "x.toml", "--days", str(tmp_path), "--out", str(tmp_path)]
    assert days.main(given) == 1


@pytest.mark.parametrize(("counts", "code"), [((0, 0), 1), ((3, 0), 1), ((3, 1), 0)])
def test_walk_without_deliveries_or_acknowledgements_fails(monkeypatch, counts, code):
    """Walks that delivered or acknowledged nothing judged nothing, so the command fails."""
    schedule = Schedule(seed=1, seconds=1.0, choices=())
    outcome = Outcome((), Counter(delivered=counts[0], acknowledged=counts[1]), 1.0)
    monkeypatch.setattr(model, "_walk", lambda seed, **_: (schedule, outcome, schedule))
    assert _exit_code(monkeypatch, model, "walk", "--seeds", "1", "1") == code


def test_walk_fails_for_an_empty_range_of_seeds(monkeypatch):
    """A last seed before the first leaves no walk to run, which must not count as success."""
    assert _exit_code(monkeypatch, model, "walk", "--seeds", "9", "3") == 1


@pytest.mark.parametrize(("states", "recoveries", "code"), [(0, 0, 1), (5, 0, 1), (5, 1, 0)])
def test_search_without_states_or_recoveries_fails(monkeypatch, states, recoveries, code):
    """A search that reached no state, or no end at which recovery is checked, judged nothing."""
    report = Report("calm_view", states=states, recoveries=recoveries)
    monkeypatch.setattr(model, "_search", lambda *_, **__: report)
    assert _exit_code(monkeypatch, model, "explore", "--beginnings", "calm_view") == code


def test_search_without_an_initial_state_fails(monkeypatch):
    """Without an initial state nothing is searched, so the command fails."""
    assert _exit_code(monkeypatch, model, "explore", "--beginnings") == 1


@pytest.mark.parametrize(("took", "code"), [(0.5, 0), (None, 1)])
def test_replacement_beyond_the_time_limit_fails(monkeypatch, took, code):
    """The command fails if a replacement was not complete within the limit."""
    monkeypatch.setattr(replacements, "measure", lambda *_: [took])
    monkeypatch.setattr(sys, "argv", ["command"])
    with pytest.raises(SystemExit) as ended:
        replacements.main()
    assert ended.value.code == code


def test_size_command_rejects_an_empty_range_of_seeds(monkeypatch):
    """A last seed before the first leaves nothing to run, which must not count as success."""
    assert _exit_code(monkeypatch, size, "--seeds", "9", "3") not in (0, None)


@pytest.mark.parametrize(
    ("fresh_after_s", "between_zones", "code"), [(0.5, {"feed": 10}, 0), (None, {"feed": 10}, 1), (0.5, {}, 1)]
)
def test_size_command_fails_without_recovery_or_traffic(monkeypatch, fresh_after_s, between_zones, code):
    """The command fails if the edges never get a fresh state or the nodes sent nothing between zones."""
    result = size.StoryResult("rest", 20, 1, fresh_after_s, 1.0, between_zones)
    monkeypatch.setattr(size, "play", lambda *_: result)
    assert _exit_code(monkeypatch, size, "--stories", "rest", "--nodes", "20") == code


def test_soak_rejects_an_empty_range_of_seeds(monkeypatch):
    """A last seed before the first leaves nothing to run, which must not count as success."""
    monkeypatch.setattr(sys, "argv", ["command", "9", "3"])
    with pytest.raises(SystemExit) as ended:
        soak.main()
    assert ended.value.code not in (0, None)


@pytest.mark.parametrize(("faults", "code"), [([], 0), (["a fault"], 1)])
def test_soak_with_a_fault_fails(monkeypatch, faults, code):
    """The command exits with 1 if the run has a fault, else with 0."""

    async def play_soak(spec, work):
        return soak.SoakResult(spec, faults=faults)

    monkeypatch.setattr(soak, "play_soak", play_soak)
    monkeypatch.setattr(sys, "argv", ["command", "1", "1"])
    with pytest.raises(SystemExit) as ended:
        soak.main()
    assert ended.value.code == code


def test_soak_without_activity_has_a_fault_for_each_count():
    """In a run without requests, restarts and changes every count is zero, and each of them is a fault."""
    counts = soak.SoakResult(soak.SoakSpec(1)).counts()
    assert set(counts) == {
        "requests served",
        "requests on kept connections",
        "restarts",
        "server restarts",
        "reads",
        "reloads",
        "configurations",
    }
    assert len(find_unchecked(counts)) == len(counts)


def test_crowd_that_met_nobody_has_a_fault_for_each_count():
    """A crowd without connections, ordinary requests and samples of memory has checked nothing, and each is a fault."""
    counts = CrowdResult(CROWDS[0], MachineLimits(100, 4100, 1 << 20)).counts()
    assert len(counts) == 3 and len(find_unchecked(counts)) == len(counts)


def test_every_command_with_a_verdict_is_tested_for_empty_runs():
    """Each harness module that exits with a verdict is tested for empty runs in this file or elsewhere."""
    folder = Path(harness.__file__).parent
    judging = {
        ".".join(path.relative_to(folder.parent).with_suffix("").parts)
        for path in folder.rglob("*.py")
        if "raise SystemExit(" in path.read_text() or "sys.exit(" in path.read_text()
    }
    tested = {module.__name__ for module in (*SEEDED, days, model, platform_city, replacements, scenarios, size, soak)}
    tested_beside = {"harness.mutations.runner", "harness.fuzzing.__main__", "harness.client_crowds.__main__"}
    of_real_processes = {f"harness.local_cluster.{name}" for name in ("city", "trials", "processes")}
    of_measurements = {f"harness.experiments.scale.{name}" for name in ("__main__", "child", "socket_run")}
    assert tested <= judging
    assert judging <= tested | tested_beside | of_real_processes | of_measurements | {"harness.__main__"}
