"""What a blank seat does."""

from sumachook.accord.seat import Seat
from sumachook.accord.timing import ASK_AGAIN, GAP
from sumachook.transport.codec import pack_entry


class Founding:
    """Takes (message, now): a blank seat tells every core it knows of; three that were named as founders may found (§4.2).

    In: ("pulse", addresses of cores), ("heard", ..., ("blank", seat)), ("beacon", address of a leader).
    Out: ("tell", ...), ("start", first record, None).
    """

    __slots__ = ("seat", "blanks", "tell_at", "beacon_at")

    def __init__(self, seat: Seat, now):
        self.seat, self.blanks, self.tell_at, self.beacon_at = seat, {}, now, None

    def take(self, message: tuple, now) -> list:
        if message[0] == "heard":
            self.blanks[message[2]] = (message[1], now)
        elif message[0] == "beacon":
            self.beacon_at = message[1]
        elif now >= self.tell_at:
            return self._tell(message[1], now)
        return []

    def _tell(self, cores, now):
        seat, self.tell_at = self.seat, now + ASK_AGAIN
        known = dict.fromkeys((*seat.founding, *cores, self.beacon_at))
        out = [("tell", address, ("blank", seat.name)) for address in known if address not in (None, seat.address)]
        ready = {address: name for address, (name, at) in self.blanks.items() if now - at < GAP}
        ready[seat.address] = seat.name
        founders = {
            address: ready[address] for address in seat.founding if address in ready
        }  # blank ones beyond them join later
        is_whole = len(seat.founding) == 3 and set(founders) == set(seat.founding)
        if is_whole and seat.name == min(founders.values()):
            seat.chain.extend(1, [pack_entry(("found", {name: address for address, name in founders.items()}))])
            out.append(("start", ("grow", 1, tuple(entry.decode() for entry in seat.chain.entries)), None))
        return out
