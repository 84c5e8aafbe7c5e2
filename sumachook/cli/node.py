"""Commands that run a node: `core`, `edge`."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from sumachook.cli.files import read_json
from sumachook.configuration.node_settings import NodeSettings, read_node_settings
from sumachook.host.machine import NodeMachine
from sumachook.nodes.serve import USAGE, NodeStart, fail, serve

Text = Annotated[str | None, cappa.Arg(long=True)]


@dataclass(slots=True)
class NodeFlags:
    """Flags of core and edge; each one goes before the params file's entry."""

    params: Annotated[str | None, cappa.Arg(long=True, help="params file (JSON)")] = None
    node: Annotated[str | None, cappa.Arg(long=True, help="name of this node")] = None
    address: Annotated[str | None, cappa.Arg(long=True, help="IP:PORT for the other nodes (TCP and UDP)")] = None
    door: Annotated[str | None, cappa.Arg(long=True, help="IP:PORT for HTTP")] = None
    area: Annotated[str | None, cappa.Arg(long=True, help="area this machine stands in")] = None
    cluster: Annotated[str | None, cappa.Arg(long=True, help="name all nodes share")] = None
    seed: Annotated[list[str], cappa.Arg(long=True, help="IP:PORT of another node, up to three")] = field(
        default_factory=list
    )
    founding: Annotated[list[str], cappa.Arg(long=True, help="IP:PORT of the three founding cores")] = field(
        default_factory=list
    )
    data: Annotated[str | None, cappa.Arg(long=True, help="data folder")] = None
    platform: Annotated[str | None, cappa.Arg(long=True, help="IP:PORT of the platform's list")] = None
    log_level: Annotated[str | None, cappa.Arg(long=True, help="debug, info, warning or error")] = None

    def read(self, role: str) -> NodeSettings:
        """The settings of a node of this role; ends the command where they can't be used."""
        doc = read_json(self.params) if self.params else {}
        if not isinstance(doc, dict):
            fail(USAGE, f"{self.params}: an object is needed")
        flags = {
            "node": self.node,
            "address": self.address,
            "door": self.door,
            "area": self.area,
            "cluster": self.cluster,
            "seeds": self.seed or None,
            "founding": self.founding or None,
            "data": self.data,
            "platform": self.platform,
            "logLevel": self.log_level,
        }
        doc |= {name: value for name, value in flags.items() if value is not None}
        params, found = read_node_settings(doc, role)
        if params is None:
            fail(USAGE, *(f"{self.params or 'flags'}: {path}: {reason}" for path, reason in found))
        return params


def serve_node(flags: NodeFlags, role: str, make: Callable[[NodeStart], NodeMachine]) -> None:
    """Runs a node until it leaves."""
    serve(flags.read(role), role, make)


def serve_core(command: "Core") -> None:
    """Runs a core."""
    from sumachook.nodes.core import Core as Machine

    serve_node(command.flags, "core", lambda start: Machine(*start))


def serve_edge(command: "Edge") -> None:
    """Runs an edge."""
    from sumachook.nodes.edge import Edge as Machine

    serve_node(command.flags, "edge", lambda start: Machine(*start))


@cappa.command(name="core", invoke=serve_core, help="Run a core: control state, feed, duties, ledger.")
@dataclass(slots=True)
class Core:
    """A core to be run."""

    flags: Annotated[NodeFlags, cappa.Arg(destructure=True)]


@cappa.command(name="edge", invoke=serve_edge, help="Run an edge: the caller-facing router.")
@dataclass(slots=True)
class Edge:
    """An edge to be run."""

    flags: Annotated[NodeFlags, cappa.Arg(destructure=True)]
