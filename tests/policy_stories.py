"""Policies: swapped while traffic flows, never wider than the rules."""

from datetime import timedelta

from tests.scene import OWN_KEYS, ask, give_credit, leader, quiet, settled, witness


def _policies(town, request, **programs):
    return town.ask(
        "core-1", "POST", "/operator/apply", {"request": request, "doc": {"policies": programs}, "part": True}
    )


def test_policies_are_swapped_under_traffic_and_each_request_keeps_its_own():
    """Given traffic with faults, a retry policy that allows nothing stops resends of later requests; swapped back, they go on."""
    town = settled(81, edges=3)
    callers = town.call_in(2.0)
    town.run(6)
    assert _policies(town, "none", retry="attempt < 1")[0] == 200
    town.run(1)
    before = witness(town, callers).resends()[1]
    for name in ("stamps-1", "stamps-2"):
        town.kill(name)
    town.run(8)
    assert witness(town, callers).resends()[1] == before
    assert any(call.fault_class == "unreachable" for call in callers.calls)
    for name in ("stamps-1", "stamps-2"):
        town.start(name)
    town.run(6)
    assert _policies(town, "again", retry="")[0] == 200
    town.kill("stamps-1")
    town.run(6)
    assert witness(town, callers).resends()[1] > before
    assert witness(town, callers).faults() == []


def test_place_policy_moves_pairs_within_the_rules():
    """Given a place policy that wants all in one area, primaries go there as far as there is room, pairs still lie apart."""
    town = settled(82)
    assert _policies(town, "near", place="9 if area == 'hall-a' else 0")[0] == 200
    town.run(6)
    servers = {server["name"]: server for server in town.city.servers}
    pairs = leader(town).state.pairs
    primaries = [servers[pair[0]]["area"] for pair in pairs.values() if pair[1]]
    assert set(primaries) == {"hall-a"}
    assert all(servers[first]["area"] != servers[second]["area"] for first, second in pairs.values() if second)
    town.run(60)
    assert witness(town).faults() == []


def test_no_policy_can_break_a_rule():
    """Rule 1. Given policies that want everything, an unsafe prompt that was sent is still not sent again."""
    town = settled(83)
    assert _policies(town, "all", retry="True", hold="True", evict="1", place="demand - demand")[0] == 200
    callers = quiet(town)
    for edge in town.machines("edge"):
        give_credit(edge.retry_budget, 9.0, *OWN_KEYS)
    primary = leader(town).state.pairs["refund-01"][0]
    town.boxes[primary].machine.prefill = timedelta(seconds=2)
    call = ask(town, callers, "bookings", model="refund-01")
    town.run(0.5)
    town.kill(primary)
    town.run(10)
    assert (call.outcome, call.run) == ("fault", "maybe") and witness(town, callers).runs_of(call) == 1


def test_bad_policy_is_refused_with_line_and_column_and_changes_nothing():
    """Given a policy with a fault in it, apply refuses the whole with its place."""
    town = settled(84)
    status, answer = _policies(town, "bad", hold="waiting <\n  bound and lines == 'x'")
    assert status == 422 and answer["faults"] == [
        {
            "path": "policies.hold",
            "reason": "line 2, column 13: no name 'lines'; there are bound, busy, caller, line, model, patience, waiting",
        }
    ]
    assert leader(town).state.generation == 1
