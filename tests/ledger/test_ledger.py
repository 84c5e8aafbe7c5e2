"""The ledger: every request's tries, lost rows, repair, total loss."""

from datetime import timedelta

from tests.deployment_fixtures import (
    OWN_KEYS,
    ask,
    box_of,
    give_credit,
    invariant_checker,
    leader,
    outcomes,
    quiet,
    settled,
)

SECOND = timedelta(seconds=1)


def _day_rows(deployment):
    """{tag: [closing rows]} of the day logs on all cores' disks; one tag may stand in two cores' logs."""
    rows = {}
    for box in deployment.boxes.values():
        for name, records in box.disk.files.items():
            if name.startswith("day-"):
                for row in records:
                    if row["state"] != "open":
                        rows.setdefault(row["tag"], []).append(row)
    return rows


def test_show_finds_a_request_with_its_tries_from_any_core():
    """Given a request that moved to the understudy, each core tells of both tries, the first token and the tokens."""
    deployment = settled(51)
    callers = quiet(deployment)
    for edge in deployment.machines("edge"):
        give_credit(edge.retry_budget, 5.0, *OWN_KEYS)
    model, (primary, _) = next(item for item in leader(deployment).state.pairs.items() if item[1][1])
    deployment.kill(primary)
    ask(deployment, callers, "refunds", model=model)
    deployment.run(4)
    for core in ("core-1", "core-2", "core-3"):
        status, row = deployment.ask(core, "GET", f"/ledger/{callers.calls[0].request}")
        assert status == 200 and [item["class"] for item in row["tries"]] == ["unreachable", "ok"], core
        assert row["attempt"] == 2 and row["tokens"] > 0 and row["firstToken"] > 0 and row["status"] == 200


def test_requests_of_a_killed_edge_are_closed_as_lost_in_that_days_log():
    """Given an edge killed with requests in hand, each is in the day's log as lost and may have run."""
    deployment = settled(52)
    callers = deployment.start_callers(4.0, edges=["edge-1"])
    deployment.run(5)
    deployment.kill("edge-1")
    callers.is_on = False
    deployment.run(15)
    dropped = [call for call in callers.calls if call.outcome in ("cut", "none") and call.fault_class == "reset"]
    assert dropped
    rows = _day_rows(deployment)
    # a call that came in the same few milliseconds was not begun: nothing of it went out
    begun = [call for call in dropped if invariant_checker(deployment, callers).runs_of(call)]
    lost = [call for call in begun if rows[call.tag][0]["class"] == "lost"]
    assert all(row["run"] == "maybe" for call in lost for row in rows[call.tag])
    # the rest had ended well and their closing record had gone out; only the last bytes to the caller were lost
    assert lost and all(rows[call.tag][0]["state"] == "done" for call in begun if call not in lost)


def test_records_kept_for_an_absent_replica_are_handed_off_once():
    """Given a replica that is away for a while, others keep its records and hand them off; nothing is doubled or missing."""
    deployment = settled(53)
    callers = deployment.start_callers(2.0)
    deployment.run(3)
    deployment.kill("core-3")
    deployment.run(8)
    deployment.start("core-3")
    deployment.run(10)
    callers.is_on = False
    deployment.run(10)
    cores = deployment.machines("core")
    assert not any(core.replica_store.records.handoffs for core in cores) and not any(
        core.replica_store.records.open for core in cores
    )
    for call in outcomes(callers, outcome="ok"):
        holders = [core for core in cores if core.replica_store.find(call.request)]
        assert len(holders) >= 2, (call.number, call.request)
        assert {core.replica_store.find(call.request)["state"] for core in holders} == {"done"}
    for box in deployment.boxes.values():
        for name, records in box.disk.files.items():
            if name.startswith("day-"):
                requests = [row["request"] for row in records if row["state"] != "open"]
                assert len(requests) == len(set(requests)), box.name


def test_ledger_file_is_rewritten_under_load_and_survives_a_crash_at_any_step():
    """Given small bounds, rewriting under load with power lost at each of many moments loses no acknowledged row."""
    import sumachook.ledger.record_file as record_file

    bound, record_file.MAX_STORED_RECORDS = record_file.MAX_STORED_RECORDS, 200
    try:
        deployment = settled(54)
        callers = deployment.start_callers(3.0)
        for step in range(12):
            deployment.run(1.5 + 0.013 * step)
            name = f"core-{step % 3 + 1}"
            deployment.kill(name)
            deployment.run(0.4)
            deployment.start(name)
            deployment.run(4)
        callers.is_on = False
        deployment.run(12)
        recent = [call for call in outcomes(callers, outcome="ok") if call.ended_at > deployment.now - 14 * SECOND]
        assert recent and all(
            any(core.replica_store.find(call.request) for core in deployment.machines("core")) for call in recent
        )
        assert all(len(box.disk.files["ledger"]) < 1200 for box in deployment.boxes.values() if box.role == "core")
        assert invariant_checker(deployment, callers).unaccounted() == []
    finally:
        record_file.MAX_STORED_RECORDS = bound


def test_total_loss_and_return():
    """Rule 12. Given traffic, when every node of ours loses power at once, service is back within twelve seconds of their
    return, and each request that was late or dropped is in that day's log."""
    for seed, name in ((55, "kosice"), (56, "central-java")):
        deployment = settled(seed, name, edges=None)
        callers = deployment.start_callers(1.0)
        deployment.run(6)
        ours = [box.name for box in deployment.boxes.values() if box.role in ("core", "edge")]
        for node in ours:
            deployment.kill(node)
        deployment.run(3)
        for node in ours:
            deployment.start(node)
        back_at = deployment.now
        deployment.run(30)
        callers.is_on = False
        deployment.run(25)
        after = [call for call in callers.calls if call.sent_at > back_at + 12 * SECOND]
        assert after and all(call.outcome == "ok" for call in after)
        missing = invariant_checker(deployment, callers).unaccounted()
        assert missing == [], [(call.tag, call.group, call.outcome, call.fault_class, call.sent_at) for call in missing]
        assert invariant_checker(deployment, callers).faults() == []


def test_leader_is_not_needed_for_serving():
    """Given all cores gone, edges go on answering safe calls from their image, only within their own area after three seconds."""
    deployment = settled(57, edges=6)
    callers = deployment.start_callers(1.0)
    deployment.run(3)
    for place in (1, 2, 3):
        deployment.kill(f"core-{place}")
    deployment.run(4.5)
    cut_at = deployment.now
    deployment.run(10)
    servers = {server["name"]: server["area"] for server in deployment.spec.servers}
    crossing = [
        (name, edge)
        for name, arrivals in deployment.arrivals.items()
        for at, edge in arrivals
        if at > cut_at and edge in deployment.boxes and servers[name] != deployment.boxes[edge].zone
    ]
    assert crossing == []
    lookups = [call for call in outcomes(callers, group="stamps") if call.sent_at > cut_at and call.ended_at]
    assert lookups and all(call.outcome == "ok" for call in lookups)
    callers.is_on = False
    assert box_of(deployment, deployment.machines("edge")[0]).name.startswith("edge")


def test_edge_with_a_disk_hands_in_after_its_return_what_it_could_not_before():
    """Given an isolated edge that refuses and serves and is then killed, its requests are in the day's log once it is back."""
    deployment = settled(58, edges=2, data="disk")
    callers = deployment.start_callers(2.0, edges=["edge-1"])
    deployment.run(2)
    deployment.cut(["edge-1"], ["core-1", "core-2", "core-3", "edge-2"])
    deployment.run(6)
    callers.is_on = False
    deployment.run(1)
    deployment.kill("edge-1")
    deployment.heal()
    deployment.run(1)
    deployment.start("edge-1")
    deployment.run(12)
    alone = [call for call in callers.calls if call.outcome != "ok"]
    assert alone and invariant_checker(deployment, callers).unaccounted() == []
    assert deployment.boxes["edge-1"].disk.files["spool"] == []


def test_a_cut_of_half_a_second_does_not_cost_an_unsafe_prompt_its_record():
    """Given the only edge cut off from every core for half a second just as an unsafe prompt comes, it is recorded and answered."""
    deployment = settled(87, edges=1)
    callers = quiet(deployment)
    deployment.cut(["edge-1"], ["core-1", "core-2", "core-3"])
    call = ask(deployment, callers, "bookings", model="refund-01")
    deployment.run(0.5)
    deployment.heal()
    deployment.run(5)
    assert call.outcome == "ok" and invariant_checker(deployment, callers).runs_of(call) == 1


def test_a_day_that_ends_without_calm_is_whole_on_the_disks():
    """Rule 12. Given traffic and a crowd, when every node is lost in one instant and none returns, each call that was in hand
    stands in that day's log, on disks alone."""
    deployment = settled(85, edges=5)
    callers = deployment.start_callers(3.0)
    deployment.run(6)
    for box in list(deployment.boxes.values()):
        if box.role in ("core", "edge"):
            deployment.kill(box.name)
    deployment.run(10)
    check = invariant_checker(deployment, callers)
    in_hand = [call for call in callers.calls if call.outcome in ("cut", "none") and check.runs_of(call)]
    assert in_hand and check.unaccounted() == []


def test_records_of_an_edge_cut_off_from_the_keepers_are_carried_by_others():
    """Rule 12. Given an edge without a disk that reaches other edges but no core, serves and refuses, and then dies for good, its
    requests are in the day's log."""
    deployment = settled(86, edges=4)
    callers = deployment.start_callers(2.0, edges=["edge-1"])
    deployment.run(2)
    deployment.cut(["edge-1"], ["core-1", "core-2", "core-3"])
    deployment.run(6)
    callers.is_on = False
    deployment.run(3)
    deployment.vanish("edge-1")
    deployment.run(8)
    alone = [call for call in callers.calls if call.outcome != "ok"]
    assert alone and invariant_checker(deployment, callers).unaccounted() == []
    served = [call for call in outcomes(callers, outcome="ok") if call.sent_at > deployment.now - 14 * SECOND]
    rows = _day_rows(deployment)
    assert served and all(call.tag in rows for call in served)
