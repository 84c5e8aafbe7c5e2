"""Graceful shutdown of a replica: leadership handover and replacement before the process exits."""

from datetime import timedelta

from sumachook.consensus.effects import Departed
from sumachook.consensus.leader import Leader
from sumachook.consensus.messages import Heartbeat, LeavingNoted, ReplicaLeaving, TakeOver
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.timing import HANDOVER_TIMEOUT, LEAVING_INTERVAL
from sumachook.consensus.views import Role
from sumachook.host.effects import Effect, Send


class Departure:
    """Hands over leadership, asks to be replaced, and emits `Departed` once no data depends on this replica."""

    __slots__ = ("state", "leader", "begun_at", "next_notice_at", "will_be_replaced", "has_departed")

    def __init__(self, state: ReplicaState, leader: Leader) -> None:
        self.state, self.leader = state, leader
        self.begun_at: timedelta | None = None
        self.next_notice_at: timedelta | None = None
        self.will_be_replaced: bool | None = None
        self.has_departed = False

    def begin(self, now: timedelta) -> list[Effect]:
        """Starts the shutdown; a blank replica, which knows no voting members, departs at once."""
        if self.begun_at is not None:
            return []
        self.state.is_leaving = True
        self.begun_at = self.next_notice_at = now
        if self.state.is_blank:
            return self._depart()
        return self.tick(now)

    def tick(self, now: timedelta) -> list[Effect]:
        """Hands over leadership, or resends `ReplicaLeaving` to the leader every `LEAVING_INTERVAL`."""
        state, is_leaving = self.state, self.begun_at is not None and not self.has_departed
        if state.role is Role.LEADING and (is_leaving or self._is_removed()):
            return self._hand_over(now)
        if not is_leaving:
            return []
        if self.next_notice_at is not None and now < self.next_notice_at:
            return []
        self.next_notice_at = now + LEAVING_INTERVAL
        address = state.leader_address
        if address is None or state.leader == state.name or state.leader_timed_out(now):
            return []
        return [Send(address, ReplicaLeaving(state.name))]

    def _is_removed(self) -> bool:
        """Whether a committed change has removed this replica from the voters; a leader may commit its own removal."""
        state = self.state
        return not state.is_voter and state.log.last_voting_members_change <= state.committed

    def _hand_over(self, now: timedelta) -> list[Effect]:
        """Releases the lease and sends `TakeOver` to the best member, so that the election needs no timeout."""
        state, acked = self.state, self.leader.progress.acked
        reachable = [name for name in state.members if name in state.other_voters and state.has_heard(name, now)]
        is_settled = self.leader.is_idle() and state.committed == state.log.end
        if not reachable or not (is_settled or now - (self.begun_at or now) > HANDOVER_TIMEOUT):
            return []
        best = max(reachable, key=lambda name: (acked.get(name, 0), name))
        address = state.voting_members.addresses.get(best)
        if address is None:
            return []
        self.leader.lease.invalidate()
        state.back_off(now)
        log_line = state.log_line("info", "Leadership handed over to another replica.", replica=best)
        return [log_line, Send(address, TakeOver(state.view, state.view, self.leader.learners.present(now)))]

    def on_leaving_noted(self, message: LeavingNoted) -> list[Effect]:
        """Records whether the leader has a learner that can replace this replica."""
        self.will_be_replaced = message.has_replacement
        return []

    def on_heartbeat(self, message: Heartbeat, now: timedelta) -> list[Effect]:
        """Departs once a leader with a lease has committed all local entries in a view without this replica."""
        state = self.state
        if self.begun_at is None or self.has_departed or not message.has_lease or message.view < state.followed:
            return []
        is_outside = state.name not in message.members and state.role is Role.IDLE
        has_no_extra_entries = state.log.end <= message.committed
        if not is_outside or not has_no_extra_entries:
            return []
        voting_members = state.voting_members
        is_replaced = voting_members.leaving == state.name and voting_members.joining in message.members
        if is_replaced or not state.is_voter or self.will_be_replaced is False:
            return self._depart()
        return []

    def _depart(self) -> list[Effect]:
        self.has_departed = True
        return [Departed()]


def record_leaving(
    state: ReplicaState, message: ReplicaLeaving, address: str, has_replacement: bool, now: timedelta
) -> list[Effect]:
    """Records at the leader that a voter is leaving, and replies with `LeavingNoted`."""
    if state.role is not Role.LEADING:
        return []
    state.leaving_heard_at[message.replica] = now
    return [Send(address, LeavingNoted(has_replacement))]
