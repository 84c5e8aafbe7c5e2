"""A seat that leads."""

from sumachook.accord import faults
from sumachook.accord.mending import Mending
from sumachook.accord.newcomers import find_gone
from sumachook.accord.seat import FILE, Seat, most_of
from sumachook.accord.timing import BEAT, REJOIN, RESEND, SILENCE
from sumachook.transport.codec import pack_entry


class Leading:
    """Takes (message, now): numbers changes, commits what all members have synced, and watches over the view (§4.1, §4.5).

    In: ("lead",), ("pulse", ...), ("propose", change), ("heard", ..., propose, grew or beat_ack), ("accord_synced", "own-grow", ...).
    Out: ("tell", ...), ("disk", ...), ("deliver", ...), ("refused", ...), ("view", ...), ("log", ...), ("start", None, doubted seats).
    """

    __slots__ = (
        "seat",
        "mending",
        "waiting",
        "syncing",
        "sync_at",
        "sent_at",
        "next_beat",
        "outsiders",
        "owed",
        "admitted",
    )

    MOST_WAITING = 256

    def __init__(self, seat: Seat, now):
        self.seat, self.mending = seat, Mending(seat)
        self.waiting, self.syncing, self.sync_at, self.sent_at, self.next_beat = [], False, now, now, now
        self.outsiders, self.owed, self.admitted = {}, {}, set()

    def take(self, message: tuple, now) -> list:
        kind = message[0]
        if kind == "heard":
            return getattr(self, "_on_" + message[3][0])(message[1], message[3], now)
        return getattr(self, "_" + kind)(message, now)

    def _lead(self, message, now):
        seat = self.seat
        seat.role, seat.leader, seat.leader_heard, seat.synced = "leading", seat.name, now, seat.chain.end
        self.waiting, self.syncing, self.next_beat, self.outsiders, self.owed = [], False, now, {}, {}
        for name in seat.roster:  # the others have been away since they were heard last
            seat.heard_from[name] = now if name in seat.members else seat.heard_from.get(name, now)
        if seat.chain.end == 1:
            self.waiting.append(pack_entry(("founded",)))
        note = ("log", "info", "accord", f"View {seat.ballot[0]} leads.", {"members": list(seat.members)})
        return [note, ("view", seat.ballot, seat.members)] + self._commit(now) + self._flush(now)

    # order ----------------------------------------------------------------------

    def _propose(self, message, now):
        seat, change = self.seat, message[1]
        if seat.role in ("leading", "stopping", "installing"):
            return self._admit(change, now)
        address = seat.roster.get(seat.leader)
        if address is None or seat.is_lost(now):
            return [("refused", change, faults.NO_VIEW.because("this seat hears no leader"))]
        return [("tell", address, ("propose", change))]

    def _on_propose(self, sender, body, now):
        return self._admit(body[1], now) if self.seat.role == "leading" else []

    def _admit(self, change, now):
        if self.seat.role != "leading":
            return [("refused", change, faults.NO_VIEW.because("a change of view is under way"))]
        if len(self.waiting) >= self.MOST_WAITING:
            return [("refused", change, faults.TOO_MANY.because(f"{len(self.waiting)} wait"))]
        self.waiting.append(pack_entry(change))
        return self._flush(now)

    def _flush(self, now):
        """One sync at a time, with all that came meanwhile."""
        if self.syncing or not self.waiting:
            return []
        seat, batch, self.waiting = self.seat, tuple(self.waiting), []
        first = seat.chain.end + 1
        seat.chain.extend(first, batch)
        self.syncing, self.sync_at = True, now
        record = ("grow", first, tuple(entry.decode() for entry in batch))
        out = [("disk", FILE, (record,), ("accord_synced", "own-grow", seat.ballot, seat.chain.end))]
        return out + self._send_grow(first, [name for name in seat.members if name != seat.name], now)

    def _send_grow(self, first, targets, now):
        seat, roster, self.sent_at = self.seat, self.seat.roster, now
        message = ("grow", seat.ballot, first, seat.chain.since(first), seat.committed)
        return [("tell", roster[name], message) for name in targets if name in roster]

    def _accord_synced(self, message, now):
        seat = self.seat
        if tuple(message[2]) != seat.ballot or seat.role != "leading":
            return []
        self.syncing, seat.acked[seat.name], seat.synced = False, message[3], message[3]
        return self._commit(now) + self._flush(now)

    def _on_grew(self, sender, body, now):
        seat = self.seat
        if seat.role != "leading" or tuple(body[1]) != seat.ballot or sender not in seat.members:
            return []
        seat.heard_from[sender] = now
        return self._acked(sender, body[2], now)

    def _acked(self, sender, end, now):
        if end <= self.seat.acked.get(sender, 0):
            return []
        self.seat.acked[sender] = end
        return self._commit(now)

    def _commit(self, now):
        seat = self.seat
        reached = min(seat.acked.get(name, 0) for name in seat.members)
        if reached <= seat.committed:
            return []
        seat.committed = reached
        return seat.deliver(reached) + self._beat(now)

    # the view -------------------------------------------------------------------

    def _beat(self, now):
        seat, self.next_beat = self.seat, now + BEAT
        message = ("beat", seat.ballot, seat.committed, seat.leads_well(now), seat.members)
        return [("tell", address, message) for address in seat.others.values()]

    def _on_beat_ack(self, sender, body, now):
        _, ballot, seen, end, _ = body
        seat = self.seat
        seat.highest = seen[0]
        if seat.role != "leading" or tuple(ballot) != seat.ballot:
            return []
        seat.heard_from[sender] = now
        if sender not in seat.members:
            since, at = self.outsiders.get(sender, (now, now))
            self.outsiders[sender] = (since if now - at < SILENCE else now, now)
        elif tuple(seen) > seat.ballot:
            seat.rest(now)  # this view was stopped while we were away
        else:
            return self._acked(sender, end, now)
        return []

    def _pulse(self, message, now):
        if self.syncing and now - self.sync_at > SILENCE:
            return self._step_back("Own disk stalls, stepping back.", now)
        if hurt := self._watch(now):
            return hurt
        out = self._beat(now) if now >= self.next_beat else []
        return out + self._resend(now) + (self._mend(now) or self._let_in(now))

    def _watch(self, now):
        """Puts one out of the view that is silent, stalls or has lost its disk; where no majority is left, steps back."""
        seat, roster, gone = self.seat, self.seat.roster, find_gone(self.seat, now)
        for name in seat.members:
            if name == seat.name:
                continue
            is_stalled, silence = self._is_stalled(name, now), now - seat.heard_from[name]
            if silence > SILENCE or is_stalled or name in gone:
                lost = {name, *gone, *(other for other in roster if other != seat.name and not seat.hears(other, now))}
                if len(roster) - len(lost) >= most_of(len(roster)):
                    seat.punish(name, now)
                    note = ("log", "warning", "accord", "A seat is put out of the view.", {"seat": name})
                    return [note, ("start", None, lost)]
            if silence > SILENCE * 1.5 or now - self.owed.get(name, (0, now))[1] > SILENCE * 3:
                return self._step_back("No majority takes changes, stepping back.", now)
        return []

    def _is_stalled(self, name, now):
        """Whether this member has owed the same entry for too long, however many came after it."""
        end, acked = self.seat.chain.end, self.seat.acked.get(name, 0)
        owed, since = self.owed.get(name, (0, now))
        if acked >= owed:
            self.owed[name] = (end, now) if acked < end else (0, now)
            return False
        return now - since > SILENCE

    def _step_back(self, why, now):
        """Says so, that another need not wait for our silence."""
        self.seat.rest(now, pause=SILENCE * 2)
        words = [("tell", address, ("yield", self.seat.ballot)) for address in self.seat.others.values()]
        return [("log", "warning", "accord", why, {}), *words]

    def _resend(self, now):
        seat = self.seat
        late = [name for name in seat.members if name != seat.name and seat.acked.get(name, 0) < seat.chain.end]
        if not late or now - self.sent_at <= RESEND:
            return []
        start = min(seat.acked.get(name, 0) for name in late) + 1
        return self._send_grow(max(start, seat.chain.base + 1), late, now)

    def _mend(self, now):
        changes = [] if self.syncing or self.waiting else self.mending.take(("pulse",), now)
        out = []
        for _, change in changes:
            if change[0] == "seat-in":
                self.admitted.add(change[1])
            out += self._admit(change, now)
        return out

    def _let_in(self, now):
        """Takes one into the view that has been heard steadily, or was admitted to the roster just now."""
        seat, roster = self.seat, self.seat.roster
        for name, (since, at) in self.outsiders.items():
            is_steady = now - since > REJOIN or name in self.admitted
            if (
                is_steady
                and now - at < SILENCE
                and name in roster
                and not seat.is_punished(name, now)
                and not self.syncing
            ):
                self.admitted.clear()
                return [("log", "info", "accord", "A seat comes into the view.", {"seat": name}), ("start", None, None)]
        return []
