"""Steps from the roster that is to the one that should be."""

from sumachook.accord.newcomers import find_gone, find_ready
from sumachook.accord.seat import Seat, most_of


class Mending:
    """Takes ("pulse",) at a leader with nothing under way, and gives the next change of the roster, if any (§4.4).

    One committed step after the other; the view always holds a majority of the roster that a step makes. Out: ("change", change).
    """

    __slots__ = ("seat",)

    def __init__(self, seat: Seat):
        self.seat = seat

    def take(self, message: tuple, now) -> list:
        seat, ready = self.seat, find_ready(self.seat, now)
        if not ready or seat.chain.last_change() > seat.committed:
            return []
        size = len(seat.roster)
        is_askew = size % 2 == 0 and size < seat.wanted_seats
        is_pair = size + 2 <= seat.wanted_seats and len(ready) >= 2
        if (is_askew or is_pair) and len(seat.members) >= most_of(size + 1 if is_askew else size + 2):
            return [("change", ("seat-in", *next(iter(ready.items()))))]
        lost = self._lost(now)
        return [("change", ("seat-out", lost))] if lost and size >= 3 else []

    def _lost(self, now):
        """The seat to be replaced: one whose disk is gone, else the one that is away longest, or None."""
        seat, gone = self.seat, find_gone(self.seat, now)
        away = {name: now - seat.heard_from.setdefault(name, now) for name in seat.roster if name not in seat.members}
        lost = [name for name in away if name in gone or away[name] > seat.away_for]
        return max(lost, key=lambda name: (name in gone, away[name], name), default=None)
