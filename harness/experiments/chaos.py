"""python -m harness.chaos FIRST LAST [--seats N]: injects frequent faults into a deployment of cores alone and checks a
history recorded outside of them.

Invariants: no acknowledged change is lost, none is delivered twice, at most one leader holds a lease, no core reports a
stale state as fresh, and no read misses a change that was acknowledged before it began. With --seats, machines and
disks are also lost for good: phases of frequent faults that keep all disks alternate with phases in which the machines
lost at once never exceed what N voters tolerate. A lost machine counts as lost until CATCH_UP after its replacement
starts; by then the view must have all its voters again.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from functools import partial
from random import Random

from msgspec.structs import replace

from harness.run_checks import find_unchecked, seed_range
from sumachook.consensus.effects import Deliver, Readable, Unreadable
from sumachook.consensus.events import ReadRequested
from sumachook.consensus.timing import FRESH_FOR
from sumachook.nodes.core import Core
from sumachook.nodes.event_dispatcher import EventDispatcher
from sumachook.simulation.deployment import Deployment, DeploymentSpec
from tests.deployment_fixtures import EXAMPLES, leader

CATCH_UP = timedelta(seconds=4)  # from the start of a replacement until its predecessor no longer counts as lost
CHECK_INTERVAL = 0.02
DENSE, BOUNDED = 10.0, 20.0  # seconds per phase, in alternation
SMALL_LOG = 12
DISK_DELAY = timedelta(seconds=0.002)


class ChangeHistory:
    """The deliveries, acknowledgements, reads and violations of one run, recorded outside the cores."""

    __slots__ = ("deployment", "delivered", "faults", "acked", "asked", "reads", "read_number")

    def __init__(self):
        self.deployment, self.delivered, self.faults = None, {}, []
        self.acked, self.asked, self.reads, self.read_number = [], {}, {}, 0

    def record_delivery(self, core, number, entry):
        if self.delivered.setdefault(number, entry) != entry:
            self.faults.append(f"{core.node} delivers a change that differs from another core's change {number}")
        if number != core.state.number + 1:
            self.faults.append(f"{core.node} delivers change {number} after change {core.state.number}")

    def check(self, random):
        """Records new acknowledgements and checks leader leases, fresh states and a random read at this time."""
        operator, now = self.deployment.boxes["operator"].machine, self.deployment.now
        for number, name in list(self.asked.items()):
            answer = operator.answers.get(number)
            if answer is not None:
                del self.asked[number]
                if answer[0] == 200:
                    self.acked.append((now, name))
        running = [box for box in _cores(self.deployment) if box.machine is not None and not box.is_frozen]
        leaders = [box.name for box in running if box.machine.consensus.leader.has_lease(now)]
        if len(leaders) > 1:
            self.faults.append(f"{now}: {leaders} hold leader leases at the same time")
        for box in running:
            if box.machine.consensus.is_fresh(now):
                self._check_state(
                    box, [name for at, name in self.acked if now - at >= FRESH_FOR], "reports a fresh state"
                )
        if running and random.random() < 0.2:
            self._begin_read(random.choice(running))

    def _begin_read(self, box):
        self.read_number += 1
        token = f"chaos-{self.read_number}"
        self.reads[token] = [name for _, name in self.acked]
        self.deployment._deliver(box, ReadRequested(token))

    def end_read(self, core, token, is_readable):
        names = self.reads.pop(token, None)
        if is_readable and names:
            self._check_routes(core, names, "completes a read")

    def _check_state(self, box, names, what):
        self._check_routes(box.machine, names, what)

    def _check_routes(self, core, names, what):
        known = _route_names(core)
        missing = [name for name in names if name not in known]
        if missing:
            self.faults.append(
                f"{self.deployment.now}: {core.node} {what} without the acknowledged changes {missing[:3]}"
            )


class RecordingCore(Core):
    """A core that records its deliveries and completed reads in the history of the run."""

    __slots__ = ()
    history, max_log_entries = ChangeHistory(), None

    def event_handlers(self):
        handlers = super().event_handlers()
        noted = {each: partial(self._end_read, handlers[each]) for each in (Readable, Unreadable)}
        return handlers | noted | {Deliver: partial(self._record_delivery, handlers[Deliver])}

    def _end_read(self, handle, effect, now):
        if not str(effect.token).startswith("chaos-"):
            return handle(effect, now)
        self.history.end_read(self, effect.token, isinstance(effect, Readable))
        return []

    def _record_delivery(self, handle, effect, now):
        self.history.record_delivery(self, effect.number, effect.entry)
        return handle(effect, now)


def _route_names(core):
    return {route.name for route in core.state.catalogue.routes} if core.state.catalogue else set()


def _cores(deployment):
    return [box for box in deployment.boxes.values() if box.role == "core" and not box.is_gone]


class ChaosRun:
    """One run: a deployment of cores, the active faults and the callbacks that end them."""

    __slots__ = (
        "deployment",
        "random",
        "history",
        "voters",
        "pending_ends",
        "lost_until",
        "recover_by",
        "change_number",
        "leaving",
    )

    def __init__(self, seed, voters):
        self.history, self.voters = ChangeHistory(), voters
        RecordingCore.history, RecordingCore.max_log_entries = self.history, SMALL_LOG if seed % 2 else None
        more = {"voter_away": 1.5, "wanted_voters": voters} if voters else {}
        self.deployment, self.random = (
            Deployment(DeploymentSpec(EXAMPLES / "kosice"), seed, edges=0, **more),
            Random(seed),
        )
        self.history.deployment = self.deployment
        self.pending_ends, self.lost_until, self.recover_by, self.change_number, self.leaving = [], {}, None, 0, set()
        for box in _cores(self.deployment):
            self._restart_recording(box)
        self.deployment.run_until(lambda: leader(self.deployment) is not None, 15)
        for _ in range(voters - 3):
            self._add_core()
        answer = self.deployment.ask(
            "core-1", "POST", "/operator/apply", {"request": "first", "doc": self.deployment.spec.catalogue}
        )
        assert answer[0] == 200

    # machines

    def _restart_recording(self, box):
        """Restarts a core with an empty disk as a core that records its deliveries."""
        make = box.make
        box.make = lambda box: _as_recording_core(make(box))
        self.deployment.kill(box.name)
        box.disk.wipe()
        self.deployment.start(box.name)

    def _add_core(self):
        number = 1 + sum(box.role == "core" for box in self.deployment.boxes.values())
        node = {
            "name": f"core-{number}",
            "role": "core",
            "area": "hall-a",
            "address": f"127.0.0.9:{17000 + number}",
            "door": f"127.0.0.9:{27000 + number}",
        }
        running = [box.address for box in _cores(self.deployment) if box.machine is not None]
        box = self.deployment.add_node(node, founding=[], seeds=self.random.sample(running, min(3, len(running))))
        self._restart_recording(box)
        return box

    def has_full_view(self) -> bool:
        core = leader(self.deployment)
        if core is None:
            return False
        running = {each.node for each in self.deployment.machines("core")}
        return len(set(core.consensus.members) & running) == len(core.consensus.voting_members) == (self.voters or 3)

    # time

    def run(self, seconds):
        end = self.deployment.now + timedelta(seconds=seconds)
        while self.deployment.now < end:
            self.deployment.run(CHECK_INTERVAL)
            due = [item for item in self.pending_ends if item[0] <= self.deployment.now]
            self.pending_ends = [item for item in self.pending_ends if item[0] > self.deployment.now]
            for _, stop in due:
                stop()
            self.history.check(self.random)

    def send_change(self):
        """Sends one more configuration change to a random core."""
        self.change_number += 1
        name = f"c{self.change_number}"
        core = self.random.choice(_cores(self.deployment))
        doc = {"request": name, "part": True, "doc": {"routes": [{"name": name, "target": "refund-01"}]}}
        number = self.deployment.operator().ask(f"http://{core.http_address}/operator/apply", "POST", doc)
        self.history.asked[number] = name

    # faults

    def inject_fault(self, box, duration):
        """Injects a random fault at a core for `duration` seconds; its disk is kept."""
        kind = self.random.choice(
            ("kill", "freeze", "cut", "held cut", "one way", "deaf", "stall", "full disk", "slow disk", "stop")
        )
        deployment, name, ends = self.deployment, box.name, self.deployment.now + timedelta(seconds=duration)
        peers = [other.name for other in _cores(deployment) if other is not box]
        if kind in ("kill", "stop") and box.machine is not None:
            deployment.stop(name) if kind == "stop" else deployment.kill(name)
            self.pending_ends.append((ends, lambda: self._restart(box)))
        elif kind == "freeze" and box.machine is not None and not box.is_frozen:
            deployment.freeze(name)
            self.pending_ends.append((ends, lambda: box.is_frozen and deployment.wake(name)))
        elif kind in ("cut", "held cut", "one way", "deaf"):
            others = [other for other in peers if self.random.random() < 0.8]
            sides = (others, [name]) if kind == "deaf" else ([name], others)
            holds = kind == "held cut" or self.random.random() < 0.5
            links = deployment.cut(*sides, one_way=kind in ("one way", "deaf"), holds=holds)
            self.pending_ends.append((ends, lambda: deployment.heal(links & deployment.cuts)))
        elif kind == "stall":
            box.disk.stalled_until = ends
        elif kind == "full disk":
            box.disk.refuses_until = ends
        elif kind == "slow disk":
            box.disk.delay = timedelta(seconds=self.random.uniform(0.002, 0.3))
            self.pending_ends.append((ends, lambda: setattr(box.disk, "delay", DISK_DELAY)))

    def _restart(self, box):
        if not box.is_gone:
            self.deployment.kill(box.name)
            self.deployment.start(box.name)

    def end_faults(self):
        """Ends all active faults: heals links, resets disks and restarts cores that are down or shutting down."""
        for _, stop in self.pending_ends:
            stop()
        self.pending_ends = []
        self.deployment.heal()
        for box in _cores(self.deployment):
            box.disk.delay, box.disk.stalled_until = DISK_DELAY, self.deployment.now
            box.disk.refuses_until = self.deployment.now
            if box.machine is None or box.machine.shutdown.has_begun:
                self._restart(box)

    # permanent losses

    def lost_machines(self) -> set:
        """Returns the names of the machines that currently count as lost."""
        self.lost_until = {name: until for name, until in self.lost_until.items() if until > self.deployment.now}
        return set(self.lost_until)

    def _count_as_lost(self, name, duration):
        self.lost_until[name] = self.deployment.now + timedelta(seconds=duration) + CATCH_UP

    def inject_loss(self):
        """Injects a random loss that the number of voters tolerates: faults, lost disks or machines, or a power failure."""
        tolerated = (self.voters - 1) // 2 - len(self.lost_machines())
        running_voters = [box for box in self._running_voters() if box.name not in self.lost_machines()]
        if tolerated < 1 or not running_voters:
            return
        names = [
            box.name
            for box in self.random.sample(running_voters, min(len(running_voters), self.random.randint(1, tolerated)))
        ]
        kind = self.random.choice(
            ("empty disk", "new machine", "trouble", "power", "wipe and power", "planned", "held cut and new machine")
        )
        getattr(self, "_lose_by_" + kind.replace(" ", "_"))(names)
        self.recover_by = self.deployment.now + CATCH_UP

    def _running_voters(self):
        core = leader(self.deployment)
        voting_members = core.consensus.voting_members if core else {}
        return [
            box for box in _cores(self.deployment) if box.machine is not None and box.machine.node in voting_members
        ]

    def _lose_by_trouble(self, names):
        for name in names:
            duration = self.random.uniform(0.1, 4)
            self.inject_fault(self.deployment.boxes[name], duration)
            self._count_as_lost(name, duration + 3)  # an orderly shutdown takes up to 3 s longer

    def _lose_by_empty_disk(self, names):
        for name in names:
            self.deployment.kill(name)
            self.deployment.boxes[name].disk.wipe()
            self._count_as_lost(name, 0.5)
        self.run(self.random.uniform(0, 0.5))
        for name in names:
            self.deployment.start(name)

    def _lose_by_new_machine(self, names):
        for name in names:
            self.deployment.vanish(name)
            self._count_as_lost(name, 0.5)
        self.run(self.random.uniform(0, 0.5))
        for _ in names:
            self._add_core()

    def _lose_by_planned(self, names):
        """Shuts down a core whose replacement starts up to 2 s before or 1 s after; its machine is removed afterwards."""
        name = names[0]
        is_first = self.random.random() < 0.5
        if is_first:
            self._add_core()
            self.run(self.random.uniform(0, 2))
        box = self.deployment.boxes[name]
        self.deployment.stop(name)
        self._count_as_lost(name, 4)
        self.pending_ends.append((self.deployment.now + timedelta(seconds=3.5), lambda: self.deployment.vanish(name)))
        self.run(self.random.uniform(0, 1))
        if not is_first:
            self._add_core()
        if box.machine is None:
            self.deployment.vanish(name)

    def _lose_by_held_cut_and_new_machine(self, names):
        """Partitions cores and replaces them; after 1 to 3 s the old cores return with their disks as surplus cores."""
        links = set()
        for name in names:
            links |= self.deployment.cut([name], self.deployment.inside(name), holds=True)
            self._count_as_lost(name, 3.5)
        self.run(self.random.uniform(0, 0.5))
        for _ in names:
            self._add_core()
        self.run(self.random.uniform(1, 3))
        self.deployment.heal(links & self.deployment.cuts)

    def _lose_by_power(self, names, wiped=()):
        running = [box.name for box in _cores(self.deployment) if box.machine is not None]
        for name in running:
            self.deployment.kill(name)
        for name in wiped:
            self.deployment.boxes[name].disk.wipe()
        self.deployment.run(self.random.uniform(0, 0.5))
        for name in running:
            self.deployment.start(name)
            self.deployment.run(self.random.uniform(0, 0.1))
        for name in wiped:
            self._count_as_lost(name, 0)

    def _lose_by_wipe_and_power(self, names):
        self._lose_by_power(names, names)

    # the run

    def play(self, seconds):
        end, is_bounded = self.deployment.now + timedelta(seconds=seconds), False
        phase_ends = self.deployment.now
        while self.deployment.now < end:
            if self.voters and self.deployment.now >= phase_ends:
                is_bounded = not is_bounded
                phase_ends = self.deployment.now + timedelta(seconds=BOUNDED if is_bounded else DENSE)
                if is_bounded:
                    self._settle()
            if is_bounded:
                self._bounded_step()
            elif self.random.random() < 0.5:
                self.inject_fault(self.random.choice(_cores(self.deployment)), self.random.uniform(0.1, 4))
            self.send_change()
            self.run(self.random.uniform(0.05, 0.8))
        self._end()

    def _settle(self):
        self.end_faults()
        if not self.deployment.run_until(self.has_full_view, 30):
            self.history.faults.append(
                f"{self.deployment.now}: the view lacks voters 30 s after the phase of frequent faults"
            )

    def _bounded_step(self):
        """Injects a loss with a chance of 0.4; once no machine counts as lost, the view must have all its voters."""
        if self.recover_by is not None and not self.lost_machines() and self.deployment.now >= self.recover_by:
            self.recover_by = None
            if not self.has_full_view():
                self.history.faults.append(
                    f"{self.deployment.now}: the view lacks voters {CATCH_UP} after the last loss"
                )
        if self.random.random() < 0.4:
            self.inject_loss()

    def _end(self):
        self.end_faults()
        is_back = self.deployment.run_until(self.has_full_view, 60)
        self.deployment.run(8)  # longest time for which an operator request may still be proposed again
        self.history.check(self.random)
        running_voters = [
            core
            for core in self.deployment.machines("core")
            if is_back and core.node in leader(self.deployment).consensus.voting_members
        ]
        self.deployment.run_until(lambda: len({core.state.number for core in running_voters}) == 1, 20)
        if not is_back:
            self.history.faults.append("the view lacks voters 60 s after all faults ended")
        for core in running_voters or self.deployment.machines("core"):
            missing = [name for _, name in self.history.acked if name not in _route_names(core)]
            self.history.faults += [f"{core.node} lacks {name}, an acknowledged change" for name in missing]


def _as_recording_core(core):
    core.__class__ = RecordingCore
    core.dispatcher = EventDispatcher(core.event_handlers())
    if RecordingCore.max_log_entries is not None:
        state = core.consensus.state
        state.options = replace(state.options, max_log_entries=RecordingCore.max_log_entries)
    return core


def play(seed: int, seconds: float = 60.0, voters: int = 0):
    """Returns (seed, changes acknowledged, changes delivered, violations) of one run.

    Odd seeds compact the log after every 12 entries.
    """
    chaos_run = ChaosRun(seed, voters)
    chaos_run.play(seconds)
    acked, delivered = len(chaos_run.history.acked), len(chaos_run.history.delivered)
    faults = [
        *chaos_run.history.faults,
        *find_unchecked({"changes acknowledged": acked, "changes delivered": delivered}),
    ]
    return seed, acked, delivered, faults


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.chaos", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int, help="last seed; at most 5000 after the first")
    parser.add_argument(
        "--seats",
        type=int,
        default=0,
        choices=(0, 3, 5),
        help="also lose machines and disks for good, in a view of this many voters",
    )
    parser.add_argument("--workers", type=int, default=8, help="number of concurrent runs (default: 8)")
    given = parser.parse_args()
    seeds, bad, acked, delivered = seed_range(parser, given.first, given.last, 5000), 0, 0, 0
    with ProcessPoolExecutor(given.workers) as pool:
        for seed, acks, entries, faults in pool.map(partial(play, voters=given.seats), seeds):
            bad, acked, delivered = bad + bool(faults), acked + acks, delivered + entries
            if faults:
                print(seed, len(faults), faults[:4], flush=True)
    print(f"{len(seeds)} runs, {acked} changes acknowledged, {delivered} delivered, {bad} runs with violations")
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
