"""Tracks up to which entry a follower's log matches its leader's log and is durable."""

from collections.abc import Sequence

from sumachook.consensus.events import EntriesSynced
from sumachook.consensus.messages import Appended
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.storage import entries_record
from sumachook.consensus.views import NO_VIEW, Role, ViewId
from sumachook.host.effects import Effect, Send


class FollowedLog:
    """Appends entries of the current leader, and delivers those that match, are committed and are durable.

    `matched` is the end of the log prefix that matches the leader's, `submitted` the end of the part of it sent to
    the disk under this leader, and `state.synced` the end of the part that is durable.
    """

    __slots__ = ("state", "view", "address", "matched", "submitted", "committed", "end")

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.view, self.address = NO_VIEW, ""
        self.matched = self.submitted = self.committed = self.end = 0

    def begin(self, view: ViewId, address: str) -> bool:
        """Starts following the leader of this view; returns whether the view differs from the previous one."""
        state, self.address = self.state, address
        if view == self.view:
            return False
        self.view, self.committed, self.end = view, 0, 0
        is_own_view = (
            view == state.view == state.followed
        )  # this view was installed before a restart, so the whole local log belongs to it
        self.matched = state.log.end if is_own_view else state.delivered
        self.submitted = state.synced = self.matched if is_own_view else 0
        return True

    def record_leader_progress(self, committed: int, end: int) -> None:
        """Records the commit number and the end of the log that the leader announced."""
        self.committed, self.end = max(self.committed, committed), max(self.end, end)

    @property
    def is_behind(self) -> bool:
        """Whether the leader has entries that were not submitted to the local disk."""
        return self.submitted < self.end

    def merge_entries(self, first: int, entries: Sequence[bytes]) -> list[Effect]:
        """Appends entries that follow a matching prefix; truncates the local log at the first difference."""
        state, log = self.state, self.state.log
        new = log.merge(first, entries)
        matched = max(self.matched, first - 1 + len(entries))
        if new is None and matched <= self.submitted and state.followed == self.view:
            return []
        self.matched = self.submitted = matched
        state.followed = self.view
        start = log.end + 1 if new is None else new
        record = entries_record(self.view, start, log.entries[start - log.base - 1 :])
        return [state.append_records((record,), EntriesSynced(self.view, self.address, matched))]

    def deliver(self) -> list[Effect]:
        """Delivers the entries that are both committed and durable."""
        return self.state.deliver(min(self.committed, self.state.synced))

    def on_entries_synced(self, event: EntriesSynced) -> list[Effect]:
        """Delivers entries that have become durable, and acknowledges them to the leader."""
        state = self.state
        if event.view != self.view or event.view != state.followed:
            return []
        state.synced = max(state.synced, event.end)
        out = self.deliver()
        if state.promised <= event.view and state.role in (Role.MEMBER, Role.IDLE):
            out.append(Send(event.address, Appended(event.view, state.synced)))
        return out
