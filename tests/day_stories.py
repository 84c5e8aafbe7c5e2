"""Days: midnight, wall clocks that jump, and which day's log a request stands in."""

from datetime import UTC, datetime, timedelta

from tests.scene import settled, witness

DAY = timedelta(days=1)


def _days(town):
    return {
        name for box in town.boxes.values() for name, rows in box.disk.files.items() if name.startswith("day-") and rows
    }


def test_requests_over_midnight_stand_in_the_log_of_the_day_on_which_they_came():
    """Rule 12. Given traffic over midnight and an edge that is killed just before it, each call that was dropped is in the log of
    the day on which it came in, though it was found lost on the next."""
    town = settled(91, edges=4)
    town.dawn = datetime(2026, 3, 3, tzinfo=UTC) - town.now - timedelta(seconds=6)
    town.run(1)
    callers = town.call_in(3.0)
    town.run(4.6)
    town.kill("edge-1")
    town.run(8)
    callers.is_on = False
    town.run(8)
    dropped = [call for call in callers.calls if call.outcome in ("cut", "none") and call.fault_class == "reset"]
    assert dropped and witness(town, callers).unaccounted() == []
    assert _days(town) == {"day-2026-03-02.jsonl", "day-2026-03-03.jsonl"}


def test_a_core_and_an_edge_whose_clocks_are_a_day_off_put_nothing_in_a_wrong_day():
    """Rule 12. Given a core and an edge whose wall clocks jump by a day, then all clocks jumping apart, rows stand in the day that
    it is; also those of an edge that starts with a wrong clock."""
    town = settled(92, edges=4)
    callers = town.call_in(2.0)
    town.run(2)
    town.boxes["core-2"].clock.jump, town.boxes["edge-2"].clock.jump = DAY, -DAY
    town.run(4)
    town.kill("edge-3")
    town.boxes["edge-3"].clock.jump = DAY * 2
    town.run(1)
    town.start("edge-3")
    town.run(5)
    for place, box in enumerate(town.boxes.values()):
        box.clock.jump = DAY * (place - 4)
    town.run(5)
    town.kill("edge-1")
    town.run(6)
    callers.is_on = False
    town.run(8)
    assert _days(town) == {"day-2026-03-02.jsonl"}
    assert witness(town, callers).unaccounted() == []
