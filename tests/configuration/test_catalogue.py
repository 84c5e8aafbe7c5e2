"""Validation of complete catalogues reports every issue by its path, for any document."""

from random import Random

from sumachook.configuration.catalogue import merge, read_catalogue


def _example():
    return {
        "name": "c",
        "areas": ["a"],
        "models": [{"name": "m", "memory": 4.0, "decodeRate": 50.0}],
        "lines": [{"name": "counter"}],
        "callers": [{"name": "clerk", "key": "clerk-key", "line": "counter", "patience": 9.0}],
    }


def test_every_issue_is_reported_with_its_path():
    """Given a valid catalogue, no issue is reported; given an invalid one, the path of each issue is, in order."""
    assert read_catalogue(_example())[1] == ()
    doc = _example() | {
        "colour": 1,
        "adapters": [{"name": "x", "model": 3, "memory": -1.0}],
        "store": {"pace": "fast"},
        "routes": [{"name": "r", "target": "gone"}],
    }
    doc["callers"] = [{"name": "clerk", "key": "clerk-key", "line": "counter", "patience": -2.0}]
    assert [path for path, _ in read_catalogue(doc)[1]] == [
        "colour",
        "callers[0].patience",
        "adapters[0].model",
        "adapters[0].memory",
        "store.pace",
        "routes[0].target",
    ]


def test_random_documents_never_raise_in_validation_or_merge():
    """Given random invalid documents, validation and merge report issues and never raise: each node validates every change,
    so an exception would stop all of them."""
    random = Random(5)
    invalid_values = (
        None,
        True,
        -1,
        1e308,
        "",
        "x" * 99,
        [],
        [[]],
        {},
        {"name": []},
        [{"name": {}}],
        {"a": {"b": [1]}},
        [None, 3, {"name": None}],
    )

    def corrupt(value, depth=0):
        if random.random() < 0.04:
            return random.choice(invalid_values)
        if isinstance(value, dict):
            return {name: corrupt(item, depth + 1) for name, item in value.items() if random.random() < 0.99}
        if isinstance(value, list):
            return [corrupt(item, depth + 1) for item in value]
        return value

    whole = _example() | {
        "adapters": [{"name": "x", "model": "m"}],
        "routes": [{"name": "r", "target": "m"}],
        "policies": {"hold": "True"},
    }
    judged = {True: 0, False: 0}
    for _ in range(2000):
        doc = corrupt(whole)
        for wanted in (doc, merge(whole, doc) if isinstance(doc, dict) else doc):
            catalogue, found_issues = read_catalogue(wanted)
            assert (catalogue is None) == bool(found_issues)
            judged[catalogue is None] += 1
    assert min(judged.values()) > 50


def test_unknown_references_duplicates_and_too_long_lists_are_refused():
    """Given references to unknown names, duplicate names and a list that is too long, the path of each issue is reported."""
    doc = _example()
    doc["callers"].append({"name": "clerk", "key": "clerk-key", "line": "nowhere", "patience": 1.0})
    doc["adapters"] = [{"name": "x", "model": "gone"}]
    doc["policies"], doc["store"] = {"hold": "patience +"}, {"burst": 3.0}
    paths = [path for path, _ in read_catalogue(doc)[1]]
    assert paths == [
        "callers[1].name",
        "adapters[0].model",
        "callers[1].line",
        "callers[1].key",
        "models[0].memory",
        "policies.hold",
    ]
    doc = _example() | {"routes": [{"name": f"r{place}", "target": "m"} for place in range(5001)]}
    assert read_catalogue(doc)[1] == (("routes", "5001 entries, at most 5000"),)
    assert read_catalogue([])[1][0][0] == "$"
