"""How nodes compare what they know of the members, and how little they say where they agree."""

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
    """A node that knows these members and has no news to tell."""
    clock = ClusterClock(lambda: UNIX_EPOCH, START)
    membership = Membership(update(name, role=role), seeds, Random(1), START, clock)
    membership.members = {each.node: Member(each, START) for each in known}
    membership.gossip.clear()
    return membership


def hear(membership, sender, message, now=START):
    return membership.take(MessageReceived(sender, f"{sender}:1", message), now)


def answer(membership, asker, digest=None):
    """What a node answers to another one's Join, or None."""
    join = Join((asker.local_member.to_update(),), asker._digest() if digest is None else digest)
    effects = hear(membership, asker.local_member.node, join)
    return next((each.message for each in effects if isinstance(each, SendDatagram)), None)


def joins(membership, seconds):
    """The addresses that a node sends a Join to within so many seconds, tick by tick."""
    found = []
    for number in range(1, round(seconds / TICK.total_seconds()) + 1):
        effects = membership.take(Tick(0), START + TICK * number)
        sends = [each for each in effects if isinstance(each, SendDatagram)]
        found.append([each.address for each in sends if isinstance(each.message, Join)])
    return found


# what is answered ------------------------------------------------------------------------------------


def test_nodes_that_know_the_same_have_nothing_to_tell_each_other():
    """Given two nodes that know the same members, a Join of one is not answered."""
    others = [update(f"n{number}") for number in range(MEMBERS)]
    one, other = node("a", update("b"), *others), node("b", update("a"), *others)
    assert answer(other, one) is None


def test_a_node_that_lacks_one_member_is_told_of_few():
    """Given 200 members of whom a node lacks one, the answer to its Join holds that one, and only members of its bucket."""
    others = [update(f"n{number}") for number in range(MEMBERS)]
    one, other = node("a", update("b"), *others[1:]), node("b", update("a"), *others)
    told = answer(other, one)
    assert isinstance(told, ViewDifference) and others[0] in told.updates
    assert {bucket_of(each.node) for each in told.updates} == {bucket_of("n0")}
    assert len(told.updates) < MEMBERS / 10


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
def test_whatever_may_change_of_a_member_shows_in_the_digest(changed):
    """Given a member of which two nodes know different things, their digests differ in its bucket alone."""
    same = [Member(update(f"n{number}"), START) for number in range(20)]
    known, other = update("x"), update("x")._replace(**changed)
    differing = differing_buckets(digest_of([*same, Member(known, START)]), digest_of([Member(other, START), *same]))
    assert differing == {bucket_of("x")}


def test_two_changes_alike_do_not_hide_each_other():
    """Given two members of one bucket that changed in the same way, the digest shows it."""
    names = [name for name in (f"n{number}" for number in range(300)) if bucket_of(name) == 0][:2]
    before = [Member(update(name), START) for name in names]
    after = [Member(update(name, MemberStatus.SUSPECT), START) for name in names]
    assert differing_buckets(digest_of(before), digest_of(after)) == {0}


def test_members_that_are_gone_are_no_difference_to_one_that_never_knew_them():
    """Given a member gone before a node began, the node and one that remembers it agree."""
    one = node("a", update("b"))
    other = node("b", update("a"), update("x", MemberStatus.GONE), update("y", MemberStatus.LEFT))
    assert answer(other, one) is None


def test_two_nodes_that_hold_each_other_for_gone_both_object():
    """Given two halves that met again, a Join makes the asked node tell the asker that it is held for gone, and the other way round;
    both come back with a higher incarnation."""
    one, other = node("a", update("b", MemberStatus.GONE)), node("b", update("a", MemberStatus.GONE))
    for asker, asked in ((one, other), (other, one)):
        effects = hear(asker, asked.local_member.node, answer(asked, asker))
        assert any(isinstance(each, IncarnationRaised) for each in effects)
    hear(one, "b", answer(other, one))
    assert one.members["b"].status == MemberStatus.ALIVE


def test_an_earlier_version_that_gives_no_digest_gets_all_members_in_the_form_that_it_reads():
    """Given a Join without a digest, the answer is the whole list."""
    one, other = node("a", update("b")), node("b", update("a"), update("c"))
    told = answer(other, one, digest=b"")
    assert isinstance(told, MemberList) and {each.node for each in told.updates} == {"a", "b", "c"}
    raw = Codec("kosice", "a", "a:1", 1).pack(Join((update("a"),)))
    assert read_frame("kosice", raw).message == Join((update("a"),), b"")


def test_a_digest_of_another_form_is_answered_with_everything():
    """Given a digest of a version with other buckets, all members are told."""
    one, other = node("a", update("b")), node("b", update("a"), update("c"))
    assert {each.node for each in answer(other, one, digest=b"\1" * 5).updates} == {"a", "b", "c"}


def test_a_node_that_leaves_is_told_nothing():
    """Given one that says that it leaves, nobody answers."""
    other = node("b", update("a"), *(update(f"n{number}") for number in range(MEMBERS)))
    assert hear(other, "a", Join((update("a", MemberStatus.LEFT, incarnation=2),))) != []
    sends = [
        each
        for each in hear(other, "a", Join((update("a", MemberStatus.LEFT, incarnation=3),)))
        if isinstance(each, SendDatagram)
    ]
    assert sends == [] and other.members["a"].status == MemberStatus.LEFT


def test_a_difference_of_many_members_is_short_on_the_wire():
    """Given all of 200 members, what differs takes less than a fifth of a plain list's bytes."""
    updates = tuple(update(f"edge-hall-{number % 6}-{number}") for number in range(MEMBERS))
    codec = Codec("kosice", "a", "a:1", 1)
    raw = codec.pack(ViewDifference(updates))
    assert read_frame("kosice", raw).message == ViewDifference(updates)
    assert len(raw) * 5 < len(codec.pack(MemberList(updates)))


def test_a_status_of_a_later_version_in_a_difference_is_still_read():
    """Given a status that this version does not know, the update is read with it as text."""
    raw = Codec("kosice", "b", "b:1", 1).pack(ViewDifference((update("x")._replace(status="moved"),)))
    assert read_frame("kosice", raw).message.updates[0].status == "moved"


# what is told on -----------------------------------------------------------------------------------


def test_members_learned_from_a_list_are_not_told_on_but_changes_are():
    """Given a node that learns of strangers and of a change from a list, it tells on the change alone."""
    one = node("a", update("b"), update("c"))
    hear(one, "b", ViewDifference((update("d"), update("e"), update("c", MemberStatus.GONE))))
    assert set(one.gossip._transmissions) == {"c"} and {"d", "e"} <= set(one.members)


def test_an_objection_to_what_a_list_says_of_this_node_is_told_on():
    """Given a node that learns from a difference that it is held for gone, it tells its higher incarnation to the next it pings."""
    one = node("a", update("b"))
    hear(one, "b", ViewDifference((update("a", MemberStatus.GONE),)))
    assert [(each.node, each.incarnation, each.status) for each in one._updates()] == [("a", 2, MemberStatus.ALIVE)]


def test_others_that_do_not_know_the_news_yet_make_no_telling_less():
    """Given a node that knows of a member's end, however often others tell of it as live, it goes on telling the end."""
    one = node("a", *(update(f"n{number}") for number in range(30)))
    hear(one, "n1", Ping(1, (update("n5", MemberStatus.GONE),), 0, 0))
    for _ in range(20):
        hear(one, "n2", ViewDifference((update("n5"),)))
    assert [(each.node, each.status) for each in one._updates()] == [("n5", MemberStatus.GONE)]


def test_news_that_others_tell_again_is_told_less_often():
    """Given a node with one piece of news, each time that another node tells it the same there is one telling less to do."""
    silent, told = (node("a", *(update(f"n{number}") for number in range(30))) for _ in range(2))
    for each in (silent, told):
        hear(each, "n1", Ping(1, (update("n5", incarnation=2),), 0, 0))
    for _ in range(6):
        hear(told, "n2", Ping(2, (update("n5", incarnation=2),), 0, 0))

    def tellings(membership):
        return sum(bool(membership._updates()) for _ in range(TRANSMISSION_FACTOR * 10))

    assert tellings(silent) - tellings(told) >= 5


# when others are asked --------------------------------------------------------------------------------


def test_an_edge_that_begins_asks_one_seed_after_the_other_until_it_knows_them():
    """Given an edge without answers, it asks one seed at a time; once it knows all seeds it asks none again."""
    silent = [addresses for addresses in joins(node("a", seeds=SEEDS), 1.9) if addresses]
    assert 4 <= len(silent) <= 9 and all(len(addresses) == 1 for addresses in silent)
    assert {addresses[0] for addresses in silent} <= set(SEEDS) and len({tuple(each) for each in silent}) > 1
    known = node("a", *(update(seed.removesuffix(":1")) for seed in SEEDS), seeds=SEEDS)
    assert not [address for addresses in joins(known, 1.9)[1:] for address in addresses]


def test_a_core_that_begins_asks_all_seeds_at_once():
    """Given a core without answers, its first tick asks every seed."""
    assert set(joins(node("a", seeds=SEEDS, role="core"), 0.05)[0]) == set(SEEDS)


def test_an_edge_whose_seeds_stay_silent_asks_them_all_again():
    """Given seeds that are not heard for longer than an interval, all are asked, and a live member besides."""
    one = node("a", update("b"), seeds=SEEDS)
    later = [addresses for addresses in joins(one, 6.0)[41:] if addresses]
    assert later and all(set(addresses) == {*SEEDS, "b:1"} for addresses in later)


def test_pings_of_strangers_are_answered_with_few_joins():
    """Given pings of 20 strangers within a moment, as after a restart among many, one of them is sent a Join."""
    one = node("a", update("b"))
    effects = [effect for number in range(20) for effect in hear(one, f"n{number}", Ping(number, (), 0, 0))]
    assert sum(isinstance(each, SendDatagram) and isinstance(each.message, Join) for each in effects) == 1


def test_views_are_compared_seldom_while_there_is_news_and_often_when_there_is_none():
    """Given a node with news to tell for all the while, it compares its view with a member a quarter as often as one without."""

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
