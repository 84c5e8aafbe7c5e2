"""Leases that count from the time a heartbeat round was sent, never from the time its acknowledgement arrived."""

from datetime import timedelta

from sumachook.consensus.timing import FRESH_FOR, LEASE, LEASE_GUARD
from sumachook.consensus.views import NO_VIEW, ViewId
from sumachook.consensus.voting_members import VotingMembers

ROUND_RETENTION = LEASE_GUARD


class _Rounds:
    """Numbers of heartbeat rounds and when each was sent, by the sender's own monotonic clock."""

    __slots__ = ("last", "sent_at")

    def __init__(self, first: int = 0) -> None:
        self.last = first
        self.sent_at: dict[int, timedelta] = {}

    def begin(self, now: timedelta) -> int:
        self.last += 1
        self.sent_at[self.last] = now
        while self.sent_at and now - next(iter(self.sent_at.values())) > ROUND_RETENTION:
            del self.sent_at[next(iter(self.sent_at))]
        return self.last


class LeaderLease:
    """A leader's lease: valid while a quorum has acknowledged a recent round and promised no higher view."""

    __slots__ = ("rounds", "acked_at")

    def __init__(self) -> None:
        self.rounds = _Rounds()
        self.acked_at: dict[str, timedelta] = {}

    def begin_round(self, now: timedelta) -> int:
        """Starts a round that is sent at `now` and returns its number."""
        return self.rounds.begin(now)

    def record_ack(self, replica: str, number: int) -> None:
        """Records that a replica has acknowledged this round; a round that is no longer remembered does not count."""
        sent_at = self.rounds.sent_at.get(number)
        if sent_at is not None:
            self.acked_at[replica] = max(sent_at, self.acked_at.get(replica, sent_at))

    def is_held(self, leader: str, voting_members: VotingMembers, now: timedelta) -> bool:
        """Whether a quorum, with the leader, has acknowledged rounds sent less than `LEASE` ago."""
        acked = {replica for replica, sent_at in self.acked_at.items() if now - sent_at < LEASE}
        return voting_members.has_quorum({leader, *acked})

    def invalidate(self) -> None:
        """Discards all acknowledgements and rounds, which ends the lease."""
        self.rounds.sent_at.clear()
        self.acked_at.clear()


class LeaseGuard:
    """Keeps a replica that has acknowledged a leader's round from promising a view to another candidate.

    A replica that has just restarted may have acknowledged an unknown leader before; until the guard expires it
    promises only to a leader that has since shown a lease.
    """

    __slots__ = ("bound_until", "view", "run_number")

    def __init__(self) -> None:
        self.bound_until: timedelta | None = None
        self.view = NO_VIEW
        self.run_number = 0  # number of this process run until its first acknowledgement, then 0

    def start(self, now: timedelta, run_number: int) -> None:
        """Binds a restarted, non-blank replica to an unknown leader; `run_number` (not 0) identifies the process."""
        self.bound_until, self.view, self.run_number = now + LEASE_GUARD, NO_VIEW, run_number

    def acknowledge(self, view: ViewId, now: timedelta) -> None:
        """Binds the replica to the leader of `view` for `LEASE_GUARD`, because it acknowledges a heartbeat round."""
        if not self._is_bound_to_unknown(now):
            self.view = view
        self.run_number = 0
        self.bound_until = now + LEASE_GUARD if self.bound_until is None else max(self.bound_until, now + LEASE_GUARD)

    def recognize(self, view: ViewId) -> None:
        """Binds the replica to the leader of `view`, which has held a lease since this replica was started."""
        self.view = max(self.view, view)

    def release(self, view: ViewId) -> None:
        """Unbinds the replica from the leader of `view`, which has released its lease."""
        if view == self.view and view != NO_VIEW:
            self.bound_until = None

    def permits(self, candidate: str, released: ViewId, now: timedelta, run_number: int = 0) -> bool:
        """Whether the replica may promise a view to this candidate; `released` is a view whose lease has been released.

        `run_number` is not 0 if every voter has granted the pre-vote, this one in that process run, so that none leads.
        """
        if self.bound_until is None or now >= self.bound_until or (run_number and run_number == self.run_number):
            return True
        return self.view != NO_VIEW and (candidate == self.view.replica or released == self.view)

    def _is_bound_to_unknown(self, now: timedelta) -> bool:
        return self.bound_until is not None and now < self.bound_until and self.view == NO_VIEW


class Freshness:
    """Tracks the time up to which a member's state is known to contain every acknowledged change.

    Round numbers start at a random value in each process, so that the echo of a previous process's round is ignored.
    """

    __slots__ = ("rounds", "complete_as_of")

    def __init__(self, first: int = 0) -> None:
        self.rounds = _Rounds(first)
        self.complete_as_of: timedelta | None = None

    def begin_round(self, now: timedelta) -> int:
        """Starts a round that is sent at `now` and returns its number."""
        return self.rounds.begin(now)

    def was_sent(self, echo: int) -> bool:
        """Whether the echoed number is that of a recent round of this process."""
        return echo in self.rounds.sent_at

    def confirm(self, echo: int) -> None:
        """Marks the state as complete at the time at which this replica sent the echoed round.

        The echo must come from a leader with a lease, and this replica must have delivered every entry committed by it.
        """
        sent_at = self.rounds.sent_at.get(echo)
        if sent_at is not None:
            self.complete_as_of = sent_at if self.complete_as_of is None else max(self.complete_as_of, sent_at)

    def is_fresh(self, now: timedelta) -> bool:
        """Whether the state was complete less than `FRESH_FOR` ago."""
        return self.complete_as_of is not None and now - self.complete_as_of < FRESH_FOR

    def invalidate(self) -> None:
        """Discards all rounds and the time of completeness, so that the state does not count as fresh."""
        self.rounds.sent_at.clear()
        self.complete_as_of = None
