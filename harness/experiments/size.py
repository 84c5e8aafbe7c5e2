"""python -m harness size: a fleet of hundreds of nodes in virtual time, and what it says while much of it fails.

The real state machines of every node run over the real codec, among hollow servers and without clients. Each story
prints how long it took until every edge held its state for fresh again and every node knew the present run of every
other, and the bytes between zones by mechanism. Processor time is not asked for: see `python -m harness scale`.
"""

import argparse
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from itertools import product
from random import Random

from harness.experiments.scale.simulated_fleet import BETWEEN_ZONES, SimulatedFleet
from harness.experiments.scale.site import Site
from harness.experiments.scale.size import ZONES, Size
from harness.run_checks import find_unchecked, seed_range
from sumachook.control_state.effects import ProposeChange

CORES = 5
KILLED_SHARE = 0.6  # of the edges in a herd kill
DOWN_S = 0.9  # until a killed process is started again
TROUBLE_S = 6.0  # that a zone is cut off, or a disk full
STORY_S = 16.0
START_TIMEOUT_S = 30.0
SETTLE_TIMEOUT_S = 40.0
MAX_SEEDS = 100


@dataclass(frozen=True, slots=True)
class StoryResult:
    """What one story came to.

    Attributes
    ----------
    fresh_after_s : seconds until every edge was fresh for the rest of the story, from its last fault on; None: never
    known_after_s : the same until every node knew the present run of every other
    between_zones : {mechanism: bytes} of the story
    """

    story: str
    nodes: int
    seed: int
    fresh_after_s: float | None
    known_after_s: float | None
    between_zones: dict[str, int]

    @property
    def is_recovered(self) -> bool:
        """Whether the fleet came back within the story."""
        return self.fresh_after_s is not None and self.known_after_s is not None

    def faults(self) -> list[str]:
        """Why this story is no success; one in which no node said anything judged nothing."""
        unchecked = find_unchecked({"bytes between zones": sum(self.between_zones.values())})
        return unchecked + ([] if self.is_recovered else ["the fleet did not come back"])

    @property
    def kilobytes_a_node(self) -> float:
        """Between zones, in the whole story."""
        return sum(self.between_zones.values()) / self.nodes / 1e3


class FleetOfSize:
    """A fleet that has been up for a while, and the faults of the stories; each gives the seconds until its last."""

    def __init__(self, nodes: int, seed: int) -> None:
        self.fleet = SimulatedFleet(Site(Size(nodes, CORES)), seed)
        self.random = Random(seed)

    def settle(self) -> None:
        """Starts all nodes, makes the first configuration, and waits until all know it and each other."""
        fleet = self.fleet
        if fleet.seconds_until(lambda: fleet.leader() is not None, START_TIMEOUT_S) is None:
            raise RuntimeError("no leader at the start")
        self._configure()
        fleet.run(1.0)
        fleet.acquaint()
        if fleet.seconds_until(self.is_whole, SETTLE_TIMEOUT_S) is None:
            raise RuntimeError("the fleet did not settle")

    def _configure(self) -> None:
        fleet = self.fleet
        leader = fleet.leader()
        box = next(box for box in fleet.boxes_of("core") if box.machine is leader)
        change = ProposeChange(("configure", "v1", fleet.site.catalogue(1), {}, False, 0))
        for effect in leader.take(change, fleet.now):
            fleet._execute(box, effect)

    def is_fresh(self) -> bool:
        """Whether every edge runs and holds its state for fresh."""
        edges = self.fleet.boxes_of("edge")
        return all(box.machine is not None for box in edges) and not self.fleet.untrusting()

    def is_known(self) -> bool:
        """Whether every node knows the present run of every other."""
        return not self.fleet.unaware()

    def is_whole(self) -> bool:
        """Whether a leader stands, every edge is fresh, and all know each other."""
        return self.fleet.leader() is not None and self.is_fresh() and self.is_known()

    # stories --------------------------------------------------------------------

    def rest(self) -> float:
        """Nothing happens."""
        return 0.0

    def herd_kill(self) -> float:
        """Six tenths of the edges are killed at once."""
        edges = [box.name for box in self.fleet.boxes_of("edge")]
        for name in self.random.sample(edges, round(len(edges) * KILLED_SHARE)):
            self.fleet.kill(name)
            self.fleet._later(timedelta(seconds=DOWN_S), self.fleet.start, name)
        return DOWN_S

    def two_cores(self) -> float:
        """The leader and another core lose their power, and come back later."""
        fleet = self.fleet
        cores = fleet.boxes_of("core")
        leading = next(box.name for box in cores if box.machine is fleet.leader())
        other = self.random.choice([box.name for box in cores if box.name != leading])
        for name in (leading, other):
            fleet.vanish(name)
            fleet._later(timedelta(seconds=TROUBLE_S), fleet.start, name)
        return TROUBLE_S

    def full_disk(self) -> float:
        """The disk of the leader takes nothing for a while."""
        fleet = self.fleet
        box = next(box for box in fleet.boxes_of("core") if box.machine is fleet.leader())
        box.disk.refuses_until = fleet.now + timedelta(seconds=TROUBLE_S)
        return TROUBLE_S

    def cut_zone(self) -> float:
        """All nodes of a zone are cut off from the others."""
        fleet = self.fleet
        zone = self.random.choice(ZONES)
        inside = set(fleet.nodes_in((zone,)))
        outside = [box.name for box in fleet.boxes.values() if box.name not in inside]
        links = fleet.cut(sorted(inside), outside)
        fleet._later(timedelta(seconds=TROUBLE_S), fleet.heal, links)
        return TROUBLE_S

    def leave(self) -> float:
        """A tenth of the edges is told to end, and another process is started in the place of each."""
        edges = [box.name for box in self.fleet.boxes_of("edge")]
        for name in self.random.sample(edges, max(1, len(edges) // 10)):
            self.fleet.stop(name)
            self.fleet._later(timedelta(seconds=TROUBLE_S), self._start_if_ended, name)
        return TROUBLE_S

    def _start_if_ended(self, name: str) -> None:
        if self.fleet.boxes[name].machine is None:
            self.fleet.start(name)


STORIES = ("rest", "herd_kill", "two_cores", "full_disk", "cut_zone", "leave")


def play(story: str, nodes: int, seed: int) -> StoryResult:
    """One story in a fleet of its own."""
    scene = FleetOfSize(nodes, seed)
    scene.settle()
    fleet = scene.fleet
    before = _between_zones(fleet)
    begun_at = fleet.now
    last_fault_s = getattr(scene, story)()
    fresh_since = _Since(scene.is_fresh)
    known_since = _Since(scene.is_known)
    while (elapsed_s := (fleet.now - begun_at).total_seconds()) < STORY_S + last_fault_s:
        fleet.run(0.25)
        for each in (fresh_since, known_since):
            each.look(elapsed_s + 0.25)
    spent = _between_zones(fleet)
    spent.subtract(before)
    return StoryResult(
        story, nodes, seed, fresh_since.after(last_fault_s), known_since.after(last_fault_s), dict(+spent)
    )


class _Since:
    """Since when a condition has held without a break."""

    def __init__(self, holds: Callable[[], bool]) -> None:
        self.holds = holds
        self.since_s: float | None = None

    def look(self, at_s: float) -> None:
        if not self.holds():
            self.since_s = None
        elif self.since_s is None:
            self.since_s = at_s

    def after(self, last_fault_s: float) -> float | None:
        return None if self.since_s is None else max(0.0, round(self.since_s - last_fault_s, 2))


def _between_zones(fleet: SimulatedFleet) -> Counter[str]:
    """{mechanism: bytes} that went from one zone to another so far."""
    spent: Counter[str] = Counter()
    for counts in fleet.traffic.values():
        for (_, mechanism, unit), count in counts.items():
            if unit == BETWEEN_ZONES:
                spent[mechanism] += count
    return spent


def row(result: StoryResult) -> str:
    """One line of the table."""
    largest = sorted(result.between_zones.items(), key=lambda item: -item[1])[:4]
    shares = ", ".join(f"{mechanism} {count / 1e6:.2f}" for mechanism, count in largest)
    total = sum(result.between_zones.values()) / 1e6
    return (
        f"| {result.story} | {result.nodes} | {result.seed} | {_seconds(result.fresh_after_s)} "
        f"| {_seconds(result.known_after_s)} | {total:.2f} | {result.kilobytes_a_node:.1f} | {shares} |"
    )


def _seconds(value: float | None) -> str:
    return "not reached" if value is None else f"{value:.2f}"


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m harness size", description=__doc__)
    parser.add_argument("--nodes", default="50,200", help="sizes, apart by commas (default: 50,200)")
    parser.add_argument("--stories", default=",".join(STORIES), help=f"some of {', '.join(STORIES)}")
    parser.add_argument("--seeds", nargs=2, type=int, default=(1, 1), metavar=("FIRST", "LAST"))
    parser.add_argument("--jobs", type=int, default=2, help="stories that are played at once (default: 2)")
    given = parser.parse_args()
    stories = given.stories.split(",")
    if unknown := set(stories) - set(STORIES):
        parser.error(f"no such story: {', '.join(sorted(unknown))}")
    sizes = [int(nodes) for nodes in given.nodes.split(",")]
    seeds = seed_range(parser, *given.seeds, MAX_SEEDS)
    print(
        "| story | nodes | seed | all edges fresh after, s | all known after, s | MB between zones | KB a node | most, MB |"
    )
    print("|---|---|---|---|---|---|---|---|")
    faulty = 0
    with ProcessPoolExecutor(given.jobs) as pool:
        for result in pool.map(play, *zip(*product(stories, sizes, seeds), strict=True)):
            faults = result.faults()
            faulty += bool(faults)
            print(row(result), *faults, flush=True)
    print(f"{faulty} stories whose fleet did not come back within {STORY_S:.0f} s of the last fault, or said nothing")
    raise SystemExit(1 if faulty else 0)


if __name__ == "__main__":
    main()
