"""The format of a record file: numbered batches, chained by checksums, with one sync per batch.

Batch `n + 1` is written only after the sync of batch `n` has returned. So at most the last batch of a file can be
incomplete after a power loss, and the header of a later batch proves that the previous batch had been synced.
"""

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

import msgspec

from sumachook.storage import single_records
from sumachook.transport.codec import as_tuples

MAGIC = b"smk2"
# magic, file generation, batch number, body length, checksum of the previous batch's body, checksum of this body
_FIELDS = struct.Struct(">4sQQIII")
_HEADER_CHECKSUM = struct.Struct(">I")
HEADER_SIZE = _FIELDS.size + _HEADER_CHECKSUM.size


class _Header(NamedTuple):
    """The fields of a batch header in their packed order."""

    magic: bytes
    generation: int
    number: int
    length: int
    previous_checksum: int
    checksum: int


@dataclass(frozen=True, slots=True)
class Position:
    """End of the last complete batch of a file, where the next one is written."""

    generation: int = 1  # incremented by each rewrite of the file
    number: int = 0  # number of the last complete batch
    checksum: int = 0  # CRC-32 of the body of that batch
    length: int = 0  # file offset of the end of that batch, in bytes


@dataclass(frozen=True, slots=True)
class FileContent:
    """Records up to the last complete batch of a file; `damage` tells why synced data must have been lost."""

    records: tuple[Any, ...]
    position: Position
    damage: str = ""


def pack_batch(name: str, position: Position, records: Sequence[Any]) -> tuple[bytes, Position]:
    """Encodes the next batch and returns its bytes with the position after it."""
    parts = _body_parts(records)
    number = position.number + 1
    length = sum(map(len, parts))
    checksum = 0
    for part in parts:
        checksum = zlib.crc32(part, checksum)
    fields = _FIELDS.pack(MAGIC, position.generation, number, length, position.checksum, checksum)
    raw = b"".join((fields, _HEADER_CHECKSUM.pack(_header_checksum(name, fields)), *parts))
    return raw, replace(position, number=number, checksum=checksum, length=position.length + len(raw))


def _body_parts(records: Sequence[Any]) -> list[bytes]:
    """Encodes a JSON array record by record, so that each call holds the interpreter lock for one record only."""
    parts = [b"["]
    for index, record in enumerate(records):
        if index:
            parts.append(b",")
        parts.append(msgspec.json.encode(record))
    parts.append(b"]")
    return parts


def read_file(name: str, raw: bytes) -> FileContent:
    """Decodes all complete batches; sets `damage` if data that had been synced is incomplete or corrupt.

    >>> first, position = pack_batch("log", Position(), [["a"]])
    >>> second, position = pack_batch("log", position, [["b"], ["c"]])
    >>> read_file("log", first + second).records
    (('a',), ('b',), ('c',))
    >>> read_file("log", first + second[:-1]).records
    (('a',),)
    >>> bool(read_file("log", first[:-1] + b"?" + second).damage)
    True
    """
    records, end = single_records.read_prefix(raw)  # files of earlier versions begin with single records
    position = Position(length=end)
    while (batch := _batch_at(name, raw, position)) is not None:
        body, position = batch
        records.extend(as_tuples(msgspec.json.decode(body)))
    return FileContent(tuple(records), position, _find_damage(name, raw, position))


def _batch_at(name: str, raw: bytes, position: Position) -> tuple[bytes, Position] | None:
    """Returns the body of the batch at `position` and the position after it, or None if it is incomplete or invalid."""
    header = _header_at(name, raw, position.length)
    if header is None:
        return None
    has_same_generation = position.number == 0 or header.generation == position.generation
    continues_chain = (header.number, header.previous_checksum) == (position.number + 1, position.checksum)
    if not (has_same_generation and continues_chain):
        return None
    start = position.length + HEADER_SIZE
    end = start + header.length
    body = raw[start:end]
    if len(body) < header.length or zlib.crc32(body) != header.checksum:
        return None
    return body, Position(header.generation, header.number, header.checksum, end)


def _header_at(name: str, raw: bytes, offset: int) -> _Header | None:
    end = offset + _FIELDS.size
    if end + _HEADER_CHECKSUM.size > len(raw):
        return None
    fields = raw[offset:end]
    if _HEADER_CHECKSUM.unpack_from(raw, end)[0] != _header_checksum(name, fields):
        return None
    header = _Header(*_FIELDS.unpack(fields))
    return header if header.magic == MAGIC else None


def _header_checksum(name: str, fields: bytes) -> int:
    return zlib.crc32(fields, zlib.crc32(name.encode()))


def _find_damage(name: str, raw: bytes, position: Position) -> str:
    """Returns why the bytes after the last complete batch cannot be an unsynced tail; empty if they can."""
    if position.length == len(raw):
        return ""
    if position.length == 0 and not raw.startswith(single_records.MAGIC):
        return "the first batch is incomplete, though it was synced before the file got its name"
    offset = position.length
    if position.number == 0 and (later := single_records.find_record(raw, offset + 1)) is not None:
        return f"invalid bytes at offset {offset}, but a valid record at offset {later}"
    while (offset := raw.find(MAGIC, offset)) >= 0:
        header = _header_at(name, raw, offset)
        if header is not None and (position.number == 0 or header.generation == position.generation):
            if header.number > position.number + 1 or (position.number == 0 and offset > position.length):
                missing = position.number + 1
                return f"batch {missing} at offset {position.length} is broken, but batch {header.number} follows it"
        offset += 1
    return ""
