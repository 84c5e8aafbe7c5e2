"""Reads the files of an example deployment and runs its whole fleet in memory."""

import json
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any

from sumachook.configuration.node_settings import NodeSettings
from sumachook.host.effects import Fetch
from sumachook.host.events import CallFailed, Event, ResponseReceived, Tick
from sumachook.nodes.core import Core
from sumachook.nodes.edge import Edge
from sumachook.simulation.callers import Callers
from sumachook.simulation.fleet import Box, Fleet
from sumachook.simulation.model import ModelServer, Record
from sumachook.simulation.platform import Platform
from sumachook.simulation.probe import Probe
from sumachook.simulation.records import RecordsServer

SETTINGS_FIELDS = {"door": "http_address", "area": "zone"}  # document key -> attribute of NodeSettings


class DeploymentSpec:
    """The catalogue, servers, traffic and nodes of one example deployment (docs/design/simulation.md).

    They are read from the JSON files of one folder.
    """

    __slots__ = ("catalogue", "servers", "traffic", "nodes", "cluster", "platform")

    def __init__(self, folder: Path) -> None:
        read = {
            name: json.loads((folder / f"{name}.json").read_text())
            for name in ("catalogue", "servers", "traffic", "nodes")
        }
        self.catalogue, self.servers, self.traffic = (
            read["catalogue"],
            read["servers"]["servers"],
            read["traffic"]["groups"],
        )
        self.nodes, self.cluster, self.platform = (
            read["nodes"]["nodes"],
            read["nodes"]["cluster"],
            read["nodes"]["platform"],
        )

    def settings(self, node: dict[str, Any], **more: Any) -> dict[str, Any]:
        """Returns the settings document of a node; `more` overrides its keys."""
        cores = [other["address"] for other in self.nodes if other["role"] == "core"]
        doc = {
            "node": node["name"],
            "address": node["address"],
            "door": node["door"],
            "area": node["area"],
            "seeds": cores,
            "cluster": self.cluster,
            "platform": self.platform,
        }
        if node["role"] == "core":
            doc |= {"founding": cores, "data": f"data/{node['name']}"}
        return doc | more


class Deployment(Fleet):
    """An example deployment in memory: nodes, simulated servers and platform, and clients.

    docs/design/simulation.md describes it.
    """

    __slots__ = ("spec", "extra_settings", "records", "orders", "probe")

    records: dict[str, Any]
    orders: list[Any]
    probe: Probe | None

    def __init__(
        self,
        spec: DeploymentSpec,
        seed: int,
        edges: Any = None,
        load_rate: float = 40.0,
        has_ids: bool = True,
        **extra_settings: Any,
    ) -> None:
        super().__init__(seed, spec.cluster)
        self.spec, self.extra_settings, self.records, self.orders, self.probe = spec, extra_settings, {}, [], None
        self.add("platform", "platform", lambda box: Platform(spec.servers), "", "", spec.platform)
        for server in spec.servers:
            self.add_server(server, load_rate, has_ids)
        chosen = [node for node in spec.nodes if node["role"] == "core"]
        chosen += [node for node in spec.nodes if node["role"] == "edge"][:edges]
        for node in chosen:
            self.add_node(node)

    def add_server(self, server: Any, load_rate: float = 40.0, has_ids: bool = True) -> None:
        """Adds and starts a simulated server; its record is kept across its restarts."""
        record = self.records.setdefault(server["name"], Record())

        def make(box: Box) -> Any:
            if server["kind"] == "records":
                return RecordsServer(server["name"])
            return ModelServer(server, self.spec.catalogue, (), load_rate, has_ids, record)

        self.add(server["name"], server["kind"], make, server["area"], "", server["address"])

    def add_node(self, node: Any, **more: Any) -> Box:
        """Adds and starts a core or an edge and returns its box; `more` overrides its settings."""
        role = Core if node["role"] == "core" else Edge
        fields: dict[str, Any] = {
            SETTINGS_FIELDS.get(name, name): tuple(value) if isinstance(value, list) else value
            for name, value in self.spec.settings(node, **self.extra_settings, **more).items()
        }
        settings = NodeSettings(**fields)

        def make(box: Box) -> Any:
            return role(settings, box.records, box.restart_epochs, box.clock, Random(self.random.random()))

        return self.add(node["name"], node["role"], make, node["area"], node["address"], node["door"])

    def start_callers(self, pace: float = 1.0, traffic: Any = None, name: str = "callers", edges: Any = None) -> Any:
        """Starts clients that send `traffic` to the given edges, and returns their state machine.

        By default they send the deployment's own traffic to all edges.
        """
        http_addresses = {
            box.name: box.http_address
            for box in self.boxes.values()
            if box.role == "edge" and (edges is None or box.name in edges)
        }
        zones = {edge: self.boxes[edge].zone for edge in http_addresses}
        groups = self.spec.traffic if traffic is None else traffic
        self.add(
            name,
            "callers",
            lambda box: Callers(
                http_addresses,
                groups,
                self.spec.catalogue,
                Random(self.random.random()),
                self.now,
                pace,
                None,
                name,
                zones,
            ),
            "",
            "",
            name,
        )
        return self.boxes[name].machine

    def start_probe(self) -> Any:
        """Starts and returns a probe that checks whether the edges apply acknowledged changes of keys."""
        self.probe = Probe(self)
        self.add("probe", "probe", lambda box: self.probe, "", "", "probe")
        return self.probe

    def operator(self) -> Any:
        """Returns the state machine of the operator's client, which the first call starts."""
        box = self.boxes.get("operator") or self.add("operator", "operator", lambda box: Operator(), "", "", "operator")
        return box.machine

    def inside(self, *but: str) -> list[Any]:
        """Names the boxes that a network partition can separate: nodes, servers and the platform, except `but`."""
        return [
            box.name
            for box in self.boxes.values()
            if box.role in ("core", "edge", "model", "records", "platform") and box.name not in but
        ]

    def machines(self, role: str) -> list[Any]:
        """Returns the state machines of the running processes with the given role."""
        return [box.machine for box in self.boxes.values() if box.role == role and box.machine is not None]

    def ask(
        self,
        core: str,
        method: str,
        path: str,
        doc: Any = None,
        wait: float = 8.0,
        step: Callable[[], object] | None = None,
        follows: bool = True,
    ) -> Any:
        """Sends an operator's request to a core and returns (status, answer), or None after `wait` seconds.

        The request is recorded in `orders` for the invariant checker. `step` advances the simulation in place of the
        default wait.
        """
        sent_at = self.now
        operator = self.operator()
        number = operator.ask(f"http://{self.boxes[core].http_address}{path}", method, doc, follows)
        self._deliver(self.boxes["operator"], Tick())
        if step is None:
            self.run_until(lambda: number in operator.answers, wait)
        while step is not None and number not in operator.answers and self.now - sent_at < timedelta(seconds=wait):
            step()  # the calling code has other work to do while it waits
        answer = operator.answers.get(number)
        self.orders.append((path, doc, sent_at, self.now, answer[0] if answer else 0))
        return answer


class Operator:
    """State machine of an operator's HTTP client: sends requests, follows redirects and keeps the answers."""

    __slots__ = ("waiting", "answers", "number", "redirects")

    waiting: list[Any]
    answers: dict[Any, Any]
    redirects: dict[Any, Any]

    MOST_REDIRECTS = 2
    WAIT = timedelta(seconds=8)

    def __init__(self) -> None:
        self.waiting, self.answers, self.number = [], {}, 0
        self.redirects = {}  # request number -> (method, document, redirects left to follow)

    def ask(self, url: str, method: str, doc: Any, follows: bool = True) -> int:
        """Queues a request to be sent at the next tick and returns its number."""
        self.number += 1
        self.waiting.append((self.number, url, method, doc))
        if follows:
            self.redirects[self.number] = (method, doc, self.MOST_REDIRECTS)
        return self.number

    def take(self, event: Event, now: timedelta) -> list[Any]:
        """Handles an event and returns the resulting effects."""
        match event:
            case Tick():
                sent, self.waiting = self.waiting, []
                return [self._fetch(*call) for call in sent]
            case ResponseReceived():
                return self._handle_response(event)
            case CallFailed(number, failure):
                self.redirects.pop(number, None)
                self.answers[number] = (0, failure)
        return []

    def _handle_response(self, event: ResponseReceived) -> list[Any]:
        number = event.call_id
        method, doc, left = self.redirects.get(number, (None, None, 0))
        if event.status == 307 and left:
            self.redirects[number] = (method, doc, left - 1)
            return [self._fetch(number, event.headers["location"], method, doc)]
        self.redirects.pop(number, None)
        self.answers[number] = (event.status, json.loads(event.body))
        return []

    def _fetch(self, number: int, url: str, method: str, doc: Any) -> Any:
        body = json.dumps(doc).encode() if doc is not None else b""
        return Fetch(number, method, url, {}, body, self.WAIT, self.WAIT, "whole")
