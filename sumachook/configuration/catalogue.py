"""The catalogue: the operator's configuration of models, adapters, callers, queues (lines), routes and policies."""

from collections.abc import Iterator, Sequence
from datetime import timedelta
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from sumachook.configuration.bounds import Count
from sumachook.configuration.capacity import Capacity
from sumachook.configuration.check import check
from sumachook.configuration.document_items import Document
from sumachook.configuration.http_route import HttpRoute
from sumachook.configuration.issue import ConfigurationIssue
from sumachook.configuration.limits import Limits
from sumachook.configuration.references import reference_issues
from sumachook.configuration.service import Service
from sumachook.configuration.store import Store
from sumachook.configuration.tenant import Tenant

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Gigabytes = Annotated[float, Meta(gt=0, le=2000)]
Share = Annotated[float, Meta(gt=0, le=1)]


class Model(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """A model, its size and its typical response times.

    `memory`: gigabytes; `decodeRate`: tokens per second; `firstToken`, `wake`: seconds allowed for the first token and
    for loading the model.
    """

    name: Name
    memory: Gigabytes
    decode_rate: Annotated[float, Meta(gt=0, le=100000)]
    max_tokens: Annotated[int, Meta(gt=0, le=1000000)] = 1024
    first_token: Seconds = 5.0
    wake: Seconds = 60.0


class Adapter(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """An adapter for a model, which occupies one adapter slot and `memory` gigabytes on a server."""

    name: Name
    model: Name
    memory: Gigabytes = 0.1


class Line(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """A queue of requests waiting for a server; `bound` is its maximum length, `weight` its scheduling weight."""

    name: Name
    weight: Annotated[int, Meta(gt=0, le=1000)] = 1
    bound: Annotated[int, Meta(gt=0, le=10000)] = 64
    share: Share = 1.0


class Caller(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """A caller, its API key and queue, its timeouts in seconds, and whether its prompts are safe to retry."""

    name: Name
    key: Annotated[str, Meta(min_length=8, max_length=128)]
    line: Name
    patience: Seconds
    safe: bool = False
    lookups: bool = True
    lookup_patience: Seconds = 5.0

    @property
    def wait(self) -> timedelta:
        """The time for which this caller waits for a response."""
        return timedelta(seconds=self.patience)


class Route(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """An alias under which callers may request a model or adapter."""

    name: Name
    target: Name


class Policies(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """Policy expressions, by decision, that further restrict what the built-in rules allow; empty for none."""

    place: str = ""
    hold: str = ""
    retry: str = ""
    evict: str = ""


class Catalogue(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """The complete configuration, as validated by `read_catalogue`.

    `version` is the operator's own version number. `services`, `httpRoutes` and `limits` apply to requests that are
    forwarded unchanged, `tenants` and `capacity` to quotas. `extra` holds fields that are stored but not interpreted.
    """

    name: Name
    zones: tuple[Name, ...] = msgspec.field(name="areas")
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
    extra: dict[str, Any] = {}


MAX_LIST_LENGTHS = {
    "areas": 16,
    "models": 400,
    "lines": 32,
    "callers": 400,
    "adapters": 2000,
    "routes": 5000,
    "services": 64,
    "httpRoutes": 20000,
    "tenants": 10000,
}
LIST_FIELDS = tuple(MAX_LIST_LENGTHS)


def read_catalogue(document: Any) -> tuple[Catalogue | None, tuple[ConfigurationIssue, ...]]:
    """Validates a complete document: structure, then references; returns (catalogue, ()) or (None, issues)."""
    issues = tuple(length_issues(document)) if isinstance(document, dict) else ()
    if issues:
        return None, issues
    catalogue, issues = check(document, Catalogue)
    if isinstance(document, dict):
        known_paths = {issue.path for issue in issues}
        issues += tuple(issue for issue in reference_issues(document) if issue.path not in known_paths)
    return (None, issues) if issues else (catalogue, ())


def length_issues(document: Document) -> Iterator[ConfigurationIssue]:
    """Yields an issue for each list with more entries than allowed."""
    for part, bound in MAX_LIST_LENGTHS.items():
        if isinstance(document.get(part), (list, tuple)) and len(document[part]) > bound:
            yield ConfigurationIssue(part, f"{len(document[part])} entries, at most {bound}")


def merge(base: Document, part: Document) -> Document:
    """Applies a partial configuration to `base`.

    Items of lists merge by name and keep their order, an item with `"remove": true` is removed, objects merge by field,
    and any other value replaces the current one.


    >>> merge({"name": "c", "areas": ["a"], "models": [{"name": "m", "memory": 1}]},
    ...       {"models": [{"name": "m", "memory": 2}, {"name": "n", "memory": 3}]})["models"]
    [{'name': 'm', 'memory': 2}, {'name': 'n', 'memory': 3}]
    >>> merge({"models": [{"name": "m"}, {"name": "n"}]}, {"models": [{"name": "m", "remove": True}]})
    {'models': [{'name': 'n'}]}
    """
    merged = dict(base)
    for field, value in part.items():
        if field in LIST_FIELDS and field != "areas" and isinstance(value, (list, tuple)):
            merged[field] = _merge_list(base.get(field, ()), value)
        elif isinstance(value, dict) and isinstance(base.get(field), dict):
            merged[field] = {**base[field], **value}
        else:
            merged[field] = value
    return merged


def _merge_list(current: Sequence[Any], changes: Sequence[Any]) -> list[Any]:
    items: dict[Any, Any] = {item.get("name"): item for item in current if isinstance(item, dict)}
    for index, item in enumerate(changes):
        name = item.get("name") if isinstance(item, dict) else None
        key = name if isinstance(name, str) else (index,)  # an unnamed item is kept, for validation to reject
        if _is_removal(item):
            items.pop(key, None)
        elif key in items and isinstance(item, dict):
            items[key] = {**items[key], **item}
        else:
            items[key] = item
    return list(items.values())


def _is_removal(item: Any) -> bool:
    return isinstance(item, dict) and item.get("remove") is True and set(item) == {"name", "remove"}
