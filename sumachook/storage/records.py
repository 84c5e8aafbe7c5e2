"""How records lie in the file: length, checksum, body (§13.1)."""

import struct
import zlib

import msgspec

from sumachook.storage import faults
from sumachook.transport.codec import as_tuples

HEAD = struct.Struct(">4sIII")
MARK = b"smk1"


def pack_record(record) -> bytes:
    body = msgspec.json.encode(record)
    return HEAD.pack(MARK, len(body), zlib.crc32(body), zlib.crc32(MARK + len(body).to_bytes(4, "big"))) + body


def read_records(raw: bytes):
    """(records, length of the good part), or DAMAGED when good records follow bad bytes.

    A tail that a crash left half-written is no damage: it was never acknowledged.

    >>> raw = pack_record(["a"]) + pack_record(["b", 2])
    >>> read_records(raw)[0]
    (('a',), ('b', 2))
    >>> read_records(raw[:-3])[0]
    (('a',),)
    >>> read_records(raw[:9] + b"?" + raw[10:]) == faults.DAMAGED
    True
    """
    records, place = [], 0
    while place < len(raw):
        record = _record_at(raw, place)
        if record is None:
            if _good_record_after(raw, place + 1):
                return faults.DAMAGED.because(f"bad bytes at {place}, good records after them")
            break
        body, place = record
        records.append(as_tuples(msgspec.json.decode(body)))
    return tuple(records), place


def _record_at(raw, place):
    if place + HEAD.size > len(raw):
        return None
    mark, length, body_sum, head_sum = HEAD.unpack_from(raw, place)
    if mark != MARK or head_sum != zlib.crc32(MARK + length.to_bytes(4, "big")):
        return None
    body = raw[place + HEAD.size : place + HEAD.size + length]
    if len(body) < length or zlib.crc32(body) != body_sum:
        return None
    return body, place + HEAD.size + length


def _good_record_after(raw, place) -> bool:
    while (place := raw.find(MARK, place)) >= 0:
        if _record_at(raw, place) is not None:
            return True
        place += 1
    return False


def test_each_flipped_byte_is_seen():
    raw = b"".join(pack_record(["record", number]) for number in range(3))
    third = len(raw) * 2 // 3
    for place in range(len(raw)):
        bent = raw[:place] + bytes([raw[place] ^ 0x41]) + raw[place + 1 :]
        answer = read_records(bent)
        if place < third:
            assert answer == faults.DAMAGED, place
        else:
            assert len(answer[0]) == 2
