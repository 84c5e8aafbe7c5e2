"""The voter role: a replica's responses to candidates and to leaders that hand over or step down."""

from datetime import timedelta

from sumachook.consensus.candidate import Candidate
from sumachook.consensus.events import PromiseSynced
from sumachook.consensus.messages import Prepare, PreVote, PreVoteGranted, Promise, TakeOver, Yield
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.storage import promise_record
from sumachook.consensus.timing import SILENCE_TIMEOUT
from sumachook.consensus.views import NO_VIEW, Role
from sumachook.host.effects import Effect, Send


class Voter:
    """Grants pre-votes, makes promises, and starts an election when asked to take over."""

    __slots__ = ("state", "candidate")

    def __init__(self, state: ReplicaState, candidate: Candidate) -> None:
        self.state, self.candidate = state, candidate

    def on_pre_vote(self, sender: str, address: str, message: PreVote, now: timedelta) -> list[Effect]:
        """Grants a pre-vote if the candidate's log is no worse, no leader is active and no lease binds this replica."""
        state = self.state
        # A leader that requests a pre-vote does not lead any more.
        has_other_leader = sender != state.leader and not state.leader_timed_out(now)
        if state.role is Role.LEADING or has_other_leader or not self._accepts_candidate(sender, now):
            return []
        start = 0 if state.guard.permits(sender, NO_VIEW, now) else state.guard.run_number
        is_bound = not start and not state.guard.permits(sender, NO_VIEW, now)
        if is_bound or (state.view, state.log.end) > (message.installed, message.end):
            return []
        return [Send(address, PreVoteGranted(message.view, message.token, start))]

    def on_prepare(self, sender: str, address: str, message: Prepare, now: timedelta) -> list[Effect]:
        """Persists a promise for the candidate's view, unless a higher one was promised or a lease forbids it."""
        state, view = self.state, message.view
        if view < state.promised or (view == state.promised and state.view == view):
            return []
        if state.name not in message.voters or not self._accepts_candidate(sender, now):
            return []
        if not state.guard.permits(sender, message.released, now, message.start):
            return []
        if view > state.promised:  # a resent `Prepare` must not postpone other elections again
            state.leader_heard_at = now
            state.next_election_at = now + SILENCE_TIMEOUT + timedelta(seconds=state.random.uniform(0.1, 0.5))
        state.promised, state.role, state.leader = view, Role.IDLE, None
        return [state.append_records((promise_record(view),), PromiseSynced(view, address))]

    def on_promise_synced(self, event: PromiseSynced) -> list[Effect]:
        """Sends a durable promise to the candidate, with a description of the local log."""
        state, log = self.state, self.state.log
        if event.view != state.promised:
            return []
        digest = log.digest_at(log.end) or b""
        promise = Promise(event.view, state.view, state.delivered, log.end, digest, log.base + 1)
        return [Send(event.address, promise)]

    def on_take_over(self, sender: str, message: TakeOver, now: timedelta) -> list[Effect]:
        """Starts an election on behalf of a leaving leader or of a candidate with a worse log."""
        state = self.state
        if state.role in (Role.LEADING, Role.PREPARING, Role.INSTALLING) or not state.is_voter:
            return []
        state.guard.release(message.released)
        if message.view < state.promised or not state.guard.permits(sender, message.released, now):
            return []
        state.highest_view_number = max(state.highest_view_number, message.view.number)
        return self.candidate.start(now, suspected=set(), released=message.released)

    def on_yield(self, sender: str, message: Yield, now: timedelta) -> list[Effect]:
        """Treats the leader as timed out, because it has stepped down, so that an election can start at once."""
        state = self.state
        state.guard.release(message.view)
        if sender == state.leader and message.view == state.view and state.role is Role.MEMBER:
            state.leader_heard_at, state.next_election_at = now - SILENCE_TIMEOUT * 1.01, now
        return []

    def _accepts_candidate(self, sender: str, now: timedelta) -> bool:
        state = self.state
        return (
            not state.voting_members.addresses or sender in state.voting_members.addresses or state.may_be_removed(now)
        )
