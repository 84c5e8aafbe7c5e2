"""Who asks for a seat."""

from sumachook.accord.seat import Seat
from sumachook.accord.timing import ASK_AGAIN, GAP, STEADY


class Newcomers:
    """Takes (message, now): notes who asks for a seat, and asks for one where this seat may have lost its own (§4.4).

    In: ("pulse", addresses of cores), ("heard", ..., ("blank", seat) or ("stand", seat, address)). Out: ("tell", ...).
    """

    __slots__ = ("seat", "tell_at")

    def __init__(self, seat: Seat, now):
        self.seat, self.tell_at = seat, now

    def take(self, message: tuple, now) -> list:
        if message[0] == "heard":
            _, sender, address, body = message
            newcomer, its_address = body[1:] if body[0] == "stand" else (sender, address)
            return self._note(sender, newcomer, its_address, now)
        if now >= self.tell_at and self.seat.is_forlorn(now):
            return self._stand(message[1], now)
        return []

    def _note(self, sender, newcomer, its_address, now):
        """A member tells its leader too, whom the newcomer need not know."""
        seat, roster = self.seat, self.seat.roster
        if seat.blank or newcomer in roster:
            return []
        seat.newcomers = {name: item for name, item in seat.newcomers.items() if now - item[1] < GAP}
        seat.newcomers[newcomer] = (seat.newcomers.get(newcomer, (now,))[0], now, its_address)
        is_relay = seat.role == "member" and sender == newcomer and seat.leader in roster
        return [("tell", roster[seat.leader], ("stand", newcomer, its_address))] if is_relay else []

    def _stand(self, cores, now):
        """Who hears no leader may have been removed meanwhile, and offers itself to all the cores it knows of."""
        seat, self.tell_at = self.seat, now + ASK_AGAIN
        known = dict.fromkeys((*cores, *seat.others.values()))
        return [("tell", address, ("stand", seat.name, seat.address)) for address in known if address != seat.address]


def find_ready(seat: Seat, now) -> dict:
    """The newcomers that have been heard steadily, first come first: seat -> address."""
    steady = [
        (first, name, address)
        for name, (first, last, address) in seat.newcomers.items()
        if now - last < GAP and last - first >= STEADY
    ]
    return {name: address for _, name, address in sorted(steady) if name not in seat.roster}


def find_gone(seat: Seat, now) -> set:
    """The seats at whose address another speaks by now, so that their disk is gone (§4.4)."""
    taken = set(find_ready(seat, now).values())
    return {name for name, address in seat.roster.items() if address in taken and name != seat.name}
