"""Replicas without a vote (learners), and their announcements to the voters."""

from datetime import timedelta

import msgspec

from sumachook.consensus.messages import Announcement
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.timing import (
    ANNOUNCE_AFTER,
    ANNOUNCE_INTERVAL,
    LEARNER_TIMEOUT,
    MAX_LEARNERS,
    MIN_LEARNER_PRESENCE,
)
from sumachook.consensus.views import Role
from sumachook.host.effects import Effect, Send


class Learner(msgspec.Struct, frozen=True):
    """A replica without a vote: its address, and when it was first and last heard."""

    address: str
    first_at: timedelta
    last_at: timedelta


class Learners:
    """Tracks learners that announce themselves; announces this replica if it is no voter or may have been removed."""

    __slots__ = ("state", "by_name", "next_announcement_at")

    def __init__(self, state: ReplicaState, now: timedelta) -> None:
        self.state, self.next_announcement_at = state, now
        self.by_name: dict[str, Learner] = {}

    def on_announcement(self, sender: str, message: Announcement, now: timedelta) -> list[Effect]:
        """Records a learner's announcement; a member also forwards it to the leader, which the learner may not know."""
        state = self.state
        if state.is_blank or message.replica in state.voting_members.addresses:
            return []
        self.record(message.replica, message.address, now)
        is_relay = state.is_member and sender == message.replica and state.leader_address is not None
        return [Send(state.leader_address, message)] if is_relay and state.leader_address else []

    def record(self, name: str, address: str, now: timedelta) -> None:
        """Records that a learner was heard; another identity at the same address replaces the previous one."""
        first_at = self.by_name[name].first_at if name in self.by_name else now
        self.by_name = {
            other: item
            for other, item in self.by_name.items()
            if now - item.last_at < LEARNER_TIMEOUT and item.address != address
        }
        if len(self.by_name) < MAX_LEARNERS:
            self.by_name[name] = Learner(address, first_at, now)

    def record_all(self, addresses: dict[str, str], now: timedelta) -> None:
        """Records the learners that the previous leader reported in `TakeOver`, as heard now."""
        for name, address in addresses.items():
            if name != self.state.name:
                self.record(name, address, now)

    def present(self, now: timedelta) -> dict[str, str]:
        """Returns the addresses of learners heard within `LEARNER_TIMEOUT`, by name; the longest known come first."""
        voters = self.state.voting_members.addresses
        recent = [
            (item.first_at, name)
            for name, item in self.by_name.items()
            if now - item.last_at < LEARNER_TIMEOUT and name not in voters
        ]
        return {name: self.by_name[name].address for _, name in sorted(recent)}

    def stable(self, now: timedelta) -> dict[str, str]:
        """Returns the present learners that have been heard over at least `MIN_LEARNER_PRESENCE`."""
        present = self.present(now)
        return {name: address for name, address in present.items() if self._is_stable(self.by_name[name])}

    @staticmethod
    def _is_stable(item: Learner) -> bool:
        return item.last_at - item.first_at >= MIN_LEARNER_PRESENCE

    def superseded(self, now: timedelta) -> set[str]:
        """Returns the voters whose address is used by a learner with another identity, so their disk is lost."""
        learner_addresses = set(self.stable(now).values())
        voting_members = self.state.voting_members
        others = {
            name: address
            for name, address in voting_members.addresses.items()
            if name not in (self.state.name, voting_members.joining)
        }
        return {name for name, address in others.items() if address in learner_addresses}

    def tick(self, cores: tuple[str, ...], now: timedelta) -> list[Effect]:
        """Announces this replica to all known cores while it is no voter, or possibly removed, and hears no leader."""
        state = self.state
        if now < self.next_announcement_at or state.is_leaving or state.role is Role.LEADING:
            return []
        is_outside = not state.is_voter and now - state.leader_heard_at > ANNOUNCE_AFTER
        if not is_outside and not state.may_be_removed(now):
            return []
        self.next_announcement_at = now + ANNOUNCE_INTERVAL
        addresses = dict.fromkeys((*cores, *state.other_voters.values()))
        message = Announcement(state.name, state.address, state.is_blank)
        return [Send(address, message) for address in addresses if address != state.address]
