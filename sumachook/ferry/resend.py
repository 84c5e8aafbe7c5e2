"""The pass over failed tries: classified, then sent again, resumed or settled."""

from datetime import timedelta

from sumachook.creed.policy import compile_policy
from sumachook.ferry import faults
from sumachook.ferry.row import LINED, LOOKUP

MOST_TRIES = 4
MOST_RESUMES = 2
CONNECT = timedelta(seconds=2)
CREDIT_WAIT = timedelta(seconds=3)


class Resend:
    """The pass over failed tries: classified, then sent again, resumed or settled (§7.3)."""

    __slots__ = ("table", "ending", "settle")

    def __init__(self, table, ending, settle):
        self.table, self.ending, self.settle = table, ending, settle

    def take(self, row, fault, now):
        """§7.3: classified here, before anything is sent again."""
        out = [("unfetch", row.tid)]
        server = row.server
        self.ending.take(row, fault, now)
        row.lastFault = fault
        if row.reachedCaller:
            return out + self._resume(row, fault, now)
        if row.firstAt is not None:  # tokens came but none reached the caller: nothing of them is kept
            row.texts, row.tokens, row.finish, row.lastEventId = [], 0, None, None
            row._firstAt = None
        wasNeverSent = fault == faults.UNREACHABLE and not row.wasSent
        mayRepeat = wasNeverSent or row.isSafe
        isResendable = fault in faults.RESENDABLE or (fault == faults.CUT and row.isSafe)
        if wasNeverSent and not any(item.get("sent") for item in row.tries):
            row.ran = "no"
        if not mayRepeat or not isResendable or row.attempt >= MOST_TRIES:
            return out + self.settle.take(row, fault, now)
        allowed = compile_policy("retry", row.policies.retry)(
            {"fault": fault.name, "attempt": row.attempt, "line": row.line, "caller": row.caller.name, "model": row.name,
             "left": (row.cutoff - now).total_seconds(), "tokens": row.body.get("max_tokens", 0), "credit": self.table.purse.balance})
        pause = self.table.pause(row)
        if row.retryAfter is not None:
            pause, row.retryAfter = max(pause, timedelta(seconds=row.retryAfter)), None
        if not allowed or now + pause >= row.cutoff:
            return out + self.settle.take(row, fault, now)
        row.state, row.notBefore, row.needsCredit, row.creditBy = LINED, now + pause, True, now + pause + CREDIT_WAIT
        row.avoid = (*(name for name in row.avoid if name != server), server)
        if row.kind == LOOKUP:
            self.table.lookups.append(row)
        else:
            self.table.lines.push(row.line, row)
        return out

    def _resume(self, row, fault, now):
        """After the first token: the same server, by event id, through a GET; or the end (§7.9)."""
        server = self.table.state.servers.get(row.server)
        canResume = fault in (faults.CUT, faults.RESET, faults.UNREACHABLE) and row.lastEventId and row.resumes < MOST_RESUMES
        mayEnter = server is not None and self.table.is_usable(row.server, server, self.table.follower.trust(now), now)
        if not canResume or not mayEnter or now >= row.totalBy:
            return self.settle.take(row, fault, now)
        row.resumes += 1
        row.attempt += 1
        row.resumeFrom, row.tryAt = row.lastEventId, now
        row.tid = (row.kind, row.request, row.attempt)
        self.table.lane(row.server).begin(row.model.name, row.line, now)
        method, path, headers, body = self.table.port.resume(row.request, row.lastEventId)
        left = row.totalBy - now
        return [("fetch", row.tid, method, f"http://{server['address']}{path}", headers, body, min(CONNECT, left), left, "events")]
