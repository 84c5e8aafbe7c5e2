"""Decides when a voter may vote for a successor, and for which claim."""

from datetime import timedelta
from typing import NamedTuple

from sumachook.host.effects import Effect, Send
from sumachook.leases.messages import ClaimLease, ClaimVote
from sumachook.leases.timing import LeaseTiming
from sumachook.leases.voters import Voters


class Vote(NamedTuple):
    """A vote for a claim: the claimant, and the round of the claim."""

    claimant: str
    round: int


class Voting:
    """Votes for a successor only after the last lease acknowledged by this voter and all orders under it have expired.

    With `is_fenced`, servers refuse orders with lower fencing tokens, so a voter need not wait after a release.
    """

    __slots__ = ("voters", "timing", "is_fenced", "started_at", "last_renewal_at", "votes")

    def __init__(self, voters: Voters, timing: LeaseTiming, is_fenced: bool, now: timedelta) -> None:
        self.voters = voters
        self.timing = timing
        self.is_fenced = is_fenced
        self.started_at = now  # counts as the last renewal: those before a restart are unknown
        self.last_renewal_at: dict[str, timedelta] = {}
        self.votes: dict[tuple[str, int], Vote] = {}  # this voter's votes by role and fencing token

    def note_renewal(self, role: str, now: timedelta) -> None:
        """Records that this voter acknowledged a renewal, or sent one itself."""
        self.last_renewal_at[role] = now

    def note_release(self, role: str, now: timedelta) -> None:
        """Records a release by the holder, after which voters wait only for orders that may still be in flight."""
        self.last_renewal_at[role] = now - self._wait_saved_by_release()

    def _wait_saved_by_release(self) -> timedelta:
        """Returns how much a release shortens the wait: by the lease, or entirely if servers check fencing tokens."""
        return self.timing.vacant_after * 2 if self.is_fenced else self.timing.lease

    def may_vote(self, role: str, now: timedelta) -> bool:
        """Returns whether all leases that this voter acknowledged have expired, with no orders under them in flight."""
        _, fence = self.voters.state.role_holders[role]
        was_ever_held = fence > 0
        return not was_ever_held or now - self.last_renewal_at.get(role, self.started_at) > self.timing.vacant_after

    def vote_for_self(self, role: str, fence: int, last_round: int) -> int:
        """Votes for this voter's own claim; returns its round, above its last round and that of any claim voted for."""
        voted_for, voted_round = self.votes.get((role, fence), Vote(self.voters.name, 0))
        highest = last_round if voted_for == self.voters.name else max(last_round, voted_round)
        self.votes[(role, fence)] = Vote(self.voters.name, highest + 1)
        return highest + 1

    def on_claim(self, claimant: str, address: str, claim: ClaimLease, now: timedelta) -> list[Effect]:
        """Votes for the claim of another voter unless this one voted for another claim of an equal or higher round."""
        if not self._is_admissible(claimant, claim, now):
            return []
        vote = Vote(claimant, claim.round)
        former = self.votes.get((claim.role, claim.fence))
        if former is not None and claim.round <= former.round and former != vote:
            return []
        self.votes = {key: other for key, other in self.votes.items() if key[0] != claim.role}
        self.votes[(claim.role, claim.fence)] = vote
        return [Send(address, ClaimVote(claim.role, claim.fence, claim.round))]

    def _is_admissible(self, claimant: str, claim: ClaimLease, now: timedelta) -> bool:
        """Returns whether a voter claims a vacant role with the next fencing token, and this voter may vote."""
        if claim.role not in self.voters.state.role_holders:
            return False
        holder, last_fence = self.voters.state.role_holders[claim.role]
        is_next = not holder and claim.fence == last_fence + 1
        return is_next and self.voters.is_fresh and self.voters.includes(claimant) and self.may_vote(claim.role, now)
