"""Commands that check and try policy programs."""

from dataclasses import dataclass, field
from typing import Annotated

import cappa
import msgspec

from sumachook.nodes.serve import REFUSED, USAGE, fail
from sumachook.policies.errors import InvalidPolicyError, PolicyError
from sumachook.policies.policy import ROLES, Program, ValueType, compile_policy

INITIAL_VALUES: dict[ValueType, float | str | bool] = {
    ValueType.TEXT: "",
    ValueType.NUMBER: 0.0,
    ValueType.TRUTH: False,
}


def _compile(command: "PolicyCheck | PolicyTry") -> Program:
    try:
        return compile_policy(command.role, command.text)
    except InvalidPolicyError as error:
        fail(REFUSED, str(error))


def check_policy(command: "PolicyCheck") -> None:
    """Says how many steps a policy has, or what is wrong with it."""
    print(f"good, {len(_compile(command).codes)} steps")


def try_policy(command: "PolicyTry") -> None:
    """Prints the result of a policy for given values."""
    program = _compile(command)
    names = {name: INITIAL_VALUES[value_type] for name, value_type in ROLES[command.role].names.items()}
    for item in command.set:
        name, _, value = item.partition("=")
        if name not in names:
            fail(USAGE, f"--set {item}: no name {name!r}; there are {', '.join(sorted(names))}")
        try:
            names[name] = value if isinstance(names[name], str) else msgspec.json.decode(value.encode())
        except msgspec.DecodeError:
            fail(USAGE, f"--set {item}: a number, true or false is needed")
    try:
        print(program.run(names))
    except PolicyError as error:
        fail(REFUSED, str(error))


@cappa.command(name="check", invoke=check_policy, help="Check a policy program.")
@dataclass(slots=True)
class PolicyCheck:
    """A policy to be checked."""

    role: Annotated[str, cappa.Arg(choices=list(ROLES))]
    text: str


@cappa.command(name="try", invoke=try_policy, help="Work out a policy with given values.")
@dataclass(slots=True)
class PolicyTry:
    """A policy to be worked out."""

    role: Annotated[str, cappa.Arg(choices=list(ROLES))]
    text: str
    set: Annotated[list[str], cappa.Arg(long=True, help="NAME=VALUE")] = field(default_factory=list)


@cappa.command(name="policy", help="Check or try a policy program.")
@dataclass(slots=True)
class Policy:
    """The commands about policies."""

    command: cappa.Subcommands[PolicyCheck | PolicyTry]
