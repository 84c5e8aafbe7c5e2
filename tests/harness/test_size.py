"""Simulated fleets of several sizes: traffic per node does not grow with the fleet, and a fleet recovers from large failures."""

import pytest

from harness.experiments import size
from harness.experiments.size import STORIES, play, row

SMALL, LARGE = 20, 60
FRESH_WITHIN = 3.0  # seconds from the last fault until every edge is fresh
MAX_GROWTH = 1.3  # factor of the traffic per node at rest from the small to the large fleet


def test_traffic_per_node_at_rest_does_not_grow_with_the_fleet():
    """At rest, a node in a fleet of 60 sends less than 1.3 times the bytes between zones of a node in a fleet of 20."""
    small, large = play("rest", SMALL, 1), play("rest", LARGE, 1)
    assert 0 < large.kilobytes_a_node < small.kilobytes_a_node * MAX_GROWTH


@pytest.mark.parametrize("story", [story for story in STORIES if story != "rest"])
def test_fleet_recovers_from_large_failures(story):
    """After each failure story in a fleet of 20, every edge is fresh within 3 s and all nodes know each other."""
    result = play(story, SMALL, 2)
    assert result.is_recovered and result.fresh_after_s <= FRESH_WITHIN


def test_restart_of_many_edges_sends_no_full_member_lists():
    """After 60% of the edges are killed, a node in a fleet of 60 sends less than 1.6 times the bytes of one in a fleet of 20.
    With full member lists in each response, it was twice as much."""
    small, large = play("herd_kill", SMALL, 1), play("herd_kill", LARGE, 1)
    assert large.kilobytes_a_node < small.kilobytes_a_node * 1.6


def test_fleet_that_does_not_recover_is_reported(monkeypatch):
    """If the edges never become fresh again, the story counts as not recovered and its row says so."""
    monkeypatch.setattr(size.FleetOfSize, "settle", lambda self: None)
    monkeypatch.setattr(size.FleetOfSize, "is_fresh", lambda self: False)
    monkeypatch.setattr(size, "STORY_S", 1.0)
    result = play("rest", SMALL, 1)
    assert not result.is_recovered and "not reached" in row(result)
