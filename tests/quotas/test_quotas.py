"""Simulated edges and cores enforce tenants' quotas consistently, with and without faults."""

import pytest

from harness.experiments.allowances import play_turn
from sumachook.configuration.capacity import Capacity
from tests.quotas.quota_fixtures import SECOND, QuotaSimulator, tenant

EDGES = [f"edge-{place}" for place in range(1, 9)]


def violations(simulator, name="shops", stranded=0.0, but=(), span=None, **state):
    """Returns the violations that the invariant checker finds for one tenant."""
    invariant_checker = simulator.invariant_checker(name)
    return [
        *invariant_checker.ceiling_violations(simulator.runs(name), **state),
        *invariant_checker.floor_violations(simulator.asked(name, but), stranded, span),
    ]


def admitted_requests(simulator, name="shops", **span):
    return [call for call in simulator.of(name, **span) if call.ran_at is not None]


# without faults -------------------------------------------------------------------


@pytest.mark.parametrize("edges", [1, 4, 16])
@pytest.mark.parametrize("rate", [3.0, 15.0])
def test_requests_within_the_quota_are_admitted_without_delay(edges, rate):
    """Given a tenant below its quota whose requests arrive at any edge, all are admitted, each within 20 ms."""
    simulator = QuotaSimulator([tenant(requests_per_s=20.0)], edges)
    simulator.offer("shops", rate, 20).run(21)
    calls = simulator.of("shops")
    assert len(calls) > rate * 14 and not any(call.is_refused for call in calls)
    assert max(call.answered_at - call.at for call in calls) < SECOND / 50 and violations(simulator) == []


@pytest.mark.parametrize("edges", [1, 4, 16])
def test_overload_from_all_edges_is_admitted_up_to_the_ceiling(edges):
    """Given ten times the quota over all edges, the total admitted stays at the ceiling, each edge admits in proportion
    to its traffic, and every denial carries the tenant, its recent usage and a retry delay."""
    simulator = QuotaSimulator([tenant(requests_per_s=40.0)], edges)
    simulator.offer("shops", 400.0, 10).run(11)
    calls, ran = simulator.of("shops"), admitted_requests(simulator)
    assert 0.9 * 40 * 10 < len(ran) <= 40 * 10 + 80 and violations(simulator) == []
    shares = [sum(call.edge == node.name for call in ran) for node in simulator.edges]
    assert min(shares) > 0.5 * len(ran) / edges and max(shares) < 1.7 * len(ran) / edges, shares
    refused = [call for call in calls if call.is_refused]
    assert len(refused) + len(ran) == len(calls)
    assert all(
        0.1 <= call.retry_delay_s <= 30
        and call.denial_fields["tenant"] == "shops"
        and call.denial_fields["allowance"]["requestsPerS"] == 40
        for call in refused
    )
    late = [call for call in refused if call.at > simulator.now - 8 * SECOND]
    assert all(
        4 < call.retry_delay_s < 14 for call in late
    )  # nine of ten requests are denied: serving them takes nine seconds
    assert any(30 <= call.denial_fields["used"]["requestsPerS"] <= 60 for call in late)


@pytest.mark.parametrize(
    "figures, tokens", [({"requests_per_s": 40.0}, 0), ({"requests_per_s": None, "tokens_per_s": 4000.0}, 100)]
)
def test_busy_and_quiet_edges_admit_the_same_fraction_of_requests(figures, tokens):
    """Given an overload of which one edge of four receives three quarters, all edges admit about the same fraction."""
    simulator = QuotaSimulator([tenant(**figures)], 4)
    simulator.offer("shops", 300.0, 20, ["edge-1"], tokens=tokens).offer(
        "shops", 100.0, 20, EDGES[1:4], tokens=tokens
    ).run(21)
    calls = simulator.of("shops", simulator.now - 19 * SECOND)
    parts = [
        sum(call.ran_at is not None for call in calls if call.edge == name) / sum(call.edge == name for call in calls)
        for name in EDGES[:4]
    ]
    assert 0.08 < min(parts) and max(parts) < 0.13, parts
    assert violations(simulator) == []


def test_all_edges_deny_within_half_a_second_above_the_ceiling_and_admit_again_below_it():
    """Given a tenant with almost no burst that goes from half its ceiling to ten times it on eight edges at once, half a
    second later every edge denies and the total admitted stays at the ceiling. Half a second after the load falls below
    the ceiling again, no request is denied."""
    simulator = QuotaSimulator([tenant(requests_per_s=80.0, burst_s=0.05)], 8)
    simulator.offer("shops", 40.0, 5, is_even=True).run(5)
    assert not any(call.is_refused for call in simulator.of("shops", simulator.now - 3 * SECOND))
    started_at = simulator.now
    simulator.offer("shops", 800.0, 3, is_even=True).run(3)
    late = simulator.of("shops", started_at + SECOND / 2)
    first = {
        node.name: min(
            call.answered_at for call in simulator.of("shops", started_at) if call.edge == node.name and call.is_refused
        )
        for node in simulator.edges
    }
    assert max(first.values()) - started_at < SECOND / 2, first
    assert sum(not call.is_refused for call in late) <= 80 * 2.5 * 1.1
    below = simulator.now
    simulator.offer("shops", 40.0, 3, is_even=True).run(3)
    assert [call for call in simulator.of("shops", below + SECOND / 2) if call.is_refused] == []
    assert violations(simulator) == []


@pytest.mark.parametrize("seed", [75, 1, 2])
def test_prefetched_leases_leave_half_of_the_budget_for_other_edges(seed):
    """Given a tenant whose load drops from ten times its ceiling to half of it, leases prefetched by one edge do not
    starve another: both transitions finish well within half a second."""
    _, up, down = play_turn(seed)
    assert up < SECOND * 0.3 and down < SECOND * 0.4


def test_denials_are_immediate_and_do_not_each_cost_a_lease_request():
    """Given a tenant far above its ceiling, no decision takes longer than one round trip to the issuer, and a denial
    suppresses lease requests for the requests that follow it."""
    simulator = QuotaSimulator([tenant(requests_per_s=10.0)], 4)
    simulator.offer("shops", 800.0, 5).run(6)
    assert simulator.lease_request_count < 6 * 4 * 35
    assert max(call.answered_at - call.at for call in simulator.of("shops")) < SECOND / 40


def test_leases_follow_traffic_that_moves_between_edges():
    """Given a tenant at three quarters of its quota, with a floor of 0.9, on one edge, on all, then on another, none is denied."""
    simulator = QuotaSimulator([tenant(requests_per_s=40.0, floor=0.9)], 8)
    simulator.offer("shops", 30.0, 6, ["edge-1"]).run(6)
    simulator.offer("shops", 30.0, 6).run(6)
    simulator.offer("shops", 30.0, 6, ["edge-5"]).run(7)
    assert sum(call.is_refused for call in simulator.of("shops")) == 0 and violations(simulator) == []


# several tenants --------------------------------------------------------------------


def test_overloaded_tenants_are_each_limited_to_their_own_ceiling():
    """Given two tenants at ten times their quotas and a third within its floor, each of the two is admitted up to its
    ceiling, and the third is never denied."""
    simulator = QuotaSimulator([tenant("shops", 20.0), tenant("audits", 5.0), tenant("stamps", 10.0, floor=1.0)], 4)
    for name, rate in (("shops", 200.0), ("audits", 50.0), ("stamps", 6.0)):
        simulator.offer(name, rate, 12)
    simulator.run(13)
    assert (
        0.85 * 240 < len(admitted_requests(simulator, "shops")) <= 280
        and 0.85 * 60 < len(admitted_requests(simulator, "audits")) <= 70
    )
    assert not any(call.is_refused for call in simulator.of("stamps"))
    assert all(violations(simulator, name) == [] for name in ("shops", "audits", "stamps"))


def test_floors_take_precedence_when_ceilings_exceed_the_capacity():
    """Given a capacity of 30 requests per second and two tenants whose ceilings each equal it, a flood of one leaves the
    other its floor; while the other sends nothing, the first may use the whole capacity."""
    tenants = [tenant("shops", 30.0, floor=0.5, burst_s=0.2), tenant("audits", 30.0, floor=0.3, burst_s=0.2)]
    simulator = QuotaSimulator(tenants, 4, capacity=Capacity(requests_per_s=30.0))
    simulator.offer("audits", 300.0, 20)
    simulator.run(10)
    alone = len(admitted_requests(simulator, "audits", since=simulator.now - 8 * SECOND))
    started_at = simulator.now
    simulator.offer("shops", 13.0, 9, is_even=True).run(10)
    assert alone > 0.85 * 30 * 8
    assert not any(call.is_refused for call in simulator.of("shops"))
    beside = list(admitted_requests(simulator, "audits", since=started_at + SECOND, until=started_at + 9 * SECOND))
    assert len(beside) < 8 * (30 - 13) * 1.25 and len(beside) > 8 * 9 * 0.9
    assert violations(simulator, "shops") == []


def test_yielding_requests_run_and_are_not_charged():
    """Given a tenant that yields above its ceiling, no request is denied, and those above it are marked as yielding."""
    simulator = QuotaSimulator([tenant("audits", 5.0, over_ceiling="yield")], 4)
    simulator.offer("audits", 50.0, 8).run(9)
    calls = simulator.of("audits")
    assert all(call.ran_at is not None for call in calls)
    assert 0.8 * 40 < sum(not call.is_yielding for call in calls) <= 50 and violations(simulator, "audits") == []


# tokens -----------------------------------------------------------------------------


def test_estimated_token_charges_are_corrected_by_actual_output():
    """Given requests that may produce 1,000 tokens and produce 100, and a burst that covers the estimates of all running
    requests, the token quota admits by actual output. By estimates alone, seven of eight requests would be denied."""
    simulator = QuotaSimulator([tenant(requests_per_s=None, tokens_per_s=2000.0, burst_s=8.0)], 4)
    simulator.run(5).offer("shops", 16.0, 30, tokens=100, estimate=1000, takes=0.5).run(32)
    calls = simulator.of("shops")
    assert sum(call.is_refused for call in calls) < 0.02 * len(calls)
    assert violations(simulator) == []


def test_requests_beyond_the_token_quota_are_denied():
    """Given requests that use all their estimated tokens, at four times the quota, a quarter is admitted. A request larger
    than the burst waits for a full bucket and leaves it negative."""
    simulator = QuotaSimulator([tenant(requests_per_s=None, tokens_per_s=2000.0)], 4)
    simulator.offer("shops", 16.0, 20, tokens=500, takes=0.3).run(21)
    assert (
        0.8 * 2000 * 20 < sum(call.tokens for call in admitted_requests(simulator)) < 1.2 * 2000 * 20
        and violations(simulator) == []
    )
    simulator.run(3)
    big = simulator.send("shops", "edge-1", 5000)
    simulator.run(0.1)
    after = simulator.send("shops", "edge-2", 10)
    simulator.run(1.0)
    still = simulator.send("shops", "edge-2", 10)
    simulator.run(1.0)
    free = simulator.send("shops", "edge-2", 10)
    simulator.run(0.1)
    assert [call.is_refused for call in (big, after, still, free)] == [False, True, True, False]


# faults -----------------------------------------------------------------------------


@pytest.mark.parametrize("rate", [8.0, 300.0])
def test_starting_restarting_and_killing_edges_does_not_change_the_admitted_rate(rate):
    """Given a tenant within its floor, or far above its ceiling, while edges start, restart and crash, it is admitted
    neither more nor less than before."""
    simulator = QuotaSimulator([tenant(requests_per_s=20.0)], 4)
    simulator.offer("shops", rate, 24)
    for place in range(5, 9):
        simulator.run(1.5)
        simulator.start(f"edge-{place}")
    for name in EDGES[:4]:
        simulator.run(1)
        simulator.kill(name)
        simulator.run(0.5)
        simulator.start(name)
    for name in EDGES[4:7]:
        simulator.run(1)
        simulator.kill(name)
    simulator.run(12)
    assert violations(simulator) == []
    if rate < 10:
        assert not any(call.is_refused for call in simulator.of("shops"))


@pytest.mark.parametrize("edges", [1, 4, 8])
def test_without_an_issuer_the_floor_is_admitted_on_any_edge_and_no_more(edges):
    """Given that the issuer was killed, a tenant within its floor on a single edge is never denied, since the other edges
    lend it their parts. A tenant far above its ceiling on all edges gets about its floor until there is an issuer again."""
    low_load = QuotaSimulator([tenant(requests_per_s=40.0)], edges)
    low_load.offer("shops", 15.0, 20, ["edge-1"])
    low_load.run(5)
    low_load.kill("core-1")
    low_load.run(16)
    assert (
        not any(call.is_refused for call in low_load.of("shops"))
        and max(call.answered_at - call.at for call in low_load.of("shops")) < SECOND * 0.6
    )
    assert violations(low_load, changes=1, is_disturbed=True, stranded=edges) == []
    overload = QuotaSimulator([tenant(requests_per_s=40.0, burst_s=0.5)], edges)
    overload.offer("shops", 400.0, 20)
    overload.run(5)
    killed_at = overload.now
    overload.kill("core-1")
    overload.run(16)
    vacant = admitted_requests(overload, since=killed_at + SECOND, until=killed_at + 4 * SECOND)
    assert 0.7 * 3 * 20 < len(vacant) <= 3 * 20 * 1.1 + edges, len(vacant)
    after = admitted_requests(overload, since=killed_at + 8 * SECOND, until=killed_at + 14 * SECOND)
    assert len(after) > 0.85 * 6 * 40
    assert violations(overload, changes=1, is_disturbed=True, stranded=edges) == []


def test_isolated_edge_admits_its_part_of_the_floor():
    """Given one edge of four that is isolated and receives a whole overload, it admits its part of the floor only."""
    simulator = QuotaSimulator([tenant(requests_per_s=40.0, burst_s=0.5)], 4)
    simulator.offer("shops", 200.0, 12, ["edge-1"])
    simulator.run(2)
    simulator.cut(["edge-1"], [name for name in simulator.nodes if name != "edge-1"])
    started_at = simulator.now
    simulator.run(8)
    inside = admitted_requests(simulator, since=started_at + SECOND)
    assert 0.7 * 7 * 5 < len(inside) <= 7 * 5 + 4, len(inside)
    healed = simulator.now
    simulator.heal()
    simulator.run(2)
    assert len(admitted_requests(simulator, since=healed + SECOND / 2)) > 30 * 1.2


def test_network_partition_divides_the_floor_and_never_doubles_the_ceiling():
    """Given four edges of eight partitioned from the issuer and an overload on both sides, the total admitted is at most
    the ceiling plus the floor's part of the edges without an issuer."""
    simulator = QuotaSimulator([tenant(requests_per_s=40.0, burst_s=0.5)], 8)
    simulator.offer("shops", 400.0, 16)
    simulator.run(3)
    simulator.cut(EDGES[4:], [name for name in simulator.nodes if name not in EDGES[4:]])
    started_at = simulator.now
    simulator.run(10)
    both = admitted_requests(simulator, since=started_at + SECOND, until=started_at + 9 * SECOND)
    assert len(both) <= 8 * (40 + 10) * 1.08 and len([call for call in both if call.edge in EDGES[4:]]) > 8 * 10 * 0.8
    simulator.heal()
    simulator.run(4)
    assert violations(simulator, is_disturbed=True, stranded=8) == []


def test_frozen_issuer_grants_nothing_to_buffered_requests():
    """Given an issuer that freezes, loses its duty and resumes with lease requests in its buffer, it grants none of them."""
    simulator = QuotaSimulator([tenant(requests_per_s=20.0)], 4)
    simulator.offer("shops", 100.0, 14)
    simulator.run(3)
    simulator.freeze("core-1")
    simulator.lose_holder()
    simulator.run(6)
    assert simulator.holder not in (None, "core-1")
    before = simulator.nodes["core-1"].machine.fence
    simulator.wake("core-1")
    assert (
        before == 1 and simulator.nodes["core-1"].machine.fence == 0 and simulator.nodes["core-1"].machine.budgets == {}
    )
    simulator.run(6)
    assert violations(simulator, changes=1, is_disturbed=True, stranded=4) == []


def test_leases_of_a_frozen_edge_have_expired_when_it_resumes():
    """Given an edge that freezes for over a second with leases and buffered requests, on resuming it spends none of these
    leases and does not return them."""
    simulator = QuotaSimulator([tenant(requests_per_s=100.0, burst_s=0.2)], 2)
    simulator.offer("shops", 80.0, 4, ["edge-1"])
    simulator.run(3)
    quota = simulator.nodes["edge-1"].machine.quotas["shops"]
    leases = list(quota.leases)
    assert quota.available[0] >= 1 and leases
    simulator.freeze("edge-1")
    simulator.run(1.2)
    simulator.wake("edge-1")
    assert not [lease for lease in leases if lease in quota.leases] and quota.returned.requests == 0
    assert all(lease.expires_at > simulator.now for lease in quota.leases)
    simulator.run(2)
    assert violations(simulator, stranded=4) == [] or violations(simulator, is_disturbed=True, stranded=100) == []


def test_new_issuer_starts_with_the_burst_of_the_floor():
    """Given issuers lost one after the other under overload, each new one adds at most the burst of the floor."""
    simulator = QuotaSimulator([tenant(requests_per_s=40.0, burst_s=2.0, floor=0.25)], 4)
    simulator.offer("shops", 400.0, 40)
    for _ in range(3):
        simulator.run(4)
        simulator.lose_holder(SECOND)
    simulator.run(20)
    assert len(simulator.changes) == 3
    assert violations(simulator, changes=2, is_disturbed=True, stranded=4) == []


def test_new_issuer_does_not_grant_the_full_burst_again():
    """Given a tenant with a burst of five seconds that it has used up, in its first second a new issuer grants only the
    burst of the floor plus the regular rate."""
    simulator = QuotaSimulator([tenant(requests_per_s=40.0, burst_s=5.0, floor=0.25)], 4)
    simulator.offer("shops", 400.0, 25)
    simulator.run(15)
    simulator.lose_holder(SECOND)
    simulator.run(1)
    started_at = simulator.now
    simulator.run(3)
    ran = admitted_requests(simulator, since=started_at, until=started_at + SECOND)
    assert 40 < len(ran) <= 50 + 40 + 20, len(ran)


def test_restart_of_all_nodes_under_overload_stays_within_the_bound():
    """Given all edges and cores killed at once and restarted under overload, the admitted requests stay within the bound."""
    simulator = QuotaSimulator([tenant(requests_per_s=40.0)], 4)
    simulator.offer("shops", 400.0, 20)
    simulator.run(5)
    for name in list(simulator.nodes):
        simulator.kill(name)
    simulator.run(1)
    for name in list(simulator.nodes):
        simulator.start(name)
    simulator.run(15)
    assert (
        len(simulator.changes) == 1
        and len(admitted_requests(simulator, since=simulator.now - 6 * SECOND)) > 0.85 * 5 * 40
    )
    assert violations(simulator, changes=1, is_disturbed=True, stranded=4) == []


def test_amounts_lent_to_another_edge_are_not_spent_twice():
    """Given no issuer and an overload on one edge of eight, the amounts that the others lend are withdrawn from their own
    parts: all edges together admit the floor."""
    simulator = QuotaSimulator([tenant(requests_per_s=40.0, burst_s=0.5)], 8)
    simulator.run(2)
    killed_at = simulator.now
    simulator.kill("core-1")
    simulator.offer("shops", 400.0, 4, ["edge-1"])
    simulator.run(1)
    simulator.offer("shops", 400.0, 3, ["edge-2"])
    simulator.run(3)
    ran = admitted_requests(simulator, since=killed_at + SECOND)
    assert 0.5 * 3 * 20 < len(ran) <= 3 * 20 + 10 + 8, len(ran)


# configuration changes --------------------------------------------------------------


def test_changed_quota_takes_effect_within_half_a_second():
    """Given an overload, a quota that is halved and then quadrupled limits the admitted rate half a second later. A
    tenant whose quota is removed is no longer limited, and all its pending requests are answered."""
    simulator = QuotaSimulator([tenant(requests_per_s=40.0, burst_s=0.5)], 4)
    simulator.offer("shops", 300.0, 19)
    simulator.run(5)
    for figure in (20.0, 80.0):
        simulator.configure([tenant(requests_per_s=figure, burst_s=0.5)])
        started_at = simulator.now
        simulator.run(5)
        ran = admitted_requests(simulator, since=started_at + SECOND / 2, until=started_at + 4.5 * SECOND)
        assert 0.85 * 4 * figure < len(ran) < 1.15 * 4 * figure + 2, (figure, len(ran))
    simulator.configure([])
    started_at = simulator.now
    simulator.run(5)
    assert not any(call.is_refused for call in simulator.of("shops", started_at + SECOND / 2)) and all(
        call.answered_at for call in simulator.calls
    )


def test_requests_of_a_new_tenant_are_answered_before_all_nodes_know_it():
    """Given a catalogue that reaches the issuer before or after the edges, each request is answered within 0.5 s."""
    simulator = QuotaSimulator([tenant(requests_per_s=40.0)], 4)
    simulator.offer("shops", 30.0, 10)
    simulator.offer("audits", 30.0, 10)
    simulator.run(3)
    simulator.configure([tenant(requests_per_s=40.0), tenant("audits", 40.0)], spread=1.5)
    simulator.run(8)
    assert all(call.answered_at and call.answered_at - call.at < SECOND * 0.5 for call in simulator.calls)
    assert violations(simulator) == []


# observability ----------------------------------------------------------------------


def test_issuer_warns_only_of_a_tenant_that_stays_at_its_ceiling():
    """Given one tenant above its ceiling for 60 s, one for 10 s and one never, the issuer logs one warning, for the first
    tenant, and no second one within a minute."""
    simulator = QuotaSimulator([tenant("shops", 10.0), tenant("audits", 10.0), tenant("stamps", 10.0)], 2)
    simulator.offer("shops", 40.0, 60).offer("audits", 40.0, 10).offer("stamps", 5.0, 60).run(61)
    warnings = [
        (at, detail["tenant"])
        for at, _, level, part, _, detail in simulator.logs
        if (level, part) == ("warning", "allowance")
    ]
    assert [name for _, name in warnings] == ["shops"], warnings


def test_lease_requests_are_few_under_load_and_stop_without_traffic():
    """Given 200 requests per second over eight edges, far fewer lease requests are sent, and almost none without traffic."""
    simulator = QuotaSimulator([tenant(requests_per_s=400.0)], 8)
    simulator.offer("shops", 200.0, 10).run(10)
    assert simulator.lease_request_count < 200 * 10 * 0.7
    simulator.run(3)
    before = simulator.lease_request_count
    simulator.run(10)
    assert simulator.lease_request_count - before < 8
