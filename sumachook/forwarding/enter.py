"""The pass that lines a row up for a server."""

from sumachook.retry_budget.budget import service_key


class Enter:
    """From here on it counts: for credit, and for what models are asked for (§14.4)."""

    __slots__ = ("table",)

    def __init__(self, table):
        self.table = table

    def take(self, row):
        table = self.table
        table.waiting[row.number] = row
        table.lined_up.add(row.number)
        table.retry_budget.earn(service_key(row.service))
        table.count("admitted", row.route.kind)
        if row.service in table.models:
            begun = table.begun.setdefault(row.service, {})
            begun[row.name] = begun.get(row.name, 0) + 1
        return []
