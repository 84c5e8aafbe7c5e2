"""Simulated edges and cores enforce tenants' quotas consistently, with and without faults."""

import pytest

from harness.experiments.allowances import play_turn
from sumachook.configuration.capacity import Capacity
from tests.quotas.quota_fixtures import SECOND, Offices, tenant

EDGES = [f"edge-{place}" for place in range(1, 9)]


def broken(offices, name="shops", stranded=0.0, but=(), span=None, **state):
    """Returns the violations that the invariant checker finds for one tenant."""
    invariant_checker = offices.invariant_checker(name)
    return [
        *invariant_checker.over(offices.runs(name), **state),
        *invariant_checker.short(offices.asked(name, but), stranded, span),
    ]


def let_in(offices, name="shops", **span):
    return [call for call in offices.of(name, **span) if call.ran_at is not None]


# without faults -------------------------------------------------------------------


@pytest.mark.parametrize("edges", [1, 4, 16])
@pytest.mark.parametrize("rate", [3.0, 15.0])
def test_requests_within_the_quota_are_admitted_without_delay(edges, rate):
    """Given a tenant below its quota whose requests arrive at any edge, all are admitted, each within 20 ms."""
    offices = Offices([tenant(requests_per_s=20.0)], edges)
    offices.offer("shops", rate, 20).run(21)
    calls = offices.of("shops")
    assert len(calls) > rate * 14 and not any(call.is_refused for call in calls)
    assert max(call.answered_at - call.at for call in calls) < SECOND / 50 and broken(offices) == []


@pytest.mark.parametrize("edges", [1, 4, 16])
def test_overload_from_all_edges_is_admitted_up_to_the_ceiling(edges):
    """Given ten times the quota over all edges, the total admitted stays at the ceiling, each edge admits in proportion
    to its traffic, and every denial carries the tenant, its recent usage and a retry delay."""
    offices = Offices([tenant(requests_per_s=40.0)], edges)
    offices.offer("shops", 400.0, 10).run(11)
    calls, ran = offices.of("shops"), let_in(offices)
    assert 0.9 * 40 * 10 < len(ran) <= 40 * 10 + 80 and broken(offices) == []
    shares = [sum(call.edge == node.name for call in ran) for node in offices.edges]
    assert min(shares) > 0.5 * len(ran) / edges and max(shares) < 1.7 * len(ran) / edges, shares
    refused = [call for call in calls if call.is_refused]
    assert len(refused) + len(ran) == len(calls)
    assert all(
        0.1 <= call.come_back <= 30 and call.note["tenant"] == "shops" and call.note["allowance"]["requestsPerS"] == 40
        for call in refused
    )
    late = [call for call in refused if call.at > offices.now - 8 * SECOND]
    assert all(
        4 < call.come_back < 14 for call in late
    )  # nine of ten are denied, which adds nine seconds to serve them
    assert any(30 <= call.note["used"]["requestsPerS"] <= 60 for call in late)


@pytest.mark.parametrize(
    "figures, tokens", [({"requests_per_s": 40.0}, 0), ({"requests_per_s": None, "tokens_per_s": 4000.0}, 100)]
)
def test_busy_and_quiet_edges_admit_the_same_fraction_of_requests(figures, tokens):
    """Given an overload of which one edge of four receives three quarters, all edges admit about the same fraction."""
    offices = Offices([tenant(**figures)], 4)
    offices.offer("shops", 300.0, 20, ["edge-1"], tokens=tokens).offer(
        "shops", 100.0, 20, EDGES[1:4], tokens=tokens
    ).run(21)
    calls = offices.of("shops", offices.now - 19 * SECOND)
    parts = [
        sum(call.ran_at is not None for call in calls if call.edge == name) / sum(call.edge == name for call in calls)
        for name in EDGES[:4]
    ]
    assert 0.08 < min(parts) and max(parts) < 0.13, parts
    assert broken(offices) == []


def test_all_edges_deny_within_half_a_second_above_the_ceiling_and_admit_again_below_it():
    """Given a tenant with almost no burst that goes from half its ceiling to ten times it on eight edges at once, half a
    second later every edge denies and the total admitted stays at the ceiling. Half a second after the load falls below
    the ceiling again, no request is denied."""
    offices = Offices([tenant(requests_per_s=80.0, burst_s=0.05)], 8)
    offices.offer("shops", 40.0, 5, is_even=True).run(5)
    assert not any(call.is_refused for call in offices.of("shops", offices.now - 3 * SECOND))
    begun = offices.now
    offices.offer("shops", 800.0, 3, is_even=True).run(3)
    late = offices.of("shops", begun + SECOND / 2)
    first = {
        node.name: min(
            call.answered_at for call in offices.of("shops", begun) if call.edge == node.name and call.is_refused
        )
        for node in offices.edges
    }
    assert max(first.values()) - begun < SECOND / 2, first
    assert sum(not call.is_refused for call in late) <= 80 * 2.5 * 1.1
    below = offices.now
    offices.offer("shops", 40.0, 3, is_even=True).run(3)
    assert [call for call in offices.of("shops", below + SECOND / 2) if call.is_refused] == []
    assert broken(offices) == []


@pytest.mark.parametrize("seed", [75, 1, 2])
def test_prefetched_leases_leave_half_of_the_budget_for_other_edges(seed):
    """Given a tenant whose load drops from ten times its ceiling to half of it, leases prefetched by one edge do not
    starve another: both transitions finish well within half a second."""
    _, up, down = play_turn(seed)
    assert up < SECOND * 0.3 and down < SECOND * 0.4


def test_denials_are_immediate_and_do_not_each_cost_a_lease_request():
    """Given a tenant far above its ceiling, no decision takes longer than one round trip to the issuer, and a denial
    suppresses lease requests for the requests that follow it."""
    offices = Offices([tenant(requests_per_s=10.0)], 4)
    offices.offer("shops", 800.0, 5).run(6)
    assert offices.asks < 6 * 4 * 35
    assert max(call.answered_at - call.at for call in offices.of("shops")) < SECOND / 40


def test_leases_follow_traffic_that_moves_between_edges():
    """Given a tenant at three quarters of its quota, with a floor of 0.9, on one edge, on all, then on another, none is denied."""
    offices = Offices([tenant(requests_per_s=40.0, floor=0.9)], 8)
    offices.offer("shops", 30.0, 6, ["edge-1"]).run(6)
    offices.offer("shops", 30.0, 6).run(6)
    offices.offer("shops", 30.0, 6, ["edge-5"]).run(7)
    assert sum(call.is_refused for call in offices.of("shops")) == 0 and broken(offices) == []


# several tenants --------------------------------------------------------------------


def test_overloaded_tenants_are_each_limited_to_their_own_ceiling():
    """Given two tenants at ten times their quotas and a third within its floor, each of the two is admitted up to its
    ceiling, and the third is never denied."""
    offices = Offices([tenant("shops", 20.0), tenant("audits", 5.0), tenant("stamps", 10.0, floor=1.0)], 4)
    for name, rate in (("shops", 200.0), ("audits", 50.0), ("stamps", 6.0)):
        offices.offer(name, rate, 12)
    offices.run(13)
    assert 0.85 * 240 < len(let_in(offices, "shops")) <= 280 and 0.85 * 60 < len(let_in(offices, "audits")) <= 70
    assert not any(call.is_refused for call in offices.of("stamps"))
    assert all(broken(offices, name) == [] for name in ("shops", "audits", "stamps"))


def test_floors_take_precedence_when_ceilings_exceed_the_capacity():
    """Given a capacity of 30 requests per second and two tenants whose ceilings each equal it, a flood of one leaves the
    other its floor; while the other sends nothing, the first may use the whole capacity."""
    tenants = [tenant("shops", 30.0, floor=0.5, burst_s=0.2), tenant("audits", 30.0, floor=0.3, burst_s=0.2)]
    offices = Offices(tenants, 4, capacity=Capacity(requests_per_s=30.0))
    offices.offer("audits", 300.0, 20)
    offices.run(10)
    alone = len(let_in(offices, "audits", since=offices.now - 8 * SECOND))
    begun = offices.now
    offices.offer("shops", 13.0, 9, is_even=True).run(10)
    assert alone > 0.85 * 30 * 8
    assert not any(call.is_refused for call in offices.of("shops"))
    beside = list(let_in(offices, "audits", since=begun + SECOND, until=begun + 9 * SECOND))
    assert len(beside) < 8 * (30 - 13) * 1.25 and len(beside) > 8 * 9 * 0.9
    assert broken(offices, "shops") == []


def test_yielding_requests_run_and_are_not_charged():
    """Given a tenant that yields above its ceiling, no request is denied, and those above it are marked as yielding."""
    offices = Offices([tenant("audits", 5.0, over_ceiling="yield")], 4)
    offices.offer("audits", 50.0, 8).run(9)
    calls = offices.of("audits")
    assert all(call.ran_at is not None for call in calls)
    assert 0.8 * 40 < sum(not call.is_yielding for call in calls) <= 50 and broken(offices, "audits") == []


# tokens -----------------------------------------------------------------------------


def test_estimated_token_charges_are_corrected_by_actual_output():
    """Given requests that may produce 1,000 tokens and produce 100, and a burst that covers the estimates of all running
    requests, the token quota admits by actual output. By estimates alone, seven of eight requests would be denied."""
    offices = Offices([tenant(requests_per_s=None, tokens_per_s=2000.0, burst_s=8.0)], 4)
    offices.run(5).offer("shops", 16.0, 30, tokens=100, estimate=1000, takes=0.5).run(32)
    calls = offices.of("shops")
    assert sum(call.is_refused for call in calls) < 0.02 * len(calls)
    assert broken(offices) == []


def test_requests_beyond_the_token_quota_are_denied():
    """Given requests that use all their estimated tokens, at four times the quota, a quarter is admitted. A request larger
    than the burst waits for a full bucket and leaves it negative."""
    offices = Offices([tenant(requests_per_s=None, tokens_per_s=2000.0)], 4)
    offices.offer("shops", 16.0, 20, tokens=500, takes=0.3).run(21)
    assert 0.8 * 2000 * 20 < sum(call.tokens for call in let_in(offices)) < 1.2 * 2000 * 20 and broken(offices) == []
    offices.run(3)
    big = offices.send("shops", "edge-1", 5000)
    offices.run(0.1)
    after = offices.send("shops", "edge-2", 10)
    offices.run(1.0)
    still = offices.send("shops", "edge-2", 10)
    offices.run(1.0)
    free = offices.send("shops", "edge-2", 10)
    offices.run(0.1)
    assert [call.is_refused for call in (big, after, still, free)] == [False, True, True, False]


# faults -----------------------------------------------------------------------------


@pytest.mark.parametrize("rate", [8.0, 300.0])
def test_starting_restarting_and_killing_edges_does_not_change_the_admitted_rate(rate):
    """Given a tenant within its floor, or far above its ceiling, while edges start, restart and crash, it is admitted
    neither more nor less than before."""
    offices = Offices([tenant(requests_per_s=20.0)], 4)
    offices.offer("shops", rate, 24)
    for place in range(5, 9):
        offices.run(1.5)
        offices.start(f"edge-{place}")
    for name in EDGES[:4]:
        offices.run(1)
        offices.kill(name)
        offices.run(0.5)
        offices.start(name)
    for name in EDGES[4:7]:
        offices.run(1)
        offices.kill(name)
    offices.run(12)
    assert broken(offices) == []
    if rate < 10:
        assert not any(call.is_refused for call in offices.of("shops"))


@pytest.mark.parametrize("edges", [1, 4, 8])
def test_without_an_issuer_the_floor_is_admitted_on_any_edge_and_no_more(edges):
    """Given that the issuer was killed, a tenant within its floor on a single edge is never denied, since the other edges
    lend it their parts. A tenant far above its ceiling on all edges gets about its floor until there is an issuer again."""
    quiet = Offices([tenant(requests_per_s=40.0)], edges)
    quiet.offer("shops", 15.0, 20, ["edge-1"])
    quiet.run(5)
    quiet.kill("core-1")
    quiet.run(16)
    assert (
        not any(call.is_refused for call in quiet.of("shops"))
        and max(call.answered_at - call.at for call in quiet.of("shops")) < SECOND * 0.6
    )
    assert broken(quiet, changes=1, is_disturbed=True, stranded=edges) == []
    loud = Offices([tenant(requests_per_s=40.0, burst_s=0.5)], edges)
    loud.offer("shops", 400.0, 20)
    loud.run(5)
    lost = loud.now
    loud.kill("core-1")
    loud.run(16)
    vacant = let_in(loud, since=lost + SECOND, until=lost + 4 * SECOND)
    assert 0.7 * 3 * 20 < len(vacant) <= 3 * 20 * 1.1 + edges, len(vacant)
    after = let_in(loud, since=lost + 8 * SECOND, until=lost + 14 * SECOND)
    assert len(after) > 0.85 * 6 * 40
    assert broken(loud, changes=1, is_disturbed=True, stranded=edges) == []


def test_isolated_edge_admits_its_part_of_the_floor():
    """Given one edge of four that is isolated and receives a whole overload, it admits its part of the floor only."""
    offices = Offices([tenant(requests_per_s=40.0, burst_s=0.5)], 4)
    offices.offer("shops", 200.0, 12, ["edge-1"])
    offices.run(2)
    offices.cut(["edge-1"], [name for name in offices.nodes if name != "edge-1"])
    begun = offices.now
    offices.run(8)
    inside = let_in(offices, since=begun + SECOND)
    assert 0.7 * 7 * 5 < len(inside) <= 7 * 5 + 4, len(inside)
    healed = offices.now
    offices.heal()
    offices.run(2)
    assert len(let_in(offices, since=healed + SECOND / 2)) > 30 * 1.2


def test_network_partition_divides_the_floor_and_never_doubles_the_ceiling():
    """Given four edges of eight partitioned from the issuer and an overload on both sides, the total admitted is at most
    the ceiling plus the floor's part of the edges without an issuer."""
    offices = Offices([tenant(requests_per_s=40.0, burst_s=0.5)], 8)
    offices.offer("shops", 400.0, 16)
    offices.run(3)
    offices.cut(EDGES[4:], [name for name in offices.nodes if name not in EDGES[4:]])
    begun = offices.now
    offices.run(10)
    both = let_in(offices, since=begun + SECOND, until=begun + 9 * SECOND)
    assert len(both) <= 8 * (40 + 10) * 1.08 and len([call for call in both if call.edge in EDGES[4:]]) > 8 * 10 * 0.8
    offices.heal()
    offices.run(4)
    assert broken(offices, is_disturbed=True, stranded=8) == []


def test_frozen_issuer_grants_nothing_to_buffered_requests():
    """Given an issuer that freezes, loses its duty and resumes with lease requests in its buffer, it grants none of them."""
    offices = Offices([tenant(requests_per_s=20.0)], 4)
    offices.offer("shops", 100.0, 14)
    offices.run(3)
    offices.freeze("core-1")
    offices.lose_holder()
    offices.run(6)
    assert offices.holder not in (None, "core-1")
    before = offices.nodes["core-1"].machine.fence
    offices.wake("core-1")
    assert before == 1 and offices.nodes["core-1"].machine.fence == 0 and offices.nodes["core-1"].machine.budgets == {}
    offices.run(6)
    assert broken(offices, changes=1, is_disturbed=True, stranded=4) == []


def test_leases_of_a_frozen_edge_have_expired_when_it_resumes():
    """Given an edge that freezes for over a second with leases and buffered requests, on resuming it spends none of these
    leases and does not return them."""
    offices = Offices([tenant(requests_per_s=100.0, burst_s=0.2)], 2)
    offices.offer("shops", 80.0, 4, ["edge-1"])
    offices.run(3)
    quota = offices.nodes["edge-1"].machine.quotas["shops"]
    leases = list(quota.leases)
    assert quota.available[0] >= 1 and leases
    offices.freeze("edge-1")
    offices.run(1.2)
    offices.wake("edge-1")
    assert not [lease for lease in leases if lease in quota.leases] and quota.returned.requests == 0
    assert all(lease.expires_at > offices.now for lease in quota.leases)
    offices.run(2)
    assert broken(offices, stranded=4) == [] or broken(offices, is_disturbed=True, stranded=100) == []


def test_new_issuer_starts_with_the_burst_of_the_floor():
    """Given issuers lost one after the other under overload, each new one adds at most the burst of the floor."""
    offices = Offices([tenant(requests_per_s=40.0, burst_s=2.0, floor=0.25)], 4)
    offices.offer("shops", 400.0, 40)
    for _ in range(3):
        offices.run(4)
        offices.lose_holder(SECOND)
    offices.run(20)
    assert len(offices.changes) == 3
    assert broken(offices, changes=2, is_disturbed=True, stranded=4) == []


def test_new_issuer_does_not_grant_the_full_burst_again():
    """Given a tenant with a burst of five seconds that it has used up, in its first second a new issuer grants only the
    burst of the floor plus the regular rate."""
    offices = Offices([tenant(requests_per_s=40.0, burst_s=5.0, floor=0.25)], 4)
    offices.offer("shops", 400.0, 25)
    offices.run(15)
    offices.lose_holder(SECOND)
    offices.run(1)
    begun = offices.now
    offices.run(3)
    ran = let_in(offices, since=begun, until=begun + SECOND)
    assert 40 < len(ran) <= 50 + 40 + 20, len(ran)


def test_restart_of_all_nodes_under_overload_stays_within_the_bound():
    """Given all edges and cores killed at once and restarted under overload, the admitted requests stay within the bound."""
    offices = Offices([tenant(requests_per_s=40.0)], 4)
    offices.offer("shops", 400.0, 20)
    offices.run(5)
    for name in list(offices.nodes):
        offices.kill(name)
    offices.run(1)
    for name in list(offices.nodes):
        offices.start(name)
    offices.run(15)
    assert len(offices.changes) == 1 and len(let_in(offices, since=offices.now - 6 * SECOND)) > 0.85 * 5 * 40
    assert broken(offices, changes=1, is_disturbed=True, stranded=4) == []


def test_amounts_lent_to_another_edge_are_not_spent_twice():
    """Given no issuer and an overload on one edge of eight, the amounts that the others lend are withdrawn from their own
    parts: all edges together admit the floor."""
    offices = Offices([tenant(requests_per_s=40.0, burst_s=0.5)], 8)
    offices.run(2)
    lost = offices.now
    offices.kill("core-1")
    offices.offer("shops", 400.0, 4, ["edge-1"])
    offices.run(1)
    offices.offer("shops", 400.0, 3, ["edge-2"])
    offices.run(3)
    ran = let_in(offices, since=lost + SECOND)
    assert 0.5 * 3 * 20 < len(ran) <= 3 * 20 + 10 + 8, len(ran)


# configuration changes --------------------------------------------------------------


def test_changed_quota_takes_effect_within_half_a_second():
    """Given an overload, a quota that is halved and then quadrupled limits the admitted rate half a second later. A
    tenant whose quota is removed is no longer limited, and all its pending requests are answered."""
    offices = Offices([tenant(requests_per_s=40.0, burst_s=0.5)], 4)
    offices.offer("shops", 300.0, 19)
    offices.run(5)
    for figure in (20.0, 80.0):
        offices.configure([tenant(requests_per_s=figure, burst_s=0.5)])
        begun = offices.now
        offices.run(5)
        ran = let_in(offices, since=begun + SECOND / 2, until=begun + 4.5 * SECOND)
        assert 0.85 * 4 * figure < len(ran) < 1.15 * 4 * figure + 2, (figure, len(ran))
    offices.configure([])
    begun = offices.now
    offices.run(5)
    assert not any(call.is_refused for call in offices.of("shops", begun + SECOND / 2)) and all(
        call.answered_at for call in offices.calls
    )


def test_requests_of_a_new_tenant_are_answered_before_all_nodes_know_it():
    """Given a catalogue that reaches the issuer before or after the edges, each request is answered within 0.5 s."""
    offices = Offices([tenant(requests_per_s=40.0)], 4)
    offices.offer("shops", 30.0, 10)
    offices.offer("audits", 30.0, 10)
    offices.run(3)
    offices.configure([tenant(requests_per_s=40.0), tenant("audits", 40.0)], spread=1.5)
    offices.run(8)
    assert all(call.answered_at and call.answered_at - call.at < SECOND * 0.5 for call in offices.calls)
    assert broken(offices) == []


# observability ----------------------------------------------------------------------


def test_issuer_warns_only_of_a_tenant_that_stays_at_its_ceiling():
    """Given one tenant above its ceiling for 60 s, one for 10 s and one never, the issuer logs one warning, for the first
    tenant, and no second one within a minute."""
    offices = Offices([tenant("shops", 10.0), tenant("audits", 10.0), tenant("stamps", 10.0)], 2)
    offices.offer("shops", 40.0, 60).offer("audits", 40.0, 10).offer("stamps", 5.0, 60).run(61)
    warnings = [
        (at, detail["tenant"])
        for at, _, level, part, _, detail in offices.logs
        if (level, part) == ("warning", "allowance")
    ]
    assert [name for _, name in warnings] == ["shops"], warnings


def test_lease_requests_are_few_under_load_and_stop_without_traffic():
    """Given 200 requests per second over eight edges, far fewer lease requests are sent, and almost none without traffic."""
    offices = Offices([tenant(requests_per_s=400.0)], 8)
    offices.offer("shops", 200.0, 10).run(10)
    assert offices.asks < 200 * 10 * 0.7
    offices.run(3)
    before = offices.asks
    offices.run(10)
    assert offices.asks - before < 8
