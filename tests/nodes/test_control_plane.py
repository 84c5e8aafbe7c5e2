"""Control state: founding, views, configuration, duties, the feed."""

from datetime import timedelta

from tests.deployment_fixtures import box_of, found, json_fields, leader, others, settled

ROUTES = {"routes": [{"name": "extra", "target": "refund-01"}]}


def _apply(deployment, core, request, doc=ROUTES, part=True, **more):
    return deployment.ask(
        core, "POST", "/operator/apply", {"request": request, "doc": doc, "part": part, **json_fields(more)}
    )


def _generations(deployment):
    return {machine.state.generation for role in ("core", "edge") for machine in deployment.machines(role)}


def _swap_all_cores(deployment):
    """One after the other: a new machine at a new address, then the old one is gone for good."""
    for place in (1, 2, 3):
        node = {
            "name": f"core-{place + 3}",
            "role": "core",
            "area": "hall-a",
            "address": f"127.0.0.9:{17100 + place}",
            "door": f"127.0.0.9:{17200 + place}",
        }
        deployment.add_node(node, founding=[])
        deployment.run(3)
        deployment.vanish(f"core-{place}")
        new_voter = deployment.boxes[f"core-{place + 3}"].machine.node
        assert deployment.run_until(
            lambda: leader(deployment) is not None and new_voter in leader(deployment).consensus.members, 30
        ), place
        deployment.run(2)


def test_founding_needs_all_three_blank_cores():
    """Given two of three cores, when they start, no view is founded; when the third comes, one is, with all in it."""
    from sumachook.simulation.deployment import Deployment
    from tests.deployment_fixtures import spec

    deployment = Deployment(spec(), 3, edges=1)
    deployment.kill("core-3")
    deployment.run(8)
    assert all(core.consensus.is_blank for core in deployment.machines("core"))
    deployment.start("core-3")
    assert deployment.run_until(lambda: leader(deployment) is not None, 6)
    assert len(leader(deployment).consensus.members) == 3


def test_kill_of_each_core_loses_nothing_acknowledged():
    """Given a town, when each core is killed and comes back in turn, what was acked before and between stays, on all nodes."""
    deployment = settled(5)
    for place in range(1, 4):
        name = f"core-{place}"
        deployment.kill(name)
        other = f"core-{place % 3 + 1}"
        answer = _apply(
            deployment, other, f"during-{place}", {"routes": [{"name": f"r{place}", "target": "refund-01"}]}
        )
        assert answer[0] == 200, answer
        deployment.start(name)
        assert deployment.run_until(
            lambda: leader(deployment) is not None and len(leader(deployment).consensus.members) == 3, 10
        )
    deployment.run(2)
    for machine in deployment.machines("core") + deployment.machines("edge"):
        assert {"r1", "r2", "r3"} <= {route.name for route in machine.state.catalogue.routes}


def test_power_loss_of_all_cores_right_after_an_ack():
    """Given an acked change, when all cores lose power in the same instant and return, the change is there."""
    deployment = settled(6)
    assert _apply(deployment, "core-2", "last-word")[0] == 200
    for place in (1, 2, 3):
        deployment.kill(f"core-{place}")
    deployment.run(1)
    for place in (1, 2, 3):
        deployment.start(f"core-{place}")
    assert deployment.run_until(lambda: leader(deployment) is not None and leader(deployment).state.generation == 2, 12)


def test_minority_refuses_and_says_so():
    """Given a split, a lone core refuses writes as not applied and shows itself stale; the majority goes on; then all agree."""
    deployment = settled(7)
    lone = box_of(deployment, leader(deployment)).name
    deployment.cut([lone], others(deployment, lone))
    deployment.run(4)
    answer = _apply(deployment, lone, "in-vain")
    assert answer[0] == 503 and answer[1]["fault"]["applied"] == "no"
    assert deployment.ask(lone, "GET", "/show/pairs")[1]["stale"] is True
    rest = next(name for name in ("core-1", "core-2", "core-3") if name != lone)
    assert _apply(deployment, rest, "majority")[0] == 200
    deployment.heal()
    assert deployment.run_until(
        lambda: (
            leader(deployment) is not None
            and len(leader(deployment).consensus.members) == 3
            and _generations(deployment) == {2}
        ),
        15,
    )


def test_lost_core_is_replaced_by_an_empty_one_at_a_new_address():
    """Given a core whose machine is gone, a blank one elsewhere takes its seat; another loss after that is survived."""
    deployment = settled(8, voter_away=4.0)
    old = {box.name: box.machine.node for box in deployment.boxes.values() if box.role == "core"}
    deployment.vanish("core-3")
    node = {"name": "core-4", "role": "core", "area": "hall-c", "address": "127.0.0.9:17009", "door": "127.0.0.9:17029"}
    deployment.add_node(node, founding=[])
    new_voter = deployment.boxes["core-4"].machine.node
    wanted = {old["core-1"], old["core-2"], new_voter}
    assert deployment.run_until(
        lambda: leader(deployment) is not None and set(leader(deployment).consensus.members) == wanted, 25
    )
    assert deployment.run_until(
        lambda: set(leader(deployment).state.voting_members) == wanted, 0.2
    )  # the lost one goes once the new one is in the view
    deployment.vanish("core-1")
    assert deployment.run_until(lambda: leader(deployment) is not None, 8)
    assert _apply(deployment, "core-4", "after")[0] == 200


def test_blank_disk_never_votes_as_its_former_self():
    """Given a core whose disk is wiped, it comes back as somebody else and its old seat casts no vote."""
    deployment = settled(9, voter_away=4.0)
    former = deployment.boxes["core-2"].machine.node
    deployment.kill("core-2")
    deployment.boxes["core-2"].disk.wipe()
    deployment.start("core-2")
    assert deployment.boxes["core-2"].machine.node != former
    assert deployment.run_until(
        lambda: (
            leader(deployment) is not None
            and former not in leader(deployment).state.voting_members
            and len(leader(deployment).consensus.members) == 3
        ),
        25,
    )


def test_racing_stale_and_repeated_configurations():
    """Given two operators at two cores: partial changes merge, one that names a generation gone by is stale, a repeat applies once."""
    deployment = settled(10)
    first = _apply(deployment, "core-1", "a", {"routes": [{"name": "one", "target": "refund-01"}]}, if_generation=1)
    second = _apply(deployment, "core-2", "b", {"routes": [{"name": "two", "target": "refund-02"}]}, if_generation=1)
    third = _apply(deployment, "core-3", "c", {"routes": [{"name": "two", "target": "refund-02"}]})
    again = _apply(deployment, "core-1", "c", {"routes": [{"name": "two", "target": "refund-02"}]})
    assert (first[0], second[0], third[0], again[0]) == (200, 409, 200, 200)
    assert third[1]["generation"] == again[1]["generation"] == 3 and third[1]["number"] < again[1]["number"]
    assert {"one", "two"} <= {route.name for route in leader(deployment).state.catalogue.routes}


def test_bad_configuration_is_refused_whole_with_every_fault():
    """Given a catalogue with several faults, all are named by path and nothing changes on any node."""
    deployment = settled(11)
    doc = {
        "models": [{"name": "refund-01", "memory": -4.0}, {"name": "odd name", "memory": 1.0, "decodeRate": 1.0}],
        "routes": [{"name": "x", "target": "nowhere"}],
        "busy": "many",
    }
    status, answer = _apply(deployment, "core-1", "bad", doc)
    paths = [fault["path"] for fault in answer["faults"]]
    assert status == 422 and {"models[0].memory", "models[36].name", "busy"} <= set(paths)
    assert _generations(deployment) == {1}


def test_every_reachable_node_obeys_within_two_seconds_of_the_ack():
    """Rule 5. Given an edge whose core is cut off from the others just before a change, it obeys within two seconds of the ack."""
    deployment = settled(12, edges=5)
    for name in [box.name for box in deployment.boxes.values() if box.role == "core"]:
        rest = [other for other in ("core-1", "core-2", "core-3") if other != name]
        deployment.cut([name], rest)
        status, answer = _apply(
            deployment, rest[0], f"cut-{name}", {"routes": [{"name": f"via-{name}", "target": "refund-01"}]}
        )
        assert status == 200
        deployment.run(2)
        assert {edge.state.generation for edge in deployment.machines("edge")} == {answer["generation"]}, name
        deployment.heal()
        assert deployment.run_until(
            lambda: leader(deployment) is not None and len(leader(deployment).consensus.members) == 3, 15
        )


def test_nobody_slips_back():
    """Rule 5. Given a stale core and edges that restart beside it, no edge's generation ever falls below what it had."""
    deployment = settled(13, edges=3)
    _apply(deployment, "core-1", "new")
    seen = {}

    def look():
        for edge in deployment.machines("edge"):
            before = seen.get((edge.node, edge.restart_epoch), 0)
            assert edge.state.generation >= before
            seen[(edge.node, edge.restart_epoch)] = edge.state.generation
        return False

    deployment.cut(["core-3"], ["core-1", "core-2"])
    assert _apply(deployment, "core-1", "newer", {"routes": [{"name": "newer", "target": "refund-01"}]})[0] == 200
    deployment.kill("edge-1")
    deployment.start("edge-1")
    deployment.run_until(look, 10)
    assert deployment.boxes["edge-1"].machine.state.generation == 3
    deployment.heal()
    deployment.run_until(look, 10)


def test_frozen_and_stalled_members_do_not_hold_up_acks():
    """Given a frozen member, then one whose disk stalls, changes are acked within two seconds all the same."""
    deployment = settled(14)
    member = next(
        box.name for box in deployment.boxes.values() if box.role == "core" and box.machine is not leader(deployment)
    )
    deployment.freeze(member)
    before = deployment.now
    rest = next(name for name in ("core-1", "core-2", "core-3") if name != member)
    assert _apply(deployment, rest, "frozen")[0] == 200 and deployment.now - before < timedelta(seconds=3)
    deployment.wake(member)
    assert deployment.run_until(
        lambda: len(leader(deployment).consensus.members) == 3 if leader(deployment) else False, 10
    )
    deployment.boxes[member].disk.stalled_until = deployment.now + timedelta(seconds=6)
    before = deployment.now
    assert _apply(deployment, rest, "stalled", {"routes": [{"name": "s", "target": "refund-01"}]})[0] == 200
    assert deployment.now - before < timedelta(seconds=3)


def test_leader_with_a_stalled_disk_lets_another_lead():
    """Given a leader whose disk stalls, another core leads soon and changes are acked."""
    deployment = settled(15)
    slow = box_of(deployment, leader(deployment))
    slow.disk.stalled_until = deployment.now + timedelta(seconds=15)
    rest = next(name for name in ("core-1", "core-2", "core-3") if name != slow.name)
    assert _apply(deployment, rest, "on")[0] == 200
    assert leader(deployment) is not slow.machine


def test_woken_duty_holder_orders_nothing_under_its_old_fence():
    """Rule 9. Given a placer that freezes in mid-work, another takes over with a higher fence; the woken one orders nothing."""
    deployment = found(16)
    deployment.ask("core-1", "POST", "/operator/apply", {"request": "first", "doc": deployment.spec.catalogue})
    deployment.run(6)
    holder = leader(deployment).state.role_holders["placer"]
    box = next(box for box in deployment.boxes.values() if box.role == "core" and box.machine.node == holder[0])
    deployment.freeze(box.name)
    assert deployment.run_until(
        lambda: any(
            core.state.role_holders["placer"][1] > holder[1] and core.state.role_holders["placer"][0]
            for core in deployment.machines("core")
            if core.node != holder[0]
        ),
        20,
    )
    deployment.run(6)
    deployment.wake(box.name)
    deployment.run(12)
    for record in deployment.records.values():
        fences = [fence for _, fence, _, _ in record.orders]
        assert fences == sorted(fences) and record.stale == []
    assert any(fence > holder[1] for record in deployment.records.values() for _, fence, _, _ in record.orders)


def test_edges_follow_a_new_roster_and_seeds_are_only_a_way_in():
    """Given edges that came in through seeds that are all gone now, they still learn changes from the cores that took over."""
    deployment = settled(17, voter_away=3.0)
    _swap_all_cores(deployment)
    status, answer = _apply(deployment, "core-6", "new cores")
    assert status == 200 and answer["unconfirmed"] == [] and len(answer["confirmed"]) == 3


def test_storm_of_changes_is_bounded_and_all_answered():
    """Given two hundred orders at once at two cores, each is answered: applied or refused as not applied; none is lost."""
    deployment = settled(18)
    deployment.ask("core-1", "GET", "/show/duties")
    operator = deployment.boxes["operator"].machine
    numbers = []
    for place in range(200):
        core = "core-1" if place % 2 else "core-2"
        doc = {
            "request": f"storm-{place}",
            "part": True,
            "doc": {"routes": [{"name": f"s{place}", "target": "refund-01"}]},
        }
        numbers.append(operator.ask(f"http://{deployment.boxes[core].http_address}/operator/apply", "POST", doc))
    assert deployment.run_until(lambda: all(number in operator.answers for number in numbers), 12)
    good = [place for place, number in enumerate(numbers) if operator.answers[number][0] == 200]
    bad = [operator.answers[number] for number in numbers if operator.answers[number][0] != 200]
    assert len(good) >= 100 and all(answer[1]["fault"]["applied"] == "no" for answer in bad)
    names = {route.name for route in leader(deployment).state.catalogue.routes}
    assert {f"s{place}" for place in good} <= names and len(names) == len(good) + 1


def test_founding_that_was_interrupted_is_finished():
    """Given a founder that is killed at each moment of its first second and comes back, a view of all three is founded."""
    from sumachook.simulation.deployment import Deployment
    from tests.deployment_fixtures import spec

    for step in range(8):
        deployment = Deployment(spec(), 60 + step, edges=1)
        deployment.run(0.3 + 0.02 * step)
        names = {box.machine.node: box.name for box in deployment.boxes.values() if box.role == "core"}
        founder = names[min(names)]
        deployment.kill(founder)
        deployment.run(2)
        deployment.start(founder)
        assert deployment.run_until(
            lambda: leader(deployment) is not None and len(leader(deployment).consensus.members) == 3, 12
        ), step


def test_woken_leader_does_not_disturb_the_view_that_took_over():
    """Given a leader that freezes and wakes, the view that took over goes on until it takes the woken one back in, once."""
    deployment = settled(71)
    old = box_of(deployment, leader(deployment))
    deployment.freeze(old.name)
    deployment.run(5)
    current = leader(deployment)
    ballot = current.consensus.view[0]
    deployment.wake(old.name)
    deployment.run(0.3)
    assert leader(deployment) is current and current.consensus.view[0] == ballot
    views = set()
    for _ in range(80):
        deployment.run(0.05)
        views.add((current.consensus.view[0], len(current.consensus.members)))
        assert current.consensus.role in ("leading", "stopping", "installing")  # it never yields to the woken one
    assert min(views) == (ballot, 2) and {size for view, size in views if view > ballot} == {3}
    assert (
        leader(deployment) is current
        and len(current.consensus.members) == 3
        and current.consensus.view[0] <= ballot + 2
    )
    assert (
        leader(deployment) is current
        and len(current.consensus.members) == 3
        and current.consensus.view[0] <= ballot + 2
    )


def test_nothing_acknowledged_is_lost_under_dense_faults():
    """Given three cores under kills, power loss, freezes, cuts and stalls every second, all deliver the same changes in one order
    and every acknowledged one is there in the end."""
    from harness.experiments.chaos import play

    for seed in (1, 2, 3):
        _, acked, delivered, faults = play(seed, 40.0)
        assert faults == [] and acked and delivered > acked


def test_core_that_lost_its_file_is_not_who_it_was():
    """Given a core whose control file is gone while its ledger is still there, it comes back as somebody new."""
    deployment = settled(72, voter_away=4.0)
    former = deployment.boxes["core-1"].machine.node
    deployment.kill("core-1")
    deployment.boxes["core-1"].disk.remove("consensus")
    deployment.start("core-1")
    assert deployment.boxes["core-1"].machine.node != former
    assert deployment.run_until(
        lambda: (
            leader(deployment) is not None
            and deployment.boxes["core-1"].machine.node in leader(deployment).consensus.members
        ),
        25,
    )


def test_probe_sees_that_all_obey_though_the_leader_is_lost_right_after_the_ack():
    """Rules 5 and 6. Given changes and an evacuation each followed at once by the leader being killed, frozen or cut off, a probe
    from outside sees every edge that can be reached obey within two seconds, and none go back; nothing enters the area."""
    from sumachook.simulation.fault_injection import FaultInjection
    from tests.deployment_fixtures import invariant_checker

    for how in ("kill", "freeze", "cut"):
        deployment = settled(74, edges=4)
        callers = deployment.start_callers(1.0)
        fault_injection = FaultInjection(deployment, callers, 74)
        for step in range(3):
            if step < 2:
                assert fault_injection._apply_part({"routes": [{"name": f"after-{step}", "target": "refund-01"}]}), how
            else:
                assert (
                    deployment.ask("core-1", "POST", "/operator/evacuate", {"request": "out", "area": "hall-b"})[0]
                    == 200
                )
            lost = box_of(deployment, leader(deployment)).name
            if how == "cut":
                deployment.cut([lost], deployment.inside(lost))
            else:
                getattr(deployment, how)(lost)
            deployment.run(9)
            deployment.heal()
            if how == "kill":
                deployment.start(lost)
            elif how == "freeze":
                deployment.wake(lost)
            assert deployment.run_until(
                lambda: leader(deployment) is not None and len(leader(deployment).consensus.members) == 3, 15
            ), how
        callers.is_on = False
        deployment.run(5)
        assert invariant_checker(deployment, callers).faults() == [], how
        assert (
            sum(note[3] == note[5] for note in deployment.probe.answers) > 100
            and len(invariant_checker(deployment, callers).evacuations()) == 1
        )


def test_node_restarted_with_seeds_that_are_all_gone_is_let_in_by_those_who_miss_it():
    """Given cores that were all swapped for new ones, an edge that is killed and started with its old params serves again."""
    deployment = settled(75, voter_away=3.0)
    _swap_all_cores(deployment)
    deployment.kill("edge-1")
    deployment.run(4)
    deployment.start("edge-1")
    edge = deployment.boxes["edge-1"].machine
    assert deployment.run_until(lambda: edge.follower.trust(deployment.now) == "fresh", 20)


def test_cores_that_were_all_restarted_at_once_know_every_edge_again_though_no_seed_tells_them():
    """Given edges that run on and cores that are all killed and are back sooner than anybody calls them gone, the cores know every
    edge again within the time that a machine needs to be in touch: by whom they are probed."""
    deployment = settled(77, edges=6)
    edges = {box.name for box in deployment.boxes.values() if box.role == "edge"}
    for core in ("core-1", "core-2", "core-3"):
        deployment.kill(core)
    deployment.run(0.7)
    for core in ("core-1", "core-2", "core-3"):
        deployment.start(core)
    assert deployment.run_until(
        lambda: all(edges <= {member.node for member in core.membership.live} for core in deployment.machines("core")),
        3,
    )


def test_every_area_evacuated_refuses_everybody_and_one_restored_serves_again():
    """Given all areas evacuated, every call is refused as not run; when one is restored, its edges serve from its own servers."""
    from tests.deployment_fixtures import ask, invariant_checker, quiet

    deployment = settled(76)
    callers, zones = quiet(deployment), deployment.spec.catalogue["areas"]
    for zone in zones:
        assert (
            deployment.ask("core-1", "POST", "/operator/evacuate", {"request": f"out-{zone}", "area": zone})[0] == 200
        )
    deployment.run(6)
    refused = [ask(deployment, callers, name) for name in ("stamps", "refunds", "bookings")]
    deployment.run(3)
    assert {(call.fault_class, call.run) for call in refused} == {("evacuated", "no")}
    assert deployment.ask("core-2", "POST", "/operator/restore", {"request": "back", "area": zones[0]})[0] == 200
    deployment.run(40)
    model = next(model for model, pair in leader(deployment).state.pairs.items() if pair[0])
    served = [
        ask(deployment, callers, "stamps", edge="edge-1"),
        ask(deployment, callers, "refunds", edge="edge-1", model=model),
    ]
    deployment.run(8)
    assert {call.outcome for call in served} == {"ok"} and invariant_checker(deployment, callers).faults() == []
    assert deployment.ask("core-1", "POST", "/operator/evacuate", {"request": "x", "area": "nowhere"})[0] == 422
