"""View changes that a leader starts to remove failed members and to add healthy voters."""

from datetime import timedelta

from sumachook.consensus.candidate import Candidate
from sumachook.consensus.leader import Leader
from sumachook.consensus.learners import Learners
from sumachook.consensus.membership import Membership
from sumachook.consensus.progress import Progress
from sumachook.consensus.slow_members import SlowMembers
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.timing import LEARNER_DISCOVERY_TIME, REJOIN_AFTER, SILENCE_TIMEOUT, STEP_DOWN_AFTER
from sumachook.host.effects import Effect


class ViewMaintenance:
    """Removes silent, stalled and non-voting members from the view, and adds voters that have caught up."""

    __slots__ = ("state", "leader", "candidate", "learners", "membership", "progress", "slow_members")

    def __init__(
        self,
        state: ReplicaState,
        leader: Leader,
        candidate: Candidate,
        learners: Learners,
        membership: Membership,
        progress: Progress,
        slow_members: SlowMembers,
    ) -> None:
        self.state, self.leader, self.candidate = state, leader, candidate
        self.learners, self.membership = learners, membership
        self.progress, self.slow_members = progress, slow_members

    def tick(self, now: timedelta) -> list[Effect]:
        """Performs a leader's periodic work: view changes, heartbeats, resends and changes of the voting members."""
        if self.leader.is_disk_stalled(now):
            return self.leader.step_down("Own disk is stalled, leader is stepping down.", now)
        if out := self._remove_members(now):
            return out
        out = self.leader.tick(now)
        return out + (self._change_voting_members(now) or self._add_voter(now))

    # removal from the view

    def _remove_members(self, now: timedelta) -> list[Effect]:
        state = self.state
        superseded = self.learners.superseded(now)
        for name in state.members:
            if name == state.name:
                continue
            if name not in state.voting_members.addresses:
                if state.log.last_voting_members_change > state.committed and state.has_heard(name, now):
                    continue  # a live member may still sync its own removal
                return self._start_without({name}, "Starting a view without a removed replica.", now)
            if self._can_drop_leaving(name, now):
                return self._start_without({name}, "Starting a view without a leaving replica.", now)
            silence = now - state.heard_at[name]
            is_stalled = self.progress.is_stalled(name, now)
            if silence > SILENCE_TIMEOUT or is_stalled or name in superseded:
                remaining = self.leader.recently_heard(set(state.voting_members.addresses) - superseded - {name}, now)
                if state.voting_members.has_quorum(remaining):
                    self.slow_members.add(name, now)
                    lost = set(state.voting_members.addresses) - remaining
                    return self._start_without(lost, "Starting a view without failed replicas.", now)
            if silence > STEP_DOWN_AFTER or self.progress.ack_pending_for(name, now) > SILENCE_TIMEOUT * 3:
                return self.leader.step_down("No majority acknowledges entries, leader is stepping down.", now)
        return []

    def _can_drop_leaving(self, name: str, now: timedelta) -> bool:
        """Whether a leaving member can be dropped: no learner can replace it, and the other members are a quorum."""
        state = self.state
        if not state.is_known_leaving(name, now) or not self.leader.is_idle():
            return False
        is_replaceable = self.may_replace(now) or state.voting_members.is_joint
        remaining = self.leader.recently_heard(set(state.members) - {name}, now)
        return not is_replaceable and state.voting_members.has_quorum(remaining)

    def may_replace(self, now: timedelta) -> bool:
        """Whether a learner can replace a voter; a new leader assumes so for `LEARNER_DISCOVERY_TIME`."""
        return bool(self.learners.present(now)) or now - self.leader.leading_since < LEARNER_DISCOVERY_TIME

    def _start_without(self, lost: set[str], text: str, now: timedelta) -> list[Effect]:
        log_line = self.state.log_line("warning", text, replicas=sorted(lost))
        return [log_line, *self.candidate.start(now, lost)]

    # voting members and addition to the view

    def _change_voting_members(self, now: timedelta) -> list[Effect]:
        change = self.membership.next_change(now) if self.leader.is_idle() else None
        return [] if change is None else self.leader.propose(change, now)

    def _add_voter(self, now: timedelta) -> list[Effect]:
        """Starts a view with a voter outside the current one that is healthy for `REJOIN_AFTER` or newly a voter."""
        state = self.state
        if not self.leader.is_idle():
            return []
        for name in state.voting_members.addresses:
            if name in state.members or state.is_known_leaving(name, now):
                continue
            if self.slow_members.is_excluded(name, now) or not self._is_ready_to_join(name, now):
                continue
            log_line = state.log_line("info", "Starting a view with an additional replica.", replica=name)
            return [log_line, *self.candidate.start(now, set())]
        return []

    def _is_ready_to_join(self, name: str, now: timedelta) -> bool:
        if not self.state.has_heard(name, now) or not self.progress.is_caught_up(name, now):
            return False
        return self._is_new_voter(name) or self.progress.healthy_for(name, now) > REJOIN_AFTER

    def _is_new_voter(self, name: str) -> bool:
        """Whether the last change of the voting members made this replica a voter, or it is replacing another voter."""
        log, voting_members = self.state.log, self.state.voting_members
        before = (
            log.voting_members_history[-2].voting_members if len(log.voting_members_history) > 1 else voting_members
        )
        is_founder = not before.addresses
        return name == voting_members.joining or not is_founder and name not in before.addresses
