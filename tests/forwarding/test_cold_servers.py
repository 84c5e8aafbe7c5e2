"""Tests of the rate at which all edges together send requests to a cold server (docs/design/inference.md)."""

from datetime import timedelta

import pytest

from tests.forwarding.forwarding_fixtures import CHAT, TICK, Scene, catalogue, server

SECOND = timedelta(seconds=1)
COLD_PER_S, OVERSHOOT, SLACK = 20.0, 1.5, 5.0
EDGES = 67


def test_all_edges_together_stay_within_the_rate_of_a_cold_server():
    """Given 67 edges that each get a request for a model whose only server is cold, the requests that reach the server
    within a second stay within 1.5 times its rate plus the slack. One request per edge would exceed that."""
    doc = catalogue()
    doc["services"][2] |= {"coldPerS": COLD_PER_S, "coldMs": 3000}
    scenes = [Scene(doc, {"l1": server("llm")}, seed=seed, held=("l1",)) for seed in range(EDGES)]
    for rank, scene in enumerate(scenes):
        scene.table.edges, scene.table.cold_allowance.rank = EDGES, rank
        scene.take("cold", {"l1": 3000})
        scene.ask(CHAT)
        until = scene.now + SECOND - TICK
        while scene.now < until:
            scene.run(TICK.total_seconds())
    sent = sum(len(scene.sends()) for scene in scenes)
    assert 0 < sent <= COLD_PER_S * OVERSHOOT + SLACK


@pytest.mark.parametrize("rest", [0.0, 3.0, 10.0])
def test_the_unused_rate_of_a_cold_server_is_saved_up_only_to_the_slack(rest):
    """Given 67 edges and a cold server that was idle for a while, when all edges get requests without pause, the server
    gets no more than the limit within any second, and what its rate allows over three seconds."""
    doc = catalogue()
    doc["services"][2] |= {"coldPerS": COLD_PER_S, "coldMs": 60000}
    sent_at = []
    for rank in range(EDGES):
        scene = Scene(doc, {"l1": server("llm")}, seed=rank, held=("l1",))
        scene.table.edges, scene.table.cold_allowance.rank = EDGES, rank
        scene.take("cold", {"l1": 60000})
        scene.run(rest)
        for turn in range(round(3 * SECOND / TICK)):
            before = len(scene.sends())
            scene.ask(CHAT)
            scene.run(TICK.total_seconds())
            sent_at += [turn] * (len(scene.sends()) - before)
    window = round(SECOND / TICK)
    most = max(sum(begin <= turn < begin + window for turn in sent_at) for begin in range(3 * window))
    assert most <= COLD_PER_S * OVERSHOOT + SLACK
    assert len(sent_at) >= 0.9 * COLD_PER_S * 3


def test_an_edge_outside_its_window_sends_to_a_warm_server():
    """Given 67 edges and a cold and a warm server that hold the model, each edge sends its request at once, and the
    cold server gets no more than its limit."""
    doc = catalogue()
    doc["services"][2] |= {"coldPerS": COLD_PER_S, "coldMs": 3000}
    scenes = [
        Scene(doc, {"l1": server("llm"), "l2": server("llm")}, seed=seed, held=("l1", "l2")) for seed in range(EDGES)
    ]
    for rank, scene in enumerate(scenes):
        scene.table.edges, scene.table.cold_allowance.rank = EDGES, rank
        scene.take("cold", {"l1": 3000})
        scene.ask(CHAT)
    to = [dict(send[4])["x-expect-instance"] for scene in scenes for send in scene.sends()]
    assert len(to) == EDGES and to.count("l1") <= COLD_PER_S * OVERSHOOT + SLACK
