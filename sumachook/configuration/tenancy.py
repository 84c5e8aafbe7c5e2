"""What tenants refer to, and whether their floors fit into the capacity."""

from collections.abc import Iterator

from sumachook.configuration.document_items import Document, Items, is_number, items_of, names_of
from sumachook.configuration.issue import ConfigurationIssue
from sumachook.configuration.tenant import CEILING, FLOOR

FIGURES = ("requestsPerS", "tokensPerS")
OWNED_PARTS = (
    ("callers", "caller"),
    ("httpRoutes", "route"),
)  # the lists that tenants own items of, and what one is called


def tenancy_issues(document: Document) -> Iterator[ConfigurationIssue]:
    """Each issue between tenants and the rest of an operator's document, as far as it can be read.

    >>> tenants = [{"name": "t", "callers": ["a", "b"], "requestsPerS": 4}]
    >>> list(tenancy_issues({"callers": [{"name": "a"}], "tenants": tenants}))
    [ConfigurationIssue(path='tenants[0].callers[1]', reason="no caller 'b'")]
    """
    tenants = items_of(document, "tenants")
    for part, noun in OWNED_PARTS:
        yield from _ownership_issues(tenants, part, noun, names_of(document, part))
    yield from _key_issues(tenants)
    yield from _rate_issues(tenants)
    yield from _capacity_issues(document, tenants)


def _ownership_issues(tenants: Items, part: str, noun: str, names: set[str]) -> Iterator[ConfigurationIssue]:
    """What a tenant owns exists, and is owned by no other."""
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
    """No key is of two tenants; a reason never shows one."""
    holders: dict[str, int] = {}
    for index, tenant in tenants:
        listed = tenant.get("keys", ())
        for position, key in enumerate(listed if isinstance(listed, (list, tuple)) else ()):
            if isinstance(key, str) and holders.setdefault(key, index) != index:
                yield ConfigurationIssue(f"tenants[{index}].keys[{position}]", f"a key of tenants[{holders[key]}]")


def _rate_issues(tenants: Items) -> Iterator[ConfigurationIssue]:
    """A tenant has a rate, unless it is known by keys alone, and its floor is not above its ceiling."""
    for index, tenant in tenants:
        if "keys" not in tenant and all(tenant.get(figure) is None for figure in FIGURES):
            yield ConfigurationIssue(f"tenants[{index}]", "requestsPerS or tokensPerS is needed")
        floor, ceiling = tenant.get("floor", FLOOR), tenant.get("ceiling", CEILING)
        if is_number(floor) and is_number(ceiling) and floor > ceiling:
            yield ConfigurationIssue(f"tenants[{index}].floor", f"{floor} is above the ceiling, {ceiling}")


def _capacity_issues(document: Document, tenants: Items) -> Iterator[ConfigurationIssue]:
    """All floors together fit into what the operator states as the capacity."""
    capacity = document.get("capacity")
    if not isinstance(capacity, dict):
        return
    for figure in FIGURES:
        floors = [
            tenant[figure] * tenant.get("floor", FLOOR)
            for _, tenant in tenants
            if is_number(tenant.get(figure)) and is_number(tenant.get("floor", FLOOR))
        ]
        if is_number(capacity.get(figure)) and sum(floors) > capacity[figure]:
            reason = f"the tenants' floors sum to {sum(floors):g}, it is {capacity[figure]:g}"
            yield ConfigurationIssue(f"capacity.{figure}", reason)
