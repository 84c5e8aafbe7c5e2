"""Budget of the bytes that a process holds for its peers.

Every listener and client of the process draws on the same budget. A holder reserves bytes before it reads them and
releases them with the last one. Three purposes share the total: bodies of requests and answers of servers have
ceilings, so that a part is left for everything small: connections, heads, short bodies and answers, and frames between
nodes.

When a reservation does not fit, the holders that stall most are evicted first: those with the most bytes held for each
byte moved lately. Without pressure nobody is evicted, however slow.
"""

import asyncio
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from sumachook.memory.account import Account, Purpose

MEBIBYTE = 1 << 20
DEFAULT_MEMORY_MB = 300
# Part of the memory limit that peers' bytes may use; the rest is for the program, its state, and memory that Python and
# the C library return late.
BUDGET_FRACTION = 0.4
# Ceilings of the purposes as parts of the budget; together they leave a quarter for everything small.
CEILING_FRACTIONS = {Purpose.BODY: 0.5, Purpose.ANSWER: 0.5}
LARGE_FRACTION = 0.75
LARGE_BYTES = 128 << 10  # what an account must hold to be evicted for a long body or answer
# A reservation that does not fit frees a little more than it needs, so that the accounts are not compared for each one.
EVICTED_FRACTION = 0.02
MIN_STALL = 4.0  # stall of an account that may be evicted: it moved less than a quarter of what it holds lately
# Bytes that are in memory already may exceed the budget by this part of it; beyond, accounts are evicted sooner.
OVERDRAFT_FRACTION = 0.1
MIN_STALL_OVERDRAWN = 1.2
RETRY_INTERVAL_S = 0.25  # a waiting reservation looks again for stalled accounts, as stalls grow
FRUITLESS_INTERVAL_S = 0.05  # accounts are not compared again sooner after a comparison that found nobody to evict


@dataclass(frozen=True, slots=True, eq=False)
class Waiter:
    """A reservation that waits for bytes to be released; `granted` is set once they are reserved for the account."""

    account: Account
    count: int
    purpose: Purpose
    granted: "asyncio.Future[None]"


class MemoryBudget:
    """Counts the bytes held by all accounts, and evicts stalled ones when a reservation does not fit.

    Parameters
    ----------
    total_bytes
        The sum that all accounts may hold.
    clock
        Returns seconds; stalls are measured with it.
    """

    __slots__ = (
        "total_bytes",
        "held_bytes",
        "held_by_purpose",
        "peak_bytes",
        "ending_bytes",
        "accounts",
        "evictions",
        "refusals",
        "clock",
        "waiting",
        "_waiting_count",
        "_fruitless_until",
    )

    def __init__(self, total_bytes: int, clock: Callable[[], float] = time.monotonic) -> None:
        self.total_bytes = total_bytes
        self.held_bytes = 0
        self.held_by_purpose = [0] * len(Purpose)
        self.peak_bytes = 0
        self.ending_bytes = 0  # held by accounts that were evicted and have not released everything yet
        self.accounts: set[Account] = set()
        self.evictions: Counter[str] = Counter()  # by the kind of account
        self.refusals: Counter[str] = Counter()  # by the purpose
        self.clock = clock
        self._waiting_count = 0
        self.waiting: list[deque[Waiter]] = [deque() for _ in Purpose]  # by purpose
        self._fruitless_until = 0.0

    def open(self, kind: str, evict: Callable[[], int] | None = None) -> Account:
        """Returns a new account; `evict` ends its holder and returns the bytes freed, 0 if it must not be ended now."""
        account = Account(self, kind, evict)
        self.accounts.add(account)
        return account

    def close(self, account: Account) -> None:
        """Forgets an account that holds nothing."""
        self.accounts.discard(account)

    # reservations ---------------------------------------------------------------------

    def ceiling(self, purpose: Purpose) -> int:
        """Returns the most bytes that all accounts together may hold for the purpose."""
        return int(self.total_bytes * CEILING_FRACTIONS.get(purpose, 1.0))

    def fits(self, count: int, purpose: Purpose) -> bool:
        """Returns whether the bytes may be reserved now, without an eviction."""
        return (
            self._missing_in_total(count) <= 0
            and self._missing_in_purpose(count, purpose) <= 0
            and self._missing_for_large(count, purpose) <= 0
        )

    @property
    def is_exceeded(self) -> bool:
        """Whether more bytes are in memory than the budget allows."""
        return self.held_bytes > self.total_bytes

    def may_begin(self) -> bool:
        """Returns whether a request may begin: what is held fits, or will once stalled holders are evicted."""
        return not self.is_exceeded or self.make_room(0, Purpose.SMALL)

    def may_ever_fit(self, count: int) -> bool:
        """Returns whether the bytes fit into an empty budget."""
        return count <= self.total_bytes

    def add(self, count: int, purpose: Purpose) -> None:
        """Counts bytes that are held from now on."""
        self.held_bytes += count
        self.held_by_purpose[purpose] += count
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes

    def remove(self, count: int, purpose: Purpose, is_ending: bool) -> None:
        """Counts bytes that are no longer held, and wakes whoever waits for room."""
        self.held_bytes -= count
        self.held_by_purpose[purpose] -= count
        if is_ending:
            self.ending_bytes -= count
        if self._waiting_count:
            self._grant()

    def _missing_in_total(self, count: int) -> int:
        return self.held_bytes + count - self.total_bytes

    def _missing_in_purpose(self, count: int, purpose: Purpose) -> int:
        """Returns how many bytes exceed the ceiling; a purpose that holds nothing takes a reservation of any size."""
        if purpose is Purpose.SMALL or not self.held_by_purpose[purpose]:
            return 0
        return self.held_by_purpose[purpose] + count - self.ceiling(purpose)

    def _missing_for_large(self, count: int, purpose: Purpose) -> int:
        """Returns how many bytes exceed what all long bodies and answers may hold together."""
        if purpose is Purpose.SMALL or not self.held_by_purpose[purpose]:
            return 0
        large = sum(self.held_by_purpose[each] for each in CEILING_FRACTIONS)
        return large + count - int(self.total_bytes * LARGE_FRACTION)

    # pressure -------------------------------------------------------------------------

    def make_room(self, count: int, purpose: Purpose) -> bool:
        """Evicts stalled accounts until the bytes would fit; returns False if too little can be freed that way.

        The evicted accounts release their bytes when their connections are lost, some event loop iterations later.
        """
        in_purpose = self._missing_in_purpose(count, purpose) - self.ending_bytes
        for_large = self._missing_for_large(count, purpose) - self.ending_bytes
        missing = max(in_purpose, for_large, self._missing_in_total(count) - self.ending_bytes)
        if missing <= 0:
            return True
        now = self.clock()
        if now < self._fruitless_until:
            return False
        if in_purpose > 0:
            candidates = [account for account in self.accounts if account.held_for(purpose) > LARGE_BYTES]
        elif for_large > 0:
            candidates = [account for account in self.accounts if account.held_bytes > LARGE_BYTES]
        else:
            candidates = list(self.accounts)
        freed = self._evict(candidates, missing + int(self.total_bytes * EVICTED_FRACTION), now)
        if freed < missing:
            self._fruitless_until = now + FRUITLESS_INTERVAL_S
        return freed >= missing

    def _evict(self, candidates: list[Account], wanted: int, now: float) -> int:
        """Evicts accounts that stall, the worst first, until `wanted` bytes are freed; returns how many are."""
        is_overdrawn = self.held_bytes - self.ending_bytes > self.total_bytes * (1 + OVERDRAFT_FRACTION)
        min_stall = MIN_STALL_OVERDRAWN if is_overdrawn else MIN_STALL
        stalls = [
            (stall, number, account)
            for number, account in enumerate(candidates)
            if account.may_be_evicted and (stall := account.stall(now)) >= min_stall
        ]
        freed = 0
        for _, _, account in sorted(stalls, reverse=True):
            if freed_here := account.evict_holder():
                freed += freed_here
                self.note_eviction(account.kind)
            if freed >= wanted:
                break
        return freed

    def note_eviction(self, kind: str) -> None:
        """Counts a holder of this kind that was ended under pressure."""
        self.evictions[kind] += 1

    def note_refusal(self, purpose: Purpose) -> None:
        """Counts a reservation that was refused."""
        self.refusals[purpose.name.lower()] += 1

    # waiting --------------------------------------------------------------------------

    async def wait(self, account: Account, count: int, purpose: Purpose, at_most: timedelta) -> bool:
        """Waits until the bytes are reserved for the account, in order of arrival; returns False after `at_most`."""
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = Waiter(account, count, purpose, granted)
        queue = self.waiting[purpose]
        queue.append(waiter)
        self._waiting_count += 1
        until = self.clock() + at_most.total_seconds()
        try:
            while not granted.done() and (left := until - self.clock()) > 0:
                await asyncio.wait((granted,), timeout=min(left, RETRY_INTERVAL_S))
                if queue and queue[0] is waiter and self.make_room(count, purpose):
                    self._grant()
        finally:
            self._waiting_count -= 1
            if not granted.done():
                queue.remove(waiter)
                self._grant()
        return granted.done()

    def _grant(self) -> None:
        """Reserves bytes for those that wait, the first of each purpose first, as far as they fit."""
        for queue in self.waiting:
            while queue and queue[0].account.try_reserve(queue[0].count, queue[0].purpose):
                queue.popleft().granted.set_result(None)

    def describe(self) -> dict[str, object]:
        """Returns the budget's figures for the metrics, in bytes and counts."""
        return {
            "totalBytes": self.total_bytes,
            "heldBytes": self.held_bytes,
            "peakBytes": self.peak_bytes,
            "heldByPurpose": {
                purpose.name.lower(): held for purpose, held in zip(Purpose, self.held_by_purpose, strict=True)
            },
            "accounts": len(self.accounts),
            "evictions": dict(self.evictions),
            "refusals": dict(self.refusals),
        }


def budget_for(memory_mb: float, clock: Callable[[], float] = time.monotonic) -> MemoryBudget:
    """Returns the budget of a process whose machine has `memory_mb` MiB of memory.

    >>> budget_for(200).total_bytes // MEBIBYTE
    80
    """
    return MemoryBudget(int(memory_mb * MEBIBYTE * BUDGET_FRACTION), clock)
