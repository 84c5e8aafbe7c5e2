"""The account of one holder of peers' bytes: a connection, a call to a server, or the frames for another node."""

from collections.abc import Callable
from datetime import timedelta
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sumachook.memory.budget import MemoryBudget

HALF_LIFE_S = 1.0  # bytes moved this long ago count half when stalls are compared
MOVED_FLOOR_BYTES = 1024  # moved bytes below this count alike, so that stalled accounts are compared by what they hold
EVICTION_TIMEOUT = timedelta(seconds=2)  # bytes of evicted holders are released before, unless one hangs


class Purpose(IntEnum):
    """What reserved bytes are for; the purposes of large ones have ceilings.

    `BODY`: long bodies of requests and orders. `ANSWER`: long answers of servers. `SMALL`: connections, heads, short
    bodies and answers, and frames between nodes.
    """

    BODY = 0
    ANSWER = 1
    SMALL = 2


class Account:
    """Bytes that one holder has reserved, by purpose, and how many it moved lately."""

    __slots__ = (
        "budget",
        "kind",
        "held_bytes",
        "is_ending",
        "is_waiting",
        "_evict",
        "_by_purpose",
        "_moved",
        "_moved_at",
    )

    def __init__(self, budget: "MemoryBudget", kind: str, evict: Callable[[], int] | None) -> None:
        self.budget = budget
        self.kind = kind
        self.held_bytes = 0
        self.is_ending = False  # evicted: what it holds is released soon
        self.is_waiting = False  # for memory: it cannot move anything until it gets some
        self._evict = evict
        self._by_purpose = [0] * len(Purpose)
        self._moved = 0.0
        self._moved_at = budget.clock()

    # reservations ---------------------------------------------------------------------

    def hold(self, count: int, purpose: Purpose) -> None:
        """Counts bytes that are already in memory, whether they fit or not; makes room if they don't."""
        self._add(count, purpose)
        if self.budget.is_exceeded:
            self.budget.make_room(0, Purpose.SMALL)

    def try_reserve(self, count: int, purpose: Purpose) -> bool:
        """Reserves the bytes if they fit now; returns whether they did."""
        if not self.budget.fits(count, purpose):
            return False
        self._add(count, purpose)
        return True

    async def reserve(self, count: int, purpose: Purpose, at_most: timedelta) -> bool:
        """Reserves the bytes, after evictions if they don't fit; returns False if no room is found in time.

        If nobody can be evicted, it waits up to `at_most` for bytes to be released, behind those that wait already.
        """
        budget = self.budget
        if not budget.waiting[purpose] and self.try_reserve(count, purpose):
            return True
        if budget.may_ever_fit(count):
            if budget.make_room(count, purpose):
                if not budget.waiting[purpose] and self.try_reserve(count, purpose):
                    return True
                at_most = max(at_most, EVICTION_TIMEOUT)
            self.is_waiting = True
            try:
                if at_most and await budget.wait(self, count, purpose, at_most):
                    return True
            finally:
                self.is_waiting = False
        budget.note_refusal(purpose)
        return False

    def held_for(self, purpose: Purpose) -> int:
        """Returns the bytes held for one purpose."""
        return self._by_purpose[purpose]

    def release(self, count: int, purpose: Purpose) -> None:
        """Gives back reserved bytes."""
        self.held_bytes -= count
        self._by_purpose[purpose] -= count
        self.budget.remove(count, purpose, self.is_ending)

    def shrink_to(self, count: int) -> None:
        """Gives back everything but `count` bytes held for `Purpose.SMALL`, which a resting connection keeps."""
        self.release_purpose(Purpose.BODY)
        self.release_purpose(Purpose.ANSWER)
        self.shrink_small(count)

    def shrink_small(self, count: int) -> int:
        """Gives back what is held for `Purpose.SMALL` beyond `count` bytes; returns how many bytes that is."""
        excess = max(0, self._by_purpose[Purpose.SMALL] - count)
        if excess:
            self.release(excess, Purpose.SMALL)
        return excess

    def release_purpose(self, purpose: Purpose) -> None:
        """Gives back all bytes that are reserved for one purpose."""
        if count := self._by_purpose[purpose]:
            self.release(count, purpose)

    def close(self) -> None:
        """Gives back everything and forgets the account."""
        for purpose in Purpose:
            self.release_purpose(purpose)
        self.budget.close(self)

    def _add(self, count: int, purpose: Purpose) -> None:
        self.held_bytes += count
        self._by_purpose[purpose] += count
        self.budget.add(count, purpose)
        if self.is_ending:
            self.budget.ending_bytes += count
        self.note_moved(count)  # a new reservation counts as moved: its holder had no time yet

    # progress -------------------------------------------------------------------------

    def note_moved(self, count: int) -> None:
        """Records that bytes came from the peer or went to it."""
        now = self.budget.clock()
        self._moved = self._moved_lately(now) + count
        self._moved_at = now

    def _moved_lately(self, now: float) -> float:
        return self._moved * float(0.5 ** ((now - self._moved_at) / HALF_LIFE_S))

    def stall(self, now: float) -> float:
        """Returns the bytes held for each byte moved lately: 1 for a new holder, and more the longer it is still."""
        return self.held_bytes / (self._moved_lately(now) + MOVED_FLOOR_BYTES)

    # eviction -------------------------------------------------------------------------

    @property
    def may_be_evicted(self) -> bool:
        """Whether the holder can be ended and has not been yet; one that waits with nothing large is left alone."""
        if self._evict is None or self.is_ending:
            return False
        return not self.is_waiting or self.held_bytes > self._by_purpose[Purpose.SMALL]

    def evict_holder(self) -> int:
        """Ends the holder, or the part of it that may be ended now; returns how many bytes are freed, perhaps later."""
        if self._evict is None or self.is_ending:
            return 0
        held = self.held_bytes
        freed = self._evict()
        if freed and freed >= held:
            self.is_ending = True
            self.budget.ending_bytes += self.held_bytes
        return freed
