"""State shared by the components of one replica."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from random import Random
from typing import Any

from sumachook.consensus.effects import Compact, Deliver, Restore
from sumachook.consensus.events import DiskSynced
from sumachook.consensus.lease import Freshness, LeaseGuard
from sumachook.consensus.log import Log, Snapshot, decode_state
from sumachook.consensus.messages import Message
from sumachook.consensus.options import Options
from sumachook.consensus.storage import FILE, Record, Restored, all_records
from sumachook.consensus.timing import LEAVING_NOTICE_TIMEOUT, MAX_LOG_RECORDS, REMOVAL_SUSPECTED_AFTER, SILENCE_TIMEOUT
from sumachook.consensus.views import NO_VIEW, Role, ViewId
from sumachook.consensus.voting_members import VotingMembers
from sumachook.host import effects as host_effects
from sumachook.host.effects import AppendRecords, Effect, RewriteRecords, Send

NONCE_BITS = 48
LOG_COMPONENT = "consensus"  # component name in the program's log lines


class ReplicaState:
    """Durable and volatile state of a replica, and the operations that several of its components use.

    `followed` is the highest view from whose leader entries were accepted, as a member or as a learner; entries of a
    lower view are never accepted afterwards. `synced` is the end of the log prefix that is durable and known to match
    that leader's log.
    """

    __slots__ = (
        "name",
        "address",
        "founders",
        "random",
        "take_snapshot",
        "options",
        "log",
        "promised",
        "view",
        "members",
        "followed",
        "delivered",
        "committed",
        "synced",
        "role",
        "candidacy",
        "highest_view_number",
        "leader",
        "leader_address",
        "leader_heard_at",
        "next_election_at",
        "heard_at",
        "guard",
        "freshness",
        "is_leaving",
        "leaving_heard_at",
        "record_count",
    )

    def __init__(
        self,
        name: str,
        address: str,
        founders: Iterable[str],
        random: Random,
        take_snapshot: Callable[[], Any],
        options: Options,
        records: Iterable[Record],
        now: timedelta,
    ) -> None:
        self.name, self.address, self.founders = name, address, tuple(founders)
        self.random, self.take_snapshot, self.options = random, take_snapshot, options
        restored = Restored()
        restored.replay(records)
        self.log: Log = restored.log
        self.promised, self.view, self.followed = restored.promised, restored.view, restored.followed
        self.members = restored.members
        self.delivered = self.committed = self.log.base
        self.synced = self.log.end
        self.role = Role.IDLE
        self.candidacy: ViewId = NO_VIEW
        self.highest_view_number = 0
        self.leader: str | None = None
        self.leader_address: str | None = None
        self.leader_heard_at = now - SILENCE_TIMEOUT * 10
        self.next_election_at = now + timedelta(seconds=random.uniform(0.1, 0.3))
        self.heard_at: dict[str, timedelta] = {}
        self.guard, self.freshness = LeaseGuard(), Freshness(random.getrandbits(NONCE_BITS))
        self.is_leaving = False
        self.leaving_heard_at: dict[str, timedelta] = {}
        self.record_count = 0
        if not self.is_blank or self.promised != NO_VIEW:
            self.guard.start(now, random.getrandbits(NONCE_BITS) + 1)

    # queries

    @property
    def is_blank(self) -> bool:
        """Whether the replica has no log and no view, and therefore knows no voting members."""
        return self.log.end == 0 and self.view == NO_VIEW

    @property
    def voting_members(self) -> VotingMembers:
        """The voting members as of the last log entry, committed or not."""
        return self.log.voting_members

    @property
    def is_voter(self) -> bool:
        """Whether this replica is one of the voting members."""
        return self.name in self.voting_members.addresses

    @property
    def other_voters(self) -> dict[str, str]:
        """The addresses of the other voters, without a voter that this replica replaces at its own address."""
        voters = self.voting_members.addresses.items()
        return {name: address for name, address in voters if name != self.name and address != self.address}

    @property
    def is_member(self) -> bool:
        """Whether this replica is an active member of its installed view and has promised no higher one."""
        return self.role is Role.MEMBER and self.view == self.promised

    def has_heard(self, name: str, now: timedelta, within: timedelta = SILENCE_TIMEOUT) -> bool:
        """Whether a message of the named replica arrived less than `within` ago."""
        return name in self.heard_at and now - self.heard_at[name] < within

    def is_known_leaving(self, name: str, now: timedelta) -> bool:
        """Whether the named voter has announced its shutdown within `LEAVING_NOTICE_TIMEOUT`."""
        return name in self.leaving_heard_at and now - self.leaving_heard_at[name] < LEAVING_NOTICE_TIMEOUT

    def leader_timed_out(self, now: timedelta) -> bool:
        """Whether no leader has been heard for more than `SILENCE_TIMEOUT`."""
        return now - self.leader_heard_at > SILENCE_TIMEOUT

    def may_be_removed(self, now: timedelta) -> bool:
        """Whether this replica has heard no leader for so long that it may have been removed without knowing it."""
        return self.role in (Role.IDLE, Role.PRE_VOTING) and now - self.leader_heard_at > REMOVAL_SUSPECTED_AFTER

    def next_view(self) -> ViewId:
        """Returns a view ID with this replica as leader and a higher number than any known view."""
        highest = max(
            self.promised.number,
            self.view.number,
            self.candidacy.number,
            self.followed.number,
            self.highest_view_number,
        )
        return ViewId(highest + 1, self.name)

    # operations

    def back_off(self, now: timedelta, pause: timedelta = timedelta(0)) -> None:
        """Ends leadership or an election, and waits a random 0.2 to 0.9 s plus `pause` before the next election."""
        self.role = Role.IDLE
        self.next_election_at = now + timedelta(seconds=self.random.uniform(0.2, 0.9)) + pause

    def set_leader(self, leader: str, address: str, now: timedelta) -> None:
        """Records the current leader and the time at which it was heard."""
        self.leader, self.leader_address, self.leader_heard_at = leader, address, now

    def send_to_voters(self, message: Message) -> list[Effect]:
        """Returns effects that send the message to every other voter."""
        return [Send(address, message) for address in dict.fromkeys(self.other_voters.values())]

    def append_records(self, records: tuple[Record, ...], done: DiskSynced | None) -> Effect:
        """Returns the effect that appends records to the log file; the host reports `done` once they are durable."""
        self.record_count += len(records)
        return AppendRecords(FILE, records, done)

    def rewrite_records(self, done: DiskSynced | None) -> Effect:
        """Returns the effect that rewrites the log file from the current state."""
        self.record_count = 0
        return RewriteRecords(FILE, all_records(self.name, self), done)

    def install_snapshot(self, snapshot: Snapshot) -> list[Effect]:
        """Replaces the log, which ends before the leader's snapshot or differs from it, by that snapshot."""
        self.log = Log(snapshot)
        if snapshot.number <= self.delivered:
            return []
        self.delivered = self.committed = snapshot.number
        return [Restore(snapshot.number, decode_state(snapshot))]

    def deliver(self, up_to: int) -> list[Effect]:
        """Delivers entries up to number `up_to`, which must be committed and durable."""
        out: list[Effect] = []
        while self.delivered < up_to:
            self.delivered += 1
            out.append(Deliver(self.delivered, self.log.entry(self.delivered)))
        self.committed = max(self.committed, self.delivered)
        if self.should_compact():
            out.append(Compact())
        return out

    def should_compact(self) -> bool:
        """Whether the log exceeds a limit and a snapshot should replace its delivered entries."""
        delivered = self.delivered - self.log.base
        if not delivered:
            return False
        return delivered > self.options.max_log_entries or self.record_count > MAX_LOG_RECORDS or self._is_log_large()

    def _is_log_large(self) -> bool:
        """Whether the log exceeds its limit in bytes and delivered entries make up more than half of that limit."""
        size, bound = self.log.size, self.options.max_log_bytes
        return size > bound and size - self.log.bytes_after(self.delivered) > bound / 2

    def compact(self) -> list[Effect]:
        """Compacts the log with a snapshot of the program's state, which has applied every delivered entry."""
        if not self.should_compact():
            return []
        self.log.compact(self.delivered, self.take_snapshot())
        return [self.rewrite_records(None)]

    def log_line(self, level: str, text: str, **details: Any) -> Effect:
        """Returns the effect that writes a line to the program's log."""
        return host_effects.Log(level, LOG_COMPONENT, text, details)
