"""Canonical digest of a cluster state: equal for states that differ only in absolute time or in follower names."""

from collections import deque
from datetime import timedelta
from functools import cache
from hashlib import blake2b

import msgspec

from harness.model_checking.cluster import Application, Cluster, FixedRandom, Node

SKIPPED = (FixedRandom, Application)
# fields that are derived from other fields or are mere counters
DERIVED = {
    "digests",
    "voting_members_history",
    "size",
    "_encoded",
    "incarnation",
    "last",
}
MIN_OFFSET = -3.0  # seconds; older timestamps are clamped, since their exact age has no effect


def state_key(cluster: Cluster, swaps=()) -> bytes:
    """Returns the smallest digest of the state over itself and each given swap of two node names."""
    texts = [_describe(cluster)]
    for one, other in swaps:
        texts.append(_rename(texts[0], one, other))
    return min(blake2b(text.encode(), digest_size=12).digest() for text in texts)


def _rename(text: str, one: str, other: str) -> str:
    for quote in ('"{}"', '"{}:1"'):
        text = (
            text.replace(quote.format(one), "\0")
            .replace(quote.format(other), quote.format(one))
            .replace("\0", quote.format(other))
        )
    return text


def _describe(cluster) -> str:
    encoder = _StateEncoder(cluster.now)
    nodes = sorted((name, encoder.to_plain(node)) for name, node in cluster.nodes.items())
    links = sorted(
        (list(link), [encoder.to_plain(message) for message in messages]) for link, messages in cluster.links.items()
    )
    return msgspec.json.encode([nodes, links, sorted(map(list, cluster.held)), sorted(cluster.lost_disks)]).decode()


class _StateEncoder:
    """Converts objects to plain data and timestamps to offsets from the current time."""

    def __init__(self, now):
        self.now, self.seen = now, {}

    def to_plain(self, value):
        """Returns a value as JSON-compatible data; functions and the objects of SKIPPED classes become None."""
        if value is None or isinstance(value, (bool, int, str)):
            return value
        if isinstance(value, timedelta):
            return self._offset(value)
        if isinstance(value, float):
            return round(value, 3)
        if isinstance(value, bytes):
            return value.hex()
        if isinstance(value, dict):
            return sorted(([self.to_plain(name), self.to_plain(item)] for name, item in value.items()), key=repr)
        if isinstance(value, (set, frozenset)):
            return sorted((self.to_plain(item) for item in value), key=repr)
        if isinstance(value, (list, tuple, deque)):
            return [self.to_plain(item) for item in value]
        return self._object(value)

    def _offset(self, value):
        seconds = (value - self.now).total_seconds()
        return round(max(seconds, MIN_OFFSET), 3)

    def _object(self, value):
        if isinstance(value, SKIPPED) or callable(value):
            return None
        if id(value) in self.seen:
            return self.seen[id(value)]
        self.seen[id(value)] = reference = f"#{len(self.seen)}"
        if isinstance(value, Node):
            disk = msgspec.json.encode(value.durable).decode()
            writes = [
                [verb, msgspec.json.encode(records).decode(), self.to_plain(done)]
                for verb, records, done in value.writes
            ]
            return [value.name, disk, writes, value.is_frozen, value.is_stalled, self.to_plain(value.replica)]
        names = _fields(type(value)) or sorted(vars(value))
        return [type(value).__name__, reference, [self.to_plain(getattr(value, name, None)) for name in names]]


@cache
def _fields(kind: type) -> tuple:
    """Returns the field or slot names of a class, without the names in DERIVED."""
    names = getattr(kind, "__struct_fields__", None) or [
        name for base in kind.__mro__ for name in getattr(base, "__slots__", ())
    ]
    return tuple(name for name in names if name not in DERIVED)
