"""Tests of placement on demand: loads for requests, limits despite lost messages, and updates to the edges."""

from datetime import timedelta
from random import Random
from types import SimpleNamespace as Item

import msgspec
import pytest

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import ConnectionReuse, Fetch, Send
from sumachook.host.events import CallFailed, DelayElapsed, MessageReceived
from sumachook.placement.events import LeaseTick, StateChanged
from sumachook.placement.messages import PlacementSnapshotRequest, PlacementUpdate
from sumachook.placement.placement_status import placement_status
from sumachook.placement.places import PlacementView
from tests.placement.provisioning_fixtures import EDGES, MS, ProvisionerSimulation, orders_of


def test_request_is_ordered_at_once_and_its_replica_published_on_completion():
    """A request is ordered in the same step on idle servers, and both edges learn of the replica once it is
    complete."""
    simulation = ProvisionerSimulation()
    simulation.run(timedelta(seconds=1))
    assert [order["model"] for order in orders_of(simulation.request("m3"))] == ["m3"]
    simulation.run(MS * 590)
    assert simulation.edges[EDGES[0]].holders("m3") == ()
    simulation.run(MS * 50)
    assert len(simulation.edges[EDGES[0]].holders("m3")) == 1 and simulation.edges[EDGES[1]].is_known
    assert len(simulation.records("order")) <= 4  # the load order and a few polls of it


def test_answered_poll_is_not_counted_as_an_order():
    """A load that takes longer than estimated does not delay the next order, whether servers answer its polls with 202
    or 409: counting a poll as an order would make the next sequence number wrong."""
    for repeat in (202, 409):
        simulation = ProvisionerSimulation(servers=1)
        simulation.engines["i-0"].repeat_status, simulation.engines["i-0"].load_slowdown = repeat, lambda: 1.4
        simulation.run(timedelta(seconds=1))
        for model in ("m1", "m2"):
            simulation.request(model)
            simulation.run(timedelta(seconds=1))
            assert simulation.edges[EDGES[0]].holders(model) == ("i-0",), repeat


def test_each_server_reports_once_before_its_first_order():
    """No server gets an order before its first report, and the models that it reports are published."""
    simulation = ProvisionerSimulation(held={0: ("m0", "m1", "m2")})
    simulation.request("m5")
    assert simulation.records("order") == []
    simulation.run(timedelta(seconds=1))
    assert simulation.edges[EDGES[0]].holders("m0") == ("i-0",) and len(simulation.holders("m5")) == 1
    assert simulation.records("breach") == []


def _run_with_random_faults(seed):
    """Runs small servers with random requests, a tenth of the calls lost, delays, restarts, leaving servers and
    takeovers."""
    random = Random(seed)
    simulation = ProvisionerSimulation(
        servers=5,
        models=14,
        seed=seed,
        memory_mb=random.choice((140.0, 220.0)),
        places=3,
        loss=0.1,
        held={0: ("m0", "m1"), 1: {"m2": ("a1", "a2")}},
    )
    simulation.delay = lambda: MS * simulation.random.choice((1, 1, 2, 2, 3, 5, 40, 400))
    for engine in simulation.engines.values():
        engine.repeat_status = random.choice((202, 409))
    for turn in range(100):
        names = [
            f"m{random.randrange(14)}" + random.choice(("", "", f"/a{random.randrange(1, 9)}"))
            for _ in range(random.randrange(6))
        ]
        simulation.request(*names, edge=random.choice(EDGES), left=random.choice((300.0, 2000.0)))
        if turn % 5 == 0:
            simulation.report_usage({name: (random.randrange(5), random.randrange(3)) for name in names})
        roll = random.random()
        if roll < 0.02:
            simulation.take_over()
        elif roll < 0.03:
            simulation.engines[random.choice(sorted(simulation.engines))].restart(
                simulation.now
            )  # it comes back empty, under the same name
        elif roll < 0.04:
            name = random.choice(sorted(simulation.state.servers))
            simulation.state.servers[name] = {
                **simulation.state.servers[name],
                "leaving": not simulation.state.servers[name]["leaving"],
            }
            simulation.handle(StateChanged())
        simulation.run(MS * random.randrange(200))
    return simulation


def test_memory_store_rate_and_fences_hold_under_random_faults():
    """In 80 seeded runs with faults, no order exceeds a server's memory or adapter slots, and the store's rate limit
    holds."""
    stored = 0
    for seed in range(80):
        simulation = _run_with_random_faults(seed)
        assert simulation.records("breach") == [], seed
        assert simulation.is_store_rate_limit_kept(), seed
        stored += len(simulation.records("stored"))
    assert stored > 80 * 15  # the runs did load models


def test_requested_models_are_loaded_after_a_period_of_lost_calls():
    """After a period of lost calls, requested models are loaded and the edges know exactly what the servers hold."""
    simulation = ProvisionerSimulation(servers=5, models=14, seed=5, loss=0.3)
    for _ in range(20):
        simulation.request(*[f"m{simulation.random.randrange(14)}" for _ in range(5)])
        simulation.run(MS * 200)
    simulation.loss = 0.0
    simulation.run(timedelta(seconds=2))
    for _ in range(10):
        simulation.request("m3", "m4/a2")
        simulation.run(MS * 300)
    edge = simulation.edges[EDGES[0]]
    assert edge.holders("m3") and edge.holders("m4", "a2")
    assert all(
        edge.holders(model) == tuple(simulation.holders(model)) for model in [f"m{number}" for number in range(14)]
    )


def test_store_rate_limit_is_kept_over_takeovers():
    """With more requests than the store can serve and several holders in quick succession, all loads together stay
    within its rate limit."""
    simulation = ProvisionerSimulation(servers=12, models=400, load_ms=300.0, loads_per_s=1.5)
    for turn in range(100):
        simulation.request(*[f"m{number}" for number in range(turn * 4, turn * 4 + 8)])
        if turn in (41, 47, 53, 58, 80):
            simulation.take_over()
        simulation.run(MS * 200)
    assert len(simulation.records("stored")) > 20 and simulation.is_store_rate_limit_kept()


def test_store_rate_limit_is_kept_after_a_long_idle_time():
    """After a minute without loads, requests for all models do not exceed the store's rate limit in any five
    seconds."""
    simulation = ProvisionerSimulation(servers=12, models=400, load_ms=300.0, loads_per_s=1.5)
    simulation.run(timedelta(seconds=60))
    for turn in range(50):
        simulation.request(*[f"m{number}" for number in range(turn * 4, turn * 4 + 8)])
        simulation.run(MS * 200)
    assert simulation.is_store_rate_limit_kept() and len(simulation.records("stored")) > 12


def test_store_rate_limit_is_kept_if_responses_to_orders_are_lost():
    """If servers accept orders and their responses are lost, loads that may have begun stay counted against the
    limit."""
    for seed in range(4):
        simulation = ProvisionerSimulation(servers=12, models=400, load_ms=300.0, loads_per_s=1.5, seed=seed)
        arrive = simulation._arrive

        def lose(holder, effect):
            is_order = effect.method == "POST"
            if not is_order or simulation.random.random() < 0.3:
                return arrive(holder, effect)
            name, path = effect.url.removeprefix("http://").split(":1", 1)
            simulation.engines[name].take(effect.method, path, effect.body, simulation.now)
            simulation.schedule(effect.total_timeout, "answer", holder, CallFailed(effect.call_id, CallFailure.TIMEOUT))

        simulation._arrive = lose
        for turn in range(100):
            simulation.request(*[f"m{number}" for number in range(turn * 4, turn * 4 + 8)])
            simulation.run(MS * 200)
        assert simulation.is_store_rate_limit_kept(), seed
        assert len(simulation.records("stored")) > 12


def test_a_server_gets_no_other_order_while_it_carries_one_out():
    """A busy server only gets polls of the order that it is carrying out, although requests for all models are waiting;
    all orders carry the fencing token of the current holder."""
    simulation, others = ProvisionerSimulation(servers=2, models=14, memory_mb=500.0), []
    for engine in simulation.engines.values():

        def take(method, path, body, now, engine=engine, plain=engine.take):
            engine._finish_order(now)
            if method == "POST" and engine.busy is not None:
                order = msgspec.json.decode(body)
                if (order["verb"], order["model"], order.get("adapter", "")) != engine.busy[1:]:
                    others.append((now, engine.name, order))
            return plain(method, path, body, now)

        simulation.engines[engine.name] = Item(take=take, record=engine.record, models=engine.models)
    for turn in range(30):
        simulation.request(*[f"m{number}" for number in range(14)], "m0/a1", "m1/a2")
        if turn == 15:
            simulation.run(timedelta(seconds=3))
            simulation.take_over()
        simulation.run(MS * 150)
    assert others == [] and len(simulation.records("stored")) > 6
    fences = [fence for _, _, (_, _, _, fence) in simulation.records("order")]
    assert fences == sorted(fences) and set(fences) == {1, 2}


def test_a_new_holder_sends_no_order_to_a_server_that_reported_only_that_it_is_busy():
    """If a server still carries out the previous holder's load, the new holder sends it no order until a report lists
    its models."""
    simulation = ProvisionerSimulation(servers=1, load_ms=1500.0)
    simulation.run(timedelta(seconds=1))
    simulation.request("m1")
    simulation.run(MS * 400)
    simulation.take_over()
    before = len(simulation.records("order"))
    for _ in range(20):
        simulation.request("m2")
        simulation.run(MS * 20)
    assert len(simulation.records("order")) == before
    for _ in range(20):
        simulation.request("m2")
        simulation.run(MS * 200)
    assert simulation.edges[EDGES[0]].holders("m2") == ("i-0",) and simulation.records("breach") == []


def test_new_edge_gets_a_snapshot_with_the_next_tick():
    """An edge that joins gets one snapshot with the next tick."""
    simulation = ProvisionerSimulation(held={0: ("m0",)})
    simulation.run(timedelta(seconds=1.5))
    simulation.edges["10.0.1.3:7"] = PlacementView()
    sent = [
        effect
        for effect in simulation.handle(LeaseTick(simulation.fence, (*EDGES, "10.0.1.3:7")))
        if isinstance(effect, Send) and effect.address == "10.0.1.3:7"
    ]
    assert [effect.message.is_snapshot for effect in sent] == [True]
    assert sent[0].message.servers["i-0"] == {"m0": ()}


def test_loads_are_polled_close_to_their_completion():
    """Once the first of equally long loads have completed, each further load needs only a few polls."""
    simulation = ProvisionerSimulation(models=40, servers=3)
    for engine in simulation.engines.values():
        engine.load_slowdown = lambda: 1.1
    for number in range(36):
        simulation.request(f"m{number}")
        simulation.run(MS * 800)
    late = [
        what
        for at, _, (verb, what, _, _) in simulation.records("order")
        if verb == "load" and at > timedelta(seconds=15)
    ]
    assert len(late) / len(set(late)) < 3.5  # the order and one or two polls


def test_leaving_evacuated_and_removed_servers_get_no_loads():
    """Servers that are leaving, in an evacuated zone or no longer listed get no loads."""
    simulation = ProvisionerSimulation(servers=6)
    simulation.state.servers["i-0"] = {**simulation.state.servers["i-0"], "leaving": True}
    simulation.state.evacuated = ("b",)
    del simulation.state.servers["i-2"]
    simulation.handle(StateChanged())
    simulation.run(timedelta(seconds=1))
    for _ in range(6):
        simulation.request(*[f"m{number}" for number in range(6)])
        simulation.run(MS * 300)
    assert {name for _, name, _ in simulation.records("order")} == {"i-3", "i-5"}
    assert simulation.edges[EDGES[0]].holders("m0") != ()


def test_models_of_a_leaving_server_are_loaded_elsewhere_without_a_request():
    """A model in use on a leaving server is loaded on another one before any placement request for it."""
    simulation = ProvisionerSimulation(held={0: ("m0",)})
    simulation.run_with_usage(3, {"m0": (2, 1)})
    simulation.state.servers["i-0"] = {**simulation.state.servers["i-0"], "leaving": True}
    simulation.handle(StateChanged())
    simulation.run_with_usage(2, {"m0": (2, 1)})
    assert [name for name in simulation.holders("m0") if name != "i-0"]


def test_request_detects_a_vanished_server():
    """A request for a model on a vanished server makes the holder poll the server, and then load the model
    elsewhere."""
    simulation = ProvisionerSimulation(held={0: ("m0",)})
    simulation.run(timedelta(seconds=3))
    del simulation.engines["i-0"]
    simulation.request("m0")
    simulation.run(MS * 300)
    assert simulation.edges[EDGES[0]].holders("m0") == ()
    simulation.request("m0")
    simulation.run(timedelta(seconds=1))
    assert len(simulation.edges[EDGES[0]].holders("m0")) == 1


def test_no_order_after_the_lease_has_ended():
    """A holder without ticks, or one that lost the lease, sends no orders."""
    simulation = ProvisionerSimulation()
    simulation.run(timedelta(seconds=1))
    simulation.is_ticking = False
    simulation.run(MS * 200)
    assert simulation.request("m3") == [] and simulation.handle(DelayElapsed()) == []
    simulation.is_ticking = True
    simulation.handle(LeaseTick(0, EDGES))
    assert simulation.request("m4") == [] and simulation.records("order") == []


def test_superseded_holder_stops_sending_orders():
    """A holder stops sending orders at the first response that reports a higher fencing token."""
    simulation = ProvisionerSimulation()
    simulation.run(timedelta(seconds=1))
    for engine in simulation.engines.values():
        engine.fence = 9
    simulation.request("m3")
    simulation.run(MS * 100)
    assert orders_of(simulation.request("m4")) == [] and simulation.records("stored") == []


def test_gap_in_updates_leads_to_a_snapshot_and_older_fences_are_ignored():
    """An edge that missed updates gets a snapshot; updates with older fencing tokens change nothing."""
    simulation = ProvisionerSimulation(held={0: ("m0",)})
    simulation.run(timedelta(seconds=1))
    edge = simulation.edges[EDGES[0]] = PlacementView()  # this edge restarts without any placements
    simulation.run(timedelta(seconds=2))
    assert edge.is_known and edge.holders("m0") == ("i-0",)
    assert edge.take(
        MessageReceived("core", "c:1", PlacementUpdate(0, 1, 99, True, {})), simulation.now
    ) == [] and edge.holders("m0")
    simulation.take_over()
    simulation.run(timedelta(seconds=1))
    assert edge.fence == 2 and edge.holders("m0") == ("i-0",)
    edge.forget("i-0", "m0")
    assert edge.holders("m0") == () and not edge.holds("i-0", "m0")


def test_edges_follow_a_holder_restarted_under_the_same_fence():
    """Edges accept the updates of a restarted holder from the first on, although they are numbered from the start
    again."""
    simulation = ProvisionerSimulation(held={0: ("m0",)})
    simulation.run(timedelta(seconds=1))
    for model in ("m3", "m4", "m5"):
        simulation.request(model)
        simulation.run(timedelta(seconds=2))
    edge = simulation.edges[EDGES[0]]
    before = edge.number
    simulation.restart()
    simulation.run(timedelta(seconds=1.5))
    assert edge.number < before and edge.holders("m3")
    simulation.request("m6")
    simulation.run(timedelta(seconds=2))
    assert edge.holders("m6")


def test_idle_servers_get_no_calls_and_edges_only_heartbeats():
    """Without requests for half a minute, servers get no calls and edges get only heartbeats."""
    simulation = ProvisionerSimulation(held=dict.fromkeys(range(6), ("m0", "m1", "m2")))
    simulation.run(timedelta(seconds=30))
    assert simulation.records("order") == [] and simulation.records("report") == []
    assert len([item for item in simulation.updates if item[1] == EDGES[0]]) <= 32
    assert all(not message.servers for _, _, message in simulation.updates if not message.is_snapshot)


def test_status_lists_replicas_and_reasons_without_side_effects():
    """The status lists replicas with reasons, a leaving server and a pending request; reading it has no side effect."""
    simulation = ProvisionerSimulation(held={0: ("m0",), 1: ("m1",)})
    simulation.run_with_usage(4, {"m0": (5, 6)})
    simulation.state.servers["i-2"] = {**simulation.state.servers["i-2"], "leaving": True}
    simulation.handle(StateChanged())
    simulation.request("m7")
    status = placement_status(simulation.holder, simulation.now)
    assert status == placement_status(simulation.holder, simulation.now)
    reasons = {item["model"]: item["reason"] for item in status["models"]}
    assert "6 running" in reasons["m0"] and "keeps 2" in reasons["m0"] and reasons["m1"].startswith("nobody asks")
    assert status["servers"]["i-2"]["condition"].startswith("leaving") and [
        item["name"] for item in status["wanted"]
    ] == ["m7"]
    assert [server["order"] for server in status["servers"].values() if server["order"]] == [
        "load m7, not answered yet"
    ]
    msgspec.json.encode(status)


def test_edge_without_placements_gets_a_snapshot_before_all_servers_have_reported():
    """If one server does not respond to a new holder, an edge without placements gets those of the others at once; an
    edge with placements keeps them."""
    simulation = ProvisionerSimulation(held={number: (f"m{number}",) for number in range(6)})
    arrive = simulation._arrive
    simulation._arrive = lambda holder, effect: (
        simulation.schedule(MS * 250, "answer", holder, CallFailed(effect.call_id, CallFailure.CONNECT_TIMEOUT))
        if "//i-5:" in effect.url
        else arrive(holder, effect)
    )
    old, blank = simulation.edges[EDGES[0]], PlacementView()
    old.take(MessageReceived("core", "c:1", PlacementUpdate(0, 1, 1, True, {"i-9": {"m9": ()}})), simulation.now)
    simulation.edges[EDGES[1]] = blank
    simulation.run(MS * 100)
    simulation.handle(MessageReceived(EDGES[1], EDGES[1], PlacementSnapshotRequest(-1)))
    simulation.run(MS * 10)
    assert blank.is_known and blank.holders("m0") == ("i-0",) and old.holders("m9") == ("i-9",)
    simulation.run(timedelta(seconds=1.5))
    assert old.holders("m0") and blank.holders("m4")


def test_overloaded_model_may_be_taken_out_of_its_service():
    """A busy model whose replicas are overloaded is taken out of its service: no event fails (review case 1, KeyError)."""
    simulation = ProvisionerSimulation(held={0: ("m0",)}, loads_per_s=0.5)
    simulation.run(timedelta(seconds=1))
    for _ in range(20):
        simulation.report_usage({"m0": (200, 400)})
        simulation.run(MS * 100)
        if "m0" in simulation.holder.targets.overloaded.get("llm", ()):
            break
    else:
        raise AssertionError("the model was never overloaded")
    simulation.configure([f"m{number}" for number in range(1, 12)])
    simulation.request("m0", "m0/a1", "m5")
    simulation.report_usage({"m0": (200, 400)})
    simulation.run(timedelta(seconds=2))
    simulation.run_with_usage(4, {}, ("m5",))
    assert simulation.edges[EDGES[0]].holders("m5")


@pytest.mark.parametrize("seed", range(8))
def test_models_and_services_may_be_taken_out_while_busy(seed):
    """Models and the whole service are taken out and put back at random while requests, usage, loads and a takeover go on: no
    event fails, no server is overloaded, and afterwards requested models are loaded."""
    random = Random(seed)
    simulation = ProvisionerSimulation(servers=4, models=10, seed=seed, loss=0.1 * (seed % 2))
    names = [f"m{number}" for number in range(10)]
    for _ in range(60):
        busy = random.sample(names, 4)
        simulation.report_usage({name: (random.randrange(60), random.randrange(80)) for name in busy})
        simulation.request(*random.sample(names, 3), f"{random.choice(names)}/a{random.randrange(8)}")
        simulation.run(MS * random.randrange(20, 400))
        if random.random() < 0.5:
            simulation.configure(random.sample(names, random.randrange(10)), has_service=random.random() < 0.8)
        if random.random() < 0.05:
            simulation.take_over()
        if random.random() < 0.1:
            server = random.choice(tuple(simulation.state.servers))
            simulation.state.servers[server]["leaving"] = random.random() < 0.5
            simulation.handle(StateChanged())
    for server in simulation.state.servers.values():
        server["leaving"] = False
    simulation.configure(names)
    simulation.loss = 0.0
    simulation.run_with_usage(20, {}, ("m1", "m2"))
    assert simulation.records("breach") == [] and simulation.is_store_rate_limit_kept()
    assert simulation.holders("m1") and simulation.holders("m2")


def _two_lives(reports_check_name):
    """Returns a simulation in which a server of host "h0" has ended and a new one holds m0 at its address, and both entries."""
    simulation = ProvisionerSimulation(servers=0)
    simulation.reports_check_name = reports_check_name
    old = simulation.start_life("h0", "i-old", ("m0",))
    simulation.list_servers({"i-old": old})
    simulation.run(timedelta(seconds=1))
    assert simulation.edges[EDGES[0]].holders("m0") == ("i-old",)
    return simulation, old, simulation.start_life("h0", "i-new", ("m0", "m1"))


@pytest.mark.parametrize("reports_check_name", (False, True))
@pytest.mark.parametrize("is_newest_first", (False, True))
def test_new_lease_uses_a_restarted_server_in_any_order_of_the_list(is_newest_first, reports_check_name):
    """A new lease begins while the list shows two lives of a server at one address, in either order: the new life is used at
    once and gets orders, also after the old one has left the list (review case 3)."""
    simulation, old, new = _two_lives(reports_check_name)
    lives = [("i-new", new), ("i-old", old)] if is_newest_first else [("i-old", old), ("i-new", new)]
    simulation.list_servers(lives)
    simulation.take_over()
    simulation.run(timedelta(seconds=2))
    assert "i-new" in simulation.edges[EDGES[0]].holders("m0")
    simulation.run_with_usage(2, {}, ("m5",))
    assert simulation.edges[EDGES[0]].holders("m5") == ("i-new",)
    simulation.list_servers({"i-new": new})
    simulation.run_with_usage(2, {}, ("m6",))
    for model in ("m5", "m6"):
        assert simulation.edges[EDGES[0]].holders(model) == ("i-new",)
    assert simulation.records("breach") == []


@pytest.mark.parametrize("reports_check_name", (False, True))
def test_server_that_is_listed_again_does_not_replace_the_one_at_its_address(reports_check_name):
    """A list shows the new life, then both, then the old one again beside it: the new life is used throughout."""
    simulation, old, new = _two_lives(reports_check_name)
    for listed in ({"i-new": new}, {"i-old": old, "i-new": new}, {"i-new": new}, {"i-new": new, "i-old": old}):
        simulation.list_servers(listed)
        simulation.run(timedelta(seconds=1))
        assert "i-new" in simulation.edges[EDGES[0]].holders("m0")
    simulation.run_with_usage(8, {}, ("m7",))
    assert simulation.edges[EDGES[0]].holders("m7") == ("i-new",) and simulation.records("breach") == []


def test_mark_of_a_replaced_server_ends_with_its_reason():
    """A server answers one order as if it were another one, since its answer was spoiled: it is asked again and used."""
    simulation = ProvisionerSimulation(servers=1, held={0: ("m0",)})
    simulation.run(timedelta(seconds=1))
    engine = simulation.engines["i-0"]
    engine.name = "spoiled"
    simulation.request("m3")
    simulation.run(MS * 50)
    engine.name = "i-0"
    assert simulation.edges[EDGES[0]].holders("m0") == ()
    simulation.run_with_usage(7, {}, ("m3",))
    assert simulation.edges[EDGES[0]].holders("m0") == ("i-0",) == simulation.edges[EDGES[0]].holders("m3")


def test_model_that_an_edge_forgot_is_published_again():
    """A server denies a model once, by mistake, so that an edge removes it: once the edge requests the model and the server still
    reports it, the edge gets it again, though nothing has changed."""
    simulation = ProvisionerSimulation(servers=1, held={0: ("m0",)})
    simulation.run(timedelta(seconds=3))
    simulation.edges[EDGES[0]].forget("i-0", "m0")
    simulation.run_with_usage(3, {}, ("m0",))
    assert simulation.edges[EDGES[0]].holders("m0") == ("i-0",)


def test_call_whose_outcome_is_lost_does_not_block_its_server():
    """The event of a call's outcome never comes: the server is called again."""
    simulation = ProvisionerSimulation(servers=1)
    simulation.run(timedelta(seconds=1))
    simulation._answer, answer = lambda holder, event: None, simulation._answer
    simulation.request("m3")
    simulation.run(MS * 300)
    simulation._answer = answer
    simulation.run_with_usage(5, {}, ("m3",))
    assert simulation.edges[EDGES[0]].holders("m3") == ("i-0",)


def test_holder_that_keeps_its_lease_orders_again_after_a_refused_fence():
    """One server refuses an order as fenced, by mistake, but the holder keeps its lease: it sends orders again some seconds later."""
    simulation = ProvisionerSimulation(servers=2)
    simulation.run(timedelta(seconds=1))
    for engine in simulation.engines.values():
        engine.fence = 9
    simulation.request("m3")
    simulation.run(MS * 100)
    for engine in simulation.engines.values():
        engine.fence = 0
    simulation.run_with_usage(8, {}, ("m3",))
    assert simulation.edges[EDGES[0]].holders("m3")


@pytest.mark.parametrize("seed", range(6))
def test_restarted_servers_are_used_whatever_the_list_shows(seed):
    """Servers restart at their addresses, the list shows former lives for a while in any order, and leases change: afterwards
    every running server is used, and no server was overloaded."""
    random = Random(seed)
    simulation = ProvisionerSimulation(servers=0, models=8, seed=seed)
    simulation.reports_check_name = bool(seed % 2)
    hosts, lives, gone, number = [f"h{place}" for place in range(3)], {}, {}, 0
    for host in hosts:
        lives[host] = (f"i-{number}", simulation.start_life(host, f"i-{number}", (f"m{number}",)))
        number += 1
    for _ in range(40):
        if random.random() < 0.4:
            host = random.choice(hosts)
            gone[lives[host][0]] = lives[host][1]
            lives[host] = (f"i-{number}", simulation.start_life(host, f"i-{number}"))
            number += 1
        for name in [name for name in gone if random.random() < 0.2]:
            del gone[name]
        listed = [*lives.values(), *gone.items()]
        random.shuffle(listed)
        simulation.list_servers(listed)
        if random.random() < 0.2:
            simulation.take_over()
        simulation.request(f"m{random.randrange(8)}")
        simulation.run(MS * random.randrange(50, 900))
    simulation.list_servers(lives.values())
    simulation.run_with_usage(8, {}, ("m1",))
    assert all(server.is_known and server.is_open for server in simulation.holder.registry.servers.values())
    assert simulation.edges[EDGES[0]].holders("m1") and simulation.records("breach") == []


def test_load_from_the_store_never_uses_a_kept_connection():
    """The first attempt of a load from the store gets a new connection, so that no surplus response to an earlier order refunds
    its token; polls, unloads and loads from disk use kept ones."""
    simulation, fetches = ProvisionerSimulation(servers=1, models=8), []
    handle = simulation.handle

    def recording_handle(event, holder=None):
        effects = handle(event, holder)
        fetches.extend(effect for effect in effects if isinstance(effect, Fetch) and effect.method == "POST")
        return effects

    simulation.handle = recording_handle
    for model in ("m1", "m2", "m3", "m4", "m1"):
        simulation.run_with_usage(3, {}, (model,))
    orders = [(msgspec.json.decode(fetch.body), fetch.reuse) for fetch in fetches]
    stored = [model for _, _, model in simulation.records("stored")]
    new_connections = [order["model"] for order, reuse in orders if reuse is ConnectionReuse.NEVER]
    assert new_connections == stored == ["m1", "m2", "m3", "m4"]
    assert {order["verb"] for order, reuse in orders if reuse is ConnectionReuse.ALWAYS} == {"load", "unload"}
