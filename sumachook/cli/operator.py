"""Commands that operators send to a core, and `check`, which needs none."""

import os
from dataclasses import dataclass, field
from typing import Annotated, Any

import cappa
import msgspec

from sumachook.cli.files import read_json
from sumachook.configuration.catalogue import read_catalogue
from sumachook.nodes.client import Answer, Client, UnreachableError, new_request_id
from sumachook.nodes.serve import REFUSED, UNREACHED, USAGE, fail

Text = Annotated[str | None, cappa.Arg(long=True)]


@dataclass(slots=True)
class OperatorFlags:
    """Where operators' commands go."""

    core: Annotated[list[str], cappa.Arg(long=True, help="IP:PORT of a core's HTTP door; or SUMACHOOK_CORES")] = field(
        default_factory=list
    )
    key: Annotated[str | None, cappa.Arg(long=True, help="operator key; or SUMACHOOK_KEY")] = None

    def ask(self, method: str, path: str, document: Any = None) -> Answer:
        """The answer of the first core that has one; ends the command where none has."""
        cores = self.core or [core for core in os.environ.get("SUMACHOOK_CORES", "").split(",") if core]
        try:
            return Client(cores, self.key or os.environ.get("SUMACHOOK_KEY")).ask(method, path, document)
        except UnreachableError as error:
            fail(UNREACHED, str(error))


def _show(answer: Answer, file: str = "") -> None:
    """Prints the answer; a refusal names file, field and reason and exits 1."""
    document = answer.document
    if answer.status == 200:
        print(msgspec.json.format(msgspec.json.encode(document), indent=2).decode())
        return
    faults = document.get("faults") or [{"path": "$", "reason": str(document.get("fault", document))}]
    fail(REFUSED, *(f"{file + ': ' if file else ''}{fault['path']}: {fault['reason']}" for fault in faults))


def send_apply(command: "Apply") -> None:
    """Sends a configuration."""
    doc = read_json(command.file)
    order = {
        "request": command.request or new_request_id(),
        "doc": doc,
        "part": command.part,
        "ifGeneration": command.if_generation,
    }
    _show(command.control_client.ask("POST", "/operator/apply", order), command.file)


@cappa.command(name="apply", invoke=send_apply, help="Apply a whole or partial catalogue.")
@dataclass(slots=True)
class Apply:
    """A configuration to be applied."""

    file: Annotated[str, cappa.Arg(help="catalogue file (JSON)")]
    control_client: Annotated[OperatorFlags, cappa.Arg(destructure=True)]
    part: Annotated[bool, cappa.Arg(long=True, help="merge by name into what stands")] = False
    if_generation: Annotated[
        int | None, cappa.Arg(long=True, help="refuse unless the catalogue is at this generation")
    ] = None
    request: Annotated[
        str | None, cappa.Arg(long=True, help="id of the order, for repeating one whose answer was lost")
    ] = None


def _send_turn(path: str, command: "Evacuate | Restore") -> None:
    order = {"request": command.request or new_request_id(), "area": command.area}
    _show(command.control_client.ask("POST", path, order))


def send_evacuate(command: "Evacuate") -> None:
    """Closes an area."""
    _send_turn("/operator/evacuate", command)


def send_restore(command: "Restore") -> None:
    """Opens an area again."""
    _send_turn("/operator/restore", command)


@cappa.command(name="evacuate", invoke=send_evacuate, help="Let no request into an area.")
@dataclass(slots=True)
class Evacuate:
    """An area to be closed."""

    area: str
    control_client: Annotated[OperatorFlags, cappa.Arg(destructure=True)]
    request: Text = None


@cappa.command(name="restore", invoke=send_restore, help="Open an evacuated area again.")
@dataclass(slots=True)
class Restore:
    """An area to be opened again."""

    area: str
    control_client: Annotated[OperatorFlags, cappa.Arg(destructure=True)]
    request: Text = None


def send_show(command: "Show") -> None:
    """Prints one view of the state."""
    path = f"/ledger/{command.request}" if command.what == "ledger" else f"/show/{command.what}"
    if command.what == "ledger" and not command.request:
        fail(USAGE, "show ledger: the request's id is needed")
    _show(command.control_client.ask("GET", path))


@cappa.command(
    name="show",
    invoke=send_show,
    help="Show cohort, duties, pairs, lines, servers, places, catalogue, allowances, or the ledger of a request.",
)
@dataclass(slots=True)
class Show:
    """A view of the state to be shown."""

    what: Annotated[
        str,
        cappa.Arg(
            choices=["cohort", "duties", "pairs", "lines", "servers", "places", "catalogue", "allowances", "ledger"]
        ),
    ]
    control_client: Annotated[OperatorFlags, cappa.Arg(destructure=True)]
    request: Annotated[str | None, cappa.Arg(help="request id, for ledger")] = None


def send_plan(command: "Plan") -> None:
    """Prints what a configuration would move."""
    document = {"doc": read_json(command.file), "part": command.part}
    _show(command.control_client.ask("POST", "/plan", document), command.file)


@cappa.command(name="plan", invoke=send_plan, help="Show what a catalogue would move; changes nothing.")
@dataclass(slots=True)
class Plan:
    """A configuration to be weighed."""

    file: str
    control_client: Annotated[OperatorFlags, cappa.Arg(destructure=True)]
    part: Annotated[bool, cappa.Arg(long=True)] = False


def check_file(command: "Check") -> None:
    """Checks a configuration without a core."""
    catalogue, found = read_catalogue(read_json(command.file))
    if catalogue is None:
        fail(REFUSED, *(f"{command.file}: {path}: {reason}" for path, reason in found))
    counts = ", ".join(
        f"{len(getattr(catalogue, part))} {part}" for part in ("models", "adapters", "callers", "routes")
    )
    print(f"{command.file}: good ({counts})")


@cappa.command(name="check", invoke=check_file, help="Check a whole catalogue file without a core.")
@dataclass(slots=True)
class Check:
    """A configuration to be checked."""

    file: str
