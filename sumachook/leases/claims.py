"""Claims vacant roles for this voter."""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from sumachook.control_state.changes import AcquireRole
from sumachook.control_state.effects import ProposeChange
from sumachook.host.effects import Effect
from sumachook.leases.messages import ClaimLease, ClaimVote
from sumachook.leases.timing import (
    FIRST_WAIT_PER_ROLE_S,
    MAX_CLAIM_PAUSE_FACTOR,
    MAX_FIRST_WAIT_S,
    MIN_FIRST_WAIT_S,
    LeaseTiming,
)
from sumachook.leases.voters import Voters
from sumachook.leases.voting import Voting


@dataclass(slots=True)
class Claim:
    """This voter's claim of a vacant role: its fencing token, round, time of the next retry, and the votes for it."""

    fence: int
    round: int
    repeat_at: timedelta
    supporters: set[str] = field(default_factory=set)


class Claims:
    """Claims vacant roles in rounds until this voter gets a majority of the votes or another voter gets the role."""

    __slots__ = ("voters", "voting", "random", "timing", "by_role")

    def __init__(self, voters: Voters, voting: Voting, random: Random, timing: LeaseTiming) -> None:
        self.voters = voters
        self.voting = voting
        self.random = random
        self.timing = timing
        self.by_role: dict[str, Claim] = {}

    def claim(self, role: str, fence: int, now: timedelta) -> list[Effect]:
        """Starts or retries the claim of a vacant role under the next fencing token, `fence`."""
        claim = self.by_role.get(role)
        if claim is None or claim.fence != fence:
            self.by_role[role] = Claim(fence, 0, now + self._first_wait())
            return []
        if now < claim.repeat_at or not self.voting.may_vote(role, now):
            return []
        next_round = self.voting.vote_for_self(role, fence, claim.round)
        repeat_at = now + self.timing.claim_pause * self.random.uniform(1, MAX_CLAIM_PAUSE_FACTOR)
        self.by_role[role] = Claim(fence, next_round, repeat_at, {self.voters.name})
        return self.voters.send_to_others(ClaimLease(role, fence, next_round))

    def _first_wait(self) -> timedelta:
        """Returns a random delay before the first claim, longer for each role already held, to spread the roles."""
        jitter = self.random.uniform(MIN_FIRST_WAIT_S, MAX_FIRST_WAIT_S)
        return timedelta(seconds=jitter + FIRST_WAIT_PER_ROLE_S * len(self.voters.own_roles()))

    def on_vote(self, replica: str, vote: ClaimVote) -> list[Effect]:
        """Counts a vote for this voter's claim in its current round; proposes this voter as holder at a majority."""
        claim = self.by_role.get(vote.role)
        if claim is None or (claim.fence, claim.round) != (vote.fence, vote.round):
            return []
        holder, _ = self.voters.state.role_holders[vote.role]
        if holder or not self.voters.includes(replica):
            return []
        claim.supporters.add(replica)
        if len(claim.supporters) != self.voters.majority:
            return []
        return [ProposeChange(AcquireRole(vote.role, self.voters.name, vote.fence))]
