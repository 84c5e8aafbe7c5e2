"""What the parts of one seat share."""

from datetime import timedelta
from random import Random

from sumachook.accord.chain import Chain
from sumachook.accord.timing import FRESH, SEAT_AWAY, SILENCE
from sumachook.runtime.rising import Rising

NO_BALLOT = (0, "")
FILE = "accord"


def most_of(size: int) -> int:
    return size // 2 + 1


class Seat:
    """The durable facts of a seat, its place in the view, and the steps that several of its parts take (§4.1, §4.6)."""

    __slots__ = (
        "name",
        "address",
        "founding",
        "draw",
        "keep_image",
        "away_for",
        "wanted_seats",
        "chain",
        "_promised",
        "_highest",
        "view",
        "members",
        "delivered",
        "committed",
        "synced",
        "role",
        "ballot",
        "leader",
        "leader_heard",
        "fresh_at",
        "retry_at",
        "acked",
        "heard_from",
        "penalty",
        "doubted",
        "newcomers",
    )

    promised = Rising("_promised", NO_BALLOT)
    highest = Rising("_highest")
    MOST_ENTRIES = 400

    def __init__(self, name, address, founding, draw: Random, keep_image, away_for, now, wanted_seats):
        self.name, self.address, self.founding, self.draw = name, address, tuple(founding), draw
        self.keep_image, self.away_for, self.wanted_seats = keep_image, away_for or SEAT_AWAY, wanted_seats
        self.chain, self.view, self.members = Chain(0, None, {}), NO_BALLOT, ()
        self.delivered = self.committed = self.synced = 0
        self.role, self.ballot, self.leader = "idle", NO_BALLOT, None
        self.leader_heard = self.fresh_at = now - SILENCE * 10
        self.retry_at = now + timedelta(seconds=draw.uniform(0.1, 0.3))
        self.acked, self.heard_from, self.penalty, self.doubted, self.newcomers = {}, {}, {}, set(), {}

    def replay(self, records):
        for record in records:
            kind = record[0]
            if kind == "promise":
                self.promised = tuple(record[1])
            elif kind == "image":
                self.chain = Chain(record[1], record[2], record[3])
                self.delivered = record[1]
            elif kind == "view":
                self.view, self.members = tuple(record[1]), tuple(record[2])
                self.promised = self.view
                self.chain.cut(record[3] - 1)
                self.chain.extend(record[3], [entry.encode() for entry in record[4]])
            elif kind == "grow":
                self.chain.extend(record[1], [entry.encode() for entry in record[2]])
        self.synced = self.chain.end
        self.committed = self.delivered

    # what it knows --------------------------------------------------------------

    @property
    def blank(self) -> bool:
        return self.chain.end == 0 and self.view == NO_BALLOT

    @property
    def roster(self) -> dict:
        return self.chain.roster()

    @property
    def others(self) -> dict:
        return {name: address for name, address in self.roster.items() if name != self.name}

    def hears(self, name, now, within=SILENCE) -> bool:
        return name in self.heard_from and now - self.heard_from[name] < within

    def is_lost(self, now) -> bool:
        """Whether no leader is heard."""
        return now - self.leader_heard > SILENCE

    def is_forlorn(self, now) -> bool:
        """Whether no leader has been heard for so long that this seat may be out of a roster that it does not know (§4.4)."""
        return self.role in ("idle", "asking") and now - self.leader_heard > SILENCE * 2

    def is_fresh(self, now) -> bool:
        """Whether this seat is in a working view, as far as it can know."""
        if self.role == "leading":
            return self.leads_well(now)
        return self.role == "member" and now - self.fresh_at < FRESH

    def leads_well(self, now) -> bool:
        return all(self.hears(name, now, FRESH) for name in self.members if name != self.name)

    # steps ----------------------------------------------------------------------

    def rest(self, now, pause=timedelta(0)):
        self.role = "idle"
        self.retry_at = now + timedelta(seconds=self.draw.uniform(0.2, 0.9)) + pause

    def punish(self, name, now):
        """§4.5: out of the view for a while, each time for longer."""
        until, pause = self.penalty.get(name, (now, timedelta(seconds=1)))
        if now - until > timedelta(minutes=1):
            pause = timedelta(seconds=1)
        self.penalty[name] = (now + pause, min(pause * 2, timedelta(seconds=30)))

    def is_punished(self, name, now) -> bool:
        return name in self.penalty and now < self.penalty[name][0]

    def adopt(self, image):
        base, state, roster = image
        self.chain = Chain(base, state, roster)
        if base > self.delivered:
            self.delivered = self.committed = base
            return [("restored", base, state)]
        return []

    def rewrite(self, followup):
        """The whole file anew: who we are, promise, image, view and the entries after the image."""
        chain = self.chain
        entries = tuple(entry.decode() for entry in chain.entries)
        records = (
            ("seat", self.name),
            ("promise", self.promised),
            ("image", chain.base, chain.image, chain.base_roster),
            ("view", self.view, self.members, chain.base + 1, entries),
        )
        return [("rewrite", FILE, records, followup)]

    def deliver(self, up_to):
        out = []
        while self.delivered < up_to:
            self.delivered += 1
            out.append(("deliver", self.delivered, self.chain.entries[self.delivered - self.chain.base - 1]))
        self.committed = max(self.committed, self.delivered)
        if self.delivered - self.chain.base > self.MOST_ENTRIES:
            out.append(("compact",))
        return out

    def compact(self):
        if self.delivered - self.chain.base <= self.MOST_ENTRIES:
            return []
        self.chain.shorten(self.delivered, self.keep_image())
        return self.rewrite(None)
