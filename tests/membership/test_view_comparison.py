"""Comparison of member views by digest: nodes send each other only the members in which their views differ."""

from datetime import timedelta
from random import Random

import pytest

from sumachook.host.effects import SendDatagram
from sumachook.host.events import MessageReceived
from sumachook.membership.effects import IncarnationRaised
from sumachook.membership.events import Tick
from sumachook.membership.gossip import TRANSMISSION_FACTOR
from sumachook.membership.member import Member, MemberStatus, MemberUpdate
from sumachook.membership.membership import Membership
from sumachook.membership.messages import Join, MemberList, Ping, ViewDifference
from sumachook.membership.view_digest import BUCKET_COUNT, bucket_of, differing_buckets, digest_of
from sumachook.runtime.cluster_clock import UNIX_EPOCH, ClusterClock
from sumachook.transport.codec import Codec, read_frame

START = timedelta(seconds=10)
TICK = timedelta(seconds=0.05)
SEEDS = ("s1:1", "s2:1", "s3:1")
MEMBERS = 200


def update(name, status=MemberStatus.ALIVE, incarnation=1, role="edge"):
    return MemberUpdate(name, f"{name}:1", role, "hall", incarnation, status, f"{name}:2", 1)


def node(name, *known, seeds=(), role="edge"):
    """Creates the membership of a node that knows these members and has no updates queued."""
    clock = ClusterClock(lambda: UNIX_EPOCH, START)
    membership = Membership(update(name, role=role), seeds, Random(1), START, clock)
    membership.members = {each.node: Member(each, START) for each in known}
    membership.gossip.clear()
    return membership


def receive(membership, sender, message, now=START):
    return membership.take(MessageReceived(sender, f"{sender}:1", message), now)


def answer(membership, asker, digest=None):
    """Returns the message with which a node answers the join of `asker`, or None."""
    join = Join((asker.local_member.to_update(),), asker._digest() if digest is None else digest)
    effects = receive(membership, asker.local_member.node, join)
    return next((each.message for each in effects if isinstance(each, SendDatagram)), None)


def joins(membership, seconds):
    """Returns, for each tick of the given time, the addresses to which the node sends a join."""
    found = []
    for number in range(1, round(seconds / TICK.total_seconds()) + 1):
        effects = membership.take(Tick(0), START + TICK * number)
        sends = [each for each in effects if isinstance(each, SendDatagram)]
        found.append([each.address for each in sends if isinstance(each.message, Join)])
    return found


# answers to joins ------------------------------------------------------------------------------------


def test_join_gets_no_answer_if_views_are_equal():
    """A join is not answered by a node that knows the same members as the sender."""
    others = [update(f"n{number}") for number in range(MEMBERS)]
    one, other = node("a", update("b"), *others), node("b", update("a"), *others)
    assert answer(other, one) is None


def test_answer_to_a_join_lists_only_the_bucket_that_differs():
    """When the sender of a join lacks one of 200 members, the answer lists that member and only members of its bucket."""
    others = [update(f"n{number}") for number in range(MEMBERS)]
    one, other = node("a", update("b"), *others[1:]), node("b", update("a"), *others)
    reported = answer(other, one)
    assert isinstance(reported, ViewDifference) and others[0] in reported.updates
    assert {bucket_of(each.node) for each in reported.updates} == {bucket_of("n0")}
    assert len(reported.updates) < MEMBERS / 10


@pytest.mark.parametrize(
    "changed",
    [
        {"incarnation": 2},
        {"status": MemberStatus.SUSPECT},
        {"status": MemberStatus.GONE},
        {"restart_epoch": 2},
        {"address": "elsewhere:1"},
    ],
)
def test_digest_covers_each_mutable_field_of_a_member(changed):
    """If two nodes differ in one field of a member, their digests differ in that member's bucket alone."""
    same = [Member(update(f"n{number}"), START) for number in range(20)]
    known, other = update("x"), update("x")._replace(**changed)
    differing = differing_buckets(digest_of([*same, Member(known, START)]), digest_of([Member(other, START), *same]))
    assert differing == {bucket_of("x")}


def test_equal_changes_in_one_bucket_do_not_cancel_out():
    """The same change of two members in one bucket still changes the digest of that bucket."""
    names = [name for name in (f"n{number}" for number in range(300)) if bucket_of(name) == 0][:2]
    before = [Member(update(name), START) for name in names]
    after = [Member(update(name, MemberStatus.SUSPECT), START) for name in names]
    assert differing_buckets(digest_of(before), digest_of(after)) == {0}


def test_removed_members_are_not_part_of_the_digest():
    """A node that started after a member was removed agrees with a node that still lists that member as removed."""
    one = node("a", update("b"))
    other = node("b", update("a"), update("x", MemberStatus.GONE), update("y", MemberStatus.LEFT))
    assert answer(other, one) is None


def test_nodes_that_removed_each_other_both_refute_it():
    """After a partition heals, the answer to a join tells the sender that it is listed as gone, in either direction;
    both nodes refute it with a higher incarnation and are alive again.
    """
    one, other = node("a", update("b", MemberStatus.GONE)), node("b", update("a", MemberStatus.GONE))
    for asker, asked in ((one, other), (other, one)):
        effects = receive(asker, asked.local_member.node, answer(asked, asker))
        assert any(isinstance(each, IncarnationRaised) for each in effects)
    receive(one, "b", answer(other, one))
    assert one.members["b"].status == MemberStatus.ALIVE


def test_join_without_digest_is_answered_with_a_member_list():
    """A node of an earlier version sends no digest and reads only the complete member list."""
    one, other = node("a", update("b")), node("b", update("a"), update("c"))
    reported = answer(other, one, digest=b"")
    assert isinstance(reported, MemberList) and {each.node for each in reported.updates} == {"a", "b", "c"}
    raw = Codec("kosice", "a", "a:1", 1).pack(Join((update("a"),)))
    assert read_frame("kosice", raw).message == Join((update("a"),), b"")


def test_join_with_digest_of_other_length_is_answered_with_all_members():
    """A digest of a version with another number of buckets cannot be compared, so all members are sent."""
    one, other = node("a", update("b")), node("b", update("a"), update("c"))
    assert {each.node for each in answer(other, one, digest=b"\1" * 5).updates} == {"a", "b", "c"}


def test_leaving_node_gets_no_answer():
    """A join message that announces a departure gets no answer, also when it is repeated with a higher incarnation."""
    other = node("b", update("a"), *(update(f"n{number}") for number in range(MEMBERS)))
    assert receive(other, "a", Join((update("a", MemberStatus.LEFT, incarnation=2),))) != []
    sends = [
        each
        for each in receive(other, "a", Join((update("a", MemberStatus.LEFT, incarnation=3),)))
        if isinstance(each, SendDatagram)
    ]
    assert sends == [] and other.members["a"].status == MemberStatus.LEFT


def test_view_difference_of_many_members_is_compressed():
    """A view difference of 200 members takes less than a fifth of the bytes of a plain member list."""
    updates = tuple(update(f"edge-hall-{number % 6}-{number}") for number in range(MEMBERS))
    codec = Codec("kosice", "a", "a:1", 1)
    raw = codec.pack(ViewDifference(updates))
    assert read_frame("kosice", raw).message == ViewDifference(updates)
    assert len(raw) * 5 < len(codec.pack(MemberList(updates)))


def test_view_difference_with_unknown_status_is_decoded():
    """A status that only a later version knows stays in the update as text instead of making the message unreadable."""
    raw = Codec("kosice", "b", "b:1", 1).pack(ViewDifference((update("x")._replace(status="moved"),)))
    assert read_frame("kosice", raw).message.updates[0].status == "moved"


# gossip of received updates -----------------------------------------------------------------------------------


def test_new_members_from_a_list_are_not_gossiped_but_changes_are():
    """A node that learns of new members and of one change from a view difference gossips only the change."""
    one = node("a", update("b"), update("c"))
    receive(one, "b", ViewDifference((update("d"), update("e"), update("c", MemberStatus.GONE))))
    assert set(one.gossip._transmissions) == {"c"} and {"d", "e"} <= set(one.members)


def test_refutation_of_a_list_entry_is_gossiped():
    """A node that learns from a view difference that it is listed as gone gossips its higher incarnation."""
    one = node("a", update("b"))
    receive(one, "b", ViewDifference((update("a", MemberStatus.GONE),)))
    assert [(each.node, each.incarnation, each.status) for each in one._updates()] == [("a", 2, MemberStatus.ALIVE)]


def test_outdated_updates_do_not_count_as_transmissions():
    """Outdated updates that still call a removed member alive do not reduce how often its removal is sent."""
    one = node("a", *(update(f"n{number}") for number in range(30)))
    receive(one, "n1", Ping(1, (update("n5", MemberStatus.GONE),), 0, 0))
    for _ in range(20):
        receive(one, "n2", ViewDifference((update("n5"),)))
    assert [(each.node, each.status) for each in one._updates()] == [("n5", MemberStatus.GONE)]


def test_repeated_updates_count_as_transmissions():
    """Each copy of an update received from another node reduces by one how often this node sends it."""
    unanswered, reported = (node("a", *(update(f"n{number}") for number in range(30))) for _ in range(2))
    for each in (unanswered, reported):
        receive(each, "n1", Ping(1, (update("n5", incarnation=2),), 0, 0))
    for _ in range(6):
        receive(reported, "n2", Ping(2, (update("n5", incarnation=2),), 0, 0))

    def transmissions(membership):
        return sum(bool(membership._updates()) for _ in range(TRANSMISSION_FACTOR * 10))

    assert transmissions(unanswered) - transmissions(reported) >= 5


# when joins are sent --------------------------------------------------------------------------------


def test_starting_edge_asks_one_seed_at_a_time_until_it_knows_all():
    """A starting edge without answers asks one random seed at a time, and none once it knows all seeds."""
    unanswered = [addresses for addresses in joins(node("a", seeds=SEEDS), 1.9) if addresses]
    assert 4 <= len(unanswered) <= 9 and all(len(addresses) == 1 for addresses in unanswered)
    assert {addresses[0] for addresses in unanswered} <= set(SEEDS) and len({tuple(each) for each in unanswered}) > 1
    known = node("a", *(update(seed.removesuffix(":1")) for seed in SEEDS), seeds=SEEDS)
    assert not [address for addresses in joins(known, 1.9)[1:] for address in addresses]


def test_starting_core_asks_all_seeds_at_once():
    """The first tick of a core without answers sends a join to every seed."""
    assert set(joins(node("a", seeds=SEEDS, role="core"), 0.05)[0]) == set(SEEDS)


def test_edge_asks_all_seeds_again_if_none_answers():
    """An edge that gets no answer for longer than a seed interval sends joins to all seeds and one live member."""
    one = node("a", update("b"), seeds=SEEDS)
    later = [addresses for addresses in joins(one, 6.0)[41:] if addresses]
    assert later and all(set(addresses) == {*SEEDS, "b:1"} for addresses in later)


def test_pings_from_unknown_nodes_trigger_one_join():
    """Pings of 20 unknown nodes at once, as after a restart in a large cluster, make the node send a join to one of
    them.
    """
    one = node("a", update("b"))
    effects = [effect for number in range(20) for effect in receive(one, f"n{number}", Ping(number, (), 0, 0))]
    assert sum(isinstance(each, SendDatagram) and isinstance(each.message, Join) for each in effects) == 1


def test_views_are_compared_less_often_while_updates_are_queued():
    """A node with updates queued all the time compares its view at most a third as often as one without."""

    def comparisons(has_news):
        one, count = node("a", update("b")), 0
        for number in range(1, 401):
            if has_news:
                one.gossip.add("b")
            effects = one.take(Tick(0), START + TICK * number)
            one.pings.pending.clear()
            count += sum(isinstance(each, SendDatagram) and isinstance(each.message, Join) for each in effects)
        return count

    quiet, busy = comparisons(has_news=False), comparisons(has_news=True)
    assert 8 <= quiet <= 13 and 1 <= busy <= quiet / 3
    assert BUCKET_COUNT * 4 == len(node("a")._digest())
