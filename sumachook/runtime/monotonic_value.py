"""A descriptor for numbers that never decrease."""

from typing import Any


class MonotonicValue:
    """An attribute whose value only increases; an assignment of a lower value is ignored.

    >>> class Follower:
    ...     __slots__ = ("_number",)
    ...     number = MonotonicValue("_number")
    >>> follower = Follower()
    >>> follower.number = 7
    >>> follower.number = 3
    >>> follower.number
    7
    """

    __slots__ = ("slot_name", "initial_value")

    def __init__(self, slot_name: str, initial_value: int = 0):
        self.slot_name = slot_name
        self.initial_value = initial_value

    def __get__(self, owner: Any, owner_type: type | None = None) -> Any:
        if owner is None:
            return self
        return getattr(owner, self.slot_name, self.initial_value)

    def __set__(self, owner: Any, value: int) -> None:
        if value > self.__get__(owner):
            setattr(owner, self.slot_name, value)
