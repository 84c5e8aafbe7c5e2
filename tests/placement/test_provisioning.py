"""Placement on demand: orders for what edges request, limits kept whatever is lost, updates to the edges."""

from datetime import timedelta
from random import Random
from types import SimpleNamespace as Item

import msgspec

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import Send
from sumachook.host.events import CallFailed, DelayElapsed, MessageReceived
from sumachook.placement.events import LeaseTick, StateChanged
from sumachook.placement.messages import PlacementSnapshotRequest, PlacementUpdate
from sumachook.placement.placement_status import placement_status
from sumachook.placement.places import PlacementView
from tests.placement.provisioning_fixtures import EDGES, MS, ProvisionerScene, orders_of


def test_request_is_ordered_at_once_and_its_replica_published_on_completion():
    """Given idle servers, a request is ordered in the same call, and both edges know the replica once it is complete."""
    scene = ProvisionerScene()
    scene.run(timedelta(seconds=1))
    assert [order["model"] for order in orders_of(scene.request("m3"))] == ["m3"]
    scene.run(MS * 590)
    assert scene.edges[EDGES[0]].holders("m3") == ()
    scene.run(MS * 50)
    assert len(scene.edges[EDGES[0]].holders("m3")) == 1 and scene.edges[EDGES[1]].is_known
    assert len(scene.records("order")) <= 4  # the load, and few repeats that ask for it


def test_poll_that_is_answered_as_accepted_is_not_counted_so_the_next_order_is_accepted():
    """Given servers that answer the order under way with 202 or 409, a load that takes longer than thought delays nothing after it."""
    for repeat in (202, 409):
        scene = ProvisionerScene(servers=1)
        scene.engines["i-0"].repeat, scene.engines["i-0"].slowness = repeat, lambda: 1.4
        scene.run(timedelta(seconds=1))
        for model in ("m1", "m2"):
            scene.request(model)
            scene.run(timedelta(seconds=1))
            assert scene.edges[EDGES[0]].holders(model) == ("i-0",), repeat


def test_each_server_reports_once_before_its_first_order():
    """Given servers that hold models, none is ordered before its report, and what they hold is published."""
    scene = ProvisionerScene(held={0: ("m0", "m1", "m2")})
    scene.request("m5")
    assert scene.records("order") == []
    scene.run(timedelta(seconds=1))
    assert scene.edges[EDGES[0]].holders("m0") == ("i-0",) and len(scene.holders("m5")) == 1
    assert scene.records("breach") == []


def _storm(seed):
    """Small servers, random requests, a tenth of orders or answers lost, late ones, restarts, leaving servers, takeovers."""
    random = Random(seed)
    scene = ProvisionerScene(
        servers=5,
        models=14,
        seed=seed,
        memory_mb=random.choice((140.0, 220.0)),
        places=3,
        loss=0.1,
        held={0: ("m0", "m1"), 1: {"m2": ("a1", "a2")}},
    )
    scene.delay = lambda: MS * scene.random.choice((1, 1, 2, 2, 3, 5, 40, 400))
    for engine in scene.engines.values():
        engine.repeat = random.choice((202, 409))
    for turn in range(100):
        names = [
            f"m{random.randrange(14)}" + random.choice(("", "", f"/a{random.randrange(1, 9)}"))
            for _ in range(random.randrange(6))
        ]
        scene.request(*names, edge=random.choice(EDGES), left=random.choice((300.0, 2000.0)))
        if turn % 5 == 0:
            scene.report_usage({name: (random.randrange(5), random.randrange(3)) for name in names})
        luck = random.random()
        if luck < 0.02:
            scene.take_over()
        elif luck < 0.03:
            scene.engines[random.choice(sorted(scene.engines))].restart(
                scene.now
            )  # empty, under its old name for a while
        elif luck < 0.04:
            name = random.choice(sorted(scene.state.servers))
            scene.state.servers[name] = {
                **scene.state.servers[name],
                "leaving": not scene.state.servers[name]["leaving"],
            }
            scene.give(StateChanged())
        scene.run(MS * random.randrange(200))
    return scene


def test_memory_store_rate_and_fences_hold_under_storms_with_lost_answers_and_takeovers():
    """Given 80 seeded storms, no server is ordered beyond its memory or adapter slots, and the store's rate limit holds."""
    stored = 0
    for seed in range(80):
        scene = _storm(seed)
        assert scene.records("breach") == [], seed
        assert scene.is_store_rate_kept(), seed
        stored += len(scene.records("stored"))
    assert stored > 80 * 15  # and they did work


def test_requested_models_are_loaded_again_after_a_storm():
    """Given a storm of losses that ends, what is requested is loaded, and edges know exactly what servers hold."""
    scene = ProvisionerScene(servers=5, models=14, seed=5, loss=0.3)
    for _ in range(20):
        scene.request(*[f"m{scene.random.randrange(14)}" for _ in range(5)])
        scene.run(MS * 200)
    scene.loss = 0.0
    scene.run(timedelta(seconds=2))
    for _ in range(10):
        scene.request("m3", "m4/a2")
        scene.run(MS * 300)
    edge = scene.edges[EDGES[0]]
    assert edge.holders("m3") and edge.holders("m4", "a2")
    assert all(edge.holders(model) == tuple(scene.holders(model)) for model in [f"m{number}" for number in range(14)])


def test_store_rate_limit_is_kept_over_takeovers():
    """Given more requests than the store can bear and holders that follow each other closely, all loads together stay within its rate."""
    scene = ProvisionerScene(servers=12, models=400, load_ms=300.0, loads_per_s=1.5)
    for turn in range(100):
        scene.request(*[f"m{number}" for number in range(turn * 4, turn * 4 + 8)])
        if turn in (41, 47, 53, 58, 80):
            scene.take_over()
        scene.run(MS * 200)
    assert len(scene.records("stored")) > 20 and scene.is_store_rate_kept()


def test_store_rate_limit_is_kept_after_a_long_idle_time():
    """Given a minute without a load and then requests for everything, no more is loaded in any five seconds than the store bears."""
    scene = ProvisionerScene(servers=12, models=400, load_ms=300.0, loads_per_s=1.5)
    scene.run(timedelta(seconds=60))
    for turn in range(50):
        scene.request(*[f"m{number}" for number in range(turn * 4, turn * 4 + 8)])
        scene.run(MS * 200)
    assert scene.is_store_rate_kept() and len(scene.records("stored")) > 12


def test_store_rate_limit_is_kept_where_answers_to_orders_are_lost():
    """Given servers that take each order and whose answers are lost, a load that may have begun stays counted."""
    for seed in range(4):
        scene = ProvisionerScene(servers=12, models=400, load_ms=300.0, loads_per_s=1.5, seed=seed)
        arrive = scene._arrive

        def lose(holder, effect):
            is_order = effect.method == "POST"
            if not is_order or scene.random.random() < 0.3:
                return arrive(holder, effect)
            name, path = effect.url.removeprefix("http://").split(":1", 1)
            scene.engines[name].take(effect.method, path, effect.body, scene.now)
            scene.at(effect.total_timeout, "answer", holder, CallFailed(effect.call_id, CallFailure.TIMEOUT))

        scene._arrive = lose
        for turn in range(100):
            scene.request(*[f"m{number}" for number in range(turn * 4, turn * 4 + 8)])
            scene.run(MS * 200)
        assert scene.is_store_rate_kept(), seed
        assert len(scene.records("stored")) > 12


def test_a_server_gets_no_other_order_while_it_carries_one_out():
    """Given requests for everything at few servers, whatever comes to a server that is busy is the order that it is busy with; all orders
    bear the fence of the holder of their time."""
    scene, others = ProvisionerScene(servers=2, models=14, memory_mb=500.0), []
    for engine in scene.engines.values():

        def take(method, path, body, now, engine=engine, plain=engine.take):
            engine._settle(now)
            if method == "POST" and engine.busy is not None:
                order = msgspec.json.decode(body)
                if (order["verb"], order["model"], order.get("adapter", "")) != engine.busy[1:]:
                    others.append((now, engine.name, order))
            return plain(method, path, body, now)

        scene.engines[engine.name] = Item(take=take, record=engine.record, models=engine.models)
    for turn in range(30):
        scene.request(*[f"m{number}" for number in range(14)], "m0/a1", "m1/a2")
        if turn == 15:
            scene.run(timedelta(seconds=3))
            scene.take_over()
        scene.run(MS * 150)
    assert others == [] and len(scene.records("stored")) > 6
    fences = [fence for _, _, (_, _, _, fence) in scene.records("order")]
    assert fences == sorted(fences) and set(fences) == {1, 2}


def test_a_new_holder_orders_nothing_at_a_server_whose_report_said_only_that_it_is_busy():
    """Given a server that still carries out the last holder's load, the next holder orders it only once a report says what it holds."""
    scene = ProvisionerScene(servers=1, load_ms=1500.0)
    scene.run(timedelta(seconds=1))
    scene.request("m1")
    scene.run(MS * 400)
    scene.take_over()
    before = len(scene.records("order"))
    for _ in range(20):
        scene.request("m2")
        scene.run(MS * 20)
    assert len(scene.records("order")) == before
    for _ in range(20):
        scene.request("m2")
        scene.run(MS * 200)
    assert scene.edges[EDGES[0]].holders("m2") == ("i-0",) and scene.records("breach") == []


def test_new_edge_gets_a_snapshot_with_the_next_tick():
    """Given an edge that joins, the next tick sends it one snapshot."""
    scene = ProvisionerScene(held={0: ("m0",)})
    scene.run(timedelta(seconds=1.5))
    scene.edges["10.0.1.3:7"] = PlacementView()
    sent = [
        effect
        for effect in scene.give(LeaseTick(scene.fence, (*EDGES, "10.0.1.3:7")))
        if isinstance(effect, Send) and effect.address == "10.0.1.3:7"
    ]
    assert [effect.message.is_snapshot for effect in sent] == [True]
    assert sent[0].message.servers["i-0"] == {"m0": ()}


def test_loads_are_polled_about_when_they_complete():
    """Given loads that all take as long, few repeats are needed for each once the first were done."""
    scene = ProvisionerScene(models=40, servers=3)
    for engine in scene.engines.values():
        engine.slowness = lambda: 1.1
    for number in range(36):
        scene.request(f"m{number}")
        scene.run(MS * 800)
    late = [
        what for at, _, (verb, what, _, _) in scene.records("order") if verb == "load" and at > timedelta(seconds=15)
    ]
    assert len(late) / len(set(late)) < 3.5  # the order, and one or two repeats


def test_leaving_evacuated_and_vanished_servers_get_no_loads():
    """Given servers that leave, lie in an evacuated zone or are no longer listed, loads go only to the others."""
    scene = ProvisionerScene(servers=6)
    scene.state.servers["i-0"] = {**scene.state.servers["i-0"], "leaving": True}
    scene.state.evacuated = ("b",)
    del scene.state.servers["i-2"]
    scene.give(StateChanged())
    scene.run(timedelta(seconds=1))
    for _ in range(6):
        scene.request(*[f"m{number}" for number in range(6)])
        scene.run(MS * 300)
    assert {name for _, name, _ in scene.records("order")} == {"i-3", "i-5"}
    assert scene.edges[EDGES[0]].holders("m0") != ()


def test_models_of_a_leaving_server_are_loaded_elsewhere_before_they_are_missed():
    """Given a model on a server that leaves, it is loaded elsewhere while its demand goes on, without a request."""
    scene = ProvisionerScene(held={0: ("m0",)})
    scene.run_with_usage(3, {"m0": (2, 1)})
    scene.state.servers["i-0"] = {**scene.state.servers["i-0"], "leaving": True}
    scene.give(StateChanged())
    scene.run_with_usage(2, {"m0": (2, 1)})
    assert [name for name in scene.holders("m0") if name != "i-0"]


def test_vanished_server_is_noticed_by_a_request_and_holds_nothing():
    """Given a server that vanished, a request for what it held leads to a report, and then to a load elsewhere."""
    scene = ProvisionerScene(held={0: ("m0",)})
    scene.run(timedelta(seconds=3))
    del scene.engines["i-0"]
    scene.request("m0")
    scene.run(MS * 300)
    assert scene.edges[EDGES[0]].holders("m0") == ()
    scene.request("m0")
    scene.run(timedelta(seconds=1))
    assert len(scene.edges[EDGES[0]].holders("m0")) == 1


def test_no_order_after_the_lease_ended():
    """Given a holder that gets no ticks, or one that lost the lease, it sends no order."""
    scene = ProvisionerScene()
    scene.run(timedelta(seconds=1))
    scene.is_ticking = False
    scene.run(MS * 200)
    assert scene.request("m3") == [] and scene.give(DelayElapsed()) == []
    scene.is_ticking = True
    scene.give(LeaseTick(0, EDGES))
    assert scene.request("m4") == [] and scene.records("order") == []


def test_superseded_holder_orders_no_more():
    """Given servers that know a higher fence, the holder stops at the first answer that says so."""
    scene = ProvisionerScene()
    scene.run(timedelta(seconds=1))
    for engine in scene.engines.values():
        engine.fence = 9
    scene.request("m3")
    scene.run(MS * 100)
    assert orders_of(scene.request("m4")) == [] and scene.records("stored") == []


def test_gap_in_updates_leads_to_a_snapshot_and_older_fences_are_ignored():
    """Given an edge that missed updates, it gets a snapshot; updates under older fences change nothing."""
    scene = ProvisionerScene(held={0: ("m0",)})
    scene.run(timedelta(seconds=1))
    edge = scene.edges[EDGES[0]] = PlacementView()  # this edge starts anew and knows nothing
    scene.run(timedelta(seconds=2))
    assert edge.is_known and edge.holders("m0") == ("i-0",)
    assert edge.take(
        MessageReceived("core", "c:1", PlacementUpdate(0, 1, 99, True, {})), scene.now
    ) == [] and edge.holders("m0")
    scene.take_over()
    scene.run(timedelta(seconds=1))
    assert edge.fence == 2 and edge.holders("m0") == ("i-0",)
    edge.forget("i-0", "m0")
    assert edge.holders("m0") == () and not edge.holds("i-0", "m0")


def test_edges_follow_a_holder_that_was_restarted_under_the_same_fence():
    """Given a holder whose updates have reached a high number, those of its next incarnation count from the first on."""
    scene = ProvisionerScene(held={0: ("m0",)})
    scene.run(timedelta(seconds=1))
    for model in ("m3", "m4", "m5"):
        scene.request(model)
        scene.run(timedelta(seconds=2))
    edge = scene.edges[EDGES[0]]
    before = edge.number
    scene.restart()
    scene.run(timedelta(seconds=1.5))
    assert edge.number < before and edge.holders("m3")
    scene.request("m6")
    scene.run(timedelta(seconds=2))
    assert edge.holders("m6")


def test_updates_are_small_and_idle_servers_get_no_calls():
    """Given half a minute without requests, servers get no calls and edges only heartbeats."""
    scene = ProvisionerScene(held=dict.fromkeys(range(6), ("m0", "m1", "m2")))
    scene.run(timedelta(seconds=30))
    assert scene.records("order") == [] and scene.records("report") == []
    assert len([item for item in scene.updates if item[1] == EDGES[0]]) <= 32
    assert all(not message.servers for _, _, message in scene.updates if not message.is_snapshot)


def test_status_names_replicas_and_reasons_and_changes_nothing():
    """Given demand, a leaving server and a request, the status names them with reasons, and reading it changes nothing."""
    scene = ProvisionerScene(held={0: ("m0",), 1: ("m1",)})
    scene.run_with_usage(4, {"m0": (5, 6)})
    scene.state.servers["i-2"] = {**scene.state.servers["i-2"], "leaving": True}
    scene.give(StateChanged())
    scene.request("m7")
    status = placement_status(scene.holder, scene.now)
    assert status == placement_status(scene.holder, scene.now)
    reasons = {item["model"]: item["reason"] for item in status["models"]}
    assert "6 running" in reasons["m0"] and "keeps 2" in reasons["m0"] and reasons["m1"].startswith("nobody asks")
    assert status["servers"]["i-2"]["condition"].startswith("leaving") and [
        item["name"] for item in status["wanted"]
    ] == ["m7"]
    assert [server["order"] for server in status["servers"].values() if server["order"]] == [
        "load m7, not answered yet"
    ]
    msgspec.json.encode(status)


def test_blank_edge_gets_a_snapshot_before_every_server_has_reported():
    """Given a new holder and a server that does not answer, a blank edge has the others' places at once; one with a picture keeps it."""
    scene = ProvisionerScene(held={number: (f"m{number}",) for number in range(6)})
    arrive = scene._arrive
    scene._arrive = lambda holder, effect: (
        scene.at(MS * 250, "answer", holder, CallFailed(effect.call_id, CallFailure.CONNECT_TIMEOUT))
        if "//i-5:" in effect.url
        else arrive(holder, effect)
    )
    old, blank = scene.edges[EDGES[0]], PlacementView()
    old.take(MessageReceived("core", "c:1", PlacementUpdate(0, 1, 1, True, {"i-9": {"m9": ()}})), scene.now)
    scene.edges[EDGES[1]] = blank
    scene.run(MS * 100)
    scene.give(MessageReceived(EDGES[1], EDGES[1], PlacementSnapshotRequest(-1)))
    scene.run(MS * 10)
    assert blank.is_known and blank.holders("m0") == ("i-0",) and old.holders("m9") == ("i-9",)
    scene.run(timedelta(seconds=1.5))
    assert old.holders("m0") and blank.holders("m4")
