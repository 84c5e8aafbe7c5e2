"""The model of size: what a node costs at rest doesn't grow with their number, and a fleet comes back from much at once."""

import pytest

from harness.experiments import size
from harness.experiments.size import STORIES, play, row

SMALL, LARGE = 20, 60
FRESH_WITHIN = 3.0  # seconds after the last fault
MOST_GROWTH = 1.3  # of what a node says at rest, from the small fleet to the large one


def test_what_a_node_says_at_rest_does_not_grow_with_the_fleet():
    """Given fleets of 20 and 60 nodes at rest, a node of the larger one says less than 1.3 times as much between zones."""
    small, large = play("rest", SMALL, 1), play("rest", LARGE, 1)
    assert 0 < large.kilobytes_a_node < small.kilobytes_a_node * MOST_GROWTH


@pytest.mark.parametrize("story", [story for story in STORIES if story != "rest"])
def test_a_fleet_comes_back_soon_from_much_at_once(story):
    """Given a story of failures in a fleet of 20, soon after the last every edge is fresh, and everybody knows everybody."""
    result = play(story, SMALL, 2)
    assert result.is_recovered and result.fresh_after_s <= FRESH_WITHIN


def test_a_killed_herd_costs_no_whole_lists_of_members():
    """Given six tenths of the edges killed in fleets of 20 and 60 nodes, a node of the larger fleet says at most 1.6 times as much;
    with whole lists of members in each answer it was twice as much."""
    small, large = play("herd_kill", SMALL, 1), play("herd_kill", LARGE, 1)
    assert large.kilobytes_a_node < small.kilobytes_a_node * 1.6


def test_a_fleet_that_does_not_come_back_is_said_so(monkeypatch):
    """Given edges that never are fresh again, the story is not recovered and its line says it."""
    monkeypatch.setattr(size.FleetOfSize, "settle", lambda self: None)
    monkeypatch.setattr(size.FleetOfSize, "is_fresh", lambda self: False)
    monkeypatch.setattr(size, "STORY_S", 1.0)
    result = play("rest", SMALL, 1)
    assert not result.is_recovered and "not reached" in row(result)
