"""A seat that follows another."""

from datetime import timedelta

from sumachook.accord.seat import FILE, Seat
from sumachook.accord.timing import SILENCE


class Following:
    """Takes (message, now): answers those who would lead, syncs what the leader sends, delivers what it says is committed (§4.1, §4.3).

    In: ("heard", ..., ask, stop, install, grow, beat or yield), ("accord_synced", stopped, installed or grown, ...).
    Out: ("tell", ...), ("disk" | "rewrite", ...), ("restored", ...), ("deliver", ...), ("view", ...), ("beacon", address).
    """

    __slots__ = ("seat",)

    def __init__(self, seat: Seat):
        self.seat = seat

    def take(self, message: tuple, now) -> list:
        if message[0] == "heard":
            return getattr(self, "_on_" + message[3][0])(message[1], message[2], message[3], now)
        return getattr(self, "_" + message[1])(message, tuple(message[2]), now)

    # those who would lead -------------------------------------------------------

    def _on_ask(self, sender, address, body, now):
        seat = self.seat
        hears_other = sender != seat.leader and now - seat.leader_heard < SILENCE  # a leader that asks leads no more
        is_known = seat.blank or sender in seat.roster or seat.is_forlorn(now)
        if seat.role == "leading" or hears_other or not is_known:
            return []
        return [("tell", address, ("ask_yes", body[1]))]

    def _on_stop(self, sender, address, body, now):
        _, ballot, delivered, roster = body
        seat, ballot, mine = self.seat, tuple(ballot), self.seat.roster
        if ballot < seat.promised or (ballot == seat.promised and seat.view == ballot):
            return []
        if (mine and sender not in mine and not seat.is_forlorn(now)) or seat.name not in roster:
            return []
        if ballot > seat.promised:  # sent once more it wins its sender no more time
            seat.leader_heard, seat.retry_at = now, now + SILENCE + timedelta(seconds=seat.draw.uniform(0.1, 0.5))
        seat.promised, seat.role, seat.leader = ballot, "idle", None
        return [("disk", FILE, (("promise", ballot),), ("accord_synced", "stopped", ballot, address, delivered))]

    def _stopped(self, message, ballot, now):
        seat, (address, delivered) = self.seat, message[3:]
        if ballot != seat.promised:
            return []
        answer = ("stopped", ballot, seat.view, seat.delivered, seat.chain.end, *seat.chain.tail(delivered))
        return [("tell", address, answer)]

    def _on_install(self, sender, address, body, now):
        _, ballot, members, first, entries, image = body
        seat, ballot = self.seat, tuple(ballot)
        if ballot < seat.promised or ballot == seat.view or seat.name not in members:
            return []
        out = seat.adopt(image) if image is not None else []
        if first > seat.chain.end + 1:
            return []
        seat.chain.cut(first - 1)
        seat.chain.extend(first, entries)
        seat.promised = seat.view = ballot
        seat.members, seat.leader, seat.leader_heard, seat.role = tuple(members), sender, now, "joining"
        return out + seat.rewrite(("accord_synced", "installed", ballot, address, seat.chain.end))

    def _installed(self, message, ballot, now):
        seat = self.seat
        if not ballot == seat.view == seat.promised:
            return []
        seat.role, seat.synced, seat.leader_heard = "member", message[4], now
        return [("tell", message[3], ("installed", ballot)), ("view", seat.view, seat.members)]

    # the one who leads ----------------------------------------------------------

    def _on_grow(self, sender, address, body, now):
        _, ballot, first, entries, committed = body
        seat = self.seat
        if tuple(ballot) != seat.view or seat.view != seat.promised or seat.role != "member":
            return []
        seat.leader_heard = now
        before = seat.chain.end
        seat.chain.extend(first, entries)
        out = seat.deliver(min(committed, seat.synced))
        if seat.chain.end == before:
            return out + [("tell", address, ("grew", seat.view, seat.synced))]
        fresh = tuple(entry.decode() for entry in seat.chain.since(before + 1))
        return out + [
            (
                "disk",
                FILE,
                (("grow", before + 1, fresh),),
                ("accord_synced", "grown", seat.view, address, seat.chain.end),
            )
        ]

    def _grown(self, message, ballot, now):
        seat = self.seat
        if not ballot == seat.view == seat.promised:
            return []
        seat.synced = max(seat.synced, message[4])
        return [("tell", message[3], ("grew", ballot, seat.synced))]

    def _on_beat(self, sender, address, body, now):
        _, ballot, committed, is_fresh, members = body
        seat, ballot = self.seat, tuple(ballot)
        if not seat.blank and (ballot < seat.view or sender not in seat.roster):
            return [("tell", address, ("beat_ack", ballot, seat.promised, seat.chain.end, seat.blank))]
        seat.leader_heard, seat.leader = now, sender
        out = [("beacon", address)]  # a leader beats at our address, whoever it takes us for
        if ballot == seat.view == seat.promised and seat.role in ("idle", "asking"):
            seat.role = "member"  # §4.3: it doubted this leader, or was started anew; all that it ever acked is synced
        if ballot == seat.view == seat.promised and seat.role == "member":
            if is_fresh:
                seat.fresh_at = now
            out += seat.deliver(min(committed, seat.synced))
        return out + [("tell", address, ("beat_ack", ballot, seat.promised, seat.synced, seat.blank))]

    def _on_yield(self, sender, address, body, now):
        """§4.5: the leader steps back; nobody need wait for its silence."""
        seat = self.seat
        if sender == seat.leader and tuple(body[1]) == seat.view and seat.role == "member":
            seat.leader_heard, seat.retry_at = now - SILENCE, now
        return []
