"""Tests of single replicas: views, leases, votes, the commit rule and elections."""

from random import Random

from sumachook.consensus import NO_VIEW, Options, Replica, Role, ViewId, events, messages
from sumachook.consensus.lease import Freshness, LeaderLease, LeaseGuard
from sumachook.consensus.timing import (
    FRESH_FOR,
    INSTALL_TIMEOUT,
    LEASE,
    LEASE_GUARD,
    MAX_TICK_GAP,
    PROMISE_WAIT,
    SILENCE_TIMEOUT,
)
from sumachook.consensus.voting_members import VotingMembers
from sumachook.host.effects import Send
from sumachook.host.events import MessageReceived
from sumachook.transport.codec import pack_entry
from tests.consensus.replica_fixtures import (
    ADDRESSES,
    FOUND,
    FOUNDED,
    NOW,
    OLD,
    RECORDS,
    SECOND,
    VIEW,
    append_message,
    appended_records,
    heartbeat_message,
    make_leader,
    make_member,
    make_replica,
    prepare_message,
    receive,
    receive_promise,
    sent_messages,
    tick,
)

# promises and views


def test_after_promising_a_higher_view_a_replica_rejects_entries_and_installs_of_lower_views():
    replica = make_member()
    assert len(appended_records(receive(replica, "a", append_message(replica)))) == 1
    stopped, later = make_member(), NOW + LEASE_GUARD * 1.1
    tick(stopped, later)
    (store,) = receive(stopped, "b", prepare_message(ViewId(5, "b")), later)
    assert store.records == (("promise", (5, "b")),)
    (promise,) = sent_messages(stopped.take(store.done, later), messages.Promise)
    assert promise.end == 2 and promise.view == ViewId(5, "b")
    assert receive(stopped, "a", append_message(stopped), later) == [] and stopped.log.end == 2
    for view in (VIEW, OLD):
        install = messages.Install(view, ("a", "c"), 3, 3, stopped.log.digest_at(2), (b'["founded"]',))
        assert receive(stopped, "a", install, later) == []
    assert receive(stopped, "a", prepare_message(OLD), later) == []


def test_the_voter_with_the_highest_view_wins_over_the_longest_log():
    """A candidate with a longer log asks a voter with a higher view to take over, lest acknowledged entries be lost."""
    replica, later = make_member(), NOW + SECOND
    tick(replica, later)
    replica.log.extend([b'["x"]', b'["y"]'])
    replica.candidate.start(later, set())
    replica.take(events.CandidacySynced(replica.state.candidacy), later)
    newer = messages.Promise(replica.state.candidacy, ViewId(4, "b"), 0, 3, b"12345678", 1)
    receive(replica, "b", newer, later)
    out = tick(replica, later + PROMISE_WAIT)
    (effect,) = [effect for effect in out if isinstance(effect, Send)]
    assert isinstance(effect.message, messages.TakeOver) and effect.address == "b:1"
    assert replica.role is Role.IDLE and replica.view == VIEW


def test_a_member_that_hears_its_leader_again_after_a_pre_vote_rejoins_the_view():
    """A view of two whose member does not rejoin has heartbeats forever, but no entry is acknowledged in it."""
    replica = make_member()
    replica.state.leader_heard_at = replica.state.next_election_at = NOW - SILENCE_TIMEOUT * 2
    assert sent_messages(tick(replica, NOW), messages.PreVote) and replica.role is Role.PRE_VOTING
    receive(replica, "a", heartbeat_message(2), NOW + INSTALL_TIMEOUT / 2)
    tick(replica, NOW + INSTALL_TIMEOUT * 1.1)
    assert len(appended_records(receive(replica, "a", append_message(replica), NOW + INSTALL_TIMEOUT * 1.2))) == 1


def test_a_leader_whose_only_member_acknowledges_no_entries_steps_down():
    leader = make_leader()
    (store,) = appended_records(leader.take(events.ProposalMade(("founded",)), NOW))
    leader.take(store.done, NOW)
    for step in range(70):
        now = NOW + step * SECOND / 20
        receive(leader, "b", messages.HeartbeatAck(leader.view, step + 1, leader.view, 2, False, step), now)
        tick(leader, now)
    assert leader.role is Role.IDLE


# leases


def _ack(leader, sender, number, now, promised=None):
    ack = messages.HeartbeatAck(leader.view, number, promised or leader.view, 2, False, number)
    return receive(leader, sender, ack, now)


def _next_round(leader, now):
    """Ticks until the leader sends another heartbeat round; returns its number and the time."""
    while True:
        now += SECOND / 20
        if rounds := sent_messages(tick(leader, now), messages.Heartbeat):
            return rounds[0].round, now


def test_a_lease_counts_from_when_its_round_was_sent_however_late_the_acknowledgement():
    leader = make_leader()
    number, sent_at = _next_round(leader, NOW)
    late = sent_at + LEASE - SECOND / 100
    tick(leader, sent_at + LEASE / 2)
    _ack(leader, "b", number, late)
    assert leader.is_fresh(late) and not leader.is_fresh(sent_at + LEASE)


def test_an_acknowledgement_with_a_higher_promise_does_not_renew_the_lease():
    leader = make_leader()
    number, sent_at = _next_round(leader, NOW)
    _ack(leader, "a", number, sent_at, promised=ViewId(9, "a"))
    assert not leader.is_fresh(sent_at)
    _ack(leader, "b", number, sent_at)
    assert leader.is_fresh(sent_at)


def test_a_leader_drops_its_lease_after_a_pause_before_it_handles_buffered_messages():
    leader = make_leader()
    number, sent_at = _next_round(leader, NOW)
    tick(leader, sent_at)
    resumed_at = sent_at + MAX_TICK_GAP * 1.1
    _ack(leader, "b", number, resumed_at)
    assert not leader.is_fresh(resumed_at)
    tick(leader, resumed_at)
    assert not leader.is_fresh(resumed_at)
    number, sent_at = _next_round(leader, resumed_at)
    _ack(leader, "b", number, sent_at)
    assert leader.is_fresh(sent_at)


def test_a_replica_that_acknowledged_a_round_promises_nothing_to_others_until_the_lease_expires():
    """The replica may promise to the lease's own leader, and to a candidate that names the lease as released."""
    for sender, released, is_promised in (
        ("b", NO_VIEW, False),
        ("b", VIEW, True),
        ("b", OLD, False),
        ("a", NO_VIEW, True),
    ):
        replica = make_member()
        out = receive(replica, sender, prepare_message(ViewId(5, sender), released), NOW + LEASE)
        assert bool(appended_records(out)) == is_promised, (sender, released)
    replica = make_member()
    tick(replica, NOW + LEASE_GUARD)
    assert appended_records(receive(replica, "b", prepare_message(ViewId(5, "b")), NOW + LEASE_GUARD))


def test_a_restarted_replica_promises_nothing_until_the_lease_guard_expires():
    replica = make_replica(now=NOW)
    assert receive(replica, "b", prepare_message(ViewId(5, "b")), NOW + LEASE_GUARD / 2) == []
    assert receive(replica, "b", prepare_message(ViewId(5, "b"), VIEW), NOW + LEASE_GUARD / 2) == []
    assert appended_records(receive(replica, "b", prepare_message(ViewId(5, "b")), NOW + LEASE_GUARD))
    blank = make_replica((), "c", NOW)
    assert appended_records(receive(blank, "b", prepare_message(ViewId(1, "b")), NOW))


def test_a_restarted_replica_promises_to_a_leader_that_has_since_shown_a_lease():
    replica = make_replica(now=NOW)
    own_round = sent_messages(receive(replica, "a", heartbeat_message(1), NOW), messages.HeartbeatAck)[0].own_round
    assert receive(replica, "a", prepare_message(ViewId(5, "a")), NOW) == []
    receive(replica, "a", heartbeat_message(2, echo=own_round, has_lease=False), NOW)
    assert receive(replica, "a", prepare_message(ViewId(5, "a")), NOW) == []
    receive(replica, "a", heartbeat_message(3, echo=own_round), NOW)
    assert appended_records(receive(replica, "a", prepare_message(ViewId(5, "a")), NOW))


def test_a_member_is_fresh_as_of_when_it_sent_the_echoed_round():
    replica = make_member()
    own_round = sent_messages(receive(replica, "a", heartbeat_message(2), NOW), messages.HeartbeatAck)[0].own_round
    assert not replica.is_fresh(NOW)
    late = NOW + FRESH_FOR * 0.9
    tick(replica, NOW + FRESH_FOR / 2)
    receive(replica, "a", heartbeat_message(3, echo=own_round, has_lease=False), late)
    assert not replica.is_fresh(late)
    receive(replica, "a", heartbeat_message(4, echo=own_round, committed=9), late)
    assert not replica.is_fresh(late)  # the member has not delivered all committed entries
    receive(replica, "a", heartbeat_message(5, echo=own_round), late)
    tick(replica, late)
    assert replica.is_fresh(late) and not replica.is_fresh(NOW + FRESH_FOR)


def test_lease_guard_leader_lease_and_freshness_in_isolation():
    lease, voting_members = LeaderLease(), VotingMembers(ADDRESSES)
    number = lease.begin_round(NOW)
    lease.record_ack("b", number + 1)
    assert not lease.is_held("a", voting_members, NOW)
    lease.record_ack("b", number)
    assert lease.is_held("a", voting_members, NOW + LEASE * 0.99) and not lease.is_held(
        "a", voting_members, NOW + LEASE
    )
    guard = LeaseGuard()
    guard.acknowledge(VIEW, NOW)
    guard.release(OLD)
    assert not guard.permits("b", NO_VIEW, NOW)
    guard.release(VIEW)
    assert guard.permits("b", NO_VIEW, NOW)
    freshness = Freshness()
    own_round = freshness.begin_round(NOW)
    freshness.invalidate()
    freshness.confirm(own_round)
    assert not freshness.is_fresh(NOW)


# messages for a previous process or replica at the same address


def test_echoes_and_read_answers_for_a_previous_process_are_ignored():
    """After a restart, a delayed heartbeat that echoes a round of the previous process must not make the state fresh,
    and a delayed answer to a read of that process must not answer another read."""
    before, now = make_member(), NOW + SECOND
    old_round = sent_messages(receive(before, "a", heartbeat_message(2), NOW), messages.HeartbeatAck)[0].own_round
    (old_read,) = sent_messages(before.take(events.ReadRequested("old"), NOW), messages.ReadIndex)
    replica = Replica("c", "c:1", (), Random(2), dict, RECORDS, Options(), NOW)
    for step in range(3):
        receive(replica, "a", heartbeat_message(3 + step, has_lease=False), NOW)
    receive(replica, "a", heartbeat_message(9, echo=old_round), NOW)
    assert not replica.is_fresh(NOW)
    tick(replica, now)
    receive(replica, "a", heartbeat_message(10), now)
    replica.take(events.ReadRequested("new"), now)
    assert receive(replica, "a", messages.ReadIndexAnswer(old_read.token, 2, True), now) == []


def test_a_replica_that_replaces_a_voter_at_its_own_address_sends_itself_no_messages():
    """Messages to the replaced voter's address would return to their sender and abort its election."""
    replace = pack_entry(("seat-replace", "c", "d", "c:1")).decode()
    records = (("seat", "d"), ("view", (4, "a"), ("a", "b", "d"), 1, (FOUND, FOUNDED, replace)))
    replica = Replica("d", "c:1", (), Random(3), dict, records, Options(), NOW)
    out = tick(replica, NOW + SECOND)
    assert {effect.address for effect in out if isinstance(effect, Send)} == {"a:1", "b:1"}
    replica.candidate.start(NOW + SECOND, set())
    sent = replica.take(events.CandidacySynced(replica.state.candidacy), NOW + SECOND)
    assert {effect.address for effect in sent} == {"a:1", "b:1"}
    own = messages.Prepare(replica.state.candidacy, ("a", "b", "c", "d"), NO_VIEW)
    assert replica.take(MessageReceived("d", "c:1", own), NOW + SECOND) == [] and replica.role is Role.PREPARING


# votes, the commit rule and the voting members


def test_a_candidate_with_a_worse_log_gets_no_pre_vote():
    later = NOW + LEASE_GUARD * 2
    for installed, end, is_granted in ((VIEW, 2, True), (VIEW, 1, False), (OLD, 9, False), (ViewId(5, "b"), 1, True)):
        replica = make_member()
        tick(replica, later)
        out = receive(replica, "b", messages.PreVote(ViewId(9, "b"), installed, end, 7), later)
        assert bool(sent_messages(out, messages.PreVoteGranted)) == is_granted, (installed, end)


def _propose(leader, change, now=NOW):
    (store,) = appended_records(leader.take(events.ProposalMade(change), now))
    leader.take(store.done, now)


def _appended(leader, sender, address, end, now=NOW):
    message = messages.Appended(leader.view, end)
    return leader.take(MessageReceived(sender, address, message), now)


def test_a_change_is_committed_once_every_member_has_synced_it_not_by_a_majority():
    replica = make_member(NOW - SECOND)
    tick(replica, NOW)
    replica.candidate.start(NOW, set())
    receive_promise(replica, "a", NOW)
    (store,) = appended_records(receive_promise(replica, "b", NOW))
    replica.take(store.done, NOW)
    for member in "ab":
        receive(replica, member, messages.Installed(replica.view, 2))
    assert replica.role is Role.LEADING and replica.members == ("a", "b", "c")
    _propose(replica, ("founded",))
    _appended(replica, "a", "a:1", 3)
    assert replica.state.committed == 2
    _appended(replica, "b", "b:1", 3)
    assert replica.state.committed == 3


def test_a_change_of_the_voting_members_is_committed_by_a_quorum_of_the_new_ones():
    """With a view of two of three voters, the change that adds a fourth needs three of the four, not the members alone."""
    leader = make_leader()
    _propose(leader, ("seat-in", "d", "d:1"))
    _appended(leader, "b", "b:1", 3)
    assert leader.state.committed == 2
    _appended(leader, "d", "d:1", 3)
    assert leader.state.committed == 3


def test_a_replaced_voter_stays_until_its_successor_is_in_the_view():
    leader = make_leader()
    _propose(leader, ("seat-replace", "a", "d", "d:1"))
    _appended(leader, "b", "b:1", 3)
    assert leader.state.committed == 3 and set(leader.voting_members) == {"a", "b", "c", "d"}
    for step in range(1, 6):
        leader.state.heard_at |= dict.fromkeys("bd", NOW + SECOND * step / 20)
        tick(leader, NOW + SECOND * step / 20)
    assert set(leader.voting_members) == {"a", "b", "c", "d"} and leader.log.end == 3


def test_a_leader_without_a_lease_gives_invalid_read_index_answers():
    leader = make_leader()
    (answer,) = sent_messages(receive(leader, "b", messages.ReadIndex(7)), messages.ReadIndexAnswer)
    assert not answer.is_valid
    number, sent_at = _next_round(leader, NOW)
    _ack(leader, "b", number, sent_at)
    (answer,) = sent_messages(receive(leader, "b", messages.ReadIndex(8), sent_at), messages.ReadIndexAnswer)
    assert answer.is_valid and answer.committed == 2


# elections right after a restart


def _start_pre_vote(now=NOW):
    """Returns replica "c" in a pre-vote right after its start, its `PreVote` message and the time."""
    replica, soon = make_replica(now=now), now + SECOND * 0.35
    (pre_vote, _) = sent_messages(tick(replica, soon), messages.PreVote)
    return replica, pre_vote, soon


def _grant(pre_vote, start=0, **changes):
    values = {"view": pre_vote.view, "token": pre_vote.token, "start": start} | changes
    return messages.PreVoteGranted(**values)


def test_an_election_need_not_wait_for_leases_once_all_restarted_voters_have_granted_the_pre_vote():
    """The candidate sends `Prepare` only after grants of all three voters, with the run number from each grant: the
    voters are bound only by possible leases from before their restart."""
    replica, pre_vote, soon = _start_pre_vote()
    assert receive(replica, "a", _grant(pre_vote, 71), soon) == [] and replica.role is Role.PRE_VOTING
    assert receive(replica, "b", _grant(pre_vote, 72, token=pre_vote.token + 1), soon) == []
    (store,) = receive(replica, "b", _grant(pre_vote, 72), soon)
    sent = {effect.address: effect.message.start for effect in replica.take(store.done, soon)}
    assert sent == {"a:1": 71, "b:1": 72}


def test_a_candidate_without_grants_of_all_voters_sends_no_run_numbers():
    """A majority that no lease binds is enough for the election, but must not unbind the other voters."""
    replica, _, _ = _start_pre_vote()
    late = NOW + LEASE_GUARD * 1.2
    (pre_vote, _) = sent_messages(tick(replica, late), messages.PreVote)
    (store,) = receive(replica, "a", _grant(pre_vote), late)
    assert {effect.message.start for effect in replica.take(store.done, late)} == {0}


def test_a_restarted_voter_grants_with_its_run_number_and_promises_only_for_that_number():
    """A voter that may have acknowledged a round before its restart grants the pre-vote with its run number, and
    promises nothing to a candidate that sends no run number or another one."""
    replica = make_replica()
    pre_vote = messages.PreVote(ViewId(9, "b"), VIEW, 2, 5)
    (grant,) = sent_messages(receive(replica, "b", pre_vote), messages.PreVoteGranted)
    assert grant.token == 5 and grant.start
    view, voters = ViewId(9, "b"), ("a", "b", "c")
    for start in (0, grant.start + 1):
        assert receive(replica, "b", messages.Prepare(view, voters, NO_VIEW, start)) == []
    assert len(appended_records(receive(replica, "b", messages.Prepare(view, voters, NO_VIEW, grant.start)))) == 1


def test_a_voter_that_has_acknowledged_a_round_since_its_grant_promises_nothing():
    """A leader elected after the grant relies on the acknowledgement, so a late `Prepare` must be rejected."""
    replica = make_replica()
    pre_vote = messages.PreVote(ViewId(9, "b"), VIEW, 2, 5)
    (grant,) = sent_messages(receive(replica, "b", pre_vote), messages.PreVoteGranted)
    assert sent_messages(receive(replica, "a", heartbeat_message()), messages.HeartbeatAck)
    late = messages.Prepare(ViewId(9, "b"), ("a", "b", "c"), NO_VIEW, grant.start)
    assert receive(replica, "b", late) == []
    assert sent_messages(receive(replica, "b", pre_vote), messages.PreVoteGranted) == []


def test_a_leader_that_is_no_longer_a_voter_hands_over():
    """A leader that commits its own removal, begun by a previous leader, asks a member that is a voter to lead."""
    leader = make_leader()
    for end, change in ((3, ("seat-replace", "c", "d", "d:1")), (4, ("seat-out", "c"))):
        _propose(leader, change)
        _appended(leader, "b", "b:1", end)
        _appended(leader, "d", "d:1", end)
    assert leader.state.committed == 4 and "c" not in leader.voting_members
    out = tick(leader, NOW + SECOND / 20)
    assert [effect.address for effect in out if isinstance(effect, Send)] == ["b:1"]
    assert sent_messages(out, messages.TakeOver)[0].released == leader.view and leader.role is Role.IDLE
