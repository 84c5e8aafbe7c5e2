"""Tests of the placer's orders: loads within memory, adapter slots and the store's budget, and evictions."""

from sumachook.placement.orders import LOAD, UNLOAD, plan_orders
from tests.placement.plan_fixtures import catalogue_and_servers


def test_loads_stay_within_memory_and_the_store_budget():
    """With more planned models than fit, loads stop at the server's memory and at the store's budget."""
    catalogue, servers = catalogue_and_servers(3, 12.0)
    pairs = {f"m{place:02}": ("s0", "") for place in range(5)}
    orders, begun = plan_orders(catalogue, servers, pairs, {}, {"s0": {}}, {}, 100.0)
    assert [order[3] for order in orders] == ["m00", "m01", "m02"] and begun == 12.0
    orders, begun = plan_orders(catalogue, servers, pairs, {}, {"s0": {}}, {("s0", "m00"): LOAD}, 5.0)
    assert [order[3] for order in orders] == ["m01"] and begun == 4.0


def test_last_replica_in_use_is_not_evicted():
    """On a full server, the evicted model is one that another server holds, and only one is evicted at a time."""
    catalogue, servers = catalogue_and_servers(3, 12.0)
    actual = {"s0": {"m10": "ready", "m11": "ready", "m12": "ready"}, "s1": {"m11": "ready"}}
    demand = {"m00": 3.0, "m10": 5.0, "m11": 5.0, "m12": 4.0}
    orders, _ = plan_orders(catalogue, servers, {"m00": ("s0", "")}, demand, actual, {}, 100.0)
    assert orders == [("s0", UNLOAD, "model", "m11", 4.0)]
    again, _ = plan_orders(catalogue, servers, {"m00": ("s0", "")}, demand, actual, {("s0", "m11"): UNLOAD}, 100.0)
    assert again == []


def test_adapter_is_evicted_for_a_planned_model_with_more_demand():
    """If all models on a server are planned and adapters fill the rest of its memory, the adapter with the least demand
    is unloaded for a planned model, one at a time, and none with more demand than the model."""
    catalogue, servers = catalogue_and_servers(1, 8.1)
    assert catalogue.adapters[0].memory == 0.1, "both models and one adapter must fit"
    pairs = {"m00": ("s0", ""), "m01": ("s0", "")}
    actual = {"s0": dict.fromkeys(("m00", "x00", "x02", "x03"), "ready")}
    demand = {"m00": 2.0, "m01": 1.0, "x00": 0.5, "x02": 0.2, "x03": 3.0}
    orders, _ = plan_orders(catalogue, servers, pairs, demand, actual, {}, 100.0)
    assert orders == [("s0", UNLOAD, "adapter", "x02", 0.0)]
    again, _ = plan_orders(catalogue, servers, pairs, demand, actual, {("s0", "x02"): UNLOAD}, 100.0)
    assert again == []
    held = {"s0": dict.fromkeys(("m00", "x00", "x03"), "ready")}
    after, _ = plan_orders(catalogue, servers, pairs, demand, held, {}, 100.0)
    assert after == [("s0", UNLOAD, "adapter", "x00", 0.0)], "no adapter may use the memory freed for the model"
    asked, _ = plan_orders(catalogue, servers, pairs, dict.fromkeys(demand, 1.0), actual, {}, 100.0)
    assert asked == []
