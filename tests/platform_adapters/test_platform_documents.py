"""Tests the conversion of platform configuration documents to sumachook's format and back."""

import json

import pytest
from documents import from_platform, to_platform

from tests.platform_adapters.platform_fixtures import (
    ENGINE,
    LIMITS,
    MODEL,
    ROUTE,
    SERVICES,
    SINGLE,
    ZONES,
    sample_document,
)


@pytest.mark.parametrize(
    "doc",
    [
        sample_document(),
        sample_document(routes=[]),
        {"version": 9},
        sample_document(routes=[{**ROUTE, "tenant": {"a": [1, None, 1.0]}, "split": 4, "extra": {"b": 2}}]),
        sample_document(
            services=[
                {
                    **SERVICES[0],
                    "colour": "red",
                    "coldMs": 5,
                    "engine": {**ENGINE, "models": [{**MODEL, "dtype": "f8", "loadMs": 3}], "kind": 2},
                }
            ]
        ),
        sample_document(limits={**LIMITS, "max-rate": 4}),
        sample_document(tenants=[{"name": "t", "api-keys": ["k"]}], zones=["own"], extra=5, name="own"),
        sample_document(
            tenants=[
                {
                    "name": "t",
                    "api-keys": [],
                    "priority": 3,
                    "rate-per-s": 62,
                    "burst-size": 0,
                    "keys": 1,
                    "homes": ["a"],
                }
            ]
        ),
        sample_document(
            tenants=[{"name": "t", "api-keys": ["k", "l"], "rate-per-s": 0, "requestsPerS": 5, "callers": ["x"]}]
        ),
        sample_document(
            tenants=[{"name": "t", "api-keys": ["k"], "rate-per-s": 2.50, "burst-size": 1e3}],
            routes=[{**SINGLE, "public": True}],
        ),
        sample_document(tenants=[]),
        sample_document(routes=[{**ROUTE, "service": "huvo11a"}]),
        sample_document(routes=[{**SINGLE, "weighted-split": None}]),
        sample_document(routes=[{**SINGLE, "weighted-split": [{"service": "huvo11a", "weight": 1}]}]),
        sample_document(routes=[{**SINGLE, "weighted-split": [{"service": "wuno96b", "weight": 1}]}]),
        sample_document(services=[{"name": "s", "cold-start-s": 2, "cold-per-s": 1}]),
    ],
)
def test_documents_round_trip_unchanged(doc):
    """Samples of the protocol page are restored exactly, including number formats, unknown fields on every level and fields that
    have the same names as sumachook's own; the catalogue parser accepts those that are valid."""
    from sumachook.configuration.catalogue import read_catalogue

    ours = from_platform(doc, tuple(ZONES))
    back = to_platform(json.loads(json.dumps(ours)))
    assert json.dumps(back, sort_keys=True) == json.dumps(doc, sort_keys=True)
    if "services" in doc and len(doc["services"]) == 2:
        assert read_catalogue(ours)[1] == ()


def test_fields_and_units_are_converted():
    """Route kinds, times and sizes of the sample are converted to sumachook's fields and units."""
    from sumachook.configuration.catalogue import read_catalogue

    catalogue, _ = read_catalogue(
        from_platform(
            sample_document(
                routes=[ROUTE, SINGLE, {**ROUTE, "name": "r-3", "path-prefix": "/z/", "route-kind": "non_idempotent"}]
            ),
            tuple(ZONES),
        )
    )
    stream, single, once = catalogue.http_routes
    assert [each.kind for each in catalogue.http_routes] == ["stream", "repeatable", "once"] and once.resumable
    assert (stream.prefix, stream.timeout_ms, stream.target_ms, stream.tries, stream.pause_ms, stream.sticky) == (
        "/lohu930/",
        5000,
        500,
        2,
        600,
        True,
    )
    assert [(part.service, part.weight) for part in stream.split] == [("huvo11a", 90), ("wuno96b", 10)]
    assert [(part.service, part.weight) for part in single.split] == [("huvo11a", 1)]
    llm = catalogue.services[0]
    assert (
        llm.connections,
        llm.cold_ms,
        llm.cold_per_s,
        llm.engine.slots,
        llm.engine.memory_mb,
        llm.engine.adapter_places,
    ) == (240, 3000, 31, 32, 220000, 8)
    assert (llm.engine.models[0].load_ms, llm.engine.models[0].size_mb, llm.engine.loads_per_s) == (
        600,
        65099.99999999999,
        11,
    )
    assert (catalogue.limits.body_bytes, catalogue.limits.header_ms, catalogue.version, catalogue.zones) == (
        4194304,
        3000,
        7,
        tuple(ZONES),
    )


@pytest.mark.parametrize(
    ("tenants", "path"),
    [
        ([{"name": "t", "api-keys": ["k"]}, {"name": "u", "api-keys": ["l", "k"]}], "tenants[1].keys[1]"),
        ([{"name": "t", "api-keys": ["k"]}, {"name": "t", "api-keys": ["l"]}], "tenants[1].name"),
        ([{"name": "t"}], "tenants[0]"),
        ([{"api-keys": ["k"]}], "tenants[0].name"),
        ([{"name": "t", "api-keys": [""]}], "tenants[0].keys[0]"),
        ([{"name": "t", "api-keys": "k"}], "tenants[0].keys"),
        ([{"name": "t", "api-keys": [7]}], "tenants[0].keys[0]"),
        ([{"name": "t", "api-keys": ["k"], "rate-per-s": -1}], "tenants[0].requestsPerS"),
        ([{"name": "t", "api-keys": ["k"], "rate-per-s": True}], "tenants[0].requestsPerS"),
        ([{"name": "t", "api-keys": ["k"], "burst-size": "much"}], "tenants[0].burst"),
        ([{"name": "t", "api-keys": ["k"], "priority": 1.5}], "tenants[0].priority"),
        ([{"name": "a\r\nb", "api-keys": ["k"]}], "tenants[0].name"),
        ({"name": "t"}, "tenants"),
        (["t"], "tenants[0]"),
    ],
)
def test_invalid_tenants_are_rejected_with_their_path(tenants, path):
    """A key shared by two tenants, and missing, empty or invalid tenant fields, are rejected; no reason contains a key."""
    from sumachook.configuration.catalogue import read_catalogue

    catalogue, issues = read_catalogue(from_platform(sample_document(tenants=tenants), tuple(ZONES)))
    assert catalogue is None and [issue.path for issue in issues] == [path]
    assert not any("'k'" in issue.reason or '"k"' in issue.reason for issue in issues)


def test_tenant_quotas_are_converted():
    """Keys, priority and quota of tenants are converted; a rate of 0 means no limit, like a missing rate."""
    from sumachook.configuration.catalogue import read_catalogue
    from sumachook.quotas.terms import QuotaTerms

    tenants = [
        {"name": "east", "api-keys": ["k", "l"], "priority": 1, "rate-per-s": 62, "burst-size": 30},
        {"name": "west", "api-keys": ["m"], "rate-per-s": 0, "burst-size": 9},
        {"name": "gone", "api-keys": []},
    ]
    routes = [{**SINGLE, "public": True}, ROUTE]
    catalogue, _ = read_catalogue(from_platform(sample_document(tenants=tenants, routes=routes), tuple(ZONES)))
    east, west, gone = catalogue.tenants
    assert (east.keys, east.priority, east.requests_per_s) == (("k", "l"), 1, 62)
    assert west.requests_per_s is None and gone.is_known_by_keys and not gone.keys
    assert [route.public for route in catalogue.http_routes] == [True, False]
    terms = QuotaTerms.by_tenant(catalogue)
    assert list(terms) == ["east"] and (terms["east"].ceiling.requests, terms["east"].burst.requests) == (62, 30)
