"""Selects the voters that store a record."""

from functools import lru_cache
from zlib import crc32

from sumachook.ledger.records import Record

OWNER_COUNT = 2  # voters that own a record; the next voter in order stores it for an unreachable owner
_FORWARDED_KIND = "forward"


@lru_cache(4096)
def replicas_of(range_key: str, voters: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the voters in order of preference for a range key (rendezvous hashing); the first two own it.

    >>> replicas_of("r1", ("a", "b", "c")) == replicas_of("r1", ("a", "b", "c"))
    True
    >>> sorted(replicas_of("r1", ("a", "b", "c")))
    ['a', 'b', 'c']
    """
    return tuple(sorted(voters, key=lambda voter: crc32(f"{voter}|{range_key}".encode())))


def range_key(record: Record) -> str:
    """Returns the key that selects the replicas of a record: its client and idempotency key, or its request id.

    Requests with the same idempotency key thus share replicas, which detect the duplicate. The key of a forwarded
    request is its edge: its records are deferred, so that one message to each of two replicas contains all of them.

    >>> range_key({"request": "e1.7.3", "key": ""})
    'e1.7.3'
    >>> range_key({"request": "e1.7.3", "key": "", "kind": "forward", "edge": "e1"})
    'e1'
    """
    if record.get("key"):
        return f"{record['caller']}|{record['key']}"
    key: str = record["edge"] if record.get("kind") == _FORWARDED_KIND else record["request"]
    return key
