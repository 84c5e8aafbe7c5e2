"""Control state: founding, views, configuration, duties, the feed."""

from datetime import timedelta

from tests.scene import box_of, found, json_fields, leader, others, settled

ROUTES = {"routes": [{"name": "extra", "target": "refund-01"}]}


def _apply(town, core, request, doc=ROUTES, part=True, **more):
    return town.ask(
        core, "POST", "/operator/apply", {"request": request, "doc": doc, "part": part, **json_fields(more)}
    )


def _generations(town):
    return {machine.state.generation for role in ("core", "edge") for machine in town.machines(role)}


def _swap_all_cores(town):
    """One after the other: a new machine at a new address, then the old one is gone for good."""
    for place in (1, 2, 3):
        node = {
            "name": f"core-{place + 3}",
            "role": "core",
            "area": "hall-a",
            "address": f"127.0.0.9:{17100 + place}",
            "door": f"127.0.0.9:{17200 + place}",
        }
        town.add_node(node, founding=[])
        town.run(3)
        town.vanish(f"core-{place}")
        new_seat = town.boxes[f"core-{place + 3}"].machine.node
        assert town.run_until(lambda: leader(town) is not None and new_seat in leader(town).consensus.members, 30), (
            place
        )
        town.run(2)


def test_founding_needs_all_three_blank_cores():
    """Given two of three cores, when they start, no view is founded; when the third comes, one is, with all in it."""
    from sumachook.simulation.city import Town
    from tests.scene import city

    town = Town(city(), 3, edges=1)
    town.kill("core-3")
    town.run(8)
    assert all(core.consensus.is_blank for core in town.machines("core"))
    town.start("core-3")
    assert town.run_until(lambda: leader(town) is not None, 6)
    assert len(leader(town).consensus.members) == 3


def test_kill_of_each_core_loses_nothing_acknowledged():
    """Given a town, when each core is killed and comes back in turn, what was acked before and between stays, on all nodes."""
    town = settled(5)
    for place in range(1, 4):
        name = f"core-{place}"
        town.kill(name)
        other = f"core-{place % 3 + 1}"
        answer = _apply(town, other, f"during-{place}", {"routes": [{"name": f"r{place}", "target": "refund-01"}]})
        assert answer[0] == 200, answer
        town.start(name)
        assert town.run_until(lambda: leader(town) is not None and len(leader(town).consensus.members) == 3, 10)
    town.run(2)
    for machine in town.machines("core") + town.machines("edge"):
        assert {"r1", "r2", "r3"} <= {route.name for route in machine.state.catalogue.routes}


def test_power_loss_of_all_cores_right_after_an_ack():
    """Given an acked change, when all cores lose power in the same instant and return, the change is there."""
    town = settled(6)
    assert _apply(town, "core-2", "last-word")[0] == 200
    for place in (1, 2, 3):
        town.kill(f"core-{place}")
    town.run(1)
    for place in (1, 2, 3):
        town.start(f"core-{place}")
    assert town.run_until(lambda: leader(town) is not None and leader(town).state.generation == 2, 12)


def test_minority_refuses_and_says_so():
    """Given a split, a lone core refuses writes as not applied and shows itself stale; the majority goes on; then all agree."""
    town = settled(7)
    lone = box_of(town, leader(town)).name
    town.cut([lone], others(town, lone))
    town.run(4)
    answer = _apply(town, lone, "in-vain")
    assert answer[0] == 503 and answer[1]["fault"]["applied"] == "no"
    assert town.ask(lone, "GET", "/show/pairs")[1]["stale"] is True
    rest = next(name for name in ("core-1", "core-2", "core-3") if name != lone)
    assert _apply(town, rest, "majority")[0] == 200
    town.heal()
    assert town.run_until(
        lambda: leader(town) is not None and len(leader(town).consensus.members) == 3 and _generations(town) == {2}, 15
    )


def test_lost_core_is_replaced_by_an_empty_one_at_a_new_address():
    """Given a core whose machine is gone, a blank one elsewhere takes its seat; another loss after that is survived."""
    town = settled(8, seat_away=4.0)
    old = {box.name: box.machine.node for box in town.boxes.values() if box.role == "core"}
    town.vanish("core-3")
    node = {"name": "core-4", "role": "core", "area": "hall-c", "address": "127.0.0.9:17009", "door": "127.0.0.9:17029"}
    town.add_node(node, founding=[])
    new_seat = town.boxes["core-4"].machine.node
    wanted = {old["core-1"], old["core-2"], new_seat}
    assert town.run_until(lambda: leader(town) is not None and set(leader(town).consensus.members) == wanted, 25)
    assert town.run_until(
        lambda: set(leader(town).state.roster) == wanted, 0.2
    )  # the lost one goes once the new one is in the view
    town.vanish("core-1")
    assert town.run_until(lambda: leader(town) is not None, 8)
    assert _apply(town, "core-4", "after")[0] == 200


def test_blank_disk_never_votes_as_its_former_self():
    """Given a core whose disk is wiped, it comes back as somebody else and its old seat casts no vote."""
    town = settled(9, seat_away=4.0)
    former = town.boxes["core-2"].machine.node
    town.kill("core-2")
    town.boxes["core-2"].disk.wipe()
    town.start("core-2")
    assert town.boxes["core-2"].machine.node != former
    assert town.run_until(
        lambda: (
            leader(town) is not None
            and former not in leader(town).state.roster
            and len(leader(town).consensus.members) == 3
        ),
        25,
    )


def test_racing_stale_and_repeated_configurations():
    """Given two operators at two cores: partial changes merge, one that names a generation gone by is stale, a repeat applies once."""
    town = settled(10)
    first = _apply(town, "core-1", "a", {"routes": [{"name": "one", "target": "refund-01"}]}, if_generation=1)
    second = _apply(town, "core-2", "b", {"routes": [{"name": "two", "target": "refund-02"}]}, if_generation=1)
    third = _apply(town, "core-3", "c", {"routes": [{"name": "two", "target": "refund-02"}]})
    again = _apply(town, "core-1", "c", {"routes": [{"name": "two", "target": "refund-02"}]})
    assert (first[0], second[0], third[0], again[0]) == (200, 409, 200, 200)
    assert third[1]["generation"] == again[1]["generation"] == 3 and third[1]["number"] < again[1]["number"]
    assert {"one", "two"} <= {route.name for route in leader(town).state.catalogue.routes}


def test_bad_configuration_is_refused_whole_with_every_fault():
    """Given a catalogue with several faults, all are named by path and nothing changes on any node."""
    town = settled(11)
    doc = {
        "models": [{"name": "refund-01", "memory": -4.0}, {"name": "odd name", "memory": 1.0, "decodeRate": 1.0}],
        "routes": [{"name": "x", "target": "nowhere"}],
        "busy": "many",
    }
    status, answer = _apply(town, "core-1", "bad", doc)
    paths = [fault["path"] for fault in answer["faults"]]
    assert status == 422 and {"models[0].memory", "models[36].name", "busy"} <= set(paths)
    assert _generations(town) == {1}


def test_every_reachable_node_obeys_within_two_seconds_of_the_ack():
    """Rule 5. Given an edge whose core is cut off from the others just before a change, it obeys within two seconds of the ack."""
    town = settled(12, edges=5)
    for name in [box.name for box in town.boxes.values() if box.role == "core"]:
        rest = [other for other in ("core-1", "core-2", "core-3") if other != name]
        town.cut([name], rest)
        status, answer = _apply(
            town, rest[0], f"cut-{name}", {"routes": [{"name": f"via-{name}", "target": "refund-01"}]}
        )
        assert status == 200
        town.run(2)
        assert {edge.state.generation for edge in town.machines("edge")} == {answer["generation"]}, name
        town.heal()
        assert town.run_until(lambda: leader(town) is not None and len(leader(town).consensus.members) == 3, 15)


def test_nobody_slips_back():
    """Rule 5. Given a stale core and edges that restart beside it, no edge's generation ever falls below what it had."""
    town = settled(13, edges=3)
    _apply(town, "core-1", "new")
    seen = {}

    def look():
        for edge in town.machines("edge"):
            before = seen.get((edge.node, edge.boot), 0)
            assert edge.state.generation >= before
            seen[(edge.node, edge.boot)] = edge.state.generation
        return False

    town.cut(["core-3"], ["core-1", "core-2"])
    assert _apply(town, "core-1", "newer", {"routes": [{"name": "newer", "target": "refund-01"}]})[0] == 200
    town.kill("edge-1")
    town.start("edge-1")
    town.run_until(look, 10)
    assert town.boxes["edge-1"].machine.state.generation == 3
    town.heal()
    town.run_until(look, 10)


def test_frozen_and_stalled_members_do_not_hold_up_acks():
    """Given a frozen member, then one whose disk stalls, changes are acked within two seconds all the same."""
    town = settled(14)
    member = next(box.name for box in town.boxes.values() if box.role == "core" and box.machine is not leader(town))
    town.freeze(member)
    before = town.now
    rest = next(name for name in ("core-1", "core-2", "core-3") if name != member)
    assert _apply(town, rest, "frozen")[0] == 200 and town.now - before < timedelta(seconds=3)
    town.wake(member)
    assert town.run_until(lambda: len(leader(town).consensus.members) == 3 if leader(town) else False, 10)
    town.boxes[member].disk.stalled_until = town.now + timedelta(seconds=6)
    before = town.now
    assert _apply(town, rest, "stalled", {"routes": [{"name": "s", "target": "refund-01"}]})[0] == 200
    assert town.now - before < timedelta(seconds=3)


def test_leader_with_a_stalled_disk_lets_another_lead():
    """Given a leader whose disk stalls, another core leads soon and changes are acked."""
    town = settled(15)
    slow = box_of(town, leader(town))
    slow.disk.stalled_until = town.now + timedelta(seconds=15)
    rest = next(name for name in ("core-1", "core-2", "core-3") if name != slow.name)
    assert _apply(town, rest, "on")[0] == 200
    assert leader(town) is not slow.machine


def test_woken_duty_holder_orders_nothing_under_its_old_fence():
    """Rule 9. Given a placer that freezes in mid-work, another takes over with a higher fence; the woken one orders nothing."""
    town = found(16)
    town.ask("core-1", "POST", "/operator/apply", {"request": "first", "doc": town.city.catalogue})
    town.run(6)
    holder = leader(town).state.duties["placer"]
    box = next(box for box in town.boxes.values() if box.role == "core" and box.machine.node == holder[0])
    town.freeze(box.name)
    assert town.run_until(
        lambda: any(
            core.state.duties["placer"][1] > holder[1] and core.state.duties["placer"][0]
            for core in town.machines("core")
            if core.node != holder[0]
        ),
        20,
    )
    town.run(6)
    town.wake(box.name)
    town.run(12)
    for record in town.records.values():
        fences = [fence for _, fence, _, _ in record.orders]
        assert fences == sorted(fences) and record.stale == []
    assert any(fence > holder[1] for record in town.records.values() for _, fence, _, _ in record.orders)


def test_edges_follow_a_new_roster_and_seeds_are_only_a_way_in():
    """Given edges that came in through seeds that are all gone now, they still learn changes from the cores that took over."""
    town = settled(17, seat_away=3.0)
    _swap_all_cores(town)
    status, answer = _apply(town, "core-6", "new cores")
    assert status == 200 and answer["unconfirmed"] == [] and len(answer["confirmed"]) == 3


def test_storm_of_changes_is_bounded_and_all_answered():
    """Given two hundred orders at once at two cores, each is answered: applied or refused as not applied; none is lost."""
    town = settled(18)
    town.ask("core-1", "GET", "/show/duties")
    operator = town.boxes["operator"].machine
    numbers = []
    for place in range(200):
        core = "core-1" if place % 2 else "core-2"
        doc = {
            "request": f"storm-{place}",
            "part": True,
            "doc": {"routes": [{"name": f"s{place}", "target": "refund-01"}]},
        }
        numbers.append(operator.ask(f"http://{town.boxes[core].door}/operator/apply", "POST", doc))
    assert town.run_until(lambda: all(number in operator.answers for number in numbers), 12)
    good = [place for place, number in enumerate(numbers) if operator.answers[number][0] == 200]
    bad = [operator.answers[number] for number in numbers if operator.answers[number][0] != 200]
    assert len(good) >= 100 and all(answer[1]["fault"]["applied"] == "no" for answer in bad)
    names = {route.name for route in leader(town).state.catalogue.routes}
    assert {f"s{place}" for place in good} <= names and len(names) == len(good) + 1


def test_founding_that_was_interrupted_is_finished():
    """Given a founder that is killed at each moment of its first second and comes back, a view of all three is founded."""
    from sumachook.simulation.city import Town
    from tests.scene import city

    for step in range(8):
        town = Town(city(), 60 + step, edges=1)
        town.run(0.3 + 0.02 * step)
        names = {box.machine.node: box.name for box in town.boxes.values() if box.role == "core"}
        founder = names[min(names)]
        town.kill(founder)
        town.run(2)
        town.start(founder)
        assert town.run_until(lambda: leader(town) is not None and len(leader(town).consensus.members) == 3, 12), step


def test_woken_leader_does_not_disturb_the_view_that_took_over():
    """Given a leader that freezes and wakes, the view that took over goes on until it takes the woken one back in, once."""
    town = settled(71)
    old = box_of(town, leader(town))
    town.freeze(old.name)
    town.run(5)
    current = leader(town)
    ballot = current.consensus.view[0]
    town.wake(old.name)
    town.run(0.3)
    assert leader(town) is current and current.consensus.view[0] == ballot
    views = set()
    for _ in range(80):
        town.run(0.05)
        views.add((current.consensus.view[0], len(current.consensus.members)))
        assert current.consensus.role in ("leading", "stopping", "installing")  # it never yields to the woken one
    assert min(views) == (ballot, 2) and {size for view, size in views if view > ballot} == {3}
    assert leader(town) is current and len(current.consensus.members) == 3 and current.consensus.view[0] <= ballot + 2
    assert leader(town) is current and len(current.consensus.members) == 3 and current.consensus.view[0] <= ballot + 2


def test_nothing_acknowledged_is_lost_under_dense_faults():
    """Given three cores under kills, power loss, freezes, cuts and stalls every second, all deliver the same changes in one order
    and every acknowledged one is there in the end."""
    from harness.chaos import play

    for seed in (1, 2, 3):
        _, acked, delivered, faults = play(seed, 40.0)
        assert faults == [] and acked and delivered > acked


def test_core_that_lost_its_file_is_not_who_it_was():
    """Given a core whose control file is gone while its ledger is still there, it comes back as somebody new."""
    town = settled(72, seat_away=4.0)
    former = town.boxes["core-1"].machine.node
    town.kill("core-1")
    town.boxes["core-1"].disk.remove("consensus")
    town.start("core-1")
    assert town.boxes["core-1"].machine.node != former
    assert town.run_until(
        lambda: leader(town) is not None and town.boxes["core-1"].machine.node in leader(town).consensus.members, 25
    )


def test_probe_sees_that_all_obey_though_the_leader_is_lost_right_after_the_ack():
    """Rules 5 and 6. Given changes and an evacuation each followed at once by the leader being killed, frozen or cut off, a probe
    from outside sees every edge that can be reached obey within two seconds, and none go back; nothing enters the area."""
    from sumachook.simulation.storm import Storm
    from tests.scene import witness

    for how in ("kill", "freeze", "cut"):
        town = settled(74, edges=4)
        callers = town.call_in(1.0)
        storm = Storm(town, callers, 74)
        for step in range(3):
            if step < 2:
                assert storm._change({"routes": [{"name": f"after-{step}", "target": "refund-01"}]}), how
            else:
                assert town.ask("core-1", "POST", "/operator/evacuate", {"request": "out", "area": "hall-b"})[0] == 200
            lost = box_of(town, leader(town)).name
            if how == "cut":
                town.cut([lost], town.inside(lost))
            else:
                getattr(town, how)(lost)
            town.run(9)
            town.heal()
            if how == "kill":
                town.start(lost)
            elif how == "freeze":
                town.wake(lost)
            assert town.run_until(lambda: leader(town) is not None and len(leader(town).consensus.members) == 3, 15), (
                how
            )
        callers.is_on = False
        town.run(5)
        assert witness(town, callers).faults() == [], how
        assert (
            sum(note[3] == note[5] for note in town.probe.notes) > 100
            and len(witness(town, callers).evacuations()) == 1
        )


def test_node_restarted_with_seeds_that_are_all_gone_is_let_in_by_those_who_miss_it():
    """Given cores that were all swapped for new ones, an edge that is killed and started with its old params serves again."""
    town = settled(75, seat_away=3.0)
    _swap_all_cores(town)
    town.kill("edge-1")
    town.run(4)
    town.start("edge-1")
    edge = town.boxes["edge-1"].machine
    assert town.run_until(lambda: edge.follower.trust(town.now) == "fresh", 20)


def test_cores_that_were_all_restarted_at_once_know_every_edge_again_though_no_seed_tells_them():
    """Given edges that run on and cores that are all killed and are back sooner than anybody calls them gone, the cores know every
    edge again within the time that a machine needs to be in touch: by whom they are probed."""
    town = settled(77, edges=6)
    edges = {box.name for box in town.boxes.values() if box.role == "edge"}
    for core in ("core-1", "core-2", "core-3"):
        town.kill(core)
    town.run(0.7)
    for core in ("core-1", "core-2", "core-3"):
        town.start(core)
    assert town.run_until(
        lambda: all(edges <= {member.node for member in core.membership.live} for core in town.machines("core")), 3
    )


def test_every_area_evacuated_refuses_everybody_and_one_restored_serves_again():
    """Given all areas evacuated, every call is refused as not run; when one is restored, its edges serve from its own servers."""
    from tests.scene import ask, quiet, witness

    town = settled(76)
    callers, areas = quiet(town), town.city.catalogue["areas"]
    for area in areas:
        assert town.ask("core-1", "POST", "/operator/evacuate", {"request": f"out-{area}", "area": area})[0] == 200
    town.run(6)
    refused = [ask(town, callers, name) for name in ("stamps", "refunds", "bookings")]
    town.run(3)
    assert {(call.fault_class, call.run) for call in refused} == {("evacuated", "no")}
    assert town.ask("core-2", "POST", "/operator/restore", {"request": "back", "area": areas[0]})[0] == 200
    town.run(40)
    model = next(model for model, pair in leader(town).state.pairs.items() if pair[0])
    served = [ask(town, callers, "stamps", edge="edge-1"), ask(town, callers, "refunds", edge="edge-1", model=model)]
    town.run(8)
    assert {call.outcome for call in served} == {"ok"} and witness(town, callers).faults() == []
    assert town.ask("core-1", "POST", "/operator/evacuate", {"request": "x", "area": "nowhere"})[0] == 422
