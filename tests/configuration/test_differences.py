"""A complete configuration with few changes is logged and fed to edges as a difference (docs/design/control-state.md)."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as strategies

from sumachook.control_state import changes
from sumachook.control_state.results import Outcome
from sumachook.control_state.state import State
from sumachook.transport.codec import pack_entry
from tests.configuration.test_services import route, whole
from tests.control_state.test_configuration_versions import _configure, _deployment


def _state(routes=200):
    state = State()
    assert state.apply(1, changes.Configure("q1", whole(1, routes), {}, False, 0)).outcome is Outcome.ACCEPTED
    return state


def _logged(change):
    """Returns the change as another node decodes it from its log."""
    return changes.read_change(pack_entry(change))


def _with_one_route_changed(document, version, **more):
    """Returns the complete document as an operator sends it, with one route changed."""
    document = msgspec.json.decode(msgspec.json.encode(document)) | {"version": version}
    document["httpRoutes"][version % len(document["httpRoutes"])] |= more
    return document


def _plain(document):
    return msgspec.json.decode(msgspec.json.encode(document))


def test_small_change_is_logged_as_a_difference_with_the_same_result():
    """Given a complete document that changes one route of 200, the log entry is a difference of less than 3 % of its size, applies to
    the same state, and is recognized as a repetition when the complete document is sent again."""
    state, other = _state(), _state()
    wanted = _with_one_route_changed(state.doc, 2, timeoutMs=77)
    change = changes.Configure("q2", wanted, {}, False, 1)
    entry = state.compact_form(change)
    assert (
        isinstance(entry, changes.ConfigureByDifference) and len(pack_entry(entry)) * 100 < len(pack_entry(change)) * 3
    )
    assert state.apply(2, _logged(entry)).outcome is Outcome.ACCEPTED
    assert other.apply(2, _logged(change)).outcome is Outcome.ACCEPTED
    assert _plain(state.doc) == _plain(other.doc) == wanted and state.catalogue == other.catalogue
    assert _plain(state.snapshot()) == _plain(other.snapshot())
    again = state.compact_form(changes.Configure("q9", wanted, {}, False, 1))
    assert (
        isinstance(again, changes.ConfigureByDigest)
        and state.apply(3, _logged(again)).outcome is Outcome.ACCEPTED
        and state.generation == 2
    )


def test_first_or_largely_changed_document_is_logged_completely():
    """Given no configuration in force, or one that the change replaces almost entirely, the change is logged as it is."""
    first = changes.Configure("q", whole(1, 3), {}, False, 0)
    assert State().compact_form(first) is first
    other = whole(2, 0) | {"httpRoutes": [route(number, timeoutMs=9) for number in range(300, 320)]}
    change = changes.Configure("q", other, {}, False, 1)
    assert _state(5).compact_form(change) is change


@pytest.mark.parametrize("corruption", ("base document", "digest", "runs"))
def test_difference_that_gives_another_document_changes_nothing(corruption):
    """Given a difference whose base changed under the same version, or that is corrupted, it is neither accepted nor
    rejected, and the state remains unchanged."""
    state = _state()
    entry = state.compact_form(
        changes.Configure("q2", _with_one_route_changed(state.doc, 2, timeoutMs=77), {}, False, 1)
    )
    if corruption == "base document":  # changed by a request without a version
        assert (
            state.apply(2, changes.ApplyDocument("r", {"httpRoutes": [route(5, timeoutMs=9)]}, True, None)).outcome
            is Outcome.ACCEPTED
        )
    elif corruption == "digest":
        entry = msgspec.structs.replace(entry, document_digest="0" * 64)
    else:
        difference = entry.difference | {"lists": {"httpRoutes": [[0, 999]]}}
        entry = msgspec.structs.replace(entry, difference=difference)
    before, generation = _plain(state.doc), state.generation
    assert state.apply(3, _logged(entry)).outcome is Outcome.UNKNOWN
    assert (
        _plain(state.doc) == before
        and state.generation == generation
        and not state.accepted_versions.contains(2, entry.digest)
    )
    again = state.compact_form(
        changes.Configure("q3", _with_one_route_changed(state.doc, 2, timeoutMs=77), {}, False, 1)
    )
    assert isinstance(again, changes.ConfigureByDifference)


def test_second_of_two_changes_on_one_base_is_stale():
    """Given two differences from one base, computed at two cores, the first delivered is accepted and the second is stale."""
    state = _state()
    first = state.compact_form(
        changes.Configure("a", _with_one_route_changed(state.doc, 2, timeoutMs=77), {}, False, 1)
    )
    second = state.compact_form(
        changes.Configure("b", _with_one_route_changed(state.doc, 3, timeoutMs=78), {}, False, 1)
    )
    assert (
        state.apply(2, _logged(first)).outcome is Outcome.ACCEPTED
        and state.apply(3, _logged(second)).outcome is Outcome.STALE
    )
    assert state.version == 2


STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 11),
        strategies.sampled_from(
            ({"timeoutMs": 5}, {"timeoutMs": 5.0}, {"timeoutMs": 0}, {"prefix": "/p3/"}, {"host": "other"})
        ),
        strategies.sampled_from(("alter", "drop", "add", "reverse")),
        strategies.booleans(),
    ),
    max_size=8,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(STEPS)
def test_any_sequence_of_documents_gives_the_same_state_as_differences_and_complete(steps):
    """Given random documents, some of them invalid, logging a compact form gives each node the same result, issues and
    state as logging the complete document."""
    state, other, number = _state(12), _state(12), 1
    for place, more, kind, is_far in steps:
        number += 1
        wanted = _plain(state.doc) | {"version": number}
        routes = wanted["httpRoutes"]
        if kind == "add":
            routes.append(route(40 + number, **more))
        elif kind == "drop" and routes:
            del routes[place % len(routes)]
        elif kind == "reverse":
            routes.reverse()
        elif routes:
            routes[place % len(routes)] |= more
        base = state.version + (5 if is_far else 0)
        change = changes.Configure(f"q{number}", wanted, {}, False, base)
        entry = state.compact_form(change)
        result, expected = state.apply(number, _logged(entry)), other.apply(number, _logged(change))
        assert result.truncated() == expected.truncated()
        assert _plain(state.snapshot()) == _plain(other.snapshot()) and state.catalogue == other.catalogue


def test_cores_and_edges_store_and_receive_only_the_difference():
    """Given 1,500 routes of which one is changed through each core in turn, no core stores more than 2 kB per change, and
    all edges receive it; after a kill of all cores and edges the last version is still in force."""
    deployment = _deployment(520)
    document = whole(6, 1500)
    assert _configure(deployment, "core-1", "whole", document, 5)[0] == 200
    sizes = {core.node: core.source.entries_bytes for core in deployment.machines("core")}
    for place, core in enumerate(("core-1", "core-2", "core-3")):
        document = _with_one_route_changed(document, 7 + place, timeoutMs=70 + place)
        status, answer = _configure(deployment, core, f"q{place}", document, 6 + place)
        assert status == 200 and answer["version"] == 7 + place
    deployment.run(1)
    assert {core.state.version for core in deployment.machines("core")} == {9}
    for core in deployment.machines("core"):
        assert core.source.entries_bytes - sizes[core.node] < 6000
    assert {msgspec.json.encode(edge.state.doc, order="sorted") for edge in deployment.machines("edge")} == {
        msgspec.json.encode(document, order="sorted")
    }
    for box in [box.name for box in deployment.boxes.values() if box.role in ("core", "edge")]:
        deployment.kill(box)
        deployment.start(box)
    assert deployment.run_until(lambda: {core.state.version for core in deployment.machines("core")} == {9}, 10)
    assert {msgspec.json.encode(core.state.doc, order="sorted") for core in deployment.machines("core")} == {
        msgspec.json.encode(document, order="sorted")
    }
