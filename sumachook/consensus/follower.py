"""The follower role: a replica that follows a leader as a member of its view or as a learner."""

from collections.abc import Sequence
from datetime import timedelta

from sumachook.consensus.catch_up import CatchUp
from sumachook.consensus.effects import ViewChanged
from sumachook.consensus.events import ViewSynced
from sumachook.consensus.followed_log import FollowedLog
from sumachook.consensus.messages import Append, Appended, Heartbeat, HeartbeatAck, Install, Installed
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.storage import view_record
from sumachook.consensus.views import Role, ViewId
from sumachook.host.effects import Effect, Send

CANDIDATE_ROLES = (Role.PREPARING, Role.INSTALLING, Role.LEADING)


class Follower:
    """Installs views, appends the leader's entries, and acknowledges its heartbeats."""

    __slots__ = ("state", "followed", "catch_up", "joining", "synced_view")

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.followed = FollowedLog(state)
        self.catch_up = CatchUp(state, self.followed)
        self.joining: Install | None = None
        self.synced_view = state.view

    def _follow(self, sender: str, address: str, view: ViewId, now: timedelta) -> None:
        self.state.set_leader(sender, address, now)
        if self.followed.begin(view, address):
            self.catch_up.begin()

    # installation of a view

    def on_install(self, sender: str, address: str, message: Install, now: timedelta) -> list[Effect]:
        """Joins the view at once if `Install` carries all missing entries, else after fetching them from the leader."""
        state, view = self.state, message.view
        if view < max(state.promised, state.followed) or state.name not in message.members:
            return []
        if view == state.view:
            return [Send(address, Installed(view, message.end))] if self.synced_view == view else []
        self._follow(sender, address, view, now)
        if self.joining is not None and self.joining.view == view and state.role is Role.JOINING:
            return self.catch_up.fetch(now)  # the leader has resent `Install`
        state.promised, state.role, self.joining = view, Role.JOINING, message
        self.followed.record_leader_progress(0, message.end)
        agrees = state.log.digest_at(message.first - 1) == message.previous
        if agrees and message.first - 1 + len(message.entries) == message.end:
            return self._install(message, message.first, message.entries)
        out = self.followed.merge_entries(message.first, message.entries) if agrees else []
        return out + (self.finish_joining() or self.catch_up.fetch(now))

    def finish_joining(self) -> list[Effect]:
        """Installs the view being joined once the log has been fetched up to its end."""
        message = self.joining
        if message is None or self.state.role is not Role.JOINING or self.followed.view != message.view:
            return []
        return self._install(message, message.end + 1, ()) if self.followed.matched >= message.end else []

    def _install(self, message: Install, first: int, entries: Sequence[bytes]) -> list[Effect]:
        state, log = self.state, self.state.log
        new = log.merge(first, entries)
        log.truncate_after(message.end)
        state.view, state.members, state.followed = message.view, message.members, message.view
        self.joining, self.followed.matched, self.followed.submitted = None, message.end, message.end
        start = message.end + 1 if new is None else new
        record = view_record(message.view, message.members, start, log.entries[start - log.base - 1 :])
        return [state.append_records((record,), ViewSynced(message.view, self.followed.address, message.end))]

    def on_view_synced(self, event: ViewSynced, now: timedelta) -> list[Effect]:
        """Becomes a member of the view, which is now durable with its log, and acknowledges the installation."""
        state = self.state
        if not event.view == state.view == state.promised:
            return []
        self.synced_view, state.role, state.leader_heard_at = event.view, Role.MEMBER, now
        state.synced = max(state.synced, event.end)
        return [Send(event.address, Installed(event.view, event.end)), ViewChanged(state.view, state.members)]

    def tick(self, now: timedelta) -> list[Effect]:
        """Cancels joining a view if its leader has not been heard within `SILENCE_TIMEOUT`."""
        state = self.state
        if state.role is Role.JOINING and state.leader_timed_out(now):
            state.role = Role.IDLE
        return []

    # new entries of the leader

    def on_append(self, address: str, message: Append, now: timedelta) -> list[Effect]:
        """Appends new entries of the leader, as a member or as a learner that has caught up."""
        state, followed = self.state, self.followed
        if message.view != followed.view or not (state.is_member or self._is_learner()):
            return []
        if message.first - 1 > followed.matched or state.log.digest_at(message.first - 1) != message.previous:
            return []
        state.leader_heard_at = now
        followed.record_leader_progress(message.committed, message.end)
        out = followed.merge_entries(message.first, message.entries)
        if not out and state.promised <= message.view and state.synced == followed.matched:
            out.append(Send(address, Appended(message.view, state.synced)))  # the leader has resent the entries
        out += followed.deliver()
        self.catch_up.cursor = followed.matched
        is_partial = message.first - 1 + len(message.entries) < message.end
        return out + (self.catch_up.fetch(now) if is_partial and followed.is_behind else [])

    def _is_learner(self) -> bool:
        """Whether this replica is a learner: it fetches the log of a view that it has not installed."""
        state = self.state
        return state.role is Role.IDLE and self.followed.view == state.followed != state.view

    # heartbeats of the leader

    def on_heartbeat(self, sender: str, address: str, message: Heartbeat, now: timedelta) -> list[Effect]:
        """Follows the leader unless its view is lower than a known one, and acknowledges the heartbeat round."""
        state, view = self.state, message.view
        highest_known = max(state.followed, state.guard.view)
        is_own = state.role in CANDIDATE_ROLES and state.candidacy > view
        if view < highest_known or is_own:
            promised = max(state.promised, highest_known)
            return [Send(address, HeartbeatAck(view, message.round, promised, 0, state.is_blank, 0))]
        if state.role in CANDIDATE_ROLES:
            state.back_off(now)
        self._follow(sender, address, view, now)
        self._restore_membership(message)
        self.followed.record_leader_progress(message.committed, message.end)
        out = self.followed.deliver()
        self._update_lease_state(message, now)
        own_round = state.freshness.begin_round(now)
        ack = HeartbeatAck(view, message.round, state.promised, state.synced, state.is_blank, own_round)
        out.append(Send(address, ack))
        if self.followed.is_behind or state.followed != view:
            out += self.catch_up.fetch(now)
        return out

    def _restore_membership(self, message: Heartbeat) -> None:
        """Rejoins the installed view after an abandoned pre-vote or a restart; all acknowledged entries are durable."""
        state, view = self.state, message.view
        if state.role is Role.PRE_VOTING or (state.role is Role.MEMBER and view > state.view):
            state.role = Role.IDLE
        is_installed = view == state.view == state.promised == self.synced_view
        if state.role is Role.IDLE and is_installed and state.name in message.members:
            state.role = Role.MEMBER

    def _update_lease_state(self, message: Heartbeat, now: timedelta) -> None:
        """Binds this replica to the leader's lease, and updates its freshness from the round that the leader echoed."""
        state = self.state
        if state.promised <= message.view:
            state.guard.acknowledge(message.view, now)
        if not message.has_lease or not state.freshness.was_sent(message.echo):
            return
        state.guard.recognize(message.view)
        if state.is_member and message.view == state.view and state.delivered >= message.committed:
            state.freshness.confirm(message.echo)
