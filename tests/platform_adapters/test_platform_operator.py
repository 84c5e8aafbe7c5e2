"""The calls of the platform's operator over a fleet (docs/design/forwarding.md)."""

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
    whole,
)


class FleetAdapter(OperatorAdapter):
    """A face that the fleet's own tools can look through."""

    def __getattr__(self, name):
        return getattr(self.machine, name)


class FacedDeployment(Deployment):
    """A town whose cores are spoken to as the platform does."""

    def add_node(self, node, **more):
        box = super().add_node(node, **more)
        if node["role"] == "core":
            make = box.make
            box.make = lambda box: FleetAdapter(make(box), "/nowhere/settings.toml", tuple(ZONES))
            box.machine = FleetAdapter(box.machine, "/nowhere/settings.toml", tuple(ZONES))
        return box


class Operator:
    """Calls with raw bodies and headers, and keeps the answers."""

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


class Scene:
    """A fleet with its operator."""

    def __init__(self, seed, version=None):
        self.deployment = FacedDeployment(spec(), seed, 2)
        cores, edges = self.deployment.machines("core"), {edge.node for edge in self.deployment.machines("edge")}
        assert self.deployment.run_until(lambda: leader(self.deployment) is not None, 10)
        assert self.deployment.run_until(
            lambda: all(edges <= {member.node for member in core.membership.live} for core in cores), 5
        )
        self.deployment.add("operator", "operator", lambda box: Operator(), "", "", "operator")
        self.operator = self.deployment.boxes["operator"].machine
        if version:
            assert self.replace(whole(version), 0)[0] == 200

    def start(self, path, base, body, core="core-1", method="POST"):
        return self.operator.post(f"http://{self.deployment.boxes[core].http_address}{path}", base, body, method)

    def wait(self, *numbers):
        assert self.deployment.run_until(lambda: all(number in self.operator.answers for number in numbers), 9)
        return [self.operator.answers[number] for number in numbers]

    def call(self, *given, **more):
        return self.wait(self.start(*given, **more))[0]

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


def test_what_was_sent_is_read_back_exactly_at_any_core():
    """Given a configuration with unknown fields on many levels, once it is acknowledged each core reads back just that."""
    scene = Scene(301)
    assert scene.call("/Configuration.Read", None, b"", method="GET")[0] == 503
    doc = whole(7, routes=[{**ROUTE, "tenant": "t"}, SINGLE], limits={**LIMITS, "later": {"a": 1.0}})
    doc["services"] = [{**SERVICES[0], "colour": [1, None]}, SERVICES[1]]
    assert scene.replace(doc, 0)[0] == 200
    for core in ("core-1", "core-2", "core-3"):
        assert json.dumps(scene.read(core), sort_keys=True) == json.dumps(doc, sort_keys=True)


BAD = {
    "cut short": json.dumps(whole(9))[:-20].encode(),
    "not JSON": b"\xff{",
    "no object": b"[]",
    "nothing": b"",
    "unknown service": whole(9, [{**SINGLE, "service": "gone"}]),
    "one of a split": whole(
        9, [{**ROUTE, "weighted-split": [{"service": "huvo11a", "weight": 1}, {"service": "gone", "weight": 1}]}]
    ),
    "same host and prefix": whole(9, [ROUTE, {**ROUTE, "name": "r-9"}]),
    "no weight": whole(9, [{**ROUTE, "weighted-split": [{"service": "huvo11a", "weight": 0}]}]),
    "no split": whole(9, [{**ROUTE, "weighted-split": []}]),
    "no time": whole(9, [{**ROUTE, "timeout-ms": 0}]),
    "same version": whole(7),
    "lower version": whole(6),
    "no version": {field: value for field, value in whole(9).items() if field != "version"},
    "version in words": whole("9"),
    "a strange kind": whole(9, [{**ROUTE, "route-kind": "often"}]),
    "same name": whole(9, [ROUTE, {**ROUTE, "path-prefix": "/q/"}]),
    "routes that are none": whole(9, [7]),
    "deep": b"[" * 100000,
}


def test_no_invalid_configuration_is_acknowledged_or_half_in_force():
    """Given every invalid kind, as a whole and as an update beside a good route, each core answers 4xx and nothing moves anywhere."""
    scene = Scene(302, 7)
    good = {**SINGLE, "name": "r-good", "path-prefix": "/good/"}
    for place, (what, doc) in enumerate(BAD.items()):
        core = f"core-{place % 3 + 1}"
        status, body = scene.replace(doc, 7, core=core)
        assert status == 400, (what, status, body)
        if isinstance(doc, dict):
            part = {field: doc[field] for field in ("version",) if field in doc}
            routes = [
                good,
                *(
                    {**route, "name": f"{route['name']}-x", "path-prefix": route["path-prefix"] + "x/"}
                    if isinstance(route, dict) and "same" not in what
                    else route
                    for route in doc["routes"]
                ),
            ]
            status, _ = scene.update({**part, "upserts": {"routes": routes}}, 7, core=core)
            assert status == 400 or what == "same name", (what, status)
            if what == "same name":
                assert status == 400
    for base in (None, "x", "-1", "7.0"):
        assert scene.replace(whole(9), base)[0] == 400
    assert (
        scene.update({"version": 9, "upserts": [], "removals": {}}, 7)[0] == 400
        and scene.update({"version": 9, "removals": ["r-1"]}, 7)[0] == 400
    )
    scene.deployment.run(0.5)
    assert {state.version for state in scene.states()} == {7} and scene.read("core-2") == whole(7)
    assert all([route.name for route in state.catalogue.http_routes] == ["r-1", "r-2"] for state in scene.states())


def test_a_stale_base_is_told_so_and_a_repeat_is_acknowledged():
    """Given version 7 and then 9 on it, another change on 7 gets 412; either one that was taken gets 200 again at any core, and what
    stands stays."""
    scene = Scene(303, 7)
    part = {
        "version": 9,
        "upserts": {"routes": [{**SINGLE, "name": "r-3", "path-prefix": "/new/"}]},
        "removals": {"routes": ["r-2"]},
    }
    assert scene.update(part, 7)[0] == 200
    assert scene.replace(whole(11), 7)[0] == 412 and scene.update({**part, "version": 11}, 7, core="core-2")[0] == 412
    for core in ("core-1", "core-2", "core-3"):
        assert scene.update(part, 7, core=core)[0] == 200 and scene.replace(whole(7), 0, core=core)[0] == 200
    assert scene.read("core-3") == whole(9, [ROUTE, {**SINGLE, "name": "r-3", "path-prefix": "/new/"}])


def test_updates_add_replace_and_remove_by_name():
    """Given updates of routes and services, items take the place of those of their name whole, new ones follow, named ones go."""
    scene = Scene(304, 7)
    changed = {**SINGLE, "timeout-ms": 100}
    del changed["target-latency-ms"]
    fresh = {"name": "new", "health-path": "/h", "connection-limit": 9, "odd": 1}
    assert (
        scene.update({"version": 9, "upserts": {"routes": [changed], "services": [fresh]}, "removals": {}}, 7)[0] == 200
    )
    assert scene.update({"version": 12, "removals": {"routes": ["r-1", "never"], "services": []}}, 9)[0] == 200
    assert scene.read() == {**whole(12, [changed]), "services": [*SERVICES, fresh]}
    assert scene.update({"version": 13, "removals": {"services": ["huvo11a"]}}, 12)[0] == 400


def test_of_two_on_one_base_one_wins():
    """Given two operators at two cores on one version at once, over and over, one hears 200 and the other 412, and the winner's is read."""
    scene, base = Scene(305, 7), 7
    for turn in range(6):
        docs = [
            whole(base + 1 + (place + turn) % 2, [{**SINGLE, "timeout-ms": 1000 + 10 * turn + place}])
            for place in (0, 1)
        ]
        answers = scene.wait(
            *(scene.start("/Configuration.Replace", base, doc, f"core-{place + 1}") for place, doc in enumerate(docs))
        )
        assert sorted(status for status, _ in answers) == [200, 412], answers
        winner = docs[[status for status, _ in answers].index(200)]
        assert scene.read("core-3") == winner
        base = winner["version"]


def test_an_area_is_emptied_and_taken_back():
    """Given an evacuation and its end, repeated as callers do, each is acknowledged once all edges obey, over configurations too."""
    scene = Scene(306, 7)
    for core in ("core-1", "core-2", "core-1"):
        assert scene.call("/Evacuation.Start/hall-b", None, b"", core)[0] == 200
    assert {state.is_open("hall-b") for state in scene.states()} == {False} and {
        state.is_open("hall-a") for state in scene.states()
    } == {True}
    assert scene.replace(whole(8), 7)[0] == 200
    assert {state.is_open("hall-b") for state in scene.states()} == {False}
    assert (
        scene.call("/Evacuation.Finish/hall-b", None, b"", "core-3")[0] == 200
        and scene.call("/Evacuation.Finish/hall-b", None, b"")[0] == 200
    )
    assert {state.is_open("hall-b") for state in scene.states()} == {True}
    assert (
        scene.call("/Evacuation.Start/nowhere", None, b"")[0] == 400
        and scene.call("/Evacuation.Start/", None, b"")[0] == 400
    )


def _blank_edge():

    return Edge(node_settings(SETTINGS, "edge")[0], {}, 1, Clock(), Random(1), PlatformRequestPort())


def test_readiness_is_the_nodes_condition():
    """Given an edge that is in touch, and one that is not yet, its readiness is its condition; a call that a core does not know is
    an error and moves nothing."""
    scene = Scene(307, 7)
    for edge, status in ((scene.deployment.machines("edge")[0], 200), (_blank_edge(), 503)):
        request = HttpRequestReceived(5, "GET", "/readiness", {}, b"")
        (answer,) = NodeAdapter(edge, "/nowhere").take(request, scene.deployment.now)
        assert (answer.call_id, answer.status) == (5, status)
    assert 400 <= scene.call("/Configuration.Forget", 7, whole(9))[0] < 500
    assert {state.version for state in scene.states()} == {7}
