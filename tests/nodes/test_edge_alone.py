"""Tests of an edge without a catalogue, and an edge that knows no other edge yet."""

from datetime import timedelta
from random import Random

import msgspec

from sumachook.configuration.node_settings import NodeSettings
from sumachook.control_state.state import State
from sumachook.host.effects import Exit, Fetch, Log
from sumachook.host.events import HttpRequestReceived, StopRequested, Tick
from sumachook.ledger.effects import Recorded
from sumachook.nodes.edge import Edge
from sumachook.runtime.clock import Clock

GRACE = timedelta(seconds=8)


def test_edge_without_a_catalogue_answers_503():
    settings = NodeSettings(
        node="e1", address="127.0.0.1:1", http_address="127.0.0.1:2", zone="hall", seeds=("127.0.0.1:3",)
    )
    edge, now = Edge(settings, {}, 1, Clock(), Random(1)), Clock().mono()
    (answer,) = edge.take(HttpRequestReceived(1, "GET", "/records/1", {}, b""), now)
    status, headers, body = answer.status, answer.headers, answer.body
    assert status == 503 and msgspec.json.decode(body)["fault"]["run"] == "no" and "Retry-After" in headers
    assert isinstance(edge.take(StopRequested(), now)[0], Log)
    end = edge.take(Tick(), now + GRACE)[-1]
    assert isinstance(end, Exit) and end.code == 0 and end.write_within == timedelta(0)  # the grace period is over


def test_edge_that_knows_no_other_edge_sends_no_request_to_a_warming_server():
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
    state.pairs, state.model_statuses = {"m": ("s", "")}, {"s": {"m": "warm"}}
    settings = NodeSettings(
        node="e1", address="127.0.0.1:1", http_address="127.0.0.1:2", zone="a", seeds=("127.0.0.1:3",)
    )
    edge, now = Edge(settings, {"image": (("image", state.snapshot()),)}, 1, Clock(), Random(1)), Clock().mono()
    edge.follower.proved_at = edge.follower.last_tick = now
    body = b'{"model":"m","messages":[{"role":"user","content":"x"}]}'
    edge.inference_pipeline.table.knows_time = True
    edge.inference_pipeline.take(
        HttpRequestReceived(1, "POST", "/v1/chat/completions", {"authorization": "Bearer clerk-key"}, body), now
    )
    (request,) = edge.inference_pipeline.table.requests
    assert edge.inference_pipeline.take(Recorded(request), now) == []
    edge.inference_pipeline.table.knows_edges = True
    assert [type(effect) for effect in edge.inference_pipeline.take(Tick(), now)] == [Fetch]
