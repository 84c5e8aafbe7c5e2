"""Data folders written by an earlier version: this version reads them, answers from them and appends to them."""

import json
import shutil

import pytest

from sumachook.consensus.storage import Restored
from sumachook.storage.file_system import RealFileSystem
from sumachook.storage.folder import DataFolder
from sumachook.storage.layout import FILES, IDENTITY_FILES
from sumachook.transport.codec import pack_entry, read_entry
from tests.compatibility.stored_fleet import (
    MODELS,
    NODES,
    expected,
    folder_of,
    plain,
    read_lines,
    snapshot_after,
    stored_fleet,
)
from tests.deployment_fixtures import ask, leader, quiet

EXPECTED = {node: expected(node) for node in NODES}
CHANGES = read_lines("changes.jsonl")
CORES = tuple(node for node in NODES if node.startswith("core"))
WITH_SNAPSHOT = ("core-2", "core-3")  # core-1 kept its whole log
WITH_ROWS = ("core-1", "core-3")  # the replicas of the stored ledger rows
DAY_LOG = "day-2026-03-02.jsonl"
STORED_REQUESTS = [row["request"] for row in EXPECTED["core-1"]["records"][DAY_LOG] if row["state"] != "open"]
PENDING = {(record["request"], is_close) for _, record, is_close in EXPECTED["edge-1"]["records"]["spool"]}


def _running_fleet(seed):
    deployment = stored_fleet(seed)
    assert deployment.run_until(lambda: leader(deployment) is not None, 20)
    return deployment


def _files(deployment, node):
    file_system = deployment.boxes[node].disk.file_system
    return {name: file_system.read(name) for name in file_system.names()}


# files ------------------------------------------------------------------------------------


@pytest.mark.parametrize("node", NODES)
def test_stored_folder_opens_undamaged_with_all_records(node, tmp_path):
    """Each record file of a committed folder is read without damage, and opening the folder changes no byte of it."""
    place = tmp_path / node
    shutil.copytree(folder_of(node), place)
    opened = DataFolder(RealFileSystem(place)).open(FILES, IDENTITY_FILES)
    wanted = {name: records for name, records in EXPECTED[node]["records"].items() if name != DAY_LOG}
    assert opened.damages == () and plain(opened.records) == wanted and wanted
    assert {path.name: path.read_bytes() for path in place.iterdir()} == {
        path.name: path.read_bytes() for path in folder_of(node).iterdir()
    }


def test_stored_folders_contain_each_record_kind():
    """The committed folders contain the seat, promises, a snapshot, views and entries, ledger rows and lines, the image
    and the spool, so that the other tests cover each kind.
    """
    cores = [EXPECTED[node]["records"] for node in CORES]
    kinds = {record[0] for records in cores for record in records["consensus"]}
    assert kinds == {"seat", "promise", "snapshot", "view", "entries"}
    assert all(records["consensus"][0][0] == "seat" for records in cores)
    states = {record[1]["state"] for node in WITH_ROWS for record in EXPECTED[node]["records"]["ledger"]}
    assert states == {"open", "done"} and all(EXPECTED[node]["records"][DAY_LOG] for node in WITH_ROWS)
    assert {record[0] for record in EXPECTED["edge-1"]["records"]["image"]} == {"image", "entries"}
    assert {is_close for _, is_close in PENDING} == {True, False}


@pytest.mark.parametrize("node", CORES)
def test_stored_log_replays_to_the_stored_state(node):
    """The log's snapshot with the entries after it replays to the committed state, field by field."""
    restored = Restored()
    restored.replay(EXPECTED[node]["records"]["consensus"])
    assert restored.log.entries
    assert (restored.log.snapshot.number > 0) == (node in WITH_SNAPSHOT)
    assert plain(snapshot_after(restored)) == EXPECTED[node]["state"]


# encoded changes -------------------------------------------------------------------------------


@pytest.mark.parametrize("kind,packed", CHANGES)
def test_encoded_change_round_trips_to_the_same_bytes(kind, packed):
    """The committed bytes of a change decode to its kind and values, and encode to the same bytes again."""
    change = read_entry(packed.encode())
    assert change[0] == kind.removesuffix(" in part") and plain(change) == json.loads(packed)
    assert isinstance(change, tuple) and pack_entry(change) == packed.encode()


# nodes on the stored folders ------------------------------------------------------------------


def test_cores_start_from_stored_folders():
    """Three cores on the stored folders keep their identity and answer with the stored state, ledger rows and results."""
    deployment = _running_fleet(1)
    for node in CORES:
        stored, core = EXPECTED[node], deployment.boxes[node].machine
        assert ["seat", core.node] == stored["records"]["consensus"][0]
    state = plain(leader(deployment).state.snapshot())
    wanted = EXPECTED["core-1"]["state"]
    for field in ("generation", "doc", "evacuated", "roster", "requests", "taken", "versionAt", "turnedAt", "pairs"):
        assert state[field] == wanted[field], field
    assert leader(deployment).state.version == wanted["doc"]["version"] and wanted["pairs"]
    for duty, (holder, fence) in wanted["duties"].items():
        assert holder and state["duties"][duty][1] >= fence
    for request in STORED_REQUESTS:
        for node in CORES:
            status, row = deployment.ask(node, "GET", f"/ledger/{request}")
            assert status == 200 and row["request"] == request and row["state"] == "done"
    # a repeated operator order gets its stored result
    again = deployment.ask("core-1", "POST", "/operator/evacuate", {"request": "out", "area": "hall-c"})
    assert again[0] == 200 and leader(deployment).state.evacuated == tuple(wanted["evacuated"])


def test_edge_starts_from_a_stored_folder_and_delivers_pending_records():
    """An edge on its stored folder has the stored state and the records that had not reached two replicas; it then
    sends these records to the cores.
    """
    deployment = stored_fleet(2)
    edge = deployment.boxes["edge-1"].machine
    assert plain(edge.state.snapshot()) == EXPECTED["edge-1"]["state"] and set(edge.ledger_writer.pending) == PENDING
    assert deployment.run_until(lambda: not edge.ledger_writer.pending, 20)
    deployment.run(1)
    for request, _ in PENDING:
        status, row = deployment.ask("core-2", "GET", f"/ledger/{request}")
        assert status == 200 and row["state"] == "done"


def test_nodes_append_to_stored_files():
    """After an operator order, a request, and a record that no core can receive, the folders open again with old and
    new data. The stored bytes stay the beginning of each append-only file.
    """
    deployment = _running_fleet(3)
    deployment.run(3)
    callers = quiet(deployment)
    call = ask(deployment, callers, "stamps", edge="edge-1")
    deployment.run(3)
    assert deployment.ask("core-2", "POST", "/operator/restore", {"request": "back-b", "area": "hall-b"})[0] == 200
    deployment.run(3)
    deployment.cut(["edge-1"], CORES)
    late = ask(deployment, callers, "stamps", edge="edge-1")
    deployment.run(3)
    for node in NODES:
        deployment.kill(node, writes_kept=0)
    for node in CORES:
        files = _files(deployment, node)
        for path in folder_of(node).iterdir():
            assert files[path.name].startswith(path.read_bytes()), path
            assert path.name != "consensus" or len(files[path.name]) > path.stat().st_size
    snapshot = _files(deployment, "edge-1")["image"]
    assert snapshot.startswith((folder_of("edge-1") / "image").read_bytes())
    for node in NODES:
        deployment.start(node)
        assert not any("storage" in entry for entry in deployment.logs)
    assert deployment.run_until(lambda: leader(deployment) is not None, 20)
    assert "back-b" in leader(deployment).state.requests and "out" in leader(deployment).state.requests
    assert leader(deployment).state.evacuated == ()
    pending = {request for request, _ in deployment.boxes["edge-1"].machine.ledger_writer.pending}
    assert late.request in pending
    for request in (*STORED_REQUESTS, call.request):
        assert deployment.ask("core-3", "GET", f"/ledger/{request}")[0] == 200


def test_stored_fleet_serves_a_new_request():
    """With only stored files, a prompt for a model of the stored catalogue is answered once a server has loaded it
    again.
    """
    deployment = _running_fleet(4)
    deployment.run(60)
    call = ask(deployment, quiet(deployment), "refunds", edge="edge-1", model=MODELS[0])
    deployment.run(5)
    assert deployment.ask("core-1", "GET", f"/ledger/{call.request}")[1]["status"] == 200
