"""A seat that would lead."""

from sumachook.accord.seat import FILE, Seat, most_of
from sumachook.accord.timing import ASK_AGAIN, GATHER, ROUND, SILENCE, STOP_AGAIN


class Ballot:
    """Takes (message, now): asks, stops the others, and installs the view that their answers give (§4.3).

    In: ("pulse", ...), ("start", first record, doubted seats), ("heard", ..., ask_yes, stopped or installed), ("accord_synced", own-...).
    Out: ("tell", ...), ("disk" | "rewrite", ...), ("restored", ...), ("lead",).
    """

    __slots__ = ("seat", "yes", "asked_at", "answers", "started_at", "majority_at", "stop_sent_at")

    def __init__(self, seat: Seat, now):
        self.seat, self.yes, self.asked_at, self.answers = seat, set(), now, {}
        self.started_at, self.majority_at, self.stop_sent_at = now, None, now

    def take(self, message: tuple, now) -> list:
        kind = message[0]
        if kind == "heard":
            return getattr(self, "_on_" + message[3][0])(message[1], message[3], now)
        if kind == "start":
            return self._start(now, message[1], message[2])
        if kind == "accord_synced":
            return self._synced(message[1], tuple(message[2]), now)
        return {"stopping": self._pulse_stopping, "installing": self._pulse_installing}.get(
            self.seat.role, self._pulse_asking
        )(now)

    # asking ---------------------------------------------------------------------

    def _pulse_asking(self, now):
        """A seat asks before it disturbs; those who hear a leader stay silent."""
        seat = self.seat
        if not seat.is_lost(now):
            return []
        if seat.role in ("idle", "member") and now >= seat.retry_at and seat.name in seat.roster:
            seat.role, self.yes, seat.ballot = "asking", {seat.name}, self._next()
            seat.doubted = {seat.leader} - {None, seat.name}
            seat.heard_from = dict.fromkeys(seat.doubted, seat.leader_heard)
            return self._ask(now)
        return self._ask(now) if seat.role == "asking" and now >= self.asked_at + ASK_AGAIN else []

    def _ask(self, now):
        self.asked_at = now
        return [("tell", address, ("ask", self.seat.ballot)) for address in self.seat.others.values()]

    def _next(self):
        seat = self.seat
        return (max(seat.promised[0], seat.view[0], seat.ballot[0], seat.highest) + 1, seat.name)

    def _on_ask_yes(self, sender, body, now):
        seat = self.seat
        if seat.role != "asking" or tuple(body[1]) != seat.ballot or sender not in seat.roster or not seat.is_lost(now):
            return []
        self.yes.add(sender)
        return self._start(now) if len(self.yes) >= most_of(len(seat.roster)) else []

    # stopping -------------------------------------------------------------------

    def _start(self, now, first_record=None, doubted=None):
        seat = self.seat
        seat.role, self.started_at, self.majority_at, self.answers = "stopping", now, None, {}
        seat.ballot = seat.promised = self._next()
        seat.doubted = seat.doubted if doubted is None else set(doubted)
        records = [("promise", seat.ballot)] + ([first_record] if first_record else [])
        return [("disk", FILE, tuple(records), ("accord_synced", "own-stop", seat.ballot))]

    def _synced(self, what, ballot, now):
        seat = self.seat
        if ballot != seat.ballot:
            return []
        if what == "own-install":
            seat.acked[seat.name] = seat.chain.end
            return self._check_installed()
        if seat.role != "stopping":
            return []
        self.answers[seat.name] = (seat.view, seat.delivered, seat.chain.end, seat.chain.base + 1, None, None)
        return self._send_stops(now)

    def _send_stops(self, now):
        """To all that have not answered."""
        seat, self.stop_sent_at = self.seat, now
        message = ("stop", seat.ballot, seat.delivered, seat.roster)
        return [("tell", address, message) for name, address in seat.others.items() if name not in self.answers]

    def _on_stopped(self, sender, body, now):
        _, ballot, view, delivered, end, first, entries, image = body
        if self.seat.role != "stopping" or tuple(ballot) != self.seat.ballot:
            return []
        self.answers[sender] = (tuple(view), delivered, end, first, entries, image)
        return self._check_answers(now)

    def _check_answers(self, now):
        """Installs once all have answered whom we do not think lost, or those who answered have waited long enough for the others."""
        seat, roster = self.seat, self.seat.roster
        if seat.name not in self.answers or len(self.answers) < most_of(len(roster)):
            return []
        if self.majority_at is None:
            self.majority_at = now
        is_full = set(roster) - seat.doubted <= set(self.answers)
        return self._install(now) if is_full or now - self.majority_at >= GATHER else []

    def _pulse_stopping(self, now):
        out = self._check_answers(now)
        if out or self.seat.role != "stopping":
            return out
        if now - self.started_at > ROUND * 2:
            self._rest(now)
        elif self.answers and now - self.stop_sent_at >= STOP_AGAIN:
            return self._send_stops(now)
        return []

    def _rest(self, now, **more):
        self.answers = {}
        self.seat.rest(now, **more)

    # installing -----------------------------------------------------------------

    def _install(self, now):
        """Trims to the longest log of the highest view; then everybody syncs it."""
        out, seat = self._adopt_best(), self.seat
        roster = seat.roster
        members = tuple(sorted(name for name in self.answers if name in roster))
        unpunished = tuple(name for name in members if not seat.is_punished(name, now))
        if len(unpunished) >= most_of(len(roster)):
            members = unpunished
        is_founding = seat.chain.end == 1 and set(members) != set(roster)  # §4.2: founding needs all
        if seat.name not in members or len(members) < most_of(len(roster)) or is_founding:
            self._rest(now)
            return out + seat.rewrite(None)
        for name in roster:
            if name not in self.answers and seat.hears(name, now):
                seat.punish(name, now)  # it beats but does not answer: its disk is slow, leave it out for a while
        seat.role, self.started_at, seat.members, seat.view, seat.acked = "installing", now, members, seat.ballot, {}
        return out + seat.rewrite(("accord_synced", "own-install", seat.ballot)) + self._send_installs()

    def _adopt_best(self):
        seat = self.seat
        best = max(self.answers, key=lambda name: (self.answers[name][0], self.answers[name][2], name))
        _, _, _, first, entries, image = self.answers[best]
        if best == seat.name:
            return []
        out = seat.adopt(image) if image is not None else []
        seat.chain.cut(first - 1)
        seat.chain.extend(first, entries)
        return out

    def _send_installs(self):
        seat, roster, out = self.seat, self.seat.roster, []
        for name in seat.members:
            if name != seat.name:
                out.append(
                    (
                        "tell",
                        roster[name],
                        ("install", seat.ballot, seat.members, *seat.chain.tail(self.answers[name][1])),
                    )
                )
        return out

    def _on_installed(self, sender, body, now):
        if self.seat.role == "installing" and tuple(body[1]) == self.seat.ballot:
            self.seat.acked[sender] = self.seat.chain.end
            self.seat.heard_from[sender] = now
        return self._check_installed()

    def _check_installed(self):
        return [("lead",)] if self.seat.role == "installing" and set(self.seat.members) <= set(self.seat.acked) else []

    def _pulse_installing(self, now):
        seat = self.seat
        if now - self.started_at <= ROUND:
            return []
        for name in seat.members:
            if name not in seat.acked and name != seat.name:
                seat.punish(name, now)
        if seat.name not in seat.acked:
            self._rest(now, pause=SILENCE * 2)  # our own disk is the slow one
            return []
        return self._start(now)
