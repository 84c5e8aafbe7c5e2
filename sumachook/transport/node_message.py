"""Base class of messages between nodes, and the lookup of message types by their kind on the wire."""

from collections.abc import Iterator, Sequence
from typing import Any, Self

import msgspec


class NodeMessage(msgspec.Struct, frozen=True):
    """Immutable message between nodes.

    The `tag` of a subclass is its kind on the wire; its fields are those of `message_schemas.SHAPES`, in that order.

    >>> class Ping(NodeMessage, frozen=True, tag="doctest_ping"):
    ...     number: int
    >>> kind_of(Ping(3)), type_of("doctest_ping") is Ping
    ('doctest_ping', True)
    """

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """Builds the message from decoded field values; raises `ValueError` if they do not match its fields."""
        return cls(*values)

    def values(self) -> tuple[Any, ...]:
        """Returns the field values in order, as the codec encodes them."""
        return msgspec.structs.astuple(self)


_types: dict[str, type[NodeMessage] | None] = {}


def kind_of(message: NodeMessage) -> str:
    """Returns the kind of a message on the wire, which is the tag of its type."""
    return str(type(message).__struct_config__.tag)


def wire_kind(message: NodeMessage | tuple[Any, ...]) -> str:
    """Returns the kind of a message, which may also be a tuple whose first element is the kind."""
    return kind_of(message) if isinstance(message, NodeMessage) else str(message[0])


def type_of(kind: str) -> type[NodeMessage] | None:
    """Returns the message type of a kind, or None if no imported module defines it."""
    if kind not in _types:
        _types.update({str(each.__struct_config__.tag): each for each in _subclasses(NodeMessage)})
        _types.setdefault(kind, None)
    return _types[kind]


def _subclasses(parent: type[NodeMessage]) -> Iterator[type[NodeMessage]]:
    for child in parent.__subclasses__():
        if child.__struct_config__.tag is not None:
            yield child
        yield from _subclasses(child)
