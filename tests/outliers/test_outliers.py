"""Detection and ejection of servers that fail requests while they appear healthy."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from sumachook.host.events import MessageReceived
from sumachook.outliers.detector import MAX_EJECTION, OutlierDetector
from sumachook.outliers.effects import ServersEjected
from sumachook.outliers.events import Tick
from sumachook.outliers.messages import OutcomeReport
from tests.forwarding.forwarding_fixtures import ONCE, PLAIN, SERVERS, Scene, server

SECOND = timedelta(seconds=1)


class Detection:
    """A detector for the servers of one service; `report` passes the counts of an edge, `detect` returns the ejections."""

    def __init__(self, servers=6):
        self.names = [f"s{number}" for number in range(servers)]
        self.detector = OutlierDetector(SimpleNamespace(servers={name: server("records") for name in self.names}))
        self.now = SECOND * 100

    def report(self, edge="e1", **counts):
        report = MessageReceived(edge, "10.0.0.1:1", OutcomeReport(counts))
        assert self.detector.take(report, self.now) == []

    def detect(self, fence=7):
        effects = self.detector.take(Tick(fence), self.now)
        ejected = [effect for effect in effects if isinstance(effect, ServersEjected)]
        return {name: ms for effect in ejected for name, ms in effect.durations_ms.items()}

    def run(self, seconds):
        self.now += SECOND * seconds


def test_failing_server_is_ejected_although_each_edge_saw_one_failure():
    """Three edges that each report one failure of the same server, while the others answer, together cause its ejection."""
    detection = Detection()
    for edge in ("e1", "e2", "e3"):
        detection.report(edge, s0=(1, 1), s1=(4, 0), s2=(3, 0))
    assert detection.detect() == {"s0": 2000}
    assert detection.detect() == {}


@pytest.mark.parametrize(
    "counts",
    [
        {"s0": (0, 1), "s1": (9, 0)},  # a single failure
        {"s0": (40, 3), "s1": (9, 0)},  # a low failure rate
        {f"s{number}": (2, 3) for number in range(6)},  # the same failure rate at all servers
    ],
)
def test_few_or_rare_or_common_failures_eject_no_server(counts):
    """Failures that are few, rare, or alike at all servers eject no server."""
    detection = Detection()
    detection.report(**counts)
    assert detection.detect() == {}


def test_at_most_a_third_of_a_service_is_ejected():
    """Of three failing servers among six, two are ejected, and the third only once those are back."""
    detection = Detection()
    detection.report(s0=(0, 9), s1=(0, 8), s2=(0, 7), s3=(50, 0), s4=(50, 0), s5=(50, 0))
    assert set(detection.detect()) == {"s0", "s1"}
    detection.report(s2=(0, 5), s3=(50, 0), s4=(50, 0), s5=(50, 0))
    assert detection.detect() == {}
    detection.run(2.1)
    detection.report(s2=(0, 5), s3=(50, 0), s4=(50, 0), s5=(50, 0))
    assert set(detection.detect()) == {"s2"}


def test_no_server_of_a_service_of_two_is_ejected():
    """A failing server of two is not ejected; each edge's circuit breaker still applies."""
    detection = Detection(servers=2)
    detection.report(s0=(0, 9), s1=(9, 0))
    assert detection.detect() == {}


def test_ejections_of_a_failing_server_double_up_to_a_maximum():
    """The ejections of a server that fails whenever it is back double up to eight seconds; after a long time without
    failures the first duration applies again.
    """
    detection, durations_ms = Detection(), []
    for _ in range(4):
        detection.report(s0=(0, 5), s1=(9, 0))
        durations_ms += detection.detect().values()
        detection.run(durations_ms[-1] / 1000 + 0.1)
    assert durations_ms == [2000, 4000, 8000, MAX_EJECTION / timedelta(milliseconds=1)]
    detection.run(30)
    detection.report(s0=(0, 5), s1=(9, 0))
    assert detection.detect() == {"s0": 2000}


def test_core_without_the_placer_lease_ejects_no_server():
    """A core without the placer lease collects reports, but ejects no server until it has the lease."""
    detection = Detection()
    detection.report(s0=(0, 5), s1=(9, 0))
    assert detection.detect(fence=0) == {}
    assert detection.detect() == {"s0": 2000}


def test_ejected_server_gets_no_requests_while_another_is_available():
    """Non-idempotent requests avoid an ejected server until its ejection ends; then it is selected again."""
    scene = Scene()
    scene.take("eject", {"r1": 2000})
    for _ in range(12):
        scene.answer(scene.ask(ONCE))
    assert "r1" not in {dict(send[4])["x-expect-instance"] for send in scene.sends()}
    scene.run(2.1)
    for _ in range(12):  # all in flight at once: one at a time, they would reuse the kept connection
        scene.ask(ONCE)
    assert "r1" in {dict(send[4])["x-expect-instance"] for send in scene.sends()}


def test_ejected_server_is_used_if_it_is_the_only_one():
    """A request to a service whose only server is ejected is sent there nevertheless."""
    scene = Scene(servers={"r1": SERVERS["r1"]})
    scene.take("eject", {"r1": 2000})
    cid = scene.ask(PLAIN)
    scene.answer(cid)
    assert scene.status(cid) == 200


def test_edge_reports_outcomes_within_a_tenth_of_a_second_of_a_failure():
    """Outcomes are not due after half a second without a failure, and due a tenth of a second after a failure."""
    scene = Scene(servers={"r1": SERVERS["r1"]})
    scene.answer(scene.ask(ONCE))
    outcome_counts = scene.table.outcome_counts
    outcome_counts.reported_at = scene.now
    assert outcome_counts.due(scene.now + SECOND * 0.5) is None
    scene.answer(scene.ask(ONCE), 500)
    assert outcome_counts.due(scene.now + SECOND * 0.1) == {"r1": (1, 1)}
    assert outcome_counts.due(scene.now + SECOND * 9) is None
