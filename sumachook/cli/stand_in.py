"""Stand-ins for what is outside the system, as commands."""

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


def _serve_stand_in(machine: StateMachine, name: str, door: str) -> None:
    logs = Logs(name, "info")
    run_daemon(Daemon(machine, Clock(), logs.log, door))


def _listed(file: str, name: str) -> dict[str, Any]:
    for server in read_json(file)["servers"]:
        if server["name"] == name:
            return dict(server)
    fail(USAGE, f"{file}: no server {name!r}")


def serve_model(command: "StandInModel") -> None:
    """Runs a fake model server."""
    from sumachook.simulation.model import ModelServer

    listed = _listed(command.servers, command.name)
    machine = ModelServer(listed, read_json(command.catalogue), (), command.load_rate)
    _serve_stand_in(machine, command.name, listed["address"])


def serve_records(command: "StandInRecords") -> None:
    """Runs a fake server of the records service."""
    from sumachook.simulation.records import RecordsServer

    _serve_stand_in(RecordsServer(command.name), command.name, _listed(command.servers, command.name)["address"])


def serve_platform(command: "StandInPlatform") -> None:
    """Runs a fake platform."""
    from sumachook.simulation.platform import Platform

    _serve_stand_in(Platform(read_json(command.servers)["servers"]), "platform", command.door)


def serve_callers(command: "StandInCallers") -> None:
    """Runs callers, and prints what each class of request met."""
    from sumachook.simulation.callers import Callers
    from sumachook.simulation.report import report_calls

    given = {f"edge-{place}": door.rpartition("/") for place, door in enumerate(command.edge, 1)}
    edges = {edge: door for edge, (_, _, door) in given.items()}
    zones = {edge: zone for edge, (zone, _, _) in given.items() if zone}
    clock, name = (
        Clock(),
        "callers" if command.draw == 1 else f"callers-{command.draw}",
    )  # tags of two at once must differ
    machine = Callers(
        edges,
        read_json(command.traffic)["groups"],
        read_json(command.catalogue),
        Random(command.draw),
        clock.mono(),
        command.pace,
        timedelta(seconds=command.seconds),
        name,
        zones,
    )
    try:
        _serve_stand_in(machine, "callers", command.door)
    finally:
        print(report_calls(machine.calls, command.calls))


@cappa.command(name="model", invoke=serve_model, help="A model server.")
@dataclass(slots=True)
class StandInModel:
    """A model server to be run."""

    name: str
    servers: Annotated[str, cappa.Arg(long=True, help="servers.json of a city")]
    catalogue: Annotated[str, cappa.Arg(long=True, help="catalogue.json of a city")]
    load_rate: Annotated[float, cappa.Arg(long=True, help="gigabytes a second it loads at")] = 40.0


@cappa.command(name="records", invoke=serve_records, help="A server of the records service.")
@dataclass(slots=True)
class StandInRecords:
    """A server of the records service to be run."""

    name: str
    servers: Annotated[str, cappa.Arg(long=True)]


@cappa.command(name="platform", invoke=serve_platform, help="The platform's list of servers.")
@dataclass(slots=True)
class StandInPlatform:
    """A platform to be run."""

    servers: Annotated[str, cappa.Arg(long=True)]
    door: Annotated[str, cappa.Arg(long=True)]


@cappa.command(name="callers", invoke=serve_callers, help="Callers at a city's rates; prints each class's outcomes.")
@dataclass(slots=True)
class StandInCallers:
    """Callers to be run."""

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
    """The fakes that can be run."""

    command: cappa.Subcommands[StandInModel | StandInRecords | StandInPlatform | StandInCallers]
