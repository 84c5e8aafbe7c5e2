"""Policies: swapped while traffic flows, never wider than the rules."""

from datetime import timedelta

from tests.deployment_fixtures import OWN_KEYS, ask, give_credit, invariant_checker, leader, quiet, settled


def _policies(deployment, request, **programs):
    return deployment.ask(
        "core-1", "POST", "/operator/apply", {"request": request, "doc": {"policies": programs}, "part": True}
    )


def test_policies_are_swapped_under_traffic_and_each_request_keeps_its_own():
    """Given traffic with faults, a retry policy that allows nothing stops resends of later requests; swapped back, they go on."""
    deployment = settled(81, edges=3)
    callers = deployment.start_callers(2.0)
    deployment.run(6)
    assert _policies(deployment, "none", retry="attempt < 1")[0] == 200
    deployment.run(1)
    before = invariant_checker(deployment, callers).resends()[1]
    for name in ("stamps-1", "stamps-2"):
        deployment.kill(name)
    deployment.run(8)
    assert invariant_checker(deployment, callers).resends()[1] == before
    assert any(call.fault_class == "unreachable" for call in callers.calls)
    for name in ("stamps-1", "stamps-2"):
        deployment.start(name)
    deployment.run(6)
    assert _policies(deployment, "again", retry="")[0] == 200
    deployment.kill("stamps-1")
    deployment.run(6)
    assert invariant_checker(deployment, callers).resends()[1] > before
    assert invariant_checker(deployment, callers).faults() == []


def test_place_policy_moves_pairs_within_the_rules():
    """Given a place policy that wants all in one area, primaries go there as far as there is room, pairs still lie apart."""
    deployment = settled(82)
    assert _policies(deployment, "near", place="9 if area == 'hall-a' else 0")[0] == 200
    deployment.run(6)
    servers = {server["name"]: server for server in deployment.spec.servers}
    pairs = leader(deployment).state.pairs
    primaries = [servers[pair[0]]["area"] for pair in pairs.values() if pair[1]]
    assert set(primaries) == {"hall-a"}
    assert all(servers[first]["area"] != servers[second]["area"] for first, second in pairs.values() if second)
    deployment.run(60)
    assert invariant_checker(deployment).faults() == []


def test_no_policy_can_break_a_rule():
    """Rule 1. Given policies that want everything, an unsafe prompt that was sent is still not sent again."""
    deployment = settled(83)
    assert _policies(deployment, "all", retry="True", hold="True", evict="1", place="demand - demand")[0] == 200
    callers = quiet(deployment)
    for edge in deployment.machines("edge"):
        give_credit(edge.retry_budget, 9.0, *OWN_KEYS)
    primary = leader(deployment).state.pairs["refund-01"][0]
    deployment.boxes[primary].machine.prefill = timedelta(seconds=2)
    call = ask(deployment, callers, "bookings", model="refund-01")
    deployment.run(0.5)
    deployment.kill(primary)
    deployment.run(10)
    assert (call.outcome, call.run) == ("fault", "maybe") and invariant_checker(deployment, callers).runs_of(call) == 1


def test_bad_policy_is_refused_with_line_and_column_and_changes_nothing():
    """Given a policy with a fault in it, apply refuses the whole with its place."""
    deployment = settled(84)
    status, answer = _policies(deployment, "bad", hold="waiting <\n  bound and lines == 'x'")
    assert status == 422 and answer["faults"] == [
        {
            "path": "policies.hold",
            "reason": "line 2, column 13: no name 'lines'; there are bound, busy, caller, line, model, patience, waiting",
        }
    ]
    assert leader(deployment).state.generation == 1
