"""What operators write: models, adapters, callers, lines, routes and policies."""

from datetime import timedelta
from typing import Annotated

import msgspec
from msgspec import Meta

from sumachook.atlas.check import check
from sumachook.creed.faults import REFUSED as POLICY_REFUSED
from sumachook.creed.policy import ROLES, compile_policy

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Gigabytes = Annotated[float, Meta(gt=0, le=2000)]
Share = Annotated[float, Meta(gt=0, le=1)]


class Model(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One model: its size and how fast it is wont to answer."""

    name: Name
    memory: Gigabytes
    decodeRate: Annotated[float, Meta(gt=0, le=100000)]
    maxTokens: Annotated[int, Meta(gt=0, le=1000000)] = 1024
    firstToken: Seconds = 5.0
    wake: Seconds = 60.0


class Adapter(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A small addition to a model; takes one adapter place on a server."""

    name: Name
    model: Name
    memory: Gigabytes = 0.1


class Line(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A class of caller waiting for a server (§7.6)."""

    name: Name
    weight: Annotated[int, Meta(gt=0, le=1000)] = 1
    bound: Annotated[int, Meta(gt=0, le=10000)] = 64
    share: Share = 1.0


class Caller(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Who calls, with what patience, and whether its prompts may be repeated."""

    name: Name
    key: Annotated[str, Meta(min_length=8, max_length=128)]
    line: Name
    patience: Seconds
    safe: bool = False
    lookups: bool = True
    lookupPatience: Seconds = 5.0

    @property
    def wait(self) -> timedelta:
        return timedelta(seconds=self.patience)


class Route(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Another name that callers may ask for."""

    name: Name
    target: Name


class Store(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The weight store's pace in gigabytes a second, and how much may start at once."""

    pace: Annotated[float, Meta(gt=0, le=1000)] = 2.0
    burst: Annotated[float, Meta(gt=0, le=2000)] = 40.0


class Policies(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Small programs that narrow what the rules allow (§10)."""

    place: str = ""
    hold: str = ""
    retry: str = ""
    evict: str = ""




class Catalogue(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole; `read_catalogue` is the way to one."""

    name: Name
    areas: tuple[Name, ...]
    models: tuple[Model, ...]
    lines: tuple[Line, ...]
    callers: tuple[Caller, ...]
    adapters: tuple[Adapter, ...] = ()
    routes: tuple[Route, ...] = ()
    store: Store = Store()
    policies: Policies = Policies()
    busy: Annotated[int, Meta(ge=0, le=400)] = 12


BOUNDS = {"areas": 16, "models": 400, "lines": 32, "callers": 400, "adapters": 2000, "routes": 5000}
KEYED = tuple(BOUNDS)


def read_catalogue(doc):
    """(Catalogue or None, faults): shape first, then what refers to what."""
    faults = []
    if isinstance(doc, dict):
        for part, bound in BOUNDS.items():
            if isinstance(doc.get(part), (list, tuple)) and len(doc[part]) > bound:
                faults.append((part, f"{len(doc[part])} entries, at most {bound}"))
    if faults:
        return None, tuple(faults)
    catalogue, faults = check(doc, Catalogue)
    if catalogue is None:
        return None, faults
    faults = tuple(_dangling(catalogue))
    return (None, faults) if faults else (catalogue, ())


def _dangling(catalogue):
    for part in ("models", "adapters", "lines", "callers", "routes"):
        seen = set()
        for place, item in enumerate(getattr(catalogue, part)):
            if item.name in seen:
                yield f"{part}[{place}].name", f"duplicate name {item.name!r}"
            seen.add(item.name)
    if not catalogue.areas:
        yield "areas", "at least one is needed"
    for place, area in enumerate(catalogue.areas):
        if area in catalogue.areas[:place]:
            yield f"areas[{place}]", f"duplicate name {area!r}"
    models = {model.name for model in catalogue.models}
    adapters = {adapter.name for adapter in catalogue.adapters}
    lines = {line.name for line in catalogue.lines}
    for place, adapter in enumerate(catalogue.adapters):
        if adapter.model not in models:
            yield f"adapters[{place}].model", f"no model {adapter.model!r}"
        if adapter.name in models:
            yield f"adapters[{place}].name", f"{adapter.name!r} is a model's name"
    keys = {}
    for place, caller in enumerate(catalogue.callers):
        if caller.line not in lines:
            yield f"callers[{place}].line", f"no line {caller.line!r}"
        if caller.key in keys:
            yield f"callers[{place}].key", f"the key of callers[{keys[caller.key]}]"
        keys.setdefault(caller.key, place)
    for place, route in enumerate(catalogue.routes):
        if route.target not in models and route.target not in adapters:
            yield f"routes[{place}].target", f"no model or adapter {route.target!r}"
        if route.name in models or route.name in adapters:
            yield f"routes[{place}].name", f"{route.name!r} is taken by a model or adapter"
    for role in ROLES:
        program = compile_policy(role, getattr(catalogue.policies, role))
        if program == POLICY_REFUSED:
            yield f"policies.{role}", program.reason


def merge(whole: dict, part: dict) -> dict:
    """A partial configuration: lists merge by key in order, null removes, the rest replaces (§5.3).

    >>> merge({"name": "c", "areas": ["a"], "models": [{"name": "m", "memory": 1}]},
    ...       {"models": [{"name": "m", "memory": 2}, {"name": "n", "memory": 3}]})["models"]
    [{'name': 'm', 'memory': 2}, {'name': 'n', 'memory': 3}]
    >>> merge({"models": [{"name": "m"}, {"name": "n"}]}, {"models": [{"name": "m", "remove": True}]})
    {'models': [{'name': 'n'}]}
    """
    merged = dict(whole)
    for field, value in part.items():
        if field in KEYED and field != "areas" and isinstance(value, (list, tuple)):
            items = {item.get("name"): item for item in whole.get(field, ()) if isinstance(item, dict)}
            for place, item in enumerate(value):
                name = item.get("name") if isinstance(item, dict) else place
                if isinstance(item, dict) and item.get("remove") is True and set(item) == {"name", "remove"}:
                    items.pop(name, None)
                else:
                    items[name] = {**items[name], **item} if name in items and isinstance(item, dict) else item
            merged[field] = list(items.values())
        elif isinstance(value, dict) and isinstance(whole.get(field), dict):
            merged[field] = {**whole[field], **value}
        else:
            merged[field] = value
    return merged


def _example():
    return {
        "name": "c", "areas": ["a"], "models": [{"name": "m", "memory": 4.0, "decodeRate": 50.0}],
        "lines": [{"name": "counter"}], "callers": [{"name": "clerk", "key": "clerk-key", "line": "counter", "patience": 9.0}],
    }


def test_every_fault_is_named_by_path():
    assert read_catalogue(_example())[1] == ()
    doc = _example() | {"colour": 1, "adapters": [{"name": "x", "model": 3, "memory": -1.0}], "store": {"pace": "fast"}}
    doc["callers"] = [{"name": "clerk", "key": "clerk-key", "line": "counter", "patience": -2.0}]
    assert [path for path, _ in read_catalogue(doc)[1]] == [
        "colour", "callers[0].patience", "adapters[0].model", "adapters[0].memory", "store.pace"]


def test_references_duplicates_and_bounds_are_refused():
    doc = _example()
    doc["callers"].append({"name": "clerk", "key": "clerk-key", "line": "nowhere", "patience": 1.0})
    doc["adapters"] = [{"name": "x", "model": "gone"}]
    doc["policies"] = {"hold": "patience +"}
    paths = [path for path, _ in read_catalogue(doc)[1]]
    assert paths == ["callers[1].name", "adapters[0].model", "callers[1].line", "callers[1].key", "policies.hold"]
    doc = _example() | {"routes": [{"name": f"r{place}", "target": "m"} for place in range(5001)]}
    assert read_catalogue(doc)[1] == (("routes", "5001 entries, at most 5000"),)
    assert read_catalogue([])[1][0][0] == "$"
