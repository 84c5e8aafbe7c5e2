"""Prompts and lookups in a simulated deployment: retries, run status, streams, queues and the retry budget."""

import json
from datetime import timedelta

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import Reply
from sumachook.host.events import CallFailed, ClientDisconnected, HttpRequestReceived
from tests.deployment_fixtures import (
    OWN_KEYS,
    PROMPTS,
    ask,
    give_credit,
    group,
    invariant_checker,
    leader,
    outcomes,
    quiet,
    settled,
)

SECOND = timedelta(seconds=1)


def _fill_retry_budgets(deployment, credit=8.0):
    for edge in deployment.machines("edge"):
        give_credit(edge.retry_budget, credit, *OWN_KEYS)


def _replicas_of(deployment, model):
    return leader(deployment).state.pairs[model]


def test_unsent_prompt_is_retried_at_the_second_replica_even_if_not_idempotent():
    """A prompt that was never sent, because its primary server is down, is answered by the second replica and runs once."""
    deployment = settled(32)
    callers = quiet(deployment)
    _fill_retry_budgets(deployment)
    primary, second_replica = _replicas_of(deployment, "claim-01")
    assert second_replica
    deployment.kill(primary)
    call = ask(deployment, callers, "bookings", model="claim-01")
    deployment.run(4)
    assert call.outcome == "ok" and second_replica in call.text
    assert (
        invariant_checker(deployment, callers).faults() == []
        and invariant_checker(deployment, callers).runs_of(call) == 1
    )


def test_sent_non_idempotent_prompt_is_never_retried():
    """A server that crashes before the first token may have run the prompt: a non-idempotent one ends with run status
    "maybe", an idempotent one is retried at the other replica (rule 1).
    """
    deployment = settled(32)
    callers = quiet(deployment)
    _fill_retry_budgets(deployment)
    primary, second_replica = _replicas_of(deployment, "claim-01")
    deployment.boxes[primary].machine.prefill = 2 * SECOND
    unsafe, safe = (
        ask(deployment, callers, "bookings", model="claim-01"),
        ask(deployment, callers, "refunds", model="claim-01"),
    )
    deployment.run(0.5)
    check = invariant_checker(deployment, callers)
    assert (check.runs_of(unsafe), check.runs_of(safe)) == (1, 1)
    deployment.kill(primary)
    deployment.run(4)
    assert (unsafe.outcome, unsafe.fault_class, unsafe.run) == ("fault", "reset", "maybe")
    assert safe.outcome == "ok" and second_replica in safe.text
    assert check.faults() == [] and check.runs_of(unsafe) == 1


def test_unresponsive_server_is_detected_by_the_first_token_timeout():
    """At a server that accepts requests and never answers, an idempotent prompt is retried at the other replica before its
    deadline, and a non-idempotent one ends with run status "maybe".
    """
    deployment = settled(33)
    callers = quiet(deployment)
    _fill_retry_budgets(deployment)
    primary, second_replica = _replicas_of(deployment, "refund-02")
    deployment.boxes[primary].machine.is_dark = True
    safe, unsafe = (
        ask(deployment, callers, "refunds", model="refund-02"),
        ask(deployment, callers, "bookings", model="refund-02"),
    )
    deployment.run(16)
    assert safe.outcome == "ok" and second_replica in safe.text
    assert unsafe.fault_class == "first-token-timeout" and unsafe.run == "maybe"
    assert invariant_checker(deployment, callers).faults() == []


def test_stream_cut_after_the_first_token_is_not_continued_elsewhere_and_ends_with_an_error():
    """After its server crashes mid-stream, the caller gets an error event and no tokens of another server, so that no
    mixed or truncated answer looks complete (rules 2 and 3).
    """
    deployment = settled(34)
    callers = quiet(deployment)
    _fill_retry_budgets(deployment)
    primary, _ = _replicas_of(deployment, "refund-03")
    call = ask(deployment, callers, "refunds", model="refund-03")
    assert deployment.run_until(lambda: call.first_token_at is not None, 3)
    deployment.kill(primary)
    deployment.run(6)
    assert call.outcome == "cut" and call.finish_reason is None and call.fault_class == "cut" and call.run == "yes"
    assert invariant_checker(deployment, callers).faults() == []


def test_stream_closed_without_a_finish_reason_is_reported_as_cut():
    """A server that closes its stream properly after three events, with or without [DONE], has not sent the whole answer:
    a streaming caller sees the stream cut, any other gets a failure. No finish reason and no [DONE] is made up (rule 3).
    """
    for says_done in (False, True):
        deployment = settled(49)
        callers = quiet(deployment)
        for server in deployment.machines("model"):
            server.ends_after, server.has_ids, server.says_done = 3, False, says_done
        streamed, whole = (
            ask(deployment, callers, "refunds", model="refund-01"),
            ask(deployment, callers, "claims", model="claim-01"),
        )
        deployment.run(20)
        assert streamed.outcome == "cut" and not streamed.is_done and streamed.text.count("/") == 6
        assert whole.outcome == "fault" and whole.fault_class == "cut" and whole.text == ""
        assert invariant_checker(deployment, callers).faults() == []


def test_stream_resumes_at_the_next_event_id():
    """After a connection breaks mid-stream, the same server resumes at the next event id, and the prompt runs once (rule 2)."""
    deployment = settled(35)
    callers = quiet(deployment)
    _fill_retry_budgets(deployment)
    call = ask(deployment, callers, "refunds", model="refund-04")
    assert deployment.run_until(lambda: call.first_token_at is not None, 3)
    edge = deployment.boxes[call.edge]
    exchange = next(
        item for item in deployment.exchanges.values() if item.client is edge and item.client_call_id[0] == "prompt"
    )
    deployment._end_exchange(exchange, CallFailed(exchange.client_call_id, CallFailure.RESET))
    deployment._deliver_if_same_process(exchange, ClientDisconnected(exchange.server_call_id))
    deployment.run(6)
    assert call.outcome == "ok" and call.is_done
    assert (
        invariant_checker(deployment, callers).faults() == []
        and invariant_checker(deployment, callers).runs_of(call) == 1
    )


def test_resume_that_skips_an_event_is_refused():
    """A stream whose resume skips an event is cut, since the answer would have a gap (rule 2)."""
    deployment = settled(36)
    callers = quiet(deployment)
    for server in deployment.machines("model"):
        server.rates["refund-04"] = 9.0
    call = ask(deployment, callers, "refunds", model="refund-04")
    assert deployment.run_until(lambda: call.first_token_at is not None, 3)
    for server in deployment.machines("model"):
        server.skips = 1
    edge = deployment.boxes[call.edge]
    exchange = next(
        item for item in deployment.exchanges.values() if item.client is edge and item.client_call_id[0] == "prompt"
    )
    deployment._end_exchange(exchange, CallFailed(exchange.client_call_id, CallFailure.RESET))
    deployment._deliver_if_same_process(exchange, ClientDisconnected(exchange.server_call_id))
    deployment.run(6)
    assert call.outcome == "cut" and call.fault_class == "cut"
    assert invariant_checker(deployment, callers).faults() == []


def test_unconfigured_model_is_logged_once_and_not_retried():
    """Requests for an unconfigured model are refused at once with one log line in all, and no server is tried."""
    deployment = settled(37)
    callers = quiet(deployment)
    before = len(deployment.attempts)
    calls = [ask(deployment, callers, "refunds", model="nobody-knows", edge="edge-1") for _ in range(5)]
    deployment.run(1)
    assert {(call.status, call.fault_class, call.run) for call in calls} == {(404, "no-model", "no")}
    assert len(deployment.attempts) == before
    assert len([line for line in deployment.logs if "not configured" in line[4]]) == 1


def test_model_that_cannot_be_loaded_ends_in_a_wake_timeout_after_one_retry():
    """A prompt for a model too large for any server gets one delayed retry, then ends with a wake timeout as not run."""
    deployment = settled(38)
    callers = quiet(deployment)
    doc = {"models": [{"name": "giant", "memory": 900.0, "decodeRate": 9.0, "wake": 2.0}], "store": {"burst": 1000.0}}
    assert deployment.ask("core-1", "POST", "/operator/apply", {"request": "giant", "doc": doc, "part": True})[0] == 200
    call = ask(deployment, callers, "refunds", model="giant")
    deployment.run(12)
    assert (call.fault_class, call.run, call.status) == ("wake-timeout", "no", 504)
    assert 4 < (call.ended_at - call.sent_at).total_seconds() < 6
    row = deployment.ask("core-1", "GET", f"/ledger/{call.request}")[1]
    assert [item["class"] for item in row["tries"]] == ["wake-timeout"]


def test_invalid_requests_are_refused_with_a_reason_and_without_an_attempt():
    """Malformed, unauthenticated and misdirected requests get a 4xx status with a JSON reason, and no server sees them."""
    deployment = settled(39)
    http_address = deployment.boxes["edge-1"].http_address
    key = {"Authorization": "Bearer kosice-counter-key"}
    cases = [
        ("POST", "/v1/chat/completions", key, b"{", 400),
        ("POST", "/v1/chat/completions", {}, b"{}", 401),
        ("POST", "/v1/chat/completions", key, b'{"model":"refund-01","messages":[],"x":1}', 400),
        ("POST", "/v1/chat/completions", key, b'{"model":"refund-01","messages":[{}],"max_tokens":-1}', 400),
        ("POST", "/v1/chat/completions", key, b'{"model":"refund-01","messages":[{}],"max_tokens":99999}', 400),
        ("GET", "/v1/chat/completions", key, b"", 400),
        ("GET", "/elsewhere", key, b"", 404),
        ("GET", "/records/1", {"Authorization": "Bearer wrong-key"}, b"", 401),
    ]
    before, edge = len(deployment.attempts), deployment.boxes["edge-1"].machine
    for method, path, headers, body, status in cases:
        headers = {name.lower(): value for name, value in headers.items()}
        (answer,) = [
            effect
            for effect in edge.take(HttpRequestReceived(10**6, method, path, headers, body), deployment.now)
            if isinstance(effect, Reply)
        ]
        assert answer.status == status and json.loads(answer.body)["fault"]["reason"], (method, path, answer)
    assert http_address and len(deployment.attempts) == before


def test_prompts_with_one_idempotency_key_run_once_over_all_edges():
    """Of prompts with one idempotency key, sent at once to two edges and later to a third, at most one runs; the others are
    refused as duplicates, not run.
    """
    deployment = settled(40)
    callers = quiet(deployment)
    first = ask(deployment, callers, "bookings", model="refund-05", edge="edge-1", key="k-1")
    second = ask(deployment, callers, "bookings", model="refund-05", edge="edge-2", key="k-1")
    deployment.run(4)
    third = ask(deployment, callers, "bookings", model="refund-05", edge="edge-3", key="k-1")
    deployment.run(4)
    check = invariant_checker(deployment, callers)
    runs = [check.runs_of(call) for call in (first, second, third)]
    assert sum(runs) <= 1 and check.faults() == []
    refused = [call for call in (first, second, third) if call.outcome != "ok"]
    assert len(refused) >= 2 and all((call.fault_class, call.run) == ("duplicate", "no") for call in refused)


def test_non_idempotent_prompt_is_refused_as_not_run_without_a_ledger_quorum():
    """With two of three ledger replicas down, a non-idempotent prompt is refused as not run. An idempotent one is answered,
    and its record is stored at two replicas or more once they are back.
    """
    deployment = settled(41)
    callers = quiet(deployment)
    for name in ("core-2", "core-3"):
        deployment.kill(name)
    unsafe, safe = (
        ask(deployment, callers, "bookings", model="refund-01"),
        ask(deployment, callers, "refunds", model="refund-01"),
    )
    deployment.run(2.9)
    assert (unsafe.fault_class, unsafe.run) == ("unrecorded", "no") and safe.outcome == "ok"
    assert invariant_checker(deployment, callers).runs_of(unsafe) == 0
    for name in ("core-2", "core-3"):
        deployment.start(name)
    deployment.run(12)
    replicas = [core for core in deployment.machines("core") if core.replica_store.find(safe.request)]
    assert len(replicas) >= 2


def test_lookups_are_not_delayed_by_a_flood_of_slow_prompts():
    """A flood of slow audit prompts that fills every slot of its queue's share delays neither lookups nor the prompts of
    another queue at the same servers (rule 11).
    """
    deployment = settled(42, edges=4)
    pairs = leader(deployment).state.pairs
    audit_servers = {server for place in (1, 2, 3) for server in pairs[f"audit-0{place}"]}
    shared_models = [
        model for model, pair in pairs.items() if not model.startswith("audit") and set(pair) - {""} <= audit_servers
    ]
    assert shared_models  # models whose only servers also run the audit prompts
    callers = deployment.start_callers(
        1.0, [group(deployment, "stamps"), group(deployment, "claims", models=shared_models)]
    )
    deployment.run(10)
    baseline = max(call.ended_at - call.sent_at for call in outcomes(callers, group="stamps", outcome="ok"))
    for server in deployment.machines("model"):
        server.rates |= {name: 4.0 for name in server.rates if name.startswith("audit")}
    flood = deployment.start_callers(1.0, [group(deployment, "audits", rate=30.0)], "flood")
    deployment.run(20)
    flood.is_on = callers.is_on = False
    deployment.run(3)
    lookups = [call for call in callers.calls if call.group == "stamps"]
    shops = [call for call in callers.calls if call.group == "claims"]
    assert all(call.outcome == "ok" for call in lookups + shops)
    assert max(call.ended_at - call.sent_at for call in lookups) < baseline + 0.1 * SECOND
    assert max(call.ended_at - call.sent_at for call in shops) < 1.5 * SECOND


def test_retries_of_all_edges_stay_within_a_fifth_of_the_requests():
    """While half the servers refuse connections, the retries of all edges together stay within a fifth of the first attempts
    (rule 7).
    """
    deployment = settled(43, edges=5)
    callers = deployment.start_callers(2.0)
    deployment.run(5)
    for name in ("model-1", "model-2", "model-3", "stamps-1", "stamps-2"):
        deployment.kill(name)
    deployment.run(25)
    callers.is_on = False
    deployment.run(8)
    first, again = invariant_checker(deployment, callers).resends()
    assert 0 < again <= 0.2 * first + 2, (first, again)
    assert invariant_checker(deployment, callers).faults() == []


def test_retries_stay_within_budget_when_all_servers_are_busy():
    """Record servers that are all busy open no circuit breaker, so only the retry budget limits retries to about a fifth of
    the first attempts; requests without credit fail as overloaded or at their deadline (rule 7).
    """
    deployment = settled(50, edges=5)
    callers = deployment.start_callers(2.0, [group(deployment, "stamps")])
    deployment.run(4)
    for name in ("stamps-1", "stamps-2", "stamps-3"):
        deployment.boxes[name].machine.is_busy = True
    deployment.run(25)
    callers.is_on = False
    deployment.run(8)
    first, again = invariant_checker(deployment, callers).resends()
    assert 0.1 * first < again <= 0.2 * first + 2, (first, again)
    assert {call.fault_class for call in callers.calls if call.outcome != "ok"} <= {"overload", "cutoff"}


def test_edge_without_credit_borrows_it_for_a_retry():
    """An edge without credit that alone sees a failure borrows credit for its retry, and the sum over all edges never rises
    (rule 7).
    """
    deployment = settled(44, edges=4)
    callers = quiet(deployment)
    for edge in deployment.machines("edge"):
        give_credit(edge.retry_budget, 0.0 if edge.node == "edge-1" else 10.0, *OWN_KEYS)
    primary, _ = _replicas_of(deployment, "refund-06")
    deployment.kill(primary)
    call = ask(deployment, callers, "refunds", model="refund-06", edge="edge-1")
    total = 30.2
    deployment.run(6)
    assert call.outcome == "ok"
    assert sum(edge.retry_budget.balance_of(PROMPTS) for edge in deployment.machines("edge")) <= total - 1 + 1e-6


def test_client_disconnect_cancels_the_attempt():
    """When a client disconnects mid-stream, its attempt is cancelled and the ledger records the failure "hung-up"."""
    deployment = settled(45)
    callers = quiet(deployment)
    call = ask(deployment, callers, "refunds", model="refund-07")
    assert deployment.run_until(lambda: call.first_token_at is not None, 3)
    request = next(
        request for edge in deployment.machines("edge") for request in edge.inference_pipeline.table.requests.values()
    )
    deployment._cancel_call(deployment.boxes["callers"], ("call", call.number))
    deployment.run(1)
    assert not any(edge.inference_pipeline.table.requests for edge in deployment.machines("edge"))
    assert deployment.ask("core-1", "GET", f"/ledger/{request.request_id}")[1]["class"] == "hung-up"


def test_final_failure_is_answered_at_once():
    """A failure that allows no retry is answered within 0.2 seconds, not near the deadline of the request."""
    deployment = settled(46)
    callers = quiet(deployment)
    primary = _replicas_of(deployment, "refund-08")[0]
    deployment.boxes[primary].machine.prefill = 3 * SECOND
    call = ask(deployment, callers, "bookings", model="refund-08")
    deployment.run(0.5)
    crashed_at = deployment.now
    deployment.kill(primary)
    deployment.run(1)
    assert call.outcome == "fault" and call.ended_at - crashed_at < 0.2 * SECOND


def test_stopped_edge_drains_its_streams_and_exits():
    """An edge that is stopped mid-stream completes its streams, refuses new calls as draining and exits by itself; no call
    fails as possibly run.
    """
    deployment = settled(47)
    callers = deployment.start_callers(2.0)
    deployment.run(4)
    deployment.stop("edge-1")
    deployment.run(12)
    callers.is_on = False
    deployment.run(8)
    assert deployment.boxes["edge-1"].machine is None
    final = [call for call in callers.calls if call.outcome != "ok"]
    assert all(call.fault_class in ("draining", "refused") and call.run in ("no", None) for call in final)
    assert invariant_checker(deployment, callers).faults() == []


def test_isolated_edge_answers_again_within_two_seconds_of_reconnection():
    """An edge that was isolated for four seconds under lookups answers each lookup within a second again, starting two
    seconds after the network is restored. Breakers that opened meanwhile must not delay it.
    """
    deployment = settled(48, "central-java", edges=3)
    callers = deployment.start_callers(1.0, [group(deployment, "status")], edges=["edge-1"])
    deployment.run(5)
    deployment.cut(["edge-1"], [name for name in deployment.boxes if name not in ("edge-1", "callers", "operator")])
    deployment.run(4)
    deployment.heal()
    healed_at = deployment.now
    deployment.run(10)
    callers.is_on = False
    deployment.run(6)
    late = [call for call in callers.calls if call.sent_at > healed_at + 2 * SECOND]
    assert late and all(call.outcome == "ok" and call.ended_at - call.sent_at < SECOND for call in late)


def test_burst_of_failures_after_a_failure_free_period_stays_within_the_retry_budget():
    """All record servers and half the others refuse requests during a burst of traffic, after a long time without failures:
    credit accumulated in that time must not allow more retries than a fifth of the requests plus the saved balances in any
    window. All requests succeed again afterwards (rule 7).
    """
    deployment = settled(83, edges=5)
    callers = deployment.start_callers(2.0)
    deployment.run(45)
    names = [box.name for box in deployment.boxes.values() if box.role == "records"] + ["model-1", "model-3", "model-5"]
    for name in names:
        deployment.boxes[name].machine.is_busy = True
    crowd = deployment.start_callers(5.0, name="crowd")
    deployment.run(6)
    crowd.is_on = False
    deployment.run(20)
    for name in names:
        deployment.boxes[name].machine.is_busy = False
    deployment.run(15)
    callers.is_on = False
    deployment.run(8)
    check = invariant_checker(deployment, callers)
    assert check.faults() == [] and check.resends()[1] > 40
    late = [call for call in callers.calls if call.sent_at > deployment.now - 18 * SECOND]
    assert late and all(call.outcome == "ok" for call in late)


def test_lookups_fail_over_when_record_servers_are_lost():
    """Lookups fail over within their deadline when record servers crash, stop answering or vanish from the network, whether
    two or all of them.
    """
    for how in ("killed", "dark", "vanished", "all dark"):
        deployment = settled(84, "central-java", edges=4)
        callers = deployment.start_callers(1.0, [group(deployment, "status")])
        deployment.run(4)
        names = ["records-1", "records-2", "records-3"] if how == "all dark" else ["records-1", "records-2"]
        for name in names:
            if how == "killed":
                deployment.kill(name)
            elif how == "vanished":
                deployment.vanish(name)
            else:
                deployment.boxes[name].machine.is_dark = True
        hit_at = deployment.now
        deployment.run(12)
        for name in names:
            deployment.start(name)
        deployment.run(12)
        callers.is_on = False
        deployment.run(6)
        bad = [call for call in callers.calls if call.outcome != "ok"]
        assert all(call.ended_at - call.sent_at <= call.patience + SECOND for call in callers.calls), how
        if how != "all dark":
            late = [call for call in bad if call.sent_at > hit_at + 6 * SECOND]
            assert len(bad) < 90 and not late, (how, len(bad), len(late))
        assert not [call for call in bad if call.sent_at > deployment.now - 14 * SECOND], how
        assert (
            invariant_checker(deployment, callers).faults() == []
            and invariant_checker(deployment, callers).unaccounted() == []
        ), how


def test_overloaded_servers_are_selected_last():
    """While two of three record servers and one replica of a model refuse everything for half a minute, the remaining ones
    answer nearly all requests, with few retries.
    """
    deployment = settled(88, edges=4)
    model, (primary, _) = next(item for item in leader(deployment).state.pairs.items() if item[1][1])
    callers = deployment.start_callers(2.0, [group(deployment, "stamps"), group(deployment, "refunds", models=[model])])
    deployment.run(8)
    for name in ("stamps-1", "stamps-2", primary):
        deployment.boxes[name].machine.is_busy = True
    deployment.run(30)
    callers.is_on = False
    deployment.run(8)
    bad = [call for call in callers.calls if call.outcome != "ok"]
    first, again = invariant_checker(deployment, callers).resends()
    assert len(bad) < 0.02 * len(callers.calls) and 0 < again < 0.1 * first, (
        len(bad),
        len(callers.calls),
        again,
        first,
    )
    assert invariant_checker(deployment, callers).faults() == []


def test_response_to_another_lookup_is_not_passed_on():
    """The first response to a lookup, on a kept connection, is a surplus one that names another request: the caller gets the
    record that it asked for, from a further attempt."""
    deployment = settled(33)
    callers = quiet(deployment)
    _fill_retry_budgets(deployment)
    spoiled = []

    def spoil(take):
        def take_spoiled(event, now):
            effects = take(event, now)
            for place, effect in enumerate(effects):
                if isinstance(effect, Reply) and not spoiled:
                    spoiled.append(effect)
                    headers = {**effect.headers, "X-Request-Id": "another"}
                    effects[place] = Reply(effect.call_id, 200, headers, b'{"record": "of another"}')
            return effects

        return take_spoiled

    for box in [box for box in deployment.boxes.values() if box.role == "records"]:
        box.machine = SpoiledServer(spoil(box.machine.take))
    call = ask(deployment, callers, "stamps")
    deployment.run(2)
    assert spoiled and call.outcome == "ok" and "of another" not in call.text


class SpoiledServer:
    """A record server whose responses pass through a function that spoils them."""

    def __init__(self, take):
        self.take = take
