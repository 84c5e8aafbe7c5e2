"""Tests the platform's operator API on a simulated cluster (docs/design/forwarding.md)."""

import json
from datetime import timedelta
from random import Random

from node_adapter import NodeAdapter
from operator_adapter import OperatorAdapter
from request_port import PlatformRequestPort

from sumachook.host.effects import Fetch
from sumachook.host.events import (
    CallFailed,
    HttpRequestReceived,
    ResponseReceived,
    Tick,
)
from sumachook.nodes.edge import Edge
from sumachook.runtime.clock import Clock
from sumachook.simulation.deployment import Deployment
from tests.deployment_fixtures import leader, spec
from tests.platform_adapters.platform_fixtures import (
    LIMITS,
    ROUTE,
    SERVICES,
    SETTINGS,
    SINGLE,
    ZONES,
    node_settings,
    sample_document,
)


class TransparentAdapter(OperatorAdapter):
    """An operator adapter that exposes the attributes of its state machine to the simulation."""

    def __getattr__(self, name):
        return getattr(self.machine, name)


class PlatformDeployment(Deployment):
    """A simulated deployment whose cores serve the platform's operator API."""

    def add_node(self, node, **more):
        box = super().add_node(node, **more)
        if node["role"] == "core":
            make = box.make
            box.make = lambda box: TransparentAdapter(make(box), "/nowhere/settings.toml", tuple(ZONES))
            box.machine = TransparentAdapter(box.machine, "/nowhere/settings.toml", tuple(ZONES))
        return box


class Operator:
    """Sends HTTP calls with raw bodies and headers, and records the responses by call number."""

    def __init__(self):
        self.waiting, self.answers, self.number = [], {}, 0

    def post(self, url, base, body, method="POST"):
        self.number += 1
        headers = {} if base is None else {"sumachook-base-version": str(base)}
        self.waiting.append(
            (self.number, method, url, headers, body if isinstance(body, bytes) else json.dumps(body).encode())
        )
        return self.number

    def take(self, message, now):
        match message:
            case Tick():
                sent, self.waiting = self.waiting, []
                return [Fetch(*each, timedelta(seconds=8), timedelta(seconds=8), "whole") for each in sent]
            case ResponseReceived(number, status, _, body):
                self.answers[number] = (status, body)
            case CallFailed(number):
                self.answers[number] = (0, b"")
        return []


class OperatorCluster:
    """A simulated cluster with an operator; a `version` is configured at the start."""

    def __init__(self, seed, version=None):
        self.deployment = PlatformDeployment(spec(), seed, 2)
        cores, edges = self.deployment.machines("core"), {edge.node for edge in self.deployment.machines("edge")}
        assert self.deployment.run_until(lambda: leader(self.deployment) is not None, 10)
        assert self.deployment.run_until(
            lambda: all(edges <= {member.node for member in core.membership.live} for core in cores), 5
        )
        self.deployment.add("operator", "operator", lambda box: Operator(), "", "", "operator")
        self.operator = self.deployment.boxes["operator"].machine
        if version:
            assert self.replace(sample_document(version), 0)[0] == 200

    def start(self, path, base, body, core="core-1", method="POST"):
        return self.operator.post(f"http://{self.deployment.boxes[core].http_address}{path}", base, body, method)

    def wait(self, *numbers):
        assert self.deployment.run_until(lambda: all(number in self.operator.answers for number in numbers), 9)
        return [self.operator.answers[number] for number in numbers]

    def call(self, *arguments, **more):
        return self.wait(self.start(*arguments, **more))[0]

    def replace(self, doc, base, **more):
        return self.call("/Configuration.Replace", base, doc, **more)

    def update(self, doc, base, **more):
        return self.call("/Configuration.Update", base, doc, **more)

    def read(self, core="core-1"):
        status, body = self.call("/Configuration.Read", None, b"", core, "GET")
        assert status == 200, (status, body)
        return json.loads(body)

    def states(self):
        return [machine.state for role in ("core", "edge") for machine in self.deployment.machines(role)]


def test_configuration_is_read_back_exactly_from_every_core():
    """An acknowledged configuration with unknown fields on several levels is read back unchanged from each core."""
    cluster = OperatorCluster(301)
    assert cluster.call("/Configuration.Read", None, b"", method="GET")[0] == 503
    doc = sample_document(7, routes=[{**ROUTE, "tenant": "t"}, SINGLE], limits={**LIMITS, "later": {"a": 1.0}})
    doc["services"] = [{**SERVICES[0], "colour": [1, None]}, SERVICES[1]]
    assert cluster.replace(doc, 0)[0] == 200
    for core in ("core-1", "core-2", "core-3"):
        assert json.dumps(cluster.read(core), sort_keys=True) == json.dumps(doc, sort_keys=True)


INVALID_CONFIGURATIONS = {
    "cut short": json.dumps(sample_document(9))[:-20].encode(),
    "not JSON": b"\xff{",
    "no object": b"[]",
    "nothing": b"",
    "unknown service": sample_document(9, [{**SINGLE, "service": "gone"}]),
    "one of a split": sample_document(
        9, [{**ROUTE, "weighted-split": [{"service": "huvo11a", "weight": 1}, {"service": "gone", "weight": 1}]}]
    ),
    "same host and prefix": sample_document(9, [ROUTE, {**ROUTE, "name": "r-9"}]),
    "no weight": sample_document(9, [{**ROUTE, "weighted-split": [{"service": "huvo11a", "weight": 0}]}]),
    "no split": sample_document(9, [{**ROUTE, "weighted-split": []}]),
    "no time": sample_document(9, [{**ROUTE, "timeout-ms": 0}]),
    "same version": sample_document(7),
    "lower version": sample_document(6),
    "no version": {field: value for field, value in sample_document(9).items() if field != "version"},
    "version in words": sample_document("9"),
    "a strange kind": sample_document(9, [{**ROUTE, "route-kind": "often"}]),
    "same name": sample_document(9, [ROUTE, {**ROUTE, "path-prefix": "/q/"}]),
    "routes that are none": sample_document(9, [7]),
    "deep": b"[" * 100000,
}

# not among the answers of `tests/fixtures/wire/platform_answers.txt`, which are older
LATER_INVALID_CONFIGURATIONS = {
    "unknown service beside a split": sample_document(
        9, [{**ROUTE, "service": "gone", "weighted-split": [{"service": "huvo11a", "weight": 1}]}]
    ),
}


def test_invalid_configurations_are_rejected_without_effect():
    """Each core rejects every kind of invalid configuration with 4xx, sent whole or as an update with a valid route, and no node
    applies any part of it."""
    cluster = OperatorCluster(302, 7)
    good = {**SINGLE, "name": "r-good", "path-prefix": "/good/"}
    for index, (title, doc) in enumerate({**INVALID_CONFIGURATIONS, **LATER_INVALID_CONFIGURATIONS}.items()):
        core = f"core-{index % 3 + 1}"
        status, body = cluster.replace(doc, 7, core=core)
        assert status == 400, (title, status, body)
        if isinstance(doc, dict):
            part = {field: doc[field] for field in ("version",) if field in doc}
            routes = [
                good,
                *(
                    {**route, "name": f"{route['name']}-x", "path-prefix": route["path-prefix"] + "x/"}
                    if isinstance(route, dict) and "same" not in title
                    else route
                    for route in doc["routes"]
                ),
            ]
            status, _ = cluster.update({**part, "upserts": {"routes": routes}}, 7, core=core)
            assert status == 400 or title == "same name", (title, status)
            if title == "same name":
                assert status == 400
    for base in (None, "x", "-1", "7.0"):
        assert cluster.replace(sample_document(9), base)[0] == 400
    assert (
        cluster.update({"version": 9, "upserts": [], "removals": {}}, 7)[0] == 400
        and cluster.update({"version": 9, "removals": ["r-1"]}, 7)[0] == 400
    )
    cluster.deployment.run(0.5)
    assert {state.version for state in cluster.states()} == {7} and cluster.read("core-2") == sample_document(7)
    assert all([route.name for route in state.catalogue.http_routes] == ["r-1", "r-2"] for state in cluster.states())


def test_stale_base_version_gets_412_and_repeated_change_gets_200():
    """After versions 7 and 9, another change based on 7 gets 412. A repeat of either accepted change gets 200 at any core and
    changes nothing."""
    cluster = OperatorCluster(303, 7)
    part = {
        "version": 9,
        "upserts": {"routes": [{**SINGLE, "name": "r-3", "path-prefix": "/new/"}]},
        "removals": {"routes": ["r-2"]},
    }
    assert cluster.update(part, 7)[0] == 200
    assert (
        cluster.replace(sample_document(11), 7)[0] == 412
        and cluster.update({**part, "version": 11}, 7, core="core-2")[0] == 412
    )
    for core in ("core-1", "core-2", "core-3"):
        assert (
            cluster.update(part, 7, core=core)[0] == 200 and cluster.replace(sample_document(7), 0, core=core)[0] == 200
        )
    assert cluster.read("core-3") == sample_document(9, [ROUTE, {**SINGLE, "name": "r-3", "path-prefix": "/new/"}])


def test_updates_add_replace_and_remove_by_name():
    """An update replaces whole items of the same name, appends new items and removes the named ones."""
    cluster = OperatorCluster(304, 7)
    changed = {**SINGLE, "timeout-ms": 100}
    del changed["target-latency-ms"]
    fresh = {"name": "new", "health-path": "/h", "connection-limit": 9, "odd": 1}
    assert (
        cluster.update({"version": 9, "upserts": {"routes": [changed], "services": [fresh]}, "removals": {}}, 7)[0]
        == 200
    )
    assert cluster.update({"version": 12, "removals": {"routes": ["r-1", "never"], "services": []}}, 9)[0] == 200
    assert cluster.read() == {**sample_document(12, [changed]), "services": [*SERVICES, fresh]}
    assert cluster.update({"version": 13, "removals": {"services": ["huvo11a"]}}, 12)[0] == 400


def test_one_of_two_concurrent_changes_with_same_base_is_accepted():
    """Of two concurrent changes with the same base version at two cores, one gets 200 and the other 412, in each of six rounds;
    the accepted one is read back."""
    cluster, base = OperatorCluster(305, 7), 7
    for turn in range(6):
        docs = [
            sample_document(base + 1 + (index + turn) % 2, [{**SINGLE, "timeout-ms": 1000 + 10 * turn + index}])
            for index in (0, 1)
        ]
        answers = cluster.wait(
            *(cluster.start("/Configuration.Replace", base, doc, f"core-{index + 1}") for index, doc in enumerate(docs))
        )
        assert sorted(status for status, _ in answers) == [200, 412], answers
        winner = docs[[status for status, _ in answers].index(200)]
        assert cluster.read("core-3") == winner
        base = winner["version"]


def test_area_is_evacuated_and_restored():
    """An evacuation and its end, also when repeated, are acknowledged once all edges have applied them. A configuration change
    does not end an evacuation."""
    cluster = OperatorCluster(306, 7)
    for core in ("core-1", "core-2", "core-1"):
        assert cluster.call("/Evacuation.Start/hall-b", None, b"", core)[0] == 200
    assert {state.is_open("hall-b") for state in cluster.states()} == {False} and {
        state.is_open("hall-a") for state in cluster.states()
    } == {True}
    assert cluster.replace(sample_document(8), 7)[0] == 200
    assert {state.is_open("hall-b") for state in cluster.states()} == {False}
    assert (
        cluster.call("/Evacuation.Finish/hall-b", None, b"", "core-3")[0] == 200
        and cluster.call("/Evacuation.Finish/hall-b", None, b"")[0] == 200
    )
    assert {state.is_open("hall-b") for state in cluster.states()} == {True}
    assert (
        cluster.call("/Evacuation.Start/nowhere", None, b"")[0] == 400
        and cluster.call("/Evacuation.Start/", None, b"")[0] == 400
    )


def _unconnected_edge():

    return Edge(node_settings(SETTINGS, "edge")[0], {}, 1, Clock(), Random(1), PlatformRequestPort())


def test_readiness_reports_condition_of_node():
    """The readiness path returns 200 for an edge connected to the cluster and 503 for one that is not yet. An unknown operator
    call gets a 4xx status and changes nothing."""
    cluster = OperatorCluster(307, 7)
    for edge, status in ((cluster.deployment.machines("edge")[0], 200), (_unconnected_edge(), 503)):
        request = HttpRequestReceived(5, "GET", "/readiness", {}, b"")
        (answer,) = NodeAdapter(edge, "/nowhere").take(request, cluster.deployment.now)
        assert (answer.call_id, answer.status) == (5, status)
    assert 400 <= cluster.call("/Configuration.Forget", 7, sample_document(9))[0] < 500
    assert {state.version for state in cluster.states()} == {7}
