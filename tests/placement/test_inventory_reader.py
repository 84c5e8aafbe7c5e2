"""The platform's list of servers: what of it is believed, and who proposes it."""

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
    """A reader that leads, the entries of five servers, and a function that reads a list."""
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


def test_a_shrunken_list_is_believed_only_after_a_while_and_a_leaving_one_at_once():
    """Given a list that lacks most servers, they are kept for ten seconds; a server that leaves is told and proposed at once."""
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


def test_junk_and_duplicates_change_nothing_but_may_say_leaving():
    """Given entries that can't be read, the known servers stay as they are, except that one leaves."""
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


def test_others_leave_a_difference_to_the_leader_for_one_poll_and_an_old_comparison_is_not_proposed():
    """Given a core that does not lead, it proposes a difference the second time, and none against an older state."""
    inventory_reader, items, read = _reader_and_items()
    second = timedelta(seconds=1)
    inventory_reader.take(InventoryTick(True, False), second)
    listed = items[1:]
    assert read(listed, second) == [] and isinstance(read(listed, second * 2)[0], ProposeChange)
    assert read(listed, second * 3, basis=0) == []
