"""Validation rules for tenants: ownership of callers, routes and keys, and floors within the capacity."""

from collections.abc import Iterator

from sumachook.configuration.document_items import Document, Items, is_number, items_of, names_of
from sumachook.configuration.issue import ConfigurationIssue
from sumachook.configuration.tenant import CEILING, FLOOR

RATE_FIELDS = ("requestsPerS", "tokensPerS")
OWNED_LISTS = (
    ("callers", "caller"),
    ("httpRoutes", "route"),
)  # lists whose items tenants own, and the noun for an item in error messages


def tenancy_issues(document: Document) -> Iterator[ConfigurationIssue]:
    """Yields the issues of tenants in a document; parts with a wrong structure are skipped.

    >>> tenants = [{"name": "t", "callers": ["a", "b"], "requestsPerS": 4}]
    >>> list(tenancy_issues({"callers": [{"name": "a"}], "tenants": tenants}))
    [ConfigurationIssue(path='tenants[0].callers[1]', reason="no caller 'b'")]
    """
    tenants = items_of(document, "tenants")
    for part, noun in OWNED_LISTS:
        yield from _ownership_issues(tenants, part, noun, names_of(document, part))
    yield from _key_issues(tenants)
    yield from _rate_issues(tenants)
    yield from _capacity_issues(document, tenants)


def _ownership_issues(tenants: Items, part: str, noun: str, names: set[str]) -> Iterator[ConfigurationIssue]:
    """Yields issues of owned items: items that do not exist or belong to an earlier tenant."""
    owners: dict[str, int] = {}
    for index, tenant in tenants:
        listed = tenant.get(part, ())
        for position, name in enumerate(listed if isinstance(listed, (list, tuple)) else ()):
            if not isinstance(name, str):
                continue
            path = f"tenants[{index}].{part}[{position}]"
            if name not in names:
                yield ConfigurationIssue(path, f"no {noun} {name!r}")
            elif name in owners:
                yield ConfigurationIssue(path, f"{noun} {name!r} is of tenants[{owners[name]}]")
            owners.setdefault(name, index)


def _key_issues(tenants: Items) -> Iterator[ConfigurationIssue]:
    """Yields an issue for each API key that an earlier tenant has; the reason never contains the key."""
    holders: dict[str, int] = {}
    for index, tenant in tenants:
        listed = tenant.get("keys", ())
        for position, key in enumerate(listed if isinstance(listed, (list, tuple)) else ()):
            if isinstance(key, str) and holders.setdefault(key, index) != index:
                yield ConfigurationIssue(f"tenants[{index}].keys[{position}]", f"a key of tenants[{holders[key]}]")


def _rate_issues(tenants: Items) -> Iterator[ConfigurationIssue]:
    """Yields issues of rates: a tenant without `keys` and without any rate, or a floor above the ceiling."""
    for index, tenant in tenants:
        if "keys" not in tenant and all(tenant.get(rate_field) is None for rate_field in RATE_FIELDS):
            yield ConfigurationIssue(f"tenants[{index}]", "requestsPerS or tokensPerS is needed")
        floor, ceiling = tenant.get("floor", FLOOR), tenant.get("ceiling", CEILING)
        if is_number(floor) and is_number(ceiling) and floor > ceiling:
            yield ConfigurationIssue(f"tenants[{index}].floor", f"{floor} is above the ceiling, {ceiling}")


def _capacity_issues(document: Document, tenants: Items) -> Iterator[ConfigurationIssue]:
    """Yields an issue for each rate whose floors, summed over all tenants, exceed the configured capacity."""
    capacity = document.get("capacity")
    if not isinstance(capacity, dict):
        return
    for rate_field in RATE_FIELDS:
        floors = [
            tenant[rate_field] * tenant.get("floor", FLOOR)
            for _, tenant in tenants
            if is_number(tenant.get(rate_field)) and is_number(tenant.get("floor", FLOOR))
        ]
        if is_number(capacity.get(rate_field)) and sum(floors) > capacity[rate_field]:
            reason = f"the tenants' floors sum to {sum(floors):g}, it is {capacity[rate_field]:g}"
            yield ConfigurationIssue(f"capacity.{rate_field}", reason)
