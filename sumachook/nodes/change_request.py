"""Parses and validates operators' HTTP requests that change the replicated state."""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any

import msgspec

from sumachook.control_state.changes import (
    ApplyDocument,
    ConfigureWithDefaults,
    Evacuate,
    OperatorChange,
    Restore,
)
from sumachook.exceptions import SumachookError
from sumachook.host.events import Body

KINDS = ("apply", "configure", "evacuate", "restore")
PATHS = {f"/operator/{kind}": kind for kind in KINDS}
MAX_DEPTH = 40  # maximum levels of nested objects and lists; a catalogue document has nine
MAX_REQUEST_ID_LENGTH = 100


class ChangeProblem(StrEnum):
    """Why a change request is invalid; the values are the fault classes in the HTTP response."""

    NOT_JSON = "not JSON"
    REFUSED = "refused"


class InvalidChangeError(SumachookError):
    """Raised for a change request that is invalid in any control state, e.g. one that is not a JSON object."""

    def __init__(self, problem: ChangeProblem, reason: str) -> None:
        super().__init__(reason)
        self.problem = problem
        self.reason = reason


def _refusal(reason: str) -> InvalidChangeError:
    return InvalidChangeError(ChangeProblem.REFUSED, reason)


def read_change_request(path: str, body: Body) -> OperatorChange:
    """Parses the body of a POST to one of `PATHS` into a change; raises `InvalidChangeError`."""
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidChangeError(ChangeProblem.NOT_JSON, str(error)) from error
    if not isinstance(document, dict):
        raise _refusal("an object is needed")
    if exceeds_depth(document, MAX_DEPTH):
        raise _refusal(f"nested deeper than {MAX_DEPTH}")
    kind = PATHS[path]
    request = document.get("request", "" if kind != "apply" else None)
    if not isinstance(request, str) or len(request) > MAX_REQUEST_ID_LENGTH or (kind == "apply" and not request):
        raise _refusal(f"request: an id of 1 to {MAX_REQUEST_ID_LENGTH} characters is needed")
    return _READERS[kind](document, request)


def exceeds_depth(value: Any, depth: int) -> bool:
    """Returns whether a document is nested deeper than `depth` levels, without recursion that deep input could exhaust.

    >>> exceeds_depth({"a": [1]}, 2), exceeds_depth({"a": [[1]]}, 2)
    (False, True)
    """
    level = [value]
    for _ in range(depth + 1):
        level = [
            item
            for part in level
            if isinstance(part, dict | list)
            for item in (part.values() if isinstance(part, dict) else part)
        ]
        if not level:
            return False
    return True


def _is_whole_number(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _object_of(document: Mapping[str, Any], field: str, default: Any = None) -> dict[str, Any]:
    value = document.get(field, default)
    if not isinstance(value, dict):
        raise _refusal(f"{field}: an object is needed")
    return value


def _read_apply(document: Mapping[str, Any], request: str) -> OperatorChange:
    content = _object_of(document, "doc")
    generation = document.get("ifGeneration")
    if generation is not None and not _is_whole_number(generation):
        raise _refusal("ifGeneration: a whole number is needed")
    return ApplyDocument(request, content, bool(document.get("part", False)), generation)


def _read_configure(document: Mapping[str, Any], request: str) -> OperatorChange:
    content = _object_of(document, "doc")
    removals = _object_of(document, "removals", {})
    defaults = _object_of(document, "defaults", {})
    base = document.get("ifVersion")
    if not isinstance(base, int) or isinstance(base, bool) or base < 0:
        raise _refusal("ifVersion: a whole number is needed, 0 for the first")
    return ConfigureWithDefaults(request, content, removals, bool(document.get("part", False)), base, defaults)


def _zone_of(document: Mapping[str, Any]) -> str:
    zone = document.get("area")
    if not isinstance(zone, str):
        raise _refusal("area: a text is needed")
    return zone


def _read_evacuate(document: Mapping[str, Any], request: str) -> OperatorChange:
    return Evacuate(request, _zone_of(document))


def _read_restore(document: Mapping[str, Any], request: str) -> OperatorChange:
    return Restore(request, _zone_of(document))


_READERS: dict[str, Callable[[Mapping[str, Any], str], OperatorChange]] = {
    "apply": _read_apply,
    "configure": _read_configure,
    "evacuate": _read_evacuate,
    "restore": _read_restore,
}
