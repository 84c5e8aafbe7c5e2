"""One replica of the consensus group: dispatches each event to the component that handles it."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from random import Random
from typing import Any

from sumachook.consensus import events, messages
from sumachook.consensus.candidate import Candidate
from sumachook.consensus.departure import Departure, record_leaving
from sumachook.consensus.follower import Follower
from sumachook.consensus.founding import Founding
from sumachook.consensus.installer import Installer
from sumachook.consensus.leader import Leader
from sumachook.consensus.learners import Learners
from sumachook.consensus.log import Log, decode_state
from sumachook.consensus.log_server import LogServer
from sumachook.consensus.membership import Membership
from sumachook.consensus.options import Options
from sumachook.consensus.progress import Progress
from sumachook.consensus.proposals import Proposals
from sumachook.consensus.reads import Reads
from sumachook.consensus.slow_members import SlowMembers
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.storage import Record
from sumachook.consensus.timing import MAX_TICK_GAP, SILENCE_TIMEOUT
from sumachook.consensus.view_maintenance import ViewMaintenance
from sumachook.consensus.views import Role, ViewId
from sumachook.consensus.voter import Voter
from sumachook.host.effects import Effect
from sumachook.host.events import Event, MessageReceived

LEADER_ROLES = (Role.LEADING, Role.PREPARING, Role.INSTALLING)


class Replica:
    """A replica as a state machine without I/O: `take` handles one event and returns effects for the host."""

    __slots__ = (
        "state",
        "candidate",
        "installer",
        "voter",
        "follower",
        "leader",
        "log_server",
        "learners",
        "founding",
        "view_maintenance",
        "reads",
        "departure",
        "proposals",
        "last_tick",
    )

    def __init__(
        self,
        name: str,
        address: str,
        founders: Iterable[str],
        random: Random,
        take_snapshot: Callable[[], Any],
        records: Iterable[Record] = (),
        options: Options | None = None,
        now: timedelta = timedelta(0),
    ) -> None:
        state = ReplicaState(name, address, founders, random, take_snapshot, options or Options(), records, now)
        slow_members, progress = SlowMembers(), Progress(state)
        self.state, self.learners = state, Learners(state, now)
        self.leader = Leader(state, self.learners, progress, now)
        self.installer = Installer(state, self.leader, now)
        self.candidate = Candidate(state, slow_members, self.installer, now)
        self.voter, self.follower = Voter(state, self.candidate), Follower(state)
        self.log_server = LogServer(state, self.installer, progress)
        self.founding = Founding(state, self.candidate, now)
        membership = Membership(state, self.learners, progress)
        self.view_maintenance = ViewMaintenance(
            state, self.leader, self.candidate, self.learners, membership, progress, slow_members
        )
        self.reads, self.departure = Reads(state, self.leader), Departure(state, self.leader)
        self.proposals = Proposals(state, self.leader)
        self.last_tick = now

    # public state

    @property
    def role(self) -> Role:
        """The current role of this replica."""
        return self.state.role

    @property
    def view(self) -> ViewId:
        """The view that this replica installed last."""
        return self.state.view

    @property
    def members(self) -> tuple[str, ...]:
        """The names of the members of the last installed view."""
        return self.state.members

    @property
    def leader_name(self) -> str | None:
        """The name of the leader that was heard last, or None."""
        return self.state.leader

    @property
    def log(self) -> Log:
        """The replicated log as stored by this replica."""
        return self.state.log

    @property
    def voting_members(self) -> dict[str, str]:
        """The addresses of the voters, by name."""
        return self.state.voting_members.addresses

    @property
    def is_blank(self) -> bool:
        """Whether this replica has no log and no view, and therefore knows no voting members."""
        return self.state.is_blank

    def snapshot(self) -> tuple[int, Any]:
        """Returns the number and state of the log's snapshot, from which the program restores its state at startup."""
        return self.log.base, decode_state(self.log.snapshot)

    def is_fresh(self, now: timedelta) -> bool:
        """Whether the state contains every change acknowledged more than `FRESH_FOR` ago.

        A leader's state is complete while it holds its lease. A member knows from its echoed heartbeat rounds up to
        which time its own state was complete, and that remains valid across a view change.
        """
        if now - self.last_tick > MAX_TICK_GAP:
            return False
        return self.leader.has_lease(now) or self.state.freshness.is_fresh(now)

    # dispatch of events

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handles an event and returns the effects that the host must carry out in order."""
        self._handle_tick_gap(now)
        match event:
            case events.Tick(cores):
                out = self._tick(cores, now)
            case MessageReceived(sender, _, _) if sender == self.state.name:
                return []  # this replica's own message to a former user of its address
            case MessageReceived(sender, address, message):
                self.candidate.suspected.discard(sender)  # a replica that sends a message is no longer suspected
                out = self._receive(sender, address, message, now)
            case events.ProposalMade(change):
                out = self.proposals.propose(change, now)
            case events.LogCompacted():
                return self.state.compact()
            case events.ReadRequested(token):
                return self.reads.request(token, now)
            case events.StepBackRequested():
                out = (
                    self.leader.step_down("Disk is not writable, leader is stepping down.", now)
                    if self.role is Role.LEADING
                    else []
                )
            case events.LeaveRequested():
                out = self.departure.begin(now)
            case _:
                out = self._on_synced(event, now)
        return out + self.proposals.process_pending(now) + self.reads.process_waiting(now)

    def _handle_tick_gap(self, now: timedelta) -> None:
        """Ends leases and freshness after a pause of the process; a long pause also ends leadership or an election."""
        gap = now - self.last_tick
        if gap > MAX_TICK_GAP:
            self.leader.lease.invalidate()
            self.state.freshness.invalidate()
        if gap > SILENCE_TIMEOUT and self.role in LEADER_ROLES:
            self.state.back_off(now)

    def _tick(self, cores: tuple[str, ...], now: timedelta) -> list[Effect]:
        self.last_tick = now
        out = self.departure.tick(now) + self.log_server.tick()
        match self.role:
            case Role.LEADING:
                return out + self.view_maintenance.tick(now)
            case Role.PREPARING:
                return out + self.candidate.tick_preparing(now)
            case Role.INSTALLING:
                return out + self._tick_installing(now)
        if self.state.is_blank and self.state.leader_timed_out(now):
            return out + self.founding.tick(cores, now)
        self.follower.tick(now)
        return out + self.learners.tick(cores, now) + self.candidate.tick_idle(now)

    def _tick_installing(self, now: timedelta) -> list[Effect]:
        late = self.installer.late_members(now)
        if late and self.state.name not in late:
            return self.candidate.start_without(late, now)
        out = self.installer.tick(now)
        return out + self.leader.tick(now) if self.role is Role.INSTALLING else out

    def _on_synced(self, event: Event, now: timedelta) -> list[Effect]:
        match event:
            case events.PromiseSynced():
                return self.voter.on_promise_synced(event)
            case events.CandidacySynced():
                return self.candidate.on_candidacy_synced(event, now)
            case events.OwnViewSynced():
                return self.installer.on_own_view_synced(event, now)
            case events.OwnEntriesSynced():
                return self.leader.on_own_entries_synced(event, now)
            case events.ViewSynced():
                return self.follower.on_view_synced(event, now)
            case events.EntriesSynced():
                return self.follower.followed.on_entries_synced(event)
        return []

    # dispatch of messages

    def _receive(self, sender: str, address: str, message: messages.Message, now: timedelta) -> list[Effect]:
        match message:
            case messages.Heartbeat():
                out = self.follower.on_heartbeat(sender, address, message, now)
                return out + self.departure.on_heartbeat(message, now)
            case messages.HeartbeatAck():
                return self.leader.on_heartbeat_ack(sender, address, message, now)
            case messages.Append():
                return self.follower.on_append(address, message, now)
            case messages.Appended():
                return self.leader.on_appended(sender, message, now)
            case messages.Propose():
                return self.proposals.on_propose(sender, message, now)
            case messages.Fetch():
                return self.log_server.on_fetch(sender, address, message, now)
            case messages.Entries():
                return self.follower.catch_up.on_entries(message, now) + self.follower.finish_joining()
            case messages.EntryPart():
                return self.follower.catch_up.on_entry_part(message, now) + self.follower.finish_joining()
            case messages.SnapshotPart():
                return self.follower.catch_up.on_snapshot_part(message, now) + self.follower.finish_joining()
        return self._receive_view_message(sender, address, message, now)

    def _receive_view_message(
        self, sender: str, address: str, message: messages.Message, now: timedelta
    ) -> list[Effect]:
        match message:
            case messages.PreVote():
                return self.voter.on_pre_vote(sender, address, message, now)
            case messages.PreVoteGranted():
                return self.candidate.on_pre_vote_granted(sender, message, now)
            case messages.Prepare():
                return self.voter.on_prepare(sender, address, message, now)
            case messages.Promise():
                return self.candidate.on_promise(sender, message, now)
            case messages.TakeOver():
                self.learners.record_all(message.learners, now)
                return self.voter.on_take_over(sender, message, now)
            case messages.Yield():
                return self.voter.on_yield(sender, message, now)
            case messages.Install():
                return self.follower.on_install(sender, address, message, now)
            case messages.Installed():
                return self.installer.on_installed(sender, message, now)
        return self._receive_membership_message(sender, address, message, now)

    def _receive_membership_message(
        self, sender: str, address: str, message: messages.Message, now: timedelta
    ) -> list[Effect]:
        match message:
            case messages.Announcement():
                if self.state.is_blank:
                    self.founding.on_announcement(message, now)
                return self.learners.on_announcement(sender, message, now)
            case messages.ReplicaLeaving():
                has_replacement = self.view_maintenance.may_replace(now)
                return record_leaving(self.state, message, address, has_replacement, now)
            case messages.LeavingNoted():
                return self.departure.on_leaving_noted(message)
            case messages.ReadIndex():
                return self.reads.on_read_index(address, message, now)
            case messages.ReadIndexAnswer():
                return self.reads.on_answer(sender, message)
        return []
