"""The pass that decides, by the class of a failure, whether and when a row goes again."""

from datetime import timedelta

from sumachook.forwarding.row import STREAMING, TRYING, WAITING
from sumachook.inference import faults

MOST_RESUMES = 3
MOST_TRIES = 4  # or as many as the route's own


class Resend:
    """Not-run answers move on at once, transient ones after a jittered pause, what may not run twice never (§7.3, §14.4)."""

    __slots__ = ("table", "finish", "settle")

    def __init__(self, table, finish, settle):
        self.table, self.finish, self.settle = table, finish, settle

    def take(self, row, fault, now):
        table, server = self.table, row.server
        out = [("unfetch", row.tid)] if row.state in (TRYING, STREAMING) else []
        stated = row.answer.retry_after if row.answer is not None else None
        was_not_run = row.ran == "no" or fault in (
            faults.OVERLOAD,
            faults.NO_MODEL,
        )  # of this try; an earlier one may have run
        if fault == faults.OVERLOAD:
            table.lane(server).note_full(now, stated)
        elif fault == faults.NO_MODEL:
            table.places.forget(server, row.request.model, row.request.adapter)
        elif fault == faults.UNREACHABLE:
            table.lane(server).note_down(now)
        self.finish.end_try(row, fault, now)
        row.last_fault = fault
        if not was_not_run and fault == faults.UNREACHABLE:
            row.ran, was_not_run = ("no", True) if not row.sent_to else (row.ran, row.may_repeat)
        if fault in (faults.CUTOFF, faults.REFUSED) or now >= row.cutoff:
            return out + self.settle.take(row, fault, now)
        if row.reached_client:
            is_able = row.route.resumable and row.last_event_id and row.resumes < MOST_RESUMES
            row.resumes += 1
        else:
            arrived = sum(name != faults.UNREACHABLE.name for _, name, _ in row.tries)
            is_able = (was_not_run or row.may_repeat) and arrived < max(row.route.tries, MOST_TRIES)
        if not is_able:
            row.retry_after = stated if stated is not None else 0.3
            return out + self.settle.take(row, fault, now)
        row.state, row.buffer, row.answer = WAITING, b"", None
        row.avoid = (*(name for name in row.avoid if name != server), server)
        row.needs_credit = row.needs_credit or bool(row.sent_to)
        row.not_before = now if was_not_run else now + min(table.pause(row), timedelta(seconds=0.2))
        table.waiting[row.number] = row
        return out
