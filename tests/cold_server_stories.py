"""What all edges together send to a cold server (§7.5)."""

from datetime import timedelta

from tests.transit_scene import CHAT, PULSE, Scene, catalogue, server

SECOND = timedelta(seconds=1)
COLD_PER_S, OVERSHOOT, SLACK = 20.0, 1.5, 5.0
EDGES = 67


def test_all_edges_together_send_a_cold_server_no_more_than_it_bears():
    """Given 67 edges that each get a request for a model whose only server is cold, what reaches that server within a second, summed over
    the edges, stays within its rate, half as much again and the slack."""
    doc = catalogue()
    doc["services"][2] |= {"coldPerS": COLD_PER_S, "coldMs": 3000}
    scenes = [Scene(doc, {"l1": server("llm")}, seed=seed, held=("l1",)) for seed in range(EDGES)]
    for scene in scenes:
        scene.table.edges = EDGES
        scene.take("cold", {"l1": 3000})
        scene.ask(CHAT)
        until = scene.now + SECOND - PULSE
        while scene.now < until:
            scene.run(PULSE.total_seconds())
    sent = sum(len(scene.sends()) for scene in scenes)
    assert 0 < sent <= COLD_PER_S * OVERSHOOT + SLACK
