"""The ordered control state under loss of disks, machines and power: cores only, in virtual time."""

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
    """Three cores in a view that holds an applied catalogue; each core wants so many seats."""
    deployment = Deployment(spec(), seed, edges=0, voter_away=voter_away, wanted_voters=wanted_voters)
    assert deployment.run_until(lambda: leader(deployment) is not None, 10)
    assert _apply(deployment, "first", deployment.spec.catalogue, part=False)
    deployment.run(1)
    return deployment


def _add(deployment, number):
    """A core machine with an empty disk at an address that nobody had."""
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


def _holds(deployment, voters):
    """Whether a view of just so many seats works, with a roster of the same, at every one the same."""
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


def _knows(deployment, *names):
    core = leader(deployment)
    return core is not None and set(names) <= {route.name for route in core.state.catalogue.routes}


def _time(deployment, is_reached, within):
    """The seconds until it was reached, or None if it was not within these."""
    before = deployment.now
    return (deployment.now - before).total_seconds() if deployment.run_until(is_reached, within) else None


@pytest.mark.parametrize("is_leader", (True, False))
def test_empty_disk_at_the_old_address_is_a_full_seat_soon(is_leader):
    """Given a core whose disk is lost, it stands in roster and view within three seconds of its start; the next loss is survived."""
    deployment = _deployment(201, voter_away=60)
    head = box_of(deployment, leader(deployment)).name
    lost = head if is_leader else next(name for name in CORES if name != head)
    _wipe(deployment, lost)
    deployment.run(0.3)
    deployment.start(lost)
    voter = deployment.boxes[lost].machine.node
    took = _time(deployment, lambda: _holds(deployment, 3) and voter in leader(deployment).consensus.members, 3)
    assert took is not None
    assert _apply(deployment, "between")
    deployment.vanish(next(name for name in CORES if name not in (lost, head)))
    assert _time(deployment, lambda: leader(deployment) is not None, 2) is not None and _apply(
        deployment, "after", at=lost
    )
    assert _knows(deployment, "between", "after")


def test_all_disks_are_lost_one_by_one_every_four_seconds():
    """Given each disk lost in turn, four seconds apart, twice over, every change that was acknowledged stays."""
    deployment, names = _deployment(202, voter_away=60), []
    for turn in range(6):
        names.append(f"turn-{turn}")
        assert _apply(deployment, names[-1])
        _wipe(deployment, CORES[turn % 3])
        deployment.start(CORES[turn % 3])
        deployment.run(4)
    assert _holds(deployment, 3) and _knows(deployment, *names)


@pytest.mark.parametrize("is_leader", (True, False))
def test_machine_gone_for_good_is_replaced_at_a_new_address(is_leader):
    """Given a core gone for good and an empty one elsewhere 0.3 s later, the new one is a full seat within 3.7 s of its start."""
    deployment = _deployment(203)
    head = box_of(deployment, leader(deployment)).name
    lost = head if is_leader else next(name for name in CORES if name != head)
    deployment.vanish(lost)
    deployment.run(0.3)
    voter = _add(deployment, 4).machine.node
    assert (
        _time(deployment, lambda: _holds(deployment, 3) and voter in leader(deployment).consensus.members, 3.7)
        is not None
    )
    deployment.vanish(next(name for name in CORES if name != lost))
    assert _time(deployment, lambda: leader(deployment) is not None, 2) is not None and _apply(
        deployment, "after", at="core-4"
    )


def test_newcomer_that_is_lost_as_soon_as_it_is_a_seat_is_replaced_too():
    """Given a newcomer that is gone in the moment in which it comes into the roster, the next newcomer takes its seat."""
    deployment = _deployment(208)
    lost = next(name for name in CORES if name != box_of(deployment, leader(deployment)).name)
    deployment.vanish(lost)
    first = _add(deployment, 4)
    while not any(first.machine.node in core.consensus.voting_members for core in deployment.machines("core")):
        deployment.run(0.001)
    deployment.vanish("core-4")
    _add(deployment, 5)
    assert _time(deployment, lambda: _holds(deployment, 3), 3.7) is not None


def test_node_that_is_only_started_again_keeps_its_seat():
    """Given a core that is killed and started with its disk, the roster stays as it was."""
    deployment = _deployment(204)
    before = dict(leader(deployment).consensus.voting_members)
    for name in CORES:
        deployment.kill(name)
        deployment.run(0.3)
        deployment.start(name)
        assert deployment.run_until(lambda: _holds(deployment, 3), 4), name
    assert leader(deployment).consensus.voting_members == before


def test_roster_grows_from_three_to_five_and_never_rests_at_four():
    """Given cores that want five seats, one blank core alone is not taken in; with a second both are."""
    deployment = _deployment(205, wanted_voters=5)
    _add(deployment, 4)
    deployment.run(4)
    assert _holds(deployment, 3)
    _add(deployment, 5)
    assert _time(deployment, lambda: _holds(deployment, 5), 3) is not None
    for name in ("core-1", "core-4"):
        deployment.vanish(name)
    assert _time(deployment, lambda: leader(deployment) is not None, 2.5) is not None and _apply(deployment, "two-lost")


def test_five_blank_cores_that_start_together_found_with_three_and_grow():
    """Given five blank cores of which three are named as founders, the three found and the others join; none waits for another's seat."""
    deployment = Deployment(spec(), 206, edges=0, voter_away=1.5, wanted_voters=5)
    for number in (4, 5):
        _add(deployment, number)
    assert _time(deployment, lambda: leader(deployment) is not None, 3) is not None
    assert _time(deployment, lambda: _holds(deployment, 5), 4) is not None


def test_roster_does_not_grow_while_the_view_would_be_no_majority_of_it():
    """Given a view of two of three, two newcomers wait, lest a majority arise that knows nothing; with the third back, five stand."""
    deployment = _deployment(209, wanted_voters=5, voter_away=60)
    lost = next(name for name in CORES if name != box_of(deployment, leader(deployment)).name)
    deployment.kill(lost)
    deployment.run(1.5)
    _add(deployment, 4)
    _add(deployment, 5)
    deployment.run(4)
    assert len(leader(deployment).consensus.voting_members) == 3 and _apply(deployment, "of-two")
    deployment.start(lost)
    assert _time(deployment, lambda: _holds(deployment, 5), 4) is not None and _knows(deployment, "of-two")


@pytest.mark.parametrize("is_elsewhere", (False, True))
def test_two_of_five_are_lost_at_once_and_replaced(is_elsewhere):
    """Given five seats of which two lose their disks, or are gone for good, five stand again within 3.7 s of the newcomers' start."""
    deployment = _deployment(206, wanted_voters=5)
    _add(deployment, 4)
    _add(deployment, 5)
    assert deployment.run_until(lambda: _holds(deployment, 5), 6) and _apply(deployment, "before")
    head = box_of(deployment, leader(deployment)).name
    lost = [head, next(name for name in CORES if name != head)]
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
    assert _time(deployment, lambda: _holds(deployment, 5), 3.7) is not None and _knows(deployment, "before")


def test_removed_seat_that_comes_back_with_its_disk_is_let_in_again():
    """Given a core that was cut off and replaced meanwhile, it fills the next vacancy when it is back."""
    deployment = _deployment(207)
    deployment.cut(["core-3"], ["core-1", "core-2"])
    _add(deployment, 4)
    deployment.cut(["core-3"], ["core-4"])
    former = deployment.boxes["core-3"].machine.node
    assert deployment.run_until(lambda: _holds(deployment, 3) and former not in leader(deployment).consensus.members, 5)
    deployment.heal()
    deployment.run(3)
    assert _holds(deployment, 3) and _apply(deployment, "without")
    deployment.vanish("core-1")
    assert deployment.run_until(lambda: _holds(deployment, 3) and former in leader(deployment).consensus.members, 6)
    assert _knows(deployment, "without")
    deployment.kill("core-3")
    deployment.start("core-3")
    assert deployment.run_until(lambda: _holds(deployment, 3) and former in leader(deployment).consensus.members, 5)


@pytest.mark.parametrize("wiped", CORES)
def test_disk_lost_and_power_lost_elsewhere_right_after_an_ack(wiped):
    """Given an ack, one disk lost and power lost everywhere in the same instant, the change is there when all are started."""
    for step in range(3):
        deployment = _deployment(210 + step)
        if step == 1:  # the view is of two
            deployment.kill(next(name for name in CORES if name != wiped))
            deployment.run(1.5)
        if step == 2:  # one seat is quite new
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
        assert _time(deployment, lambda: _holds(deployment, 3), 4) is not None and _knows(deployment, "last-word")


def test_empty_disk_whose_seeds_are_all_gone_is_found_by_the_leader_s_beats():
    """Given cores that were swapped for others since the seeds were written, one whose disk is lost is a full seat soon."""
    deployment = _deployment(215)
    for place, name in enumerate(CORES):
        _add(deployment, 4 + place)
        deployment.run(2)
        deployment.vanish(name)
        assert deployment.run_until(lambda: _holds(deployment, 3), 5), name
        deployment.run(1)
    assert _apply(deployment, "before")
    _wipe(deployment, "core-5")
    deployment.run(0.3)
    deployment.start("core-5")
    assert _time(deployment, lambda: _holds(deployment, 3), 3) is not None and _knows(deployment, "before")


def test_order_at_a_core_that_does_not_lead_is_delivered_everywhere_without_waiting_for_a_pulse():
    """Given links of 3 ms and disks of 2 ms at most, an order is delivered at all cores within 18 ms, whenever it comes."""
    deployment = _deployment(270)
    deployment.run(5)
    other = next(core for core in deployment.machines("core") if core is not leader(deployment))
    for step in range(20):
        deployment.run(0.1 + 0.0137 * (step % 7))
        before = leader(deployment).state.number
        deployment._deliver(box_of(deployment, other), ProposeChange(("evacuate", f"step-{step}", "hall-a")))
        deployment.run(0.018)
        assert all(core.state.number > before for core in deployment.machines("core")), step


def test_restart_of_all_works_soon():
    """Given three cores, or two of three, started within 0.3 s of each other, a view works within 1.2 s of the last start."""
    worst = 0
    for seed in range(8):
        deployment = _deployment(220 + seed)
        for name in CORES:
            deployment.kill(name)
        deployment.run(0.5)
        for name in CORES[: 2 + seed % 2]:
            deployment.start(name)
            deployment.run(deployment.random.uniform(0, 0.15))
        took = _time(deployment, lambda: leader(deployment) is not None, 1.2)
        assert took is not None, seed
        worst = max(worst, took)
    print("restart to view", worst)


def test_killed_leader_is_followed_soon():
    """Given a leader that is killed, or killed and started at once, another view works within 1.6 s."""
    worst = 0
    for seed in range(8):
        deployment = _deployment(230 + seed)
        lost = box_of(deployment, leader(deployment)).name
        deployment.kill(lost)
        if seed % 2:
            deployment.run(0.2)
            deployment.start(lost)
        took = _time(deployment, lambda: leader(deployment) is not None, 1.6)
        assert took is not None, seed
        worst = max(worst, took)
    print("killed leader to view", worst)


@pytest.mark.parametrize("is_leader", (True, False))
def test_stalled_disk_does_not_hold_up_the_view(is_leader):
    """Given a disk that stalls for long, at the leader or another, a change is acknowledged within 1.5 s, and the next at once."""
    deployment = _deployment(240)
    head = box_of(deployment, leader(deployment)).name
    slow = head if is_leader else next(name for name in CORES if name != head)
    rest = next(name for name in CORES if name not in (head, slow))
    deployment.boxes[slow].disk.stalled_until = deployment.now + timedelta(seconds=9)
    before = deployment.now
    assert _apply(deployment, "stalled", at=rest)
    took = deployment.now - before
    print("stalled, leader" if is_leader else "stalled, member", took)
    assert took < timedelta(seconds=1.5 if is_leader else 1.3)


@pytest.mark.parametrize("is_deaf", (True, False))
@pytest.mark.parametrize("is_leader", (True, False))
def test_one_way_cuts_do_not_hold_up_the_view(is_deaf, is_leader):
    """Given one that hears but is not heard, or the other way round, a change is acknowledged within two seconds, and goes on being so."""
    deployment = _deployment(250)
    head = box_of(deployment, leader(deployment)).name
    odd = head if is_leader else next(name for name in CORES if name != head)
    rest = [name for name in CORES if name != odd]
    deployment.cut(*((rest, [odd]) if is_deaf else ([odd], rest)), one_way=True)
    before = deployment.now
    assert _apply(deployment, "cut", at=rest[0])
    took = deployment.now - before
    print("one way", is_deaf, is_leader, took)
    assert took < timedelta(seconds=2)
    for step in range(8):
        before = deployment.now
        assert _apply(deployment, f"on-{step}", at=rest[step % 2]) and deployment.now - before < timedelta(seconds=1), (
            step
        )
        deployment.run(0.5)


def test_short_stalls_do_not_change_the_view():
    """Given disks and machines that stand still for half a second each now and then, the view stays."""
    deployment = _deployment(260)
    ballot = leader(deployment).consensus.view
    for step in range(12):
        box = deployment.boxes[CORES[step % 3]]
        if step % 2:
            box.disk.stalled_until = deployment.now + timedelta(seconds=0.5)
        else:
            deployment.freeze(box.name)
        deployment.run(0.5)
        deployment.wake(box.name)
        assert _apply(deployment, f"step-{step}", at=CORES[(step + 1) % 3])
    assert leader(deployment).consensus.view == ballot


# cuts that deliver late what they held


def _whole(seed, voters):
    """A town whose view is of so many seats."""
    deployment = _deployment(seed, voters)
    for number in range(4, voters + 1):
        _add(deployment, number)
    assert deployment.run_until(lambda: _holds(deployment, voters), 8)
    return deployment


def _cores(deployment):
    return [box for box in deployment.boxes.values() if box.role == "core" and not box.is_gone]


def _is_current(core, acked, now):
    """Whether a core that vouches for its state has all that was acknowledged more than its bound ago."""
    known = {route.name for route in core.state.catalogue.routes}
    return all(name in known for at, name in acked if now - at >= FRESH_FOR)


@pytest.mark.parametrize("voters", (3, 5))
def test_nobody_vouches_for_an_old_state_however_late_links_deliver_what_they_held_up(voters):
    """Given links that are cut and deliver late, freezes, and changes all the while, no core calls its state fresh that lacks what was
    acknowledged 0.8 s before, and never do two leaders hold a lease at once."""
    for seed in (301, 302, 303):
        deployment, random, acked, asked, undo = _whole(seed, voters), Random(seed), [], {}, []
        end, next_order, next_trouble, number = (
            deployment.now + timedelta(seconds=20),
            deployment.now,
            deployment.now,
            0,
        )
        while deployment.now < end:
            if deployment.now >= next_trouble:
                next_trouble = deployment.now + timedelta(seconds=random.uniform(0.2, 1.2))
                undo.append(
                    (deployment.now + timedelta(seconds=random.uniform(0.3, 1.4)), _disturb(deployment, random))
                )
            if deployment.now >= next_order:
                next_order, number = deployment.now + timedelta(seconds=random.uniform(0.1, 0.4)), number + 1
                doc = {
                    "request": f"c{number}",
                    "part": True,
                    "doc": {"routes": [{"name": f"c{number}", "target": "refund-01"}]},
                }
                http_address = random.choice(_cores(deployment)).http_address
                asked[deployment.operator().ask(f"http://{http_address}/operator/apply", "POST", doc)] = f"c{number}"
            deployment.run(0.02)
            for at, stop in [item for item in undo if item[0] <= deployment.now]:
                undo.remove((at, stop))
                stop()
            answers = deployment.operator().answers
            done = [place for place in asked if place in answers]
            acked += [(deployment.now, asked.pop(place)) for place in done if answers[place][0] == 200]
            sure = [
                box.machine
                for box in _cores(deployment)
                if not box.is_frozen and box.machine.consensus.is_fresh(deployment.now)
            ]
            assert all(_is_current(core, acked, deployment.now) for core in sure), (seed, deployment.now)
            assert sum(core.consensus.role == "leading" for core in sure) <= 1, (seed, deployment.now)
        assert len(acked) > 10


def _disturb(deployment, random):
    """Cuts one core from some others, or freezes it; gives what ends that."""
    box = random.choice(_cores(deployment))
    if random.random() < 0.3 and not box.is_frozen:
        deployment.freeze(box.name)
        return lambda: deployment.wake(box.name)
    far = [other.name for other in _cores(deployment) if other is not box and random.random() < 0.8]
    links = deployment.cut([box.name], far, one_way=random.random() < 0.3, holds=True)
    return lambda: deployment.heal(links)


@pytest.mark.parametrize("is_leader", (True, False))
def test_a_core_cut_off_for_twenty_seconds_answers_no_read_and_the_others_do(is_leader):
    """Given a core cut off for 20 s by links that deliver late, no read is answered there 0.8 s later, and all are elsewhere."""
    deployment = _whole(310, 3)
    head = box_of(deployment, leader(deployment)).name
    lone = head if is_leader else next(name for name in CORES if name != head)
    links = deployment.cut([lone], deployment.inside(lone), holds=True)
    answers = _note_reads(deployment)
    for step in range(20):
        deployment.run(1)
        assert _apply(deployment, f"without-{step}", at=next(name for name in CORES if name != lone))
        for name in CORES:
            deployment._deliver(deployment.boxes[name], ReadRequested(f"{name}/{step}"))
    deployment.heal(links)
    deployment.run(0.6)
    readable = {token for token, is_readable in answers.items() if is_readable}
    assert not any(token.startswith(f"{lone}/") for token in readable)
    assert len(readable) >= 36
    assert deployment.run_until(lambda: _holds(deployment, 3), 3)


def _note_reads(deployment):
    """The answers to reads, by token, from now on."""
    answers = {}
    for core in deployment.machines("core"):

        def note(message, now, handle=core.consensus.take):
            out = handle(message, now)
            reads = [effect for effect in out if isinstance(effect, Readable | Unreadable)]
            answers.update({effect.token: isinstance(effect, Readable) for effect in reads})
            return out

        core.consensus = _Noted(core.consensus, note)
        core.routing = CoreRouting(core)
        core.dispatcher = EventDispatcher(core.event_handlers())
    return answers


class _Noted:
    """A replica whose answers are noted."""

    def __init__(self, replica, take):
        self.replica, self.take = replica, take

    def __getattr__(self, name):
        return getattr(self.replica, name)


# a second loss, planned leaves


@pytest.mark.parametrize("voters", (3, 5))
@pytest.mark.parametrize("is_leader", (True, False))
def test_a_second_loss_right_after_a_planned_replacement_is_borne(is_leader, voters):
    """Given a newcomer that stands ready and a seat that is told to leave, its machine goes once it has ended; 0.3 s later another is
    gone with its disk, and a view works all the same with all that was acknowledged."""
    for seed in range(320, 323):
        deployment = _whole(seed, voters)
        _add(deployment, 9)
        deployment.run(3)
        head = box_of(deployment, leader(deployment)).name
        leaving = (
            head if is_leader else next(box.name for box in _cores(deployment) if box.name not in (head, "core-9"))
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
        assert _time(deployment, lambda: leader(deployment) is not None, 3) is not None, seed
        assert _apply(deployment, "after") and _knows(deployment, "before", "after")


def test_the_leader_is_told_to_leave_and_nobody_waits_for_its_silence():
    """Given a leader that is told to leave, with a newcomer or without, orders at another core are acknowledged within 0.5 s."""
    for has_newcomer in (True, False):
        deployment = _whole(330, 3)
        if has_newcomer:
            _add(deployment, 4)
            deployment.run(3)
        head = box_of(deployment, leader(deployment)).name
        other = next(name for name in CORES if name != head)
        deployment.stop(head)
        for step in range(10):
            before = deployment.now
            assert _apply(deployment, f"step-{step}", at=other) and deployment.now - before < timedelta(seconds=0.5)
        assert deployment.run_until(lambda: deployment.boxes[head].machine is None, 2)
        if has_newcomer:
            assert _time(deployment, lambda: _holds(deployment, 3), 1) is not None
        else:
            assert (
                len(leader(deployment).consensus.voting_members) == 3
            )  # it keeps its seat and comes back with its disk
            deployment.start(head)
            assert _time(deployment, lambda: _holds(deployment, 3), 3) is not None


def test_all_cores_are_replaced_in_a_planned_way_one_after_the_other():
    """Given each core replaced in turn, its successor started first, the roster never has fewer than three and orders never wait long."""
    deployment, names = _whole(331, 3), []
    for turn, leaving in enumerate(CORES):
        newcomer = _add(deployment, 4 + turn).name
        deployment.run(1)
        deployment.stop(leaving)
        while deployment.boxes[leaving].machine is not None:
            names.append(f"turn-{turn}-{len(names)}")
            before = deployment.now
            asked = next(box.name for box in _cores(deployment) if box.name not in (leaving, newcomer))
            assert _apply(deployment, names[-1], at=asked) and deployment.now - before < timedelta(seconds=1)
            head = leader(deployment)
            assert head is None or len(head.consensus.voting_members) >= 3
        deployment.vanish(leaving)
        assert _time(deployment, lambda: _holds(deployment, 3), 1) is not None
    assert _knows(deployment, *names)


def test_a_newcomer_that_dies_while_it_replaces_a_dead_seat_does_not_stop_the_two_that_are_left():
    """Given a seat gone for good and a newcomer gone at any moment of its becoming one, the two that are left go on."""
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
        assert _time(deployment, lambda deployment=deployment: leader(deployment) is not None, 2) is not None, step
        assert _apply(deployment, "goes-on"), step


def _is_listed(deployment, node):
    return any(node in core.consensus.voting_members for core in deployment.machines("core"))


# large changes and states


def _large(number, size=900):
    """A change that is refused and stands in the log all the same; its name is random, so that it does not compress."""
    random = Random(number)
    return {"routes": [{"name": f"{random.getrandbits(160):x}", "target": "refund-01"} for _ in range(size)]}


def _longest_message(deployment):
    """Notes the longest message between nodes from now on, in a list of one."""
    longest, hear = [0], deployment._receive_message

    def heard(other, raw):
        longest[0] = max(longest[0], len(raw))
        hear(other, raw)

    deployment._receive_message = heard
    return longest


def test_long_log_of_large_changes_holds_up_neither_a_late_member_nor_a_restart_of_all():
    """Given 250 changes of 60 KB while a core is down, it catches up within 4 s of its start, and a view works within 4 s of a restart of
    all; the log stays within its bounds and no message is larger than a chunk."""
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
    assert _time(deployment, lambda: _holds(deployment, 3), 4) is not None
    for name in CORES:
        deployment.kill(name)
    for name in CORES:
        deployment.start(name)
    assert _time(deployment, lambda: leader(deployment) is not None, 4) is not None


def test_change_of_four_mebibytes_goes_through_every_core_and_is_caught_up_with():
    """Given a body as large as an operator may send, at the leader and elsewhere, it is answered, and a core that was down gets it."""
    deployment = _deployment(351)
    head = box_of(deployment, leader(deployment)).name
    down, other = [name for name in CORES if name != head]
    deployment.kill(down)
    deployment.run(2)
    doc = _large(1, 40000)
    assert 2 << 20 < len(str(doc)) < 4 << 20
    for number, name in enumerate((head, other)):
        before = leader(deployment).state.number
        deployment.ask(name, "POST", "/operator/apply", {"request": f"huge-{number}", "doc": doc, "part": True})
        assert leader(deployment).state.number > before, name
        assert leader(deployment) is deployment.boxes[head].machine
    deployment.start(down)
    assert _time(deployment, lambda: _holds(deployment, 3), 4) is not None


@pytest.mark.parametrize("voters", (3, 5))
@pytest.mark.parametrize("is_leader", (True, False))
def test_large_state_is_learned_by_an_empty_disk_within_three_seconds(is_leader, voters):
    """Given a state of 3 MB that stands in snapshots, a core whose disk is lost is a full seat within three seconds of its start."""
    deployment = _whole(352, voters)
    compact_after(deployment, 10)
    for core in deployment.machines("core"):
        core.state.requests = {
            f"r{n}": CompletedRequest("0", rejected("x", f"{Random(n).getrandbits(40000):x}")) for n in range(300)
        }
    for number in range(12):
        assert _apply(deployment, f"more-{number}")
    log = leader(deployment).consensus.log
    assert log.base > 0 and len(log.snapshot.state) > 3_000_000
    head = box_of(deployment, leader(deployment)).name
    lost = head if is_leader else next(name for name in CORES if name != head)
    _wipe(deployment, lost)
    deployment.run(0.3)
    deployment.start(lost)
    took = _time(
        deployment,
        lambda: (
            _holds(deployment, voters) and deployment.boxes[lost].machine.node in leader(deployment).consensus.members
        ),
        3,
    )
    assert took is not None
    assert deployment.boxes[lost].machine.state.requests == leader(deployment).state.requests
