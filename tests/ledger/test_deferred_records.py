"""Deferred records of forwarded requests: which replicas store them, and when they are sent."""

from datetime import timedelta

import pytest

from sumachook.ledger.events import LeaveRequested, RecordDeferred, WriterTick
from sumachook.ledger.writer import LedgerWriter
from sumachook.transport.node_message import kind_of

SECOND = timedelta(seconds=1)
TICK = timedelta(seconds=0.05)
VOTING_MEMBERS = {f"core-{name}": f"10.0.0.{place}:7" for place, name in enumerate("abcde")}


class DeferredRecordsFixture:
    """A ledger writer with five voters; `write` defers a record, `run` ticks and returns the sent batches.

    Each batch is returned as (seconds since the start, address, message kind, request ids).
    """

    def __init__(self):
        self.now = SECOND * 10
        self.started_at, self.number = self.now, 0
        self.ledger_writer = LedgerWriter(False, (), self.now)
        self.run(0.05)

    def write(self, state="done", late=False, is_close=True, request=None, edge="e1"):
        self.number += 1
        request = request or f"{edge}.1.{self.number}"
        record = {
            "request": request,
            "caller": "",
            "key": "",
            "kind": "forward",
            "edge": edge,
            "state": state,
            "late": late,
        }
        assert self.ledger_writer.take(RecordDeferred(record, is_close), self.now) == []
        return request

    def run(self, seconds):
        sent, until = [], self.now + SECOND * seconds
        while self.now < until:
            self.now += TICK
            tick = WriterTick(VOTING_MEMBERS, set(VOTING_MEMBERS), ())
            for send in self.ledger_writer.take(tick, self.now):
                requests = [copy.record["request"] for copy in send.message.records]
                at = round((self.now - self.started_at) / SECOND, 2)
                sent.append((at, send.address, kind_of(send.message), requests))
        return sent


def test_records_of_finished_requests_are_sent_in_one_batch_per_second_to_two_replicas():
    """Guards against one message per record: requests that succeed within 0.8 s share one message to each replica."""
    fixture = DeferredRecordsFixture()
    requests = []
    for _ in range(5):
        requests.append(fixture.write())
        assert fixture.run(0.15) == []
    sent = fixture.run(0.5)
    assert len(sent) == 2 and len({address for _, address, _, _ in sent}) == 2
    assert all(message[2:] == ("close", requests) for message in sent)


@pytest.mark.parametrize("state,late,is_close", [("fault", False, True), ("done", True, True), ("open", False, False)])
def test_record_of_a_running_late_or_failed_request_sends_all_deferred_records_after_300_ms(state, late, is_close):
    """A deferred record of a successful request must not wait longer than a later record of a running, late or failed
    request: both are sent 0.3 s after the latter was deferred."""
    fixture = DeferredRecordsFixture()
    well = fixture.write()
    other = fixture.write(state, late, is_close)
    begun = fixture.now
    sent = fixture.run(0.4)
    assert sorted({request for _, _, _, requests in sent for request in requests}) == sorted([well, other])
    assert all(at <= (begun - fixture.started_at) / SECOND + 0.36 for at, _, _, _ in sent)


def test_closing_record_replaces_an_opening_record_that_is_still_deferred():
    """If a request ends while its opening record is deferred, only its closing record is sent."""
    fixture = DeferredRecordsFixture()
    request = fixture.write("open", is_close=False)
    fixture.run(0.1)
    fixture.write("fault", request=request)
    assert {kind for _, _, kind, _ in fixture.run(1.0)} == {"close"}


def test_all_forwarded_requests_of_an_edge_use_the_same_two_replicas():
    """The records of one edge must all be sent to the same two replicas; another edge may use different replicas."""
    fixture = DeferredRecordsFixture()
    for _ in range(40):
        fixture.write()
    assert len({address for _, address, _, _ in fixture.run(1.1)}) == 2


def test_shutdown_sends_all_deferred_records_on_the_next_tick():
    """Records that were deferred before the shutdown began, and one written after it, are all sent on the next tick."""
    fixture = DeferredRecordsFixture()
    held = fixture.write()
    fixture.ledger_writer.take(LeaveRequested(), fixture.now)
    late = fixture.write("fault")
    sent = fixture.run(0.05)
    assert len(sent) == 2 and all(requests == [held, late] for _, _, _, requests in sent)
