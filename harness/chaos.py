"""python -m harness.chaos FIRST LAST: three cores alone under dense faults; no change acknowledged is lost, none delivered twice over."""

import argparse
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from random import Random

from sumachook.accord import Accord
from sumachook.guise.city import City, Town
from sumachook.role.core import Core
from tests.scene import EXAMPLES, leader


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
    names = [box.name for box in town.boxes.values() if box.role == "core"]
    name = draw.choice(names)
    box, rest = town.boxes[name], [other for other in names if other != name]
    kind = draw.choice(("kill", "freeze", "cut", "one way", "deaf", "stall", "slow"))
    ends = town.now + timedelta(seconds=draw.uniform(0.1, 4))
    if kind == "kill" and box.machine is not None:
        town.kill(name)
        undo.append((ends, lambda: box.machine is None and town.start(name)))
    elif kind == "freeze" and box.machine is not None and not box.isFrozen:
        town.freeze(name)
        undo.append((ends, lambda: box.isFrozen and town.wake(name)))
    elif kind in ("cut", "one way", "deaf"):
        cuts = {(name, other) for other in rest} if kind != "deaf" else set()
        cuts |= {(other, name) for other in rest} if kind != "one way" else set()
        town.cuts |= cuts
        undo.append((ends, lambda: town.cuts.difference_update(cuts)))
    elif kind == "stall":
        box.disk.stalledUntil = ends
    elif kind == "slow":
        box.disk.delay = timedelta(seconds=draw.uniform(0.002, 0.3))


def play(seed: int, seconds: float = 60.0):
    """(seed, changes acknowledged, changes delivered, faults) of one run; odd seeds rewrite the log every 12 entries."""
    bound, Accord.MOST_ENTRIES = Accord.MOST_ENTRIES, 12 if seed % 2 else Accord.MOST_ENTRIES
    try:
        return _play(seed, seconds)
    finally:
        Accord.MOST_ENTRIES = bound


def _play(seed, seconds):
    Logged.book, Logged.faults = {}, []
    town, draw, undo, acked = Town(City(EXAMPLES / "kosice"), seed, edges=0), Random(seed), [], []
    for box in town.boxes.values():
        if box.role == "core":
            make = box.make
            box.make = lambda box, make=make: _as_logged(make(box))
            town.kill(box.name)
            town.start(box.name)
    town.run_until(lambda: leader(town) is not None, 15)
    assert town.ask("core-1", "POST", "/operator/apply", {"request": "first", "doc": town.city.catalogue})[0] == 200
    operator, asked, end, number = town.boxes["operator"].machine, {}, town.now + timedelta(seconds=seconds), 0
    while town.now < end:
        if draw.random() < 0.5:
            _trouble(town, draw, undo)
        number += 1
        core = draw.choice([box for box in town.boxes.values() if box.role == "core"])
        doc = {"request": f"c{number}", "part": True, "doc": {"routes": [{"name": f"c{number}", "target": "refund-01"}]}}
        asked[operator.ask(f"http://{core.door}/operator/apply", "POST", doc)] = f"c{number}"
        town.run(draw.uniform(0.05, 0.8))
        due, undo = [item for item in undo if item[0] <= town.now], [item for item in undo if item[0] > town.now]
        for _, stop in due:
            stop()
    for _, stop in undo:
        stop()
    town.heal()
    for box in town.boxes.values():
        box.disk.delay, box.disk.stalledUntil = timedelta(seconds=0.002), town.now
    isBack = town.run_until(lambda: leader(town) is not None and len(leader(town).accord.members) == 3, 60)
    town.run(8)  # the longest that an order may still be proposed again
    town.run_until(lambda: len({core.state.number for core in town.machines("core")}) == 1, 20)
    acked = [name for place, name in asked.items() if operator.answers.get(place, (0,))[0] == 200]
    faults = list(Logged.faults) + ([] if isBack else ["no view of all three after the calm"])
    for core in town.machines("core"):
        names = {route.name for route in core.state.catalogue.routes}
        faults += [f"{core.node} lacks {name}, which was acknowledged" for name in acked if name not in names]
    return seed, len(acked), len(Logged.book), faults


def _as_logged(core):
    core.__class__ = Logged
    return core


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.chaos", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int, help="at most 5000 seeds after the first")
    given = parser.parse_args()
    seeds, bad, acked, delivered = range(given.first, min(given.last, given.first + 5000) + 1), 0, 0, 0
    with ProcessPoolExecutor(8) as pool:
        for seed, acks, entries, faults in pool.map(play, seeds):
            bad, acked, delivered = bad + bool(faults), acked + acks, delivered + entries
            if faults:
                print(seed, faults[:5], flush=True)
    print(f"{len(seeds)} runs, {acked} changes acknowledged, {delivered} delivered, {bad} runs with faults")
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
