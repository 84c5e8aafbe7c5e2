"""Validation of tenants against the callers, routes and capacity of a catalogue."""

from sumachook.configuration.catalogue import read_catalogue


def test_each_issue_of_a_tenant_is_reported_by_path():
    """Given tenants with valid references and floors, no issue is reported; given invalid ones, each issue is, by its path."""
    doc = {
        "name": "c",
        "areas": ["a"],
        "lines": [{"name": "l"}],
        "services": [{"name": "s"}],
        "callers": [
            {"name": name, "key": f"{name}-key-key", "line": "l", "patience": 9.0} for name in ("shop", "audit")
        ],
        "httpRoutes": [
            {
                "name": "status",
                "host": "h",
                "prefix": "/",
                "kind": "once",
                "timeoutMs": 900,
                "split": [{"service": "s", "weight": 1}],
            }
        ],
        "tenants": [
            {"name": "shops", "callers": ["shop"], "httpRoutes": ["status"], "requestsPerS": 20.0},
            {
                "name": "auditors",
                "callers": ["audit"],
                "requestsPerS": 2.0,
                "tokensPerS": 900.0,
                "floor": 1.0,
                "overCeiling": "yield",
            },
        ],
        "capacity": {"requestsPerS": 30.0},
    }
    assert read_catalogue(doc)[1] == ()
    bad = {
        **doc,
        "tenants": [
            {**doc["tenants"][0], "callers": ["shop", "gone"], "floor": 1.5, "requestsPerS": 0, "colour": 1},
            {
                **doc["tenants"][1],
                "callers": ["audit", "shop"],
                "httpRoutes": ["status"],
                "tokensPerS": -4.0,
                "overCeiling": "sink",
            },
            {"name": "shops", "burstS": 0},
        ],
    }
    assert sorted(path for path, _ in read_catalogue(bad)[1]) == [
        "tenants[0].callers[1]",
        "tenants[0].colour",
        "tenants[0].floor",
        "tenants[0].requestsPerS",
        "tenants[1].callers[1]",
        "tenants[1].httpRoutes[0]",
        "tenants[1].overCeiling",
        "tenants[1].tokensPerS",
        "tenants[2]",
        "tenants[2].burstS",
        "tenants[2].name",
    ]
    low = {**doc, "capacity": {"requestsPerS": 11.9, "tokensPerS": 899.0}}
    assert read_catalogue(low)[1] == (
        ("capacity.requestsPerS", "the tenants' floors sum to 12, it is 11.9"),
        ("capacity.tokensPerS", "the tenants' floors sum to 900, it is 899"),
    )
