"""Acknowledgements of pings: which of them remove a pending ping."""

from datetime import timedelta
from random import Random

from sumachook.host.effects import SendDatagram
from sumachook.host.events import MessageReceived
from sumachook.membership.events import Tick
from sumachook.membership.member import MemberStatus, MemberUpdate
from sumachook.membership.membership import Membership
from sumachook.membership.messages import MemberList, Ping, PingAck
from sumachook.runtime.cluster_clock import UNIX_EPOCH, ClusterClock

TICK = timedelta(seconds=0.05)
START = timedelta(seconds=10)


class PingingNode:
    """The membership of one node that knows two others, with the given restart epoch."""

    def __init__(self, restart_epoch):
        local_update = MemberUpdate("a", "a:1", "edge", "hall", restart_epoch, MemberStatus.ALIVE, "a:2", restart_epoch)
        clock = ClusterClock(lambda: UNIX_EPOCH, START)
        self.now = START
        self.membership = Membership(local_update, ("b:1",), Random(1), START, clock)
        others = tuple(
            MemberUpdate(name, f"{name}:1", "edge", "hall", 1, MemberStatus.ALIVE, f"{name}:2", 1)
            for name in ("b", "c")
        )
        self.membership.take(MessageReceived("b", "b:1", MemberList(others)), self.now)

    @property
    def pending(self):
        return self.membership.pings.pending

    def next_ping(self):
        """Ticks until a ping is sent; returns its target and sequence number."""
        while True:
            self.now += TICK
            for effect in self.membership.take(Tick(0), self.now):
                if isinstance(effect, SendDatagram) and isinstance(effect.message, Ping):
                    return effect.address[0], effect.message.sequence

    def acknowledge(self, node, sequence):
        self.membership.take(MessageReceived(node, f"{node}:1", PingAck(sequence, (), 0, 0)), self.now)


def test_ack_from_another_node_or_to_an_earlier_run_leaves_the_ping_pending():
    """An acknowledgement sent by another node, or for a ping of an earlier run, must not hide that a node does not
    answer. Only the pinged node's own acknowledgement removes the pending ping.
    """
    earlier, later = PingingNode(1000), PingingNode(1001)
    _, old_sequence = earlier.next_ping()
    node, sequence = later.next_ping()
    other = "c" if node == "b" else "b"
    later.acknowledge(node, old_sequence)
    later.acknowledge(other, sequence)
    assert sequence in later.pending and old_sequence != sequence
    later.acknowledge(node, sequence)
    assert sequence not in later.pending


def test_sequence_numbers_of_a_later_run_exceed_those_of_an_earlier_one():
    """Of two runs started one millisecond apart, 60,000 pings of the first stay below the first ping of the second."""
    earlier, later = PingingNode(1000), PingingNode(1001)
    assert earlier.next_ping()[1] + 60000 < later.next_ping()[1] < 1 << 62
