"""Reads the event stream of one response and checks the order and content of its events."""

from harness.fakes.response_chunks import event_data


class ResponseReader:
    """`take(lines of one event, now)` returns why the event is not the expected one, or "" if it is.

    >>> reading = ResponseReader(None, "5c", 2)
    >>> reading.take(b"id: 1\\ndata: 5c.1\\n\\n", 0.5), reading.take(b"id: 1\\ndata: 5c.1\\n\\n", 0.9)
    ('', "event 1 '5c.1' where 2 '5c.2' is due")
    """

    __slots__ = (
        "kind",
        "digest",
        "total",
        "events",
        "first_at",
        "last_at",
        "longest_gap",
        "is_whole",
        "status",
        "retry_after",
    )

    def __init__(self, kind, digest: str, total: int):
        self.kind, self.digest, self.total = kind, digest, total
        self.is_whole, self.status, self.retry_after = False, 0, 0.0
        self.restart()

    def restart(self):
        """Discards all events read so far, before an attempt that does not resume the stream."""
        self.events, self.first_at, self.last_at, self.longest_gap = 0, None, None, 0.0

    def take(self, lines: bytes, now: float) -> str:
        fields = dict(line.split(": ", 1) for line in lines.decode().splitlines() if ": " in line)
        due = self.events + 1
        if (fields.get("id"), fields.get("data")) != (str(due), event_data(self.digest, due)):
            return (
                f"event {fields.get('id')} {fields.get('data')!r} where {due} {event_data(self.digest, due)!r} is due"
            )
        self.events = due
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_at)
        self.last_at = now
        return ""
