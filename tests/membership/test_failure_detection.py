"""Failure detection: an unreachable member is suspected, removed, and accepted again when it returns."""

from datetime import timedelta
from random import Random

from sumachook.host.effects import SendDatagram
from sumachook.host.events import MessageReceived
from sumachook.membership.effects import MemberChanged
from sumachook.membership.events import Tick
from sumachook.membership.member import MemberStatus, MemberUpdate
from sumachook.membership.membership import Membership
from sumachook.runtime.cluster_clock import UNIX_EPOCH, ClusterClock

SECOND = timedelta(seconds=1)
TICK = SECOND * 0.05


def _three_nodes():
    nodes = {}
    for name in ("a", "b", "c"):
        local_update = MemberUpdate(name, name, "edge", "hall", 1, MemberStatus.ALIVE, name, 1)
        clock = ClusterClock(lambda: UNIX_EPOCH, timedelta(0))
        nodes[name] = Membership(local_update, ("a",), Random(name), timedelta(0), clock)
    return nodes


def _run(nodes, start, end, unreachable=()):
    """Runs the nodes from `start` to `end`; returns (node, effect) for each effect that is not a message."""
    now, emitted = start, []
    while now < end:
        now += TICK
        pending = [
            (name, effect)
            for name, node in nodes.items()
            if name not in unreachable
            for effect in node.take(Tick(0), now)
        ]
        while pending:
            name, effect = pending.pop(0)
            if not isinstance(effect, SendDatagram):
                emitted.append((name, effect))
            elif effect.address in nodes and effect.address not in unreachable:
                received = MessageReceived(name, name, effect.message)
                pending += [(effect.address, answer) for answer in nodes[effect.address].take(received, now)]
    return emitted


def test_unreachable_member_is_suspected_then_removed_and_rejoins_with_higher_incarnation():
    """A member cut off from the network becomes suspect and then gone; once reachable again, it is alive with
    incarnation 2.
    """
    nodes = _three_nodes()
    _run(nodes, timedelta(0), SECOND * 3)
    assert set(nodes["b"].members) == {"a", "c"}
    emitted = _run(nodes, SECOND * 3, SECOND * 9, unreachable=("c",))
    statuses = [
        effect.update.status
        for name, effect in emitted
        if name == "a" and isinstance(effect, MemberChanged) and effect.update.node == "c"
    ]
    assert statuses == [MemberStatus.SUSPECT, MemberStatus.GONE]
    _run(nodes, SECOND * 9, SECOND * 16)
    assert nodes["a"].members["c"].status == MemberStatus.ALIVE
    assert nodes["a"].members["c"].incarnation == 2
