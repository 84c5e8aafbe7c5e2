"""Lists the fields of a configuration that are stored and returned but not interpreted."""

from collections.abc import Iterator
from typing import Any

MAX_CARRIED_SHOWN = 40  # field names in one log line or response
EXTRA = "extra"  # the object that holds uninterpreted fields, at any level of a document


def carried_fields(document: Any) -> tuple[str, ...]:
    """Returns the sorted, distinct paths of all fields in `extra` objects at any level, without list indices.

    >>> route = {"name": "r", "extra": {"colour": 1}}
    >>> carried_fields({"version": 3, "httpRoutes": [route, route], "extra": {"owners": [{"name": "o"}]}})
    ('httpRoutes.colour', 'owners')
    """
    return tuple(sorted(set(_paths(document, ""))))


def _paths(value: Any, prefix: str) -> Iterator[str]:
    if isinstance(value, (list, tuple)):
        for item in value:
            yield from _paths(item, prefix)
    elif isinstance(value, dict):
        for field, content in value.items():
            if field == EXTRA and isinstance(content, dict):
                yield from (prefix + name for name in content)
            elif isinstance(content, (dict, list, tuple)):
                yield from _paths(content, f"{prefix}{field}.")
