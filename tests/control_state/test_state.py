"""Tests the replicated state: repeated, concurrent and stale changes, and snapshots."""

import msgspec
import pytest

from sumachook.control_state import changes
from sumachook.control_state.results import Outcome, accepted
from sumachook.control_state.state import State


def _doc():
    return {
        "name": "c",
        "areas": ["a", "b"],
        "models": [{"name": "m", "memory": 4.0, "decodeRate": 50.0}],
        "lines": [{"name": "counter"}],
        "callers": [{"name": "clerk", "key": "clerk-key", "line": "counter", "patience": 9.0}],
    }


def test_repeated_stale_and_invalid_changes():
    """A repeat gets the first result; stale and invalid parts leave the state as it is."""
    state = State()
    assert state.apply(1, changes.ApplyDocument("r1", _doc(), False, None)) == accepted(1)
    assert state.apply(2, changes.ApplyDocument("r1", _doc(), False, None)) == accepted(1)
    assert state.apply(3, changes.ApplyDocument("r2", {"routes": [{"name": "x", "target": "m"}]}, True, 1)) == accepted(
        2
    )
    assert (
        state.apply(4, changes.ApplyDocument("r3", {"routes": [{"name": "y", "target": "m"}]}, True, 1)).outcome
        is Outcome.STALE
    )
    assert (
        state.apply(5, changes.ApplyDocument("r4", {"routes": [{"name": "y", "target": "n"}]}, True, None)).outcome
        is Outcome.REJECTED
    )
    assert [route.name for route in state.catalogue.routes] == ["x"] and state.generation == 2
    assert state.apply(6, changes.Evacuate("r5", "b")) == accepted(3) and not state.is_open("b")


def test_snapshot_restores_the_same_state():
    """A restored state equals the original; a server list compared with an older list is rejected."""
    state, again = State(), State()
    state.apply(1, changes.FoundCluster({"s": "x:1"}))
    state.apply(2, changes.ApplyDocument("r1", _doc(), False, None))
    state.apply(3, changes.UpdateServers(0, {"v": {"area": "a"}}))
    assert state.apply(4, changes.UpdateServers(0, {})).outcome is Outcome.REJECTED and state.servers_changed_at == 3
    again.restore(state.snapshot())
    assert again.snapshot() == state.snapshot() and again.catalogue == state.catalogue


def test_snapshot_is_not_modified_by_later_changes():
    """The log is truncated at a snapshot and the disk thread writes it later; it must not contain changes above its
    number.
    """
    state = State()
    state.apply(1, changes.UpdateServers(0, {"v": {"area": "a"}}))
    state.apply(2, changes.AcquireRole("placer", "s", 1))
    state.apply(3, changes.UpdateLoadedModels(1, {"v": {"m": "ready"}}))
    snapshot, before = state.snapshot(), msgspec.json.encode(state.snapshot())
    state.apply(4, changes.UpdateLoadedModels(1, {"v": None}))
    state.apply(5, changes.ReleaseRole("placer", 1))
    assert msgspec.json.encode(snapshot) == before


def test_change_that_fails_after_its_work_leaves_the_state_as_it_was():
    """Each kind of change is applied in a block that then raises: the state is the same as before, whatever the handler
    modified (a hole or a change applied twice, review case 1)."""
    state = State()
    state.apply(1, changes.FoundCluster({"s": "x:1"}))
    state.apply(2, changes.ApplyDocument("r1", _doc(), False, None))
    state.apply(3, changes.UpdateServers(0, {"v": {"area": "a"}}))
    state.apply(4, changes.AcquireRole("placer", "s", 1))
    state.apply(5, changes.UpdateLoadedModels(1, {"v": {"m": "ready"}}))
    state.apply(6, changes.Configure("r2", {**_doc(), "version": 3}, {}, False, 0))
    before = state.snapshot()
    for change in (
        changes.AddVoter("t", "y:1"),
        changes.ReplaceVoter("s", "t", "y:1"),
        changes.RemoveVoter("s"),
        changes.Configure("r3", {"version": 5}, {}, True, 3),
        changes.ApplyDocument("r4", {"routes": [{"name": "x", "target": "m"}]}, True, None),
        changes.Evacuate("r5", "b"),
        changes.UpdateServers(3, {"w": {"area": "b"}}),
        changes.PlaceReplicas(1, {"m": ("v", "")}),
        changes.UpdateLoadedModels(1, {"v": None}),
        changes.ReleaseRole("placer", 1),
        changes.AcquireRole("accountant", "s", 1),
    ):
        with pytest.raises(ZeroDivisionError), state.unchanged_on_failure():
            state.apply(7, change)
            assert state.snapshot() != before, change
            raise ZeroDivisionError
        assert state.snapshot() == before, change
    with pytest.raises(ZeroDivisionError), state.unchanged_on_failure():
        state.restore(State().snapshot())
        raise ZeroDivisionError
    assert state.snapshot() == before
    assert state.apply(7, changes.Evacuate("r6", "b")).outcome is Outcome.ACCEPTED
