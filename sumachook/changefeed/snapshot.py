"""Encodes state snapshots for the change feed: compressed, and split into parts if they are long."""

import zlib
from typing import Any

import msgspec

from sumachook.changefeed.messages import SnapshotPart
from sumachook.transport.codec import as_tuples

COMPRESSION_LEVEL = 3  # zlib level; higher ones block a core's event loop for longer and save little
PART_BYTES = 128 << 10  # at 5 Mbit/s a part takes a fifth of a second, so that it does not delay the messages behind it
MAX_SNAPSHOT_BYTES = 64 << 20  # uncompressed; limits what a corrupt or hostile message makes a follower allocate


def pack_snapshot(snapshot: dict[str, Any]) -> bytes:
    """Encodes a snapshot as compressed JSON.

    >>> read_snapshot(pack_snapshot({"doc": {"areas": ["a"]}, "duties": {"placer": ["", 0]}}))
    {'doc': {'areas': ['a']}, 'duties': {'placer': ('', 0)}}
    """
    return zlib.compress(msgspec.json.encode(snapshot), COMPRESSION_LEVEL)


def read_snapshot(packed: bytes) -> dict[str, Any]:
    """Decodes a packed snapshot, with tuples for lists except in its document, no part of which is used as a key.

    Raises ValueError if the data is no packed snapshot.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(packed, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise ValueError("snapshot is not zlib-compressed") from error
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError("packed snapshot is truncated or exceeds the size limit")
    snapshot = msgspec.json.decode(raw)
    document = snapshot.pop("doc", None)
    return {"doc": document, **as_tuples(snapshot)}


def split_snapshot(number: int, packed: bytes) -> list[SnapshotPart]:
    """Splits a packed snapshot into parts of at most `PART_BYTES`, in order.

    >>> [(part.offset, len(part.data)) for part in split_snapshot(7, bytes(PART_BYTES + 1))]
    [(0, 131072), (131072, 1)]
    """
    return [
        SnapshotPart(number, offset, len(packed), packed[offset : offset + PART_BYTES])
        for offset in range(0, len(packed), PART_BYTES)
    ]


class SnapshotAssembler:
    """Reassembles a packed snapshot from its parts; a part out of order discards all parts received so far.

    >>> assembler = SnapshotAssembler()
    >>> [assembler.add(part) for part in split_snapshot(7, bytes(PART_BYTES) + b"end")][1][-3:]
    b'end'
    >>> assembler.add(SnapshotPart(7, PART_BYTES, PART_BYTES + 3, b"end")) is None
    True
    """

    __slots__ = ("number", "total", "received")

    def __init__(self) -> None:
        self._begin(number=0, total=0)

    def add(self, part: SnapshotPart) -> bytes | None:
        """Adds a part; returns the packed snapshot once it is complete, else None."""
        if part.offset == 0:
            self._begin(part.number, part.total)
        elif not self._is_next(part):
            self.clear()
            return None
        self.received += part.data
        if len(self.received) < part.total:
            return None
        packed = bytes(self.received)
        self.clear()
        return packed

    def clear(self) -> None:
        """Discards the parts received so far."""
        self._begin(number=0, total=0)

    def _begin(self, number: int, total: int) -> None:
        self.number = number
        self.total = total
        self.received = bytearray()

    def _is_next(self, part: SnapshotPart) -> bool:
        is_of_this_snapshot = (part.number, part.total) == (self.number, self.total)
        return is_of_this_snapshot and part.offset == len(self.received) and part.total <= MAX_SNAPSHOT_BYTES
