"""Reads that see everything acknowledged before they began (§4.8)."""

from datetime import timedelta
from typing import Any

import msgspec

from sumachook.consensus.effects import Effect, Readable, Send, Unreadable
from sumachook.consensus.leader import Leader
from sumachook.consensus.messages import ReadIndex, ReadIndexAnswer
from sumachook.consensus.state import NONCE_BITS, ReplicaState
from sumachook.consensus.timing import READ_LIMIT
from sumachook.consensus.views import Role


class _Read(msgspec.Struct, frozen=True):
    token: Any
    asked_at: timedelta
    leader: str
    must_deliver: int | None = None


class Reads:
    """A leader answers at once under a lease, a member once it has delivered what the leader had committed."""

    __slots__ = ("state", "leader", "last", "waiting")

    def __init__(self, state: ReplicaState, leader: Leader) -> None:
        self.state, self.leader = state, leader
        self.last = state.random.getrandbits(NONCE_BITS)  # an answer to the process before this one matches nothing
        self.waiting: dict[int, _Read] = {}

    def request(self, token: Any, now: timedelta) -> list[Effect]:
        state = self.state
        if self.leader.has_lease(now):
            return [Readable(token)]
        if not state.is_member or state.leader is None or state.leader_address is None or state.hears_no_leader(now):
            return [self._unreadable(token, now)]
        self.last += 1
        self.waiting[self.last] = _Read(token, now, state.leader)
        return [Send(state.leader_address, ReadIndex(self.last))]

    def on_read_index(self, address: str, message: ReadIndex, now: timedelta) -> list[Effect]:
        is_valid = self.leader.has_lease(now)
        return [Send(address, ReadIndexAnswer(message.token, self.state.committed, is_valid))]

    def on_answer(self, sender: str, message: ReadIndexAnswer, now: timedelta) -> list[Effect]:
        read = self.waiting.get(message.token)
        if read is None or read.leader != sender or read.must_deliver is not None:
            return []
        if not message.is_valid:
            del self.waiting[message.token]
            return [self._unreadable(read.token, now)]
        self.waiting[message.token] = msgspec.structs.replace(read, must_deliver=message.committed)
        return self.settle(now)

    def settle(self, now: timedelta) -> list[Effect]:
        """Answers what has been delivered far enough and what has waited too long."""
        out: list[Effect] = []
        for number, read in list(self.waiting.items()):
            if read.must_deliver is not None and self.state.delivered >= read.must_deliver:
                out.append(Readable(read.token))
            elif now - read.asked_at > READ_LIMIT:
                out.append(self._unreadable(read.token, now))
            else:
                continue
            del self.waiting[number]
        return out

    def _unreadable(self, token: Any, now: timedelta) -> Unreadable:
        state = self.state
        is_known = state.role is Role.MEMBER and state.leader != state.name and not state.hears_no_leader(now)
        return Unreadable(token, state.leader_address if is_known else None)
