"""Commands that run a node: `core` and `edge`."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from sumachook.cli.files import read_json
from sumachook.configuration.node_settings import NodeSettings, read_node_settings
from sumachook.host.machine import NodeMachine
from sumachook.nodes.serve import USAGE, NodeStart, fail, serve

OptionalText = Annotated[str | None, cappa.Arg(long=True)]


@dataclass(slots=True)
class NodeFlags:
    """Flags of `core` and `edge`; a flag overrides the same setting in the params file."""

    params: Annotated[str | None, cappa.Arg(long=True, help="JSON file with the settings of the node")] = None
    node: Annotated[str | None, cappa.Arg(long=True, help="name of this node")] = None
    address: Annotated[str | None, cappa.Arg(long=True, help="IP:PORT for other nodes (TCP and UDP)")] = None
    door: Annotated[str | None, cappa.Arg(long=True, help="IP:PORT of the HTTP interface")] = None
    area: Annotated[str | None, cappa.Arg(long=True, help="area that the machine belongs to")] = None
    cluster: Annotated[str | None, cappa.Arg(long=True, help="cluster name, the same on all nodes")] = None
    seed: Annotated[list[str], cappa.Arg(long=True, help="IP:PORT of another node, up to three")] = field(
        default_factory=list
    )
    founding: Annotated[list[str], cappa.Arg(long=True, help="IP:PORT of the three founding cores")] = field(
        default_factory=list
    )
    data: Annotated[str | None, cappa.Arg(long=True, help="directory for stored data")] = None
    platform: Annotated[str | None, cappa.Arg(long=True, help="IP:PORT of the platform's server list")] = None
    log_level: Annotated[str | None, cappa.Arg(long=True, help="log level: debug, info, warning or error")] = None

    def read(self, role: str) -> NodeSettings:
        """Returns the validated settings of a node; ends the command with USAGE if they are invalid."""
        doc = read_json(self.params) if self.params else {}
        if not isinstance(doc, dict):
            fail(USAGE, f"{self.params}: expected a JSON object")
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
        settings, issues = read_node_settings(doc, role)
        if settings is None:
            fail(USAGE, *(f"{self.params or 'flags'}: {path}: {reason}" for path, reason in issues))
        return settings


def serve_node(flags: NodeFlags, role: str, make: Callable[[NodeStart], NodeMachine]) -> None:
    """Runs a node until it has left the cluster and shut down."""
    serve(flags.read(role), role, make)


def serve_core(command: "Core") -> None:
    """Runs a core until it shuts down."""
    from sumachook.nodes.core import Core as Machine

    serve_node(command.flags, "core", lambda start: Machine(*start))


def serve_edge(command: "Edge") -> None:
    """Runs an edge until it shuts down."""
    from sumachook.nodes.edge import Edge as Machine

    serve_node(command.flags, "edge", lambda start: Machine(*start))


@cappa.command(name="core", invoke=serve_core, help="Run a core: control state, change feed, leases and ledger.")
@dataclass(slots=True)
class Core:
    """Arguments of the `core` command."""

    flags: Annotated[NodeFlags, cappa.Arg(destructure=True)]


@cappa.command(name="edge", invoke=serve_edge, help="Run an edge, which routes requests of callers to model servers.")
@dataclass(slots=True)
class Edge:
    """Arguments of the `edge` command."""

    flags: Annotated[NodeFlags, cappa.Arg(destructure=True)]
