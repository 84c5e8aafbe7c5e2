"""Validation rules across the items of a configuration document: unique names, existing references, limits on sums.

Each rule declares the top-level fields that it reads, so that a change is checked only by the rules it can violate.
"""

from collections.abc import Callable, Container, Iterator
from typing import NamedTuple

from sumachook.configuration.document_items import NAMED_LISTS, Document, Items, is_number, items_of, names_of
from sumachook.configuration.issue import ConfigurationIssue
from sumachook.configuration.store import Store
from sumachook.configuration.tenancy import tenancy_issues
from sumachook.policies.errors import InvalidPolicyError
from sumachook.policies.policy import ROLES, compile_policy

MAX_ENGINE_MODELS = 2000  # each server selection iterates over all of them


class Rule(NamedTuple):
    """A validation rule: `find(document)` yields its issues and depends only on the fields in `reads`."""

    reads: frozenset[str]
    find: Callable[[Document], Iterator[ConfigurationIssue]]


def reference_issues(document: Document) -> Iterator[ConfigurationIssue]:
    """Yields the issues of all rules; parts of the document with a wrong structure are skipped."""
    for rule in RULES:
        yield from rule.find(document)


def route_key(route: Document) -> tuple[str, str] | None:
    """Returns the host, in lower case, and the prefix that a route matches, or None if either is not a string."""
    host, prefix = route.get("host"), route.get("prefix")
    return (host.lower(), prefix) if isinstance(host, str) and isinstance(prefix, str) else None


def service_issues(index: int, service: Document) -> Iterator[ConfigurationIssue]:
    """Yields issues of an engine's models: duplicate names, or more models than `MAX_ENGINE_MODELS`."""
    engine = service.get("engine")
    models = items_of(engine, "models") if isinstance(engine, dict) else []
    if len(models) > MAX_ENGINE_MODELS:
        yield ConfigurationIssue(
            f"services[{index}].engine.models", f"{len(models)} entries, at most {MAX_ENGINE_MODELS}"
        )
    yield from _repeated_names(models, f"services[{index}].engine.models")


def split_issues(index: int, route: Document, services: Container[str]) -> Iterator[ConfigurationIssue]:
    """Yields issues of a route's split: unknown services, or weights that sum to 0."""
    if not isinstance(route.get("split"), (list, tuple)):
        return
    is_weighted = False
    for split_index, split in items_of(route, "split"):
        service, weight = split.get("service"), split.get("weight")
        if isinstance(service, str) and service not in services:
            yield ConfigurationIssue(f"httpRoutes[{index}].split[{split_index}].service", f"no service {service!r}")
        is_weighted |= not (is_number(weight) and weight == 0)
    if not is_weighted:
        yield ConfigurationIssue(f"httpRoutes[{index}].split", "the weights sum to 0")


def _repeated_names(items: Items, path: str) -> Iterator[ConfigurationIssue]:
    seen: set[str] = set()
    for index, item in items:
        name = item.get("name")
        if isinstance(name, str):
            if name in seen:
                yield ConfigurationIssue(f"{path}[{index}].name", f"duplicate name {name!r}")
            seen.add(name)


def _duplicates_in(part: str) -> Rule:
    return Rule(frozenset({part}), lambda document: _repeated_names(items_of(document, part), part))


def _zone_issues(document: Document) -> Iterator[ConfigurationIssue]:
    zones = document.get("areas")
    if isinstance(zones, (list, tuple)):
        if not zones:
            yield ConfigurationIssue("areas", "at least one is needed")
        for index, zone in enumerate(zones):
            if zone in zones[:index]:
                yield ConfigurationIssue(f"areas[{index}]", f"duplicate name {zone!r}")


def _adapter_issues(document: Document) -> Iterator[ConfigurationIssue]:
    models = names_of(document, "models")
    for index, adapter in items_of(document, "adapters"):
        if isinstance(adapter.get("model"), str) and adapter["model"] not in models:
            yield ConfigurationIssue(f"adapters[{index}].model", f"no model {adapter['model']!r}")
        if isinstance(adapter.get("name"), str) and adapter["name"] in models:
            yield ConfigurationIssue(f"adapters[{index}].name", f"{adapter['name']!r} is a model's name")


def _caller_issues(document: Document) -> Iterator[ConfigurationIssue]:
    lines = names_of(document, "lines")
    keys: dict[str, int] = {}
    for index, caller in items_of(document, "callers"):
        if isinstance(caller.get("line"), str) and caller["line"] not in lines:
            yield ConfigurationIssue(f"callers[{index}].line", f"no line {caller['line']!r}")
        key = caller.get("key")
        if isinstance(key, str):
            if key in keys:
                yield ConfigurationIssue(f"callers[{index}].key", f"the key of callers[{keys[key]}]")
            keys.setdefault(key, index)


def _alias_issues(document: Document) -> Iterator[ConfigurationIssue]:
    targets = names_of(document, "models") | names_of(document, "adapters")
    for index, route in items_of(document, "routes"):
        target, name = route.get("target"), route.get("name")
        if isinstance(target, str) and target not in targets:
            yield ConfigurationIssue(f"routes[{index}].target", f"no model or adapter {target!r}")
        if isinstance(name, str) and name in targets:
            yield ConfigurationIssue(f"routes[{index}].name", f"{name!r} is taken by a model or adapter")


def _service_list_issues(document: Document) -> Iterator[ConfigurationIssue]:
    for index, service in items_of(document, "services"):
        yield from service_issues(index, service)


def _http_route_issues(document: Document) -> Iterator[ConfigurationIssue]:
    """Yields issues of forwarding routes: invalid splits, or two routes with the same host and prefix."""
    services = names_of(document, "services")
    matches: dict[tuple[str, str], int] = {}
    for index, route in items_of(document, "httpRoutes"):
        key = route_key(route)
        earlier = matches.setdefault(key, index) if key is not None else index
        if earlier != index:
            yield ConfigurationIssue(f"httpRoutes[{index}].prefix", f"the host and prefix of httpRoutes[{earlier}]")
        yield from split_issues(index, route, services)


def _memory_issues(document: Document) -> Iterator[ConfigurationIssue]:
    store = document.get("store")
    burst = store.get("burst", Store().burst) if isinstance(store, dict) else Store().burst
    for index, model in items_of(document, "models"):
        if is_number(model.get("memory")) and is_number(burst) and model["memory"] > burst:
            yield ConfigurationIssue(
                f"models[{index}].memory", f"{model['memory']} is more than store.burst, {burst}, lets begin at once"
            )


def _policy_issues(document: Document) -> Iterator[ConfigurationIssue]:
    policies = document.get("policies")
    if not isinstance(policies, dict):
        return
    for role in ROLES:
        if isinstance(policies.get(role, ""), str):
            try:
                compile_policy(role, policies.get(role, ""))
            except InvalidPolicyError as error:
                yield ConfigurationIssue(f"policies.{role}", str(error))


DUPLICATE_HTTP_ROUTES = _duplicates_in("httpRoutes")
SERVICE_LIST = Rule(frozenset({"services"}), _service_list_issues)
HTTP_ROUTES = Rule(frozenset({"services", "httpRoutes"}), _http_route_issues)
TENANCY = Rule(frozenset({"callers", "httpRoutes", "tenants", "capacity"}), tenancy_issues)

RULES = (
    *(DUPLICATE_HTTP_ROUTES if part == "httpRoutes" else _duplicates_in(part) for part in NAMED_LISTS),
    Rule(frozenset({"areas"}), _zone_issues),
    Rule(frozenset({"models", "adapters"}), _adapter_issues),
    Rule(frozenset({"lines", "callers"}), _caller_issues),
    Rule(frozenset({"models", "adapters", "routes"}), _alias_issues),
    SERVICE_LIST,
    HTTP_ROUTES,
    TENANCY,
    Rule(frozenset({"store", "models"}), _memory_issues),
    Rule(frozenset({"policies"}), _policy_issues),
)
