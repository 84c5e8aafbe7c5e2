"""Commands that check and try policy programs."""

from dataclasses import dataclass, field
from typing import Annotated

import cappa
import msgspec

from sumachook.fault import Fault
from sumachook.nodes.serve import REFUSED, USAGE, fail
from sumachook.policies.policy import ROLES, compile_policy


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
