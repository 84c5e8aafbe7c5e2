"""Incremental validation: a validated configuration document, and the check of its successor by their difference.

`check_document` validates a complete document. `revise_document` compares a new document with the one in force,
converts only the items that differ and applies only the rules that a difference can violate. The incremental check
proves validity, never invalidity: if any step cannot show that the new document is valid, the document is validated
completely, so that results and reasons are always those of the complete check.
"""

import typing
from collections.abc import Iterable
from operator import is_
from typing import Any, NamedTuple

import msgspec

from sumachook.configuration.catalogue import MAX_LIST_LENGTHS, Catalogue, read_catalogue
from sumachook.configuration.document_items import Document
from sumachook.configuration.http_route import HttpRoute
from sumachook.configuration.issue import ConfigurationIssue
from sumachook.configuration.part import replace_named
from sumachook.configuration.references import (
    DUPLICATE_HTTP_ROUTES,
    HTTP_ROUTES,
    RULES,
    SERVICE_LIST,
    TENANCY,
    service_issues,
    split_issues,
)

HTTP_ROUTE_FIELD, SERVICE_FIELD = "httpRoutes", "services"
PER_ITEM_RULES = (DUPLICATE_HTTP_ROUTES, HTTP_ROUTES, SERVICE_LIST)
_ABSENT = object()


class NamedItems(NamedTuple):
    """A list of a document and, index by index, the structs converted from its items."""

    documents: list[Any]
    values: tuple[Any, ...]
    index_by_name: dict[str, int]


class ItemChange(NamedTuple):
    """An item of the new list that was added or changed, and its index there."""

    position: int
    document: Document
    value: Any


class PartRevision(NamedTuple):
    """A new list with the items that were changed and the names that were removed since the list in force."""

    items: NamedItems
    changes: tuple[ItemChange, ...]
    removed: tuple[str, ...]


class CheckedDocument(NamedTuple):
    """A valid document, its catalogue, and the indexes with which the next document is compared."""

    document: Document
    catalogue: Catalogue
    items: dict[str, NamedItems]
    route_by_match: dict[tuple[str, str], HttpRoute]


CheckResult = tuple[CheckedDocument | None, tuple[ConfigurationIssue, ...]]


class _UnprovenError(Exception):
    """The difference alone does not prove that the new document is valid."""


def _item_types() -> dict[str, type]:
    """Returns the struct class of the items of each list with named items, by field."""
    found = {}
    for field in msgspec.structs.fields(Catalogue):
        arguments = typing.get_args(field.type)
        if (
            typing.get_origin(field.type) is tuple
            and isinstance(arguments[0], type)
            and issubclass(arguments[0], msgspec.Struct)
        ):
            found[field.encode_name] = arguments[0]
    return found


ITEM_TYPES = _item_types()
FIELDS = {field.encode_name: field for field in msgspec.structs.fields(Catalogue)}


def check_document(document: Any) -> CheckResult:
    """Validates a complete document; returns (checked document, ()) or (None, issues)."""
    catalogue, issues = read_catalogue(document)
    if catalogue is None:
        return None, issues
    items = {}
    for part in ITEM_TYPES:
        documents, values = list(document.get(part, ())), getattr(catalogue, FIELDS[part].name)
        items[part] = NamedItems(documents, values, {value.name: index for index, value in enumerate(values)})
    routes = {_match_key(route): route for route in getattr(catalogue, FIELDS[HTTP_ROUTE_FIELD].name)}
    document = {**document, **{part: current.documents for part, current in items.items() if part in document}}
    return CheckedDocument(document, catalogue, items, routes), ()


def _match_key(route: HttpRoute) -> tuple[str, str]:
    """Returns the host, in lower case, and the prefix that a route matches; they are unique among routes."""
    return route.host.lower(), route.prefix


def replace_in(base: CheckedDocument, part: Document, removals: Document) -> Document:
    """Applies a partial change to the document in force; unchanged values remain the same objects."""
    return replace_named(
        base.document, part, removals, {field: items.index_by_name for field, items in base.items.items()}
    )


def revise_document(base: CheckedDocument | None, wanted: Any) -> CheckResult:
    """Returns `check_document(wanted)`, at a cost proportional to its difference from `base` if it is valid."""
    if base is not None and isinstance(wanted, dict):
        try:
            return _revise(base, wanted), ()
        except _UnprovenError:
            pass
    return check_document(wanted)


def _revise(base: CheckedDocument, wanted: Document) -> CheckedDocument:
    values: dict[str, Any] = {}
    revisions: dict[str, PartRevision] = {}
    wanted = {field: _value_in_force(base, field, value) for field, value in wanted.items()}
    changed = {
        field
        for field in {**base.document, **wanted}
        if base.document.get(field, _ABSENT) is not wanted.get(field, _ABSENT)
    }
    for field in changed:
        if field not in FIELDS:
            raise _UnprovenError
        if field in ITEM_TYPES and field in wanted:
            revisions[field] = _revise_part(
                base.items[field], wanted[field], ITEM_TYPES[field], MAX_LIST_LENGTHS[field]
            )
            if revisions[field].items is base.items[field]:
                del revisions[field]
                wanted[field] = base.items[field].documents
                continue
            values[FIELDS[field].name] = revisions[field].items.values
        elif field in ITEM_TYPES:
            raise _UnprovenError  # a removed list is rare enough for a complete check
        else:
            values[FIELDS[field].name] = _read_field(wanted, field)
    changed -= {field for field in ITEM_TYPES if field not in revisions}
    _check_rules(base, wanted, changed, revisions)
    document = {**wanted, **{field: revision.items.documents for field, revision in revisions.items()}}
    routes = _revise_routes(base, revisions)
    items = {**base.items, **{field: revision.items for field, revision in revisions.items()}}
    return CheckedDocument(document, msgspec.structs.replace(base.catalogue, **values), items, routes)


def _value_in_force(base: CheckedDocument, field: str, value: Any) -> Any:
    """Returns the value in force if the new one is equal, else the new one; lists are compared by item later."""
    current = base.document.get(field, _ABSENT)
    return current if field not in ITEM_TYPES and current is not _ABSENT and _is_same_json(current, value) else value


def _read_field(wanted: Document, field: str) -> Any:
    declared = FIELDS[field]
    if field not in wanted:
        if declared.required:
            raise _UnprovenError
        return declared.default if declared.default_factory is msgspec.NODEFAULT else declared.default_factory()
    value = wanted[field]
    if field in MAX_LIST_LENGTHS and isinstance(value, (list, tuple)) and len(value) > MAX_LIST_LENGTHS[field]:
        raise _UnprovenError
    return _convert(value, declared.type)


def _convert(document: Any, declared: Any) -> Any:
    try:
        return msgspec.convert(document, declared)
    except msgspec.ValidationError as error:
        raise _UnprovenError from error


def _revise_part(current: NamedItems, wanted: Any, declared: type, bound: int) -> PartRevision:
    if not isinstance(wanted, (list, tuple)) or len(wanted) > bound:
        raise _UnprovenError
    count = len(current.documents)
    differing = [*_differing_indices(wanted, current.documents), *range(count, len(wanted))]
    documents = list(wanted)
    values = list(current.values[: len(wanted)])
    values += [None] * (len(wanted) - len(values))
    changes = []
    for index in differing:
        before = _index_in_force(current, wanted[index])
        if before is not None and _is_same_json(wanted[index], current.documents[before]):
            documents[index], values[index] = current.documents[before], current.values[before]
        else:
            values[index] = _convert(wanted[index], declared)
            changes.append(ItemChange(index, wanted[index], values[index]))
    if not changes and len(documents) == count and all(map(is_, documents, current.documents)):
        return PartRevision(current, (), ())
    names = _revise_names(current, values, differing)
    removed = tuple(current.index_by_name.keys() - names.keys()) if len(names) < count + len(changes) else ()
    return PartRevision(NamedItems(documents, tuple(values), names), tuple(changes), removed)


def _differing_indices(wanted: Any, current: list[Any]) -> list[int]:
    """Returns the indices of objects that differ; scans bytes, as lists are long and differences are few."""
    sameness, indices, index = bytes(map(is_, wanted, current)), [], -1
    while (index := sameness.find(False, index + 1)) >= 0:
        indices.append(index)
    return indices


def _index_in_force(current: NamedItems, document: Any) -> int | None:
    name = document.get("name") if isinstance(document, dict) else None
    return current.index_by_name.get(name) if isinstance(name, str) else None


def _is_same_json(one: Any, other: Any) -> bool:
    """Compares JSON encodings: 1, 1.0 and true are equal in Python but not to validation; lists equal tuples."""
    return msgspec.json.encode(one) == msgspec.json.encode(other)


def _revise_names(current: NamedItems, values: list[Any], differing: list[int]) -> dict[str, int]:
    """Returns the index of each name; raises _UnprovenError for a duplicate name."""
    if len(values) < len(current.values):
        names = {value.name: index for index, value in enumerate(values)}
    else:
        moved = [
            index
            for index in differing
            if index >= len(current.values) or values[index].name != current.values[index].name
        ]
        names = dict(current.index_by_name) if moved else current.index_by_name
        for index in moved:
            if index < len(current.values):
                names.pop(current.values[index].name, None)
        for index in moved:
            names[values[index].name] = index
    if len(names) != len(values):
        raise _UnprovenError
    return names


def _check_rules(
    base: CheckedDocument, wanted: Document, changed: set[str], revisions: dict[str, PartRevision]
) -> None:
    routes, services = revisions.get(HTTP_ROUTE_FIELD), revisions.get(SERVICE_FIELD)
    for rule in RULES:
        if rule in PER_ITEM_RULES or not rule.reads & changed:
            continue
        if rule is TENANCY and changed & rule.reads == {HTTP_ROUTE_FIELD} and not _concerns_tenants(base, routes):
            continue
        _require_no_issues(rule.find(wanted))
    for change in services.changes if services else ():
        _require_no_issues(service_issues(change.position, change.document))
    if services and services.removed:
        _require_no_issues(HTTP_ROUTES.find(wanted))
    elif routes:
        names = (services.items if services else base.items[SERVICE_FIELD]).index_by_name.keys()
        for change in routes.changes:
            _require_no_issues(split_issues(change.position, change.document, names))


def _require_no_issues(issues: Iterable[ConfigurationIssue]) -> None:
    if next(iter(issues), None) is not None:
        raise _UnprovenError


def _concerns_tenants(base: CheckedDocument, routes: PartRevision | None) -> bool:
    """Returns whether a change of only forwarding routes can break a reference: tenants refer to routes by name."""
    return (
        any(tenant.http_routes for tenant in base.catalogue.tenants)
        and routes is not None
        and routes.items.index_by_name != base.items[HTTP_ROUTE_FIELD].index_by_name
    )


def _revise_routes(base: CheckedDocument, revisions: dict[str, PartRevision]) -> dict[tuple[str, str], HttpRoute]:
    """Returns the routes by host and prefix; raises _UnprovenError if two routes match the same."""
    revision = revisions.get(HTTP_ROUTE_FIELD)
    if revision is None:
        return base.route_by_match
    current, routes = base.items[HTTP_ROUTE_FIELD], dict(base.route_by_match)
    replaced = [
        current.index_by_name[change.value.name]
        for change in revision.changes
        if change.value.name in current.index_by_name
    ]
    for index in (*replaced, *(current.index_by_name[name] for name in revision.removed)):
        del routes[_match_key(current.values[index])]
    for change in revision.changes:
        routes[_match_key(change.value)] = change.value
    if len(routes) != len(revision.items.documents):
        raise _UnprovenError
    return routes
