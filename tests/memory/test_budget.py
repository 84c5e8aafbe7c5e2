"""Memory budget: reservations, ceilings, and the end of whoever holds most and moves least (docs/design/memory.md)."""

import asyncio
from datetime import timedelta

import pytest

from sumachook.memory.account import Purpose
from sumachook.memory.budget import MEBIBYTE, MemoryBudget

TOTAL = 10 * MEBIBYTE
SECOND = timedelta(seconds=1)
NO_TIME = timedelta(0)


class Holder:
    """A holder of bytes that releases them as soon as it is evicted, unless it must not be."""

    def __init__(self, budget, count=0, purpose=Purpose.BODY, may_end=True):
        self.may_end, self.is_evicted = may_end, False
        self.account = budget.open("holder", self._evict)
        if count:
            assert self.account.try_reserve(count, purpose)

    def _evict(self):
        if not self.may_end:
            return 0
        self.is_evicted, freed = True, self.account.held_bytes
        self.account.close()
        return freed


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def budget(clock):
    return MemoryBudget(TOTAL, clock)


def reserve(budget, count, purpose=Purpose.BODY, at_most=NO_TIME):
    """Reserves bytes for a new holder; returns whether it got them, and the holder."""
    holder = Holder(budget)
    return asyncio.run(holder.account.reserve(count, purpose, at_most)), holder


def test_bodies_and_answers_leave_a_quarter_for_everything_small(budget):
    """Bodies may hold half of the budget, bodies and answers together three quarters, small requests the rest."""
    Holder(budget, 4 * MEBIBYTE, Purpose.BODY)
    assert not budget.fits(2 * MEBIBYTE, Purpose.BODY) and budget.fits(MEBIBYTE, Purpose.BODY)
    Holder(budget, 3 * MEBIBYTE, Purpose.ANSWER)
    assert not budget.fits(MEBIBYTE, Purpose.BODY) and not budget.fits(MEBIBYTE, Purpose.ANSWER)
    assert budget.fits(3 * MEBIBYTE, Purpose.SMALL) and not budget.fits(3 * MEBIBYTE + 1, Purpose.SMALL)


def test_a_single_body_above_the_ceiling_is_admitted(budget):
    """A body larger than the ceiling is admitted while no other is held, so that no legal size is refused in calm."""
    assert budget.fits(9 * MEBIBYTE, Purpose.BODY)
    Holder(budget, MEBIBYTE, Purpose.BODY)
    assert not budget.fits(5 * MEBIBYTE, Purpose.BODY)


def test_nobody_is_evicted_without_pressure(budget, clock):
    """A holder that moves nothing for an hour is left alone while everything fits."""
    holder = Holder(budget, 4 * MEBIBYTE)
    clock.now += 3600
    assert reserve(budget, MEBIBYTE)[0] and not holder.is_evicted


def test_new_holders_are_not_evicted_for_a_newer_one(budget):
    """While all holders are new, a body that finds no room is refused and counted."""
    holders = [Holder(budget, MEBIBYTE) for _ in range(5)]
    assert not reserve(budget, MEBIBYTE)[0]
    assert not any(holder.is_evicted for holder in holders) and budget.refusals["body"] == 1


def test_holder_that_stalls_most_is_evicted_for_a_new_one(budget, clock):
    """Of holders of equal size, the one that moved nothing lately makes room; those that move stay."""
    holders = [Holder(budget, MEBIBYTE) for _ in range(5)]
    for _ in range(5):
        clock.now += 1
        for holder in holders[1:]:
            holder.account.note_moved(MEBIBYTE // 4)
    assert reserve(budget, MEBIBYTE)[0]
    assert [holder.is_evicted for holder in holders] == [True, False, False, False, False]
    assert budget.evictions["holder"] == 1


def test_holder_of_more_bytes_is_evicted_first(budget, clock):
    """Of holders that have stalled equally long, the one that holds most makes room."""
    small, large = Holder(budget, MEBIBYTE), Holder(budget, 4 * MEBIBYTE)
    clock.now += 10
    assert reserve(budget, MEBIBYTE)[0] and large.is_evicted and not small.is_evicted


def test_long_bodies_do_not_push_out_resting_connections(budget, clock):
    """A body that exceeds the ceiling of bodies evicts a body that stalls, not a resting connection or an answer."""
    connection, answer = Holder(budget, 12 << 10, Purpose.SMALL), Holder(budget, MEBIBYTE, Purpose.ANSWER)
    clock.now += 100
    Holder(budget, 5 * MEBIBYTE)
    assert not reserve(budget, MEBIBYTE)[0] and not connection.is_evicted and not answer.is_evicted


def test_small_reservation_evicts_any_holder_that_stalls(budget, clock):
    """When the whole budget is used, a small request finds room at the cost of the holder that stalls most."""
    body, connections = Holder(budget, 4 * MEBIBYTE), [Holder(budget, MEBIBYTE, Purpose.SMALL) for _ in range(6)]
    clock.now += 10
    assert reserve(budget, 20 << 10, Purpose.SMALL)[0]
    assert body.is_evicted and not any(holder.is_evicted for holder in connections)


def test_holder_that_must_not_end_is_passed_over(budget, clock):
    """A holder whose request the state machine has is not ended; the next one that stalls is."""
    kept, other = Holder(budget, 3 * MEBIBYTE, may_end=False), Holder(budget, 2 * MEBIBYTE)
    clock.now += 10
    assert reserve(budget, MEBIBYTE)[0] and other.is_evicted and not kept.is_evicted


def test_bytes_that_are_in_memory_already_are_counted_and_make_room(budget, clock):
    """Bytes that were received before they could be reserved are counted even if they don't fit; a stalled holder ends."""
    body = Holder(budget, 5 * MEBIBYTE)
    clock.now += 10
    Holder(budget).account.hold(6 * MEBIBYTE, Purpose.SMALL)
    assert body.is_evicted and budget.held_bytes == 6 * MEBIBYTE


def test_fresh_holders_are_evicted_once_the_budget_is_overdrawn(budget, clock):
    """Beyond a tenth over the budget, holders are ended after a fraction of a second; below, they are not."""
    holders = [Holder(budget, MEBIBYTE, Purpose.SMALL) for _ in range(10)]
    clock.now += 0.5
    newcomer = Holder(budget).account
    newcomer.hold(MEBIBYTE // 2, Purpose.SMALL)
    assert not any(holder.is_evicted for holder in holders)
    clock.now += 0.1
    newcomer.hold(MEBIBYTE, Purpose.SMALL)
    assert any(holder.is_evicted for holder in holders) and not all(holder.is_evicted for holder in holders)


def test_waiting_reservations_are_granted_in_order(budget):
    """Reservations that wait get the bytes that are released, the first one first."""

    async def scenario():
        held, granted = Holder(budget, 5 * MEBIBYTE, Purpose.ANSWER, may_end=False), []

        async def wait(number, count):
            assert await Holder(budget).account.reserve(count, Purpose.ANSWER, 5 * SECOND)
            granted.append(number)

        tasks = [asyncio.create_task(wait(number, count)) for number, count in ((1, 4 * MEBIBYTE), (2, MEBIBYTE))]
        await asyncio.sleep(0)
        held.account.release(2 * MEBIBYTE, Purpose.ANSWER)
        await asyncio.sleep(0)
        assert granted == []
        held.account.release(3 * MEBIBYTE, Purpose.ANSWER)
        await asyncio.gather(*tasks)
        return granted

    assert asyncio.run(scenario()) == [1, 2]


def test_reservation_that_waits_too_long_is_refused(clock):
    """A reservation that gets no room within its time is refused, and leaves no trace in the queue."""
    budget = MemoryBudget(TOTAL)

    async def scenario():
        Holder(budget, 5 * MEBIBYTE, Purpose.ANSWER, may_end=False)
        is_granted = await Holder(budget).account.reserve(MEBIBYTE, Purpose.ANSWER, timedelta(seconds=0.05))
        return is_granted, [len(queue) for queue in budget.waiting]

    assert asyncio.run(scenario()) == (False, [0, 0, 0])


def test_bytes_that_never_fit_are_refused_at_once(budget):
    """A reservation above the whole budget does not wait."""
    assert not reserve(budget, TOTAL + 1, at_most=3600 * SECOND)[0]


def test_closed_account_gives_everything_back(budget, clock):
    """After all accounts are closed, nothing is held for any purpose, also by one that was evicted before."""
    holders = [Holder(budget, MEBIBYTE, purpose) for purpose in Purpose]
    holders[0].may_end = False
    clock.now += 10
    for holder in holders:
        holder.account.close()
    assert budget.held_bytes == budget.ending_bytes == 0 and budget.held_by_purpose == [0, 0, 0]
    assert budget.accounts == set() and budget.peak_bytes == 3 * MEBIBYTE
