"""Choice of the next change of the voting members: growth, replacement or removal."""

from datetime import timedelta
from typing import Any

from sumachook.consensus.learners import Learners
from sumachook.consensus.progress import Progress
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.timing import SILENCE_TIMEOUT
from sumachook.consensus.voting_members import majority_of

Change = tuple[Any, ...]


class Membership:
    """Chooses the next change of the voting members for an idle leader; each change must commit before the next.

    A replacement first makes the learner a voter in addition to the voter that it replaces (`VotingMembers.replacing`).
    The learner then joins the view, and only then is the old voter removed. A learner that fails in between is removed
    instead.
    """

    __slots__ = ("state", "learners", "progress")

    def __init__(self, state: ReplicaState, learners: Learners, progress: Progress) -> None:
        self.state, self.learners, self.progress = state, learners, progress

    def next_change(self, now: timedelta) -> Change | None:
        """Returns the next change of the voting members, or None if none is needed or possible."""
        state = self.state
        if state.log.last_voting_members_change > state.committed:
            return None
        if state.voting_members.is_joint:
            return self._end_replacement(now)
        ready = self._ready_learners(now)
        if not ready:
            return None
        name, address = next(iter(ready.items()))
        if self._can_grow(len(ready)):
            return ("seat-in", name, address)
        lost = self._voter_to_replace(now)
        if lost is None or state.voting_members.size < 3:
            return None
        return ("seat-replace", lost, name, address)

    def _ready_learners(self, now: timedelta) -> dict[str, str]:
        """Returns the learners that are steadily heard, caught up and not leaving; the longest known come first."""
        state, stable = self.state, self.learners.stable(now)
        return {
            name: address
            for name, address in stable.items()
            if self.progress.is_caught_up(name, now) and not state.is_known_leaving(name, now)
        }

    def _end_replacement(self, now: timedelta) -> Change | None:
        voting_members, state = self.state.voting_members, self.state
        if voting_members.joining in state.members:
            return ("seat-out", voting_members.leaving)
        if voting_members.joining is not None and not state.has_heard(voting_members.joining, now, SILENCE_TIMEOUT):
            return ("seat-out", voting_members.joining)
        return None

    def _can_grow(self, ready_count: int) -> bool:
        """Whether voters may be added: two at a time, or one if their number is even.

        The view must remain a majority of the enlarged group.
        """
        size, wanted = self.state.voting_members.size, self.state.options.wanted_voters
        is_uneven = size % 2 == 0 and size < wanted
        is_pair = size + 2 <= wanted and ready_count >= 2
        grown = size + 1 if is_uneven else size + 2
        return (is_uneven or is_pair) and len(self.state.members) >= majority_of(grown)

    def _voter_to_replace(self, now: timedelta) -> str | None:
        """Returns a voter with a lost disk, else a leaving one, else the longest absent beyond `replace_after`."""
        state, superseded = self.state, self.learners.superseded(now)
        absent_for = {
            name: now - state.heard_at.setdefault(name, now)
            for name in state.voting_members.addresses
            if name not in state.members
        }
        lost = [name for name in absent_for if name in superseded or absent_for[name] > state.options.replace_after]
        lost += [name for name in state.other_voters if state.is_known_leaving(name, now) and name not in lost]

        def urgency(name: str) -> tuple[bool, bool, timedelta, str]:
            return (name in superseded, state.is_known_leaving(name, now), absent_for.get(name, timedelta(0)), name)

        return max(lost, key=urgency, default=None)
