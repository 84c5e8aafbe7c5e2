"""Placement: pairs, loads within room and pace, leaving servers, lost areas."""

from datetime import timedelta

from tests.scene import ask, is_held, leader, outcomes, quiet, settled, witness


def _pairs(town):
    return leader(town).state.pairs


def test_busy_models_have_a_warm_understudy_in_another_area():
    """Given a settled town, every busy model's pair lies in two areas and both hold it; nothing was loaded beyond room or pace."""
    town = settled(21)
    servers = {server["name"]: server for server in town.city.servers}
    pairs = [pair for pair in _pairs(town).values() if pair[1]]
    assert len(pairs) == town.city.catalogue["busy"]
    assert all(servers[first]["area"] != servers[second]["area"] for first, second in pairs)
    assert witness(town).faults() == []


def test_a_frozen_server_is_owed_one_order_and_its_load_stays_paid_for():
    """Rule 10. Given servers frozen while loads are due, what they begin on waking stays within the store's pace."""
    town = settled(22, edges=2)
    names = [server["name"] for server in town.city.servers if server["kind"] == "model"]
    for name in names[:3]:
        town.kill(name)
    town.run(5)
    for name in names[:3]:
        town.start(name)
    town.run(1.2)
    for name in names[:3]:
        town.freeze(name)
    town.run(3)
    for name in names[:3]:
        town.wake(name)
    town.run(30)
    assert witness(town).faults() == []
    assert is_held(town)


def test_nothing_new_goes_to_a_leaving_server_within_three_seconds():
    """Rule 4. Given traffic, when the platform says that a server leaves, it is given nothing new from then on but streams end well."""
    town = settled(23)
    callers = town.call_in(2.0)
    town.run(5)
    busiest = max((name for name in town.arrivals if "model" in name), key=lambda name: len(town.arrivals[name]))
    check = witness(town, callers)
    for name in (busiest, "stamps-1"):
        town.boxes["platform"].machine.servers[name]["leaving"] = True
        check.leavings.append((name, town.now, timedelta(days=1)))
    town.run(20)
    callers.isOn = False
    town.run(8)
    assert check.faults() == []
    assert {call.outcome for call in callers.calls} == {"ok"}
    assert not any(busiest in pair for pair in _pairs(town).values())


def test_evacuated_area_is_entered_by_nothing_after_five_seconds():
    """Rule 6. Given traffic, when an area is evacuated, no request enters it from five seconds later until it is restored."""
    town = settled(24, edges=6)
    callers = town.call_in(1.5)
    check = witness(town, callers)
    town.run(4)
    assert town.ask("core-1", "POST", "/operator/evacuate", {"request": "out", "area": "hall-b"})[0] == 200
    start = town.now
    town.run(5)
    town.kill("stamps-1")  # its callers look for another area's server now
    town.run(20)
    end = town.now
    assert town.ask("core-2", "POST", "/operator/restore", {"request": "back", "area": "hall-b"})[0] == 200
    check.evacuations.append(("hall-b", start, end))
    town.run(10)
    callers.isOn = False
    town.run(8)
    assert check.faults() == []
    inside = [call for call in callers.calls if town.boxes[call.edge].area == "hall-b" and start + timedelta(seconds=5) < call.sentAt]
    assert inside and any(call.faultClass == "evacuated" for call in inside) and inside[-1].outcome == "ok"


def test_loss_of_a_whole_area_leaves_the_busy_models_answered():
    """Given traffic, when all of one area vanishes at once, calls to the rest go on and every busy model is paired again."""
    town = settled(25, edges=6)
    callers = town.call_in(1.0, edges=["edge-1", "edge-2", "edge-4", "edge-5"])
    town.run(3)
    for box in list(town.boxes.values()):
        if box.area == "hall-c":
            town.vanish(box.name)
    town.run(30)
    callers.isOn = False
    town.run(8)
    safe = [call for call in callers.calls if call.safe]
    bad = [call for call in safe if call.outcome != "ok"]
    assert len(bad) <= 0.01 * len(safe), [(call.group, call.faultClass, call.outcome) for call in bad]
    late = [call for call in callers.calls if call.sentAt > town.now - timedelta(seconds=20)]
    assert all(call.outcome == "ok" for call in late)
    assert witness(town, callers).faults() == []


def test_rare_models_all_asked_for_together_wake_within_the_pace():
    """Rules 8 and 10. Given models that no server holds, when all are asked for at once, each is loaded and answered, none is flooded."""
    town = settled(26, edges=5)
    for name in ("model-1", "model-2"):
        town.kill(name)
    town.run(6)
    for name in ("model-1", "model-2"):
        town.start(name)
    callers = quiet(town)
    models = [model["name"] for model in town.city.catalogue["models"] if not model["name"].startswith("audit")]
    for model in models:
        for _ in range(4):
            ask(town, callers, "claims", model=model)
    town.run(45)
    assert witness(town, callers).faults() == []
    good = outcomes(callers, outcome="ok")
    assert len(good) >= 0.95 * len(callers.calls), {(call.model, call.faultClass) for call in callers.calls if call.outcome != "ok"}


def test_plan_is_what_the_placer_then_does():
    """Given a change, `plan` names its moves and changes nothing; applied without traffic, exactly those pairs come about."""
    town = settled(27)
    doc = {"models": [{"name": "refund-01", "memory": 20.0}, {"name": "brand-new", "memory": 3.0, "decodeRate": 80.0}]}
    for server in town.machines("model"):
        server.sizes |= {"refund-01": 20.0, "brand-new": 3.0}
        server.rates["brand-new"] = 80.0
    before = leader(town).state.image()
    holder = next(core for core in town.machines("core") if core.rota.holds("placer", town.now))
    name = next(box.name for box in town.boxes.values() if box.machine is holder)
    status, plan = town.ask(name, "POST", "/plan", {"doc": doc, "part": True})
    assert status == 200 and plan["loads"] and leader(town).state.image() == before
    assert town.ask("core-1", "POST", "/operator/apply", {"request": "go", "doc": doc, "part": True})[0] == 200
    town.run(2)
    expected = dict(before["pairs"]) | {model: tuple(change["to"]) for model, change in plan["changed"].items()}
    assert _pairs(town) == expected
    assert town.run_until(lambda: is_held(town), 60)


def test_order_that_a_server_refuses_is_repeated_ever_more_rarely():
    """Given a model whose weights no server finds, the refused load is asked for a few times a minute, not several a second."""
    town = settled(28)
    doc = {"models": [{"name": "no-weights", "memory": 3.0, "decodeRate": 80.0}]}
    assert town.ask("core-1", "POST", "/operator/apply", {"request": "go", "doc": doc, "part": True})[0] == 200
    before = sum("not taken" in line[4] for line in town.logs)
    town.run(60)
    refused = sum("not taken" in line[4] for line in town.logs) - before
    assert 2 <= refused <= 10


def test_model_that_just_woke_is_not_flooded_by_those_who_waited():
    """Rule 8. Given sixty prompts at five edges that wait for a cold model, when it is loaded they come to it a few at a time,
    doubling, and all are answered."""
    town = settled(29, edges=5)
    for server in town.machines("model"):
        server.sizes["fresh"], server.rates["fresh"] = 12.0, 200.0
    doc = {"models": [{"name": "fresh", "memory": 12.0, "decodeRate": 200.0}]}
    callers = quiet(town)
    assert town.ask("core-1", "POST", "/operator/apply", {"request": "go", "doc": doc, "part": True})[0] == 200
    for _ in range(60):
        ask(town, callers, "refunds", model="fresh")
    town.run(20)
    peaks = [record.warmPeak["fresh"] for record in town.records.values() if "fresh" in record.warmPeak]
    assert peaks and max(peaks) <= 4
    assert {call.outcome for call in callers.calls} == {"ok"}
    assert witness(town, callers).faults() == []
