"""Tests of the replicated control state under loss of disks, machines and power: cores only, simulated time."""

from datetime import timedelta
from random import Random

import pytest

from sumachook.consensus.effects import Readable, Unreadable
from sumachook.consensus.events import ReadRequested
from sumachook.consensus.timing import CHUNK_BYTES, FRESH_FOR, MAX_LOG_BYTES, MAX_LOG_ENTRIES
from sumachook.control_state.effects import ProposeChange
from sumachook.control_state.fields import CompletedRequest
from sumachook.control_state.results import rejected
from sumachook.nodes.core_routing import CoreRouting
from sumachook.nodes.event_dispatcher import EventDispatcher
from sumachook.simulation.deployment import Deployment
from tests.deployment_fixtures import box_of, compact_after, leader, spec

CORES = ("core-1", "core-2", "core-3")


def _deployment(seed, wanted_voters=3, voter_away=1.5):
    """Returns a deployment of three cores with a leader and an applied catalogue; `wanted_voters` is the target."""
    deployment = Deployment(spec(), seed, edges=0, voter_away=voter_away, wanted_voters=wanted_voters)
    assert deployment.run_until(lambda: leader(deployment) is not None, 10)
    assert _apply(deployment, "first", deployment.spec.catalogue, part=False)
    deployment.run(1)
    return deployment


def _add(deployment, number):
    """Adds a core machine with an empty disk at an unused address."""
    node = {
        "name": f"core-{number}",
        "role": "core",
        "area": "hall-a",
        "address": f"127.0.0.9:{17100 + number}",
        "door": f"127.0.0.9:{17200 + number}",
    }
    return deployment.add_node(node, founding=[])


def _wipe(deployment, name):
    deployment.kill(name)
    deployment.boxes[name].disk.wipe()


def _apply(deployment, name, doc=None, part=True, at=None):
    core = at or box_of(deployment, leader(deployment)).name
    doc = doc or {"routes": [{"name": name, "target": "refund-01"}]}
    answer = deployment.ask(core, "POST", "/operator/apply", {"request": name, "doc": doc, "part": part})
    return answer is not None and answer[0] == 200


def _has_full_view(deployment, voters):
    """Whether a leader exists, its view and the voting members count `voters`, and all are fresh and up to date."""
    core = leader(deployment)
    running = list(deployment.machines("core"))
    return (
        core is not None
        and len(core.consensus.members) == len(core.consensus.voting_members) == voters
        and set(core.consensus.members) <= {machine.node for machine in running}
        and sum(
            machine.consensus.is_fresh(deployment.now) and machine.state.number == core.state.number
            for machine in running
        )
        == voters
    )


def _has_routes(deployment, *names):
    core = leader(deployment)
    return core is not None and set(names) <= {route.name for route in core.state.catalogue.routes}


def _seconds_until(deployment, is_reached, within):
    """Runs the simulation until the condition is met; returns the seconds it took, or None after `within` seconds."""
    before = deployment.now
    return (deployment.now - before).total_seconds() if deployment.run_until(is_reached, within) else None


@pytest.mark.parametrize("is_leader", (True, False))
def test_a_core_that_lost_its_disk_is_a_voter_again_within_three_seconds(is_leader):
    """A core started with an empty disk is a voter and member within 3 s, so the group survives the next loss."""
    deployment = _deployment(201, voter_away=60)
    leader_name = box_of(deployment, leader(deployment)).name
    lost = leader_name if is_leader else next(name for name in CORES if name != leader_name)
    _wipe(deployment, lost)
    deployment.run(0.3)
    deployment.start(lost)
    voter = deployment.boxes[lost].machine.node
    duration = _seconds_until(
        deployment, lambda: _has_full_view(deployment, 3) and voter in leader(deployment).consensus.members, 3
    )
    assert duration is not None
    assert _apply(deployment, "between")
    deployment.vanish(next(name for name in CORES if name not in (lost, leader_name)))
    assert _seconds_until(deployment, lambda: leader(deployment) is not None, 2) is not None and _apply(
        deployment, "after", at=lost
    )
    assert _has_routes(deployment, "between", "after")


def test_losing_each_disk_in_turn_every_four_seconds_loses_no_change():
    """Every acknowledged change survives if each of three disks is lost twice, in turn, every four seconds."""
    deployment, names = _deployment(202, voter_away=60), []
    for turn in range(6):
        names.append(f"turn-{turn}")
        assert _apply(deployment, names[-1])
        _wipe(deployment, CORES[turn % 3])
        deployment.start(CORES[turn % 3])
        deployment.run(4)
    assert _has_full_view(deployment, 3) and _has_routes(deployment, *names)


@pytest.mark.parametrize("is_leader", (True, False))
def test_a_permanently_lost_machine_is_replaced_at_a_new_address(is_leader):
    """An empty core started elsewhere 0.3 s after the loss is a voter and member within 3.7 s of its start."""
    deployment = _deployment(203)
    leader_name = box_of(deployment, leader(deployment)).name
    lost = leader_name if is_leader else next(name for name in CORES if name != leader_name)
    deployment.vanish(lost)
    deployment.run(0.3)
    voter = _add(deployment, 4).machine.node
    assert (
        _seconds_until(
            deployment, lambda: _has_full_view(deployment, 3) and voter in leader(deployment).consensus.members, 3.7
        )
        is not None
    )
    deployment.vanish(next(name for name in CORES if name != lost))
    assert _seconds_until(deployment, lambda: leader(deployment) is not None, 2) is not None and _apply(
        deployment, "after", at="core-4"
    )


def test_a_new_voter_that_fails_at_once_is_replaced_too():
    """If a new core fails the moment it becomes a voter, the next new core replaces it."""
    deployment = _deployment(208)
    lost = next(name for name in CORES if name != box_of(deployment, leader(deployment)).name)
    deployment.vanish(lost)
    first = _add(deployment, 4)
    while not any(first.machine.node in core.consensus.voting_members for core in deployment.machines("core")):
        deployment.run(0.001)
    deployment.vanish("core-4")
    _add(deployment, 5)
    assert _seconds_until(deployment, lambda: _has_full_view(deployment, 3), 3.7) is not None


def test_a_restarted_core_stays_a_voter():
    """A core that is killed and restarted with its disk does not change the voting members."""
    deployment = _deployment(204)
    before = dict(leader(deployment).consensus.voting_members)
    for name in CORES:
        deployment.kill(name)
        deployment.run(0.3)
        deployment.start(name)
        assert deployment.run_until(lambda: _has_full_view(deployment, 3), 4), name
    assert leader(deployment).consensus.voting_members == before


def test_voting_members_grow_from_three_to_five_and_never_stay_at_four():
    """With five wanted voters, a single blank core is not added; with a second one both are."""
    deployment = _deployment(205, wanted_voters=5)
    _add(deployment, 4)
    deployment.run(4)
    assert _has_full_view(deployment, 3)
    _add(deployment, 5)
    assert _seconds_until(deployment, lambda: _has_full_view(deployment, 5), 3) is not None
    for name in ("core-1", "core-4"):
        deployment.vanish(name)
    assert _seconds_until(deployment, lambda: leader(deployment) is not None, 2.5) is not None and _apply(
        deployment, "two-lost"
    )


def test_five_blank_cores_create_a_group_of_three_and_grow_to_five():
    """Three configured founders of five blank cores create the group, and the other two join without waiting."""
    deployment = Deployment(spec(), 206, edges=0, voter_away=1.5, wanted_voters=5)
    for number in (4, 5):
        _add(deployment, number)
    assert _seconds_until(deployment, lambda: leader(deployment) is not None, 3) is not None
    assert _seconds_until(deployment, lambda: _has_full_view(deployment, 5), 4) is not None


def test_voting_members_do_not_grow_while_the_view_would_be_no_majority_of_them():
    """With a view of two of three voters, two new cores must wait: with five voters, a majority could lack acknowledged
    changes. Once the third voter is back, there are five."""
    deployment = _deployment(209, wanted_voters=5, voter_away=60)
    lost = next(name for name in CORES if name != box_of(deployment, leader(deployment)).name)
    deployment.kill(lost)
    deployment.run(1.5)
    _add(deployment, 4)
    _add(deployment, 5)
    deployment.run(4)
    assert len(leader(deployment).consensus.voting_members) == 3 and _apply(deployment, "of-two")
    deployment.start(lost)
    assert _seconds_until(deployment, lambda: _has_full_view(deployment, 5), 4) is not None and _has_routes(
        deployment, "of-two"
    )


@pytest.mark.parametrize("is_elsewhere", (False, True))
def test_two_of_five_voters_lost_at_once_are_replaced(is_elsewhere):
    """If two of five voters lose their disks or their machines, there are five again 3.7 s after the new ones start."""
    deployment = _deployment(206, wanted_voters=5)
    _add(deployment, 4)
    _add(deployment, 5)
    assert deployment.run_until(lambda: _has_full_view(deployment, 5), 6) and _apply(deployment, "before")
    leader_name = box_of(deployment, leader(deployment)).name
    lost = [leader_name, next(name for name in CORES if name != leader_name)]
    for name in lost:
        if is_elsewhere:
            deployment.vanish(name)
        else:
            _wipe(deployment, name)
    deployment.run(0.2)
    for place, name in enumerate(lost):
        if is_elsewhere:
            _add(deployment, 6 + place)
        else:
            deployment.start(name)
    assert _seconds_until(deployment, lambda: _has_full_view(deployment, 5), 3.7) is not None and _has_routes(
        deployment, "before"
    )


def test_a_removed_voter_that_returns_with_its_disk_can_become_a_voter_again():
    """A core that was replaced during a partition becomes a voter again at the next vacancy after it returns."""
    deployment = _deployment(207)
    deployment.cut(["core-3"], ["core-1", "core-2"])
    _add(deployment, 4)
    deployment.cut(["core-3"], ["core-4"])
    former = deployment.boxes["core-3"].machine.node
    assert deployment.run_until(
        lambda: _has_full_view(deployment, 3) and former not in leader(deployment).consensus.members, 5
    )
    deployment.heal()
    deployment.run(3)
    assert _has_full_view(deployment, 3) and _apply(deployment, "without")
    deployment.vanish("core-1")
    assert deployment.run_until(
        lambda: _has_full_view(deployment, 3) and former in leader(deployment).consensus.members, 6
    )
    assert _has_routes(deployment, "without")
    deployment.kill("core-3")
    deployment.start("core-3")
    assert deployment.run_until(
        lambda: _has_full_view(deployment, 3) and former in leader(deployment).consensus.members, 5
    )


@pytest.mark.parametrize("wiped", CORES)
def test_an_acknowledged_change_survives_a_lost_disk_and_a_power_loss_everywhere(wiped):
    """One disk is lost and power fails everywhere right after an acknowledgement; the change exists after a restart."""
    for step in range(3):
        deployment = _deployment(210 + step)
        if step == 1:  # the view has two members
            deployment.kill(next(name for name in CORES if name != wiped))
            deployment.run(1.5)
        if step == 2:  # one voter is new
            _wipe(deployment, next(name for name in CORES if name != wiped))
            deployment.start(next(name for name in CORES if name != wiped))
            deployment.run(4)
        assert _apply(deployment, "last-word", at=wiped)
        for name in CORES:
            deployment.kill(name)
        deployment.boxes[wiped].disk.wipe()
        deployment.run(0.5)
        for name in CORES:
            deployment.start(name)
        assert _seconds_until(deployment, lambda: _has_full_view(deployment, 3), 4) is not None and _has_routes(
            deployment, "last-word"
        )


def test_a_core_with_an_empty_disk_and_outdated_seeds_is_found_through_heartbeats():
    """After all cores named as seeds were replaced, a core that lost its disk is a voter again within 3 s."""
    deployment = _deployment(215)
    for place, name in enumerate(CORES):
        _add(deployment, 4 + place)
        deployment.run(2)
        deployment.vanish(name)
        assert deployment.run_until(lambda: _has_full_view(deployment, 3), 5), name
        deployment.run(1)
    assert _apply(deployment, "before")
    _wipe(deployment, "core-5")
    deployment.run(0.3)
    deployment.start("core-5")
    assert _seconds_until(deployment, lambda: _has_full_view(deployment, 3), 3) is not None and _has_routes(
        deployment, "before"
    )


def test_a_change_proposed_at_a_follower_is_delivered_everywhere_without_waiting_for_a_heartbeat():
    """With links of 3 ms and disks of 2 ms at most, a change is delivered at all cores within 18 ms at any time."""
    deployment = _deployment(270)
    deployment.run(5)
    other = next(core for core in deployment.machines("core") if core is not leader(deployment))
    for step in range(20):
        deployment.run(0.1 + 0.0137 * (step % 7))
        before = leader(deployment).state.number
        deployment._deliver(box_of(deployment, other), ProposeChange(("evacuate", f"step-{step}", "hall-a")))
        deployment.run(0.018)
        assert all(core.state.number > before for core in deployment.machines("core")), step


def test_a_restart_of_all_cores_forms_a_view_within_1200_ms():
    """Three cores, or two of three, started within 0.3 s have a leader at most 1.2 s after the last start."""
    worst = 0
    for seed in range(8):
        deployment = _deployment(220 + seed)
        for name in CORES:
            deployment.kill(name)
        deployment.run(0.5)
        for name in CORES[: 2 + seed % 2]:
            deployment.start(name)
            deployment.run(deployment.random.uniform(0, 0.15))
        duration = _seconds_until(deployment, lambda: leader(deployment) is not None, 1.2)
        assert duration is not None, seed
        worst = max(worst, duration)
    print("restart to view", worst)


def test_a_killed_leader_is_replaced_within_1600_ms():
    """A new leader exists within 1.6 s, whether the old one stays down or restarts after 0.2 s."""
    worst = 0
    for seed in range(8):
        deployment = _deployment(230 + seed)
        lost = box_of(deployment, leader(deployment)).name
        deployment.kill(lost)
        if seed % 2:
            deployment.run(0.2)
            deployment.start(lost)
        duration = _seconds_until(deployment, lambda: leader(deployment) is not None, 1.6)
        assert duration is not None, seed
        worst = max(worst, duration)
    print("killed leader to view", worst)


@pytest.mark.parametrize("is_leader", (True, False))
def test_a_stalled_disk_does_not_block_the_view(is_leader):
    """With a disk stalled for 9 s, a change is acknowledged within 1.5 s at the leader, 1.3 s at another member."""
    deployment = _deployment(240)
    leader_name = box_of(deployment, leader(deployment)).name
    slow = leader_name if is_leader else next(name for name in CORES if name != leader_name)
    rest = next(name for name in CORES if name not in (leader_name, slow))
    deployment.boxes[slow].disk.stalled_until = deployment.now + timedelta(seconds=9)
    before = deployment.now
    assert _apply(deployment, "stalled", at=rest)
    duration = deployment.now - before
    print("stalled, leader" if is_leader else "stalled, member", duration)
    assert duration < timedelta(seconds=1.5 if is_leader else 1.3)


@pytest.mark.parametrize("is_inbound_cut", (True, False))
@pytest.mark.parametrize("is_leader", (True, False))
def test_one_way_partitions_do_not_block_the_view(is_inbound_cut, is_leader):
    """If a core can only send or only receive, a change is acknowledged within 2 s, and later ones within 1 s each."""
    deployment = _deployment(250)
    leader_name = box_of(deployment, leader(deployment)).name
    affected = leader_name if is_leader else next(name for name in CORES if name != leader_name)
    rest = [name for name in CORES if name != affected]
    deployment.cut(*((rest, [affected]) if is_inbound_cut else ([affected], rest)), one_way=True)
    before = deployment.now
    assert _apply(deployment, "cut", at=rest[0])
    duration = deployment.now - before
    print("one way", is_inbound_cut, is_leader, duration)
    assert duration < timedelta(seconds=2)
    for step in range(8):
        before = deployment.now
        assert _apply(deployment, f"on-{step}", at=rest[step % 2]) and deployment.now - before < timedelta(seconds=1), (
            step
        )
        deployment.run(0.5)


def test_short_stalls_do_not_change_the_view():
    """Stalls of a disk or a machine of half a second each do not cause a view change."""
    deployment = _deployment(260)
    view = leader(deployment).consensus.view
    for step in range(12):
        box = deployment.boxes[CORES[step % 3]]
        if step % 2:
            box.disk.stalled_until = deployment.now + timedelta(seconds=0.5)
        else:
            deployment.freeze(box.name)
        deployment.run(0.5)
        deployment.wake(box.name)
        assert _apply(deployment, f"step-{step}", at=CORES[(step + 1) % 3])
    assert leader(deployment).consensus.view == view


# partitions that deliver buffered messages late


def _deployment_with_voters(seed, voters):
    """Returns a deployment whose view has `voters` members."""
    deployment = _deployment(seed, voters)
    for number in range(4, voters + 1):
        _add(deployment, number)
    assert deployment.run_until(lambda: _has_full_view(deployment, voters), 8)
    return deployment


def _cores(deployment):
    return [box for box in deployment.boxes.values() if box.role == "core" and not box.is_gone]


def _is_current(core, acked, now):
    """Whether the core's state contains every change acknowledged at least `FRESH_FOR` ago."""
    known = {route.name for route in core.state.catalogue.routes}
    return all(name in known for at, name in acked if now - at >= FRESH_FOR)


@pytest.mark.parametrize("voters", (3, 5))
def test_no_core_reports_an_old_state_as_fresh_however_late_links_deliver(voters):
    """Links are cut and deliver late, cores freeze, and changes continue: no core whose state lacks a change that was
    acknowledged 0.8 s before calls it fresh, and no two leaders hold a lease at the same time."""
    for seed in (301, 302, 303):
        deployment, random, acked, requests, pending_repairs = (
            _deployment_with_voters(seed, voters),
            Random(seed),
            [],
            {},
            [],
        )
        end, next_order, next_fault, number = (
            deployment.now + timedelta(seconds=20),
            deployment.now,
            deployment.now,
            0,
        )
        while deployment.now < end:
            if deployment.now >= next_fault:
                next_fault = deployment.now + timedelta(seconds=random.uniform(0.2, 1.2))
                pending_repairs.append(
                    (deployment.now + timedelta(seconds=random.uniform(0.3, 1.4)), _inject_fault(deployment, random))
                )
            if deployment.now >= next_order:
                next_order, number = deployment.now + timedelta(seconds=random.uniform(0.1, 0.4)), number + 1
                doc = {
                    "request": f"c{number}",
                    "part": True,
                    "doc": {"routes": [{"name": f"c{number}", "target": "refund-01"}]},
                }
                http_address = random.choice(_cores(deployment)).http_address
                requests[deployment.operator().ask(f"http://{http_address}/operator/apply", "POST", doc)] = f"c{number}"
            deployment.run(0.02)
            for at, repair in [item for item in pending_repairs if item[0] <= deployment.now]:
                pending_repairs.remove((at, repair))
                repair()
            answers = deployment.operator().answers
            done = [place for place in requests if place in answers]
            acked += [(deployment.now, requests.pop(place)) for place in done if answers[place][0] == 200]
            fresh = [
                box.machine
                for box in _cores(deployment)
                if not box.is_frozen and box.machine.consensus.is_fresh(deployment.now)
            ]
            assert all(_is_current(core, acked, deployment.now) for core in fresh), (seed, deployment.now)
            assert sum(core.consensus.role == "leading" for core in fresh) <= 1, (seed, deployment.now)
        assert len(acked) > 10


def _inject_fault(deployment, random):
    """Cuts one core from some others, or freezes it; returns a function that ends the fault."""
    box = random.choice(_cores(deployment))
    if random.random() < 0.3 and not box.is_frozen:
        deployment.freeze(box.name)
        return lambda: deployment.wake(box.name)
    far = [other.name for other in _cores(deployment) if other is not box and random.random() < 0.8]
    links = deployment.cut([box.name], far, one_way=random.random() < 0.3, holds=True)
    return lambda: deployment.heal(links)


@pytest.mark.parametrize("is_leader", (True, False))
def test_an_isolated_core_answers_no_reads_while_the_others_do(is_leader):
    """A core isolated for 20 s by links that deliver late answers no read from 0.8 s on; the other cores answer all."""
    deployment = _deployment_with_voters(310, 3)
    leader_name = box_of(deployment, leader(deployment)).name
    isolated = leader_name if is_leader else next(name for name in CORES if name != leader_name)
    links = deployment.cut([isolated], deployment.inside(isolated), holds=True)
    answers = _record_reads(deployment)
    for step in range(20):
        deployment.run(1)
        assert _apply(deployment, f"without-{step}", at=next(name for name in CORES if name != isolated))
        for name in CORES:
            deployment._deliver(deployment.boxes[name], ReadRequested(f"{name}/{step}"))
    deployment.heal(links)
    deployment.run(0.6)
    readable = {token for token, is_readable in answers.items() if is_readable}
    assert not any(token.startswith(f"{isolated}/") for token in readable)
    assert len(readable) >= 36
    assert deployment.run_until(lambda: _has_full_view(deployment, 3), 3)


def _record_reads(deployment):
    """Records whether each read is answered from now on, by token."""
    answers = {}
    for core in deployment.machines("core"):

        def record(message, now, handle=core.consensus.take):
            out = handle(message, now)
            reads = [effect for effect in out if isinstance(effect, Readable | Unreadable)]
            answers.update({effect.token: isinstance(effect, Readable) for effect in reads})
            return out

        core.consensus = _ReadRecorder(core.consensus, record)
        core.routing = CoreRouting(core)
        core.dispatcher = EventDispatcher(core.event_handlers())
    return answers


class _ReadRecorder:
    """Wraps a replica and records its answers to reads."""

    def __init__(self, replica, take):
        self.replica, self.take = replica, take

    def __getattr__(self, name):
        return getattr(self.replica, name)


# second losses and planned shutdowns


@pytest.mark.parametrize("voters", (3, 5))
@pytest.mark.parametrize("is_leader", (True, False))
def test_a_second_loss_right_after_a_planned_replacement_is_survived(is_leader, voters):
    """A voter shuts down while a learner is ready, and its machine is removed; 0.3 s later a minority of the voters is
    lost with their disks. A leader must exist within 3 s with every acknowledged change."""
    for seed in range(320, 323):
        deployment = _deployment_with_voters(seed, voters)
        _add(deployment, 9)
        deployment.run(3)
        leader_name = box_of(deployment, leader(deployment)).name
        leaving = (
            leader_name
            if is_leader
            else next(box.name for box in _cores(deployment) if box.name not in (leader_name, "core-9"))
        )
        assert _apply(deployment, "before")
        deployment.stop(leaving)
        assert deployment.run_until(lambda: deployment.boxes[leaving].machine is None, 2)
        deployment.vanish(leaving)
        deployment.run(0.3)
        lost = [box.name for box in _cores(deployment) if box.name != "core-9"][: (voters - 1) // 2]
        for name in lost:
            _wipe(deployment, name)
            deployment.vanish(name)
        assert _seconds_until(deployment, lambda: leader(deployment) is not None, 3) is not None, seed
        assert _apply(deployment, "after") and _has_routes(deployment, "before", "after")


def test_a_leader_that_shuts_down_hands_over_without_a_timeout():
    """While a leader shuts down, with a learner or without, changes at other cores are acknowledged within 0.5 s."""
    for has_newcomer in (True, False):
        deployment = _deployment_with_voters(330, 3)
        if has_newcomer:
            _add(deployment, 4)
            deployment.run(3)
        leader_name = box_of(deployment, leader(deployment)).name
        other = next(name for name in CORES if name != leader_name)
        deployment.stop(leader_name)
        for step in range(10):
            before = deployment.now
            assert _apply(deployment, f"step-{step}", at=other) and deployment.now - before < timedelta(seconds=0.5)
        assert deployment.run_until(lambda: deployment.boxes[leader_name].machine is None, 2)
        if has_newcomer:
            assert _seconds_until(deployment, lambda: _has_full_view(deployment, 3), 1) is not None
        else:
            assert len(leader(deployment).consensus.voting_members) == 3  # the old leader stays a voter
            deployment.start(leader_name)
            assert _seconds_until(deployment, lambda: _has_full_view(deployment, 3), 3) is not None


def test_planned_replacement_of_all_cores_in_turn_keeps_three_voters():
    """Each core is replaced after its successor has started: there are never fewer than three voters, and no change
    takes longer than 1 s."""
    deployment, names = _deployment_with_voters(331, 3), []
    for turn, leaving in enumerate(CORES):
        newcomer = _add(deployment, 4 + turn).name
        deployment.run(1)
        deployment.stop(leaving)
        while deployment.boxes[leaving].machine is not None:
            names.append(f"turn-{turn}-{len(names)}")
            before = deployment.now
            other = next(box.name for box in _cores(deployment) if box.name not in (leaving, newcomer))
            assert _apply(deployment, names[-1], at=other) and deployment.now - before < timedelta(seconds=1)
            leading_core = leader(deployment)
            assert leading_core is None or len(leading_core.consensus.voting_members) >= 3
        deployment.vanish(leaving)
        assert _seconds_until(deployment, lambda: _has_full_view(deployment, 3), 1) is not None
    assert _has_routes(deployment, *names)


def test_a_new_voter_that_fails_during_a_replacement_does_not_block_the_other_two():
    """A voter is lost for good, and its successor fails at any moment of the replacement: the other two continue."""
    for step in range(12):
        deployment = _deployment(340)
        lost = next(name for name in CORES if name != box_of(deployment, leader(deployment)).name)
        deployment.vanish(lost)
        newcomer = _add(deployment, 4).machine.node
        assert deployment.run_until(
            lambda newcomer=newcomer, deployment=deployment: _is_listed(deployment, newcomer), 4
        )
        deployment.run(0.002 * step)
        deployment.vanish("core-4")
        assert (
            _seconds_until(deployment, lambda deployment=deployment: leader(deployment) is not None, 2) is not None
        ), step
        assert _apply(deployment, "goes-on"), step


def _is_listed(deployment, node):
    return any(node in core.consensus.voting_members for core in deployment.machines("core"))


# large changes and states


def _large(number, size=900):
    """Returns a change that is rejected but stays in the log; its names are random, so that it does not compress."""
    random = Random(number)
    return {"routes": [{"name": f"{random.getrandbits(160):x}", "target": "refund-01"} for _ in range(size)]}


def _longest_message(deployment):
    """Records the length of the longest message between nodes from now on, in a list with one item."""
    longest, receive = [0], deployment._receive_message

    def heard(other, raw):
        longest[0] = max(longest[0], len(raw))
        receive(other, raw)

    deployment._receive_message = heard
    return longest


def test_a_long_log_of_large_changes_delays_neither_a_late_member_nor_a_restart_of_all():
    """After 250 changes of 60 KB while a core was down, it catches up within 4 s of its start, and a leader exists
    within 4 s of a restart of all cores; the log stays within its limits."""
    deployment = _deployment(350)
    down = next(name for name in CORES if name != box_of(deployment, leader(deployment)).name)
    deployment.kill(down)
    deployment.run(2)
    rest = [name for name in CORES if name != down]
    for number in range(250):
        _apply(deployment, f"change-{number}", _large(number), at=rest[number % 2])
    log = leader(deployment).consensus.log
    assert log.size <= MAX_LOG_BYTES + CHUNK_BYTES and len(log.entries) <= MAX_LOG_ENTRIES + 1
    deployment.start(down)
    assert _seconds_until(deployment, lambda: _has_full_view(deployment, 3), 4) is not None
    for name in CORES:
        deployment.kill(name)
    for name in CORES:
        deployment.start(name)
    assert _seconds_until(deployment, lambda: leader(deployment) is not None, 4) is not None


def test_a_change_of_four_mebibytes_commits_at_every_core_and_is_fetched_by_a_late_one():
    """A body of the largest allowed size is committed at the leader and at a follower; a late core fetches it."""
    deployment = _deployment(351)
    leader_name = box_of(deployment, leader(deployment)).name
    down, other = [name for name in CORES if name != leader_name]
    deployment.kill(down)
    deployment.run(2)
    doc = _large(1, 40000)
    assert 2 << 20 < len(str(doc)) < 4 << 20
    for number, name in enumerate((leader_name, other)):
        before = leader(deployment).state.number
        deployment.ask(name, "POST", "/operator/apply", {"request": f"huge-{number}", "doc": doc, "part": True})
        assert leader(deployment).state.number > before, name
        assert leader(deployment) is deployment.boxes[leader_name].machine
    deployment.start(down)
    assert _seconds_until(deployment, lambda: _has_full_view(deployment, 3), 4) is not None


@pytest.mark.parametrize("voters", (3, 5))
@pytest.mark.parametrize("is_leader", (True, False))
def test_a_large_state_is_transferred_to_an_empty_disk_within_three_seconds(is_leader, voters):
    """With a state of 3 MB in snapshots, a core that lost its disk is a voter and member within 3 s of its start."""
    deployment = _deployment_with_voters(352, voters)
    compact_after(deployment, 10)
    for core in deployment.machines("core"):
        core.state.requests = {
            f"r{n}": CompletedRequest("0", rejected("x", f"{Random(n).getrandbits(40000):x}")) for n in range(300)
        }
    for number in range(12):
        assert _apply(deployment, f"more-{number}")
    log = leader(deployment).consensus.log
    assert log.base > 0 and len(log.snapshot.state) > 3_000_000
    leader_name = box_of(deployment, leader(deployment)).name
    lost = leader_name if is_leader else next(name for name in CORES if name != leader_name)
    _wipe(deployment, lost)
    deployment.run(0.3)
    deployment.start(lost)
    duration = _seconds_until(
        deployment,
        lambda: (
            _has_full_view(deployment, voters)
            and deployment.boxes[lost].machine.node in leader(deployment).consensus.members
        ),
        3,
    )
    assert duration is not None
    assert deployment.boxes[lost].machine.state.requests == leader(deployment).state.requests
