"""Days: midnight, wall clocks that jump, and which day's log a request stands in."""

from datetime import UTC, datetime, timedelta

from tests.deployment_fixtures import invariant_checker, settled

DAY = timedelta(days=1)


def _days(deployment):
    return {
        name
        for box in deployment.boxes.values()
        for name, rows in box.disk.files.items()
        if name.startswith("day-") and rows
    }


def test_requests_over_midnight_stand_in_the_log_of_the_day_on_which_they_came():
    """Rule 12. Given traffic over midnight and an edge that is killed just before it, each call that was dropped is in the log of
    the day on which it came in, though it was found lost on the next."""
    deployment = settled(91, edges=4)
    deployment.start_time = datetime(2026, 3, 3, tzinfo=UTC) - deployment.now - timedelta(seconds=6)
    deployment.run(1)
    callers = deployment.start_callers(3.0)
    deployment.run(4.6)
    deployment.kill("edge-1")
    deployment.run(8)
    callers.is_on = False
    deployment.run(8)
    dropped = [call for call in callers.calls if call.outcome in ("cut", "none") and call.fault_class == "reset"]
    assert dropped and invariant_checker(deployment, callers).unaccounted() == []
    assert _days(deployment) == {"day-2026-03-02.jsonl", "day-2026-03-03.jsonl"}


def test_a_core_and_an_edge_whose_clocks_are_a_day_off_put_nothing_in_a_wrong_day():
    """Rule 12. Given a core and an edge whose wall clocks jump by a day, then all clocks jumping apart, rows stand in the day that
    it is; also those of an edge that starts with a wrong clock."""
    deployment = settled(92, edges=4)
    callers = deployment.start_callers(2.0)
    deployment.run(2)
    deployment.boxes["core-2"].clock.jump, deployment.boxes["edge-2"].clock.jump = DAY, -DAY
    deployment.run(4)
    deployment.kill("edge-3")
    deployment.boxes["edge-3"].clock.jump = DAY * 2
    deployment.run(1)
    deployment.start("edge-3")
    deployment.run(5)
    for place, box in enumerate(deployment.boxes.values()):
        box.clock.jump = DAY * (place - 4)
    deployment.run(5)
    deployment.kill("edge-1")
    deployment.run(6)
    callers.is_on = False
    deployment.run(8)
    assert _days(deployment) == {"day-2026-03-02.jsonl"}
    assert invariant_checker(deployment, callers).unaccounted() == []
