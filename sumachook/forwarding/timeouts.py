"""The pass over the clocks of rows."""

from datetime import timedelta

from sumachook.forwarding.row import TRYING
from sumachook.inference import faults

OPEN_AFTER = timedelta(seconds=0.2)  # in hand for longer: the ledger is told that it is open (§14.6)


class Timeouts:
    """First token and total, each its own bound; a running stream is ended by neither before the request's own time (§7.4)."""

    __slots__ = ("table", "resend", "settle")

    def __init__(self, table, resend, settle):
        self.table, self.resend, self.settle = table, resend, settle

    def take(self, now):
        out = []
        for row in list(self.table.rows.values()):
            if not row.is_recorded and now - row.arrived_at > OPEN_AFTER:
                row.is_recorded = True
                out.append(("behind", self.table.record(row), False))
            if now >= row.cutoff:
                out += self.settle.take(row, faults.CUTOFF, now)
            elif row.state == TRYING and now >= row.first_by and row.first_at is None:
                out += self.resend.take(row, faults.FIRST_TOKEN_TIMEOUT, now)
        return out
