"""The pass over rows whose time is up."""

from sumachook.ferry import faults
from sumachook.ferry.row import STREAMING, TRYING


class Cutoffs:
    """The pass over rows whose time is up (§7.4)."""

    __slots__ = ("table", "resend", "halt", "settle")

    def __init__(self, table, resend, halt, settle):
        self.table, self.resend, self.halt, self.settle = table, resend, halt, settle

    def take(self, message, now):
        out = []
        for row in list(self.table.rows.values()):
            if row.state in (TRYING, STREAMING):
                if row.firstAt is None and now >= row.firstBy and row.totalBy > row.firstBy:
                    out += self.resend.take(row, faults.FIRST_TOKEN_TIMEOUT, now)
                elif now >= row.totalBy:
                    isCutoff = row.totalBy >= row.cutoff
                    out += self.halt.take(row, faults.CUTOFF if isCutoff else faults.TOTAL_TIMEOUT, now)
            elif row.needsCredit and now >= row.creditBy:
                out += self.settle.take(row, row.lastFault.because("no credit for a resend"), now)
            elif now >= row.cutoff:
                fault = faults.CUTOFF.because(f"nothing within {row.cutoff - row.arrivedAt}, last: {row.lastFault or 'waiting'}")
                out += self.settle.take(row, fault, now)
        return out
