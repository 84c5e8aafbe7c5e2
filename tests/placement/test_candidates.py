"""Tests of the choice of servers for loads, of evictions, and of the number of replicas."""

from datetime import timedelta
from random import Random

import pytest

from tests.placement.provisioning_fixtures import EDGES, MS, ProvisionerSimulation


def test_busy_models_use_free_memory_for_a_second_replica_in_another_zone():
    """With free memory, the busiest models get a second replica, in another zone."""
    simulation = ProvisionerSimulation(held={0: ("m0", "m1", "m2"), 1: ("m3", "m4", "m5"), 2: ("m6",)})
    simulation.run_with_usage(6, {"m0": (5, 6), "m3": (4, 5), "m6": (1, 0)})
    for model in ("m0", "m3"):
        replicas = simulation.holders(model)
        assert len(replicas) == 2 and len({simulation.state.servers[name]["area"] for name in replicas}) == 2
    assert simulation.records("breach") == [] and len(simulation.records("stored")) <= 4


def test_replicas_of_a_busy_model_follow_its_request_rate():
    """A model with enough requests for three replicas gets three."""
    simulation = ProvisionerSimulation(held={0: ("m0", "m1", "m2"), 1: ("m3", "m4", "m5")})
    simulation.run_with_usage(8, {"m0": (30, 60)})
    assert len(simulation.holders("m0")) == 3


def test_models_without_demand_are_replaced_when_demand_moves():
    """On full servers, when demand moves to other models, these replace the old ones and get two replicas each."""
    simulation = ProvisionerSimulation(
        servers=4,
        models=12,
        memory_mb=140.0,
        held={0: ("m1", "m3"), 1: ("m5", "m7"), 2: ("m1", "m9"), 3: ("m5", "m11")},
    )
    simulation.run_with_usage(8, {"m1": (10, 12), "m5": (10, 12)})
    simulation.run_with_usage(6, {"m2": (10, 12), "m4": (10, 12)}, requested=("m2", "m4"))
    assert simulation.holders("m2") and simulation.holders("m4")
    simulation.run_with_usage(8, {"m2": (10, 12), "m4": (10, 12)})
    assert len(simulation.holders("m2")) == 2 and len(simulation.holders("m4")) == 2


def test_overloaded_model_gets_a_second_replica_despite_requests_for_rare_models():
    """On full servers, a model whose demand jumps gets its second replica within two seconds,
    although requests for rarely used models keep arriving."""
    simulation = ProvisionerSimulation(
        held={number: tuple(f"m{number * 3 + place}" for place in range(3)) for number in range(4)},
        servers=4,
        models=30,
    )
    rare, turn = Random(3), 0
    simulation.run_with_usage(4, {f"m{number}": (1, 0) for number in range(12)})
    while len(simulation.holders("m0")) < 2:
        turn += 1
        simulation.report_usage({"m0": (15, 10), "m1": (2, 0)})
        simulation.request(*[f"m{rare.randrange(12, 30)}" for _ in range(4)])
        simulation.run(MS * 500)
        assert turn <= 4
    assert simulation.records("breach") == []


def test_running_and_just_loaded_models_are_not_evicted():
    """On full servers, neither a model with running requests nor one that was just loaded is evicted."""
    simulation = ProvisionerSimulation(servers=2, models=8, memory_mb=140.0, held={0: ("m0", "m2"), 1: ("m4", "m6")})
    simulation.run(timedelta(seconds=1))
    simulation.run_with_usage(2, {"m0": (0, 1), "m4": (0, 1), "m6": (0, 1)})
    simulation.request("m1")
    simulation.run(timedelta(seconds=1))
    assert (
        simulation.holders("m1") == ["i-0"] and simulation.holders("m2") == [] and simulation.holders("m0") == ["i-0"]
    )
    simulation.report_usage({"m0": (0, 1), "m6": (0, 1)})
    simulation.request("m3")  # m1 was just loaded and is unused; m0 and m6 have running requests
    simulation.run(MS * 900)
    assert (
        simulation.holders("m1") == ["i-0"] and simulation.holders("m4") == [] and simulation.holders("m3") == ["i-1"]
    )


def test_popular_model_is_evicted_for_a_rare_request_only_after_a_wait():
    """On servers full of models in use, a rare request evicts one only after a wait, but before its 6 s deadline."""
    simulation = ProvisionerSimulation(servers=2, models=8, memory_mb=140.0, held={0: ("m0", "m2"), 1: ("m4", "m6")})
    busy = {"m0": (2, 2), "m2": (2, 2), "m4": (2, 2), "m6": (2, 2)}
    simulation.run_with_usage(6, busy)
    start = simulation.now
    while not simulation.holders("m1"):
        simulation.report_usage(busy)
        simulation.request("m1", left=6000.0 - (simulation.now - start) / MS)
        simulation.run(MS * 300)
        assert simulation.now - start < timedelta(seconds=6)
    assert simulation.now - start > timedelta(seconds=1)


def test_one_slow_unload_does_not_delay_later_polls():
    """One slow unload does not delay the polls of later unloads: it moves the duration estimate only a little."""
    simulation = ProvisionerSimulation(servers=3, models=40, memory_mb=70.0)
    for number in range(0, 24, 2):
        simulation.request(f"m{number}")
        simulation.run(timedelta(seconds=1))
    for engine in simulation.engines.values():
        for model in engine.models:
            engine.running[model] = simulation.now + timedelta(seconds=2)  # requests that no usage report has shown yet
    simulation.request("m30")
    simulation.run(timedelta(seconds=4))
    start = simulation.now
    simulation.request("m32")
    while not simulation.holders("m32"):
        simulation.run(MS * 20)
        assert simulation.now - start < MS * 900


def test_adapter_load_evicts_the_least_recently_used_adapter():
    """On a server with all adapter slots taken, the least recently used adapter is evicted."""
    simulation = ProvisionerSimulation(servers=1, held={0: {"m0": ("a1", "a2", "a3")}}, places=3)
    simulation.run(timedelta(seconds=1))
    simulation.run_with_usage(1, {"m0/a1": (1, 0)})
    simulation.run_with_usage(2, {"m0/a2": (1, 1), "m0/a3": (1, 0)})
    simulation.request("m0/a4")
    simulation.run(MS * 100)
    assert simulation.engines["i-0"].models["m0"] == {"a2", "a3", "a4"}
    assert (
        simulation.edges[EDGES[1]].holders("m0", "a4") == ("i-0",)
        and simulation.edges[EDGES[1]].holders("m0", "a1") == ()
    )


def test_adapter_request_loads_the_base_model_first():
    """A request for an adapter whose base model is not loaded makes the model load first, then the adapter."""
    simulation = ProvisionerSimulation()
    simulation.run(timedelta(seconds=1))
    for _ in range(4):
        simulation.request("m3/a2")
        simulation.run(MS * 250)
    assert len(simulation.edges[EDGES[0]].holders("m3", "a2")) == 1 and simulation.records("breach") == []


def test_adapters_are_evicted_before_models_if_that_frees_enough_memory():
    """If evicting adapters frees enough memory for a model, no model is evicted for it."""
    simulation = ProvisionerSimulation(servers=1, memory_mb=137.9, held={0: {"m0": ("a1", "a2")}})
    simulation.run(timedelta(seconds=1))
    simulation.run_with_usage(1, {"m0": (2, 0)})
    simulation.request("m1")  # 65.1 + 72.7 MB and one adapter of 0.066 MB fit; two adapters do not
    simulation.run(timedelta(seconds=1))
    assert set(simulation.engines["i-0"].models) == {"m0", "m1"} and len(simulation.engines["i-0"].models["m0"]) == 1
    assert simulation.records("breach") == []


def test_model_listed_after_the_busy_ones_is_loaded_before_its_first_request():
    """While demand moves along the catalogue's order, the next model is loaded before its first request."""
    simulation = ProvisionerSimulation(
        held={0: ("m0", "m1"), 1: ("m0", "m1"), 2: ("m8", "m9", "m10"), 3: ("m8", "m9", "m10")}
    )
    simulation.run_with_usage(8, {"m0": (10, 12), "m1": (10, 12)})
    assert simulation.holders("m2")
    simulation.run_with_usage(8, {"m1": (10, 12), "m2": (10, 12)})
    assert simulation.holders("m3")


@pytest.mark.parametrize("load_ms", [600.0, 4100.0, 12000.0])
def test_evicted_model_is_reloaded_on_the_server_that_has_it_on_disk(load_ms):
    """Two models that a server held and evicted are loaded there again from its disk, although the models of all
    servers are equally idle, and for any load time."""
    simulation = ProvisionerSimulation(servers=4, models=24, memory_mb=140.0, load_ms=load_ms, held={3: ("m0", "m2")})
    simulation.run(timedelta(seconds=1))
    others = [f"m{number}" for number in range(4, 20, 2)]  # as many models as all servers can hold
    simulation.request(*others, left=60000.0)
    simulation.run_with_usage(load_ms / 1000 * 4 + 4, dict.fromkeys(others, (0, 1)), others)
    assert (
        not simulation.holders("m0")
        and not simulation.holders("m2")
        and all(simulation.holders(model) for model in others)
    )
    simulation.run_with_usage(60, {})
    stored = len(simulation.records("stored"))
    assert stored == len(others)
    for model in ("m0", "m2"):
        simulation.request(model, left=60000.0)
        simulation.run_with_usage(load_ms / 1000 + 2, {model: (0, 1)}, (model,))
        assert simulation.holders(model) == ["i-3"] and len(simulation.records("stored")) == stored


@pytest.mark.parametrize("load_ms", [600.0, 4100.0, 12000.0])
def test_model_in_use_is_not_evicted_for_a_rare_request_within_one_load_time(load_ms):
    """On full servers whose models get two requests per second, a rare request evicts none of them within one load
    time: reloading the evicted model would delay many more requests by as long."""
    simulation = ProvisionerSimulation(
        servers=2, models=8, memory_mb=140.0, load_ms=load_ms, held={0: ("m0", "m2"), 1: ("m4", "m6")}, loads_per_s=20
    )
    busy = {"m0": (1, 1), "m2": (1, 1), "m4": (1, 1), "m6": (1, 1)}
    simulation.run_with_usage(8, busy)
    start, steps = simulation.now, 0
    while simulation.now - start < MS * (load_ms - 100):
        if steps % 5 == 0:
            simulation.report_usage(busy)
        simulation.request("m1", left=60000.0)
        simulation.run(MS * 100)
        steps += 1
    assert not [what for _, _, what in simulation.records("order") if what[0] == "unload"]


@pytest.mark.parametrize("slots", [12, 24, 48])
def test_one_replica_per_half_of_the_slots_of_an_engine(slots):
    """A model whose running requests fill one and a half engines gets exactly three replicas, for any number of
    slots."""
    simulation = ProvisionerSimulation(servers=8, models=8, memory_mb=140.0, held={0: ("m0",)})
    simulation.engine_config.slots = slots
    simulation.run(timedelta(seconds=1))
    simulation.run_with_usage(12, {"m0": (2, round(1.5 * slots), {"i-0": round(1.5 * slots)})})
    assert len(simulation.holders("m0")) == 3
