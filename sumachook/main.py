"""The command line: one program, roles are subcommands (§1.6)."""

import os
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Annotated

import cappa
import msgspec

from sumachook import VERSION
from sumachook.catalog.catalogue import read_catalogue
from sumachook.catalog.params import read_params
from sumachook.fault import Fault
from sumachook.nodes.client import Client, new_request
from sumachook.nodes.daemon import Daemon
from sumachook.nodes.logs import Logs
from sumachook.nodes.serve import REFUSED, UNREACHED, USAGE, fail, run_daemon, serve
from sumachook.policies.policy import ROLES, compile_policy
from sumachook.runtime.clock import Clock

Text = Annotated[str | None, cappa.Arg(long=True)]


def _read_json(file: str):
    try:
        return msgspec.json.decode(Path(file).read_bytes())
    except OSError as error:
        fail(USAGE, f"{file}: {error.strerror}")
    except msgspec.DecodeError as error:
        fail(USAGE, f"{file}: not JSON: {error}")


# daemons -------------------------------------------------------------------------


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

    def read(self, role: str):
        doc = _read_json(self.params) if self.params else {}
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
        params, found = read_params(doc, role)
        if params is None:
            fail(USAGE, *(f"{self.params or 'flags'}: {path}: {reason}" for path, reason in found))
        return params


def _serve_node(flags: NodeFlags, role: str, make):
    serve(flags.read(role), role, make)


def serve_core(command: "Core"):
    from sumachook.nodes.core import Core as Machine

    _serve_node(command.flags, "core", Machine)


def serve_edge(command: "Edge"):
    from sumachook.nodes.edge import Edge as Machine

    _serve_node(command.flags, "edge", Machine)


@cappa.command(name="core", invoke=serve_core, help="Run a core: control state, feed, duties, ledger.")
@dataclass(slots=True)
class Core:
    flags: Annotated[NodeFlags, cappa.Arg(destructure=True)]


@cappa.command(name="edge", invoke=serve_edge, help="Run an edge: the caller-facing router.")
@dataclass(slots=True)
class Edge:
    flags: Annotated[NodeFlags, cappa.Arg(destructure=True)]


# operators -----------------------------------------------------------------------


@dataclass(slots=True)
class DeskFlags:
    """Where operators' commands go."""

    core: Annotated[list[str], cappa.Arg(long=True, help="IP:PORT of a core's HTTP door; or SUMACHOOK_CORES")] = field(
        default_factory=list
    )
    key: Annotated[str | None, cappa.Arg(long=True, help="operator key; or SUMACHOOK_KEY")] = None

    def ask(self, method: str, path: str, doc=None):
        cores = self.core or [core for core in os.environ.get("SUMACHOOK_CORES", "").split(",") if core]
        answer = Client(cores, self.key or os.environ.get("SUMACHOOK_KEY")).ask(method, path, doc)
        if isinstance(answer, Fault):
            fail(UNREACHED, str(answer))
        return answer


def _show(status: int, answer, file: str = ""):
    """Prints the answer; a refusal names file, field and reason and exits 1."""
    if status == 200:
        print(msgspec.json.format(msgspec.json.encode(answer), indent=2).decode())
        return
    faults = answer.get("faults") or [{"path": "$", "reason": str(answer.get("fault", answer))}]
    fail(REFUSED, *(f"{file + ': ' if file else ''}{fault['path']}: {fault['reason']}" for fault in faults))


def send_apply(command: "Apply"):
    doc = _read_json(command.file)
    order = {
        "request": command.request or new_request(),
        "doc": doc,
        "part": command.part,
        "ifGeneration": command.if_generation,
    }
    _show(*command.desk.ask("POST", "/operator/apply", order), command.file)


@cappa.command(name="apply", invoke=send_apply, help="Apply a whole or partial catalogue.")
@dataclass(slots=True)
class Apply:
    file: Annotated[str, cappa.Arg(help="catalogue file (JSON)")]
    desk: Annotated[DeskFlags, cappa.Arg(destructure=True)]
    part: Annotated[bool, cappa.Arg(long=True, help="merge by name into what stands")] = False
    if_generation: Annotated[
        int | None, cappa.Arg(long=True, help="refuse unless the catalogue is at this generation")
    ] = None
    request: Annotated[
        str | None, cappa.Arg(long=True, help="id of the order, for repeating one whose answer was lost")
    ] = None


def _send_turn(path: str, command):
    _show(*command.desk.ask("POST", path, {"request": command.request or new_request(), "area": command.area}))


def send_evacuate(command: "Evacuate"):
    _send_turn("/operator/evacuate", command)


def send_restore(command: "Restore"):
    _send_turn("/operator/restore", command)


@cappa.command(name="evacuate", invoke=send_evacuate, help="Let no request into an area.")
@dataclass(slots=True)
class Evacuate:
    area: str
    desk: Annotated[DeskFlags, cappa.Arg(destructure=True)]
    request: Text = None


@cappa.command(name="restore", invoke=send_restore, help="Open an evacuated area again.")
@dataclass(slots=True)
class Restore:
    area: str
    desk: Annotated[DeskFlags, cappa.Arg(destructure=True)]
    request: Text = None


def send_show(command: "Show"):
    path = f"/ledger/{command.request}" if command.what == "ledger" else f"/show/{command.what}"
    if command.what == "ledger" and not command.request:
        fail(USAGE, "show ledger: the request's id is needed")
    _show(*command.desk.ask("GET", path))


@cappa.command(
    name="show",
    invoke=send_show,
    help="Show cohort, duties, pairs, lines, servers, places, catalogue, allowances, or the ledger of a request.",
)
@dataclass(slots=True)
class Show:
    what: Annotated[
        str,
        cappa.Arg(
            choices=["cohort", "duties", "pairs", "lines", "servers", "places", "catalogue", "allowances", "ledger"]
        ),
    ]
    desk: Annotated[DeskFlags, cappa.Arg(destructure=True)]
    request: Annotated[str | None, cappa.Arg(help="request id, for ledger")] = None


def send_plan(command: "Plan"):
    _show(*command.desk.ask("POST", "/plan", {"doc": _read_json(command.file), "part": command.part}), command.file)


@cappa.command(name="plan", invoke=send_plan, help="Show what a catalogue would move; changes nothing.")
@dataclass(slots=True)
class Plan:
    file: str
    desk: Annotated[DeskFlags, cappa.Arg(destructure=True)]
    part: Annotated[bool, cappa.Arg(long=True)] = False


def check_file(command: "Check"):
    catalogue, found = read_catalogue(_read_json(command.file))
    if catalogue is None:
        fail(REFUSED, *(f"{command.file}: {path}: {reason}" for path, reason in found))
    counts = ", ".join(
        f"{len(getattr(catalogue, part))} {part}" for part in ("models", "adapters", "callers", "routes")
    )
    print(f"{command.file}: good ({counts})")


@cappa.command(name="check", invoke=check_file, help="Check a whole catalogue file without a core.")
@dataclass(slots=True)
class Check:
    file: str


def check_policy(command: "PolicyCheck"):
    program = compile_policy(command.role, command.text)
    if isinstance(program, Fault):
        fail(REFUSED, program.reason)
    print(f"good, {len(program.codes)} steps")


def try_policy(command: "PolicyTry"):
    program = compile_policy(command.role, command.text)
    if isinstance(program, Fault):
        fail(REFUSED, program.reason)
    names = {name: {"text": "", "number": 0.0, "truth": False}[kind] for name, kind in ROLES[command.role][0].items()}
    for item in command.set:
        name, _, value = item.partition("=")
        if name not in names:
            fail(USAGE, f"--set {item}: no name {name!r}; there are {', '.join(sorted(names))}")
        try:
            names[name] = value if isinstance(names[name], str) else msgspec.json.decode(value.encode())
        except msgspec.DecodeError:
            fail(USAGE, f"--set {item}: a number, true or false is needed")
    print(program.run(names))


@cappa.command(name="check", invoke=check_policy, help="Check a policy program.")
@dataclass(slots=True)
class PolicyCheck:
    role: Annotated[str, cappa.Arg(choices=list(ROLES))]
    text: str


@cappa.command(name="try", invoke=try_policy, help="Work out a policy with given values.")
@dataclass(slots=True)
class PolicyTry:
    role: Annotated[str, cappa.Arg(choices=list(ROLES))]
    text: str
    set: Annotated[list[str], cappa.Arg(long=True, help="NAME=VALUE")] = field(default_factory=list)


@cappa.command(name="policy", help="Check or try a policy program.")
@dataclass(slots=True)
class Policy:
    command: cappa.Subcommands[PolicyCheck | PolicyTry]


# stand-ins -----------------------------------------------------------------------


def _serve_stand_in(machine, name: str, door: str):
    logs = Logs(name, "info")
    run_daemon(Daemon(machine, Clock(), logs.log, door))


def _listed(file: str, name: str):
    for server in _read_json(file)["servers"]:
        if server["name"] == name:
            return server
    fail(USAGE, f"{file}: no server {name!r}")


def serve_model(command: "StandInModel"):
    from sumachook.simulation.model import ModelServer

    listed = _listed(command.servers, command.name)
    machine = ModelServer(listed, _read_json(command.catalogue), (), command.load_rate)
    _serve_stand_in(machine, command.name, listed["address"])


def serve_records(command: "StandInRecords"):
    from sumachook.simulation.records import RecordsServer

    _serve_stand_in(RecordsServer(command.name), command.name, _listed(command.servers, command.name)["address"])


def serve_platform(command: "StandInPlatform"):
    from sumachook.simulation.platform import Platform

    _serve_stand_in(Platform(_read_json(command.servers)["servers"]), "platform", command.door)


def serve_callers(command: "StandInCallers"):
    from sumachook.simulation.callers import Callers
    from sumachook.simulation.report import report_calls

    given = {f"edge-{place}": door.rpartition("/") for place, door in enumerate(command.edge, 1)}
    edges = {edge: door for edge, (_, _, door) in given.items()}
    areas = {edge: area for edge, (area, _, _) in given.items() if area}
    clock, name = (
        Clock(),
        "callers" if command.draw == 1 else f"callers-{command.draw}",
    )  # tags of two at once must differ
    machine = Callers(
        edges,
        _read_json(command.traffic)["groups"],
        _read_json(command.catalogue),
        Random(command.draw),
        clock.mono(),
        command.pace,
        timedelta(seconds=command.seconds),
        name,
        areas,
    )
    try:
        _serve_stand_in(machine, "callers", command.door)
    finally:
        print(report_calls(machine.calls, command.calls))


@cappa.command(name="model", invoke=serve_model, help="A model server.")
@dataclass(slots=True)
class StandInModel:
    name: str
    servers: Annotated[str, cappa.Arg(long=True, help="servers.json of a city")]
    catalogue: Annotated[str, cappa.Arg(long=True, help="catalogue.json of a city")]
    load_rate: Annotated[float, cappa.Arg(long=True, help="gigabytes a second it loads at")] = 40.0


@cappa.command(name="records", invoke=serve_records, help="A server of the records service.")
@dataclass(slots=True)
class StandInRecords:
    name: str
    servers: Annotated[str, cappa.Arg(long=True)]


@cappa.command(name="platform", invoke=serve_platform, help="The platform's list of servers.")
@dataclass(slots=True)
class StandInPlatform:
    servers: Annotated[str, cappa.Arg(long=True)]
    door: Annotated[str, cappa.Arg(long=True)]


@cappa.command(name="callers", invoke=serve_callers, help="Callers at a city's rates; prints each class's outcomes.")
@dataclass(slots=True)
class StandInCallers:
    catalogue: Annotated[str, cappa.Arg(long=True)]
    traffic: Annotated[str, cappa.Arg(long=True)]
    door: Annotated[str, cappa.Arg(long=True, help="IP:PORT of its own, for its condition")]
    edge: Annotated[list[str], cappa.Arg(long=True, help="AREA/IP:PORT of an edge, or IP:PORT")] = field(
        default_factory=list
    )
    seconds: Annotated[float, cappa.Arg(long=True)] = 30.0
    pace: Annotated[float, cappa.Arg(long=True, help="times the city's rates")] = 1.0
    draw: Annotated[int, cappa.Arg(long=True, help="seed of its random draw")] = 1
    calls: Annotated[str | None, cappa.Arg(long=True, help="write each call to this file (JSON lines)")] = None


@cappa.command(name="stand-in", help="What stands outside the system, for trying and proving it.")
@dataclass(slots=True)
class StandIn:
    command: cappa.Subcommands[StandInModel | StandInRecords | StandInPlatform | StandInCallers]


@cappa.command(name="sumachook", help="A router and placer for many language models.")
@dataclass(slots=True)
class Sumachook:
    command: cappa.Subcommands[Core | Edge | Apply | Evacuate | Restore | Show | Plan | Check | Policy | StandIn]


def run():
    cappa.invoke(Sumachook, version=cappa.Arg(VERSION, long=True), completion=False)


def test_a_data_folder_of_another_node_is_refused(tmp_path, capsys):
    from sumachook.storage.folder import Folder

    Folder(tmp_path).take([("disk", "accord", [["seat", "core-2-0badcafe"]])])
    flags = NodeFlags(
        node="core-1", address="127.0.0.1:1", door="127.0.0.1:2", area="a", seed=["127.0.0.1:3"], data=str(tmp_path)
    )
    try:
        _serve_node(flags, "core", None)
    except SystemExit as end:
        assert end.code == USAGE
    assert "of seat 'core-2-0badcafe', not of node 'core-1'" in capsys.readouterr().err


if __name__ == "__main__":
    run()
