"""Encoding of messages between nodes as Thrift frames of bounded size, and decoding."""

import zlib
from collections.abc import Sequence
from functools import lru_cache
from typing import Any, NamedTuple

import msgspec
from thrift.protocol.TBase import TBase  # type: ignore[import-untyped]
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated  # type: ignore[import-untyped]
from thrift.Thrift import TType  # type: ignore[import-untyped]
from thrift.transport.TTransport import TMemoryBuffer  # type: ignore[import-untyped]

from sumachook.membership.member import MemberUpdate, update_from_wire
from sumachook.transport.errors import FrameProblem, UnreadableFrameError
from sumachook.transport.message_schemas import FIELDS
from sumachook.transport.node_message import NodeMessage, kind_of, type_of

MAX_FRAME_BYTES = 4 << 20
# One protocol object serves all frames: Thrift's C module reads only the length limits from it.
_PROTOCOL = TBinaryProtocolAccelerated(TMemoryBuffer(), fallback=True)
COMPRESSED_MARKER, PLAIN_MARKER, MIN_COMPRESSED_BYTES, MIN_CACHED_BYTES = b"z", b"p", 600, 8000
CONTAINERS = (list, dict)
MAX_QUOTED_CHARS = 40  # characters of a received value that an error message quotes


def _thrift_struct(name: str, fields: Sequence[tuple[str, int, Any]]) -> Any:
    """Creates a TBase class from (name, type, type argument) rows; its `thrift_spec` replaces generated code."""
    names = tuple(field[0] for field in fields)
    spec = (None, *((field_id, kind, field, extra, None) for field_id, (field, kind, extra) in enumerate(fields, 1)))

    def set_fields(self: Any, *values: Any) -> None:
        """Sets the given fields; a struct that is created for decoding gets none."""
        for field, value in zip(names, values, strict=False):
            setattr(self, field, value)

    struct_class: Any = type(name, (TBase,), {"__slots__": names, "__init__": set_fields, "thrift_spec": spec})
    struct_class.type_arguments = [struct_class, spec]  # the type arguments in the form that Thrift's C module expects
    return struct_class


MemberStruct = _thrift_struct(
    "MemberStruct",
    [
        (field, *((TType.I64, None) if field in ("incarnation", "restart_epoch") else (TType.STRING, "UTF8")))
        for field in MemberUpdate._fields
    ],
)
_THRIFT_TYPES = {
    "s": (TType.STRING, "UTF8"),
    "i": (TType.I64, None),
    "f": (TType.DOUBLE, None),
    "b": (TType.BOOL, None),
    "d": (TType.STRING, "BINARY"),
    "y": (TType.STRING, "BINARY"),
    "m": (TType.LIST, (TType.STRUCT, [MemberStruct, MemberStruct.thrift_spec], False)),
    "e": (TType.LIST, (TType.STRING, "BINARY", False)),
    "r": (TType.STRING, "BINARY"),
    "o": (TType.STRING, "BINARY"),
}
BODIES = {
    kind: _thrift_struct("Body_" + kind, [(field, *_THRIFT_TYPES[letter]) for field, letter in fields])
    for kind, fields in FIELDS.items()
}
Frame = _thrift_struct(
    "Parcel",
    [
        ("cluster", TType.STRING, "UTF8"),
        ("sender", TType.STRING, "UTF8"),
        ("address", TType.STRING, "UTF8"),
        ("incarnation", TType.I64, None),
        ("kind", TType.STRING, "UTF8"),
        ("body", TType.STRING, "BINARY"),
    ],
)


def as_tuples(value: Any) -> Any:
    """Converts JSON lists to tuples recursively. Objects are changed in place, so the caller must own `value`.

    >>> as_tuples([1, {"a": [2], "b": "c"}])
    (1, {'a': (2,), 'b': 'c'})
    """
    kind = type(value)
    if kind is list:
        return tuple([as_tuples(item) if type(item) in CONTAINERS else item for item in value])
    if kind is dict:
        for key, item in value.items():
            if type(item) in CONTAINERS:
                value[key] = as_tuples(item)
    return value


def pack_entry(change: Any) -> bytes:
    """Encodes a change of the control state as a log entry, in JSON."""
    return msgspec.json.encode(change)


def read_entry(entry: bytes) -> Any:
    """Decodes the change in a log entry; JSON arrays become tuples."""
    return as_tuples(msgspec.json.decode(entry))


@lru_cache(maxsize=16)
def _compressed_entry(entry: bytes) -> bytes:
    """Compresses a long entry; the result is cached because the entry is sent to many nodes."""
    return _compressed(entry)


def _compressed(raw: bytes) -> bytes:
    """Compresses long JSON documents behind a marker byte that no JSON text starts with.

    >>> raw = msgspec.json.encode(["word"] * 500)
    >>> len(_compressed(raw)) < 100, _decompressed(_compressed(raw)) == raw, _compressed(b"[1]")
    (True, True, b'[1]')
    """
    return COMPRESSED_MARKER + zlib.compress(raw, 3) if len(raw) >= MIN_COMPRESSED_BYTES else raw


def _decompressed(raw: bytes) -> bytes:
    if not raw.startswith(COMPRESSED_MARKER):
        return raw
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(raw[len(COMPRESSED_MARKER) :], MAX_FRAME_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError("decompressed field exceeds MAX_FRAME_BYTES")
    return data


def _with_marker(raw: bytes) -> bytes:
    """Compresses long binary values and marks short ones as plain, since these may start with the compression marker.

    >>> [_without_marker(_with_marker(raw)) == raw for raw in (b"", b"z", b"z" * 5000)]
    [True, True, True]
    >>> len(_with_marker(b"z" * 5000)) < 100
    True
    """
    return _compressed(raw) if len(raw) >= MIN_COMPRESSED_BYTES else PLAIN_MARKER + raw


def _without_marker(raw: bytes) -> bytes:
    if raw.startswith(PLAIN_MARKER):
        return raw[len(PLAIN_MARKER) :]
    if not raw.startswith(COMPRESSED_MARKER):
        raise ValueError("binary field has no marker byte")
    return _decompressed(raw)


def _to_field(letter: str, value: Any) -> Any:
    if letter == "d":
        return _compressed(msgspec.json.encode(value))
    if letter == "m":
        return [MemberStruct(*member) for member in value]
    if letter == "e":
        return [_compressed_entry(entry) if len(entry) >= MIN_CACHED_BYTES else _compressed(entry) for entry in value]
    if letter == "r":
        return _with_marker(value)
    if letter == "o":
        return value or None
    return value


def _from_field(letter: str, value: Any) -> Any:
    if letter == "o":
        return value or b""
    if value is None:
        raise ValueError("required field is missing")
    if letter == "d":
        return read_entry(_decompressed(value))
    if letter == "m":
        return tuple(map(_member_update, value))
    if letter == "e":
        return tuple(_decompressed(entry) for entry in value)
    if letter == "r":
        return _without_marker(value)
    return value


def _member_update(member: Any) -> MemberUpdate:
    return update_from_wire(
        member.node,
        member.address,
        member.role,
        member.zone,
        member.incarnation,
        member.status,
        member.http_address,
        member.restart_epoch,
    )


def _encode_struct(struct: Any) -> bytes:
    if _PROTOCOL._fast_encode is not None:
        return bytes(_PROTOCOL._fast_encode(struct, struct.type_arguments))
    buffer = TMemoryBuffer()
    struct.write(TBinaryProtocolAccelerated(buffer, fallback=True))
    return bytes(buffer.getvalue())


def _decode_into(struct: Any, raw: bytes) -> Any:
    """Decodes a struct in place; no string or list in it may declare a length beyond that of the input."""
    if _PROTOCOL._fast_decode is None:
        struct.read(TBinaryProtocolAccelerated(TMemoryBuffer(raw), len(raw), len(raw), fallback=True))
        return struct
    _PROTOCOL.trans = TMemoryBuffer(raw)
    _PROTOCOL.string_length_limit = _PROTOCOL.container_length_limit = len(raw)
    _PROTOCOL._fast_decode(struct, _PROTOCOL, struct.type_arguments)
    return struct


class Codec:
    """Encodes the messages of one sending node; `read_frame` decodes them.

    >>> codec = Codec("kosice", "core-1", "127.0.0.1:7001", 3)
    >>> from sumachook.membership.messages import Ping
    >>> raw = codec.pack(Ping(sequence=9, updates=(), feed_number=41, wall_clock_ms=7))
    >>> read_frame("kosice", raw).message
    Ping(sequence=9, updates=(), feed_number=41, wall_clock_ms=7)
    >>> read_frame("java", raw)
    Traceback (most recent call last):
    sumachook.transport.errors.UnreadableFrameError: other cluster: kosice
    """

    __slots__ = ("cluster", "sender", "address", "incarnation")

    def __init__(self, cluster: str, sender: str, address: str, incarnation: int):
        self.cluster, self.sender, self.address, self.incarnation = cluster, sender, address, incarnation

    def pack(self, message: NodeMessage | tuple[Any, ...]) -> bytes:
        """Encodes one message, which may also be a tuple of its kind and field values, as a frame."""
        if isinstance(message, NodeMessage):
            kind, values = kind_of(message), message.values()
        else:
            kind, values = message[0], message[1:]
        body = BODIES[kind](
            *(_to_field(letter, value) for (_, letter), value in zip(FIELDS[kind], values, strict=True))
        )
        return _encode_struct(
            Frame(self.cluster, self.sender, self.address, self.incarnation, kind, _encode_struct(body))
        )


class ReceivedFrame(NamedTuple):
    """A decoded message with its sender's name, the address for answers, and the sender's incarnation."""

    sender: str
    address: str
    incarnation: int
    message: Any


def read_frame(cluster: str, raw: bytes) -> ReceivedFrame:
    """Decodes a frame; raises `UnreadableFrameError` if it is malformed or belongs to another cluster."""
    if len(raw) > MAX_FRAME_BYTES:
        raise UnreadableFrameError(FrameProblem.TOO_LONG, f"{len(raw)} bytes")
    try:
        return _read_frame(cluster, raw)
    except UnreadableFrameError:
        raise
    except Exception as error:  # Thrift's C decoder raises exceptions of many types
        raise UnreadableFrameError(FrameProblem.MALFORMED, type(error).__name__) from error


def _read_frame(cluster: str, raw: bytes) -> ReceivedFrame:
    frame = _decode_into(Frame(), raw)
    if frame.cluster != cluster:
        raise UnreadableFrameError(FrameProblem.OTHER_CLUSTER, str(frame.cluster)[:MAX_QUOTED_CHARS])
    if frame.kind not in BODIES:
        raise UnreadableFrameError(FrameProblem.UNKNOWN_KIND, str(frame.kind)[:MAX_QUOTED_CHARS])
    body = _decode_into(BODIES[frame.kind](), frame.body)
    values = [_from_field(letter, getattr(body, field, None)) for field, letter in FIELDS[frame.kind]]
    message_type = type_of(frame.kind)
    message = (frame.kind, *values) if message_type is None else message_type.from_values(values)
    return ReceivedFrame(frame.sender, frame.address, frame.incarnation, message)
