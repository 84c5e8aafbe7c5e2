"""The replica store: idempotency keys, and open records of lost edges."""

from datetime import timedelta

from sumachook.host.effects import AppendDayLog
from sumachook.host.events import MessageReceived
from sumachook.ledger.events import StoreTick
from sumachook.ledger.messages import AckOutcome, CloseRecords, OpenRecords
from sumachook.ledger.records import LOST, OPEN, RecordCopy
from sumachook.ledger.replica_store import ReplicaStore
from sumachook.runtime.cluster_clock import UNIX_EPOCH, ClusterClock

START = timedelta(0)
SECOND = timedelta(seconds=1)


def _replica_store():
    return ReplicaStore("a", ClusterClock(lambda: UNIX_EPOCH, START), 3, (), START)


def _record(request, state=OPEN, **more):
    return {
        "request": request,
        "caller": "c",
        "key": "",
        "edge": "e",
        "incarnation": 1,
        "state": state,
        "openedAt": "2026-01-02T00:00:00",
        **more,
    }


def _received(message_type, record):
    return MessageReceived("e", "e:1", message_type((RecordCopy(record, ()),)))


def test_idempotency_key_is_free_again_only_after_its_request_did_not_run():
    """A second request with a key that is in use is a duplicate until the first request is closed as not run."""
    replica_store = _replica_store()
    replica_store.take(_received(OpenRecords, _record("r1", key="k")), START)
    (send,) = replica_store.take(_received(OpenRecords, _record("r2", key="k")), START)
    (ack,) = send.message.acks
    assert ack[:2] == ("r2", AckOutcome.DUPLICATE) and ack.detail["request"] == "r1"
    replica_store.take(_received(CloseRecords, _record("r1", "refused", key="k", run="no")), START)
    append = replica_store.take(_received(OpenRecords, _record("r2", key="k")), START)[0]
    assert isinstance(append, AppendDayLog) and append.day == "day-2026-01-02.jsonl"
    assert replica_store.find("r2")["state"] == OPEN


def test_open_records_of_a_lost_edge_are_closed_as_lost_until_their_closing_record_arrives():
    """Open records of an edge that restarted are closed as lost; a closing record that arrives later replaces that state."""
    replica_store = _replica_store()
    replica_store.take(_received(OpenRecords, _record("r1")), SECOND)
    tick = StoreTick({"e": 2}, {"a": "a:1"})
    replica_store.take(tick, SECOND)
    effects = replica_store.take(tick, SECOND * 5)
    assert replica_store.find("r1")["state"] == LOST
    assert any(isinstance(effect, AppendDayLog) for effect in effects)
    replica_store.take(_received(CloseRecords, _record("r1", "done", run="yes")), SECOND * 6)
    assert replica_store.find("r1")["state"] == "done"
