"""Operator commands: all send a request to a core, except `check`, which runs locally."""

import os
from dataclasses import dataclass, field
from typing import Annotated, Any

import cappa
import msgspec

from sumachook.cli.files import read_json
from sumachook.configuration.catalogue import read_catalogue
from sumachook.nodes.client import Answer, Client, UnreachableError, new_request_id
from sumachook.nodes.serve import REFUSED, UNREACHED, USAGE, fail

OptionalText = Annotated[str | None, cappa.Arg(long=True)]


@dataclass(slots=True)
class OperatorFlags:
    """The cores to send an operator command to, and the operator key."""

    core: Annotated[list[str], cappa.Arg(long=True, help="IP:PORT of a core's HTTP API; default: SUMACHOOK_CORES")] = (
        field(default_factory=list)
    )
    key: Annotated[str | None, cappa.Arg(long=True, help="operator key; default: SUMACHOOK_KEY")] = None

    def send(self, method: str, path: str, document: Any = None) -> Answer:
        """Sends a request to the cores in turn and returns the first response; exits with UNREACHED if all fail."""
        cores = self.core or [core for core in os.environ.get("SUMACHOOK_CORES", "").split(",") if core]
        try:
            return Client(cores, self.key or os.environ.get("SUMACHOOK_KEY")).ask(method, path, document)
        except UnreachableError as error:
            fail(UNREACHED, str(error))


def _print_response(answer: Answer, file: str = "") -> None:
    """Prints a response; for a rejected request, prints file, field and reason of each error and exits with code 1."""
    document = answer.document
    if answer.status == 200:
        print(msgspec.json.format(msgspec.json.encode(document), indent=2).decode())
        return
    faults = document.get("faults") or [{"path": "$", "reason": str(document.get("fault", document))}]
    fail(REFUSED, *(f"{file + ': ' if file else ''}{fault['path']}: {fault['reason']}" for fault in faults))


def send_apply(command: "Apply") -> None:
    """Sends a catalogue to a core, as a whole or as a partial update."""
    catalogue = read_json(command.file)
    body = {
        "request": command.request or new_request_id(),
        "doc": catalogue,
        "part": command.part,
        "ifGeneration": command.if_generation,
    }
    _print_response(command.control_client.send("POST", "/operator/apply", body), command.file)


@cappa.command(name="apply", invoke=send_apply, help="Apply a whole or partial catalogue to the cluster.")
@dataclass(slots=True)
class Apply:
    """Arguments of the `apply` command."""

    file: Annotated[str, cappa.Arg(help="catalogue file (JSON)")]
    control_client: Annotated[OperatorFlags, cappa.Arg(destructure=True)]
    part: Annotated[bool, cappa.Arg(long=True, help="merge items by name into the current catalogue")] = False
    if_generation: Annotated[
        int | None, cappa.Arg(long=True, help="reject unless the current catalogue has this generation")
    ] = None
    request: Annotated[
        str | None, cappa.Arg(long=True, help="request id, to repeat a request whose response was lost")
    ] = None


def _send_area_command(path: str, command: "Evacuate | Restore") -> None:
    body = {"request": command.request or new_request_id(), "area": command.area}
    _print_response(command.control_client.send("POST", path, body))


def send_evacuate(command: "Evacuate") -> None:
    """Evacuates an area: edges stop routing requests into it."""
    _send_area_command("/operator/evacuate", command)


def send_restore(command: "Restore") -> None:
    """Ends the evacuation of an area."""
    _send_area_command("/operator/restore", command)


@cappa.command(name="evacuate", invoke=send_evacuate, help="Evacuate an area: stop routing requests into it.")
@dataclass(slots=True)
class Evacuate:
    """Arguments of the `evacuate` command."""

    area: str
    control_client: Annotated[OperatorFlags, cappa.Arg(destructure=True)]
    request: OptionalText = None


@cappa.command(name="restore", invoke=send_restore, help="Route requests into an evacuated area again.")
@dataclass(slots=True)
class Restore:
    """Arguments of the `restore` command."""

    area: str
    control_client: Annotated[OperatorFlags, cappa.Arg(destructure=True)]
    request: OptionalText = None


def send_show(command: "Show") -> None:
    """Prints one view of a core's state, or the ledger records of a request."""
    path = f"/ledger/{command.request}" if command.what == "ledger" else f"/show/{command.what}"
    if command.what == "ledger" and not command.request:
        fail(USAGE, "show ledger: the request id is missing")
    _print_response(command.control_client.send("GET", path))


@cappa.command(
    name="show",
    invoke=send_show,
    help="Show cohort, duties, pairs, lines, servers, places, catalogue, allowances, or the ledger of a request.",
)
@dataclass(slots=True)
class Show:
    """Arguments of the `show` command."""

    what: Annotated[
        str,
        cappa.Arg(
            choices=["cohort", "duties", "pairs", "lines", "servers", "places", "catalogue", "allowances", "ledger"]
        ),
    ]
    control_client: Annotated[OperatorFlags, cappa.Arg(destructure=True)]
    request: Annotated[str | None, cappa.Arg(help="request id, required for ledger")] = None


def send_plan(command: "Plan") -> None:
    """Prints the placement changes that a catalogue would cause."""
    document = {"doc": read_json(command.file), "part": command.part}
    _print_response(command.control_client.send("POST", "/plan", document), command.file)


@cappa.command(name="plan", invoke=send_plan, help="Show the placement changes of a catalogue without applying it.")
@dataclass(slots=True)
class Plan:
    """Arguments of the `plan` command."""

    file: str
    control_client: Annotated[OperatorFlags, cappa.Arg(destructure=True)]
    part: Annotated[bool, cappa.Arg(long=True)] = False


def check_file(command: "Check") -> None:
    """Validates a whole catalogue file locally, without a core."""
    catalogue, issues = read_catalogue(read_json(command.file))
    if catalogue is None:
        fail(REFUSED, *(f"{command.file}: {path}: {reason}" for path, reason in issues))
    counts = ", ".join(
        f"{len(getattr(catalogue, part))} {part}" for part in ("models", "adapters", "callers", "routes")
    )
    print(f"{command.file}: good ({counts})")


@cappa.command(name="check", invoke=check_file, help="Validate a whole catalogue file locally, without a core.")
@dataclass(slots=True)
class Check:
    """Arguments of the `check` command."""

    file: str
