"""Fixtures for tests of a single replica: initial states and the messages that it receives."""

from datetime import timedelta
from random import Random

from sumachook.consensus import NO_VIEW, Options, Replica, Role, ViewId, events, messages
from sumachook.host.effects import AppendRecords, Send
from sumachook.host.events import MessageReceived
from sumachook.transport.codec import pack_entry

SECOND = timedelta(seconds=1)
NOW = SECOND * 5
ADDRESSES = {"a": "a:1", "b": "b:1", "c": "c:1"}
FOUND = pack_entry(("found", ADDRESSES)).decode()
FOUNDED = '["founded"]'
OLD, VIEW = ViewId(3, "a"), ViewId(4, "a")
RECORDS = (("seat", "c"), ("promise", (4, "a")), ("view", (4, "a"), ("a", "b", "c"), 1, (FOUND, FOUNDED)))


def make_replica(records=RECORDS, name="c", now=NOW):
    """Returns a replica that was started from log records."""
    return Replica(name, f"{name}:1", (), Random(1), dict, records, Options(), now)


def receive(replica, sender, message, now=NOW):
    """Delivers a message of another replica and returns the effects."""
    return replica.take(MessageReceived(sender, ADDRESSES[sender], message), now)


def heartbeat_message(number=1, view=VIEW, committed=2, has_lease=True, echo=0, members=("a", "b", "c"), end=2):
    """Returns a heartbeat of leader "a"."""
    return messages.Heartbeat(view, number, committed, end, has_lease, members, echo)


def make_member(now=NOW):
    """Returns replica "c" as a member of view 4, led by "a", with its lease guard after the start expired."""
    replica = make_replica(now=now - SECOND)
    tick(replica, now)
    receive(replica, "a", heartbeat_message(), now)
    assert replica.role is Role.MEMBER
    return replica


def tick(replica, now):
    """Sends a tick and returns the effects."""
    return replica.take(events.Tick(()), now)


def sent_messages(out, kind):
    """Returns the sent messages of type `kind` among the effects."""
    return [effect.message for effect in out if isinstance(effect, Send) and isinstance(effect.message, kind)]


def appended_records(out):
    """Returns the effects that append records to the log file."""
    return [effect for effect in out if isinstance(effect, AppendRecords)]


def append_message(replica, first=3, entries=(b'["founded"]',), view=VIEW, committed=2):
    """Returns an `Append` message with new entries of the leader."""
    previous = replica.log.digest_at(first - 1) or b""
    return messages.Append(view, first, first - 1 + len(entries), committed, previous, entries)


def prepare_message(view, released=NO_VIEW):
    """Returns a candidate's `Prepare` message to voters "a", "b" and "c"."""
    return messages.Prepare(view, ("a", "b", "c"), released)


def make_leader(now=NOW):
    """Returns replica "c" as leader of view 5 with members "b" and "c"; "a" is unreachable."""
    replica = make_member(now - SECOND)
    tick(replica, now)
    replica.candidate.start(now, {"a"})
    (store,) = appended_records(receive_promise(replica, "b", now))
    replica.take(store.done, now)
    receive(replica, "b", messages.Installed(replica.view, 2), now)
    assert replica.role is Role.LEADING and replica.members == ("b", "c")
    return replica


def receive_promise(replica, sender, now):
    """Delivers another voter's promise to the candidate and returns the effects."""
    view = replica.state.candidacy
    replica.take(events.CandidacySynced(view), now)
    return receive(replica, sender, messages.Promise(view, VIEW, 2, 2, replica.log.digest_at(2), 1), now)
