"""View-synchronous total order: one seat's machine."""

from datetime import timedelta
from random import Random

from sumachook.accord.ballot import Ballot
from sumachook.accord.following import Following
from sumachook.accord.founding import Founding
from sumachook.accord.leading import Leading
from sumachook.accord.newcomers import Newcomers
from sumachook.accord.seat import FILE, Seat
from sumachook.accord.timing import GATHER, ROUND, SILENCE
from sumachook.transport.codec import pack_entry


class Accord:
    """Takes (message, now) and gives messages: hands each to the part it is for, and works off what the parts say to each other (§4).

    In: ("pulse", addresses of cores), ("heard", seat, address, message), ("propose", change), ("compact",), ("accord_synced", ...).
    Out: ("tell", address, message), ("disk" | "rewrite", FILE, records, followup),
    ("deliver", number, change), ("restored", number, image), ("refused", change, fault),
    ("view", ballot, members), ("log", ...), ("compact",), to be given back once the state has taken all that was delivered.
    """

    __slots__ = ("seat", "founding", "newcomers", "ballot", "following", "leading", "last_pulse")

    def __init__(
        self,
        seat,
        address,
        founding,
        draw: Random,
        keep_image,
        records=(),
        away_for=None,
        now=timedelta(0),
        wanted_seats=3,
    ):
        self.seat = Seat(seat, address, founding, draw, keep_image, away_for, now, wanted_seats)
        self.seat.replay(records)
        self.founding, self.newcomers = Founding(self.seat, now), Newcomers(self.seat, now)
        self.ballot, self.following, self.leading = (
            Ballot(self.seat, now),
            Following(self.seat),
            Leading(self.seat, now),
        )
        self.last_pulse = now

    # what others may see --------------------------------------------------------

    role = property(lambda self: self.seat.role)
    view = property(lambda self: self.seat.view)
    members = property(lambda self: self.seat.members)
    leader = property(lambda self: self.seat.leader)
    chain = property(lambda self: self.seat.chain)
    blank = property(lambda self: self.seat.blank)

    def restore(self):
        """What a start gives the state before anything is heard: the image only (§4.6)."""
        return (self.chain.base, self.chain.image)

    def fresh(self, now) -> bool:
        """Whether this seat is in a working view, as far as it can know."""
        return self.seat.is_fresh(now)

    # messages -------------------------------------------------------------------

    def take(self, message: tuple, now) -> list:
        kind, out = message[0], []
        if kind == "compact":
            return self.seat.compact()
        if kind == "pulse" and self._was_away(now):
            self.seat.rest(now)  # what it had begun is for others by now
        if kind == "heard":
            self.seat.doubted.discard(message[1])
        for part in self._parts(message):
            for effect in part.take(message, now):
                out += self.take(effect, now) if effect[0] in ("start", "lead", "beacon") else [effect]
        return out

    def _was_away(self, now):
        before, self.last_pulse = self.last_pulse, now
        return now - before > SILENCE and self.role in ("leading", "stopping", "installing")

    def _parts(self, message):
        kind = message[0]
        if kind == "heard":
            return (self._part_for(message[3][0]),)
        if kind == "accord_synced":
            return (
                {"own-stop": self.ballot, "own-install": self.ballot, "own-grow": self.leading}.get(
                    message[1], self.following
                ),
            )
        if kind == "pulse":
            if self.role == "idle" and self.blank:
                return (self.founding,)
            return {"leading": (self.leading,), "stopping": (self.ballot,), "installing": (self.ballot,)}.get(
                self.role, (self.newcomers, self.ballot)
            )
        return ({"start": self.ballot, "beacon": self.founding}.get(kind, self.leading),)

    def _part_for(self, word):
        if word in ("ask_yes", "stopped", "installed"):
            return self.ballot
        if word in ("propose", "grew", "beat_ack"):
            return self.leading
        if word in ("blank", "stand"):
            return self.founding if word == "blank" and self.blank else self.newcomers
        return self.following


def _member():
    """A seat that stands in view 4 of three seats, led by a."""
    found = pack_entry(("found", {"a": "a:1", "b": "b:1", "c": "c:1"})).decode()
    records = (("seat", "c"), ("promise", (4, "a")), ("view", (4, "a"), ("a", "b", "c"), 1, (found, '["founded"]')))
    machine = Accord("c", "c:1", (), Random(1), dict, records, None, timedelta(seconds=5))
    machine.seat.role, machine.seat.leader = "member", "a"
    return machine


def test_who_promised_a_higher_ballot_takes_nothing_more_of_the_old_view():
    now, entry = timedelta(seconds=5), b'["founded"]'
    grow = ("heard", "a", "a:1", ("grow", (4, "a"), 3, (entry,), 2))
    assert [effect[0] for effect in _member().take(grow, now)][-1] == "disk"
    stopped = _member()
    (promise,) = stopped.take(("heard", "b", "b:1", ("stop", (5, "b"), 0, {"a": "a:1", "b": "b:1", "c": "c:1"})), now)
    assert promise[:3] == ("disk", FILE, (("promise", (5, "b")),))
    ((_, address, answer),) = stopped.take(promise[3], now)
    assert address == "b:1" and answer[0] == "stopped" and answer[4] == 2
    assert stopped.take(grow, now) == [] and stopped.chain.end == 2
    old = ("heard", "a", "a:1", ("install", (4, "a"), ("a", "c"), 3, (entry,), None))
    older = ("heard", "a", "a:1", ("install", (3, "a"), ("a", "c"), 3, (entry,), None))
    assert stopped.take(old, now) == [] and stopped.take(older, now) == []
    assert stopped.take(("heard", "a", "a:1", ("stop", (3, "a"), 0, {"a": "a:1", "c": "c:1"})), now) == []


def test_the_log_of_the_highest_view_is_taken_not_the_longest():
    now, (first, second) = timedelta(seconds=5), (b'["founded"]', b'["seat-out","x"]')
    machine = _member()
    machine.take(("start", None, None), now)
    machine.take(("accord_synced", "own-stop", machine.seat.ballot), now)
    machine.chain.extend(3, [first, first, first])
    machine.ballot.answers["c"] = (machine.view, 0, machine.chain.end, 1, None, None)
    newer = ("stopped", machine.seat.ballot, (4, "b"), 0, 3, 1, (machine.chain.entries[0], first, second), None)
    machine.take(("heard", "b", "b:1", newer), now)
    machine.take(("pulse", ()), now)
    out = machine.take(("pulse", ()), now + GATHER)
    assert any(effect[0] == "rewrite" for effect in out)
    assert machine.chain.entries[1:] == [first, second] and machine.members == ("b", "c")


def test_a_member_that_doubted_its_leader_and_hears_it_again_is_a_member_again():
    """Else a view of two stands for ever, heard by all and acknowledging nothing."""
    now, entry = timedelta(seconds=5), b'["founded"]'
    member = _member()
    member.seat.leader_heard = member.seat.retry_at = now - SILENCE * 2
    assert member.take(("pulse", ()), now)[0][2][0] == "ask" and member.role == "asking"
    member.take(("heard", "a", "a:1", ("beat", (4, "a"), 2, True, ("a", "b", "c"))), now + ROUND / 2)
    member.take(("pulse", ()), now + ROUND * 1.1)
    grow = ("heard", "a", "a:1", ("grow", (4, "a"), 3, (entry,), 2))
    assert [effect[0] for effect in member.take(grow, now + ROUND * 1.2)][-1] == "disk"


def test_a_leader_whose_only_member_takes_nothing_steps_back():
    now, second = timedelta(seconds=5), timedelta(seconds=1)
    leader = _member()
    seat = leader.seat
    seat.role, seat.ballot, seat.members, seat.acked = "leading", (4, "c"), ("b", "c"), {"b": 2, "c": 2}
    seat.view = seat._promised = (4, "c")
    leader.take(("propose", ("founded",)), now)
    leader.take(("accord_synced", "own-grow", (4, "c"), 3), now)
    for step in range(70):
        leader.take(("heard", "b", "b:1", ("beat_ack", (4, "c"), (4, "c"), 2, False)), now + step * second / 20)
        leader.take(("pulse", ()), now + step * second / 20)
    assert leader.role == "idle"
