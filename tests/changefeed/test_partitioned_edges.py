"""Tests edges that follow a core that is partitioned from the other cores for twenty seconds (docs/design/changefeed.md).

They must abandon that core, apply every change in time and never go back to an older state.
"""

from datetime import timedelta

import pytest

from sumachook.changefeed.trust import Trust
from tests.configuration.test_services import route
from tests.control_state.test_configuration_versions import _deployment, _order
from tests.deployment_fixtures import box_of, leader

SECOND, TICK = timedelta(seconds=1), 0.05
APPLY_WITHIN = SECOND * 2  # from the acknowledgement of a change until the last connected edge applies it
CUT_SECONDS = 20
MAX_FRESH_AGE = (
    SECOND * 0.85
)  # maximum age of the state of a core that counts as fresh, including the tick that sees the acknowledgement
ABANDON_WITHIN = SECOND  # from when a core loses its working view until no edge follows it
ANSWER_WITHIN = SECOND * 1.1  # an edge that found no fresh core may try this one again, and waits so long for an answer


class _EdgeMonitor:
    """Sends changes to cores and checks at each tick which changes every edge has applied."""

    def __init__(self, deployment):
        self.deployment, self.version, self.under_way, self.acked = deployment, 5, None, []
        self.held = {edge.node: 0 for edge in deployment.machines("edge")}
        self.late, self.went_back, self.stayed, self.false_proofs = [], [], [], []
        self.core, self.fresh_at = (
            None,
            deployment.now,
        )  # the partitioned core, and when it was last in a working view
        self.others_fresh_since = deployment.now  # since then some other core has always been fresh

    def run(self, seconds, ask=()):
        """Runs the deployment; whenever no change is in flight, sends the next one to one of the cores `ask`."""
        end = self.deployment.now + SECOND * seconds
        while self.deployment.now < end:
            if ask and self.under_way is None:
                self._send(ask[self.version % len(ask)])
            self.deployment.run(TICK)
            self._look()

    def _send(self, core):
        order = _order(
            f"change-{self.version + 1}",
            {"version": self.version + 1, "httpRoutes": [route(self.version % 7)]},
            self.version,
            True,
        )
        number = self.deployment.operator().ask(
            f"http://{self.deployment.boxes[core].http_address}/operator/configure", "POST", order
        )
        self.under_way = (number, self.version + 1, self.deployment.now)

    def _look(self):
        now = self.deployment.now
        if self.core is not None and self.core.consensus.is_fresh(now):
            self.fresh_at = now
        if not any(core.consensus.is_fresh(now) for core in self.deployment.machines("core") if core is not self.core):
            self.others_fresh_since = now
        if self.under_way is not None:
            number, version, sent_at = self.under_way
            answer = self.deployment.operator().answers.get(number)
            if answer is not None or now - sent_at > SECOND * 8:
                self.under_way = None
                if answer is not None and answer[0] == 200:
                    self.version = version
                    self.acked.append((version, now))
        for edge in self.deployment.machines("edge"):
            known = edge.follower.proved_at - MAX_FRESH_AGE
            if edge.state.version < max((version for version, at in self.acked if at < known), default=0):
                self.false_proofs.append((edge.node, edge.follower.proved_at, now))
            if edge.follower.number < self.held[edge.node]:
                self.went_back.append((edge.node, now))
            self.held[edge.node] = edge.follower.number
            is_behind = self.core is not None and edge.follower.upstream == self.core.settings.address
            if is_behind and now - self.fresh_at > ABANDON_WITHIN and now - self.others_fresh_since > ANSWER_WITHIN:
                self.stayed.append((edge.node, now))
            overdue = max((version for version, at in self.acked if now - at > APPLY_WITHIN), default=0)
            if edge.state.version < overdue:
                self.late.append((edge.node, edge.state.version, overdue, now))


def _partition(deployment, lone, direction):
    """Partitions one core from the other cores, while edges reach all cores; returns the other cores."""
    rest = [box.name for box in deployment.boxes.values() if box.role == "core" and box.name != lone]
    if direction in ("both", "out"):
        deployment.cut([lone], rest, one_way=True)
    if direction in ("both", "in"):
        deployment.cut(rest, [lone], one_way=True)
    return rest


def _core_to_partition(deployment, who):
    lead = box_of(deployment, leader(deployment)).name
    return (
        lead
        if who == "leader"
        else next(box.name for box in deployment.boxes.values() if box.role == "core" and box.name != lead)
    )


@pytest.mark.parametrize("direction", ("both", "out", "in"))
@pytest.mark.parametrize("who", ("leader", "member"))
def test_edges_apply_changes_in_time_while_a_core_is_partitioned_and_when_it_heals(who, direction):
    """All edges follow a core that is partitioned from the other cores for twenty seconds while changes are committed.

    Each edge must apply each change within two seconds, abandon the core within a second after it loses its working
    view, and stay away. When the partition heals with a change in flight, no edge may go back.
    """
    deployment = _deployment(400 + 10 * (who == "leader") + len(direction), edges=4)
    monitor, lone = _EdgeMonitor(deployment), _core_to_partition(deployment, who)
    address = deployment.boxes[lone].address
    for edge in deployment.machines("edge"):  # make all edges follow the core that will be partitioned
        edge.follower.upstream = address
        edge.follower._follow(deployment.now)
    monitor.run(3, ("core-1", "core-2", "core-3"))
    rest = _partition(deployment, lone, direction)
    monitor.core = deployment.boxes[lone].machine
    monitor.run(CUT_SECONDS, rest)
    taken = len(monitor.acked)
    monitor._send(rest[0])  # this change is in flight when the partition heals
    deployment.heal()
    monitor.run(6, (lone, *rest))
    assert monitor.late == monitor.went_back == monitor.stayed == monitor.false_proofs == []
    assert taken >= 20 and len(monitor.acked) > taken, (taken, len(monitor.acked))
    assert {edge.state.version for edge in deployment.machines("edge")} <= {monitor.version, monitor.version + 1}


@pytest.mark.parametrize("who", ("leader", "member"))
def test_edge_that_reaches_only_a_partitioned_core_catches_up_when_it_heals(who):
    """An edge that reaches only the partitioned core must keep its state and count as disconnected.

    After the partition heals, it must apply the next change within two seconds; until then, no core that is not fresh
    may modify its state.
    """
    deployment = _deployment(440 + (who == "leader"), edges=3)
    monitor, lone = _EdgeMonitor(deployment), _core_to_partition(deployment, who)
    rest = _partition(deployment, lone, "both")
    deployment.cut(["edge-1"], rest)
    far = deployment.boxes["edge-1"].machine
    monitor.held.pop(far.node)
    machines = deployment.machines
    deployment_edges = [edge for edge in machines("edge") if edge is not far]
    before = far.follower.number
    for _ in range(CUT_SECONDS):
        deployment.run(1)
        assert far.follower.number == before
    assert far.follower.trust(deployment.now) is Trust.DISCONNECTED and all(
        edge.follower.trust(deployment.now) is Trust.FRESH for edge in deployment_edges
    )
    monitor._send(rest[0])
    deployment.heal()
    monitor.held[far.node] = far.follower.number
    monitor.run(8)
    assert monitor.acked and monitor.late == [] and monitor.went_back == [] and far.state.version == monitor.version


@pytest.mark.parametrize("seed", range(3))
def test_delayed_messages_to_an_edge_make_no_proof_newer(seed):
    """Links between edges and cores buffer messages for about a second, again and again, while changes are committed.

    An edge must have every change up to its latest proof of freshness and never go back. Once the links are restored,
    it must apply changes in time.
    """
    deployment = _deployment(470 + seed, edges=4)
    monitor, cores = _EdgeMonitor(deployment), ("core-1", "core-2", "core-3")
    for turn in range(12):
        edge = f"edge-{turn % 4 + 1}"
        core = next(
            box.name
            for box in deployment.boxes.values()
            if box.address == deployment.boxes[edge].machine.follower.upstream
        )
        links = deployment.cut([core], [edge], one_way=turn % 3 == 0, holds=True)
        monitor.run(0.6 + 0.3 * (turn % 3), cores)
        deployment.heal(links)
        monitor.run(0.4, cores)
    monitor.acked.clear()
    monitor.run(3, cores)
    assert monitor.false_proofs == monitor.went_back == monitor.late == [] and len(monitor.acked) > 10


@pytest.mark.parametrize("seed", range(3))
def test_cores_behind_delaying_links_give_edges_no_false_proof(seed):
    """Links from one core to the others buffer messages for a second or more, again and again, while edges reach all cores.

    Whichever core an edge follows, it must have every change up to its latest proof of freshness and never go back.
    """
    deployment = _deployment(480 + seed, edges=4)
    monitor, cores = _EdgeMonitor(deployment), ["core-1", "core-2", "core-3"]
    for turn in range(8):
        lone = (
            cores[turn % 3]
            if turn % 2
            else box_of(deployment, leader(deployment)).name
            if leader(deployment)
            else cores[0]
        )
        rest = [core for core in cores if core != lone]
        links = deployment.cut([lone], rest, one_way=turn % 4 == 3, holds=True)
        monitor.run(1.0 + 0.4 * (turn % 3), rest)
        deployment.heal(links)
        monitor.run(1.5, cores)
    assert monitor.false_proofs == monitor.went_back == [] and len(monitor.acked) > 10
