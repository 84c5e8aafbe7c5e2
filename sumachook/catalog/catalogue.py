"""What operators write: models, adapters, callers, lines, routes and policies."""

from datetime import timedelta
from typing import Annotated

import msgspec
from msgspec import Meta

from sumachook.catalog.bounds import Count
from sumachook.catalog.capacity import Capacity
from sumachook.catalog.check import check
from sumachook.catalog.http_route import HttpRoute
from sumachook.catalog.limits import Limits
from sumachook.catalog.service import Service
from sumachook.catalog.tenancy import tenancy_faults
from sumachook.catalog.tenant import Tenant
from sumachook.policies.faults import REFUSED as POLICY_REFUSED
from sumachook.policies.policy import ROLES, compile_policy

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Gigabytes = Annotated[float, Meta(gt=0, le=2000)]
Share = Annotated[float, Meta(gt=0, le=1)]


class Model(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """One model: its size and how fast it is wont to answer."""

    name: Name
    memory: Gigabytes
    decode_rate: Annotated[float, Meta(gt=0, le=100000)]
    max_tokens: Annotated[int, Meta(gt=0, le=1000000)] = 1024
    first_token: Seconds = 5.0
    wake: Seconds = 60.0


class Adapter(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """A small addition to a model; takes one adapter place on a server."""

    name: Name
    model: Name
    memory: Gigabytes = 0.1


class Line(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """A class of caller waiting for a server (§7.6)."""

    name: Name
    weight: Annotated[int, Meta(gt=0, le=1000)] = 1
    bound: Annotated[int, Meta(gt=0, le=10000)] = 64
    share: Share = 1.0


class Caller(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """Who calls, with what patience, and whether its prompts may be repeated."""

    name: Name
    key: Annotated[str, Meta(min_length=8, max_length=128)]
    line: Name
    patience: Seconds
    safe: bool = False
    lookups: bool = True
    lookup_patience: Seconds = 5.0

    @property
    def wait(self) -> timedelta:
        return timedelta(seconds=self.patience)


class Route(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """Another name that callers may ask for."""

    name: Name
    target: Name


class Store(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """The weight store's pace in gigabytes a second, and how much may start at once."""

    pace: Annotated[float, Meta(gt=0, le=1000)] = 2.0
    burst: Annotated[float, Meta(gt=0, le=2000)] = 40.0


class Policies(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """Small programs that narrow what the rules allow (§10)."""

    place: str = ""
    hold: str = ""
    retry: str = ""
    evict: str = ""


class Catalogue(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """The whole; `read_catalogue` is the way to one. `version` is the operator's own number of it, `services`, `httpRoutes` and
    `limits` are for requests that pass unchanged, `tenants` and `capacity` for allowances (§15.2), `extra` is what else the operator
    wrote (§14.2)."""

    name: Name
    areas: tuple[Name, ...]
    models: tuple[Model, ...] = ()
    lines: tuple[Line, ...] = ()
    callers: tuple[Caller, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    routes: tuple[Route, ...] = ()
    store: Store = Store()
    policies: Policies = Policies()
    busy: Annotated[int, Meta(ge=0, le=400)] = 12
    version: Count = 0
    services: tuple[Service, ...] = ()
    http_routes: tuple[HttpRoute, ...] = ()
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()
    capacity: Capacity = Capacity()
    extra: dict = {}


BOUNDS = {
    "areas": 16,
    "models": 400,
    "lines": 32,
    "callers": 400,
    "adapters": 2000,
    "routes": 5000,
    "services": 64,
    "httpRoutes": 20000,
    "tenants": 400,
}
MOST_ENGINE_MODELS = 2000
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
    if isinstance(doc, dict):
        known = {path for path, _ in faults}
        faults += tuple(fault for fault in _dangling(doc) if fault[0] not in known)
    return (None, faults) if faults else (catalogue, ())


def _items(doc, part):
    """(place, item) of a list in the operator's document, as far as it is one; so references are checked beside shapes."""
    items = doc.get(part, ())
    pairs = enumerate(items) if isinstance(items, (list, tuple)) else ()
    return [(place, item) for place, item in pairs if isinstance(item, dict)]


def _is_number(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _names(doc, part):
    return {item["name"] for _, item in _items(doc, part) if isinstance(item.get("name"), str)}


def _dangling(doc):
    models, adapters, lines = (_names(doc, part) for part in ("models", "adapters", "lines"))
    for part in ("models", "adapters", "lines", "callers", "routes", "services", "httpRoutes", "tenants"):
        seen = set()
        for place, item in _items(doc, part):
            name = item.get("name")
            if isinstance(name, str):
                if name in seen:
                    yield f"{part}[{place}].name", f"duplicate name {name!r}"
                seen.add(name)
    areas = doc.get("areas")
    if isinstance(areas, (list, tuple)):
        if not areas:
            yield "areas", "at least one is needed"
        for place, area in enumerate(areas):
            if area in areas[:place]:
                yield f"areas[{place}]", f"duplicate name {area!r}"
    for place, adapter in _items(doc, "adapters"):
        if isinstance(adapter.get("model"), str) and adapter["model"] not in models:
            yield f"adapters[{place}].model", f"no model {adapter['model']!r}"
        if isinstance(adapter.get("name"), str) and adapter["name"] in models:
            yield f"adapters[{place}].name", f"{adapter['name']!r} is a model's name"
    keys = {}
    for place, caller in _items(doc, "callers"):
        if isinstance(caller.get("line"), str) and caller["line"] not in lines:
            yield f"callers[{place}].line", f"no line {caller['line']!r}"
        key = caller.get("key")
        if isinstance(key, str):
            if key in keys:
                yield f"callers[{place}].key", f"the key of callers[{keys[key]}]"
            keys.setdefault(key, place)
    for place, route in _items(doc, "routes"):
        target, name = route.get("target"), route.get("name")
        if isinstance(target, str) and target not in models and target not in adapters:
            yield f"routes[{place}].target", f"no model or adapter {target!r}"
        if isinstance(name, str) and (name in models or name in adapters):
            yield f"routes[{place}].name", f"{name!r} is taken by a model or adapter"
    yield from _dangling_services(doc)
    yield from _dangling_routes(doc)
    yield from tenancy_faults(doc)
    store = doc.get("store")
    burst = store.get("burst", Store().burst) if isinstance(store, dict) else Store().burst
    for place, model in _items(doc, "models"):
        if _is_number(model.get("memory")) and _is_number(burst) and model["memory"] > burst:
            yield f"models[{place}].memory", f"{model['memory']} is more than store.burst, {burst}, lets begin at once"
    policies = doc.get("policies")
    for role in ROLES if isinstance(policies, dict) else ():
        if isinstance(policies.get(role, ""), str):
            program = compile_policy(role, policies.get(role, ""))
            if program == POLICY_REFUSED:
                yield f"policies.{role}", program.reason


def _dangling_services(doc):
    """Models of one engine bear different names, and are not too many to be weighed one by one."""
    for place, service in _items(doc, "services"):
        engine = service.get("engine")
        models = _items(engine, "models") if isinstance(engine, dict) else []
        if len(models) > MOST_ENGINE_MODELS:
            yield f"services[{place}].engine.models", f"{len(models)} entries, at most {MOST_ENGINE_MODELS}"
        seen = set()
        for model_place, model in models:
            name = model.get("name")
            if isinstance(name, str):
                if name in seen:
                    yield f"services[{place}].engine.models[{model_place}].name", f"duplicate name {name!r}"
                seen.add(name)


def _dangling_routes(doc):
    """Each route leads to services that there are, with some weight, and no two match the same (§14.2)."""
    services, matches = _names(doc, "services"), {}
    for place, route in _items(doc, "httpRoutes"):
        host, prefix = route.get("host"), route.get("prefix")
        if isinstance(host, str) and isinstance(prefix, str):
            earlier = matches.setdefault((host.lower(), prefix), place)
            if earlier != place:
                yield f"httpRoutes[{place}].prefix", f"the host and prefix of httpRoutes[{earlier}]"
        if not isinstance(route.get("split"), (list, tuple)):
            continue
        is_weighted = False
        for split_place, split in _items(route, "split"):
            service, weight = split.get("service"), split.get("weight")
            if isinstance(service, str) and service not in services:
                yield f"httpRoutes[{place}].split[{split_place}].service", f"no service {service!r}"
            is_weighted |= not (_is_number(weight) and weight == 0)
        if not is_weighted:
            yield f"httpRoutes[{place}].split", "the weights sum to 0"


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
                name = item.get("name") if isinstance(item, dict) else None
                if not isinstance(name, str):
                    name = (place,)  # no name: it stays as it is, for the check to refuse
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
        "name": "c",
        "areas": ["a"],
        "models": [{"name": "m", "memory": 4.0, "decodeRate": 50.0}],
        "lines": [{"name": "counter"}],
        "callers": [{"name": "clerk", "key": "clerk-key", "line": "counter", "patience": 9.0}],
    }


def test_every_fault_is_named_by_path():
    assert read_catalogue(_example())[1] == ()
    doc = _example() | {
        "colour": 1,
        "adapters": [{"name": "x", "model": 3, "memory": -1.0}],
        "store": {"pace": "fast"},
        "routes": [{"name": "r", "target": "gone"}],
    }
    doc["callers"] = [{"name": "clerk", "key": "clerk-key", "line": "counter", "patience": -2.0}]
    assert [path for path, _ in read_catalogue(doc)[1]] == [
        "colour",
        "callers[0].patience",
        "adapters[0].model",
        "adapters[0].memory",
        "store.pace",
        "routes[0].target",
    ]


def test_no_junk_makes_the_check_or_the_merge_fall():
    """Whatever an operator sends is judged, never raised: it is judged on every node."""
    from random import Random

    draw = Random(5)
    junk = (
        None,
        True,
        -1,
        1e308,
        "",
        "x" * 99,
        [],
        [[]],
        {},
        {"name": []},
        [{"name": {}}],
        {"a": {"b": [1]}},
        [None, 3, {"name": None}],
    )

    def bend(value, depth=0):
        if draw.random() < 0.04:
            return draw.choice(junk)
        if isinstance(value, dict):
            return {name: bend(item, depth + 1) for name, item in value.items() if draw.random() < 0.99}
        if isinstance(value, list):
            return [bend(item, depth + 1) for item in value]
        return value

    whole = _example() | {
        "adapters": [{"name": "x", "model": "m"}],
        "routes": [{"name": "r", "target": "m"}],
        "policies": {"hold": "True"},
    }
    judged = {True: 0, False: 0}
    for _ in range(2000):
        doc = bend(whole)
        for wanted in (doc, merge(whole, doc) if isinstance(doc, dict) else doc):
            catalogue, faults = read_catalogue(wanted)
            assert (catalogue is None) == bool(faults)
            judged[catalogue is None] += 1
    assert min(judged.values()) > 50


def test_references_duplicates_and_bounds_are_refused():
    doc = _example()
    doc["callers"].append({"name": "clerk", "key": "clerk-key", "line": "nowhere", "patience": 1.0})
    doc["adapters"] = [{"name": "x", "model": "gone"}]
    doc["policies"], doc["store"] = {"hold": "patience +"}, {"burst": 3.0}
    paths = [path for path, _ in read_catalogue(doc)[1]]
    assert paths == [
        "callers[1].name",
        "adapters[0].model",
        "callers[1].line",
        "callers[1].key",
        "models[0].memory",
        "policies.hold",
    ]
    doc = _example() | {"routes": [{"name": f"r{place}", "target": "m"} for place in range(5001)]}
    assert read_catalogue(doc)[1] == (("routes", "5001 entries, at most 5000"),)
    assert read_catalogue([])[1][0][0] == "$"
