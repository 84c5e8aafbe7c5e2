"""A descriptor for moments that happen once."""


class Once:
    """A slot that keeps the first value given to it (§7.1).

    >>> class Row:
    ...     __slots__ = ("_tokenAt",)
    ...     tokenAt = Once("_tokenAt")
    >>> row = Row()
    >>> row.tokenAt is None
    True
    >>> row.tokenAt = 5; row.tokenAt = 9; row.tokenAt
    5
    """

    __slots__ = ("slotName",)

    def __init__(self, slotName: str):
        self.slotName = slotName

    def __get__(self, owner, ownerType=None):
        if owner is None:
            return self
        return getattr(owner, self.slotName, None)

    def __set__(self, owner, value):
        if self.__get__(owner) is None:
            setattr(owner, self.slotName, value)
