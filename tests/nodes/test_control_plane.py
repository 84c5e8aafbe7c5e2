"""Tests of the control plane of a simulated deployment: founding, views, configuration, singleton roles, the change feed."""

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
    """Replaces each core in turn: adds a core at a new address, then removes the old machine permanently."""
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


def test_cluster_is_founded_only_with_all_three_blank_cores():
    """With two of three blank cores running, no view is founded; once the third starts, a view with all three is."""
    from sumachook.simulation.deployment import Deployment
    from tests.deployment_fixtures import spec

    deployment = Deployment(spec(), 3, edges=1)
    deployment.kill("core-3")
    deployment.run(8)
    assert all(core.consensus.is_blank for core in deployment.machines("core"))
    deployment.start("core-3")
    assert deployment.run_until(lambda: leader(deployment) is not None, 6)
    assert len(leader(deployment).consensus.members) == 3


def test_restart_of_each_core_loses_no_acknowledged_change():
    """Each core is killed and restarted in turn; changes acknowledged before and in between remain on all nodes."""
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


def test_acknowledged_change_survives_power_loss_of_all_cores():
    """All cores lose power at the same instant right after an acknowledgement; the change is there after their restart."""
    deployment = settled(6)
    assert _apply(deployment, "core-2", "last-word")[0] == 200
    for place in (1, 2, 3):
        deployment.kill(f"core-{place}")
    deployment.run(1)
    for place in (1, 2, 3):
        deployment.start(f"core-{place}")
    assert deployment.run_until(lambda: leader(deployment) is not None and leader(deployment).state.generation == 2, 12)


def test_isolated_core_refuses_changes_and_reports_stale_state():
    """During a partition, an isolated core refuses changes as not applied and shows its state as stale, while the
    majority accepts them; after it heals, all agree."""
    deployment = settled(7)
    isolated = box_of(deployment, leader(deployment)).name
    deployment.cut([isolated], others(deployment, isolated))
    deployment.run(4)
    answer = _apply(deployment, isolated, "in-vain")
    assert answer[0] == 503 and answer[1]["fault"]["applied"] == "no"
    assert deployment.ask(isolated, "GET", "/show/pairs")[1]["stale"] is True
    rest = next(name for name in ("core-1", "core-2", "core-3") if name != isolated)
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


def test_lost_core_is_replaced_by_a_blank_core_at_a_new_address():
    """After a core's machine is lost, a blank core at a new address replaces it as a voter; the loss of another core is
    then survived."""
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
    )  # the lost core is removed once the new one is in the view
    deployment.vanish("core-1")
    assert deployment.run_until(lambda: leader(deployment) is not None, 8)
    assert _apply(deployment, "core-4", "after")[0] == 200


def test_core_with_a_wiped_disk_gets_a_new_identity():
    """A core whose disk was wiped returns under a new name, and its former name is removed from the voters: with its
    promises lost, it must not vote under that."""
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


def test_concurrent_stale_and_repeated_configuration_changes():
    """Partial changes of two operators at two cores merge, a change based on an old generation is stale, and a repeat
    is applied once."""
    deployment = settled(10)
    first = _apply(deployment, "core-1", "a", {"routes": [{"name": "one", "target": "refund-01"}]}, if_generation=1)
    second = _apply(deployment, "core-2", "b", {"routes": [{"name": "two", "target": "refund-02"}]}, if_generation=1)
    third = _apply(deployment, "core-3", "c", {"routes": [{"name": "two", "target": "refund-02"}]})
    again = _apply(deployment, "core-1", "c", {"routes": [{"name": "two", "target": "refund-02"}]})
    assert (first[0], second[0], third[0], again[0]) == (200, 409, 200, 200)
    assert third[1]["generation"] == again[1]["generation"] == 3 and third[1]["number"] < again[1]["number"]
    assert {"one", "two"} <= {route.name for route in leader(deployment).state.catalogue.routes}


def test_invalid_configuration_is_rejected_with_all_faults():
    """A catalogue with several faults is rejected with the path of each, and no node changes."""
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


def test_reachable_edges_apply_a_change_within_two_seconds_of_its_acknowledgement():
    """Rule 5. Also edges connected to a core that was isolated just before a change apply it within two seconds of its
    acknowledgement."""
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


def test_configuration_generation_of_an_edge_never_decreases():
    """Rule 5. With a stale, isolated core and an edge that restarts beside it, no edge returns to an older
    configuration."""
    deployment = settled(13, edges=3)
    _apply(deployment, "core-1", "new")
    seen = {}

    def check_generations():
        for edge in deployment.machines("edge"):
            before = seen.get((edge.node, edge.restart_epoch), 0)
            assert edge.state.generation >= before
            seen[(edge.node, edge.restart_epoch)] = edge.state.generation
        return False

    deployment.cut(["core-3"], ["core-1", "core-2"])
    assert _apply(deployment, "core-1", "newer", {"routes": [{"name": "newer", "target": "refund-01"}]})[0] == 200
    deployment.kill("edge-1")
    deployment.start("edge-1")
    deployment.run_until(check_generations, 10)
    assert deployment.boxes["edge-1"].machine.state.generation == 3
    deployment.heal()
    deployment.run_until(check_generations, 10)


def test_frozen_or_stalled_follower_does_not_delay_acknowledgements():
    """With a frozen follower, then with one whose disk stalls, changes are acknowledged within three seconds."""
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


def test_leader_with_a_stalled_disk_is_replaced():
    """When the leader's disk stalls, another core becomes the leader and changes are acknowledged."""
    deployment = settled(15)
    slow = box_of(deployment, leader(deployment))
    slow.disk.stalled_until = deployment.now + timedelta(seconds=15)
    rest = next(name for name in ("core-1", "core-2", "core-3") if name != slow.name)
    assert _apply(deployment, rest, "on")[0] == 200
    assert leader(deployment) is not slow.machine


def test_resumed_placer_sends_no_orders_under_its_old_fence():
    """Rule 9. While the placer is frozen, another core takes the role over with a higher fencing token; after it
    resumes, the old placer sends no orders."""
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


def test_edges_follow_the_new_cores_after_all_seeds_are_replaced():
    """Edges whose seeds have all been replaced by other cores still receive changes from the new cores: seeds are
    needed only to join."""
    deployment = settled(17, voter_away=3.0)
    _swap_all_cores(deployment)
    status, answer = _apply(deployment, "core-6", "new cores")
    assert status == 200 and answer["unconfirmed"] == [] and len(answer["confirmed"]) == 3


def test_burst_of_changes_is_answered_completely():
    """Each of two hundred concurrent changes at two cores is either applied or refused as not applied; none is lost."""
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


def test_interrupted_founding_is_completed():
    """The founding core is killed at eight moments, 0.3 to 0.44 s after the start, and restarted; a view of all
    three is founded."""
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


def test_resumed_leader_does_not_disrupt_the_new_view():
    """After a frozen leader resumes, its successor stays the leader throughout and adds the old one to the view once."""
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
        assert current.consensus.role in ("leading", "stopping", "installing")  # it never yields to the resumed leader
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


def test_no_acknowledged_change_is_lost_under_frequent_faults():
    """With kills, power loss, freezes, partitions and disk stalls every second, three cores deliver the same changes in
    one order, and every acknowledged change is there in the end."""
    from harness.experiments.chaos import play

    for seed in (1, 2, 3):
        _, acked, delivered, faults = play(seed, 40.0)
        assert faults == [] and acked and delivered > acked


def test_core_without_its_consensus_file_gets_a_new_identity():
    """A core whose consensus file is lost while its ledger remains rejoins under a new name."""
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


def test_all_edges_apply_a_change_if_the_leader_fails_right_after_acknowledging_it():
    """Rules 5 and 6. Changes and an evacuation are each followed at once by a kill, freeze or partition of the leader:
    an external probe sees every reachable edge apply them within two seconds, none reverts, and no request enters the
    evacuated zone."""
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


def test_edge_restarted_with_only_replaced_seeds_rejoins():
    """After all cores were replaced, an edge restarted with its old seed addresses is contacted by nodes that still
    know it, and serves again."""
    deployment = settled(75, voter_away=3.0)
    _swap_all_cores(deployment)
    deployment.kill("edge-1")
    deployment.run(4)
    deployment.start("edge-1")
    edge = deployment.boxes["edge-1"].machine
    assert deployment.run_until(lambda: edge.follower.trust(deployment.now) == "fresh", 20)


def test_cores_restarted_at_once_relearn_all_edges_from_their_probes():
    """All cores are killed and restart before any edge has declared them failed. They relearn every edge from its
    probes within three seconds, the time in which a machine must rejoin, though no seed knows the edges."""
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


def test_evacuation_of_all_zones_refuses_all_requests_until_one_is_restored():
    """With all zones evacuated, every request is refused as not run; once one is restored, its edges serve requests
    from its own servers."""
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
