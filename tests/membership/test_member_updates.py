"""How a node applies updates about itself and about other members."""

from datetime import timedelta
from random import Random

import pytest

from sumachook.host.effects import SendDatagram
from sumachook.host.events import MessageReceived
from sumachook.membership.effects import IncarnationRaised, MemberChanged
from sumachook.membership.member import MemberStatus, MemberUpdate
from sumachook.membership.membership import Membership
from sumachook.membership.messages import Join, MemberList
from sumachook.runtime.cluster_clock import UNIX_EPOCH, ClusterClock
from sumachook.transport.codec import Codec, read_frame

START = timedelta(seconds=10)
LOCAL = MemberUpdate("a", "a:1", "edge", "hall", 5, MemberStatus.ALIVE, "a:2", 5)
OTHER = MemberUpdate("b", "b:1", "edge", "hall", 2, MemberStatus.ALIVE, "b:2", 1)


def _membership():
    return Membership(LOCAL, (), Random(1), START, ClusterClock(lambda: UNIX_EPOCH, START))


def _apply(membership, *updates):
    return membership.take(MessageReceived("c", "c:1", MemberList(updates)), START)


@pytest.mark.parametrize(
    ("changes", "is_applied"),
    [
        ({}, False),
        ({"incarnation": 1, "status": MemberStatus.GONE}, False),
        ({"status": MemberStatus.SUSPECT}, True),
        ({"status": MemberStatus.LEFT}, True),
        ({"incarnation": 3}, True),
    ],
)
def test_update_overrides_by_incarnation_then_by_status(changes, is_applied):
    """An update of a known member applies if its incarnation is higher, or equal with a status of higher precedence."""
    membership, update = _membership(), OTHER._replace(**changes)
    _apply(membership, OTHER)
    assert _apply(membership, update) == ([MemberChanged(update)] if is_applied else [])


@pytest.mark.parametrize("status", [MemberStatus.GONE, MemberStatus.LEFT])
def test_update_about_unknown_removed_member_is_ignored(status):
    """An update that an unknown member is gone or has left adds no member and emits no effect."""
    membership = _membership()
    assert _apply(membership, OTHER._replace(status=status)) == [] and membership.members == {}


def test_suspicion_and_update_of_earlier_run_are_refuted_by_higher_incarnation():
    """A node raises its incarnation above an update that suspects it or describes an earlier run of it."""
    membership = _membership()
    assert _apply(membership, LOCAL._replace(status=MemberStatus.SUSPECT)) == [IncarnationRaised(6)]
    assert _apply(membership, LOCAL._replace(incarnation=9, restart_epoch=4)) == [IncarnationRaised(10)]
    assert _apply(membership, LOCAL._replace(incarnation=10)) == []


def test_join_without_digest_is_answered_with_all_members():
    """A joining node that sends no digest gets all members, including the answering node itself."""
    membership = _membership()
    joined, answer = membership.take(MessageReceived("b", "b:1", Join((OTHER,))), START)
    assert joined == MemberChanged(OTHER)
    assert answer == SendDatagram("b:1", MemberList((OTHER, LOCAL)))


def test_member_with_unknown_status_is_not_counted_as_live():
    """A status that only a later version knows is decoded as text, and its member is listed but not counted as live."""
    raw = Codec("kosice", "b", "b:1", 1).pack(MemberList((OTHER._replace(status="moved"),)))
    message = read_frame("kosice", raw).message
    membership = _membership()
    assert _apply(membership, *message.updates) == [MemberChanged(OTHER._replace(status="moved"))]
    assert set(membership.members) == {"b"} and membership.live == []
