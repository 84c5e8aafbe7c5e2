"""A descriptor for numbers that never go back."""


class Rising:
    """A slot whose value only rises; a lower one is ignored (§8.2).

    >>> class Follower:
    ...     __slots__ = ("_number",)
    ...     number = Rising("_number")
    >>> follower = Follower()
    >>> follower.number = 7
    >>> follower.number = 3
    >>> follower.number
    7
    """

    __slots__ = ("slotName", "floor")

    def __init__(self, slotName: str, floor=0):
        self.slotName, self.floor = slotName, floor

    def __get__(self, owner, ownerType=None):
        if owner is None:
            return self
        return getattr(owner, self.slotName, self.floor)

    def __set__(self, owner, value):
        if value > self.__get__(owner):
            setattr(owner, self.slotName, value)
