"""Calls a try off and settles its row."""


class Halt:
    """Calls a try off and settles its row."""

    __slots__ = ("table", "ending", "settle")

    def __init__(self, table, ending, settle):
        self.table, self.ending, self.settle = table, ending, settle

    def take(self, row, fault, now):
        out = [("unfetch", row.tid)]
        self.ending.take(row, fault, now)
        return out + self.settle.take(row, fault, now)
