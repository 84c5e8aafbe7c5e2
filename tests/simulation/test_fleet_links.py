"""Links of the in-memory fleet that hold messages during a cut and deliver them late, as TCP does.

docs/design/simulation.md describes them.
"""

from datetime import timedelta

from sumachook.changefeed.messages import Follow
from sumachook.host.effects import AppendRecords, Send, SendDatagram
from sumachook.host.events import MessageReceived
from sumachook.simulation.fleet import Fleet
from tests.deployment_fixtures import box_of, cut_late, found, leader


class Recorder:
    """State machine that records each number it receives with the time of receipt."""

    __slots__ = ("received",)

    def __init__(self):
        self.received = []

    def take(self, message, now):
        if isinstance(message, MessageReceived):
            self.received.append((message.message.number, now.total_seconds()))
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
    return [number for number, _ in fleet.boxes[name].machine.received]


def test_held_messages_arrive_in_order_on_heal_before_later_ones():
    """Messages sent during a holding cut arrive in order when it heals, before those sent after the heal."""
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
    assert all(at >= healed_at for _, at in fleet.boxes["b"].machine.received)


def test_message_in_flight_at_heal_does_not_overtake_held_ones():
    """A message in flight when the link heals arrives after the held ones."""
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


def test_messages_held_longer_than_connection_timeout_are_lost():
    """After a cut longer than 1.5 s, for which a sender keeps its connection, only the later messages arrive."""
    fleet = _pair()
    fleet.cut(["a"], ["b"], holds=True)
    _send(fleet, 1)
    fleet.run(1)
    _send(fleet, 2)
    fleet.run(0.9)
    fleet.heal()
    fleet.run(0.1)
    assert _numbers(fleet) == [2]


def test_one_way_cut_holds_messages_one_way_and_loses_datagrams():
    """With only the link from a to b cut, b reaches a at once; messages from a are held, its datagrams are lost."""
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


def test_held_messages_are_lost_when_receiver_restarts():
    """A receiver restarted during the cut does not get messages that were sent to its previous process."""
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


def test_held_messages_survive_kill_of_sender_but_not_its_power_loss():
    """After a sender is killed during the cut, its operating system still delivers; after a power loss it does not."""
    for end, arrived in ((Fleet.kill, [1]), (Fleet.lose_power, [])):
        fleet = _pair()
        fleet.cut(["a"], ["b"], holds=True)
        _send(fleet, 1)
        fleet.run(0.1)
        end(fleet, "a")
        fleet.heal()
        fleet.run(0.1)
        assert _numbers(fleet) == arrived


def test_frozen_receiver_gets_held_messages_when_it_resumes():
    """When a link heals while its receiver is frozen, the held messages are buffered until the receiver resumes."""
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


def test_second_cut_at_time_of_heal_keeps_messages_held():
    """If links are cut again before any delivery, all messages not too old by then arrive at the second heal."""
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


def test_power_loss_keeps_given_number_of_oldest_writes():
    """With three unfinished writes, a power loss told to keep two keeps the first two."""
    fleet = _pair()
    fleet.boxes["a"].disk.stalled_until = fleet.now + timedelta(seconds=5)
    for number in (1, 2, 3):
        fleet._execute(fleet.boxes["a"], AppendRecords("log", ((number,),)))
    fleet.lose_power("a", writes_kept=2)
    assert fleet.boxes["a"].disk.files == {"log": [(1,), (2,)]}


def test_cores_agree_again_after_cuts_with_late_delivery():
    """After a leader was cut off and its messages arrive late, a leader with three members is back within 15 s of the heal."""
    deployment = found(31, edges=0)
    deployment.run(1)
    links = cut_late(deployment, box_of(deployment, leader(deployment)).name)
    deployment.run(1.2)
    deployment.heal(links)
    assert deployment.run_until(
        lambda: leader(deployment) is not None and len(leader(deployment).consensus.members) == 3, 15
    )
