"""What the stories begin with: a town that has come up and holds its pairs."""

import re
from datetime import timedelta
from pathlib import Path

from msgspec.structs import replace

from sumachook.retry_budget.budget import own_key
from sumachook.simulation.city import City, Town
from sumachook.simulation.witness import Witness

EXAMPLES = Path(__file__).parent.parent / "examples"
PROMPTS, LOOKUPS = OWN_KEYS = (own_key("prompt"), own_key("lookup"))


def city(name="kosice") -> City:
    return City(EXAMPLES / name)


def found(seed, name="kosice", edges=3, **more) -> Town:
    """A town whose cores have founded a view."""
    town = Town(city(name), seed, edges, **more)
    assert town.run_until(lambda: leader(town) is not None, 10)
    return town


def settled(seed, name="kosice", edges=3, **more) -> Town:
    """A town with its catalogue applied and all its pairs held."""
    town = found(seed, name, edges, **more)
    answer = town.ask("core-1", "POST", "/operator/apply", {"request": "first", "doc": town.city.catalogue})
    assert answer and answer[0] == 200, answer
    assert town.run_until(lambda: is_held(town), 90)
    return town


def compact_after(town, entries: int):
    """From now on the running cores make a snapshot whenever so many entries were delivered."""
    for core in town.machines("core"):
        state = core.consensus.state
        state.options = replace(state.options, max_log_entries=entries)


def leader(town):
    """The core that leads a working view, or None."""
    return next(
        (
            core
            for core in town.machines("core")
            if core.consensus.role == "leading" and core.consensus.is_fresh(town.now)
        ),
        None,
    )


def box_of(town, machine):
    return next(box for box in town.boxes.values() if box.machine is machine)


def is_held(town) -> bool:
    core = leader(town)
    if core is None or not core.state.pairs:
        return False
    wanted = [(model, server) for model, pair in core.state.pairs.items() for server in pair if server]
    return bool(wanted) and all(core.state.held.get(server, {}).get(model) == "ready" for model, server in wanted)


def others(town, name):
    """All boxes but one, as seen by a cut."""
    return town.inside(name)


def cut_late(town, name, others=None, one_way=False):
    """Cuts a core off from the others (all, or those named) with late delivery; gives the links, for `town.heal`."""
    rest = others or [box.name for box in town.boxes.values() if box.role == "core" and box.name != name]
    return town.cut([name], rest, one_way, holds=True)


def outcomes(callers, **wanted) -> list:
    return [call for call in callers.calls if all(getattr(call, name) == value for name, value in wanted.items())]


def json_fields(fields: dict) -> dict:
    """Keyword arguments as fields of an operator's document, whose names are in camelCase.

    >>> json_fields({"timeout_ms": 5, "name": "r"})
    {'timeoutMs': 5, 'name': 'r'}
    """
    return {re.sub("_([a-z])", lambda found: found[1].upper(), name): value for name, value in fields.items()}


def group(town, name, **more) -> dict:
    return {**next(group for group in town.city.traffic if group["name"] == name), **json_fields(more)}


def quiet(town):
    """Callers that call only when told to, by `ask`."""
    callers = town.call_in(1.0, [])
    callers.groups = town.city.traffic
    callers.due = {each["name"]: timedelta(days=9) for each in town.city.traffic}
    return callers


def ask(town, callers, name, max_tokens=64, **more):
    """One call of a group, made now; gives it."""
    for effect in callers.ask(group(town, name, max_tokens=max_tokens), town.now, **more):
        town._do(town.boxes["callers"], effect)
    return callers.calls[-1]


def witness(town, callers=None) -> Witness:
    """The independent check; without callers, of the servers' records only."""
    return Witness(town, callers or quiet(town))


def give_credit(budget, credit: float, *keys: str) -> None:
    """Lets an edge's retry budget hold so much for the service of each key."""
    for key in keys:
        budget.bucket(key).balance = credit
