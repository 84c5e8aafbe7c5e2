"""`python -m harness COMMAND ...`: every command of the harness, in one table.

`python -m harness` alone prints the table; `python -m harness COMMAND --help` explains one command. Each command also
has an older form `python -m harness.COMMAND`, through a module of that name in harness/commands. An invalid command
line ends with exit code 2.
"""

import sys
from importlib import import_module
from typing import NamedTuple

USAGE_ERROR = 2  # the exit code that argparse uses
RULES = "0: no rule was broken; 1: one was, or nothing was checked"
FIGURES = "0: the figures were printed; 1: they could not be measured"


class Command(NamedTuple):
    """One command: its module, whose `main()` it runs, its summary, and the meaning of its exit codes."""

    name: str
    module: str
    summary: str
    exit_codes: str


_COMMANDS = (
    # Real processes on loopback
    Command(
        "city",
        "harness.local_cluster.city",
        "runs a fleet of real processes under the traffic of one of the example sites",
        "0: no rule was broken and every process exited with 0; 1: otherwise, or nothing was checked",
    ),
    Command(
        "platform_city",
        "harness.local_cluster.platform_city",
        "runs cores and edges as deploy/system.toml starts them, among fakes of the users' platform",
        "0: no rule was broken and every node exited with 0; 1: otherwise, or nothing was checked",
    ),
    Command(
        "trials",
        "harness.local_cluster.trials",
        "runs real processes under load while they are restarted, killed, stopped, reconfigured and evacuated",
        RULES,
    ),
    Command(
        "soak",
        "harness.experiments.soak",
        "runs real processes with persistent connections under overlapping signals, restarts and changes",
        "0: no fault with any seed; 1: one was found, or nothing was checked",
    ),
    Command(
        "crowds",
        "harness.client_crowds.__main__",
        "holds real processes to the memory and descriptors of their machine under crowds of clients that don't behave",
        "0: no crowd ended a process, exceeded its machine or kept ordinary callers out; 1: one did",
    ),
    # Fault injection and load in virtual time
    Command(
        "scenarios",
        "harness.experiments.scenarios",
        "plays each failure scenario at the full size of both example sites; prints the table of docs/measurements.md",
        RULES,
    ),
    Command("storms", "harness.experiments.storms", "injects seeded random faults into whole deployments", RULES),
    Command(
        "twins",
        "harness.experiments.twins",
        "plays each storm with and without a flood of heavy requests and compares the latency of light requests",
        "0: light requests stay within the slack and no rule was broken; 1: otherwise, or nothing was checked",
    ),
    Command(
        "allowances",
        "harness.experiments.allowances",
        "injects seeded random faults and checks quotas and their leases",
        RULES,
    ),
    Command(
        "chaos",
        "harness.experiments.chaos",
        "injects dense faults into the cores alone and checks the order of changes",
        RULES,
    ),
    Command(
        "orders",
        "harness.experiments.orders",
        "sends operators' orders under lost responses, kills and races, and checks them against what each operator saw",
        RULES,
    ),
    Command(
        "replacements",
        "harness.experiments.replacements",
        "measures how long the replacement of a lost core takes",
        "0: every replacement was complete within the limit; 1: one was not",
    ),
    Command(
        "days",
        "harness.experiments.days",
        "plays the days of examples/days on the users' bench",
        "0: no rule was broken; 1: one was, a report is missing, or no day was played",
    ),
    # Checkers
    Command(
        "model",
        "harness.model_checking.__main__",
        "model-checks the real control state machines: walk, explore and replay",
        "0: no rule was broken; 1: one was, or nothing was checked",
    ),
    Command(
        "fuzz", "harness.fuzzing.__main__", "tests an edge with faulty servers and clients over real sockets", RULES
    ),
    Command(
        "breaches",
        "harness.mutations.runner",
        "mutation tests: removes one guard at a time and runs the tests that should fail",
        "0: every mutation was detected; 1: one was not, or could not be applied",
    ),
    # Measurements
    Command(
        "digest",
        "harness.experiments.digest",
        "prints one hash of all effects in each of four storms, which a refactoring must not change",
        "0: the four hashes were printed; 1: a storm had no effects",
    ),
    Command(
        "costs",
        "harness.experiments.costs",
        "measures messages, bytes and disk syncs when idle, per request and per change",
        FIGURES,
    ),
    Command(
        "size",
        "harness.experiments.size",
        "simulates hundreds of nodes and measures recovery time and bytes between zones while much of the fleet fails",
        "0: every fleet recovered; 1: one did not recover within its run",
    ),
    Command(
        "scale",
        "harness.experiments.scale.__main__",
        "measures the cost of each role and mechanism at 380 nodes",
        FIGURES,
    ),
    Command(
        "lost_worth", "harness.experiments.lost_worth", "lists late and lost requests from the logs of edges", FIGURES
    ),
    Command(
        "policy_ratio",
        "harness.experiments.policy_ratio",
        "compares the speed of compiled policies with interpreting their syntax tree",
        FIGURES,
    ),
)
COMMANDS = {command.name: command for command in _COMMANDS}


def run_command(name: str) -> None:
    """Runs one command with the arguments of this process and exits with its exit code."""
    main = import_module(COMMANDS[name].module).main
    raise SystemExit(main() or 0)


def describe_commands() -> str:
    """Returns the table of all commands as text."""
    lines = ["usage: python -m harness COMMAND ...", ""]
    for command in COMMANDS.values():
        lines.append(f"{command.name:<15}{command.summary}")
        lines.append(f"{'':<15}exit code {command.exit_codes}")
    return "\n".join(lines)


def main() -> None:
    """Runs the command named by the first argument; prints the table if there is none or it is unknown."""
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
