"""Reads the valid parts of an unvalidated document, so that references are checked even if its structure is wrong."""

from typing import Any

NAMED_LISTS = (
    "models",
    "adapters",
    "lines",
    "callers",
    "routes",
    "services",
    "httpRoutes",
    "tenants",
)  # the lists whose items have a name

Document = dict[str, Any]
Items = list[tuple[int, Document]]


def objects_in(items: Any) -> Items:
    """Returns (index, object) for each object in a list; empty if `items` is not a list.

    >>> objects_in([{"name": "a"}, 3]), objects_in("a")
    ([(0, {'name': 'a'})], [])
    """
    if not isinstance(items, (list, tuple)):
        return []
    return [(index, item) for index, item in enumerate(items) if isinstance(item, dict)]


def items_of(document: Document, part: str) -> Items:
    """Returns (index, item) for each object in one list of a document."""
    return objects_in(document.get(part, ()))


def names_of(document: Document, part: str) -> set[str]:
    """Returns the names of the items of a list, without those that are not strings."""
    return {item["name"] for _, item in items_of(document, part) if isinstance(item.get("name"), str)}


def is_number(value: Any) -> bool:
    """Returns whether the value is a JSON number; true and false are not."""
    return isinstance(value, (int, float)) and not isinstance(value, bool)
