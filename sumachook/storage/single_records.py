"""The record format of earlier versions: independent records, without a mark of where each sync ended.

Such files can still be read. New records are appended to them as batches (`batches.py`).
"""

import struct
import zlib
from typing import Any

import msgspec

from sumachook.transport.codec import as_tuples

MAGIC = b"smk1"
_HEADER = struct.Struct(">4sIII")


def pack_record(record: Any) -> bytes:
    """Encodes one record in the old format, for tests only: the product no longer writes this format."""
    body = msgspec.json.encode(record)
    return _HEADER.pack(MAGIC, len(body), zlib.crc32(body), zlib.crc32(MAGIC + len(body).to_bytes(4, "big"))) + body


def read_prefix(raw: bytes) -> tuple[list[Any], int]:
    """Decodes the complete records at the start of a file; returns them with the offset of their end."""
    records: list[Any] = []
    offset = 0
    while (record := _record_at(raw, offset)) is not None:
        body, offset = record
        records.append(as_tuples(msgspec.json.decode(body)))
    return records, offset


def find_record(raw: bytes, offset: int) -> int | None:
    """Returns the offset of the first complete record at or after `offset`, or None if there is none."""
    while (offset := raw.find(MAGIC, offset)) >= 0:
        if _record_at(raw, offset) is not None:
            return offset
        offset += 1
    return None


def _record_at(raw: bytes, offset: int) -> tuple[bytes, int] | None:
    if offset + _HEADER.size > len(raw):
        return None
    magic, length, body_checksum, header_checksum = _HEADER.unpack_from(raw, offset)
    if magic != MAGIC or header_checksum != zlib.crc32(MAGIC + length.to_bytes(4, "big")):
        return None
    start = offset + _HEADER.size
    body = raw[start : start + length]
    if len(body) < length or zlib.crc32(body) != body_checksum:
        return None
    return body, start + length
