"""Day logs: requests around midnight, wall clocks that jump, and the day under which a record is logged."""

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


def test_requests_around_midnight_are_logged_on_the_day_on_which_they_arrived():
    """Rule 12: an edge is killed just before midnight during traffic. Each dropped call must be in the log of the day on which
    it arrived, although it is closed as lost on the next day."""
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


def test_wall_clocks_that_are_a_day_off_do_not_put_records_in_the_log_of_a_wrong_day():
    """Rule 12: the wall clocks of a core and of an edge jump by a day, an edge starts with a wrong clock, and then all clocks
    jump to different times. All records must stay in the log of the true day."""
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
