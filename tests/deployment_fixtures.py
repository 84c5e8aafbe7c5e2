"""Simulated deployments in the states in which tests start, and helpers to control them."""

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
    """Creates a deployment whose cores have founded a view."""
    deployment = Deployment(spec(name), seed, edges, **more)
    assert deployment.run_until(lambda: leader(deployment) is not None, 10)
    return deployment


def settled(seed, name="kosice", edges=3, **more) -> Deployment:
    """Creates a deployment with its catalogue applied and all planned replicas loaded."""
    deployment = found(seed, name, edges, **more)
    answer = deployment.ask("core-1", "POST", "/operator/apply", {"request": "first", "doc": deployment.spec.catalogue})
    assert answer and answer[0] == 200, answer
    assert deployment.run_until(lambda: is_held(deployment), 90)
    return deployment


def compact_after(deployment, entries: int):
    """Makes the running cores compact their log whenever so many entries were delivered."""
    for core in deployment.machines("core"):
        state = core.consensus.state
        state.options = replace(state.options, max_log_entries=entries)


def leader(deployment):
    """Returns the core that leads a working view, or None."""
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
    """Returns the names of all other boxes, the other side of a partition that isolates this one."""
    return deployment.inside(name)


def cut_late(deployment, name, others=None, one_way=False):
    """Isolates a core from all others, or those named, and delivers messages late; returns the links for `heal`."""
    rest = others or [box.name for box in deployment.boxes.values() if box.role == "core" and box.name != name]
    return deployment.cut([name], rest, one_way, holds=True)


def outcomes(callers, **wanted) -> list:
    return [call for call in callers.calls if all(getattr(call, name) == value for name, value in wanted.items())]


def json_fields(fields: dict) -> dict:
    """Converts keyword arguments to the camelCase fields of an operator's document.

    >>> json_fields({"timeout_ms": 5, "name": "r"})
    {'timeoutMs': 5, 'name': 'r'}
    """
    return {re.sub("_([a-z])", lambda found: found[1].upper(), name): value for name, value in fields.items()}


def group(deployment, name, **more) -> dict:
    return {**next(group for group in deployment.spec.traffic if group["name"] == name), **json_fields(more)}


def quiet(deployment):
    """Creates callers that send requests only through `ask`."""
    callers = deployment.start_callers(1.0, [])
    callers.groups = deployment.spec.traffic
    callers.next_request_at = {each["name"]: timedelta(days=9) for each in deployment.spec.traffic}
    return callers


def ask(deployment, callers, name, max_tokens=64, **more):
    """Sends one request of a traffic group now and returns the call."""
    for effect in callers.ask(group(deployment, name, max_tokens=max_tokens), deployment.now, **more):
        deployment._execute(deployment.boxes["callers"], effect)
    return callers.calls[-1]


def invariant_checker(deployment, callers=None) -> InvariantChecker:
    """Creates the independent invariant checker; without callers, it checks the servers' records only."""
    return InvariantChecker(deployment, callers or quiet(deployment))


def give_credit(budget, credit: float, *keys: str) -> None:
    """Sets the credit of an edge's retry budget for the service of each key."""
    for key in keys:
        budget.bucket(key).balance = credit
