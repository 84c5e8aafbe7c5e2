"""An edge alone: without a catalogue, and without knowing any other edge."""

from datetime import timedelta
from random import Random

import msgspec

from sumachook.catalog.params import Params
from sumachook.catalog.state import State
from sumachook.nodes.edge import Edge
from sumachook.runtime.clock import Clock

GRACE = timedelta(seconds=8)


def test_edge_without_a_catalogue_says_so():
    params = Params(node="e1", address="127.0.0.1:1", door="127.0.0.1:2", area="hall", seeds=("127.0.0.1:3",))
    edge, now = Edge(params, {}, 1, Clock(), Random(1)), Clock().mono()
    ((_, _, status, headers, body),) = edge.take(("http", 1, "GET", "/records/1", {}, b""), now)
    assert status == 503 and msgspec.json.decode(body)["fault"]["run"] == "no" and "Retry-After" in headers
    assert edge.take(("stop",), now)[0][0] == "log"
    assert edge.take(("pulse",), now + GRACE)[-1] == ("leave", 0)


def test_edge_that_knows_no_other_sends_a_warming_server_nothing():
    doc = {
        "name": "c",
        "areas": ["a"],
        "models": [{"name": "m", "memory": 4.0, "decodeRate": 50.0}],
        "lines": [{"name": "l"}],
        "callers": [{"name": "clerk", "key": "clerk-key", "line": "l", "patience": 9.0, "safe": True}],
    }
    state = State()
    state.apply(1, ("apply", "r", doc, False, None))
    state.servers = {"s": {"kind": "model", "address": "127.0.0.1:9", "area": "a", "leaving": False, "slots": 8}}
    state.pairs, state.held = {"m": ("s", "")}, {"s": {"m": "warm"}}
    params = Params(node="e1", address="127.0.0.1:1", door="127.0.0.1:2", area="a", seeds=("127.0.0.1:3",))
    edge, now = Edge(params, {"image": (("image", state.image()),)}, 1, Clock(), Random(1)), Clock().mono()
    edge.follower.proved_at = edge.follower.last_pulse = now
    body = b'{"model":"m","messages":[{"role":"user","content":"x"}]}'
    edge.ferry.table.knows_time = True
    edge.ferry.take(("http", 1, "POST", "/v1/chat/completions", {"authorization": "Bearer clerk-key"}, body), now)
    (request,) = edge.ferry.table.rows
    assert edge.ferry.take(("recorded", request), now) == []
    edge.ferry.table.knows_edges = True
    assert [effect[0] for effect in edge.ferry.take(("pulse",), now)] == ["fetch"]
