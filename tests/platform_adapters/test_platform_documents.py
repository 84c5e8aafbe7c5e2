"""Documents of the users' platform: what the product reads in them, and that they come back as they were written."""

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
    whole,
)


@pytest.mark.parametrize(
    "doc",
    [
        whole(),
        whole(routes=[]),
        {"version": 9},
        whole(routes=[{**ROUTE, "tenant": {"a": [1, None, 1.0]}, "split": 4, "extra": {"b": 2}}]),
        whole(
            services=[
                {
                    **SERVICES[0],
                    "colour": "red",
                    "coldMs": 5,
                    "engine": {**ENGINE, "models": [{**MODEL, "dtype": "f8", "loadMs": 3}], "kind": 2},
                }
            ]
        ),
        whole(limits={**LIMITS, "max-rate": 4}),
        whole(tenants=[{"name": "t"}], zones=["own"], extra=5, name="own"),
        whole(routes=[{**ROUTE, "service": "huvo11a"}]),
        whole(routes=[{**SINGLE, "weighted-split": None}]),
        whole(services=[{"name": "s", "cold-start-s": 2, "cold-per-s": 1}]),
    ],
)
def test_documents_come_back_as_they_were_written(doc):
    """Given samples of the protocol page, with unknown fields on every level and fields named as the product's own, what goes in
    comes out, to the letter of each number; and the product takes it if it is valid."""
    from sumachook.configuration.catalogue import read_catalogue

    ours = from_platform(doc, tuple(ZONES))
    back = to_platform(json.loads(json.dumps(ours)))
    assert json.dumps(back, sort_keys=True) == json.dumps(doc, sort_keys=True)
    if "services" in doc and len(doc["services"]) == 2:
        assert read_catalogue(ours)[1] == ()


def test_what_the_documents_say_is_what_the_product_reads():
    """Given the sample, kinds, times and sizes are the product's, in its units."""
    from sumachook.configuration.catalogue import read_catalogue

    catalogue, _ = read_catalogue(
        from_platform(
            whole(
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
