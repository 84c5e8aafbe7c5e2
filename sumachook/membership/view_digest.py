"""Digest of the live members known to a node, from which two nodes find the members in which their views differ.

Members are hashed into buckets by name; the digest has one checksum per bucket. Only live members are included, since
nodes that started after a member was removed rightly do not know it.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from zlib import crc32

from sumachook.membership.member import LIVE_STATUSES, Member

BUCKET_COUNT = 32  # if one of 200 members differs, the members of its bucket, about six, are sent
CHECKSUM_BYTES = 4
MAX_CACHED_CHECKSUMS = 4096  # checksums, one per state of a member, which rarely changes


def bucket_of(node: str) -> int:
    """Returns the index of the bucket that a node's name hashes to."""
    return crc32(node.encode()) % BUCKET_COUNT


def digest_of(members: Iterable[Member]) -> bytes:
    """Returns one checksum per bucket, in bucket order; the order of the members does not matter."""
    sums = [0] * BUCKET_COUNT
    for member in members:
        if member.status in LIVE_STATUSES:
            bucket, checksum = _bucket_and_checksum(
                member.node, member.address, member.incarnation, member.status, member.restart_epoch
            )
            sums[bucket] += checksum
    return b"".join((each % (1 << CHECKSUM_BYTES * 8)).to_bytes(CHECKSUM_BYTES, "big") for each in sums)


def differing_buckets(own: bytes, other: bytes) -> frozenset[int]:
    """Returns the buckets in which two digests differ, or all of them if the other is empty or of another length.

    >>> own = bytes(BUCKET_COUNT * CHECKSUM_BYTES)
    >>> differing_buckets(own, own), differing_buckets(own, b"\\x01" + own[1:])
    (frozenset(), frozenset({0}))
    >>> len(differing_buckets(own, b""))
    32
    """
    if len(other) != len(own):
        return frozenset(range(BUCKET_COUNT))
    starts = range(0, len(own), CHECKSUM_BYTES)
    return frozenset(
        bucket
        for bucket, start in enumerate(starts)
        if own[start : start + CHECKSUM_BYTES] != other[start : start + CHECKSUM_BYTES]
    )


@lru_cache(MAX_CACHED_CHECKSUMS)
def _bucket_and_checksum(node: str, address: str, incarnation: int, status: str, restart_epoch: int) -> tuple[int, int]:
    """Returns a member's bucket and a checksum of all its fields that can change while its name stays the same."""
    mutable_fields = f"{node} {address} {incarnation} {status} {restart_epoch}"
    return bucket_of(node), int.from_bytes(blake2b(mutable_fields.encode(), digest_size=CHECKSUM_BYTES).digest(), "big")
