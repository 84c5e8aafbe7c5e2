"""python -m harness.chaos FIRST LAST [--seats N]: cores alone under dense faults; no change acknowledged is lost, none delivered twice
over. With --seats, machines and disks are lost for good as well, never more at once than the seats bear."""

import argparse
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from functools import partial
from random import Random

from sumachook.accord.seat import Seat
from sumachook.nodes.core import Core
from sumachook.simulation.city import City, Town
from tests.scene import EXAMPLES, leader

CATCH_UP = timedelta(seconds=4)  # a lost machine counts as lost until so long after the start of what replaces it


class Logged(Core):
    """A core whose deliveries are noted outside, in one book for the whole town."""

    __slots__ = ()
    book, faults = {}, []

    def _deliver(self, message, now):
        _, number, entry = message
        if self.book.setdefault(number, entry) != entry:
            self.faults.append(f"{self.node} delivers another change {number}")
        if number != self.state.number + 1:
            self.faults.append(f"{self.node} delivers {number} after {self.state.number}")
        return super()._deliver(message, now)


def _trouble(town, draw, undo):
    """One fault among the cores, with what ends it."""
    names = [box.name for box in town.boxes.values() if box.role == "core" and not box.is_gone]
    name = draw.choice(names)
    box, rest = town.boxes[name], [other for other in names if other != name]
    kind = draw.choice(("kill", "freeze", "cut", "one way", "deaf", "stall", "slow"))
    ends = town.now + timedelta(seconds=draw.uniform(0.1, 4))
    if kind == "kill" and box.machine is not None:
        town.kill(name)
        undo.append((ends, lambda: box.machine is None and not box.is_gone and town.start(name)))
    elif kind == "freeze" and box.machine is not None and not box.is_frozen:
        town.freeze(name)
        undo.append((ends, lambda: box.is_frozen and town.wake(name)))
    elif kind in ("cut", "one way", "deaf"):
        cuts = {(name, other) for other in rest} if kind != "deaf" else set()
        cuts |= {(other, name) for other in rest} if kind != "one way" else set()
        town.cuts |= cuts
        if draw.random() < 0.5:
            town.holding |= cuts  # what is sent meanwhile comes late
        undo.append((ends, lambda: town.heal(cuts)))
    elif kind == "stall":
        box.disk.stalled_until = ends
    elif kind == "slow":
        box.disk.delay = timedelta(seconds=draw.uniform(0.002, 0.3))


def _is_whole(town, seats) -> bool:
    core, running = leader(town), {core.node for core in town.machines("core")}
    return core is not None and len(set(core.accord.members) & running) == len(core.accord.chain.roster()) == seats


def _lose(town, draw, seats):
    """What a platform loses for good: disks, machines, power; as many disks at once as the seats bear, and only of a whole view."""
    roster = leader(town).accord.chain.roster()
    seated = [
        box.name
        for box in town.boxes.values()
        if box.role == "core" and box.machine is not None and box.machine.node in roster
    ]
    names = draw.sample(seated, draw.randint(1, (seats - 1) // 2))
    kind = draw.choice(("empty disk", "new machine", "wipe and power", "power", "cut and new machine"))
    spares = [box for box in town.boxes.values() if box.role == "core" and not box.is_gone and box.name not in seated]
    if kind in ("wipe and power", "power"):
        running = [box.name for box in town.boxes.values() if box.role == "core" and not box.is_gone]
        for name in running:
            town.kill(name)
        for name in names if kind == "wipe and power" else ():
            town.boxes[name].disk.wipe()
        town.run(draw.uniform(0, 0.5))
        for name in running:
            town.start(name)
            town.run(draw.uniform(0, 0.1))
        return
    for name in names:
        if kind == "empty disk":
            town.kill(name)
            town.boxes[name].disk.wipe()
        elif kind == "new machine":
            town.vanish(name)
        else:
            town.cut([name], town.inside(name))
    town.run(draw.uniform(0, 0.5))
    for place, name in enumerate(names):
        if kind == "empty disk":
            town.start(name)
        elif place >= len(spares):
            _add(town)
    if kind == "cut and new machine":
        town.run(draw.uniform(1, 3))
        town.heal()


def _add(town):
    number = 1 + sum(box.role == "core" for box in town.boxes.values())
    node = {
        "name": f"core-{number}",
        "role": "core",
        "area": "hall-a",
        "address": f"127.0.0.9:{17000 + number}",
        "door": f"127.0.0.9:{27000 + number}",
    }
    _dress(town, town.add_node(node, founding=[]))


def _dress(town, box):
    """Starts a core anew as one whose deliveries are noted."""
    make = box.make
    box.make = lambda box: _as_logged(make(box))
    town.kill(box.name)
    box.disk.wipe()
    town.start(box.name)


def play(seed: int, seconds: float = 60.0, seats: int = 0):
    """(seed, changes acknowledged, changes delivered, faults) of one run; odd seeds rewrite the log every 12 entries."""
    bound, Seat.MOST_ENTRIES = Seat.MOST_ENTRIES, 12 if seed % 2 else Seat.MOST_ENTRIES
    try:
        return _play(seed, seconds, seats)
    finally:
        Seat.MOST_ENTRIES = bound


def _play(seed, seconds, seats):
    Logged.book, Logged.faults = {}, []
    more = {"seatAway": 1.5, "wantedSeats": seats} if seats else {}
    town, draw, undo, acked = Town(City(EXAMPLES / "kosice"), seed, edges=0, **more), Random(seed), [], []
    for box in list(town.boxes.values()):
        if box.role == "core":
            _dress(town, box)
    next_loss = CATCH_UP
    town.run_until(lambda: leader(town) is not None, 15)
    for _ in range(seats - 3):
        _add(town)
    assert town.ask("core-1", "POST", "/operator/apply", {"request": "first", "doc": town.city.catalogue})[0] == 200
    operator, asked, end, number = town.boxes["operator"].machine, {}, town.now + timedelta(seconds=seconds), 0
    while town.now < end:
        if draw.random() < 0.5:
            _trouble(town, draw, undo)
        if seats and town.now >= next_loss and _is_whole(town, seats):
            next_loss = town.now + CATCH_UP
            _lose(town, draw, seats)
        number += 1
        core = draw.choice([box for box in town.boxes.values() if box.role == "core" and not box.is_gone])
        doc = {
            "request": f"c{number}",
            "part": True,
            "doc": {"routes": [{"name": f"c{number}", "target": "refund-01"}]},
        }
        asked[operator.ask(f"http://{core.door}/operator/apply", "POST", doc)] = f"c{number}"
        town.run(draw.uniform(0.05, 0.8))
        due, undo = [item for item in undo if item[0] <= town.now], [item for item in undo if item[0] > town.now]
        for _, stop in due:
            stop()
    for _, stop in undo:
        stop()
    town.heal()
    for box in town.boxes.values():
        box.disk.delay, box.disk.stalled_until = timedelta(seconds=0.002), town.now
    is_back = town.run_until(lambda: _is_whole(town, seats or 3), 60)
    town.run(8)  # the longest that an order may still be proposed again
    seated = [core for core in town.machines("core") if is_back and core.node in leader(town).accord.chain.roster()]
    town.run_until(lambda: len({core.state.number for core in seated}) == 1, 20)
    acked = [name for place, name in asked.items() if operator.answers.get(place, (0,))[0] == 200]
    faults = list(Logged.faults) + ([] if is_back else ["no view of all seats after the calm"])
    for core in seated or town.machines("core"):
        names = {route.name for route in core.state.catalogue.routes} if core.state.catalogue else set()
        faults += [f"{core.node} lacks {name}, which was acknowledged" for name in acked if name not in names]
    return seed, len(acked), len(Logged.book), faults


def _as_logged(core):
    core.__class__ = Logged
    return core


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.chaos", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int, help="at most 5000 seeds after the first")
    parser.add_argument(
        "--seats", type=int, default=0, choices=(0, 3, 5), help="lose machines and disks too, of so many seats"
    )
    given = parser.parse_args()
    seeds, bad, acked, delivered = range(given.first, min(given.last, given.first + 5000) + 1), 0, 0, 0
    with ProcessPoolExecutor(8) as pool:
        for seed, acks, entries, faults in pool.map(partial(play, seats=given.seats), seeds):
            bad, acked, delivered = bad + bool(faults), acked + acks, delivered + entries
            if faults:
                print(seed, faults[:5], flush=True)
    print(f"{len(seeds)} runs, {acked} changes acknowledged, {delivered} delivered, {bad} runs with faults")
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
