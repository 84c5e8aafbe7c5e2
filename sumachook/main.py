"""Entry point of the command line; each node role is a subcommand (docs/design/processes.md)."""

from dataclasses import dataclass

import cappa

from sumachook import VERSION
from sumachook.cli.node import Core, Edge
from sumachook.cli.operator import Apply, Check, Evacuate, Plan, Restore, Show
from sumachook.cli.policy import Policy
from sumachook.cli.stand_in import StandIn


@cappa.command(name="sumachook", help="Routes requests to language models and places the models on servers.")
@dataclass(slots=True)
class Sumachook:
    """Top-level command, with subcommands for node roles, operators, policies and stand-ins."""

    command: cappa.Subcommands[Core | Edge | Apply | Evacuate | Restore | Show | Plan | Check | Policy | StandIn]


def run():
    """Parses the process's arguments and runs the command."""
    cappa.invoke(Sumachook, version=cappa.Arg(VERSION, long=True), completion=False)


if __name__ == "__main__":
    run()
