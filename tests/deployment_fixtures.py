"""What the stories begin with: a town that has come up and holds its pairs."""

import re
from datetime import timedelta
from pathlib import Path

from msgspec.structs import replace

from sumachook.retry_budget.budget import inference_key
from sumachook.simulation.deployment import Deployment, DeploymentSpec
from sumachook.simulation.invariant_checker import InvariantChecker

EXAMPLES = Path(__file__).parent.parent / "examples"
PROMPTS, LOOKUPS = OWN_KEYS = (inference_key("prompt"), inference_key("lookup"))


def spec(name="kosice") -> DeploymentSpec:
    return DeploymentSpec(EXAMPLES / name)


def found(seed, name="kosice", edges=3, **more) -> Deployment:
    """A town whose cores have founded a view."""
    deployment = Deployment(spec(name), seed, edges, **more)
    assert deployment.run_until(lambda: leader(deployment) is not None, 10)
    return deployment


def settled(seed, name="kosice", edges=3, **more) -> Deployment:
    """A town with its catalogue applied and all its pairs held."""
    deployment = found(seed, name, edges, **more)
    answer = deployment.ask("core-1", "POST", "/operator/apply", {"request": "first", "doc": deployment.spec.catalogue})
    assert answer and answer[0] == 200, answer
    assert deployment.run_until(lambda: is_held(deployment), 90)
    return deployment


def compact_after(deployment, entries: int):
    """From now on the running cores make a snapshot whenever so many entries were delivered."""
    for core in deployment.machines("core"):
        state = core.consensus.state
        state.options = replace(state.options, max_log_entries=entries)


def leader(deployment):
    """The core that leads a working view, or None."""
    return next(
        (
            core
            for core in deployment.machines("core")
            if core.consensus.role == "leading" and core.consensus.is_fresh(deployment.now)
        ),
        None,
    )


def box_of(deployment, machine):
    return next(box for box in deployment.boxes.values() if box.machine is machine)


def is_held(deployment) -> bool:
    core = leader(deployment)
    if core is None or not core.state.pairs:
        return False
    wanted = [(model, server) for model, pair in core.state.pairs.items() for server in pair if server]
    return bool(wanted) and all(
        core.state.model_statuses.get(server, {}).get(model) == "ready" for model, server in wanted
    )


def others(deployment, name):
    """All boxes but one, as seen by a cut."""
    return deployment.inside(name)


def cut_late(deployment, name, others=None, one_way=False):
    """Cuts a core off from the others (all, or those named) with late delivery; gives the links, for `deployment.heal`."""
    rest = others or [box.name for box in deployment.boxes.values() if box.role == "core" and box.name != name]
    return deployment.cut([name], rest, one_way, holds=True)


def outcomes(callers, **wanted) -> list:
    return [call for call in callers.calls if all(getattr(call, name) == value for name, value in wanted.items())]


def json_fields(fields: dict) -> dict:
    """Keyword arguments as fields of an operator's document, whose names are in camelCase.

    >>> json_fields({"timeout_ms": 5, "name": "r"})
    {'timeoutMs': 5, 'name': 'r'}
    """
    return {re.sub("_([a-z])", lambda found: found[1].upper(), name): value for name, value in fields.items()}


def group(deployment, name, **more) -> dict:
    return {**next(group for group in deployment.spec.traffic if group["name"] == name), **json_fields(more)}


def quiet(deployment):
    """Callers that call only when told to, by `ask`."""
    callers = deployment.start_callers(1.0, [])
    callers.groups = deployment.spec.traffic
    callers.next_request_at = {each["name"]: timedelta(days=9) for each in deployment.spec.traffic}
    return callers


def ask(deployment, callers, name, max_tokens=64, **more):
    """One call of a group, made now; gives it."""
    for effect in callers.ask(group(deployment, name, max_tokens=max_tokens), deployment.now, **more):
        deployment._execute(deployment.boxes["callers"], effect)
    return callers.calls[-1]


def invariant_checker(deployment, callers=None) -> InvariantChecker:
    """The independent check; without callers, of the servers' records only."""
    return InvariantChecker(deployment, callers or quiet(deployment))


def give_credit(budget, credit: float, *keys: str) -> None:
    """Lets an edge's retry budget hold so much for the service of each key."""
    for key in keys:
        budget.bucket(key).balance = credit
