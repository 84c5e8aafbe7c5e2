"""The ledger: attempts of each request, lost records, hinted handoff, and recovery from the loss of all nodes."""

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
    """Returns {tag: [closing records]} from the day logs of all cores; a tag may be in the logs of two cores."""
    rows = {}
    for box in deployment.boxes.values():
        for name, records in box.disk.files.items():
            if name.startswith("day-"):
                for row in records:
                    if row["state"] != "open":
                        rows.setdefault(row["tag"], []).append(row)
    return rows


def test_any_core_shows_a_request_with_all_its_attempts():
    """After a request failed over to its second server, each core must return both attempts, the first-token time and the
    token count."""
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


def test_open_requests_of_a_killed_edge_are_closed_as_lost_in_the_day_log():
    """An edge is killed with requests in flight: each must be in the day log as lost, with the run status "maybe"."""
    deployment = settled(52)
    callers = deployment.start_callers(4.0, edges=["edge-1"])
    deployment.run(5)
    deployment.kill("edge-1")
    callers.is_on = False
    deployment.run(15)
    dropped = [call for call in callers.calls if call.outcome in ("cut", "none") and call.fault_class == "reset"]
    assert dropped
    rows = _day_rows(deployment)
    # a call that arrived within the last few milliseconds was not started: no message of it was sent
    begun = [call for call in dropped if invariant_checker(deployment, callers).runs_of(call)]
    lost = [call for call in begun if rows[call.tag][0]["class"] == "lost"]
    assert all(row["run"] == "maybe" for call in lost for row in rows[call.tag])
    # the others had succeeded and their closing record was sent; only the last bytes to the caller were lost
    assert lost and all(rows[call.tag][0]["state"] == "done" for call in begun if call not in lost)


def test_records_stored_for_an_absent_replica_are_handed_off_once():
    """A replica is down for 8 s: other replicas store its records and hand them off when it returns. No record may be
    duplicated or missing."""
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
    """With a small size limit, power is lost at many moments of a rewrite under load. No acknowledged record may be lost."""
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


def test_service_and_records_recover_from_a_total_loss_of_power():
    """Rule 12: all cores and edges lose power at once during traffic. Requests must succeed again within 12 s of the restart,
    and each request that was late or dropped must be in the day log."""
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


def test_edges_serve_safe_calls_while_all_cores_are_down():
    """With all cores down, edges must still answer safe calls from their snapshot of the control state; after three seconds
    they use servers of their own area only."""
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


def test_edge_with_a_disk_delivers_its_spilled_records_after_a_restart():
    """A partitioned edge refuses and serves requests and is then killed. Its requests must be in the day log once it has
    restarted and can reach the cores."""
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


def test_unsafe_request_is_recorded_after_a_network_partition_of_half_a_second():
    """The only edge is partitioned from all cores for 0.5 s while an unsafe request arrives. A resend of its opening record
    must reach the replicas, so that the request is answered."""
    deployment = settled(87, edges=1)
    callers = quiet(deployment)
    deployment.cut(["edge-1"], ["core-1", "core-2", "core-3"])
    call = ask(deployment, callers, "bookings", model="refund-01")
    deployment.run(0.5)
    deployment.heal()
    deployment.run(5)
    assert call.outcome == "ok" and invariant_checker(deployment, callers).runs_of(call) == 1


def test_requests_in_flight_at_a_permanent_loss_of_all_nodes_are_in_the_day_logs_on_disk():
    """Rule 12: under heavy traffic all nodes are lost at once and none returns. Each call that was in flight must be found in
    the day logs on the disks."""
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


def test_records_of_an_edge_partitioned_from_all_replicas_are_relayed_by_other_edges():
    """Rule 12: an edge without a disk reaches other edges but no core, serves and refuses requests, and then fails
    permanently. Its requests must still be in the day log."""
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
