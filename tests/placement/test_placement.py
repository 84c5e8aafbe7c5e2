"""Tests of placement in a simulated deployment: replica pairs, load limits, leaving servers and lost zones."""

from datetime import timedelta

import pytest

from tests.deployment_fixtures import ask, invariant_checker, is_held, leader, outcomes, quiet, settled


def _pairs(deployment):
    return leader(deployment).state.pairs


def test_busy_models_have_a_loaded_second_replica_in_another_zone():
    """In a settled deployment, each busy model has two replicas in two zones; loads kept to memory and the store's
    rate."""
    deployment = settled(21)
    servers = {server["name"]: server for server in deployment.spec.servers}
    pairs = [pair for pair in _pairs(deployment).values() if pair[1]]
    assert len(pairs) == deployment.spec.catalogue["busy"]
    assert all(servers[first]["area"] != servers[second]["area"] for first, second in pairs)
    assert invariant_checker(deployment).faults() == []


def test_loads_of_frozen_servers_stay_counted_against_the_store_rate():
    """Rule 10. Loads that servers start after being frozen with an order in transit stay within the store's rate."""
    deployment = settled(22, edges=2)
    names = [server["name"] for server in deployment.spec.servers if server["kind"] == "model"]
    for name in names[:3]:
        deployment.kill(name)
    deployment.run(5)
    for name in names[:3]:
        deployment.start(name)
    deployment.run(1.2)
    for name in names[:3]:
        deployment.freeze(name)
    deployment.run(3)
    for name in names[:3]:
        deployment.wake(name)
    deployment.run(30)
    assert invariant_checker(deployment).faults() == []
    assert is_held(deployment)


def test_leaving_server_gets_no_new_requests_after_three_seconds():
    """Rule 4. From three seconds after the platform lists a server as leaving, it gets no new request; its streams
    complete."""
    deployment = settled(23)
    callers = deployment.start_callers(2.0)
    deployment.run(5)
    busiest = max(
        (name for name in deployment.arrivals if "model" in name), key=lambda name: len(deployment.arrivals[name])
    )
    check = invariant_checker(deployment, callers)
    for name in (busiest, "stamps-1"):
        deployment.boxes["platform"].machine.servers[name]["leaving"] = True
    deployment.run(20)
    callers.is_on = False
    deployment.run(8)
    assert check.faults() == []
    assert {call.outcome for call in callers.calls} == {"ok"}
    assert not any(busiest in pair for pair in _pairs(deployment).values())


def test_evacuated_zone_gets_no_requests_after_five_seconds():
    """Rule 6. From five seconds after the evacuation of a zone until its restoration, no request enters it."""
    deployment = settled(24, edges=6)
    callers = deployment.start_callers(1.5)
    check = invariant_checker(deployment, callers)
    deployment.run(4)
    assert deployment.ask("core-1", "POST", "/operator/evacuate", {"request": "out", "area": "hall-b"})[0] == 200
    start = deployment.now
    deployment.run(5)
    deployment.kill("stamps-1")  # its requests must not move to a server in the evacuated zone
    deployment.run(20)
    assert deployment.ask("core-2", "POST", "/operator/restore", {"request": "back", "area": "hall-b"})[0] == 200
    deployment.run(10)
    callers.is_on = False
    deployment.run(8)
    assert check.faults() == []
    inside = [
        call
        for call in callers.calls
        if deployment.boxes[call.edge].zone == "hall-b" and start + timedelta(seconds=5) < call.sent_at
    ]
    assert inside and any(call.fault_class == "evacuated" for call in inside) and inside[-1].outcome == "ok"


def test_busy_models_stay_available_after_loss_of_a_zone():
    """When all machines of a zone vanish at once, calls elsewhere keep succeeding and each busy model gets two replicas
    again."""
    deployment = settled(25, edges=6)
    callers = deployment.start_callers(1.0, edges=["edge-1", "edge-2", "edge-4", "edge-5"])
    deployment.run(3)
    for box in list(deployment.boxes.values()):
        if box.zone == "hall-c":
            deployment.vanish(box.name)
    deployment.run(30)
    callers.is_on = False
    deployment.run(8)
    safe = [call for call in callers.calls if call.safe]
    bad = [call for call in safe if call.outcome != "ok"]
    assert len(bad) <= 0.01 * len(safe), [(call.group, call.fault_class, call.outcome) for call in bad]
    late = [call for call in callers.calls if call.sent_at > deployment.now - timedelta(seconds=20)]
    assert all(call.outcome == "ok" for call in late)
    assert invariant_checker(deployment, callers).faults() == []


def test_simultaneous_requests_for_unloaded_models_stay_within_the_store_rate():
    """Rules 8 and 10. Simultaneous requests for all models, held by no server, load each one without overloading it."""
    deployment = settled(26, edges=5)
    for name in ("model-1", "model-2"):
        deployment.kill(name)
    deployment.run(6)
    for name in ("model-1", "model-2"):
        deployment.start(name)
    callers = quiet(deployment)
    models = [model["name"] for model in deployment.spec.catalogue["models"] if not model["name"].startswith("audit")]
    for model in models:
        for _ in range(4):
            ask(deployment, callers, "claims", model=model)
    deployment.run(45)
    assert invariant_checker(deployment, callers).faults() == []
    good = outcomes(callers, outcome="ok")
    assert len(good) >= 0.95 * len(callers.calls), {
        (call.model, call.fault_class) for call in callers.calls if call.outcome != "ok"
    }


def test_placer_carries_out_the_forecast_plan():
    """`plan` lists the moves of a change without applying it; applying it without traffic leads to exactly those
    pairs."""
    deployment = settled(27)
    doc = {"models": [{"name": "refund-01", "memory": 20.0}, {"name": "brand-new", "memory": 3.0, "decodeRate": 80.0}]}
    for server in deployment.machines("model"):
        server.sizes |= {"refund-01": 20.0, "brand-new": 3.0}
        server.rates["brand-new"] = 80.0
    before = leader(deployment).state.snapshot()
    holder = next(core for core in deployment.machines("core") if core.leases.holds("placer", deployment.now))
    name = next(box.name for box in deployment.boxes.values() if box.machine is holder)
    status, plan = deployment.ask(name, "POST", "/plan", {"doc": doc, "part": True})
    assert status == 200 and plan["loads"] and leader(deployment).state.snapshot() == before
    assert deployment.ask("core-1", "POST", "/operator/apply", {"request": "go", "doc": doc, "part": True})[0] == 200
    deployment.run(2)
    expected = dict(before["pairs"]) | {model: tuple(change["to"]) for model, change in plan["changed"].items()}
    assert _pairs(deployment) == expected
    assert deployment.run_until(lambda: is_held(deployment), 60)


def test_refused_orders_are_retried_with_backoff():
    """A load that servers refuse, as the weights are missing, is retried a few times per minute, not several times per
    second."""
    deployment = settled(28)
    doc = {"models": [{"name": "no-weights", "memory": 3.0, "decodeRate": 80.0}]}
    assert deployment.ask("core-1", "POST", "/operator/apply", {"request": "go", "doc": doc, "part": True})[0] == 200
    before = sum("not accepted" in line[4] for line in deployment.logs)
    deployment.run(60)
    refused = sum("not accepted" in line[4] for line in deployment.logs) - before
    assert 2 <= refused <= 10


def test_waiting_requests_do_not_overload_a_model_that_was_just_loaded():
    """Rule 8. Sixty prompts at five edges that wait for a model reach it a few at a time once it is loaded, with a
    doubling limit, and all are answered."""
    deployment = settled(29, edges=5)
    for server in deployment.machines("model"):
        server.sizes["fresh"], server.rates["fresh"] = 12.0, 200.0
    doc = {"models": [{"name": "fresh", "memory": 12.0, "decodeRate": 200.0}]}
    callers = quiet(deployment)
    assert deployment.ask("core-1", "POST", "/operator/apply", {"request": "go", "doc": doc, "part": True})[0] == 200
    for _ in range(60):
        ask(deployment, callers, "refunds", model="fresh")
    deployment.run(20)
    peaks = [record.warm_peak["fresh"] for record in deployment.records.values() if "fresh" in record.warm_peak]
    assert peaks and max(peaks) <= 4
    assert {call.outcome for call in callers.calls} == {"ok"}
    assert invariant_checker(deployment, callers).faults() == []


def test_leaving_notice_takes_effect_despite_loss_of_its_readers():
    """Rule 4. Leaving servers get no new requests from three seconds on, even if the leader is killed, frozen,
    partitioned or cut off from the platform when they are listed as leaving, or if two cores are killed."""
    for place, how in enumerate(("killed", "frozen", "split off", "cut off from the platform", "two killed")):
        deployment = settled(73 + place, edges=3)
        callers = deployment.start_callers(2.0)
        deployment.run(3)
        lead = next(box.name for box in deployment.boxes.values() if box.machine is leader(deployment))
        rest = [name for name in ("core-1", "core-2", "core-3") if name != lead]
        busiest = max(
            (name for name in deployment.arrivals if "model" in name), key=lambda name: len(deployment.arrivals[name])
        )
        for name in (busiest, "stamps-1"):
            deployment.boxes["platform"].machine.servers[name]["leaving"] = True
        if how == "frozen":
            deployment.freeze(lead)
        elif how == "split off":
            deployment.cut([lead], deployment.inside(lead))
        elif how == "cut off from the platform":
            deployment.cut([lead], ["platform"])
        else:
            for name in [lead, rest[0]][: 1 + (how == "two killed")]:
                deployment.kill(name)
        deployment.run(10)
        callers.is_on = False
        deployment.run(4)
        assert invariant_checker(deployment, callers).faults() == [], how
        if how != "two killed":
            listed = deployment.ask(rest[1], "GET", "/show/servers")[1]["servers"]
            assert listed[busiest]["leaving"] and listed["stamps-1"]["leaving"], how
        assert len(callers.calls) > 300 and deployment.arrivals["stamps-1"], how


@pytest.mark.parametrize("away", [0.7, 6.0])
def test_servers_listed_as_leaving_while_all_cores_are_down_are_known_to_all_edges_after_restart(away):
    """Rule 4. If the platform lists servers as leaving while all cores are down, briefly or for long, every edge stops
    using them within three seconds after the cores' start, from which on the rule applies again."""
    deployment = settled(79, edges=6, list_readers="leader", fenced=True)
    cores, leaving = ("core-1", "core-2", "core-3"), ("stamps-1", "model-1")
    for core in cores:
        deployment.kill(core)
    for name in leaving:
        deployment.boxes["platform"].machine.servers[name]["leaving"] = True
    deployment.run(away)
    for core in cores:
        deployment.start(core)
    edges = deployment.machines("edge")
    assert deployment.run_until(
        lambda: all(edge.state.servers[name]["leaving"] for edge in edges for name in leaving), 3
    )


def test_empty_server_list_does_not_remove_all_servers():
    """While the platform's server list is empty and then invalid for eight seconds, every call is still answered."""
    deployment = settled(78)
    callers = deployment.start_callers(1.5)
    platform = deployment.boxes["platform"].machine
    deployment.run(3)
    before, platform.servers = platform.servers, {}
    deployment.run(4)
    platform.extra = [None, {"name": "model-1", "kind": "cake"}, {"name": "stamps-1"}]
    deployment.run(4)
    platform.servers, platform.extra = before, []
    deployment.run(4)
    callers.is_on = False
    deployment.run(8)
    assert {call.outcome for call in callers.calls} == {"ok"}
    assert any("lacks more than half" in line[4] for line in deployment.logs)


def test_unknown_and_removed_zones_get_no_requests():
    """Neither a server listed in an unknown zone nor a zone removed from the configuration gets requests."""
    deployment = settled(79)
    deployment.boxes["platform"].machine.servers["stamps-1"]["area"] = "nowhere"
    deployment.run(3)
    callers = deployment.start_callers(2.0)
    zones = [zone for zone in deployment.spec.catalogue["areas"] if zone != "hall-c"]
    status, _ = deployment.ask(
        "core-1", "POST", "/operator/apply", {"request": "less", "doc": {"areas": zones}, "part": True}
    )
    taken_at = deployment.now
    deployment.run(10)
    callers.is_on = False
    deployment.run(6)
    inside = [server["name"] for server in deployment.spec.servers if server["area"] == "hall-c"] + ["stamps-1"]
    late = [
        at for name in inside for at, _ in deployment.arrivals.get(name, ()) if at > taken_at + timedelta(seconds=2)
    ]
    assert status == 200 and late == [] and outcomes(callers, outcome="ok")


def test_resumed_edge_refuses_requests_if_its_zone_was_evacuated_meanwhile():
    """Rule 6. An edge that was frozen and cut off while its zone was evacuated refuses the requests sent to it
    meanwhile, as not run."""
    deployment = settled(80, edges=4)
    callers = quiet(deployment)
    deployment.freeze("edge-2")
    deployment.cut(["edge-2"], deployment.inside("edge-2"))
    zone = deployment.boxes["edge-2"].zone
    assert deployment.ask("core-1", "POST", "/operator/evacuate", {"request": "out", "area": zone})[0] == 200
    deployment.run(6)
    calls = [
        ask(deployment, callers, name, edge="edge-2") for name in ("stamps", "refunds", "claims") for _ in range(3)
    ]
    deployment.run(2)
    deployment.heal()
    deployment.wake("edge-2")
    deployment.run(12)
    assert invariant_checker(deployment, callers).faults() == []
    assert {(call.fault_class, call.run) for call in calls} == {("evacuated", "no")}


def test_restarted_empty_server_is_not_overloaded_across_its_models():
    """Rule 8. If all model servers fail and one returns empty with a fast store, while prompts wait for every model,
    its running requests over all models stay within the doubling limit."""
    deployment = settled(81, edges=6)
    deployment.spec.catalogue["store"] = {"pace": 200.0, "burst": 200.0}
    fast = {"request": "fast", "doc": {"store": deployment.spec.catalogue["store"]}, "part": True}
    assert deployment.ask("core-1", "POST", "/operator/apply", fast)[0] == 200
    names = [box.name for box in deployment.boxes.values() if box.role == "model"]
    for name in names:
        deployment.kill(name)
    deployment.run(6)
    deployment.start(names[0])
    deployment.boxes[names[0]].machine.rates = dict.fromkeys(
        deployment.boxes[names[0]].machine.rates, 30.0
    )  # slow decoding, so that running requests accumulate
    callers = quiet(deployment)
    for model in deployment.spec.catalogue["models"]:
        for _ in range(3):
            ask(deployment, callers, "refunds", model=model["name"])
    deployment.run(60)
    assert invariant_checker(deployment, callers).faults() == []
    held = {model for model, pair in _pairs(deployment).items() if names[0] in pair}
    answered = outcomes(callers, outcome="ok")
    assert len(held) > 8 and len(answered) > 10
    assert deployment.records[names[0]].warm_peak["all models"] >= 1


def test_simultaneous_requests_for_all_adapters_stay_within_adapter_slots():
    """Rule 9. Simultaneous requests for every adapter are answered, and no server is ordered to exceed its adapter
    slots."""
    for spec in ("kosice", "central-java"):
        deployment = settled(82, spec, edges=4)
        group = "claims" if spec == "kosice" else "deferred"
        callers = quiet(deployment)
        for _ in range(2):
            for adapter in deployment.spec.catalogue["adapters"]:
                ask(deployment, callers, group, model=adapter["name"])
            deployment.run(30)
        assert invariant_checker(deployment, callers).faults() == []
        bad = [(call.model, call.fault_class) for call in callers.calls if call.outcome != "ok"]
        assert bad == [], bad


def test_a_server_gets_one_order_at_a_time():
    """Rule 10. When an empty fleet loads all models, no server is sent two orders at the same time."""
    deployment = settled(89)
    sent = [
        (at, note["server"])
        for at, _, _, part, text, note in deployment.logs
        if text == "Sending an order to a model server."
    ]
    assert len(sent) > 60 and len(set(sent)) == len(sent)
