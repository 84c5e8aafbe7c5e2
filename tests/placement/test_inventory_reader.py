"""Tests of the inventory reader: what it accepts from the platform's server list, and which core proposes it."""

from datetime import timedelta

import msgspec

from sumachook.control_state.changes import UpdateServers
from sumachook.control_state.effects import ProposeChange
from sumachook.control_state.state import State
from sumachook.host.effects import Log
from sumachook.host.events import ResponseReceived
from sumachook.placement.call_ids import INVENTORY_READER, InventoryCallId
from sumachook.placement.effects import BroadcastToEdges
from sumachook.placement.events import InventoryTick
from sumachook.placement.inventory_reader import InventoryReader
from sumachook.placement.messages import ServersLeaving


def _reader_and_items():
    """Returns a reader on the leader, the entries of five servers, and a function that passes a list to the reader."""
    state = State()
    server = {
        "kind": "model",
        "address": "127.0.0.1:9",
        "area": "a",
        "memory": 8.0,
        "places": 1,
        "slots": 2,
        "leaving": False,
    }
    state.apply(1, ("servers", 0, {f"s{place}": dict(server) for place in range(5)}))
    inventory_reader = InventoryReader(state, "127.0.0.1:1", timedelta(0))
    inventory_reader.take(InventoryTick(True, True), timedelta(0))

    def read(items, now, basis=1):
        call_id = InventoryCallId(INVENTORY_READER, basis, 1)
        body = msgspec.json.encode({"servers": items})
        return inventory_reader.take(ResponseReceived(call_id, 200, {}, body), now)

    return inventory_reader, [{"name": name, **server} for name in state.servers], read


def test_mass_removal_is_accepted_after_a_delay_and_leaving_servers_at_once():
    """Servers missing from a list that lacks most of them are kept for ten seconds; a leaving server is announced to
    the edges and proposed at once."""
    inventory_reader, items, read = _reader_and_items()
    second = timedelta(seconds=1)
    assert read(items, second) == []
    out = read([{**items[0], "leaving": True}], second * 2)
    assert [type(effect) for effect in out] == [Log, BroadcastToEdges, ProposeChange]
    assert out[1] == BroadcastToEdges(ServersLeaving(("s0",)))
    proposed = out[2].change.servers
    assert len(proposed) == 5 and proposed["s0"]["leaving"]
    assert len(read([], second * 3)) == 0
    assert read([], second * 12)[-1] == ProposeChange(UpdateServers(1, {}))


def test_invalid_and_duplicate_entries_change_nothing_but_may_mark_a_server_as_leaving():
    """Invalid and duplicate entries leave the known servers unchanged, except that an invalid one may mark its server
    as leaving."""
    inventory_reader, items, read = _reader_and_items()
    junk = [
        None,
        3,
        {"name": "s1", "kind": "cake", "leaving": True},
        {**items[2], "address": "host"},
        {**items[3], "memory": 1.0},
    ]
    out = read([*items[:1], *items[3:], *junk], timedelta(seconds=1))
    (change,) = [effect.change for effect in out if isinstance(effect, ProposeChange)]
    servers = change.servers
    assert (
        set(servers) == {"s0", "s1", "s2", "s3", "s4"} and servers["s1"]["leaving"] and servers["s3"]["memory"] == 8.0
    )
    assert not servers["s2"]["leaving"] and any(
        "invalid entries" in effect.text for effect in out if isinstance(effect, Log)
    )


def test_follower_proposes_after_two_polls_and_nothing_based_on_an_older_state():
    """A follower proposes a difference only after two polls show it, and never one based on an older control state."""
    inventory_reader, items, read = _reader_and_items()
    second = timedelta(seconds=1)
    inventory_reader.take(InventoryTick(True, False), second)
    listed = items[1:]
    assert read(listed, second) == [] and isinstance(read(listed, second * 2)[0], ProposeChange)
    assert read(listed, second * 3, basis=0) == []
