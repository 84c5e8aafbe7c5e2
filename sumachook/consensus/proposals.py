"""Forwarding of proposed changes to the leader, in parts if they are large."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec

from sumachook.consensus.effects import RefusalReason, Refuse
from sumachook.consensus.leader import Leader
from sumachook.consensus.messages import Propose
from sumachook.consensus.state import NONCE_BITS, ReplicaState
from sumachook.consensus.timing import CHUNK_BYTES, MAX_PROPOSAL_BYTES, MAX_QUEUED_PROPOSALS, PROPOSAL_TIMEOUT
from sumachook.consensus.views import Role
from sumachook.host.effects import Effect, Send
from sumachook.transport.codec import as_tuples, pack_entry

PARTIAL_PROPOSAL_TIMEOUT = timedelta(seconds=5)  # an incomplete change is dropped after this time


def split_proposal(number: int, change: Any) -> Iterator[Propose]:
    """Splits an encoded change into `Propose` messages of at most `CHUNK_BYTES` each."""
    data = pack_entry(change)
    for offset in range(0, len(data), CHUNK_BYTES):
        yield Propose(number, offset, len(data), data[offset : offset + CHUNK_BYTES])


class _Partial(msgspec.Struct):
    number: int
    data: bytearray
    at: timedelta


class _Pending(NamedTuple):
    """A change that has been waiting for the next leader since `queued_at`."""

    change: Any
    queued_at: timedelta


class ProposalAssembler:
    """Reassembles changes from parts, one change per sender; a lost part drops it, and its sender proposes it again."""

    __slots__ = ("partial",)

    def __init__(self) -> None:
        self.partial: dict[str, _Partial] = {}

    def add_part(self, sender: str, part: Propose, now: timedelta) -> Any | None:
        """Adds a part and returns the decoded change after the last one, else None."""
        if part.total > MAX_PROPOSAL_BYTES:
            return None
        if part.offset == 0:
            self._drop_expired(now)
            self.partial[sender] = _Partial(part.number, bytearray(), now)
        partial = self.partial.get(sender)
        if partial is None or partial.number != part.number or len(partial.data) != part.offset:
            return None
        partial.data += part.data
        if len(partial.data) < part.total:
            return None
        del self.partial[sender]
        return as_tuples(msgspec.json.decode(bytes(partial.data)))

    def _drop_expired(self, now: timedelta) -> None:
        oldest = now - PARTIAL_PROPOSAL_TIMEOUT
        self.partial = {sender: item for sender, item in self.partial.items() if item.at > oldest}


class Proposals:
    """Forwards changes to the leader; without a leader they wait for one up to `PROPOSAL_TIMEOUT`."""

    __slots__ = ("state", "leader", "assembler", "number", "pending")

    def __init__(self, state: ReplicaState, leader: Leader) -> None:
        self.state, self.leader = state, leader
        self.assembler = ProposalAssembler()
        self.number = state.random.getrandbits(NONCE_BITS)  # random, so that parts from a previous process do not match
        self.pending: list[_Pending] = []

    def propose(self, change: Any, now: timedelta) -> list[Effect]:
        """Appends the change as leader, forwards it to the leader, or queues it until a leader is known."""
        if self._can_append():
            return self.leader.propose(change, now)
        if address := self._leader_address(now):
            self.number += 1
            return [Send(address, part) for part in split_proposal(self.number, change)]
        if len(self.pending) >= MAX_QUEUED_PROPOSALS:
            return [Refuse(change, RefusalReason.TOO_MANY)]
        self.pending.append(_Pending(change, now))
        return []

    def on_propose(self, sender: str, message: Propose, now: timedelta) -> list[Effect]:
        """Appends a change received from another replica; forwards it while leadership is being handed over."""
        change = self.assembler.add_part(sender, message, now)
        is_handing_over = self.state.is_leaving or self.state.role in (Role.PREPARING, Role.INSTALLING)
        if change is None or not (self._can_append() or is_handing_over):
            return []
        return self.propose(change, now)

    def process_pending(self, now: timedelta) -> list[Effect]:
        """Proposes queued changes again once a leader is known, and rejects those queued beyond `PROPOSAL_TIMEOUT`."""
        if not self.pending:
            return []
        if not self._can_append() and not self._leader_address(now):
            overdue = [change for change, queued_at in self.pending if now - queued_at > PROPOSAL_TIMEOUT]
            self.pending = [item for item in self.pending if now - item.queued_at <= PROPOSAL_TIMEOUT]
            return [Refuse(change, RefusalReason.NO_VIEW) for change in overdue]
        pending, self.pending = self.pending, []
        return [effect for change, _ in pending for effect in self.propose(change, now)]

    def _can_append(self) -> bool:
        return self.state.role is Role.LEADING and not self.state.is_leaving

    def _leader_address(self, now: timedelta) -> str | None:
        """Returns the address of another replica that leads and was heard within `SILENCE_TIMEOUT`, or None."""
        state = self.state
        is_other = state.leader is not None and state.leader != state.name and state.role in (Role.MEMBER, Role.IDLE)
        return state.leader_address if is_other and not state.leader_timed_out(now) else None
