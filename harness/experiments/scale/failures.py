"""python -m harness.experiments.scale.failures NODES STORY: runs a large failure in a fleet of that size in virtual time
and prints the recovery times and the traffic as JSON.
"""

import json
import sys
import time
from datetime import timedelta

from harness.experiments.scale.simulated_fleet import SimulatedFleet
from harness.experiments.scale.site import Site
from harness.experiments.scale.size import REGIONS, Size
from sumachook.control_state.effects import ProposeChange
from sumachook.membership.member import MemberStatus
from sumachook.membership.membership import Membership

SETTLE_TIMEOUT_S, REST_S, MIN_PHASE_S, MAX_PHASE_S = 20.0, 6, 5.0, 40.0


class Failures:
    """Failure stories: `zone_gone`, `regions_apart`, `restarts` and `all_start`.

    Each records the virtual seconds until its convergence conditions hold and the traffic of its phases.
    """

    __slots__ = ("fleet", "version", "results", "rest", "running")

    def __init__(self, size: Size, seed: int):
        self.fleet, self.version, self.results, self.rest = (
            SimulatedFleet(Site(size), seed),
            1,
            {"nodes": size.nodes},
            {},
        )
        self.running = {role: len(self.fleet.boxes_of(role)) for role in ("edge", "core")}

    def take(self, story: str) -> dict:
        begun = time.process_time()
        if story != "all_start":
            self._settle()
        getattr(self, story)()
        longest = {kind: size for kind, size in self.fleet.longest.items() if size > 1400}
        return self.results | {
            "story": story,
            "longest": longest,
            "running": self.running,
            "processorSeconds": round(time.process_time() - begun),
        }

    def _is_settled(self) -> bool:
        fleet = self.fleet
        is_known = not fleet.count_unaware() and not fleet.count_stale_edges() and not fleet.count_behind(1)
        return is_known and fleet.placer() is not None

    def _settle(self):
        """Brings the fleet to the state after a long uptime and measures its traffic at rest.

        Then there is a leader and a placer, and all nodes have the catalogue and know each other.
        """
        fleet = self.fleet
        assert fleet.seconds_until(lambda: fleet.leader() is not None, SETTLE_TIMEOUT_S) is not None
        self._configure()
        fleet.fill_member_lists()
        self.results["settled"] = fleet.seconds_until(self._is_settled, MAX_PHASE_S)
        fleet.fill_member_lists()
        start = self._advance_to_second()
        fleet.run(REST_S)
        self.rest = fleet.traffic_between(start, self._advance_to_second())
        self.results["rest"] = {"seconds": REST_S, "traffic": self.rest}

    def _configure(self):
        leader = self.fleet.leader()
        box = next(box for box in self.fleet.boxes_of("core") if box.machine is leader)
        for effect in leader.take(
            ProposeChange(("configure", "v1", self.fleet.site.catalogue(1), {}, False, 0)), self.fleet.now
        ):
            self.fleet._execute(box, effect)

    def _advance_to_second(self) -> int:
        """Advances to the next whole second, as traffic is counted per second, and returns it."""
        rest = -self.fleet.now.total_seconds() % 1.0
        if rest:
            self.fleet.run(rest)
        return int(self.fleet.now.total_seconds())

    def _run_phase(self, name: str, conditions: dict):
        """Runs until all conditions hold, at least 5 and at most 40 seconds.

        Records since when each condition has held, None if it does not, and the traffic of the phase.
        """
        fleet, start, since = self.fleet, self._advance_to_second(), {}
        begun = fleet.now
        while fleet.now - begun < timedelta(seconds=MAX_PHASE_S) and (
            len(since) < len(conditions) or fleet.now - begun < timedelta(seconds=MIN_PHASE_S)
        ):
            fleet.run(0.25)
            for what, holds in conditions.items():
                if not holds():
                    since.pop(what, None)
                else:
                    since.setdefault(what, (fleet.now - begun).total_seconds())
        self.results[name] = self._traffic(start) | {"reached": {what: since.get(what) for what in conditions}}

    def _traffic(self, start: int) -> dict:
        """Returns the traffic since `start` and that of the second with the most bytes."""
        fleet, end = self.fleet, self._advance_to_second()
        peak = max(
            range(start, end),
            key=lambda second: sum(count for key, count in fleet.traffic.get(second, {}).items() if key[2] == "bytes"),
        )
        return {
            "seconds": end - start,
            "traffic": fleet.traffic_between(start, end),
            "peak": fleet.traffic_between(peak, peak + 1),
        }

    def _change(self):
        self.version += 1
        self.fleet.change(self.version)

    # stories --------------------------------------------------------------------

    def zone_gone(self):
        """Removes all nodes and servers of the leader's zone, and two seconds later its servers from the inventory.

        After convergence, all of them are started again.
        """
        fleet = self.fleet
        zone = next(box.zone for box in fleet.boxes_of("core") if box.machine is fleet.leader())
        nodes = fleet.nodes_in((zone,))
        servers = [box.name for box in fleet.boxes_of("server", zone)]
        self.results["lost"] = {"nodes": len(nodes), "servers": len(servers)}
        self._advance_to_second()
        for name in [*nodes, *servers]:
            fleet.vanish(name)
        platform = fleet.boxes["platform"].machine
        remaining = {name: item for name, item in platform.servers.items() if name not in servers}
        whole, platform.servers = platform.servers, platform.servers
        fleet._later(timedelta(seconds=2), setattr, platform, "servers", remaining)
        survivors = [box.name for box in fleet.running()]
        self._run_phase(
            "gone",
            {
                "a view works": lambda: fleet.leader() is not None,
                "the placing duty is held": lambda: fleet.placer() is not None,
                "every edge is fresh": lambda: not fleet.count_stale_edges(),
                "the list is everywhere": lambda: all(
                    len(box.machine.state.servers) == len(remaining) for box in fleet.running()
                ),
                "everybody knows who is gone": lambda: not fleet.count_unaware([survivors]),
            },
        )
        platform.servers = whole
        for name in [*servers, *nodes]:
            fleet.start(name)
        self._run_phase(
            "back",
            {
                "every edge is fresh": lambda: not fleet.count_stale_edges(),
                "everybody knows everybody": lambda: not fleet.count_unaware(),
                "the list is everywhere": lambda: all(
                    len(box.machine.state.servers) == len(whole) for box in fleet.running()
                ),
            },
        )

    def regions_apart(self):
        """Partitions the two regions, and heals the partition after dead members have been forgotten.

        Simulates an hour in a shorter time: members are forgotten after six seconds instead of ten minutes, and the
        eleven changes of an hour are made during the partition.
        """
        fleet = self.fleet
        Membership.FORGET_AFTER = timedelta(seconds=6)
        north, south = (fleet.nodes_in(zones) for zones in REGIONS.values())
        self._advance_to_second()
        apart = {
            name: [box.name for box in fleet.boxes.values() if box.zone in zones] for name, zones in REGIONS.items()
        }
        fleet.cut(apart["north"], apart["south"])
        majority = max((north, south), key=lambda nodes: sum(name.startswith("core-") for name in nodes))
        self._run_phase(
            "apart",
            {
                "a view works": lambda: fleet.leader() is not None,
                "the edges of the majority's side are fresh": lambda: not fleet.count_stale_edges(majority),
                "each side knows just itself": lambda: not fleet.count_unaware([north, south]),
            },
        )
        for _ in range(11):
            self._change()
            fleet.run(1.0)
        self.results["forgotten"] = not any(
            member.status == MemberStatus.GONE
            for box in fleet.running()
            for member in box.machine.membership.members.values()
        )
        self.results["behind"] = fleet.count_behind(self.version)
        self._advance_to_second()
        fleet.heal()
        self._run_phase(
            "healed",
            {
                "every edge is fresh": lambda: not fleet.count_stale_edges(),
                "every change is everywhere": lambda: not fleet.count_behind(self.version),
                "everybody knows everybody": lambda: not fleet.count_unaware(),
            },
        )

    def all_start(self):
        """Starts all nodes at once, each with three seed addresses; no node fails."""
        fleet = self.fleet
        fleet.seconds_until(lambda: fleet.leader() is not None, SETTLE_TIMEOUT_S)
        self._configure()
        self.results["rest"] = {"seconds": 1, "traffic": {}}
        pairs = len(fleet.running()) * (len(fleet.running()) - 1)

        def knows(share):
            return lambda: sum(len(box.machine.membership.live) for box in fleet.running()) >= share * pairs

        self._run_phase(
            "beginning",
            {
                "every edge is fresh": lambda: not fleet.count_stale_edges(),
                "9 in 10 of all pairs know each other": knows(0.9),
                "99 in 100": knows(0.99),
                "999 in 1000": knows(0.999),
                "all": lambda: not fleet.count_unaware(),
            },
        )
        self.results["beginning"]["news waiting"] = max(len(box.machine.membership.gossip) for box in fleet.running())

    def restarts(self):
        """Makes 150 restarts, those of a day, in 50 seconds: three edges at a time, each down for 0.9 s."""
        fleet = self.fleet
        edges = [box.name for box in fleet.boxes_of("edge")]
        chosen = [edges[place * len(edges) // 150 % len(edges)] for place in range(150)]
        start = self._advance_to_second()
        for turn in range(50):
            batch = chosen[turn * 3 : turn * 3 + 3]
            for name in batch:
                fleet.kill(name)
                fleet._later(timedelta(seconds=0.9), fleet.start, name)
            fleet.run(1.0)
        self.results["during"] = self._traffic(start)
        self._run_phase(
            "after",
            {
                "every edge is fresh": lambda: not fleet.count_stale_edges(),
                "everybody knows everybody": lambda: not fleet.count_unaware(),
            },
        )


if __name__ == "__main__":
    print(json.dumps(Failures(Size(int(sys.argv[1])), 7).take(sys.argv[2])))
