"""Policies in a simulated deployment: changed under traffic, and limited by the fixed rules."""

from datetime import timedelta

from tests.deployment_fixtures import OWN_KEYS, ask, give_credit, invariant_checker, leader, quiet, settled


def _policies(deployment, request, **programs):
    return deployment.ask(
        "core-1", "POST", "/operator/apply", {"request": request, "doc": {"policies": programs}, "part": True}
    )


def test_retry_policy_changes_under_traffic_apply_to_later_requests():
    """A retry policy that allows nothing, applied under traffic, stops the retries of later requests; retries resume once
    the policy is removed.
    """
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


def test_placement_policy_moves_primaries_and_keeps_replicas_in_different_areas():
    """A placement policy that prefers one area moves the primaries there, while the two replicas of each model stay in
    different areas.
    """
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


def test_policies_cannot_cause_a_retry_of_a_sent_non_idempotent_prompt():
    """Policies that allow everything do not cause a retry of a non-idempotent prompt that was sent (rule 1)."""
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


def test_invalid_policy_is_refused_with_line_and_column_and_changes_nothing():
    """An invalid policy makes the whole change refused, with the line and column of the error."""
    deployment = settled(84)
    status, answer = _policies(deployment, "bad", hold="waiting <\n  bound and lines == 'x'")
    assert status == 422 and answer["faults"] == [
        {
            "path": "policies.hold",
            "reason": "line 2, column 13: no name 'lines'; there are bound, busy, caller, line, model, patience, waiting",
        }
    ]
    assert leader(deployment).state.generation == 1
