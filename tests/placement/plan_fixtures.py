"""Builds a catalogue and model servers for the tests of plans and orders."""

import msgspec

from sumachook.configuration.catalogue import read_catalogue


def catalogue_and_servers(count=6, memory=40.0):
    """Returns a catalogue of 20 models with one adapter each, and servers spread over three zones."""
    zones = ["a", "b", "c"]
    doc = {
        "name": "c",
        "areas": zones,
        "lines": [{"name": "l"}],
        "callers": [],
        "busy": 6,
        "models": [{"name": f"m{place:02}", "memory": 4.0, "decodeRate": 50.0} for place in range(20)],
        "adapters": [{"name": f"x{place:02}", "model": f"m{place:02}"} for place in range(20)],
    }
    catalogue, faults = read_catalogue(msgspec.to_builtins(doc))
    assert faults == ()
    servers = {
        f"s{place}": {
            "kind": "model",
            "area": zones[place % 3],
            "memory": memory,
            "places": 4,
            "slots": 4,
            "leaving": False,
        }
        for place in range(count)
    }
    return catalogue, servers
