"""Installation of a new view by a candidate that has collected its promises."""

from collections.abc import Mapping
from datetime import timedelta

from sumachook.consensus.events import OwnViewSynced
from sumachook.consensus.leader import Leader
from sumachook.consensus.messages import Install, Installed, Promise
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.storage import view_record
from sumachook.consensus.timing import CHUNK_BYTES, INSTALL_TIMEOUT, RESEND_INTERVAL, SILENCE_TIMEOUT
from sumachook.consensus.views import Role
from sumachook.host.effects import Effect, Send


class Installer:
    """Sends the view and the start of its log to all members; becomes leader once all have synced both.

    The members fetch entries that do not fit into one message. A member that makes no progress is left out of the next
    attempt (`Candidate.start_without`).
    """

    __slots__ = ("state", "leader", "installed", "known_ends", "progress_at", "installs_sent_at")

    def __init__(self, state: ReplicaState, leader: Leader, now: timedelta) -> None:
        self.state, self.leader = state, leader
        self.installed: set[str] = set()
        self.known_ends: dict[str, int] = {}
        self.progress_at: dict[str, timedelta] = {}
        self.installs_sent_at = now

    def start(self, members: tuple[str, ...], promises: Mapping[str, Promise], now: timedelta) -> list[Effect]:
        """Persists the view locally and sends `Install` to the other members."""
        state = self.state
        state.role = Role.INSTALLING
        state.members = members
        state.view = state.followed = state.candidacy
        self.installed, self.progress_at = set(), dict.fromkeys(members, now)
        self.known_ends = {name: self._known_end(promises[name]) for name in members}
        self.leader.prepare_to_lead(now)
        record = view_record(state.view, members, state.log.end + 1, ())
        return [
            state.append_records((record,), OwnViewSynced(state.view)),
            *self._send_installs(now),
            *self.leader.heartbeat(now),
        ]

    def _known_end(self, promise: Promise) -> int:
        """Returns the end of the prefix of the member's log that is known to match the log of the view."""
        log = self.state.log
        return promise.end if log.digest_at(promise.end) == promise.digest else promise.delivered

    def _send_installs(self, now: timedelta) -> list[Effect]:
        state, self.installs_sent_at = self.state, now
        missing = [name for name in state.members if name != state.name and name not in self.installed]
        addresses = state.voting_members.addresses
        return [Send(addresses[name], self._message_for(name)) for name in missing if name in addresses]

    def _message_for(self, name: str) -> Install:
        state, log = self.state, self.state.log
        start = max(self.known_ends[name], log.base)
        entries = log.entries_from(start + 1, CHUNK_BYTES)
        return Install(state.view, state.members, start + 1, log.end, log.digest_at(start) or b"", entries)

    def on_installed(self, sender: str, message: Installed, now: timedelta) -> list[Effect]:
        """Counts a member that has synced the view and its log."""
        state = self.state
        if state.role is not Role.INSTALLING or message.view != state.candidacy or sender not in state.members:
            return []
        state.heard_at[sender] = now
        return self._mark_installed(sender, now)

    def on_own_view_synced(self, event: OwnViewSynced, now: timedelta) -> list[Effect]:
        """Counts this replica, which has synced the view to its own disk."""
        if event.view != self.state.candidacy or self.state.role is not Role.INSTALLING:
            return []
        return self._mark_installed(self.state.name, now)

    def _mark_installed(self, name: str, now: timedelta) -> list[Effect]:
        self.installed.add(name)
        if set(self.state.members) <= self.installed:
            return self.leader.lead(now)
        return []

    def note_progress(self, name: str, now: timedelta) -> None:
        """Records that a member has fetched or acknowledged a part of the log."""
        self.progress_at[name] = now

    def late_members(self, now: timedelta) -> set[str]:
        """Returns the members that have made no progress for `INSTALL_TIMEOUT`."""
        awaited = [name for name in self.state.members if name not in self.installed]
        return {name for name in awaited if now - self.progress_at[name] > INSTALL_TIMEOUT}

    def tick(self, now: timedelta) -> list[Effect]:
        """Resends the view to members that lack it, or backs off if this replica's own disk makes no progress."""
        if self.state.name in self.late_members(now):
            self.state.back_off(now, pause=SILENCE_TIMEOUT * 2)
            return []
        return self._send_installs(now) if now - self.installs_sent_at >= RESEND_INTERVAL else []
