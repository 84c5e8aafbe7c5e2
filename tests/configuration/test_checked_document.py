"""The incremental check of a changed configuration gives the results of the complete one (docs/design/control-state.md, docs/design/forwarding.md)."""

import copy
from time import process_time

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as strategies

from sumachook.configuration.catalogue import read_catalogue
from sumachook.configuration.checked_document import check_document, replace_in, revise_document
from sumachook.configuration.difference import (
    DifferenceError,
    apply_difference,
    difference_between,
    document_digest,
    is_worthwhile,
)
from sumachook.configuration.part import replace_named
from tests.configuration.test_services import route, services, whole

ROUTES, SERVICES = "httpRoutes", "services"


def _document_with_all_kinds():
    """Returns a document with an item of each kind that refers to others."""
    callers = [
        {"name": f"caller-{number}", "key": f"key-of-{number}-", "line": "counter", "patience": 9.0}
        for number in range(3)
    ]
    return whole(1, 6) | {
        "models": [{"name": "m", "memory": 4.0, "decodeRate": 50.0}, {"name": "n", "memory": 8.0, "decodeRate": 50.0}],
        "adapters": [{"name": "a", "model": "m"}],
        "routes": [{"name": "alias", "target": "a"}],
        "lines": [{"name": "counter"}],
        "callers": callers,
        "tenants": [{"name": "t", "callers": ["caller-1"], "httpRoutes": ["r-1"], "requestsPerS": 20.0}],
        "capacity": {"requestsPerS": 30.0},
        "policies": {"hold": "True"},
    }


def _copy(document):
    """Returns a copy without shared objects, as decoded from a request body or a log entry."""
    return msgspec.json.decode(msgspec.json.encode(document))


NUMBERS = strategies.integers(0, 8)
WEIGHTS = strategies.sampled_from((0, 0.0, 1, 5, True, -1, "many"))
SPLITS = strategies.lists(
    strategies.fixed_dictionaries(
        {"service": strategies.sampled_from(("huvo11a", "wuno96b", "gone", "new")), "weight": WEIGHTS}
    ),
    max_size=2,
)
ROUTE_EDITS = strategies.fixed_dictionaries(
    {},
    optional={
        "name": strategies.sampled_from(("r-1", "r-2", "r-7", 3)),
        "prefix": strategies.sampled_from(("/p1/", "/p2/", "/q/", "bad")),
        "host": strategies.sampled_from(("ficu95.example", "FICU95.example", "other", None)),
        "split": SPLITS,
        "timeoutMs": strategies.sampled_from((1, 1.0, True, 0, 4000)),
        "colour": strategies.just(1),
    },
)
ITEMS = {
    ROUTES: strategies.builds(lambda number, edits: route(number, **edits), NUMBERS, ROUTE_EDITS),
    SERVICES: strategies.sampled_from(
        (
            *services(3),
            *services(0),
            {"name": "new"},
            {"name": "new", "connections": 0},
            services(1)[0]
            | {"engine": {"slots": 1, "memoryMb": 1.0, "models": [{"name": "x", "sizeMb": 1.0, "loadMs": 1}] * 2}},
        )
    ),
    "models": strategies.builds(
        lambda name, memory: {"name": name, "memory": memory, "decodeRate": 50.0},
        strategies.sampled_from("mnao"),
        strategies.sampled_from((4, 4.0, True, 80.0, -1)),
    ),
    "adapters": strategies.builds(
        lambda name, model: {"name": name, "model": model},
        strategies.sampled_from("abm"),
        strategies.sampled_from("mnx"),
    ),
    "routes": strategies.builds(
        lambda name, target: {"name": name, "target": target},
        strategies.sampled_from(("alias", "m", "z")),
        strategies.sampled_from("amx"),
    ),
    "lines": strategies.builds(lambda name: {"name": name}, strategies.sampled_from(("counter", "second"))),
    "callers": strategies.builds(
        lambda number, key, line: {"name": f"caller-{number}", "key": f"key-of-{key}-", "line": line, "patience": 9.0},
        NUMBERS,
        NUMBERS,
        strategies.sampled_from(("counter", "second")),
    ),
    "tenants": strategies.builds(
        lambda name, caller, served, rate: {
            "name": name,
            "callers": [caller],
            "httpRoutes": [served],
            "requestsPerS": rate,
        },
        strategies.sampled_from("tu"),
        strategies.sampled_from(("caller-0", "caller-9")),
        strategies.sampled_from(("r-1", "r-4", "r-8")),
        strategies.sampled_from((2.0, 30, 200.0)),
    ),
}
FIELD_VALUES = {
    "areas": strategies.sampled_from((["hall-a"], [], ["hall-a", "hall-a"], 3)),
    "limits": strategies.sampled_from(({}, {"bodyBytes": 5}, {"bodyBytes": 0})),
    "capacity": strategies.sampled_from(({}, {"requestsPerS": 5.0}, {"requestsPerS": 500})),
    "policies": strategies.sampled_from(({}, {"hold": "patience +"})),
    "store": strategies.sampled_from(({}, {"burst": 5.0}, {"pace": "fast"})),
    "extra": strategies.sampled_from(({}, {"note": 1})),
    "busy": strategies.sampled_from((1, True, -1)),
    "unknown": strategies.just(1),
    ROUTES: strategies.sampled_from((None, [None], [[]], {})),
}


SERVED = strategies.sampled_from(("huvo11a", "wuno96b", "gone"))
ALTERED_VALUES = {  # by field: the new values of an altered item, valid or not
    "name": strategies.sampled_from(("r-1", "r-2", "r-7", "m", "a", "caller-0", 3)),
    "prefix": strategies.sampled_from(("/p1/", "/p2/", "/q/", "bad")),
    "host": strategies.sampled_from(("ficu95.example", "FICU95.example", "other", None)),
    "split": SPLITS,
    "timeoutMs": strategies.sampled_from((1, 1.0, True, 0)),
    "tries": strategies.sampled_from((1, 1.0, True)),
    "connections": strategies.sampled_from((1, True, 0)),
    "memory": strategies.sampled_from((1, 1.0, True, 80.0)),
    "model": strategies.sampled_from("mnx"),
    "target": strategies.sampled_from("amx"),
    "line": strategies.sampled_from(("counter", "second")),
    "key": strategies.sampled_from(("key-of-0-", "key-of-9-")),
    "colour": strategies.just(1),
    "callers": strategies.sampled_from((["caller-0"], ["caller-9"])),
    "httpRoutes": strategies.sampled_from((["r-1"], ["r-4"], ["r-8"])),
    "requestsPerS": strategies.sampled_from((1, 1.0, True, 200.0)),
    "extra": strategies.sampled_from(({}, {"note": 1}, {"note": True})),
}


def _random_alteration(choose, document):
    """Returns a partial change that alters one field of one existing item."""
    part = choose(strategies.sampled_from([part for part in ITEMS if document.get(part)]))
    item = choose(strategies.sampled_from(list(document[part])))
    field = choose(
        strategies.sampled_from(
            [field for field in ALTERED_VALUES if field in item or field in ("tries", "extra", "colour")]
        )
    )
    return {part: [item | {field: choose(ALTERED_VALUES[field])}]}


def _random_change(choose, document):
    """Returns a random partial change and its removals."""
    kind = choose(strategies.sampled_from(("alter", "alter", "alter", "add", "field", "remove", "mixed")))
    part = _random_alteration(choose, document) if kind in ("alter", "mixed") else {}
    if kind in ("add", "mixed"):
        field = choose(strategies.sampled_from(sorted(ITEMS)))
        part[field] = part.get(field, []) + choose(strategies.lists(ITEMS[field], min_size=1, max_size=2))
    if kind == "field":
        field = choose(strategies.sampled_from(sorted(FIELD_VALUES)))
        part[field] = choose(FIELD_VALUES[field])
    if kind not in ("remove", "mixed"):
        return part, {}
    names = choose(
        strategies.lists(
            strategies.sampled_from(("r-0", "r-1", "r-3", "wuno96b", "huvo11a", "n", "a", "alias", "caller-1", "t")),
            max_size=2,
        )
    )
    return part, dict.fromkeys(ITEMS, names) if names else {}


@settings(max_examples=250, deadline=None, derandomize=True)
@given(strategies.data())
def test_any_sequence_of_changes_gives_the_results_of_complete_checks(data):
    """Given random changes, partial or complete and reordered, the incremental check gives the same result, issues,
    catalogue and route table as the complete check, and modifies neither document."""
    base, _ = check_document(_document_with_all_kinds())
    for version in range(2, 2 + data.draw(strategies.integers(1, 8))):
        part, removals = _random_change(data.draw, base.document)
        wanted = replace_named(base.document, part | {"version": version}, removals)
        assert replace_in(base, part | {"version": version}, removals) == wanted
        if data.draw(strategies.booleans()):
            wanted = _copy(wanted)
            if isinstance(wanted.get(ROUTES), list) and data.draw(strategies.booleans()):
                wanted[ROUTES] = data.draw(strategies.permutations(wanted[ROUTES]))
        base_before, wanted_before = copy.deepcopy(base), _copy(wanted)
        revised, found_issues = revise_document(base, wanted)
        assert base == base_before, "the document in force was changed"
        assert _copy(wanted) == wanted_before, "the operator's document was changed"
        assert (read_catalogue(_copy(wanted)), found_issues) == (
            (revised and revised.catalogue, found_issues),
            found_issues,
        )
        if revised is not None:
            again, _ = check_document(_copy(wanted))
            assert _copy(revised.document) == _copy(wanted) and revised.catalogue == again.catalogue
            assert revised.route_by_match == again.route_by_match
            assert {part: items.index_by_name for part, items in revised.items.items()} == {
                part: items.index_by_name for part, items in again.items.items()
            }
            difference = _copy(difference_between(base, revised))
            restored = apply_difference(base, difference)
            assert restored == revised.document and document_digest(restored) == document_digest(_copy(wanted))
            base = revised


def test_small_change_of_a_large_document_gives_a_short_difference():
    """Given 2,600 routes of which one is changed, one removed and one added, the difference contains only these and restores
    the complete document."""
    base, _ = check_document(whole(1, 2600))
    wanted = _copy(base.document) | {"version": 2}
    wanted[ROUTES][7] |= {"timeoutMs": 77}
    del wanted[ROUTES][100]
    wanted[ROUTES].append(route(9000))
    revised, _ = revise_document(base, _copy(wanted))
    difference = difference_between(base, revised)
    assert difference["lists"] == {ROUTES: [[0, 7], wanted[ROUTES][7], [8, 92], [101, 2499], route(9000)]}
    assert (
        difference["fields"] == {"version": 2}
        and is_worthwhile(difference, wanted)
        and len(msgspec.json.encode(difference)) < 600
    )
    assert _copy(apply_difference(base, difference)) == wanted
    reversed_routes = _copy(base.document)
    reversed_routes[ROUTES].reverse()
    revised, _ = revise_document(base, reversed_routes)
    assert _copy(apply_difference(base, difference_between(base, revised))) == _copy(reversed_routes)


@pytest.mark.parametrize(
    "wrong",
    (
        {},
        {"fields": {}, "absent": [], "lists": {ROUTES: [[0, 999]]}},
        {"fields": {}, "absent": [], "lists": {ROUTES: [[-1, 2]]}},
        {"fields": {}, "absent": [], "lists": {"areas": [[0, 1]]}},
        {"fields": {}, "absent": [], "lists": {ROUTES: [3]}},
        {"fields": None, "absent": [], "lists": {}},
    ),
)
def test_difference_that_does_not_match_the_base_raises(wrong):
    """Given a malformed difference, or one that refers to items that do not exist, DifferenceError is raised."""
    base, _ = check_document(whole(1, 5))
    with pytest.raises(DifferenceError):
        apply_difference(base, wrong)


def test_invalid_item_is_refused_with_the_reason_of_the_complete_check():
    """Given changes that duplicate a match, remove a service in use, duplicate a name or have a value of a wrong type, each
    is refused with the issues of the complete check."""
    base, _ = check_document(whole(1, 50))
    for part, removals in (
        ({ROUTES: [route(90, prefix="/p7/")]}, {}),
        ({}, {SERVICES: ["wuno96b"]}),
        ({ROUTES: [route(3, tries=True)]}, {}),
        ({ROUTES: [route(8), route(8)]}, {}),
        ({ROUTES: [route(3, host=3)]}, {}),
    ):
        wanted = replace_named(base.document, part, removals)
        assert revise_document(base, wanted) == (None, read_catalogue(wanted)[1]) and read_catalogue(wanted)[1]


def test_true_in_place_of_one_is_refused_like_in_the_complete_check():
    """Given a route with `tries` 1 in force, a change to true is refused; 1.0, which counts as an integer, is accepted."""
    base, _ = check_document(whole(1, 5) | {ROUTES: [route(0), route(1, tries=1)]})
    for tries in (True, 1.0):
        wanted = replace_in(base, {ROUTES: [route(1, tries=tries)]}, {})
        assert revise_document(base, wanted)[1] == read_catalogue(wanted)[1]
    assert read_catalogue(replace_in(base, {ROUTES: [route(1, tries=True)]}, {}))[1] != ()


def test_two_routes_may_exchange_their_prefixes():
    """Given two routes that exchange their prefixes in one change, it is valid, and the route table is updated."""
    base, _ = check_document(whole(1, 5))
    revised, found_issues = revise_document(
        base, replace_named(base.document, {ROUTES: [route(1, prefix="/p2/"), route(2, prefix="/p1/")]}, {})
    )
    assert found_issues == () and revised.route_by_match[("ficu95.example", "/p2/")].name == "r-1"
    assert len(revised.route_by_match) == 5


def test_changing_one_route_of_thousands_costs_a_fraction_of_a_complete_check():
    """Given 2,600 routes, thirty changes of one route each take less processor time than ten complete checks."""
    base, _ = check_document(whole(1, 2600))
    start = process_time()
    for number in range(30):
        wanted = replace_in(base, {ROUTES: [route(number, timeout_ms=77)]}, {})
        base, _ = revise_document(base, wanted)
    changes, start = process_time() - start, process_time()
    for _ in range(10):
        read_catalogue(base.document)
    assert changes < process_time() - start
