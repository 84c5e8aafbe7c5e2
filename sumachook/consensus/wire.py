"""Messages between replicas as the tuples that the codec packs, and back."""

import re
from typing import Any

import msgspec

from sumachook.consensus import messages

Body = tuple[Any, ...]


def _kind_of(message_type: type[messages.Message]) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", message_type.__name__).lower()


TYPES: dict[str, type[messages.Message]] = {
    _kind_of(message_type): message_type for message_type in messages.Message.__subclasses__()
}
KINDS = {message_type: kind for kind, message_type in TYPES.items()}
FIELD_NAMES = {
    message_type: tuple(field.name for field in msgspec.structs.fields(message_type)) for message_type in KINDS
}
_CONVERTED = {
    message_type: tuple(
        (field.type if field.type not in (int, bool, str, bytes) else None)
        for field in msgspec.structs.fields(message_type)
    )
    for message_type in KINDS
}


def to_body(message: messages.Message) -> Body:
    """
    >>> to_body(messages.Appended(messages.ViewId(3, "a"), 7))
    ('appended', ViewId(number=3, replica='a'), 7)
    """
    message_type = type(message)
    return (KINDS[message_type], *(getattr(message, name) for name in FIELD_NAMES[message_type]))


def from_body(body: Body) -> messages.Message | None:
    """The message, or None if the values are not what its fields hold.

    >>> from_body(("appended", (3, "a"), 7))
    Appended(view=ViewId(number=3, replica='a'), end=7)
    >>> from_body(("appended", 3, 7)) is None
    True
    """
    message_type = TYPES[body[0]]
    try:
        values = [
            value if wanted is None else msgspec.convert(value, wanted)
            for value, wanted in zip(body[1:], _CONVERTED[message_type], strict=True)
        ]
    except (msgspec.ValidationError, ValueError):
        return None
    return message_type(*values)
