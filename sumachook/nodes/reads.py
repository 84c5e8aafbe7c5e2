"""Tracks linearizable reads that wait for an answer of the consensus layer."""

from dataclasses import dataclass, field
from datetime import timedelta

from sumachook.consensus.events import ReadRequested
from sumachook.host.events import CallId

MAX_READS = 256
# The consensus layer reports a failed read after half a second; this covers reads that it never answers.
READ_TIMEOUT = timedelta(seconds=0.55)


@dataclass(slots=True)
class Read:
    """A read that an HTTP caller waits for; `path` is the requested path."""

    call_id: CallId
    path: str
    started_at: timedelta


@dataclass(slots=True)
class Reads:
    """Pending reads by token; each is answered exactly once unless its caller disconnects first."""

    waiting: dict[str, Read] = field(default_factory=dict)
    last_number: int = 0

    def begin(self, call_id: CallId, path: str, now: timedelta) -> list[ReadRequested]:
        """Requests a read; returns nothing if `MAX_READS` are pending."""
        if len(self.waiting) >= MAX_READS:
            return []
        self.last_number += 1
        token = f"read-{self.last_number}"
        self.waiting[token] = Read(call_id, path, now)
        return [ReadRequested(token)]

    def finish(self, token: str) -> Read | None:
        """Removes and returns the read with this token, or returns None."""
        return self.waiting.pop(token, None)

    def handle_disconnect(self, call_id: CallId) -> None:
        """Drops the reads of a caller that disconnected."""
        for token in [token for token, read in self.waiting.items() if read.call_id == call_id]:
            del self.waiting[token]

    def close(self) -> list[Read]:
        """Removes and returns all pending reads."""
        waiting, self.waiting = list(self.waiting.values()), {}
        return waiting

    def overdue(self, now: timedelta) -> list[Read]:
        """Removes and returns the reads that were not answered within `READ_TIMEOUT`."""
        late = [token for token, read in self.waiting.items() if now - read.started_at > READ_TIMEOUT]
        return [self.waiting.pop(token) for token in late]
