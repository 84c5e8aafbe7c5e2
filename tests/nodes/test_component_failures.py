"""Tests that the failure of one component of a core leaves no hole in the replicated state (review case 1).

Each component of all cores raises at each kind of event that it gets, before or after its work, while operators change the
configuration, a leader is killed, logs are compacted and a core joins.
"""

import msgspec
import pytest

from harness.fakes.raising_component import FailurePlan, FailurePoint, RaisingComponent, RaisingState
from sumachook.host.effects import Log
from sumachook.host.events import Tick
from sumachook.nodes.component_guard import COMPONENT_FAILED
from sumachook.nodes.core import INTERNAL_FAILURE
from tests.deployment_fixtures import compact_after, found, leader

ISOLATED = (
    "membership",
    "leases",
    "source",
    "placer",
    "provisioner",
    "inventory_reader",
    "outlier_detector",
    "retry_broker",
    "quota_lease_issuer",
    "quota_usage",
)
ESSENTIAL = ("consensus", "replica_store")
STATE = "state"
POINTS = tuple(FailurePoint)
LOG_LIMIT = 8  # delivered entries after which a log is compacted in these runs
VOTER_AWAY = 4.0  # seconds of absence after which a core is replaced
MARK = "mark"  # the source component of the log lines of `MarkingComponent`
RESTART_DELAY = 0.5  # seconds from the exit of a process to its restart


class FailingNodes:
    """A deployment in which one component of every core, or every edge, raises at every n-th event of each kind."""

    def __init__(self, component: str, plan: FailurePlan, seed: int = 11, role: str = "core") -> None:
        self.deployment = found(seed, edges=2, voter_away=VOTER_AWAY)
        self.deployment.tolerates_failures = True
        self.component, self.plan = component, plan
        self.acknowledged: list[str] = []
        self.role = role
        for box in [box for box in self.deployment.boxes.values() if box.role == role]:
            self._install(box)

    def _install(self, box) -> None:
        """Makes the component of the running core raise, and that of each later process of the box."""
        make = box.make

        def make_failing(box):
            return self._make_failing(make(box))

        box.make = make_failing
        self._make_failing(box.machine)

    def _make_failing(self, node):
        if self.component == STATE:
            RaisingState.install(node.state, self.plan)
        else:
            setattr(node, self.component, RaisingComponent(getattr(node, self.component), self.plan))
        return node

    def run(self, seconds: float) -> None:
        """Advances the time, and restarts the cores that exited."""
        for _ in range(round(seconds / RESTART_DELAY)):
            self.deployment.run(RESTART_DELAY)
            for box in list(self.deployment.boxes.values()):
                if box.role == "core" and box.machine is None and not box.is_gone:
                    self.deployment.start(box.name)

    def change(self, number: int) -> None:
        """Sends a change to one core after the other until one acknowledges it, for some seconds."""
        name = f"r{number}"
        document = {"routes": [{"name": name, "target": "refund-01"}]}
        for attempt in range(12):
            cores = [box.name for box in self.deployment.boxes.values() if box.role == "core" and box.machine]
            if cores:
                body = {"request": name, "doc": document, "part": True}
                core = cores[(number + attempt) % len(cores)]
                answer = self.deployment.ask(core, "POST", "/operator/apply", body, wait=3.0)
                if answer is not None and answer[0] == 200:
                    self.acknowledged.append(name)
                    return
            self.run(RESTART_DELAY)

    def change_together(self, numbers) -> None:
        """Sends several changes at once to one core, so that their entries are committed and delivered together."""
        operator = self.deployment.operator()
        core = next(box for box in self.deployment.boxes.values() if box.role == "core" and box.machine)
        names = {}
        for number in numbers:
            body = {
                "request": f"r{number}",
                "doc": {"routes": [{"name": f"r{number}", "target": "refund-01"}]},
                "part": True,
            }
            names[operator.ask(f"http://{core.http_address}/operator/apply", "POST", body)] = f"r{number}"
        self.run(6)
        answers = operator.answers
        self.acknowledged += [name for call, name in names.items() if answers.get(call, (0,))[0] == 200]

    def replace_a_core(self) -> None:
        """Adds a blank core at another address and removes another core for good."""
        node = {"name": "core-4", "role": "core", "area": "hall-a"}
        node |= {"address": "127.0.0.9:17101", "door": "127.0.0.9:17201"}
        box = self.deployment.add_node(node, founding=[])
        if self.role == "core":
            self._install(box)
        self.run(3)
        self.deployment.vanish("core-3")

    def play(self) -> None:
        """Changes the configuration through a change of leader, a compaction, a restart and a new core."""
        first = {"request": "first", "doc": self.deployment.spec.catalogue}
        for _ in range(10):
            running = [box.name for box in self.deployment.boxes.values() if box.role == "core" and box.machine]
            answer = self.deployment.ask(running[0], "POST", "/operator/apply", first, wait=3.0) if running else None
            if answer is not None and answer[0] == 200:
                break
            self.run(RESTART_DELAY)
        for number in range(4):
            self.change(number)
        compact_after(self.deployment, LOG_LIMIT)
        for number in range(4, 8):
            self.change(number)
        self.change_together(range(20, 26))
        present = leader(self.deployment)
        if present is not None:
            self.deployment.kill(next(box.name for box in self.deployment.boxes.values() if box.machine is present))
        self.run(3)
        compact_after(self.deployment, LOG_LIMIT)
        self.change(8)
        self.replace_a_core()
        self.run(4)
        self.change(9)
        compact_after(self.deployment, LOG_LIMIT)
        self.change_together(range(30, 36))
        self.change(10)

    def settle(self) -> None:
        """Ends the failures, and waits until all cores have the same entries."""
        self.plan.is_active = False
        for _ in range(60):
            self.run(RESTART_DELAY)
            cores = self.deployment.machines("core")
            present = leader(self.deployment)
            if present is not None and {core.state.number for core in cores} == {present.consensus.state.committed}:
                if all(core.node in present.consensus.members for core in cores):
                    return
        raise AssertionError([(core.node, core.state.number, core.consensus.role) for core in cores])

    def missing(self) -> list[tuple[str, str]]:
        """Returns each acknowledged change that a core or an edge lacks, with the name of the node."""
        machines = [*self.deployment.machines("core"), *self.deployment.machines("edge")]
        return [
            (machine.node, name)
            for machine in machines
            for name in self.acknowledged
            if machine.state.catalogue is None or name not in {route.name for route in machine.state.catalogue.routes}
        ]

    def snapshots(self) -> list[dict]:
        """Returns the state of each core as JSON documents, in which lists and tuples are the same."""
        cores = self.deployment.machines("core")
        return [msgspec.json.decode(msgspec.json.encode(core.state.snapshot())) for core in cores]


def _check_nothing_is_missing(cores: FailingNodes) -> None:
    cores.settle()
    cores.deployment.run(3)
    assert cores.missing() == []
    first, *rest = cores.snapshots()
    assert len(rest) == 2
    assert [[key for key in first if snapshot[key] != first[key]] for snapshot in rest] == [[], []]
    for name in [box.name for box in cores.deployment.boxes.values() if box.role == "core" and box.machine]:
        cores.deployment.kill(name)
    cores.run(RESTART_DELAY)
    cores.settle()
    cores.deployment.run(3)
    assert cores.missing() == []


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("component", ISOLATED)
def test_failing_component_of_all_cores_loses_no_acknowledged_change(component, point):
    """Every third event of each kind fails in one component of each core: no acknowledged change is missing on any core or
    edge, no core exits, and all cores have the same state, also after all were restarted."""
    cores = FailingNodes(component, FailurePlan(3, point))
    cores.play()
    assert cores.plan.failures or component in ("outlier_detector", "quota_usage")
    assert len(cores.acknowledged) >= 9
    assert not any("Exiting" in line[4] for line in cores.deployment.logs)
    _check_nothing_is_missing(cores)


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("component", ESSENTIAL)
def test_core_that_may_have_lost_replicated_data_exits_and_restores_it(component, point):
    """Some events of each kind fail in a component that owns stored data: the core exits with an error instead of going on,
    and no acknowledged change is missing on any core or edge."""
    cores = FailingNodes(component, FailurePlan(47, point))
    cores.play()
    assert any("Exiting" in line[4] for line in cores.deployment.logs)
    assert len(cores.acknowledged) >= 5
    _check_nothing_is_missing(cores)


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("period", (2, 7))
def test_state_that_fails_to_apply_entries_loses_none_of_them(period, point):
    """Every second or seventh entry fails to be applied at first, also with a partly changed state: none is missing."""
    cores = FailingNodes(STATE, FailurePlan(period, point))
    cores.play()
    assert cores.plan.failures["apply"] and len(cores.acknowledged) >= 9
    _check_nothing_is_missing(cores)


@pytest.mark.parametrize("point", POINTS)
def test_core_that_cannot_apply_an_entry_does_not_act_as_if_it_had(point):
    """The leader fails to apply each further entry: it leaves the view, answers no read, serves no edge, holds no lease and
    compacts nothing, while the others go on; once it applies entries again, it has them all."""
    cores = FailingNodes(STATE, FailurePlan(1, point))
    cores.plan.is_active = False
    deployment = cores.deployment
    first = {"request": "first", "doc": deployment.spec.catalogue}
    assert deployment.ask("core-1", "POST", "/operator/apply", first)[0] == 200
    failing = leader(deployment)
    name = next(box.name for box in deployment.boxes.values() if box.machine is failing)
    for core in deployment.machines("core"):
        if core is not failing:
            core.state.__class__ = core.state.__class__.__mro__[1]
    compact_after(deployment, 2)
    cores.plan.is_active = True
    for number in range(6):
        cores.change(number)
    assert len(cores.acknowledged) == 6
    assert not failing.state_delivery.is_complete and failing.consensus.role != "leading"
    assert failing.consensus.log.base <= failing.state.number < failing.consensus.state.delivered
    assert failing.state.number == failing.state_delivery.waiting[0].number - 1  # nothing of the failed entry is left
    assert not failing.is_fresh(deployment.now)
    assert failing.leases.holds("placer", deployment.now) == failing.leases.holds("accountant", deployment.now) == 0
    assert deployment.ask(name, "GET", "/show/catalogue", follows=False)[0] == 503
    assert deployment.ask(name, "GET", "/condition", follows=False)[0] == 503
    deployment.run(3)
    assert {edge.follower.upstream for edge in deployment.machines("edge")}.isdisjoint({failing.settings.address})
    _check_nothing_is_missing(cores)


EDGE_COMPONENTS = (
    "membership",
    "follower",
    "ledger_writer",
    "retry_budget",
    "inference_pipeline",
    STATE,
)


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("component", EDGE_COMPONENTS)
def test_failing_component_of_all_edges_leaves_no_hole_in_their_state(component, point):
    """Every third event of each kind, or every second change, fails in one component of each edge: no acknowledged change is
    missing on any node, and each edge has the state of the cores."""
    nodes = FailingNodes(component, FailurePlan(2 if component == STATE else 3, point), role="edge")
    nodes.play()
    assert nodes.plan.failures and len(nodes.acknowledged) >= 9
    _check_nothing_is_missing(nodes)
    assert nodes.deployment.run_until(lambda: len(set(map(_number, nodes.deployment.machines("edge")))) == 1, 10)
    present = leader(nodes.deployment)
    for edge in nodes.deployment.machines("edge"):
        assert msgspec.json.encode(edge.state.snapshot()) == msgspec.json.encode(present.state.snapshot())


def _number(node):
    return node.state.number


@pytest.mark.parametrize("component", ISOLATED[:-1])
def test_failing_component_costs_no_effect_of_another_in_the_same_tick(component):
    """One component raises at a tick: the effects of all others for that tick, records for the disk among them, are carried
    out."""
    nodes = FailingNodes(component, FailurePlan(1, FailurePoint.BEFORE))
    nodes.plan.is_active = False
    core = leader(nodes.deployment)
    ticked = ("membership", "consensus", "replica_store", *ISOLATED[1:-1])
    for name in ticked:
        if name != component:
            setattr(core, name, MarkingComponent(getattr(core, name), name))
    nodes.plan.is_active = True
    effects = core.take(Tick(), nodes.deployment.now)
    marks = {effect.text for effect in effects if isinstance(effect, Log) and effect.component == MARK}
    assert marks == set(ticked) - {component}


class MarkingComponent:
    """Wraps a component, and adds a log line with its name to the effects of each event."""

    def __init__(self, component, name):
        self.component, self.name = component, name

    def take(self, event, now):
        return [*self.component.take(event, now), Log("info", MARK, self.name, {})]

    def __getattr__(self, name):
        return getattr(self.component, name)


def test_missing_entry_stops_a_core():
    """An entry whose predecessor was not delivered is not applied: the core exits with an error."""
    from sumachook.consensus.effects import Deliver
    from sumachook.host.effects import Exit

    cores = FailingNodes("quota_usage", FailurePlan(1, FailurePoint.BEFORE))
    core = leader(cores.deployment)
    number = core.state.number
    core.dispatcher.deliver(Deliver(number + 2, b'["founded"]'), cores.deployment.now)
    assert core.state.number == number and core.guard.has_stopped
    assert core.take(object(), cores.deployment.now) == []
    (read,) = core.take(_read(), cores.deployment.now)
    assert read.status == 503
    assert Exit(INTERNAL_FAILURE).code != 0


def _read():
    from sumachook.host.events import HttpRequestReceived

    return HttpRequestReceived(1, "GET", "/show/catalogue", {}, b"")


def test_failure_is_logged_with_its_component_event_and_place():
    """The log line of a failure names the component, the kind of event, the error and where it was raised."""
    cores = FailingNodes("placer", FailurePlan(3, FailurePoint.BEFORE))
    cores.run(1)
    line = next(line for line in cores.deployment.logs if line[4] == COMPONENT_FAILED)
    fields = line[5]
    assert (fields["part"], fields["kind"], fields["failures"]) == ("placer", "LeaseTick", 1)
    assert "InjectedError" in fields["error"] and fields["at"].startswith("raising_component.py:")


def test_component_that_fails_at_every_event_starts_anew_once_a_second():
    """Placement fails at each event for five seconds: it starts anew at most once a second, as each start makes all servers
    report."""
    nodes = FailingNodes("provisioner", FailurePlan(1, FailurePoint.AFTER))
    core = leader(nodes.deployment)
    before = core.provisioner.incarnation
    nodes.deployment.run(5)
    assert core.guard.counts["provisioner"] > 50
    assert 3 <= core.provisioner.incarnation - before <= 6
