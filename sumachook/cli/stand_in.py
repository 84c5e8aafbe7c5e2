"""Commands that run simulated external systems: model servers, the platform, the records service and callers."""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Annotated, Any

import cappa

from sumachook.cli.files import read_json
from sumachook.host.machine import StateMachine
from sumachook.nodes.daemon import Daemon
from sumachook.nodes.logs import Logs
from sumachook.nodes.serve import USAGE, fail, run_daemon
from sumachook.runtime.clock import Clock


def _serve_stand_in(machine: StateMachine, name: str, http_address: str) -> None:
    logs = Logs(name, "info")
    run_daemon(Daemon(machine, Clock(), logs.log, http_address))


def _find_server(file: str, name: str) -> dict[str, Any]:
    for server in read_json(file)["servers"]:
        if server["name"] == name:
            return dict(server)
    fail(USAGE, f"{file}: unknown server {name!r}")


def serve_model(command: "StandInModel") -> None:
    """Runs a simulated model server."""
    from sumachook.simulation.model import ModelServer

    server = _find_server(command.servers, command.name)
    machine = ModelServer(server, read_json(command.catalogue), (), command.load_rate)
    _serve_stand_in(machine, command.name, server["address"])


def serve_records(command: "StandInRecords") -> None:
    """Runs a simulated server of the records service."""
    from sumachook.simulation.records import RecordsServer

    _serve_stand_in(RecordsServer(command.name), command.name, _find_server(command.servers, command.name)["address"])


def serve_platform(command: "StandInPlatform") -> None:
    """Runs a simulated platform that serves the list of servers."""
    from sumachook.simulation.platform import Platform

    _serve_stand_in(Platform(read_json(command.servers)["servers"]), "platform", command.door)


def serve_callers(command: "StandInCallers") -> None:
    """Runs simulated callers; at the end, prints the outcomes of each request class."""
    from sumachook.simulation.callers import Callers
    from sumachook.simulation.report import report_calls

    zones_and_addresses = {f"edge-{number}": address.rpartition("/") for number, address in enumerate(command.edge, 1)}
    edges = {edge: address for edge, (_, _, address) in zones_and_addresses.items()}
    zones = {edge: zone for edge, (zone, _, _) in zones_and_addresses.items() if zone}
    clock, callers_name = (
        Clock(),
        "callers" if command.draw == 1 else f"callers-{command.draw}",
    )  # request tags of two caller processes must differ
    machine = Callers(
        edges,
        read_json(command.traffic)["groups"],
        read_json(command.catalogue),
        Random(command.draw),
        clock.mono(),
        command.pace,
        timedelta(seconds=command.seconds),
        callers_name,
        zones,
    )
    try:
        _serve_stand_in(machine, "callers", command.door)
    finally:
        print(report_calls(machine.calls, command.calls))


@cappa.command(name="model", invoke=serve_model, help="Run a simulated model server.")
@dataclass(slots=True)
class StandInModel:
    """Arguments of the `stand-in model` command."""

    name: str
    servers: Annotated[str, cappa.Arg(long=True, help="server list (JSON)")]
    catalogue: Annotated[str, cappa.Arg(long=True, help="catalogue file (JSON)")]
    load_rate: Annotated[float, cappa.Arg(long=True, help="model load rate in gigabytes per second")] = 40.0


@cappa.command(name="records", invoke=serve_records, help="Run a simulated server of the records service.")
@dataclass(slots=True)
class StandInRecords:
    """Arguments of the `stand-in records` command."""

    name: str
    servers: Annotated[str, cappa.Arg(long=True)]


@cappa.command(name="platform", invoke=serve_platform, help="Run a simulated platform that serves the list of servers.")
@dataclass(slots=True)
class StandInPlatform:
    """Arguments of the `stand-in platform` command."""

    servers: Annotated[str, cappa.Arg(long=True)]
    door: Annotated[str, cappa.Arg(long=True)]


@cappa.command(name="callers", invoke=serve_callers, help="Run simulated callers; prints outcomes by request class.")
@dataclass(slots=True)
class StandInCallers:
    """Arguments of the `stand-in callers` command."""

    catalogue: Annotated[str, cappa.Arg(long=True)]
    traffic: Annotated[str, cappa.Arg(long=True)]
    door: Annotated[str, cappa.Arg(long=True, help="IP:PORT where the process serves its own status")]
    edge: Annotated[list[str], cappa.Arg(long=True, help="AREA/IP:PORT of an edge, or IP:PORT")] = field(
        default_factory=list
    )
    seconds: Annotated[float, cappa.Arg(long=True)] = 30.0
    pace: Annotated[float, cappa.Arg(long=True, help="factor applied to the request rates of the traffic file")] = 1.0
    draw: Annotated[int, cappa.Arg(long=True, help="random seed")] = 1
    calls: Annotated[str | None, cappa.Arg(long=True, help="write each call to this file (JSON lines)")] = None


@cappa.command(name="stand-in", help="Run a simulated external system for tests.")
@dataclass(slots=True)
class StandIn:
    """Subcommands of the `stand-in` command."""

    command: cappa.Subcommands[StandInModel | StandInRecords | StandInPlatform | StandInCallers]
