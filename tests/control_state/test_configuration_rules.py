"""Tests how one state applies versioned configurations: base versions, repeats, parts and rejections."""

import msgspec

from sumachook.control_state import changes
from sumachook.control_state.accepted_versions import MAX_ACCEPTED_VERSIONS
from sumachook.control_state.results import Outcome, accepted, rejected, stale
from sumachook.control_state.state import State
from tests.configuration.test_services import route, services, whole


def _configured(version=1, **more):
    state = State()
    assert state.apply(1, changes.Configure("first", whole(version, **more), {}, False, 0)) == accepted(1)
    return state


def _part(version, base, items, removals=None, request="q"):
    return changes.Configure(request, {"version": version, **items}, removals or {}, True, base)


def _names(state):
    return [route.name for route in state.catalogue.http_routes]


def test_base_version_and_version_decide_acceptance():
    """With version 5 in force, a change with another base version is stale and one without a higher version is
    rejected; neither modifies the state.
    """
    state = _configured(5)
    before = state.snapshot()["doc"]
    result = state.apply(2, changes.Configure("a", whole(7), {}, False, 3))
    assert result == stale("version", "stale version: it is 5, not 3")
    assert state.apply(3, changes.Configure("b", whole(5, 2), {}, False, 5)) == rejected("version", "5 is not above 5")
    assert state.apply(4, changes.Configure("c", whole(4), {}, False, 5)).outcome is Outcome.REJECTED
    for version in (None, "6", 6.0, True, [6]):
        assert state.apply(5, changes.Configure("d", whole(version), {}, False, 5)) == rejected(
            "version", "a whole number is needed"
        )
    assert state.doc == before and state.version == 5 and state.generation == 1
    assert state.apply(6, changes.Configure("e", whole(70), {}, False, 5)) == accepted(2) and state.version == 70


def test_first_configuration_needs_base_version_zero():
    """Without a configuration in force, only base version 0 is accepted, and a part is rejected."""
    state = State()
    assert state.apply(1, changes.Configure("a", whole(3), {}, False, 1)).outcome is Outcome.STALE
    assert state.apply(2, _part(3, 0, {"services": services()})).outcome is Outcome.REJECTED and state.catalogue is None
    assert state.apply(3, changes.Configure("a", whole(3), {}, False, 0)) == accepted(1)


def test_repeated_content_is_acknowledged_again_under_any_request_id():
    """A repeat of an accepted configuration is acknowledged again after newer versions, and changes nothing.

    Other content with the same version is not acknowledged, nor is the same content with another base version.
    """
    state = _configured(1)
    second = _part(3, 1, {"httpRoutes": [route(9)]}, {"httpRoutes": ["r-0"]})
    assert state.apply(2, second) == accepted(2)
    assert state.apply(3, _part(4, 3, {"httpRoutes": [route(8)]})) == accepted(3)
    held = msgspec.json.encode(state.doc)
    assert state.apply(4, msgspec.structs.replace(second, request="other")) == accepted(3)
    shuffled = dict(reversed(list(whole(1).items())))
    assert state.apply(5, changes.Configure("again", shuffled, {}, False, 0)) == accepted(3)
    assert state.apply(6, _part(3, 1, {"httpRoutes": [route(9)]})).outcome is Outcome.STALE
    assert state.apply(7, changes.Configure("again", whole(1), {}, False, 4)).outcome is Outcome.REJECTED
    assert msgspec.json.encode(state.doc) == held and _names(state) == ["r-9", "r-8"]


def test_reused_request_id_with_other_content_is_not_acknowledged():
    """Of two different configurations with the same request id and base version, the first is accepted and the second
    is stale.
    """
    state = _configured(1)
    assert state.apply(2, _part(2, 1, {"httpRoutes": [route(1)]}, request="same")).outcome is Outcome.ACCEPTED
    assert state.apply(3, _part(2, 1, {"httpRoutes": [route(2)]}, request="same")).outcome is Outcome.STALE
    assert _names(state) == ["r-0", "r-1"]


def test_rejected_version_can_be_used_again_with_valid_content():
    """A configuration that is rejected for its content must not use up its version."""
    state = _configured(1)
    assert state.apply(2, _part(2, 1, {"httpRoutes": [route(1, timeout_ms=0)]})).outcome is Outcome.REJECTED
    assert state.apply(3, _part(2, 1, {"httpRoutes": [route(1)]})) == accepted(2)


def test_rejected_configuration_is_rejected_again_unchanged():
    """A rejected configuration must not be recorded as accepted, so a repeat of it is rejected as well."""
    state = _configured(1)
    wrong = _part(2, 1, {"httpRoutes": [route(1, timeout_ms=0)]})
    assert state.apply(2, wrong).outcome is Outcome.REJECTED and state.apply(3, wrong).outcome is Outcome.REJECTED
    assert state.accepted_versions.digests.keys() == {1} and state.version == 1


def test_part_replaces_items_of_the_same_name_as_a_whole():
    """An item of a part replaces the item of the same name and keeps none of its fields; removals of unknown names have
    no effect.
    """
    state = _configured(1, routes=3)
    changed = route(1, timeout_ms=9000, split=[{"service": "wuno96b", "weight": 1}])
    assert (
        state.apply(
            2, _part(2, 1, {"httpRoutes": [changed], "services": [{"name": "new"}]}, {"httpRoutes": ["r-0", "never"]})
        ).outcome
        is Outcome.ACCEPTED
    )
    assert state.doc["httpRoutes"] == [changed, route(2)] and [item["name"] for item in state.doc["services"]] == [
        "huvo11a",
        "wuno96b",
        "new",
    ]
    assert state.apply(3, _part(3, 2, {"services": [{"name": "huvo11a"}]})).outcome is Outcome.ACCEPTED and state.doc[
        "services"
    ][0] == {"name": "huvo11a"}
    assert state.apply(4, _part(4, 3, {"httpRoutes": [], "limits": {"idleMs": 5}})).outcome is Outcome.ACCEPTED
    assert (
        _names(state) == ["r-1", "r-2"]
        and state.catalogue.limits.idle_ms == 5
        and state.catalogue.limits.header_ms == 3000
    )
    assert (
        state.apply(5, _part(5, 4, {}, {"httpRoutes": ["r-1", "r-2"]})).outcome is Outcome.ACCEPTED
        and _names(state) == []
    )


def test_invalid_part_is_rejected_as_a_whole():
    """If an item of a part is invalid or conflicts with the configuration in force, nothing of the part is applied."""
    state = _configured(1, routes=2)
    before = msgspec.json.encode(state.doc)
    wrong = {
        "httpRoutes[0].split[1].service": ({"httpRoutes": [route(5)]}, {"services": ["wuno96b"]}),
        "httpRoutes[2].prefix": ({"httpRoutes": [route(5, prefix="/p0/")]}, {}),
        "httpRoutes[3].name": ({"httpRoutes": [route(5), route(5, prefix="/other/")]}, {}),
        "removals.services": ({"httpRoutes": [route(5)]}, {"services": "wuno96b"}),
        "removals.areas": ({"httpRoutes": [route(5)]}, {"areas": ["hall-a"]}),
        "httpRoutes": ({"httpRoutes": {"name": "r-5"}}, {}),
    }
    for path, (items, removals) in wrong.items():
        result = state.apply(2, _part(2, 1, items, removals))
        assert result.outcome is Outcome.REJECTED and result.issues[0].path == path, (path, result)
    assert msgspec.json.encode(state.doc) == before and state.generation == 1


def test_accepted_versions_are_bounded_and_part_of_the_snapshot():
    """The last 1,024 accepted versions are recognized, also by a state restored from a snapshot.

    Whether an older version was accepted is unknown: it is neither acknowledged nor rejected. After a snapshot without
    the record of accepted versions, that holds for every version up to the one in force.
    """
    state, again = _configured(1, routes=0), State()
    newest = MAX_ACCEPTED_VERSIONS + 2
    for version in range(2, newest + 1):
        assert state.apply(version, _part(version, version - 1, {})).outcome is Outcome.ACCEPTED
    again.restore(msgspec.json.decode(msgspec.json.encode(state.snapshot())))
    for each in (state, again):
        assert len(each.accepted_versions.digests) == MAX_ACCEPTED_VERSIONS
        assert (
            each.apply(9999, _part(3, 2, {})).outcome is Outcome.ACCEPTED
            and each.apply(9999, _part(2, 1, {})).outcome is Outcome.UNKNOWN
        )
        assert (
            each.apply(9999, _part(3, 2, {"httpRoutes": []})).outcome is Outcome.STALE
        )  # other content with a recorded version is not acknowledged
        assert (
            each.apply(9999, _part(2, newest, {})).outcome is Outcome.REJECTED
        )  # a change whose base is the version in force was never accepted
        assert (
            each.apply(9999, _part(newest + 1, 1, {})).outcome is Outcome.STALE
            and each.apply(9999, _part(2, 2, {})).outcome is Outcome.STALE
        )
    old = state.snapshot()
    del old["taken"]
    again.restore(old)
    assert again.accepted_versions.digests == {} and again.version == newest
    assert (
        again.apply(9999, _part(newest, newest - 1, {})).outcome is Outcome.UNKNOWN
        and again.apply(9999, _part(newest + 1, 0, {})).outcome is Outcome.STALE
    )


def test_evacuation_persists_across_configurations_and_can_be_repeated():
    """A zone stays evacuated when a whole document or a part is applied; a repeated evacuation is acknowledged."""
    state = _configured(1)
    assert (
        state.apply(2, changes.Evacuate("out-1", "hall-b")).outcome is Outcome.ACCEPTED
        and state.apply(3, changes.Evacuate("out-2", "hall-b")).outcome is Outcome.ACCEPTED
    )
    assert state.apply(
        4, changes.Configure("q", whole(2, 2), {}, False, 1)
    ).outcome is Outcome.ACCEPTED and not state.is_open("hall-b")
    assert state.apply(5, _part(3, 2, {"httpRoutes": [route(7)]})).outcome is Outcome.ACCEPTED and not state.is_open(
        "hall-b"
    )
    assert state.apply(6, changes.Restore("in-1", "hall-b")).outcome is Outcome.ACCEPTED and state.is_open("hall-b")
