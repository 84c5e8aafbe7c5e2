"""Delivery state of a record that two replicas have not acknowledged yet."""

from datetime import timedelta

from sumachook.ledger.records import Record, RecordKey, UndeliveredRecord, key_of

RELAY_AFTER = timedelta(seconds=0.8)  # time until other edges relay a record; a resend and a handoff take less


class PendingRecord:
    """A record and the state of its delivery.

    All times are on the edge's monotonic clock. `is_settled` is true if no request waits for the outcome (any more).
    """

    __slots__ = (
        "record",
        "is_close",
        "is_safe",
        "is_settled",
        "is_deferred",
        "started_at",
        "sent_at",
        "relay_at",
        "sent_to",
        "acked_by",
    )

    def __init__(self, record: Record, is_close: bool, is_safe: bool, now: timedelta):
        self.record = record
        self.is_close = is_close
        self.is_safe = is_safe
        self.is_settled = is_close
        self.is_deferred = False  # a deferred record is sent in a batch, at `started_at` or earlier
        self.started_at = now
        self.sent_at = now
        self.relay_at = now + RELAY_AFTER
        self.sent_to: set[str] = set()
        self.acked_by: set[str] = set()

    @property
    def key(self) -> RecordKey:
        """Key of the record among the pending records of its edge."""
        return key_of(self.record, self.is_close)

    def begin_sending(self, now: timedelta) -> None:
        """Ends the deferral and restarts the delivery timers at `now`."""
        self.is_deferred = False
        self.started_at = now
        self.sent_at = now
        self.relay_at = now + RELAY_AFTER

    def undelivered(self) -> UndeliveredRecord:
        """Returns the record in the form in which it is relayed and written to the spill file."""
        return UndeliveredRecord(self.record, self.is_close)
