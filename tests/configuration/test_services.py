"""Validation of services, forwarding routes and client limits in a catalogue (docs/design/forwarding.md)."""

import msgspec

from sumachook.configuration.catalogue import read_catalogue
from sumachook.configuration.http_route import HttpRoute
from sumachook.configuration.limits import Limits
from sumachook.control_state import changes
from sumachook.control_state.results import Outcome, accepted
from sumachook.control_state.state import State
from tests.deployment_fixtures import json_fields


def route(number=0, **more):
    return {
        "name": f"r-{number}",
        "host": "ficu95.example",
        "prefix": f"/p{number}/",
        "kind": "stream",
        "timeoutMs": 5000,
        "split": [{"service": "huvo11a", "weight": 90}, {"service": "wuno96b", "weight": 10}],
        **json_fields(more),
    }


def models(count):
    return [
        {"name": f"base{number}", "sizeMb": 65099.99999999999, "loadMs": 600, "adapters": 30, "adapterMb": 12.0}
        for number in range(count)
    ]


def services(count=2):
    engine = {"slots": 32, "memoryMb": 220000.0, "adapterPlaces": 8, "loadsPerS": 11.0, "models": models(count)}
    return [
        {"name": "huvo11a", "connections": 240, "coldMs": 3000, "coldPerS": 31.0, "engine": engine},
        {"name": "wuno96b"},
    ]


def whole(version=1, routes=1, **more):
    """Returns a catalogue document with only services and routes."""
    return {
        "name": "c",
        "areas": ["hall-a", "hall-b", "hall-c"],
        "version": version,
        "services": services(),
        "httpRoutes": [route(number) for number in range(routes)],
        **more,
    }


def _paths(doc):
    catalogue, found_issues = read_catalogue(doc)
    assert (catalogue is None) == bool(found_issues)
    return [path for path, _ in found_issues]


def test_catalogue_of_services_alone_is_valid():
    """Given services and routes without models, queues or callers, the catalogue is valid, and omitted fields have defaults."""
    catalogue, found_issues = read_catalogue(whole())
    assert found_issues == () and catalogue.models == catalogue.lines == catalogue.callers == ()
    (one,) = catalogue.http_routes
    assert (
        one == HttpRoute("r-0", "ficu95.example", "/p0/", "stream", 5000.0, one.split)
        and one.tries == 1
        and one.pause_ms == 0
    )
    assert [split.weight for split in one.split] == [90.0, 10.0] and catalogue.limits == Limits()
    assert catalogue.services[1].engine is None and catalogue.services[1].health_path == "/health"
    assert catalogue.services[0].engine.models[1].adapters == 30 and catalogue.version == 1


def test_each_invalid_field_is_refused_by_its_path():
    """Given one invalid field at a time, validation reports its path and no other."""

    def split(*pairs):
        return [{"service": service, "weight": weight} for service, weight in pairs]

    wrong = {
        "httpRoutes[1].split[0].service": [route(0), route(1, split=split(("gone", 1)))],
        "httpRoutes[1].prefix": [route(0), route(1, prefix="/p0/", host="FICU95.example")],
        "httpRoutes[0].split": [route(0, split=split(("huvo11a", 0), ("wuno96b", 0.0)))],
        "httpRoutes[0].timeoutMs": [route(0, timeout_ms=0)],
        "httpRoutes[1].name": [route(0), route(1, name="r-0")],
        "httpRoutes[0].kind": [route(0, kind="often")],
        "httpRoutes[0].priority": [route(0, priority=10)],
        "httpRoutes[0].tries": [route(0, tries=0)],
        "httpRoutes[0].split[0].weight": [route(0, split=split(("huvo11a", -1), ("wuno96b", 2)))],
        "httpRoutes[0].host": [{field: value for field, value in route(0).items() if field != "host"}],
        "httpRoutes[0].colour": [route(0, colour=1)],
    }
    for path, routes in wrong.items():
        assert _paths(whole() | {"httpRoutes": routes}) == [path]
    assert _paths(whole() | {"httpRoutes": [route(0, split=[])]}) == ["httpRoutes[0].split"]
    for prefix in ("p0/", "/p0", "", "//p0"):
        assert _paths(whole() | {"httpRoutes": [route(0, prefix=prefix)]}) == ["httpRoutes[0].prefix"]
    twice = services()
    twice[0]["engine"]["models"].append(twice[0]["engine"]["models"][0])
    assert _paths(whole() | {"services": twice}) == ["services[0].engine.models[2].name"]
    assert _paths(whole() | {"services": services() + [{"name": "wuno96b"}]}) == ["services[2].name"]
    assert _paths(whole() | {"limits": {"headerBytes": 0, "idleMs": "long"}}) == ["limits.headerBytes", "limits.idleMs"]
    assert _paths(whole() | {"version": -1}) == ["version"]


def test_numbers_that_are_not_finite_are_refused():
    """Given NaN, infinity or an integer beyond the float range as a time or weight, validation refuses it."""
    for value in (float("nan"), float("inf"), 10**400):
        assert _paths(whole() | {"httpRoutes": [route(0, timeout_ms=value)]}) == ["httpRoutes[0].timeoutMs"]
        assert _paths(whole() | {"httpRoutes": [route(0, split=[{"service": "huvo11a", "weight": value}])]}) == [
            "httpRoutes[0].split[0].weight"
        ]


def test_too_many_services_or_routes_are_refused():
    """Given more services or routes than allowed, the list is refused before its items are validated."""
    assert read_catalogue(whole() | {"services": [{"name": f"s{number}"} for number in range(65)]})[1] == (
        ("services", "65 entries, at most 64"),
    )
    assert read_catalogue(whole() | {"httpRoutes": [{}] * 20001})[1] == (
        ("httpRoutes", "20001 entries, at most 20000"),
    )


def test_all_issues_among_many_routes_are_reported():
    """Given 1,500 routes of which every tenth is invalid, the path of each invalid one is reported in order, and no other."""
    routes = [route(number, timeout_ms=0) if number % 10 == 0 else route(number) for number in range(1500)]
    assert _paths(whole() | {"httpRoutes": routes}) == [
        f"httpRoutes[{number}].timeoutMs" for number in range(0, 1500, 10)
    ]


def test_document_is_returned_as_it_was_written():
    """Given integers, fractions and uninterpreted fields in `extra`, the document in the state encodes to the same JSON,
    also after a restore from a snapshot."""
    doc = whole() | {"extra": {"note": [1, 1.0, None]}, "limits": {"headerMs": 3000, "extra": {"later": {"a": 1}}}}
    doc["httpRoutes"][0]["extra"] = {"colour": "red", "depth": 2}
    state, again = State(), State()
    assert state.apply(1, changes.Configure("q", doc, {}, False, 0)) == accepted(1)
    again.restore(msgspec.json.decode(msgspec.json.encode(state.snapshot())))
    for each in (state, again):
        assert msgspec.json.encode(each.doc) == msgspec.json.encode(doc)


def test_random_services_never_raise_in_validation():
    """Given random invalid documents, complete or partial, they are accepted or rejected with issues and never raise."""
    from random import Random

    random = Random(6)
    invalid_values = (
        None,
        True,
        -1,
        1e308,
        10**400,
        "",
        "x" * 999,
        [],
        [[]],
        {},
        {"name": []},
        [{"name": {}}],
        [None, 3, {"name": None}],
    )

    def corrupt(value):
        if random.random() < 0.03:
            return random.choice(invalid_values)
        if isinstance(value, dict):
            return {name: corrupt(item) for name, item in value.items() if random.random() < 0.99}
        if isinstance(value, list):
            return [corrupt(item) for item in value]
        return value

    results = {Outcome.ACCEPTED: 0, Outcome.REJECTED: 0}
    for _ in range(1500):
        state = State()
        state.apply(1, changes.Configure("q", whole(), {}, False, 0))
        before = msgspec.json.encode(state.doc)
        part = corrupt(
            {"version": 2, "services": services(), "httpRoutes": [route(0), route(1)], "limits": {"headerMs": 5}}
        )
        removals = corrupt({"services": ["gone"], "httpRoutes": ["r-0"]})
        result = state.apply(2, changes.Configure("p", part, removals, True, 1))
        results[result.outcome] += 1
        assert result.outcome is Outcome.ACCEPTED or (msgspec.json.encode(state.doc) == before and result.issues)
    assert min(results.values()) > 50
