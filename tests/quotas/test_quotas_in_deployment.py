"""Quotas in complete simulated deployments: edges, cores, servers, callers and the daily log (docs/design/quotas.md)."""

import json
import re
from datetime import timedelta
from pathlib import Path

import cappa
import pytest

from harness.experiments.twins import LOOKUP_SLACK, PROMPT_SLACK
from sumachook.cli.operator import Show
from sumachook.configuration.catalogue import merge, read_catalogue
from sumachook.host.effects import Send
from sumachook.host.events import HttpRequestReceived, MessageReceived
from sumachook.simulation.deployment import Deployment
from sumachook.simulation.deployment_quotas import DeploymentQuotas
from sumachook.transport.node_message import wire_kind
from tests.deployment_fixtures import ask, box_of, group, invariant_checker, is_held, leader, quiet, settled, spec

SECOND = timedelta(seconds=1)
TENANTS = {
    "kosice": [
        {"name": "status", "callers": ["customs-desk"], "requestsPerS": 60.0, "floor": 0.8, "burstS": 2.0},
        {"name": "shops", "callers": ["shop"], "requestsPerS": 4.0, "floor": 0.5, "burstS": 2.0},
        {"name": "auditors", "callers": ["audit"], "requestsPerS": 1.0, "tokensPerS": 3000.0},
    ],
    "central-java": [
        {"name": "status", "callers": ["anyone"], "requestsPerS": 60.0, "floor": 0.8, "burstS": 2.0},
        {"name": "summaries", "callers": ["caseworker"], "requestsPerS": 1.0, "tokensPerS": 3000.0},
    ],
}


def configure(deployment, tenants, request="tenants", **more):
    return deployment.ask(
        leader(deployment).node.rsplit("-", 1)[0],
        "POST",
        "/operator/apply",
        {"request": request, "doc": {"tenants": tenants, **more}, "part": True},
    )


def deployment_with_quotas(seed, name="kosice", edges=3, **more):
    """Returns a deployment whose tenants have quotas, and the view of it from callers' and servers' records."""
    deployment = settled(seed, name, edges, **more)
    answer = configure(deployment, TENANTS[name])
    assert answer and answer[0] == 200, answer
    return deployment, DeploymentQuotas(deployment, TENANTS[name])


def find_accountant(deployment):
    """Returns the core that holds the accounting duty, or None."""
    return next((core for core in deployment.machines("core") if core.leases.holds("accountant", deployment.now)), None)


def test_lookups_above_the_quota_are_denied_on_every_edge_with_status_and_record():
    """Given ten times the quota of lookups over three edges, the admitted ones stay within the bound. Each denial is an
    immediate 429 with run "no" and a retry delay, reaches no server, and is logged with tenant, quota and usage."""
    deployment, shares = deployment_with_quotas(1)
    callers = deployment.start_callers(1.0, [group(deployment, "stamps", rate=600.0)])
    deployment.run(8)
    callers.is_on = False
    deployment.run(3)
    refused = [call for call in shares.calls("status") if call.fault_class == "allowance"]
    assert len(refused) > 600 * 8 * 0.7 and {call.edge for call in refused} == {"edge-1", "edge-2", "edge-3"}
    assert {(call.status, call.run) for call in refused} == {(429, "no")} and not any(
        shares.has_run(call) for call in refused
    )
    assert max(call.ended_at - call.sent_at for call in refused) < SECOND / 20
    assert (
        list(shares.invariant_checker("status").ceiling_violations(shares.runs("status"))) == []
        and len(shares.runs("status")) > 60 * 8 * 0.9
    )
    rows = {
        row["tag"]: row
        for box in deployment.boxes.values()
        for name, rows in box.disk.files.items()
        if name.startswith("day-")
        for row in rows
    }
    for call in refused:
        row = rows[call.tag]
        assert (row["class"], row["tenant"], row["allowance"]["requestsPerS"], row["run"]) == (
            "allowance",
            "status",
            60.0,
            "no",
        )
    assert any(40 < rows[call.tag]["used"]["requestsPerS"] < 200 for call in refused)
    assert invariant_checker(deployment, callers).faults() == []


def test_operators_see_quota_usage_leases_and_denials_by_tenant():
    """Given an overload of one tenant and little load of another, any core shows limits, usage, leases and denials by
    tenant and edge; edges and the issuer export them as metrics."""
    deployment, _ = deployment_with_quotas(2)
    deployment.start_callers(1.0, [group(deployment, "stamps", rate=300.0), group(deployment, "claims")])
    deployment.run(6)
    for core in ("core-1", "core-2", "core-3"):
        status, doc = deployment.ask(core, "GET", "/show/allowances")
        status_, shops = doc["tenants"]["status"], doc["tenants"]["shops"]
        assert status == 200 and status_["ceiling"]["requestsPerS"] == 60 and status_["floor"]["requestsPerS"] == 48
        assert (
            set(status_["routers"]) == {"edge-1", "edge-2", "edge-3"}
            and status_["refused"] > 500
            and status_["admitted"] > 200
        )
        assert 200 < status_["requestsPerS"] < 400 and shops["refused"] == 0 and shops["admitted"] > 0
    assert cappa.parse(Show, argv=["allowances"]).what == "allowances"
    assert any(
        edge.take(HttpRequestReceived(1, "GET", "/metrics", {}, b""), deployment.now)
        for edge in deployment.machines("edge")
    )
    assert find_accountant(deployment).quota_lease_issuer.describe(deployment.now)["status"]["fullFor"] > 1


@pytest.mark.parametrize("name, flooding", [("kosice", "audits"), ("central-java", "dossiers")])
def test_tenant_at_ten_times_its_quota_does_not_slow_down_other_tenants(name, flooding):
    """Given two runs of one seed, without and with audits or dossiers at ten times their quota from every edge, the median
    and 99th percentile response times of all others stay within the slack of `harness.twins`, and none is denied."""
    times = []
    for is_flooded in (False, True):
        deployment, shares = deployment_with_quotas(3, name, 4)
        light = [each for each in deployment.spec.traffic if each["name"] != flooding]
        callers = deployment.start_callers(1.0, light)
        if is_flooded:
            deployment.start_callers(1.0, [group(deployment, flooding, rate=10.0)], "flood")
        deployment.run(25)
        found = {}
        for each in light:
            calls = [call for call in callers.calls if call.group == each["name"] and call.outcome != "pending"]
            assert not any(call.fault_class == "allowance" for call in calls)
            waits = sorted(
                (call.first_token_at or call.ended_at) - call.sent_at for call in calls if call.outcome == "ok"
            )
            found[each["name"]] = (waits[len(waits) // 2], waits[int(len(waits) * 0.99)])
        times.append(found)
        assert all(
            list(shares.invariant_checker(tenant).ceiling_violations(shares.runs(tenant))) == []
            for tenant in shares.tenants
        )
    for each, (median, late) in times[0].items():
        slack = LOOKUP_SLACK if each in ("stamps", "status") else PROMPT_SLACK
        assert times[1][each][0] <= median + slack and times[1][each][1] <= late * 1.25 + slack, (each, times)


def test_tenant_within_its_floor_is_admitted_while_the_issuer_is_replaced():
    """Given that the issuing core is killed, lookups at half of their floor are never denied, before and after another
    core takes over the accounting duty."""
    deployment, shares = deployment_with_quotas(4, edges=4)
    callers = deployment.start_callers(1.0, [group(deployment, "stamps", rate=24.0)])
    deployment.run(4)
    lost = box_of(deployment, find_accountant(deployment)).name
    deployment.kill(lost)
    assert deployment.run_until(lambda: find_accountant(deployment) is not None, 12)
    deployment.run(5)
    calls = [call for call in shares.calls("status") if call.outcome != "pending"]
    assert len(calls) > 150 and not any(call.fault_class == "allowance" for call in calls)
    assert (
        list(shares.invariant_checker("status").ceiling_violations(shares.runs("status"), changes=1, is_disturbed=True))
        == []
    )
    assert callers.calls


def test_frozen_issuer_does_not_answer_buffered_requests():
    """Given an issuing core that is frozen until another holds its duty, it answers none of the buffered lease requests on
    resuming, even before its first tick."""
    deployment, _ = deployment_with_quotas(8)
    deployment.start_callers(1.0, [group(deployment, "stamps", rate=24.0)])
    deployment.run(2)
    old = find_accountant(deployment)
    name = box_of(deployment, old).name
    deployment.freeze(name)
    assert deployment.run_until(lambda: find_accountant(deployment) not in (None, old), 15)
    asked = [
        message
        for message in deployment.boxes[name].buffer
        if isinstance(message, MessageReceived) and wire_kind(message.message) == "allow_ask"
    ]
    assert asked
    answers = [
        effect
        for message in asked
        for effect in old.take(message, deployment.now)
        if isinstance(effect, Send) and wire_kind(effect.message) == "allow_give"
    ]
    assert answers == []


def test_new_edge_has_no_part_of_the_floor_until_it_knows_the_others():
    """Given an edge that restarts, its local part of the floor stays at 0 in its first seconds; later it is the floor
    divided by the number of edges."""
    deployment, _ = deployment_with_quotas(9, edges=3)
    deployment.run(4)
    deployment.kill("edge-1")
    deployment.run(0.5)
    deployment.start("edge-1")
    assert deployment.run_until(lambda: deployment.boxes["edge-1"].machine.rate_limiter.quotas, 3)
    deployment.run(0.5)
    rate_limiter = deployment.boxes["edge-1"].machine.rate_limiter
    assert rate_limiter.edge_count == 0 and rate_limiter.quotas["status"].local.levels.requests == 0
    deployment.run(4)
    assert rate_limiter.edge_count == 3 and rate_limiter.quotas["status"].local.rates.requests == 48 / 3


def test_rolling_restart_of_edges_under_overload_keeps_the_bound():
    """Given an overload while edges shut down and restart one by one, no request reported as not run has run, and the
    requests that ran stay within the bound."""
    deployment, shares = deployment_with_quotas(5, edges=4)
    callers = deployment.start_callers(
        1.0, [group(deployment, "stamps", rate=300.0), group(deployment, "claims", rate=20.0)]
    )
    deployment.run(2)
    for name in ("edge-1", "edge-2", "edge-3", "edge-4"):
        deployment.stop(name)
        deployment.run_until(lambda: deployment.boxes[name].machine is None, 12)
        deployment.start(name)
        deployment.run(3)
    callers.is_on = False
    deployment.run(15)
    for tenant in ("status", "shops"):
        assert list(shares.invariant_checker(tenant).ceiling_violations(shares.runs(tenant))) == []
    assert invariant_checker(deployment, callers).faults() == []


def test_quota_change_takes_effect_once_acknowledged_and_an_invalid_one_is_refused():
    """Given an overload, a lower quota limits the admitted rate from its acknowledgement on; an invalid quota is refused
    with the paths of its issues and changes nothing."""
    deployment, shares = deployment_with_quotas(6)
    deployment.start_callers(1.0, [group(deployment, "stamps", rate=300.0)])
    deployment.run(4)
    status, answer = configure(deployment, [{"name": "status", "requestsPerS": -1.0, "callers": ["nobody"]}], "wrong")
    assert status != 200 and {fault["path"] for fault in answer["faults"]} == {
        "tenants[0].requestsPerS",
        "tenants[0].callers[0]",
    }
    status, answer = configure(deployment, [], "floors", capacity={"requestsPerS": 10.0})
    assert status != 200 and [fault["path"] for fault in answer["faults"]] == ["capacity.requestsPerS"]
    assert configure(deployment, [{"name": "status", "requestsPerS": 20.0}], "less")[0] == 200
    begun = deployment.now
    deployment.run(6)
    ran = [run for run in shares.runs("status") if run.at >= begun + SECOND]
    assert 0.85 * 5 * 20 < len(ran) < 5 * 20 * 1.2 + 40


def test_prompt_above_the_token_quota_is_denied_before_it_is_recorded_or_sent():
    """Given three prompts of one tenant at three edges at once, with tokens for one, one runs, and no server receives the
    other two."""
    deployment, shares = deployment_with_quotas(7)
    callers = quiet(deployment)
    deployment.run(3)
    calls = [ask(deployment, callers, "audits", max_tokens=2048, edge=edge) for edge in ("edge-1", "edge-2", "edge-3")]
    deployment.run(20)
    assert sorted(call.outcome for call in calls) == ["fault", "fault", "ok"]
    assert all(shares.has_run(call) is (call.outcome == "ok") for call in calls)
    assert [(call.fault_class, call.status, call.run) for call in calls if call.outcome == "fault"] == [
        ("allowance", 429, "no")
    ] * 2


def test_examples_of_the_operators_page_are_valid():
    """Given the operators' page, its examples are valid partial catalogues of the two example deployments."""
    page = (Path(__file__).parent.parent.parent / "docs" / "operations.md").read_text()
    examples = [json.loads(text) for text in re.findall(r'^    \{"tenants": \[\n.*?^    \]\}$', page, re.M | re.S)]
    assert len(examples) == 2
    for name, example in zip(TENANTS, examples):
        assert read_catalogue(merge(spec(name).catalogue, example))[1] == ()


def test_yielding_prompts_leave_half_of_the_slots_and_run_last():
    """Given forty yielding prompts for one model at one edge, none is denied and they use at most half of the slots that
    this edge may use. A later prompt for the same model that does not yield is answered as if they were absent."""
    deployment = settled(10, edges=1)
    tenants = [{"name": "shops", "callers": ["shop"], "requestsPerS": 0.1, "overCeiling": "yield"}]
    assert configure(deployment, tenants)[0] == 200
    callers, edge = quiet(deployment), deployment.boxes["edge-1"].machine
    deployment.run(1)
    model = next(iter(group(deployment, "refunds")["models"]))
    claims = [ask(deployment, callers, "claims", edge="edge-1", model=model) for _ in range(40)]
    deployment.run(0.3)
    table = edge.inference_pipeline.table
    used = {
        name: (server_window.in_use, table.limit(table.state.servers[name]))
        for name, server_window in table.server_windows.items()
        if server_window.in_use
    }
    assert used and all(in_use <= max(1, limit // 2) for in_use, limit in used.values()), used
    clerk = ask(deployment, callers, "refunds", edge="edge-1", model=model)
    deployment.run(60)
    assert clerk.outcome == "ok" and clerk.first_token_at - clerk.sent_at < SECOND / 3
    assert (
        not any(call.fault_class == "allowance" for call in claims)
        and sum(call.outcome == "ok" for call in claims) >= 30
    )
    assert edge.rate_limiter.describe()["shops"]["yielded"] >= 38


def test_prompts_are_charged_by_actual_output():
    """Given tokens for the estimate of one prompt and ten seconds to refill them, a second prompt is admitted as soon as
    the first has ended with few tokens."""
    deployment = settled(11)
    assert (
        configure(
            deployment, [{"name": "auditors", "callers": ["audit"], "tokensPerS": 230.0, "burstS": 10.0, "floor": 1.0}]
        )[0]
        == 200
    )
    callers = quiet(deployment)
    deployment.run(1)
    first = ask(deployment, callers, "audits", max_tokens=2048, edge="edge-1")
    early = ask(deployment, callers, "audits", max_tokens=2048, edge="edge-2")
    assert deployment.run_until(lambda: first.ended_at is not None and early.ended_at is not None, 6)
    deployment.run(1)
    second = ask(deployment, callers, "audits", max_tokens=2048, edge="edge-3")
    deployment.run(5)
    assert (
        sorted(call.fault_class or call.outcome for call in (first, early)) == ["allowance", "ok"]
        and second.outcome == "ok"
    )


def test_yielding_prompts_run_last_regardless_of_their_queue():
    """Given an edge with one slot at each server, all in use, and yielding prompts in a queue of high weight, all prompts
    that arrive later in a queue of low weight and do not yield run first."""
    small = spec()
    small.servers = [{**server, "slots": 4} if server["kind"] == "model" else server for server in small.servers]
    deployment = Deployment(small, 12, 9)
    assert deployment.run_until(lambda: leader(deployment) is not None, 10)
    assert deployment.ask("core-1", "POST", "/operator/apply", {"request": "first", "doc": small.catalogue})[0] == 200
    assert deployment.run_until(lambda: is_held(deployment), 90)
    tenants = [{"name": "counter", "callers": ["counter-clerk"], "requestsPerS": 0.01, "overCeiling": "yield"}]
    assert configure(deployment, tenants)[0] == 200
    callers, table = quiet(deployment), deployment.boxes["edge-1"].machine.inference_pipeline.table
    deployment.run(1)
    ask(deployment, callers, "refunds", edge="edge-1")  # this prompt uses up the quota; all later ones yield
    deployment.run(3)
    model = group(deployment, "refunds")["models"][0]
    held = [ask(deployment, callers, "claims", edge="edge-1", model=model, max_tokens=1024) for _ in range(8)]
    deployment.run(0.05)
    late = [ask(deployment, callers, "refunds", edge="edge-1", model=model) for _ in range(4)]
    deployment.run(0.05)
    others = [ask(deployment, callers, "claims", edge="edge-1", model=model) for _ in range(4)]
    assert {table.limit(table.state.servers[name]) for name in table.state.pairs[model] if name} == {1}
    deployment.run(40)
    assert all(call.outcome == "ok" for call in [*held, *late, *others])
    assert max(call.ended_at for call in others) < min(call.ended_at for call in late)
