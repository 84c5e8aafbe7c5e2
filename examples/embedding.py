"""Three seats that agree on the order of changes, with nothing but the coordination parts.

`Accord` is a machine: you bring the clock, the wire and the disk. Here all three are a few lines; in a program of yours
they would be sockets and a `vault.Folder`.

>>> for number, texts in sorted(main().items()):
...     print(number, texts)
3 {'plums'}
4 {'pears'}
"""

from datetime import timedelta
from random import Random

from sumachook.accord import Accord
from sumachook.transport.codec import read_entry

ADDRESSES = ("a:1", "b:1", "c:1")
STEP = timedelta(seconds=0.05)


class Seat:
    """One seat with a disk that is a list, and what was delivered to it."""

    __slots__ = ("address", "machine", "disk", "delivered")

    def __init__(self, address):
        self.address, self.disk, self.delivered = address, [], {}
        self.machine = Accord(
            f"seat-{address[0]}", address, ADDRESSES, Random(address), lambda: list(self.delivered.items())
        )

    def take(self, message, now):
        """Hands one message to the machine; gives what is to be told to others as (address, message)."""
        told, work = [], [message]
        while work:
            for effect in self.machine.take(work.pop(0), now):
                if effect[0] == "tell":
                    told.append(effect[1:])
                elif effect[0] in ("disk", "rewrite"):
                    self.disk = list(effect[2]) if effect[0] == "rewrite" else self.disk + list(effect[2])
                    if effect[3]:
                        work.append(effect[3])  # it is on the disk now
                elif effect[0] == "deliver":
                    self.delivered[effect[1]] = read_entry(effect[2])
        return told


def main():
    """Founds a roster, orders two changes from two seats, and gives {number: texts as each seat has them}."""
    seats, now = {address: Seat(address) for address in ADDRESSES}, timedelta(0)
    wanted = [("a:1", "plums"), ("b:1", "pears")]
    for step in range(80):
        now += STEP
        post = [(seat, *told) for seat in seats.values() for told in seat.take(("pulse", ADDRESSES), now)]
        if step % 20 == 19 and wanted:
            address, text = wanted.pop(0)
            post += [(seats[address], *told) for told in seats[address].take(("propose", ("note", text)), now)]
        while post:
            sender, address, message = post.pop(0)
            heard = ("heard", sender.machine.seat.name, sender.address, message)
            post += [(seats[address], *told) for told in seats[address].take(heard, now)]
    notes = {}
    for seat in seats.values():
        for number, change in seat.delivered.items():
            if change[0] == "note":
                notes.setdefault(number, set()).add(change[1])
    assert all(len(seat.delivered) == 4 for seat in seats.values())
    return notes


if __name__ == "__main__":
    print(main())
