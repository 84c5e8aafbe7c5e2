"""A short digest of the live members that a node knows, by which two nodes find out where their views differ.

The members are divided into buckets by their names; the digest holds one checksum a bucket. Only live members count:
who is gone is known to some and, rightly, not to those that started later.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from zlib import crc32

from sumachook.membership.member import LIVE_STATUSES, Member

BUCKETS = 32  # of 200 members that differ in one, six are sent
CHECKSUM_BYTES = 4
MAX_CACHED_CHECKSUMS = 4096  # of members, which seldom change


def bucket_of(node: str) -> int:
    """The bucket of the node with this name."""
    return crc32(node.encode()) % BUCKETS


def digest_of(members: Iterable[Member]) -> bytes:
    """One checksum a bucket, in their order; it does not depend on the order of the members."""
    sums = [0] * BUCKETS
    for member in members:
        if member.status in LIVE_STATUSES:
            bucket, checksum = _bucket_and_checksum(
                member.node, member.address, member.incarnation, member.status, member.restart_epoch
            )
            sums[bucket] += checksum
    return b"".join((each % (1 << CHECKSUM_BYTES * 8)).to_bytes(CHECKSUM_BYTES, "big") for each in sums)


def differing_buckets(own: bytes, other: bytes) -> frozenset[int]:
    """The buckets in which two digests differ; all of them where the other node gave none, or one of another form.

    >>> own = bytes(BUCKETS * CHECKSUM_BYTES)
    >>> differing_buckets(own, own), differing_buckets(own, b"\\x01" + own[1:])
    (frozenset(), frozenset({0}))
    >>> len(differing_buckets(own, b""))
    32
    """
    if len(other) != len(own):
        return frozenset(range(BUCKETS))
    starts = range(0, len(own), CHECKSUM_BYTES)
    return frozenset(
        bucket
        for bucket, start in enumerate(starts)
        if own[start : start + CHECKSUM_BYTES] != other[start : start + CHECKSUM_BYTES]
    )


@lru_cache(MAX_CACHED_CHECKSUMS)
def _bucket_and_checksum(node: str, address: str, incarnation: int, status: str, restart_epoch: int) -> tuple[int, int]:
    """Of all that can change of a member while its name stays."""
    changing = f"{node} {address} {incarnation} {status} {restart_epoch}"
    return bucket_of(node), int.from_bytes(blake2b(changing.encode(), digest_size=CHECKSUM_BYTES).digest(), "big")
