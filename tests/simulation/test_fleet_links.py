"""Links of the in-memory fleet that deliver late what a cut held, as TCP does (docs/design/simulation.md)."""

from datetime import timedelta

from sumachook.changefeed.messages import Follow
from sumachook.host.effects import AppendRecords, Send, SendDatagram
from sumachook.host.events import MessageReceived
from sumachook.simulation.fleet import Fleet
from tests.deployment_fixtures import box_of, cut_late, found, leader


class Recorder:
    """A machine that keeps the numbers it hears, each with the time at which it took them."""

    __slots__ = ("heard",)

    def __init__(self):
        self.heard = []

    def take(self, message, now):
        if isinstance(message, MessageReceived):
            self.heard.append((message.message.number, now.total_seconds()))
        return []


def _pair() -> Fleet:
    fleet = Fleet(1)
    for name in ("a", "b"):
        fleet.add(name, "node", lambda box: Recorder(), "", f"{name}:1", f"{name}:door")
    fleet.run(0.1)
    return fleet


def _send(fleet, number, sender="a", receiver="b", effect_type=Send):
    fleet._execute(fleet.boxes[sender], effect_type(f"{receiver}:1", Follow(number, 0)))


def _numbers(fleet, name="b"):
    return [number for number, _ in fleet.boxes[name].machine.heard]


def test_what_a_cut_held_comes_at_its_end_in_order_and_before_what_was_sent_later():
    """Given a cut that holds, what was sent during it arrives when it heals, in order, before what is sent after the heal."""
    fleet = _pair()
    fleet.cut(["a"], ["b"], holds=True)
    for number in (1, 2, 3):
        _send(fleet, number)
        fleet.run(0.2)
    assert _numbers(fleet) == []
    healed_at = fleet.now.total_seconds()
    fleet.heal()
    _send(fleet, 4)
    fleet.run(0.1)
    assert _numbers(fleet) == [1, 2, 3, 4]
    assert all(at >= healed_at for _, at in fleet.boxes["b"].machine.heard)


def test_what_was_under_way_at_the_heal_does_not_overtake_what_was_held():
    """Given a message on the wire when the link heals, it arrives after the held ones."""
    fleet = _pair()
    fleet.latency = (0.05, 0.05)
    fleet.cut(["a"], ["b"], holds=True)
    _send(fleet, 1)
    fleet.run(0.06)
    _send(fleet, 2)
    fleet.heal()
    _send(fleet, 3)
    fleet.run(0.2)
    assert _numbers(fleet) == [1, 2, 3]


def test_what_was_held_for_too_long_is_lost():
    """Given a cut longer than a sender keeps its connection, only the later messages arrive."""
    fleet = _pair()
    fleet.cut(["a"], ["b"], holds=True)
    _send(fleet, 1)
    fleet.run(1)
    _send(fleet, 2)
    fleet.run(0.9)
    fleet.heal()
    fleet.run(0.1)
    assert _numbers(fleet) == [2]


def test_a_cut_one_way_holds_one_way_and_datagrams_are_lost():
    """Given a cut from a to b only, a hears b at once, and of what a sends the datagrams are lost."""
    fleet = _pair()
    fleet.cut(["a"], ["b"], one_way=True, holds=True)
    _send(fleet, 1)
    _send(fleet, 2, effect_type=SendDatagram)
    _send(fleet, 3, sender="b", receiver="a")
    fleet.run(0.2)
    assert _numbers(fleet, "a") == [3] and _numbers(fleet) == []
    fleet.heal()
    fleet.run(0.1)
    assert _numbers(fleet) == [1]


def test_a_connection_whose_receiver_ended_loses_what_was_held():
    """Given a receiver that is killed and started during the cut, what its predecessor should have had does not reach it."""
    fleet = _pair()
    fleet.cut(["a"], ["b"], holds=True)
    _send(fleet, 1)
    fleet.run(0.1)
    fleet.kill("b")
    fleet.start("b")
    _send(fleet, 2)
    fleet.run(0.1)
    fleet.heal()
    fleet.run(0.1)
    assert _numbers(fleet) == [2]


def test_a_sender_without_power_sends_nothing_more_and_a_killed_one_does():
    """Given senders that end during the cut, the system of the killed one still delivers, that of one without power does not."""
    for end, arrived in ((Fleet.kill, [1]), (Fleet.lose_power, [])):
        fleet = _pair()
        fleet.cut(["a"], ["b"], holds=True)
        _send(fleet, 1)
        fleet.run(0.1)
        end(fleet, "a")
        fleet.heal()
        fleet.run(0.1)
        assert _numbers(fleet) == arrived


def test_a_frozen_receiver_takes_what_was_held_when_it_wakes():
    """Given a link that heals while its receiver is frozen, the held messages lie in its buffer until it wakes."""
    fleet = _pair()
    fleet.cut(["a"], ["b"], holds=True)
    _send(fleet, 1)
    fleet.run(0.1)
    fleet.freeze("b")
    fleet.heal()
    fleet.run(1)
    assert _numbers(fleet) == []
    fleet.wake("b")
    assert _numbers(fleet) == [1]


def test_a_second_cut_at_the_moment_of_the_heal_holds_on():
    """Given links cut again before anything came through, all arrives at the second heal, if it is not too old by then."""
    fleet = _pair()
    fleet.cut(["a"], ["b"], holds=True)
    _send(fleet, 1)
    fleet.run(0.5)
    fleet.heal()
    fleet.cut(["a"], ["b"], holds=True)
    _send(fleet, 2)
    fleet.run(0.5)
    assert _numbers(fleet) == []
    fleet.heal()
    fleet.run(0.1)
    assert _numbers(fleet) == [1, 2]


def test_writes_that_survive_the_loss_of_power_are_the_oldest():
    """Given three writes under way, losing power may keep any number of the first ones."""
    fleet = _pair()
    fleet.boxes["a"].disk.stalled_until = fleet.now + timedelta(seconds=5)
    for number in (1, 2, 3):
        fleet._execute(fleet.boxes["a"], AppendRecords("log", ((number,),)))
    fleet.lose_power("a", writes_kept=2)
    assert fleet.boxes["a"].disk.files == {"log": [(1,), (2,)]}


def test_a_view_stands_again_after_cuts_that_deliver_late():
    """Given a leader cut off with late delivery, its cores agree again after the heal."""
    deployment = found(31, edges=0)
    deployment.run(1)
    links = cut_late(deployment, box_of(deployment, leader(deployment)).name)
    deployment.run(1.2)
    deployment.heal(links)
    assert deployment.run_until(
        lambda: leader(deployment) is not None and len(leader(deployment).consensus.members) == 3, 15
    )
