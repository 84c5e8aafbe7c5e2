"""Linearizable reads that wait for the consensus layer's word."""

from dataclasses import dataclass, field
from datetime import timedelta

MOST_READS = 256
GIVE_UP = timedelta(
    seconds=0.55
)  # the consensus layer says "unreadable" half a second after it asked; this is for when it says nothing


@dataclass(slots=True)
class Read:
    """One caller that waits for a read: `path` is what it asked for."""

    cid: object
    path: str
    started_at: timedelta


@dataclass(slots=True)
class Reads:
    """Reads by token; each is answered once, or its caller goes away first."""

    waiting: dict = field(default_factory=dict)
    last_number: int = 0

    def begin(self, cid, path: str, now) -> list:
        """The effect that asks for the read, or nothing where too many wait."""
        if len(self.waiting) >= MOST_READS:
            return []
        self.last_number += 1
        token = f"read-{self.last_number}"
        self.waiting[token] = Read(cid, path, now)
        return [("read", token)]

    def finish(self, token: str):
        """The read of a token, which waits no more, or None."""
        return self.waiting.pop(token, None)

    def gone(self, cid):
        for token in [token for token, read in self.waiting.items() if read.cid == cid]:
            del self.waiting[token]

    def overdue(self, now) -> list:
        """Reads that were not answered in time; they wait no more."""
        late = [token for token, read in self.waiting.items() if now - read.started_at > GIVE_UP]
        return [self.waiting.pop(token) for token in late]
