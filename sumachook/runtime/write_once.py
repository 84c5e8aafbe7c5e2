"""A descriptor for values that are set once, such as the time of the first token."""

from typing import Any


class WriteOnce:
    """An attribute that is initially None and keeps the first value assigned to it; later assignments are ignored.

    >>> class Request:
    ...     __slots__ = ("_first_token_at",)
    ...     first_token_at = WriteOnce("_first_token_at")
    >>> request = Request()
    >>> request.first_token_at is None
    True
    >>> request.first_token_at = 5; request.first_token_at = 9; request.first_token_at
    5
    """

    __slots__ = ("slot_name",)

    def __init__(self, slot_name: str):
        self.slot_name = slot_name

    def __get__(self, owner: Any, owner_type: type | None = None) -> Any:
        if owner is None:
            return self
        return getattr(owner, self.slot_name, None)

    def __set__(self, owner: Any, value: Any) -> None:
        if self.__get__(owner) is None:
            setattr(owner, self.slot_name, value)
