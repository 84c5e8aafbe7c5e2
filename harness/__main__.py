"""`python -m harness COMMAND ...`: every command of the harness, in one table.

`python -m harness` alone prints the table; `python -m harness COMMAND --help` explains one command. Each command also
keeps its older form `python -m harness.COMMAND`, by a module of that name in harness/commands. A command line that a
command does not accept ends with exit code 2.
"""

import sys
from importlib import import_module
from typing import NamedTuple

USAGE_ERROR = 2  # as argparse ends
RULES = "0: no rule was broken; 1: one was, or nothing was checked"
FIGURES = "0: the figures were printed; 1: they could not be measured"


class Command(NamedTuple):
    """One command: the module whose `main()` it runs, what it does, and what its exit codes mean."""

    name: str
    module: str
    summary: str
    exit_codes: str


_COMMANDS = (
    # Real processes on loopback
    Command(
        "city",
        "harness.local_cluster.city",
        "a fleet of real processes under the traffic of one of the example sites",
        "0: no rule was broken and every process ended cleanly; 1: not so, or nothing was checked",
    ),
    Command(
        "platform_city",
        "harness.local_cluster.platform_city",
        "cores and edges as deploy/system.toml starts them, among fakes of the users' platform",
        "0: no rule was broken and every node ended cleanly; 1: not so, or nothing was checked",
    ),
    Command(
        "trials",
        "harness.local_cluster.trials",
        "real processes under load while they are restarted, killed, frozen, reconfigured and evacuated",
        RULES,
    ),
    Command(
        "soak",
        "harness.experiments.soak",
        "real processes and kept connections under signals, restarts and changes in overlapping series",
        "0: no fault in any seed; 1: one was found, or nothing was checked",
    ),
    # Fault injection and load in virtual time
    Command(
        "scenarios",
        "harness.experiments.scenarios",
        "every failure of the brief at the full size of both example sites; prints the table of docs/measurements.md",
        RULES,
    ),
    Command("storms", "harness.experiments.storms", "seeded random faults over whole deployments", RULES),
    Command(
        "twins",
        "harness.experiments.twins",
        "each storm without and with a flood of heavy requests: how long light requests wait",
        "0: light requests stay within the slack and no rule was broken; 1: not so, or nothing was checked",
    ),
    Command("allowances", "harness.experiments.allowances", "seeded random faults over quotas and their leases", RULES),
    Command("chaos", "harness.experiments.chaos", "dense faults over the cores alone: the order of changes", RULES),
    Command(
        "orders",
        "harness.experiments.orders",
        "operators' orders under lost answers, kills and races, checked against a history of what each operator saw",
        RULES,
    ),
    Command(
        "replacements",
        "harness.experiments.replacements",
        "how long the replacement of a lost core takes",
        "0: every replacement came within the limit; 1: one was late",
    ),
    Command(
        "days",
        "harness.experiments.days",
        "plays the days of examples/days on the users' bench",
        "0: no rule was broken; 1: one was, a report is missing, or nothing was played",
    ),
    # Checkers
    Command(
        "model",
        "harness.model_checking.__main__",
        "the model checker: walk, explore and replay over the real control state machines",
        "0: no rule was broken; 1: one was, or nothing was checked",
    ),
    Command("fuzz", "harness.fuzzing.__main__", "faulty servers and clients, over real sockets, before an edge", RULES),
    Command(
        "breaches",
        "harness.mutations.runner",
        "the mutation tests: takes one guard out at a time and runs the tests that should fail",
        "0: every mutation was caught; 1: one was not, or could not be tried",
    ),
    # Measurements
    Command(
        "digest",
        "harness.experiments.digest",
        "one number for all that the fleet sends in four storms: the same before and after a refactoring",
        "0: the four numbers were printed; 1: a storm had no effect at all",
    ),
    Command("costs", "harness.experiments.costs", "messages, bytes and syncs at rest, per request and change", FIGURES),
    Command(
        "size",
        "harness.experiments.size",
        "hundreds of nodes in virtual time: time to recover and bytes between zones while much of the fleet fails",
        "0: every fleet came back; 1: one did not within the story",
    ),
    Command("scale", "harness.experiments.scale.__main__", "what each role and mechanism costs at 380 nodes", FIGURES),
    Command(
        "lost_worth", "harness.experiments.lost_worth", "from edges' logs: which requests were late or lost", FIGURES
    ),
    Command("policy_ratio", "harness.experiments.policy_ratio", "policies' bytecode against walking the tree", FIGURES),
)
COMMANDS = {command.name: command for command in _COMMANDS}


def run_command(name: str) -> None:
    """Runs one command with the arguments of this process; ends the process with its exit code."""
    main = import_module(COMMANDS[name].module).main
    raise SystemExit(main() or 0)


def describe_commands() -> str:
    """The table of all commands, as text."""
    lines = ["usage: python -m harness COMMAND ...", ""]
    for command in COMMANDS.values():
        lines.append(f"{command.name:<15}{command.summary}")
        lines.append(f"{'':<15}exit code {command.exit_codes}")
    return "\n".join(lines)


def main() -> None:
    """Runs the command that the first argument names; without one, or with an unknown one, prints the table."""
    arguments = sys.argv[1:]
    if not arguments or arguments[0] in ("-h", "--help"):
        print(describe_commands())
        raise SystemExit(0 if arguments else USAGE_ERROR)
    name = arguments[0]
    if name not in COMMANDS:
        print(f"no command is named {name}\n\n{describe_commands()}", file=sys.stderr)
        raise SystemExit(USAGE_ERROR)
    sys.argv = [f"python -m harness {name}", *arguments[1:]]
    run_command(name)


if __name__ == "__main__":
    main()
