"""Records of when edges were reachable in the simulated network, and for which purposes."""

from datetime import timedelta

from sumachook.simulation.fleet import Fleet
from sumachook.simulation.reachability import Path

SECOND = timedelta(seconds=1)


class _SilentMachine:
    __slots__ = ()

    def take(self, message, now):
        return []


def _fleet():
    """Starts two cores, an edge and the platform, all of which ignore every event."""
    fleet = Fleet(1)
    for name, role in (("core-1", "core"), ("core-2", "core"), ("edge-1", "edge"), ("platform", "platform")):
        fleet.add(name, role, lambda box: _SilentMachine(), "a", name, name + ":http")
    return fleet


def test_cut_and_restart_break_only_affected_paths():
    """A cut between the cores breaks the path of orders but not of the server list; a restart of the edge breaks the latter too."""
    fleet = _fleet()
    fleet.run(3)
    reachability = fleet.reachability
    assert reachability.was_unbroken(Path.ORDER_AND_ANSWER, "edge-1", SECOND, SECOND * 2)
    assert reachability.was_unbroken(Path.SERVER_LIST, "edge-1", SECOND, SECOND * 2)
    fleet.cut(["core-1"], ["core-2"])
    fleet.run(1)
    fleet.heal()
    fleet.run(1)
    assert not reachability.was_unbroken(Path.ORDER_AND_ANSWER, "edge-1", SECOND * 3, SECOND * 5)
    assert reachability.was_unbroken(Path.SERVER_LIST, "edge-1", SECOND, SECOND * 5)
    fleet.kill("edge-1")
    fleet.start("edge-1")
    fleet.run(2)
    assert not reachability.was_unbroken(Path.SERVER_LIST, "edge-1", SECOND * 4, SECOND * 6)


def test_freeze_breaks_only_paths_that_need_edge_to_act():
    """While an edge is frozen for a second, orders reach it, but it neither answers nor stores records."""
    fleet = _fleet()
    fleet.run(2)
    fleet.freeze("edge-1")
    fleet.run(1)
    fleet.wake("edge-1")
    fleet.run(1)
    while_frozen = ("edge-1", SECOND * 2, SECOND * 3)
    assert fleet.reachability.was_unbroken(Path.ORDER, *while_frozen)
    assert fleet.reachability.was_unbroken(Path.SERVER_LIST, *while_frozen)
    assert not fleet.reachability.was_unbroken(Path.ORDER_AND_ANSWER, *while_frozen)
    assert not fleet.reachability.was_unbroken(Path.STORE_RECORDS, *while_frozen)
    assert not fleet.reachability.was_unbroken(Path.RELAY_RECORDS, *while_frozen)


def test_unbroken_period_is_found_only_up_to_its_length():
    """With a cut from 2 s to 3 s, the span from 1 s to 3 s has an unbroken period of 0.9 s but none of 1.5 s."""
    fleet = _fleet()
    fleet.run(2)
    fleet.cut(["core-1", "core-2"], ["edge-1"])
    fleet.run(1)
    fleet.heal()
    was_reachable_for = fleet.reachability.was_ever_unbroken_for
    assert was_reachable_for(SECOND * 0.9, Path.STORE_RECORDS, "edge-1", SECOND, SECOND * 3)
    assert not was_reachable_for(SECOND * 1.5, Path.STORE_RECORDS, "edge-1", SECOND, SECOND * 3)
