"""The pass over rows that waited for their tenant's allowance."""


class Leave:
    """Lets them enter, as ones that give way if they are over it; or ends them, not run (§15.4)."""

    __slots__ = ("table", "enter", "settle")

    def __init__(self, table, enter, settle):
        self.table, self.enter, self.settle = table, enter, settle

    def take(self, message, now):
        kind, (_, request), *rest = message
        row = self.table.rows.get(request)
        if row is None:
            return []
        if kind == "granted":
            row.is_yielding = rest[0]
            return self.enter.take(row)
        fault, row.retry_after, row.note = rest
        return self.settle.take(row, fault, now)
