"""Tests that run the model checker with a small fixed budget: random walks, exhaustive searches and recorded counter-examples (docs/design/simulation.md)."""

from pathlib import Path

import pytest

from harness.model_checking.choices import Cut, Freeze, Order
from harness.model_checking.explore import CounterExample, Search, replay
from harness.model_checking.losses import CATCH_UP, NEVER, Losses
from harness.model_checking.schedule import Schedule, load, play, save
from harness.model_checking.shrink import Shrinker
from harness.model_checking.steps import BEGINNINGS, Kind, Step
from harness.model_checking.walk import draw_failure_schedule, draw_lease_schedule, draw_read_schedule, draw_schedule

SCHEDULES = sorted((Path(__file__).parent.parent / "model").glob("*.json"))
WALKS = [(3, seed) for seed in (4, *range(1001, 1006))] + [(5, seed) for seed in range(1101, 1104)]
LEASE_WALKS = [(3, 2001), (3, 2002), (3, 2003), (5, 2101)]
READ_WALKS = [(3, 3001), (5, 3101)]
FAILURE_WALKS = [(3, 4001), (3, 4002), (3, 4003), (3, 5026), (5, 4101)]
SECONDS = 40.0
ROUNDS, DEVIATIONS = 2, 1
MAX_STATES = 2000  # limit for one starting state; a search within the bounds visits fewer


@pytest.mark.parametrize("voters, seed", WALKS)
def test_walks_break_no_rule(voters, seed):
    """Random faults and operator requests on whole cores must not break an invariant."""
    outcome = play(draw_schedule(seed, voters, SECONDS))
    assert outcome.findings == ()
    assert outcome.counts["acknowledged"] > 0 and outcome.counts["delivered"] > 0


@pytest.mark.parametrize("voters, seed", LEASE_WALKS)
def test_lease_walks_break_no_rule(voters, seed):
    """Role leases must never have two holders when a holder is cut off from the leader, suspended or killed."""
    outcome = play(draw_lease_schedule(seed, voters, SECONDS))
    assert outcome.findings == ()
    assert outcome.counts["acknowledged"] > 0 and outcome.counts["delivered"] > 0


@pytest.mark.parametrize("voters, seed", READ_WALKS)
def test_read_walks_break_no_rule(voters, seed):
    """A read from a core with delayed incoming messages must include every change acknowledged before it."""
    outcome = play(draw_read_schedule(seed, voters, SECONDS))
    assert outcome.findings == ()
    assert outcome.counts["acknowledged"] > 0 and outcome.counts["reads"] > 100


@pytest.mark.parametrize("voters, seed", FAILURE_WALKS)
def test_walks_with_failing_components_break_no_rule(voters, seed):
    """Components that raise exceptions must cost no core a committed entry, also through kills, snapshots and reads (review
    case 1)."""
    outcome = play(draw_failure_schedule(seed, voters, SECONDS))
    assert outcome.findings == ()
    assert outcome.counts["acknowledged"] > 0 and outcome.counts["delivered"] > 0


@pytest.mark.parametrize("beginning", BEGINNINGS)
def test_no_deviation_breaks_a_rule(beginning):
    """From each starting state, no single deviation from fault-free rounds may break an invariant of three replicas."""
    report = Search(beginning, ROUNDS, DEVIATIONS, max_states=MAX_STATES).run()
    assert report.found == [] and report.is_complete
    assert report.states > 50 and report.recoveries > 10


@pytest.mark.parametrize("path", SCHEDULES, ids=lambda path: path.stem)
def test_recorded_counter_examples_break_no_rule(path):
    """Schedules that once broke a rule must not break any rule now."""
    assert play(load(path)).findings == ()


def test_replay_of_saved_schedule_has_same_outcome(tmp_path):
    """A saved and reloaded schedule must equal the original and have the same outcome."""
    schedule = draw_schedule(1001, 3, 15.0)
    save(schedule, tmp_path / "schedule.json")
    again = load(tmp_path / "schedule.json")
    assert again == schedule
    assert play(again) == play(schedule)


def test_shrinking_keeps_only_required_choices(monkeypatch):
    """If two of 62 choices together break a rule, the shrunk schedule must contain only these two."""
    needed = (Freeze(at=2.0, machine="0", seconds=1.0), Cut(at=5.0, machine="1", seconds=1.0))
    orders = tuple(Order(at=0.1 * place, operator=0, targets=("0",)) for place in range(60))
    choices = tuple(sorted((*needed, *orders), key=lambda choice: choice.at))
    schedule = Schedule(seed=1, seconds=9.0, choices=choices)

    def play_with_violation(schedule, ignored=()):
        from harness.model_checking.invariants import Finding
        from harness.model_checking.schedule import Outcome

        is_broken = set(needed) <= set(schedule.choices)
        return Outcome((Finding(6.0, "made-up", "both"),) if is_broken else (), {}, 6.0)

    monkeypatch.setattr("harness.model_checking.shrink.play", play_with_violation)
    assert Shrinker(schedule, "made-up").run().choices == needed


def test_replay_executes_all_steps_of_a_search():
    """A replay must execute the recorded steps in order; these steps and the recovery after them break no rule."""
    steps = (
        Step(Kind.TICK),
        Step(Kind.CRASH, "a"),
        Step(Kind.SETTLE),
        Step(Kind.TICK),
        Step(Kind.START, "a"),
        Step(Kind.SETTLE),
    )
    assert replay(CounterExample("calm_view", steps, "", "", is_calm_after=True)) is None


# counting of losses ------------------------------------------------------------------------


def _three():
    losses = Losses(3)
    for name in "abc":
        losses.add_machine(name, NEVER)
    return losses


def test_machine_counts_as_lost_until_caught_up():
    """After a fault of one machine, no other machine may be lost until 4 s (CATCH_UP) after its end."""
    losses = _three()
    losses.add_fault("a", 10, 12)
    assert not losses.may_lose(11, {"b"}) and not losses.may_lose(12 + CATCH_UP - 0.1, {"b"})
    assert losses.may_lose(11, {"a"}) and losses.may_lose(12 + CATCH_UP, {"b"})


def test_planned_leave_does_not_count_after_successor_caught_up():
    """When the successor has run for 4 s, a planned leave is not a loss, so that another machine may be lost at once."""
    losses = _three()
    losses.add_machine("d", 10)
    assert losses.may_leave(12, "a")  # within the tolerated number: it counts as the one lost machine
    losses.remove_machine("a", 14, is_planned=True)
    assert not losses.may_lose(13.9, {"b"}) and losses.may_lose(14.1, {"b"})


def test_unplanned_loss_counts_despite_caught_up_successor():
    """A machine that is removed without a planned leave counts as lost for 4 s even if a successor has caught up."""
    losses = _three()
    losses.add_machine("d", 10)
    losses.remove_machine("a", 20, is_planned=False)
    assert not losses.may_lose(23.9, {"b"}) and losses.may_lose(24.1, {"b"})


def test_no_disk_is_lost_until_catch_up_after_too_many_faults():
    """The catch-up time of an empty disk restarts after a period in which more machines than tolerated were lost."""
    losses = _three()
    losses.add_disk_loss("a", 10, 10.5)
    losses.add_fault("b", 11, 13)
    losses.update(11)
    losses.update(14)
    assert not losses.may_lose(17.9, {"b"})
    assert losses.may_lose(14 + CATCH_UP + 0.1, {"b"})
