"""Tests the leases of singleton roles: never two holders at once, and a fast failover if servers check fencing tokens."""

from datetime import timedelta

from sumachook.leases.timing import ORDER_TIMEOUT
from tests.leases.lease_deployment import MS, VOTERS, LeaseDeployment, run_random_faults


def _with_holder(seed: int, is_fenced: bool = True) -> tuple[LeaseDeployment, str]:
    """Returns a deployment in which a voter holds the role, and the name of that voter."""
    deployment = LeaseDeployment(seed, is_fenced)
    deployment.run(timedelta(seconds=4))
    return deployment, deployment.last_holder


def test_never_two_holders_at_once_with_fencing():
    """Under one-way cuts, freezes, restarts and delayed messages and changes, at most one voter may have a valid lease."""
    changes = sum(len(run_random_faults(seed, True).tenures) for seed in range(60))
    assert changes > 120  # the holder changed often enough to test this


def test_orders_of_two_holders_are_apart_by_the_turn_gap_without_fencing():
    """Under random faults, if servers check no fencing tokens, no two leases may be valid at once.

    Between the last moment of one holder and the first of the next, the timeout of an order and `turn_gap` must pass.
    """
    changes = 0
    for seed in range(120):
        gap = timedelta(seconds=3 * (seed % 2))
        tenures = run_random_faults(seed, False, gap).tenures
        changes += len(tenures) - 1
        for former, successor in zip(tenures, tenures[1:]):
            assert successor.first - former.last >= ORDER_TIMEOUT + gap, (seed, former, successor)
    assert changes > 60  # the holder changed often enough to test this


def test_frozen_holder_is_replaced_within_two_seconds():
    """The role of a frozen holder becomes vacant after 1.1 s, and the voters elect another holder.

    In this simulation a change is committed as soon as its proposal arrives.
    """
    waits = []
    for seed in range(20):
        deployment, holder = _with_holder(seed)
        deployment.lead_another()
        deployment.run(MS * 300)
        deployment.frozen, frozen_at = {holder}, deployment.now
        deployment.run(timedelta(seconds=5))
        waits.append(deployment.tenures[-1].first - frozen_at)
        assert deployment.last_holder != holder
    assert max(waits) < timedelta(seconds=2.2) and sorted(waits)[len(waits) // 2] < timedelta(seconds=2)


def test_released_role_is_lost_at_once_and_soon_acquired_by_another_voter():
    """A holder that quits must lose the role at once, and another voter must hold it within 1.2 s."""
    deployment, holder = _with_holder(3)
    deployment.quit(holder)
    assert not deployment.holds(holder)
    start = deployment.now
    deployment.run(timedelta(seconds=1.5))
    assert deployment.last_holder != holder
    assert deployment.tenures[-1].first - start < timedelta(seconds=1.2)


def test_lease_lasts_from_when_its_renewal_was_sent():
    """A lease must expire a second after its last renewal was sent, however late the acknowledgements arrive.

    Here the round trip of a renewal takes 0.6 s, and then all messages of the holder are lost.
    """
    for seed in range(5):
        deployment, holder = _with_holder(seed)
        deployment.lead_another()
        deployment.delay = lambda: MS * 300
        deployment.run(timedelta(seconds=3))
        assert deployment.holds(holder)
        deployment.cuts = {(holder, voter) for voter in VOTERS}
        deployment.run(timedelta(seconds=1))
        assert not deployment.holds(holder), seed


def test_acknowledgements_after_a_role_was_released_do_not_restore_the_lease():
    """A holder that quits while renewals are in flight must not hold the role again when acknowledgements arrive before
    the vacancy is committed.
    """
    deployment, holder = _with_holder(3)
    deployment.delay = lambda: MS * 300
    deployment.run(timedelta(seconds=2))
    assert deployment.holds(holder)
    deployment.quit(holder)
    for _ in range(60):
        assert not deployment.holds(holder)
        deployment.run(MS * 10)


def test_without_fencing_a_successor_waits_for_lease_order_timeout_and_clock_drift():
    """If servers check no fencing tokens, a frozen holder must not be replaced within four seconds, but within seven."""
    deployment, holder = _with_holder(4, is_fenced=False)
    deployment.lead_another()
    deployment.run(MS * 500)
    deployment.frozen = {holder}
    deployment.run(timedelta(seconds=4))
    assert deployment.last_holder == holder
    deployment.run(timedelta(seconds=3))
    assert deployment.last_holder != holder
