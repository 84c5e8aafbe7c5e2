"""Which fields of a configuration are stored and given back without being read."""

from collections.abc import Iterator
from typing import Any

MAX_CARRIED_SHOWN = 40  # names in one line of a log or one answer
EXTRA = "extra"  # where documents keep them, on any level


def carried_fields(document: Any) -> tuple[str, ...]:
    """The paths of what stands in `extra` on any level, each once and without positions in lists.

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
