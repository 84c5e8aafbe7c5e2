"""Simulated deployment of cores, feed followers and operators for the model checker."""

from random import Random

from harness.model_checking import observe
from harness.model_checking.invariants import InvariantChecker
from harness.model_checking.operators import Operators
from sumachook.changefeed.events import FollowerTick
from sumachook.changefeed.follower import Follower
from sumachook.changefeed.messages import FOLLOWER_MESSAGES
from sumachook.control_state.state import State
from sumachook.host.effects import Send
from sumachook.host.events import MessageReceived, Tick
from sumachook.simulation.deployment import Deployment, DeploymentSpec

ZONES = ("hall-a", "hall-b", "hall-c")
MAX_SEEDS = 3
FOLLOWER_NAMES = ("follower-1", "follower-2")
SETTINGS = {"voter_away": 1.6, "confirm_within": 0.8, "order_within": 3.5, "fenced": True, "list_readers": "leader"}


class CoresOnly(DeploymentSpec):
    """Specification of a deployment with three cores and without servers or traffic."""

    __slots__ = ()

    def __init__(self):
        self.catalogue, self.servers, self.traffic, self.cluster, self.platform = {}, [], [], "model", "127.0.0.9:9"
        self.nodes = [core_node(number) for number in (1, 2, 3)]


def core_node(number: int) -> dict:
    """Returns the node settings of the core with this number."""
    return {
        "name": f"core-{number:02}",
        "role": "core",
        "area": ZONES[number % 3],
        "address": f"127.0.0.9:{17000 + number}",
        "door": f"127.0.0.9:{27000 + number}",
    }


class FeedFollower:
    """Follows the change feed as an edge does, and reports its state to the invariant checker."""

    __slots__ = ("follower", "addresses_of", "invariants", "node")

    def __init__(self, node, addresses_of, invariants, random, now):
        self.node, self.addresses_of, self.invariants = node, addresses_of, invariants
        self.follower = Follower(State(), random, now)

    def take(self, event, now) -> list:
        """Passes a tick or a feed message to the follower and returns the messages to send; ignores other events."""
        if isinstance(event, Tick):
            out = self.follower.take(FollowerTick(self.addresses_of(), 0), now)
        elif isinstance(event, MessageReceived) and isinstance(event.message, FOLLOWER_MESSAGES):
            out = self.follower.take(event, now)
        else:
            return []
        self.invariants.feed_advanced(self.node, self.follower.number, self.follower.state, now)
        return [effect for effect in out if isinstance(effect, Send)]


class ControlDeployment(Deployment):
    """Cores, followers of their feed and operators; the invariant checker sees every change that a core delivers and
    every state that a core reports as fresh.
    """

    __slots__ = ("invariants", "names", "operators", "identities", "machine_count", "state_class")

    def __init__(self, seed: int, voters: int):
        self.invariants, self.names, self.identities, self.machine_count = InvariantChecker(), [], {}, 3
        self.state_class = _recorded_state_class(self)
        super().__init__(CoresOnly(), seed, 0, wanted_voters=voters, **SETTINGS)
        self.operators = Operators(self._http_address_of, self.invariants)
        self.add("operators", "operator", lambda box: self.operators, "", "", "operators")
        for name in FOLLOWER_NAMES:
            self._add_follower(name)

    def _add_follower(self, name):
        def make(box):
            return FeedFollower(name, self._core_addresses, self.invariants, Random(self.random.random()), self.now)

        self.add(name, "follower", make, ZONES[0], f"{name}:1", f"{name}:door")

    def add_node(self, node, **more):
        """Adds a core that reports its deliveries to the invariant checker."""
        self.names.append(node["name"])
        box = super().add_node(node, **more)
        make = box.make
        box.make = lambda box: self._record(box, make(box))
        self.kill(box.name)
        box.disk.wipe()
        self.start(box.name)
        return box

    def _record(self, box, core):
        core.state.__class__ = self.state_class
        core.membership.seeds = self._core_addresses()[:MAX_SEEDS]  # the platform names only existing machines as seeds
        self.identities[box.name] = core.node
        return core

    def add_machine(self) -> str:
        """Adds a core with an empty disk at an unused address and returns its name."""
        self.machine_count += 1
        return self.add_node(core_node(self.machine_count), founding=[]).name

    def wipe(self, name):
        """Erases the disk of a stopped machine."""
        self.boxes[name].disk.wipe()
        self.identities.pop(name, None)

    def remove(self, name):
        """Removes the machine permanently."""
        self.vanish(name)
        self.names.remove(name)
        self.identities.pop(name, None)

    def partitionable(self, *but) -> list:
        """Returns the names of all cores and followers, which a network partition can separate, except `but`."""
        return [name for name in (*self.names, *FOLLOWER_NAMES) if name not in but]

    # selection of machines ---------------------------------------------------------------------

    def cores(self) -> list:
        """Returns the state machines of the cores whose process runs and is not suspended."""
        boxes = [self.boxes[name] for name in self.names]
        return [box.machine for box in boxes if box.machine is not None and not box.is_frozen]

    def leader(self):
        """Returns the core that leads with a valid lease, or None."""
        return next(
            (core for core in self.cores() if observe.is_leading(core) and observe.is_fresh(core, self.now)), None
        )

    def name_of(self, selector: str) -> str:
        """Resolves a machine selector of a choice; falls back to the first machine if no machine matches."""
        if selector.isdecimal():
            return self.names[int(selector) % len(self.names)]
        named = [name for name in self.names if self._is_named(self.boxes[name], selector)]
        return named[0] if named else self.names[0]

    def _is_named(self, box, selector):
        """Whether this machine leads (selector "leader") or holds the lease of the role that the selector names."""
        if box.machine is None:
            return False
        return (
            observe.is_leading(box.machine) if selector == "leader" else observe.holds(box.machine, selector, self.now)
        )

    def _http_address_of(self, selector):
        return self.boxes[self.name_of(selector)].http_address

    def _core_addresses(self):
        return tuple(self.boxes[name].address for name in self.names)

    def _deliver(self, box, message):
        super()._deliver(box, message)
        if box.role == "core" and box.machine is not None and not box.is_frozen:
            self.invariants.check_core(box.machine, self.now)


def _recorded_state_class(deployment):
    """Returns a subclass of State that reports each applied change and restored snapshot to the invariant checker."""

    class RecordedState(State):
        __slots__ = ()

        def apply(self, number, change):
            result = super().apply(number, change)
            deployment.invariants.delivered("a core", number, change, self, deployment.now)
            return result

        def restore(self, snapshot):
            super().restore(snapshot)
            deployment.invariants.restored("a core", self.number, self, deployment.now)

    return RecordedState
