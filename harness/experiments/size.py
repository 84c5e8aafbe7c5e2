"""python -m harness size: recovery time and network traffic of a fleet of hundreds of nodes under large failures.

Runs in virtual time: the real state machines of all nodes over the real codec, with fake servers and no clients. For
each story it prints the time until every edge considered its state fresh again and every node knew the current restart
epoch of every other node, and the bytes between zones by mechanism. Processor time is not measured: see `python -m
harness scale`.
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
KILLED_SHARE = 0.6  # fraction of the edges that herd_kill kills
DOWN_S = 0.9  # seconds until a killed process is restarted
FAULT_S = 6.0  # seconds for which a zone is partitioned, cores are down or a disk is full
STORY_S = 16.0
START_TIMEOUT_S = 30.0
SETTLE_TIMEOUT_S = 40.0
MAX_SEEDS = 100


@dataclass(frozen=True, slots=True)
class StoryResult:
    """Recovery times and traffic of one story.

    Attributes
    ----------
    fresh_after_s : seconds from the last fault until every edge was fresh for the rest of the story; None: never
    known_after_s : the same until every node knew the current restart epoch of every other
    between_zones : {mechanism: bytes} sent between zones during the story
    """

    story: str
    nodes: int
    seed: int
    fresh_after_s: float | None
    known_after_s: float | None
    between_zones: dict[str, int]

    @property
    def is_recovered(self) -> bool:
        """Whether the fleet recovered before the story ended."""
        return self.fresh_after_s is not None and self.known_after_s is not None

    def faults(self) -> list[str]:
        """Returns why this story failed; a story without any traffic between zones checked nothing and fails too."""
        unchecked = find_unchecked({"bytes between zones": sum(self.between_zones.values())})
        return unchecked + ([] if self.is_recovered else ["the fleet did not recover"])

    @property
    def kilobytes_a_node(self) -> float:
        """Kilobytes sent between zones per node during the whole story."""
        return sum(self.between_zones.values()) / self.nodes / 1e3


class FleetOfSize:
    """A settled fleet and the stories that inject faults into it; each returns the seconds until its last fault."""

    def __init__(self, nodes: int, seed: int) -> None:
        self.fleet = SimulatedFleet(Site(Size(nodes, CORES)), seed)
        self.random = Random(seed)

    def settle(self) -> None:
        """Starts all nodes, applies the first configuration and waits until all nodes have it and know each other.

        Raises RuntimeError if no leader is elected or the fleet does not settle in time.
        """
        fleet = self.fleet
        if fleet.seconds_until(lambda: fleet.leader() is not None, START_TIMEOUT_S) is None:
            raise RuntimeError("no leader was elected after the start")
        self._configure()
        fleet.run(1.0)
        fleet.fill_member_lists()
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
        """Whether every edge runs and considers its state fresh."""
        edges = self.fleet.boxes_of("edge")
        return all(box.machine is not None for box in edges) and not self.fleet.count_stale_edges()

    def is_known(self) -> bool:
        """Whether every node knows the current restart epoch of every other."""
        return not self.fleet.count_unaware()

    def is_whole(self) -> bool:
        """Whether there is a leader, every edge is fresh and all nodes know each other."""
        return self.fleet.leader() is not None and self.is_fresh() and self.is_known()

    # stories --------------------------------------------------------------------

    def rest(self) -> float:
        """Injects no fault."""
        return 0.0

    def herd_kill(self) -> float:
        """Kills 60% of the edges at once and restarts each 0.9 s later."""
        edges = [box.name for box in self.fleet.boxes_of("edge")]
        for name in self.random.sample(edges, round(len(edges) * KILLED_SHARE)):
            self.fleet.kill(name)
            self.fleet._later(timedelta(seconds=DOWN_S), self.fleet.start, name)
        return DOWN_S

    def two_cores(self) -> float:
        """Cuts the power of the leader and another core for 6 s."""
        fleet = self.fleet
        cores = fleet.boxes_of("core")
        leading = next(box.name for box in cores if box.machine is fleet.leader())
        other = self.random.choice([box.name for box in cores if box.name != leading])
        for name in (leading, other):
            fleet.vanish(name)
            fleet._later(timedelta(seconds=FAULT_S), fleet.start, name)
        return FAULT_S

    def full_disk(self) -> float:
        """Lets the disk of the leader refuse writes for 6 s."""
        fleet = self.fleet
        box = next(box for box in fleet.boxes_of("core") if box.machine is fleet.leader())
        box.disk.refuses_until = fleet.now + timedelta(seconds=FAULT_S)
        return FAULT_S

    def cut_zone(self) -> float:
        """Partitions all nodes of a random zone from the other zones for 6 s."""
        fleet = self.fleet
        zone = self.random.choice(ZONES)
        inside = set(fleet.nodes_in((zone,)))
        outside = [box.name for box in fleet.boxes.values() if box.name not in inside]
        links = fleet.cut(sorted(inside), outside)
        fleet._later(timedelta(seconds=FAULT_S), fleet.heal, links)
        return FAULT_S

    def leave(self) -> float:
        """Shuts down a tenth of the edges and starts another process in the place of each 6 s later."""
        edges = [box.name for box in self.fleet.boxes_of("edge")]
        for name in self.random.sample(edges, max(1, len(edges) // 10)):
            self.fleet.stop(name)
            self.fleet._later(timedelta(seconds=FAULT_S), self._start_if_ended, name)
        return FAULT_S

    def _start_if_ended(self, name: str) -> None:
        if self.fleet.boxes[name].machine is None:
            self.fleet.start(name)


STORIES = ("rest", "herd_kill", "two_cores", "full_disk", "cut_zone", "leave")


def play(story: str, nodes: int, seed: int) -> StoryResult:
    """Runs one failure story in a new fleet; returns its recovery times and traffic."""
    story_fleet = FleetOfSize(nodes, seed)
    story_fleet.settle()
    fleet = story_fleet.fleet
    before = _between_zones(fleet)
    begun_at = fleet.now
    last_fault_s = getattr(story_fleet, story)()
    fresh = _HoldsSince(story_fleet.is_fresh)
    known = _HoldsSince(story_fleet.is_known)
    while (elapsed_s := (fleet.now - begun_at).total_seconds()) < STORY_S + last_fault_s:
        fleet.run(0.25)
        for each in (fresh, known):
            each.update(elapsed_s + 0.25)
    spent = _between_zones(fleet)
    spent.subtract(before)
    return StoryResult(story, nodes, seed, fresh.after(last_fault_s), known.after(last_fault_s), dict(+spent))


class _HoldsSince:
    """Tracks since when a condition has held without interruption."""

    def __init__(self, holds: Callable[[], bool]) -> None:
        self.holds = holds
        self.since_s: float | None = None

    def update(self, at_s: float) -> None:
        if not self.holds():
            self.since_s = None
        elif self.since_s is None:
            self.since_s = at_s

    def after(self, last_fault_s: float) -> float | None:
        return None if self.since_s is None else max(0.0, round(self.since_s - last_fault_s, 2))


def _between_zones(fleet: SimulatedFleet) -> Counter[str]:
    """Returns {mechanism: bytes sent between zones so far}."""
    spent: Counter[str] = Counter()
    for counts in fleet.traffic.values():
        for (_, mechanism, unit), count in counts.items():
            if unit == BETWEEN_ZONES:
                spent[mechanism] += count
    return spent


def row(result: StoryResult) -> str:
    """Returns the table row of a result."""
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
    parser.add_argument("--nodes", default="50,200", help="fleet sizes, separated by commas (default: 50,200)")
    parser.add_argument(
        "--stories", default=",".join(STORIES), help=f"stories to run, separated by commas: {', '.join(STORIES)}"
    )
    parser.add_argument("--seeds", nargs=2, type=int, default=(1, 1), metavar=("FIRST", "LAST"))
    parser.add_argument("--jobs", type=int, default=2, help="number of stories run concurrently (default: 2)")
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
    print(
        f"{faulty} stories whose fleet did not recover within {STORY_S:.0f} s of the last fault, or sent nothing between zones"
    )
    raise SystemExit(1 if faulty else 0)


if __name__ == "__main__":
    main()
