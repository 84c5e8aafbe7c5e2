"""Encodes a configuration as its difference from the one in force, so that log and changefeed carry only changes.

A difference is plain JSON: `fields` holds the added or changed top-level fields, `absent` lists the removed ones, and
`lists` encodes each changed list of named items as runs: `[start, count]` refers to `count` items of the list in force
from index `start`, and an object is an item itself.
"""

from hashlib import sha256
from typing import Any

import msgspec

from sumachook.configuration.checked_document import CheckedDocument

FIELDS, ABSENT, LISTS = "fields", "absent", "lists"
MAX_RELATIVE_SIZE = 0.5  # maximum size of a difference as a fraction of the complete document
_MISSING = object()


class DifferenceError(ValueError):
    """The difference cannot be applied to the document in force."""


def document_digest(document: dict[str, Any]) -> str:
    """Returns the SHA-256 of the document, equal on all nodes and independent of the order of object members."""
    return sha256(msgspec.json.encode(document, order="deterministic")).hexdigest()


def difference_between(base: CheckedDocument, wanted: CheckedDocument) -> dict[str, Any]:
    """Returns the difference that `apply_difference` turns into `wanted`, which must be a revision of `base`."""
    lists, fields = {}, {}
    for field, value in wanted.document.items():
        if base.document.get(field, _MISSING) is value:
            continue
        if field in base.items and field in base.document:
            lists[field] = _encode_runs(base.items[field].documents, base.items[field].index_by_name, value)
        else:
            fields[field] = value
    absent = [field for field in base.document if field not in wanted.document]
    return {FIELDS: fields, ABSENT: absent, LISTS: lists}


def apply_difference(base: CheckedDocument | None, difference: dict[str, Any]) -> dict[str, Any]:
    """Restores the document from which the difference was computed; unchanged values remain the same objects.

    Raises DifferenceError if the difference does not match `base`.
    """
    if base is None:
        raise DifferenceError("no document is in force")
    try:
        document = {field: value for field, value in base.document.items() if field not in difference[ABSENT]}
        document.update(difference[FIELDS])
        for field, runs in difference[LISTS].items():
            document[field] = _expand_runs(base.items[field].documents, runs)
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise DifferenceError(repr(error)) from error
    return document


def is_worthwhile(difference: dict[str, Any], document: dict[str, Any]) -> bool:
    """Returns whether the difference is small enough to be sent instead of the complete document."""
    return len(msgspec.json.encode(difference)) <= MAX_RELATIVE_SIZE * len(msgspec.json.encode(document))


def _encode_runs(current: list[Any], index_by_name: dict[str, int], wanted: list[Any]) -> list[Any]:
    runs: list[Any] = []
    end = -1  # end of the run that is being extended
    for item in wanted:
        index = index_by_name.get(item["name"], -1)
        if index < 0 or current[index] is not item:
            runs.append(item)
            end = -1
        elif index == end:
            runs[-1][1] += 1
            end += 1
        else:
            runs.append([index, 1])
            end = index + 1
    return runs


def _expand_runs(current: list[Any], runs: list[Any]) -> list[Any]:
    joined: list[Any] = []
    for run in runs:
        if isinstance(run, dict):
            joined.append(run)
            continue
        start, count = run
        if start < 0 or count < 1 or start + count > len(current):
            raise DifferenceError(f"no items {start} to {start + count}")
        joined += current[start : start + count]
    return joined
