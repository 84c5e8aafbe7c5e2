"""Quotas: a tenant's share of the capacity, enforced alike on every edge."""

import pytest

from harness.experiments.allowances import play_turn
from sumachook.configuration.capacity import Capacity
from tests.quotas.quota_fixtures import SECOND, Offices, tenant

EDGES = [f"edge-{place}" for place in range(1, 9)]


def broken(offices, name="shops", stranded=0.0, but=(), span=None, **state):
    """What the witness says of one tenant."""
    invariant_checker = offices.invariant_checker(name)
    return [
        *invariant_checker.ceiling_violations(offices.runs(name), **state),
        *invariant_checker.floor_violations(offices.asked(name, but), stranded, span),
    ]


def let_in(offices, name="shops", **span):
    return [call for call in offices.of(name, **span) if call.ran_at is not None]


# calm -----------------------------------------------------------------------------


@pytest.mark.parametrize("edges", [1, 4, 16])
@pytest.mark.parametrize("rate", [3.0, 15.0])
def test_inside_its_share_nobody_is_refused_and_nobody_waits_long(edges, rate):
    """Given a tenant inside its allowance whose requests meet any router, all are let in, each within a few milliseconds."""
    offices = Offices([tenant(requests_per_s=20.0)], edges)
    offices.offer("shops", rate, 20).run(21)
    calls = offices.of("shops")
    assert len(calls) > rate * 14 and not any(call.is_refused for call in calls)
    assert max(call.answered_at - call.at for call in calls) < SECOND / 50 and broken(offices) == []


@pytest.mark.parametrize("edges", [1, 4, 16])
def test_ten_times_its_share_from_all_routers_is_let_in_once_over(edges):
    """Given ten times the allowance over all routers, what all let in together is the ceiling's, each router's part about its part of the traffic, and
    every refusal says for that tenant when to come back and what was used."""
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
    assert all(4 < call.come_back < 14 for call in late)  # nine of ten are turned away: nine seconds' worth a second
    assert any(30 <= call.note["used"]["requestsPerS"] <= 60 for call in late)


@pytest.mark.parametrize(
    "figures, tokens", [({"requests_per_s": 40.0}, 0), ({"requests_per_s": None, "tokens_per_s": 4000.0}, 100)]
)
def test_a_call_fares_alike_on_a_busy_router_and_on_a_quiet_one(figures, tokens):
    """Given a flood of which one router of four has three quarters, the part of its calls that is let in is about that of the others' calls."""
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


def test_past_the_ceiling_all_refuse_within_half_a_second_and_below_it_all_admit():
    """Given a tenant at half of its ceiling that goes to ten times it on all eight routers at once, with next to nothing saved up, half a second later
    every router refuses and all together let in no more than the ceiling; half a second after it is back below, none is refused."""
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
def test_what_is_lent_ahead_leaves_half_for_those_who_ask(seed):
    """Given a tenant that falls from ten times its ceiling to half of it, what one router is lent ahead does not take what another needs now: both turns
    are over well within half a second."""
    _, up, down = play_turn(seed)
    assert up < SECOND * 0.3 and down < SECOND * 0.4


def test_a_refusal_is_immediate_and_a_wait_for_an_answer_is_short():
    """Given a tenant far beyond its ceiling, no answer to anybody takes longer than a question there and back, and what was just told no is not asked
    for each request."""
    offices = Offices([tenant(requests_per_s=10.0)], 4)
    offices.offer("shops", 800.0, 5).run(6)
    assert offices.asks < 6 * 4 * 35
    assert max(call.answered_at - call.at for call in offices.of("shops")) < SECOND / 40


def test_traffic_that_moves_from_one_router_to_all_and_back_is_never_refused():
    """Given a tenant at nine tenths of its allowance on one router, then on all, then on another one alone: the lent part follows at once."""
    offices = Offices([tenant(requests_per_s=40.0, floor=0.9)], 8)
    offices.offer("shops", 30.0, 6, ["edge-1"]).run(6)
    offices.offer("shops", 30.0, 6).run(6)
    offices.offer("shops", 30.0, 6, ["edge-5"]).run(7)
    assert sum(call.is_refused for call in offices.of("shops")) == 0 and broken(offices) == []


# several tenants --------------------------------------------------------------------


def test_two_tenants_past_theirs_at_once_have_their_own_each():
    """Given two tenants at ten times theirs and a third inside its floor, each of the two has its ceiling, and the third is never refused."""
    offices = Offices([tenant("shops", 20.0), tenant("audits", 5.0), tenant("stamps", 10.0, floor=1.0)], 4)
    for name, rate in (("shops", 200.0), ("audits", 50.0), ("stamps", 6.0)):
        offices.offer(name, rate, 12)
    offices.run(13)
    assert 0.85 * 240 < len(let_in(offices, "shops")) <= 280 and 0.85 * 60 < len(let_in(offices, "audits")) <= 70
    assert not any(call.is_refused for call in offices.of("stamps"))
    assert all(broken(offices, name) == [] for name in ("shops", "audits", "stamps"))


def test_floors_come_first_when_ceilings_are_more_than_the_capacity():
    """Given a capacity of 30 a second and two tenants that may each use all of it, one that floods leaves the other its floor; when the
    other is silent it has the rest as well."""
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


def test_what_yields_runs_and_is_not_charged():
    """Given a tenant that gives way beyond its ceiling, nothing is refused, and what is beyond is marked so."""
    offices = Offices([tenant("audits", 5.0, over_ceiling="yield")], 4)
    offices.offer("audits", 50.0, 8).run(9)
    calls = offices.of("audits")
    assert all(call.ran_at is not None for call in calls)
    assert 0.8 * 40 < sum(not call.is_yielding for call in calls) <= 50 and broken(offices, "audits") == []


# tokens -----------------------------------------------------------------------------


def test_tokens_are_charged_by_estimate_and_set_right_by_what_came_out():
    """Given requests that may give 1,000 tokens and give 100, and a burst that bears the estimates of what is in hand, the tokens' allowance lets in by
    what comes out: by the estimates seven of eight would be refused."""
    offices = Offices([tenant(requests_per_s=None, tokens_per_s=2000.0, burst_s=8.0)], 4)
    offices.run(5).offer("shops", 16.0, 30, tokens=100, estimate=1000, takes=0.5).run(32)
    calls = offices.of("shops")
    assert sum(call.is_refused for call in calls) < 0.02 * len(calls)
    assert broken(offices) == []


def test_tokens_beyond_the_allowance_are_refused():
    """Given requests that give what they may give, four times the allowance, a quarter is let in; one that is larger than all that may be saved
    up waits for a full bucket and leaves a debt."""
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
def test_routers_added_restarted_one_by_one_and_killed_change_nothing(rate):
    """Given a tenant inside its floor, or far past its ceiling, while routers come, restart and die, it has neither more nor less."""
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
def test_while_nobody_lends_the_floor_is_let_in_wherever_it_goes_and_no_more(edges):
    """Given the accountant killed, a tenant inside its floor on one router only is never refused, since the others lend it theirs; one far past its ceiling
    everywhere has about its floor until somebody lends again."""
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


def test_a_router_that_is_cut_off_lets_in_its_part_of_the_floor():
    """Given one router of four cut off from all, with all of a flood, it lets in its part of the floor and not the tenant's whole."""
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


def test_a_split_parts_the_floor_and_never_doubles_the_ceiling():
    """Given four routers of eight on the side without the lender, both sides flooded, both together have at most the ceiling and that side's part of the floor."""
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


def test_a_lender_that_stood_still_lends_nothing_from_its_buffer():
    """Given a holder that freezes, loses its duty and wakes with questions in its buffer, none of them is answered with anything."""
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


def test_what_was_lent_to_a_router_that_stood_still_is_over_when_it_wakes():
    """Given a router that stands still for a second with requests in its buffer and leases in hand, on waking it spends none of them."""
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


def test_a_new_lender_begins_with_the_floor_and_not_with_all():
    """Given lenders lost one after the other under a flood, each new one adds the floor's burst at most."""
    offices = Offices([tenant(requests_per_s=40.0, burst_s=2.0, floor=0.25)], 4)
    offices.offer("shops", 400.0, 40)
    for _ in range(3):
        offices.run(4)
        offices.lose_holder(SECOND)
    offices.run(20)
    assert len(offices.changes) == 3
    assert broken(offices, changes=2, is_disturbed=True, stranded=4) == []


def test_a_new_lender_has_not_saved_up_what_it_cannot_know():
    """Given a tenant that may save up five seconds' worth and has used it up, in the second after a new lender begins it has the floor's burst and what
    comes meanwhile, not all of it."""
    offices = Offices([tenant(requests_per_s=40.0, burst_s=5.0, floor=0.25)], 4)
    offices.offer("shops", 400.0, 25)
    offices.run(15)
    offices.lose_holder(SECOND)
    offices.run(1)
    begun = offices.now
    offices.run(3)
    ran = let_in(offices, since=begun, until=begun + SECOND)
    assert 40 < len(ran) <= 50 + 40 + 20, len(ran)


def test_a_total_loss_ends_with_the_floor_to_begin_with():
    """Given all routers and cores killed at once and started again under a flood, what is let in stays within the bound."""
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


def test_a_flood_on_one_router_does_not_spend_the_neighbours_parts_twice():
    """Given nobody who lends and a flood on one router of eight, what the others give it they have no more: all together it is the floor."""
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


# changes ----------------------------------------------------------------------------


def test_a_change_of_the_allowance_is_in_force_while_traffic_flows():
    """Given a flood, an allowance that is halved and then doubled is what is let in half a second later; a tenant that is taken out is free, and nobody who
    waited is forgotten."""
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


def test_a_router_that_has_not_heard_of_a_tenant_yet_forgets_nobody():
    """Given a catalogue that reaches the lender before or after the routers, each request has its answer within its time."""
    offices = Offices([tenant(requests_per_s=40.0)], 4)
    offices.offer("shops", 30.0, 10)
    offices.offer("audits", 30.0, 10)
    offices.run(3)
    offices.configure([tenant(requests_per_s=40.0), tenant("audits", 40.0)], spread=1.5)
    offices.run(8)
    assert all(call.answered_at and call.answered_at - call.at < SECOND * 0.5 for call in offices.calls)
    assert broken(offices) == []


# what is seen -----------------------------------------------------------------------


def test_the_lender_warns_of_a_tenant_that_is_full_for_long_and_only_of_it():
    """Given one tenant past its ceiling for 40 s, one for 10 s and one never: one warning, of the first, and no second within a minute."""
    offices = Offices([tenant("shops", 10.0), tenant("audits", 10.0), tenant("stamps", 10.0)], 2)
    offices.offer("shops", 40.0, 60).offer("audits", 40.0, 10).offer("stamps", 5.0, 60).run(61)
    warnings = [
        (at, detail["tenant"])
        for at, _, level, part, _, detail in offices.logs
        if (level, part) == ("warning", "allowance")
    ]
    assert [name for _, name in warnings] == ["shops"], warnings


def test_a_tenant_costs_few_questions_and_none_when_it_is_silent():
    """Given 200 requests a second over eight routers, the questions are far fewer; without requests there are none."""
    offices = Offices([tenant(requests_per_s=400.0)], 8)
    offices.offer("shops", 200.0, 10).run(10)
    assert offices.asks < 200 * 10 * 0.7
    offices.run(3)
    before = offices.asks
    offices.run(10)
    assert offices.asks - before < 8
