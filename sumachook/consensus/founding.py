"""Creation of a new group by blank replicas, which know of no voting members."""

from datetime import timedelta
from typing import NamedTuple

from sumachook.consensus.candidate import Candidate
from sumachook.consensus.messages import Announcement
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.storage import entries_record
from sumachook.consensus.timing import ANNOUNCE_INTERVAL, LEARNER_TIMEOUT
from sumachook.consensus.views import NO_VIEW
from sumachook.host.effects import Effect, Send
from sumachook.transport.codec import pack_entry

FOUNDERS = 3


class _BlankReplica(NamedTuple):
    """Name of another blank replica, and when its last announcement arrived."""

    name: str
    heard_at: timedelta


class Founding:
    """Announces a blank replica to every known core; three blank replicas configured as founders create a group."""

    __slots__ = ("state", "candidate", "blank_replicas", "next_announcement_at")

    def __init__(self, state: ReplicaState, candidate: Candidate, now: timedelta) -> None:
        self.state, self.candidate, self.next_announcement_at = state, candidate, now
        self.blank_replicas: dict[str, _BlankReplica] = {}  # the other blank replicas, by address

    def on_announcement(self, message: Announcement, now: timedelta) -> None:
        """Records the announcement of another blank replica."""
        if message.is_blank:
            self.blank_replicas[message.address] = _BlankReplica(message.replica, now)

    def tick(self, cores: tuple[str, ...], now: timedelta) -> list[Effect]:
        """Resends the announcement, and creates the group once all founders are present."""
        if now < self.next_announcement_at:
            return []
        state, self.next_announcement_at = self.state, now + ANNOUNCE_INTERVAL
        known = dict.fromkeys((*state.founders, *cores))
        message = Announcement(state.name, state.address, True)
        out: list[Effect] = [Send(address, message) for address in known if address != state.address]
        return out + self._create_group(now)

    def _create_group(self, now: timedelta) -> list[Effect]:
        """Starts the first election at the founder with the lowest name, once all three founders are present."""
        state = self.state
        present = {
            address: name
            for address, (name, heard_at) in self.blank_replicas.items()
            if now - heard_at < LEARNER_TIMEOUT
        }
        present[state.address] = state.name
        founders = {present[address]: address for address in state.founders if address in present}
        is_complete = len(state.founders) == FOUNDERS and len(founders) == FOUNDERS
        if not is_complete or state.name != min(founders):
            return []
        state.log.extend([pack_entry(("found", founders))])
        state.synced = 0
        return self.candidate.start(now, set(), entries_record(NO_VIEW, 1, state.log.entries))
