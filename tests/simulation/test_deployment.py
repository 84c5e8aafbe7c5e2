"""Deployments whose servers already have their models loaded when the fleet starts."""

import pytest

from harness.local_cluster.initial_placement import initial_placement
from tests.deployment_fixtures import found, is_held


@pytest.mark.parametrize("name", ["kosice", "central-java"])
def test_new_fleet_adopts_loaded_models_within_seconds_without_loads(name):
    """Servers have the planned models loaded; within 3 s of the catalogue all replicas are in place, with no load ordered."""
    deployment = found(91, name, edges=None)
    for server, items in initial_placement(deployment.spec).items():
        deployment.boxes[server].machine.held = dict.fromkeys(items, "loaded")
    answer = deployment.ask("core-1", "POST", "/operator/apply", {"request": "first", "doc": deployment.spec.catalogue})
    assert answer and answer[0] == 200, answer
    assert deployment.run_until(lambda: is_held(deployment), 3)
    deployment.run(10)
    assert is_held(deployment) and [load for record in deployment.records.values() for load in record.loads] == []


@pytest.mark.parametrize("name", ["kosice", "central-java"])
def test_initial_placement_respects_memory_and_adapter_places(name):
    """The initial placement exceeds no server's memory or adapter places, and puts every model on some server."""
    deployment = found(92, name)
    sizes = {item["name"]: item["memory"] for item in deployment.spec.catalogue["models"]}
    adapters = {item["name"]: item for item in deployment.spec.catalogue["adapters"]}
    held = initial_placement(deployment.spec)
    for server in deployment.spec.servers:
        items = held.get(server["name"], ())
        own = [item for item in items if item in adapters]
        assert sum(sizes.get(item, 0.0) for item in items) + sum(
            adapters[item]["memory"] for item in own
        ) <= server.get("memory", 0.0)
        assert len(own) <= server.get("places", 0) and all(adapters[item]["model"] in items for item in own)
    assert set(sizes) <= {item for items in held.values() for item in items}
