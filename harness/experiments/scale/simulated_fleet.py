"""A fleet of a given size in virtual time: the real state machines of all nodes over the real codec, with fake servers."""

from collections import Counter
from datetime import timedelta
from random import Random

from harness.experiments.scale.fake_model_server import FakeModelServer
from harness.experiments.scale.mechanism import mechanism_of
from harness.experiments.scale.site import CLUSTER, PLATFORM, SERVICE, Site
from sumachook.configuration.catalogue import read_catalogue
from sumachook.configuration.node_settings import read_node_settings
from sumachook.control_state.effects import ProposeChange
from sumachook.membership.member import LIVE_STATUSES, Member
from sumachook.nodes.core import Core
from sumachook.nodes.edge import Edge
from sumachook.simulation.fake_engine_server import FakeEngineServer
from sumachook.simulation.fleet import Fleet
from sumachook.simulation.platform import Platform
from sumachook.transport.node_message import wire_kind

MAX_DATAGRAM_BYTES = 60_000
BETWEEN_ZONES = "bytes between zones"
STEP = timedelta(seconds=0.25)


class SimulatedFleet(Fleet):
    """A Fleet that counts the messages sent: `traffic[second][role, mechanism, unit]`.

    Servers and the platform get no ticks and no invariants are checked, since this fleet only measures costs and times
    (docs/design/simulation.md).
    """

    __slots__ = ("site", "traffic", "longest")

    def __init__(self, site: Site, seed: int):
        super().__init__(seed, CLUSTER)
        self.site, self.traffic, self.longest = site, {}, Counter()
        engine = next(
            service.engine for service in read_catalogue(site.catalogue(1))[0].services if service.name == SERVICE
        )
        self.add("platform", "platform", lambda box: Platform(site.servers.values()), "", "platform", PLATFORM)
        for name, item in site.servers.items():
            self.add(
                name,
                "server",
                lambda box, name=name: FakeModelServer(FakeEngineServer(name, engine, site.holds[name])),
                item["area"],
                name,
                item["address"],
            )
        for name in site.nodes:
            self._add_node(name)

    def _add_node(self, name):
        role = name.partition("-")[0]
        settings, faults = read_node_settings(self.site.settings(name), role)
        assert settings is not None, faults
        make = {"core": Core, "edge": Edge}[role]
        self.add(
            name,
            role,
            lambda box: make(settings, box.records, box.restart_epochs, box.clock, Random(self.random.random())),
            settings.zone,
            settings.address,
            settings.http_address,
        )

    def _look(self):
        pass

    def _tick(self, box, incarnation):
        if box.role not in ("server", "platform"):
            super()._tick(box, incarnation)

    def _send_message(self, box, address, message, is_cast):
        other = self.by_address.get(address)
        if other is None:
            return
        raw = box.codec.pack(message)
        counts = self.traffic.setdefault(int(self.now.total_seconds()), Counter())
        kind = wire_kind(message)
        mechanism = mechanism_of(kind)
        counts[box.role, mechanism, "messages"] += 1
        counts[box.role, mechanism, "bytes"] += len(raw)
        if box.zone != other.zone:
            counts[box.role, mechanism, BETWEEN_ZONES] += len(raw)
        self.longest[kind] = max(self.longest[kind], len(raw))
        if not is_cast or len(raw) <= MAX_DATAGRAM_BYTES:  # larger datagrams are dropped, as by the node transport
            self._send(box, other, self._receive_message, other, raw)

    # queries and changes ----------------------------------------------------------

    def boxes_of(self, role: str, zone=None) -> list:
        return [box for box in self.boxes.values() if box.role == role and zone in (None, box.zone)]

    def nodes_in(self, zones) -> list:
        return [box.name for box in self.boxes.values() if box.role in ("core", "edge") and box.zone in zones]

    def running(self) -> list:
        return [box for box in self.boxes.values() if box.role in ("core", "edge") and box.machine is not None]

    def leader(self):
        return next(
            (
                box.machine
                for box in self.boxes_of("core")
                if box.machine and box.machine.consensus.role == "leading" and box.machine.consensus.is_fresh(self.now)
            ),
            None,
        )

    def placer(self):
        return next(
            (
                box.machine
                for box in self.boxes_of("core")
                if box.machine and box.machine.leases.holds("placer", self.now)
            ),
            None,
        )

    def fill_member_lists(self):
        """Sets the member list of every node to all running nodes and clears pending gossip.

        This is the state of a fleet that has been up for some minutes.
        """
        updates = {box.machine.node: box.machine.membership.local_member.to_update() for box in self.running()}
        for box in self.running():
            membership = box.machine.membership
            membership.members = {
                node: Member(each, self.now) for node, each in updates.items() if node != box.machine.node
            }
            membership.gossip.clear()

    def count_unaware(self, groups=None) -> int:
        """Counts the running nodes whose live members are not exactly the running nodes of their own group.

        A member counts as known only with its current restart epoch.
        """
        count = 0
        for group in groups or [[box.name for box in self.running()]]:
            boxes = [self.boxes[name] for name in group if self.boxes[name].machine is not None]
            expected = {box.machine.node: box.machine.restart_epoch for box in boxes}
            for box in boxes:
                known = {
                    node: member.restart_epoch
                    for node, member in box.machine.membership.members.items()
                    if member.status in LIVE_STATUSES
                }
                known[box.machine.node] = box.machine.restart_epoch
                count += known != expected
        return count

    def count_stale_edges(self, names=None) -> int:
        """Counts the running edges, all or those in `names`, that do not consider their state fresh."""
        return sum(
            box.machine.follower.trust(self.now) != "fresh"
            for box in self.boxes_of("edge")
            if box.machine and (names is None or box.name in names)
        )

    def count_behind(self, version: int) -> int:
        return sum(box.machine.state.version < version for box in self.running())

    def seconds_until(self, condition, timeout: float):
        """Returns the virtual seconds, in steps of 0.25, until the condition holds, or None after `timeout` seconds."""
        begun = self.now
        while not condition():
            if self.now - begun >= timedelta(seconds=timeout):
                return None
            self.run(STEP.total_seconds())
        return (self.now - begun).total_seconds()

    def traffic_between(self, start: int, end: int) -> dict:
        """Returns {"role mechanism unit": count} of the seconds from `start` to before `end`."""
        total = Counter()
        for second in range(start, end):
            total.update(self.traffic.get(second, {}))
        return {" ".join(key): count for key, count in sorted(total.items())}

    def change(self, version: int):
        """Proposes an operator's change at the leader, if there is one; returns before the change is committed."""
        leader = self.leader()
        if leader is not None:
            doc = {"version": version, "httpRoutes": [self.site.route(100 + version)]}
            box = next(box for box in self.boxes_of("core") if box.machine is leader)
            for effect in leader.take(
                ProposeChange(("configure", f"v{version}", doc, {}, True, version - 1)), self.now
            ):
                self._execute(box, effect)
