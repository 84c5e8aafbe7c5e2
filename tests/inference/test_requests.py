"""Requests: the retry design, honest answers, streams, lines, credit."""

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


def _earn(deployment, credit=8.0):
    for edge in deployment.machines("edge"):
        give_credit(edge.retry_budget, credit, *OWN_KEYS)


def _pair(deployment, model):
    return leader(deployment).state.pairs[model]


def test_never_sent_prompt_moves_to_the_understudy_even_when_unsafe():
    """Given a primary whose process is gone, a prompt that was never sent is answered by the understudy, run once."""
    deployment = settled(32)
    callers = quiet(deployment)
    _earn(deployment)
    primary, understudy = _pair(deployment, "claim-01")
    assert understudy
    deployment.kill(primary)
    call = ask(deployment, callers, "bookings", model="claim-01")
    deployment.run(4)
    assert call.outcome == "ok" and understudy in call.text
    assert (
        invariant_checker(deployment, callers).faults() == []
        and invariant_checker(deployment, callers).runs_of(call) == 1
    )


def test_unsafe_prompt_that_was_sent_is_never_sent_again():
    """Rule 1. Given a server that takes prompts and crashes before a token, an unsafe one ends as maybe run, a safe one moves."""
    deployment = settled(32)
    callers = quiet(deployment)
    _earn(deployment)
    primary, understudy = _pair(deployment, "claim-01")
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
    assert safe.outcome == "ok" and understudy in safe.text
    assert check.faults() == [] and check.runs_of(unsafe) == 1


def test_dark_server_is_told_by_the_first_token_timeout():
    """Given a server that accepts and never answers, a safe prompt moves within its patience, an unsafe one is told maybe."""
    deployment = settled(33)
    callers = quiet(deployment)
    _earn(deployment)
    primary, understudy = _pair(deployment, "refund-02")
    deployment.boxes[primary].machine.is_dark = True
    safe, unsafe = (
        ask(deployment, callers, "refunds", model="refund-02"),
        ask(deployment, callers, "bookings", model="refund-02"),
    )
    deployment.run(16)
    assert safe.outcome == "ok" and understudy in safe.text
    assert unsafe.fault_class == "first-token-timeout" and unsafe.run == "maybe"
    assert invariant_checker(deployment, callers).faults() == []


def test_cut_after_the_first_token_is_never_stitched_and_never_looks_whole():
    """Rules 2 and 3. Given a server that crashes in mid-stream, its caller has a cut stream and an error, nothing from another."""
    deployment = settled(34)
    callers = quiet(deployment)
    _earn(deployment)
    primary, _ = _pair(deployment, "refund-03")
    call = ask(deployment, callers, "refunds", model="refund-03")
    assert deployment.run_until(lambda: call.first_token_at is not None, 3)
    deployment.kill(primary)
    deployment.run(6)
    assert call.outcome == "cut" and call.finish_reason is None and call.fault_class == "cut" and call.run == "yes"
    assert invariant_checker(deployment, callers).faults() == []


def test_stream_that_ends_in_good_order_but_unfinished_is_cut():
    """Rule 3. Given a server that closes its stream properly after three pieces, with [DONE] or without, nobody is told that this
    was all: a caller who streams sees it cut, one who does not gets a fault; no finish reason and no [DONE] is made up."""
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


def test_resume_goes_on_exactly_where_it_stopped():
    """Rule 2. Given event ids and a connection that breaks in mid-stream, the same server goes on at the next piece, run once."""
    deployment = settled(35)
    callers = quiet(deployment)
    _earn(deployment)
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


def test_resume_that_does_not_continue_is_refused():
    """Rule 2. Given a server whose resume skips a piece, the stream is cut, not patched."""
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


def test_missing_model_is_an_alert_and_not_resent():
    """Given a model that nobody configured, the caller is told at once, one alert is logged, no server is tried."""
    deployment = settled(37)
    callers = quiet(deployment)
    before = len(deployment.attempts)
    calls = [ask(deployment, callers, "refunds", model="nobody-knows", edge="edge-1") for _ in range(5)]
    deployment.run(1)
    assert {(call.status, call.fault_class, call.run) for call in calls} == {(404, "no-model", "no")}
    assert len(deployment.attempts) == before
    assert len([line for line in deployment.logs if "not configured" in line[4]]) == 1


def test_waking_model_is_waited_for_and_given_up_honestly():
    """Given a model that cannot be loaded anywhere, its prompt gets one delayed resend and then a wake timeout, not run."""
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


def test_bad_requests_are_refused_with_a_reason_and_no_try():
    """Given requests that are malformed, unknown or forbidden, each gets its 4xx with a JSON reason and no server sees it."""
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


def test_same_key_at_two_edges_runs_once():
    """Given one idempotency key at two edges, together and later, the prompt runs once; the others get the first one's state."""
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
    told = [call for call in (first, second, third) if call.outcome != "ok"]
    assert len(told) >= 2 and all((call.fault_class, call.run) == ("duplicate", "no") for call in told)


def test_unsafe_prompt_without_keepers_is_refused_as_not_run():
    """Given no two keepers, an unsafe prompt is refused as not run; a safe one is answered and recorded once they are back."""
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
    kept = [core for core in deployment.machines("core") if core.replica_store.find(safe.request)]
    assert len(kept) >= 2


def test_lookups_never_wait_behind_audits():
    """Rule 11. Given slow audits that fill every place they may have, lookups and shop prompts are answered as fast as without."""
    deployment = settled(42, edges=4)
    pairs = leader(deployment).state.pairs
    crowded = {server for place in (1, 2, 3) for server in pairs[f"audit-0{place}"]}
    beside = [model for model, pair in pairs.items() if not model.startswith("audit") and set(pair) - {""} <= crowded]
    assert beside  # shop prompts that have nowhere to go but where the audits are
    callers = deployment.start_callers(1.0, [group(deployment, "stamps"), group(deployment, "claims", models=beside)])
    deployment.run(10)
    calm = max(call.ended_at - call.sent_at for call in outcomes(callers, group="stamps", outcome="ok"))
    for server in deployment.machines("model"):
        server.rates |= {name: 4.0 for name in server.rates if name.startswith("audit")}
    flood = deployment.start_callers(1.0, [group(deployment, "audits", rate=30.0)], "flood")
    deployment.run(20)
    flood.is_on = callers.is_on = False
    deployment.run(3)
    lookups = [call for call in callers.calls if call.group == "stamps"]
    shops = [call for call in callers.calls if call.group == "claims"]
    assert all(call.outcome == "ok" for call in lookups + shops)
    assert max(call.ended_at - call.sent_at for call in lookups) < calm + 0.1 * SECOND
    assert max(call.ended_at - call.sent_at for call in shops) < 1.5 * SECOND


def test_resends_stay_near_a_fifth_over_all_nodes():
    """Rule 7. Given half the servers refusing connections, resends over all edges stay within a fifth of the first tries."""
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


def test_resends_do_not_follow_every_refusal():
    """Rule 7. Given records servers that are all busy without end, which opens no breaker, resends still stay near a
    fifth; what finds no credit is told so with a time to come back."""
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


def test_credit_reaches_the_one_small_node_that_meets_the_fault():
    """Rule 7. Given one edge without credit that alone meets a fault, credit is lent to it and the fleet's sum never rises."""
    deployment = settled(44, edges=4)
    callers = quiet(deployment)
    for edge in deployment.machines("edge"):
        give_credit(edge.retry_budget, 0.0 if edge.node == "edge-1" else 10.0, *OWN_KEYS)
    primary, _ = _pair(deployment, "refund-06")
    deployment.kill(primary)
    call = ask(deployment, callers, "refunds", model="refund-06", edge="edge-1")
    total = 30.2
    deployment.run(6)
    assert call.outcome == "ok"
    assert sum(edge.retry_budget.balance_of(PROMPTS) for edge in deployment.machines("edge")) <= total - 1 + 1e-6


def test_hung_up_caller_calls_off_its_try():
    """Given a caller that hangs up in mid-stream, its try ends at the server and the ledger says so."""
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


def test_given_up_request_is_answered_at_once_with_when_to_come_back():
    """Given a fault that is final, the answer comes right away, not near the cutoff, and says when to come back."""
    deployment = settled(46)
    callers = quiet(deployment)
    primary = _pair(deployment, "refund-08")[0]
    deployment.boxes[primary].machine.prefill = 3 * SECOND
    call = ask(deployment, callers, "bookings", model="refund-08")
    deployment.run(0.5)
    crashed_at = deployment.now
    deployment.kill(primary)
    deployment.run(1)
    assert call.outcome == "fault" and call.ended_at - crashed_at < 0.2 * SECOND


def test_stop_drains_and_says_so_first():
    """Given an edge told to stop in mid-stream, its streams end well, new calls are sent elsewhere, and it ends by itself."""
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


def test_edge_that_was_cut_off_serves_again_soon_after():
    """Given an edge isolated for four seconds under lookups, it answers them again within two seconds of the cut's end."""
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


def test_burst_of_faults_after_a_long_calm_is_met_with_few_resends():
    """Rule 7. Given a long calm and then every records server and half the others refusing under a crowd, no window sees more than a fifth and what
    the edges may have saved up; afterwards all is answered again."""
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


def test_lookups_move_on_when_records_servers_are_lost():
    """Given records servers that crash, go dark or slow, one area's or all of them, lookups move on within their patience."""
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


def test_servers_that_refuse_are_drawn_last_and_the_others_answer():
    """Given two of three records servers and the primary of a pair that refuse everything for half a minute, what goes on being
    asked is answered by the others, with few resends."""
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
