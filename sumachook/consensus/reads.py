"""Linearizable reads: a read sees every change acknowledged before it began."""

from datetime import timedelta
from typing import Any

import msgspec

from sumachook.consensus.effects import Readable, Unreadable
from sumachook.consensus.leader import Leader
from sumachook.consensus.messages import ReadIndex, ReadIndexAnswer
from sumachook.consensus.state import NONCE_BITS, ReplicaState
from sumachook.consensus.timing import READ_RETRY_INTERVAL, READ_TIMEOUT
from sumachook.consensus.views import Role
from sumachook.host.effects import Effect, Send


class _Read(msgspec.Struct):
    token: Any
    begun_at: timedelta
    leader: str | None = None  # the leader to which `ReadIndex` was sent
    sent_at: timedelta | None = None
    must_deliver: int | None = None


class Reads:
    """Answers reads: a leader with a lease at once, a follower once it has delivered all that the leader had committed.

    During a view change a read waits up to `READ_TIMEOUT` for the next leader.
    """

    __slots__ = ("state", "leader", "last", "waiting")

    def __init__(self, state: ReplicaState, leader: Leader) -> None:
        self.state, self.leader = state, leader
        self.last = state.random.getrandbits(NONCE_BITS)  # random, so that answers to a previous process do not match
        self.waiting: dict[int, _Read] = {}

    def request(self, token: Any, now: timedelta) -> list[Effect]:
        """Starts a read; answers at once if this replica holds the leader lease or has heard no leader."""
        if self.leader.has_lease(now):
            return [Readable(token)]
        if self.state.leader_timed_out(now):
            return [Unreadable(token, None)]
        self.last += 1
        read = self.waiting[self.last] = _Read(token, now)
        return self._ask(self.last, read, now)

    def _ask(self, number: int, read: _Read, now: timedelta) -> list[Effect]:
        """Sends `ReadIndex` to the leader, unless none is known or `READ_RETRY_INTERVAL` has not passed."""
        address = self._leader_address(now)
        if address is None or (read.sent_at is not None and now - read.sent_at < READ_RETRY_INTERVAL):
            return []
        read.leader, read.sent_at = self.state.leader, now
        return [Send(address, ReadIndex(number))]

    def _leader_address(self, now: timedelta) -> str | None:
        state = self.state
        is_other = state.leader not in (None, state.name) and state.role in (Role.MEMBER, Role.IDLE)
        return state.leader_address if is_other and not state.leader_timed_out(now) else None

    def on_read_index(self, address: str, message: ReadIndex, now: timedelta) -> list[Effect]:
        """Answers a follower's `ReadIndex`; the answer is valid only while this replica holds the leader lease."""
        is_valid = self.leader.has_lease(now)
        return [Send(address, ReadIndexAnswer(message.token, self.state.committed, is_valid))]

    def on_answer(self, sender: str, message: ReadIndexAnswer) -> list[Effect]:
        """Records the commit number that must be delivered before the read can be answered."""
        read = self.waiting.get(message.token)
        if read is not None and read.leader == sender and read.must_deliver is None and message.is_valid:
            read.must_deliver = message.committed
        return []

    def process_waiting(self, now: timedelta) -> list[Effect]:
        """Answers reads whose commit number is delivered, fails those past `READ_TIMEOUT`, and retries the others."""
        out: list[Effect] = []
        for number, read in list(self.waiting.items()):
            has_delivered = read.must_deliver is not None and self.state.delivered >= read.must_deliver
            if has_delivered or self.leader.has_lease(now):
                out.append(Readable(read.token))
            elif now - read.begun_at > READ_TIMEOUT or self.state.leader_timed_out(now):
                out.append(Unreadable(read.token, self._leader_address(now)))
            else:
                out += self._ask(number, read, now) if read.must_deliver is None else []
                continue
            del self.waiting[number]
        return out
