"""Tests of single replicas: log, snapshots, log file records, and encoding of messages."""

import pytest

from sumachook.consensus import ViewId, events, messages
from sumachook.consensus.log import Log, decode_snapshot, decode_state
from sumachook.consensus.proposals import ProposalAssembler, split_proposal
from sumachook.consensus.storage import Restored, all_records
from sumachook.consensus.timing import (
    CHUNK_BYTES,
)
from sumachook.transport.codec import Codec, pack_entry, read_frame
from sumachook.transport.errors import FrameProblem, UnreadableFrameError
from sumachook.transport.message_schemas import FIELDS
from tests.consensus.replica_fixtures import (
    FOUND,
    NOW,
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
    sent_messages,
    tick,
)

# log, snapshots and log file records


def test_replaying_the_log_file_restores_the_same_state():
    replica = make_member()
    (store,) = appended_records(receive(replica, "a", append_message(replica, entries=(b'["x"]', b'["y"]'))))
    for records in (RECORDS + store.records, all_records("c", replica.state)):
        restored = Restored()
        restored.replay(records)
        assert restored.log.entries == replica.log.entries and restored.log.digests == replica.log.digests
        assert (restored.view, restored.members, restored.promised) == (VIEW, ("a", "b", "c"), VIEW)


def test_a_snapshot_contains_state_voting_members_and_digest_and_ignores_later_state_changes():
    log, state = Log(), {"duties": {"placer": ("a", 1)}}
    log.extend([FOUND.encode(), b'["x"]', b'["seat-replace","c","d","d:1"]', b'["y"]'])
    digest, voting_members = log.digest_at(4), log.voting_members
    log.compact(3, state)
    state["duties"]["placer"] = ("b", 2)
    snapshot = decode_snapshot(log.encoded_snapshot().data)
    assert snapshot == log.snapshot and decode_state(snapshot) == {"duties": {"placer": ("a", 1)}}
    other = Log(snapshot)
    other.extend([b'["y"]'])
    assert other.digest_at(4) == digest and other.voting_members == voting_members and other.voting_members.is_joint


def test_merge_truncates_the_log_only_at_the_first_difference():
    """Entries equal to the leader's are kept, even if the leader resends them: they may be acknowledged already."""
    log = Log()
    log.extend([FOUND.encode(), b'["x"]', b'["y"]', b'["old"]', b'["older"]'])
    assert log.merge(2, [b'["x"]', b'["y"]']) is None and log.end == 5
    assert log.merge(3, [b'["y"]', b'["new"]']) == 4 and log.entries[3:] == [b'["new"]']


def test_a_learner_rejects_entries_of_a_lower_view():
    """Entries of a lower view could overwrite one that was acknowledged because this learner had stored it."""
    records = (*RECORDS, ("entries", (7, "b"), 3, ('["kept"]',)))
    replica = make_replica(records)
    out = receive(replica, "a", heartbeat_message(1, view=ViewId(6, "a"), end=3))
    (ack,) = sent_messages(out, messages.HeartbeatAck)
    assert ack.promised == ViewId(7, "b") and not sent_messages(out, messages.Fetch)
    assert replica.state.leader is None


def test_a_restarted_learner_with_a_complete_log_acknowledges_it():
    """A learner that sends no `Appended` never counts as caught up; its log may also be entirely in a snapshot."""
    before = make_replica((*RECORDS, ("entries", (7, "b"), 3, ('["kept"]',))))
    before.log.compact(3, {})
    for records in (all_records("c", before.state), (*RECORDS, ("entries", (7, "b"), 3, ('["kept"]',)))):
        _assert_acknowledges_complete_log(make_replica(records))


def _assert_acknowledges_complete_log(replica):
    (fetch,) = sent_messages(
        receive(replica, "b", heartbeat_message(1, view=ViewId(7, "b"), end=3, committed=3)), messages.Fetch
    )
    answer = messages.Entries(ViewId(7, "b"), fetch.first, True, fetch.digest, ())
    (store,) = appended_records(receive(replica, "b", answer))
    out = replica.take(store.done, NOW)
    assert (
        sent_messages(out, messages.Appended) == [messages.Appended(ViewId(7, "b"), 3)] and replica.state.delivered == 3
    )


def test_a_large_entry_is_fetched_in_parts_and_the_transfer_resumes_after_a_lost_part():
    """An entry of three chunks needs four answers of at most one chunk if one answer is lost."""
    leader, large = make_leader(), pack_entry(("apply", "x" * (CHUNK_BYTES * 2 + 9)))
    (store,) = appended_records(leader.take(events.ProposalMade(("apply", "x" * (CHUNK_BYTES * 2 + 9))), NOW))
    leader.take(store.done, NOW)
    learner, now = make_replica((("seat", "b"),), "b"), NOW
    asked = sent_messages(
        receive(learner, "c", heartbeat_message(1, view=leader.view, end=3, members=("b", "c")), now), messages.Fetch
    )
    answers = []
    for step in range(12):
        now += SECOND / 20 if step else SECOND / 2
        tick(leader, now), tick(learner, now)
        fetches, asked = asked, []
        for fetch in fetches:
            for answer in sent_messages(receive(leader, "b", fetch, now), messages.Message):
                answers.append(answer)
                if len(answers) == 3:  # this answer is lost
                    now += SECOND / 2
                    asked += sent_messages(
                        receive(learner, "c", heartbeat_message(2, view=leader.view, end=3, members=("b", "c")), now),
                        messages.Fetch,
                    )
                else:
                    asked += sent_messages(receive(learner, "c", answer, now), messages.Fetch)
    assert learner.log.end == 3 and learner.log.entry(3) == large
    parts = [answer for answer in answers if isinstance(answer, messages.EntryPart)]
    assert len(parts) == 4 and all(len(part.data) <= CHUNK_BYTES for part in parts)


def test_a_proposal_in_parts_is_reassembled_and_one_with_a_missing_part_is_dropped():
    change = ("apply", "x" * (CHUNK_BYTES * 2))
    parts, assembler = list(split_proposal(1, change)), ProposalAssembler()
    assert [assembler.add_part("a", part, NOW) for part in parts] == [None, None, change]
    assert [assembler.add_part("a", part, NOW) for part in (parts[0], parts[2])] == [None, None]


# encoding of messages


def test_message_schemas_list_the_fields_of_every_message():
    assert set(messages.TYPES.values()) == set(messages.Message.__subclasses__())
    for kind, message_type in messages.TYPES.items():
        assert tuple(name for name, _ in FIELDS[kind]) == message_type.__struct_fields__


def test_messages_round_trip_through_the_codec_and_malformed_ones_are_rejected():
    codec = Codec("c", "a", "a:1", 1)
    for message in (
        heartbeat_message(),
        prepare_message(VIEW),
        messages.Install(VIEW, ("a",), 1, 2, b"\0z", (b'["x"]',)),
        messages.SnapshotPart(VIEW, 7, b"z" * 8, 0, 9, 3, b"z" * 5000),
    ):
        assert read_frame("c", codec.pack(message)) == ("a", "a:1", 1, message)
    for values in (["nobody"], [4], [], [(3, "a"), 4]):
        with pytest.raises(ValueError):
            messages.Yield.from_values(values)
    for malformed in (("yield", "nobody"), ("yield", 4)):
        with pytest.raises(UnreadableFrameError) as raised:
            read_frame("c", codec.pack(malformed))
        assert raised.value.problem is FrameProblem.MALFORMED
