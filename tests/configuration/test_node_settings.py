"""Validation of the settings of a node process."""

from sumachook.configuration.node_settings import read_node_settings


def test_invalid_settings_are_reported_by_path():
    """Given invalid settings of a core, the path of each issue is reported; valid settings of an edge are accepted."""
    doc = {
        "node": "c1",
        "address": "127.0.0.1:1",
        "door": "127.0.0.1:1",
        "area": "a",
        "seeds": ["x:1"],
        "founding": ["127.0.0.1:1"],
    }
    assert [path for path, _ in read_node_settings(doc, "core")[1]] == ["seeds[0]", "door", "data", "founding"]
    good = doc | {"door": "127.0.0.1:2", "seeds": ["127.0.0.1:1"], "founding": []}
    assert read_node_settings(good, "edge")[1] == ()
