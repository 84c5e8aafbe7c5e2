"""Identifies the calls of operators, and computes the digests by which their contents are compared."""

from hashlib import sha256
from typing import Any, NamedTuple

import msgspec

DIGEST_HEX_DIGITS = 32  # of the 64 of SHA-256; enough that no two contents in one cluster collide by chance


class Attempt(NamedTuple):
    """Identifies one call of an operator that one core received.

    `origin` names the core and the start of its process, `number` the call. `seen` is the number of the last log
    entry that the core had delivered when it accepted the call, after a linearizable read: every change that was
    acknowledged before the call arrived is at or below it. A copy of the proposal that is delayed in a buffer keeps
    its `seen`, however late it is delivered.
    """

    origin: str
    number: int
    seen: int


def is_overtaken(seen: int | None, number: int) -> bool:
    """Returns whether a core accepted a call before it had delivered change `number`.

    The proposal may then be a copy that was delayed in a buffer and whose operator was answered long ago. `seen` is
    None if unknown.
    """
    return seen is not None and seen < number


def digest(*content: Any) -> str:
    """Returns a digest of `content` that is the same on every replica, whatever the order of keys in its objects.

    >>> digest({"a": 1, "b": [2]}, 5) == digest({"b": [2], "a": 1}, 5), digest({"a": 1}, 5) == digest({"a": 1}, 6)
    (True, False)
    """
    return sha256(msgspec.json.encode(content, order="deterministic")).hexdigest()[:DIGEST_HEX_DIGITS]


def digest_of_configuration(document: Any, removals: Any, is_part: bool, base_version: int) -> str:
    """Returns the digest that identifies a configuration: of content and base version, not of defaults filled in."""
    return digest(document, removals, is_part, base_version)


def version_of(document: Any) -> int | None:
    """Returns the version that a configuration declares, or None if that is not a whole number."""
    version = document.get("version") if isinstance(document, dict) else None
    return version if isinstance(version, int) and not isinstance(version, bool) else None
