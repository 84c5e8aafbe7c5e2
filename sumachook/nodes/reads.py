"""Linearizable reads that wait for the consensus layer's word."""

from dataclasses import dataclass, field
from datetime import timedelta

from sumachook.consensus.events import ReadRequested
from sumachook.host.events import CallId

MAX_READS = 256
# The consensus layer says "unreadable" half a second after it asked; this is for when it says nothing.
READ_TIMEOUT = timedelta(seconds=0.55)


@dataclass(slots=True)
class Read:
    """One caller that waits for a read: `path` is what it asked for."""

    call_id: CallId
    path: str
    started_at: timedelta


@dataclass(slots=True)
class Reads:
    """Reads by token; each is answered once, or its caller goes away first."""

    waiting: dict[str, Read] = field(default_factory=dict)
    last_number: int = 0

    def begin(self, call_id: CallId, path: str, now: timedelta) -> list[ReadRequested]:
        """Asks for the read, or gives nothing where too many wait."""
        if len(self.waiting) >= MAX_READS:
            return []
        self.last_number += 1
        token = f"read-{self.last_number}"
        self.waiting[token] = Read(call_id, path, now)
        return [ReadRequested(token)]

    def finish(self, token: str) -> Read | None:
        """The read of a token, which waits no more, or None."""
        return self.waiting.pop(token, None)

    def handle_disconnect(self, call_id: CallId) -> None:
        """Forgets the reads of a caller that went away."""
        for token in [token for token, read in self.waiting.items() if read.call_id == call_id]:
            del self.waiting[token]

    def close(self) -> list[Read]:
        """All reads; none waits any more."""
        waiting, self.waiting = list(self.waiting.values()), {}
        return waiting

    def overdue(self, now: timedelta) -> list[Read]:
        """Reads that were not answered in time; they wait no more."""
        late = [token for token, read in self.waiting.items() if now - read.started_at > READ_TIMEOUT]
        return [self.waiting.pop(token) for token in late]
