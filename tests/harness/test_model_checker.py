"""The model checker within a small fixed budget: walks, exhaustive searches, and counter-examples of earlier days (docs/design/simulation.md)."""

from pathlib import Path

import pytest

from harness.model_checking.choices import Cut, Freeze, Order
from harness.model_checking.explore import CounterExample, Search, replay
from harness.model_checking.losses import CATCH_UP, NEVER, Losses
from harness.model_checking.schedule import Schedule, load, play, save
from harness.model_checking.shrink import Shrinker
from harness.model_checking.steps import BEGINNINGS, Kind, Step
from harness.model_checking.walk import draw_lease_schedule, draw_read_schedule, draw_schedule

SCHEDULES = sorted((Path(__file__).parent.parent / "model").glob("*.json"))
WALKS = [(3, seed) for seed in (4, *range(1001, 1006))] + [(5, seed) for seed in range(1101, 1104)]
LEASE_WALKS = [(3, 2001), (3, 2002), (3, 2003), (5, 2101)]
READ_WALKS = [(3, 3001), (5, 3101)]
SECONDS = 40.0
ROUNDS, DEVIATIONS = 2, 1
MAX_STATES = 2000  # of one beginning; a search within the bounds has fewer


@pytest.mark.parametrize("voters, seed", WALKS)
def test_walks_break_no_rule(voters, seed):
    """Given random faults and orders over whole cores, no invariant is broken."""
    outcome = play(draw_schedule(seed, voters, SECONDS))
    assert outcome.findings == ()
    assert outcome.counts["acknowledged"] > 0 and outcome.counts["delivered"] > 0


@pytest.mark.parametrize("voters, seed", LEASE_WALKS)
def test_lease_walks_break_no_rule(voters, seed):
    """Given holders of leases that are cut off from the leader alone, stand still or end, no lease has two holders."""
    outcome = play(draw_lease_schedule(seed, voters, SECONDS))
    assert outcome.findings == ()
    assert outcome.counts["acknowledged"] > 0 and outcome.counts["delivered"] > 0


@pytest.mark.parametrize("voters, seed", READ_WALKS)
def test_read_walks_break_no_rule(voters, seed):
    """Given machines that hear late, no read there shows less than what an operator was told before it."""
    outcome = play(draw_read_schedule(seed, voters, SECONDS))
    assert outcome.findings == ()
    assert outcome.counts["acknowledged"] > 0 and outcome.counts["reads"] > 100


@pytest.mark.parametrize("beginning", BEGINNINGS)
def test_no_deviation_breaks_a_rule(beginning):
    """Given three replicas in a state where much can go wrong, every single step out of the ordinary course breaks no rule."""
    report = Search(beginning, ROUNDS, DEVIATIONS, max_states=MAX_STATES).run()
    assert report.found == [] and report.is_complete
    assert report.states > 50 and report.recoveries > 10


@pytest.mark.parametrize("path", SCHEDULES, ids=lambda path: path.stem)
def test_counter_examples_of_earlier_days_break_no_rule_now(path):
    """Given the choices that broke a rule once, none is broken any more."""
    assert play(load(path)).findings == ()


def test_one_story_always_has_the_same_end(tmp_path):
    """Given a schedule that was written down, it plays as it did the first time."""
    schedule = draw_schedule(1001, 3, 15.0)
    save(schedule, tmp_path / "story.json")
    again = load(tmp_path / "story.json")
    assert again == schedule
    assert play(again) == play(schedule)


def test_a_counter_example_is_shrunk_to_what_it_needs(monkeypatch):
    """Given a rule that two of many choices break together, only these two are left."""
    needed = (Freeze(at=2.0, machine="0", seconds=1.0), Cut(at=5.0, machine="1", seconds=1.0))
    orders = tuple(Order(at=0.1 * place, operator=0, targets=("0",)) for place in range(60))
    choices = tuple(sorted((*needed, *orders), key=lambda choice: choice.at))
    schedule = Schedule(seed=1, seconds=9.0, choices=choices)

    def play_as_if_broken(schedule, ignored=()):
        from harness.model_checking.invariants import Finding
        from harness.model_checking.schedule import Outcome

        is_broken = set(needed) <= set(schedule.choices)
        return Outcome((Finding(6.0, "made-up", "both"),) if is_broken else (), {}, 6.0)

    monkeypatch.setattr("harness.model_checking.shrink.play", play_as_if_broken)
    assert Shrinker(schedule, "made-up").run().choices == needed


def test_a_replayed_search_ends_where_it_ended():
    """Given the steps of a search, a replay takes them one by one and finds what they break, here nothing."""
    steps = (
        Step(Kind.TICK),
        Step(Kind.CRASH, "a"),
        Step(Kind.SETTLE),
        Step(Kind.TICK),
        Step(Kind.START, "a"),
        Step(Kind.SETTLE),
    )
    assert replay(CounterExample("calm_view", steps, "", "", is_calm_after=True)) is None


# how losses are counted ------------------------------------------------------------------------


def _three():
    losses = Losses(3)
    for name in "abc":
        losses.add_machine(name, NEVER)
    return losses


def test_a_machine_is_lost_until_it_has_caught_up():
    """Given trouble of one machine, no disk may be lost until four seconds after its end."""
    losses = _three()
    losses.add_fault("a", 10, 12)
    assert not losses.may_lose(11, {"b"}) and not losses.may_lose(12 + CATCH_UP - 0.1, {"b"})
    assert losses.may_lose(11, {"a"}) and losses.may_lose(12 + CATCH_UP, {"b"})


def test_a_machine_that_left_as_planned_does_not_count_once_its_successor_has_had_its_time():
    """Given a newcomer that has run for four seconds, a planned leave is no loss, so that another machine may be lost right after it."""
    losses = _three()
    losses.add_machine("d", 10)
    assert losses.may_leave(12, "a")  # it counts as the one that may be lost
    losses.remove_machine("a", 14, is_planned=True)
    assert not losses.may_lose(13.9, {"b"}) and losses.may_lose(14.1, {"b"})


def test_a_machine_lost_unplanned_counts_whoever_stands_ready():
    """Given a newcomer that has run for long, a machine that vanishes still counts for four seconds."""
    losses = _three()
    losses.add_machine("d", 10)
    losses.remove_machine("a", 20, is_planned=False)
    assert not losses.may_lose(23.9, {"b"}) and losses.may_lose(24.1, {"b"})


def test_after_more_trouble_than_is_borne_no_disk_is_lost_until_all_had_their_time():
    """Given an empty disk that could not catch up because the others were away too, its time begins anew."""
    losses = _three()
    losses.add_disk_loss("a", 10, 10.5)
    losses.add_fault("b", 11, 13)
    losses.update(11)
    losses.update(14)
    assert not losses.may_lose(17.9, {"b"})
    assert losses.may_lose(14 + CATCH_UP + 0.1, {"b"})
