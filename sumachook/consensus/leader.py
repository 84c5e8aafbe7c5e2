"""The leader role: numbers changes, replicates them and commits those that all members have synced."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from sumachook.consensus.effects import RefusalReason, Refuse, ViewChanged
from sumachook.consensus.events import OwnEntriesSynced
from sumachook.consensus.learners import Learners
from sumachook.consensus.lease import LeaderLease
from sumachook.consensus.messages import Append, Appended, Heartbeat, HeartbeatAck, Yield
from sumachook.consensus.progress import Progress
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.storage import entries_record
from sumachook.consensus.timing import (
    CHUNK_BYTES,
    HEARTBEAT_INTERVAL,
    MAX_QUEUED_PROPOSALS,
    RESEND_INTERVAL,
    SILENCE_TIMEOUT,
)
from sumachook.consensus.views import Role
from sumachook.host.effects import Effect, Send
from sumachook.transport.codec import pack_entry


class Leader:
    """Appends proposals to the log, replicates them, and renews the leader lease with numbered heartbeats."""

    __slots__ = (
        "state",
        "learners",
        "progress",
        "lease",
        "queued_changes",
        "is_syncing",
        "sync_started_at",
        "entries_sent_at",
        "next_heartbeat_at",
        "echoes",
        "initial_end",
        "is_lease_announced",
        "leading_since",
    )

    def __init__(self, state: ReplicaState, learners: Learners, progress: Progress, now: timedelta) -> None:
        self.state, self.learners, self.progress = state, learners, progress
        self.lease = LeaderLease()
        self.queued_changes: list[bytes] = []
        self.is_syncing = False
        self.sync_started_at = self.entries_sent_at = self.next_heartbeat_at = self.leading_since = now
        self.echoes: dict[str, int] = {}
        self.initial_end = 0
        self.is_lease_announced = False

    # start and end of leadership

    def prepare_to_lead(self, now: timedelta) -> None:
        """Resets the leader's state while its view is being installed, so that heartbeat rounds can start."""
        state = self.state
        self.lease.invalidate()
        self.progress.reset()
        self.queued_changes, self.is_syncing, self.next_heartbeat_at, self.is_lease_announced = [], False, now, False
        if state.leader != state.name:
            self.leading_since = now
        state.leader, state.leader_address, state.leader_heard_at = state.name, state.address, now
        for name in state.voting_members.addresses:  # a voter outside the view counts as absent since it was heard
            state.heard_at[name] = now if name in state.members else state.heard_at.get(name, now)

    def lead(self, now: timedelta) -> list[Effect]:
        """Starts leading the view, which all members have synced."""
        state = self.state
        state.role, state.synced, self.initial_end = Role.LEADING, state.log.end, state.log.end
        for name in state.members:
            self.progress.acknowledge(name, state.log.end, now)
            state.heard_at[name] = now
        if state.log.end == 1:
            self.queued_changes.append(pack_entry(("founded",)))
        log_line = state.log_line("info", f"Replica leads view {state.view.number}.", members=list(state.members))
        return [
            log_line,
            ViewChanged(state.view, state.members),
            *self._commit(now),
            *self.heartbeat(now),
            *self._flush(now),
        ]

    def step_down(self, reason: str, now: timedelta) -> list[Effect]:
        """Steps down and sends `Yield` to the other voters, so that they need not wait for a heartbeat timeout."""
        state = self.state
        self.lease.invalidate()
        state.back_off(now, pause=SILENCE_TIMEOUT * 2)
        return [state.log_line("warning", reason), *state.send_to_voters(Yield(state.view))]

    def has_lease(self, now: timedelta) -> bool:
        """Whether the leader holds its lease, so that no other view can have acknowledged a change unknown to it."""
        state = self.state
        is_leading = state.role is Role.LEADING and state.committed >= self.initial_end
        return is_leading and self.lease.is_held(state.name, state.voting_members, now)

    # replication and commit of entries

    def propose(self, change: Any, now: timedelta) -> list[Effect]:
        """Queues a change for the log, or rejects it if this replica does not lead or the queue is full."""
        if self.state.role is not Role.LEADING:
            return [Refuse(change, RefusalReason.NO_VIEW)]
        if len(self.queued_changes) >= MAX_QUEUED_PROPOSALS:
            return [Refuse(change, RefusalReason.TOO_MANY)]
        self.queued_changes.append(pack_entry(change))
        return self._flush(now)

    def _flush(self, now: timedelta) -> list[Effect]:
        """Appends all queued changes as one batch, unless a disk sync of the previous batch is outstanding."""
        if self.is_syncing or not self.queued_changes:
            return []
        state, batch, self.queued_changes = self.state, tuple(self.queued_changes), []
        first = state.log.end + 1
        state.log.extend(batch)
        self.is_syncing, self.sync_started_at = True, now
        record = entries_record(state.view, first, batch)
        store = state.append_records((record,), OwnEntriesSynced(state.view, state.log.end))
        return [store, *self._send_entries(first, self._append_receivers(now), now)]

    def _append_receivers(self, now: timedelta) -> dict[str, str]:
        """Returns the addresses of the members and of learners that have caught up."""
        state = self.state
        voters = state.other_voters
        members = {name: address for name, address in voters.items() if name in state.members}
        learners = {**voters, **self.learners.present(now)}
        ready = {name: address for name, address in learners.items() if self.progress.is_caught_up(name, now)}
        return {**members, **ready}

    def _send_entries(self, first: int, targets: dict[str, str], now: timedelta) -> list[Effect]:
        """Sends entries from `first` on, as many as fit into one message; the receivers fetch the others."""
        state, log, self.entries_sent_at = self.state, self.state.log, now
        previous = log.digest_at(first - 1) or b""
        entries = log.entries_from(first, CHUNK_BYTES)
        message = Append(state.view, first, log.end, state.committed, previous, entries)
        return [Send(address, message) for address in targets.values()]

    def on_own_entries_synced(self, event: OwnEntriesSynced, now: timedelta) -> list[Effect]:
        """Acknowledges a batch that is durable on the leader's disk; commits it if possible and starts the next."""
        state = self.state
        if event.view != state.view or state.role is not Role.LEADING:
            return []
        self.is_syncing, state.synced = False, event.end
        self.progress.acknowledge(state.name, event.end, now)
        return self._commit(now) + self._flush(now)

    def on_appended(self, sender: str, message: Appended, now: timedelta) -> list[Effect]:
        """Records that another replica has synced entries, and commits them if possible."""
        state = self.state
        if message.view != state.view or state.role is not Role.LEADING:
            return []
        state.heard_at[sender] = now
        is_new = self.progress.acknowledge(sender, message.end, now)
        return self._commit(now) if is_new else []

    def _commit(self, now: timedelta) -> list[Effect]:
        """Commits entries synced by every member of the view and by a quorum of the voting members as of that entry."""
        state, log = self.state, self.state.log
        acked_end = min(self.progress.acked.get(name, 0) for name in state.members)
        if acked_end <= state.committed:
            return []
        if not self._is_held_by_quorum(acked_end):
            acked_end = min(acked_end, log.last_voting_members_change - 1)
            if acked_end <= state.committed or not self._is_held_by_quorum(acked_end):
                return []
        state.committed = acked_end
        return state.deliver(acked_end) + self.heartbeat(now)

    def _is_held_by_quorum(self, number: int) -> bool:
        holders = {name for name, end in self.progress.acked.items() if end >= number}
        return self.state.log.voting_members_at(number).has_quorum(holders)

    # heartbeats and the leader lease

    def heartbeat(self, now: timedelta) -> list[Effect]:
        """Sends a new heartbeat round to the other voters and to recently heard learners."""
        state, self.next_heartbeat_at = self.state, now + HEARTBEAT_INTERVAL
        number, has_lease = self.lease.begin_round(now), self.has_lease(now)
        names = {address: name for name, address in state.other_voters.items()}
        names |= {address: name for name, address in self.learners.present(now).items()}
        return [
            Send(
                address,
                Heartbeat(
                    state.view,
                    number,
                    state.committed,
                    state.log.end,
                    has_lease,
                    state.members,
                    self.echoes.get(name, 0),
                ),
            )
            for address, name in names.items()
        ]

    def on_heartbeat_ack(self, sender: str, address: str, message: HeartbeatAck, now: timedelta) -> list[Effect]:
        """Counts a heartbeat acknowledgement for the lease, as of the time at which its round was sent."""
        state = self.state
        state.highest_view_number = max(state.highest_view_number, message.promised.number)
        if message.view != state.view or state.role not in (Role.LEADING, Role.INSTALLING):
            return []
        self.echoes[sender] = message.own_round
        state.heard_at[sender] = now
        if sender not in state.voting_members.addresses:
            self.learners.record(sender, address, now)
        if message.promised <= state.view:
            self.lease.record_ack(sender, message.round)
        elif sender in state.members:
            state.back_off(now)  # a member has promised a higher view, so this replica's view has ended
            return []
        if state.role is not Role.LEADING:
            return []
        is_new = self.progress.acknowledge(sender, message.end, now)
        out = self._commit(now) if is_new else []
        return out + self._announce_lease(now)

    def _announce_lease(self, now: timedelta) -> list[Effect]:
        """Sends the first heartbeat under a new lease at once, because members' states are not fresh before it."""
        if self.is_lease_announced or not self.has_lease(now):
            return []
        self.is_lease_announced = True
        return self.heartbeat(now)

    def resend(self, now: timedelta) -> list[Effect]:
        """Resends entries that members have not acknowledged, at most every `RESEND_INTERVAL`."""
        state, acked = self.state, self.progress.acked
        late = {name for name in state.members if name != state.name and acked.get(name, 0) < state.log.end}
        targets = {name: address for name, address in state.other_voters.items() if name in late}
        if not targets or now - self.entries_sent_at <= RESEND_INTERVAL:
            return []
        first = min(acked.get(name, 0) for name in targets) + 1
        return self._send_entries(max(first, state.log.base + 1), targets, now)

    def tick(self, now: timedelta) -> list[Effect]:
        """Sends the next heartbeat round if it is due, and resends unacknowledged entries."""
        return (self.heartbeat(now) if now >= self.next_heartbeat_at else []) + self.resend(now)

    def is_disk_stalled(self, now: timedelta) -> bool:
        """Whether a sync of the leader's own disk has been outstanding for more than `SILENCE_TIMEOUT`."""
        return self.is_syncing and now - self.sync_started_at > SILENCE_TIMEOUT

    def is_idle(self) -> bool:
        """Whether no change is queued or waiting for the leader's disk."""
        return not self.is_syncing and not self.queued_changes

    def recently_heard(self, names: Iterable[str], now: timedelta) -> set[str]:
        """Returns those of the named replicas that were heard within `SILENCE_TIMEOUT`; this replica always counts."""
        return {name for name in names if name == self.state.name or self.state.has_heard(name, now)}
