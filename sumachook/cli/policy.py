"""Commands that check and evaluate policy programs."""

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
    """Compiles a policy; prints its number of steps, or the compile error."""
    print(f"good, {len(_compile(command).codes)} steps")


def try_policy(command: "PolicyTry") -> None:
    """Evaluates a policy with the given input values and prints the result."""
    program = _compile(command)
    names = {name: INITIAL_VALUES[value_type] for name, value_type in ROLES[command.role].names.items()}
    for item in command.set:
        name, _, value = item.partition("=")
        if name not in names:
            fail(USAGE, f"--set {item}: unknown name {name!r}; valid names: {', '.join(sorted(names))}")
        try:
            names[name] = value if isinstance(names[name], str) else msgspec.json.decode(value.encode())
        except msgspec.DecodeError:
            fail(USAGE, f"--set {item}: expected a number, true or false")
    try:
        print(program.run(names))
    except PolicyError as error:
        fail(REFUSED, str(error))


@cappa.command(name="check", invoke=check_policy, help="Compile a policy program and report errors.")
@dataclass(slots=True)
class PolicyCheck:
    """Arguments of the `policy check` command."""

    role: Annotated[str, cappa.Arg(choices=list(ROLES))]
    text: str


@cappa.command(name="try", invoke=try_policy, help="Evaluate a policy program with given values.")
@dataclass(slots=True)
class PolicyTry:
    """Arguments of the `policy try` command."""

    role: Annotated[str, cappa.Arg(choices=list(ROLES))]
    text: str
    set: Annotated[list[str], cappa.Arg(long=True, help="input value, NAME=VALUE; repeatable")] = field(
        default_factory=list
    )


@cappa.command(name="policy", help="Check or evaluate a policy program.")
@dataclass(slots=True)
class Policy:
    """Subcommands of the `policy` command."""

    command: cappa.Subcommands[PolicyCheck | PolicyTry]
