"""Tests the types of change and their stored form."""

import json

import msgspec
import pytest

from sumachook.control_state import changes
from sumachook.transport.codec import pack_entry
from tests.compatibility.stored_fleet import plain, read_lines

STORED = read_lines("changes.jsonl")
FIXTURES = {
    "found": changes.FoundCluster({"core-1": "127.0.0.1:7001", "core-2": "127.0.0.1:7002", "core-3": "127.0.0.1:7003"}),
    "founded": changes.ClusterFounded(),
    "seat-in": changes.AddVoter("core-4", "127.0.0.1:7004"),
    "seat-replace": changes.ReplaceVoter("core-2", "core-5", "127.0.0.1:7005"),
    "seat-out": changes.RemoveVoter("core-2"),
    "apply": changes.ApplyDocument("r-1", {"name": "c", "areas": ["hall-a", "hall-b"]}, False, None),
    "apply in part": changes.ApplyDocument("r-2", {"routes": [{"name": "x", "target": "m"}]}, True, 1),
    "evacuate": changes.Evacuate("r-3", "hall-a"),
    "restore": changes.Restore("r-4", "hall-a"),
    "configure": changes.ConfigureWithDefaults(
        "r-5", {"version": 5, "name": "Ko\u0161ice"}, {}, False, 4, {"areas": ["hall-a"]}
    ),
    "configure in part": changes.Configure("r-6", {"version": 6}, {"httpRoutes": ["r-0"]}, True, 5),
    "claim": changes.ConfigureByDigest(
        "r-7", "0123456789abcdef0123456789abcdef", 5, 6, (("version", "6 is not above 6"),)
    ),
    "revise": changes.ConfigureByDifference(
        "r-8",
        "0123456789abcdef0123456789abcdef",
        6,
        7,
        {"httpRoutes": [[0, 1], [{"name": "r-9"}]]},
        "fedcba9876543210fedcba9876543210",
    ),
    "order": changes.OperatorCall("core-1-00c0ffee.3", 17, 41, changes.Evacuate("r-9", "hall-b")),
    "duty-fill": changes.AcquireRole("placer", "core-1", 3),
    "duty-vacate": changes.ReleaseRole("placer", 3),
    "servers": changes.UpdateServers(12, {"s-1": {"area": "hall-a", "memory": 24.0, "address": "127.0.0.1:9001"}}),
    "pairs": changes.PlaceReplicas(3, {"m-1": ("s-1", ""), "m-2": ("s-1", "s-2")}),
    "held": changes.UpdateLoadedModels(3, {"s-1": {"m-1": "ready"}, "s-2": None}),
}


def test_table_covers_every_stored_kind_of_change():
    """The table of this module must list exactly the kinds in changes.jsonl, or a stored format would go untested."""
    assert [kind for kind, _ in STORED] == list(FIXTURES)


@pytest.mark.parametrize("kind,packed", STORED)
def test_change_encodes_to_the_stored_tagged_array(kind, packed):
    """Each change must encode to exactly the bytes that an earlier release stored."""
    assert pack_entry(FIXTURES[kind]) == packed.encode()
    assert changes.tag_of(FIXTURES[kind]) == json.loads(packed)[0]


@pytest.mark.parametrize("kind,packed", STORED)
def test_stored_change_decodes_to_the_type_of_its_tag(kind, packed):
    """Stored bytes must decode to the type of their tag with the same values, and encode to the same bytes again."""
    change = changes.read_change(packed.encode())
    assert type(change) is type(FIXTURES[kind]) and plain(change) == plain(FIXTURES[kind])
    assert pack_entry(change) == packed.encode()


@pytest.mark.parametrize("values", [("no-such-change", 1), ("evacuate", "r-1"), ("founded", 1)])
def test_unknown_tag_or_field_count_raises_unknown_change_error(values):
    """Decoding an array whose tag or number of fields is unknown must raise UnknownChangeError."""
    with pytest.raises(changes.UnknownChangeError):
        changes.read_change(msgspec.json.encode(values))
