"""Cores whose disk refuses, stalls, is damaged or loses what it had not synced; the host's writer over a real folder."""

import asyncio
import errno
import os
import threading
from datetime import timedelta
from random import Random

import pytest

from sumachook.control_state.changes import ReleaseRole
from sumachook.control_state.effects import ProposeChange
from sumachook.control_state.state import State
from sumachook.host.effects import AppendDayLog, AppendRecords, RewriteRecords, Send
from sumachook.host.events import MessageReceived
from sumachook.host.events import Tick as HostTick
from sumachook.leases import Leases
from sumachook.leases.events import Quit, Resume, Tick
from sumachook.leases.messages import LeaseRenewed, RenewLease
from sumachook.nodes.data_folder import open_folder
from sumachook.nodes.disk_writer import DiskWriter
from sumachook.nodes.serve import USAGE
from sumachook.storage.events import DiskStateChanged
from sumachook.storage.file_system import RealFileSystem
from sumachook.storage.folder import DataFolder
from sumachook.storage.layout import EARLIER_LOG, FILES, IDENTITY_FILES, LOG
from sumachook.storage.single_records import pack_record
from sumachook.storage.write_queue import MAX_QUEUED_WRITES, WriteKind, WriteStep
from tests.deployment_fixtures import box_of, found, invariant_checker, leader, quiet, settled

SECOND = timedelta(seconds=1)
CORES = ("core-1", "core-2", "core-3")


def _apply(deployment, core, name, wait=8.0):
    doc = {"request": name, "part": True, "doc": {"routes": [{"name": name, "target": "refund-01"}]}}
    answer = deployment.ask(core, "POST", "/operator/apply", doc, wait)
    return answer is not None and answer[0] == 200


def _deployment(seed):
    deployment = found(seed, edges=1)
    assert (
        deployment.ask("core-1", "POST", "/operator/apply", {"request": "first", "doc": deployment.spec.catalogue})[0]
        == 200
    )
    deployment.run(2)
    return deployment


def _fill(deployment, name, seconds):
    deployment.boxes[name].disk.refuses_until = deployment.now + SECOND * seconds


def _is_whole(deployment):
    core = leader(deployment)
    return (
        core is not None
        and len(core.consensus.members) == 3
        and len({each.state.number for each in deployment.machines("core")}) == 1
    )


# a disk that takes no records ------------------------------------------------------------------


@pytest.mark.parametrize("is_leader", (True, False))
def test_a_core_whose_disk_is_full_stands_aside_and_comes_back_without_ending(is_leader):
    """Given a disk that refuses writes for six seconds, the others go on, the core lives, and is a member again soon after."""
    deployment = _deployment(700 + is_leader)
    head = box_of(deployment, leader(deployment)).name
    full = head if is_leader else next(name for name in CORES if name != head)
    rest = [name for name in CORES if name != full]
    machine, incarnation = deployment.boxes[full].machine, deployment.boxes[full].incarnation
    _fill(deployment, full, 6)
    deployment.run(0.3)
    before = deployment.now
    assert _apply(deployment, rest[0], "while-full")
    assert deployment.now - before < SECOND * 2
    status, doc = deployment.ask(full, "GET", "/condition")
    assert status == 503 and doc["diskTakesRecords"] is False and leader(deployment) is not machine
    assert deployment.boxes[full].incarnation == incarnation and deployment.boxes[full].machine is machine
    deployment.run_until(lambda: deployment.now > deployment.boxes[full].disk.refuses_until, 10)
    assert deployment.run_until(
        lambda: _is_whole(deployment) and deployment.ask(full, "GET", "/condition")[0] == 200, 4
    )
    assert _apply(deployment, full, "after")


def test_a_duty_holder_whose_disk_is_full_gives_its_duties_back():
    """Given the placer's disk full for eight seconds, another core is the placer within 4.2 s, under a higher fence; the first one
    bids again only when its disk takes records."""
    deployment = _deployment(705)
    assert deployment.run_until(lambda: leader(deployment).state.role_holders["placer"][0], 10)
    node, fence = leader(deployment).state.role_holders["placer"]
    full = next(name for name in CORES if deployment.boxes[name].machine.node == node)
    _fill(deployment, full, 8)
    deployment.run(0.2)
    assert _apply(deployment, next(name for name in CORES if name != full), "write")
    assert deployment.run_until(
        lambda: leader(deployment) and leader(deployment).state.role_holders["placer"][0] not in ("", node), 4.2
    )
    assert leader(deployment).state.role_holders["placer"][1] > fence
    assert deployment.run_until(
        lambda: deployment.now > deployment.boxes[full].disk.refuses_until, 10
    ) and not deployment.boxes[full].machine.leases.holds("placer", deployment.now)
    assert deployment.run_until(lambda: not deployment.boxes[full].machine.leases.is_quitting, 1)


def test_a_duty_that_was_given_back_is_not_held_again_under_its_old_fence():
    """Given a holder that gave its duty back and whose word was lost, answers that were under way and a resume bring no lease
    under that fence; it asks for the vacancy again instead."""
    state = State()
    for number, change in enumerate([("found", {"a": "a:1", "b": "b:1", "c": "c:1"}), ("duty-fill", "placer", "a", 1)]):
        state.apply(number, change)
    holder = Leases("a", state, Random(1), timedelta(0), is_fenced=True)
    renewals = [effect.message for effect in holder.take(Tick(True, False), SECOND) if isinstance(effect, Send)]
    holder.take(Quit(), SECOND * 1.1)
    for voter in "bc":
        renewed = LeaseRenewed(renewals[0].role, renewals[0].fence, renewals[0].sent)
        holder.take(MessageReceived(voter, f"{voter}:1", renewed), SECOND * 1.2)
    holder.take(Resume(), SECOND * 1.3)
    out = holder.take(Tick(True, False), SECOND * 1.4)
    assert holder.holds("placer", SECOND * 1.4) == 0
    assert ProposeChange(ReleaseRole("placer", 1)) in out and not any(
        isinstance(effect, Send) and isinstance(effect.message, RenewLease) for effect in out
    )


def test_all_disks_full_at_once_acknowledge_nothing_and_lose_nothing():
    """Given three disks that refuse for five seconds, no change is acknowledged meanwhile; then all go on as they were."""
    deployment = _deployment(710)
    number, incarnations = leader(deployment).state.generation, [deployment.boxes[name].incarnation for name in CORES]
    for name in CORES:
        _fill(deployment, name, 5)
    assert not _apply(deployment, "core-1", "none", wait=3.0)
    assert deployment.run_until(lambda: _is_whole(deployment), 8)
    assert (
        leader(deployment).state.generation >= number
        and [deployment.boxes[name].incarnation for name in CORES] == incarnations
    )
    assert _apply(deployment, "core-2", "after")


def test_power_lost_on_a_full_disk_keeps_what_was_acknowledged():
    """Given one full disk, a change acknowledged by the others, and power lost everywhere right after, the change is kept."""
    for seed in range(720, 726):
        deployment = _deployment(seed)
        full = CORES[seed % 3]
        _fill(deployment, full, 5)
        deployment.run(1.2)
        assert deployment.run_until(lambda: leader(deployment) is not None, 3), seed
        rest = [name for name in CORES if name != full]
        assert _apply(deployment, rest[seed % 2], "kept")
        for name in CORES:
            deployment.kill(name)
        for name in CORES:
            deployment.start(name)
        assert deployment.run_until(lambda: leader(deployment) is not None, 10), seed
        assert "kept" in {route.name for route in leader(deployment).state.catalogue.routes}, seed


def test_a_core_that_starts_on_a_full_disk_waits_for_it():
    """Given a core that is started while its disk refuses, it comes back as the seat that it was once the disk takes records."""
    deployment = _deployment(730)
    node = deployment.boxes["core-2"].machine.node
    deployment.kill("core-2")
    _fill(deployment, "core-2", 4)
    deployment.start("core-2")
    deployment.run(3)
    assert _apply(deployment, "core-1", "meanwhile")
    assert deployment.run_until(lambda: _is_whole(deployment), 6) and deployment.boxes["core-2"].machine.node == node


def test_what_waits_for_a_hanging_disk_stays_bounded_under_load():
    """Given a core's disk that hangs for ten seconds under traffic, little waits for it, and every late call is in a day's log."""
    deployment = settled(740)
    callers = deployment.start_callers(4.0)
    deployment.run(2)
    deployment.boxes["core-2"].disk.stalled_until = deployment.now + SECOND * 10
    most = 0
    for _ in range(20):
        deployment.run(0.5)
        queue = deployment.boxes["core-2"].disk.queue
        most = max(most, sum(file.count for file in queue.waiting.values()))
    assert most < MAX_QUEUED_WRITES / 8, most
    callers.is_on = False
    deployment.run(12)
    assert _is_whole(deployment) and invariant_checker(deployment, callers).unaccounted() == []


def test_no_row_is_acknowledged_by_a_keeper_whose_disk_is_full():
    """Given a keeper that cannot write, the others keep its rows, and it is handed them once it can."""
    deployment = settled(750)
    callers = deployment.start_callers(2.0)
    deployment.run(2)
    _fill(deployment, "core-3", 6)
    deployment.run(6.5)
    callers.is_on = False
    deployment.run(12)
    cores = deployment.machines("core")
    assert not any(core.replica_store.records.handoffs for core in cores) and not any(
        core.replica_store.records.open for core in cores
    )
    assert invariant_checker(deployment, callers).unaccounted() == []


# damage ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("file", IDENTITY_FILES)
def test_a_damaged_disk_is_a_lost_disk_and_its_seat_is_taken_out(file):
    """Given bytes changed in the middle of a core's file, it starts as somebody new and is given a seat; the old one is removed.

    Before, it stopped with exit code 3 and stayed away until somebody moved its folder."""
    deployment = settled(760)
    callers = quiet(deployment)
    deployment.start_callers(3.0, name="more")
    deployment.run(4)
    former = deployment.boxes["core-1"].machine.node
    deployment.kill("core-1")
    files = deployment.boxes["core-1"].disk.file_system.files
    files[file].current[10] ^= 0x41
    files[file].sync()
    deployment.start("core-1")
    node = deployment.boxes["core-1"].machine.node
    assert node != former and callers is not None
    assert deployment.run_until(
        lambda: (
            _is_whole(deployment)
            and node in leader(deployment).state.voting_members
            and former not in leader(deployment).state.voting_members
        ),
        12,
    )
    assert any(line[1:5] == ("core-1", "error", "storage", "A damaged file was set aside.") for line in deployment.logs)
    assert {name for name in files if name.endswith(".damaged")} == {f"{name}.damaged" for name in IDENTITY_FILES}
    assert _apply(deployment, "core-1", "after")


def test_a_process_starts_as_a_blank_one_on_a_damaged_folder_and_says_so(tmp_path):
    """Given a real folder whose log was changed, the start gives neither log nor ledger, two error lines, and keeps the files."""
    folder = DataFolder(RealFileSystem(tmp_path))
    open_folder(folder, lambda *what: None)
    for name in IDENTITY_FILES:
        for number in range(2):
            folder.write(WriteStep(WriteKind.APPEND, name, (("record", number),), (), timedelta(0)))
    raw = (tmp_path / LOG).read_bytes()
    (tmp_path / LOG).write_bytes(raw[:20] + b"?" + raw[21:])
    lines = []
    assert open_folder(DataFolder(RealFileSystem(tmp_path)), lambda *what: lines.append(what)).records == {}
    assert [line[:3] for line in lines] == [("error", "storage", "A file is damaged and was set aside.")] * 2 + [
        ("error", "storage", "This core gives its identity up and starts as a blank one.")
    ]
    assert sorted(path.name for path in tmp_path.iterdir()) == sorted(f"{name}.damaged" for name in IDENTITY_FILES)


def test_a_folder_of_the_version_before_is_refused_in_clear_words_and_left_as_it_is(tmp_path, capsys):
    """Given a log of the version before and none of this one, a start as a blank core would forget the control state in silence."""
    old = pack_record(["seat", "core-1-0badcafe"])
    (tmp_path / EARLIER_LOG).write_bytes(old)
    with pytest.raises(SystemExit) as end:
        open_folder(DataFolder(RealFileSystem(tmp_path)), lambda *what: None)
    assert end.value.code == USAGE and "earlier version" in capsys.readouterr().err
    assert (tmp_path / EARLIER_LOG).read_bytes() == old


# losses of power, at every moment of a write --------------------------------------------------------


def test_power_lost_at_any_moment_of_changes_loses_no_acknowledged_one():
    """Given changes at three cores, and power lost at all of them a few milliseconds into one, again and again, each
    acknowledged change is in the state afterwards, no file is ever damaged, and the seats are who they were."""
    deployment = _deployment(770)
    nodes = {name: deployment.boxes[name].machine.node for name in CORES}
    acked = []
    for step in range(25):
        core = CORES[step % 3]
        assert deployment.run_until(lambda: leader(deployment) is not None, 10)
        if _apply(deployment, core, f"acked-{step}"):
            acked.append(f"acked-{step}")
        operator, http_address = deployment.operator(), deployment.boxes[core].http_address
        doc = {
            "request": f"under-way-{step}",
            "part": True,
            "doc": {"routes": [{"name": f"under-way-{step}", "target": "refund-01"}]},
        }
        operator.ask(f"http://{http_address}/operator/apply", "POST", doc)
        deployment._deliver(deployment.boxes["operator"], HostTick())
        deployment.run(0.0007 * step)
        for name in CORES:
            deployment.kill(name)
        deployment.run(0.1)
        for name in CORES:
            deployment.start(name)
    assert deployment.run_until(lambda: leader(deployment) is not None, 10) and len(acked) > 15
    assert set(acked) <= {route.name for route in leader(deployment).state.catalogue.routes}
    assert {name: deployment.boxes[name].machine.node for name in CORES} == nodes
    assert not any(line[3] == "storage" for line in deployment.logs if line[2] == "error")


# the host's writer -------------------------------------------------------------------------------


class _Host:
    """A writer over a real folder, and what its machine was told."""

    def __init__(self, path):
        self.folder = DataFolder(RealFileSystem(path))
        open_folder(self.folder, lambda *what: None)
        self.heard, self.lines = [], []
        self.now = timedelta(
            0
        )  # a clock that stands still: how long the machine's own disk takes is nobody's matter here
        self.writer = DiskWriter(
            self.folder, self.heard.append, lambda *what: self.lines.append(what), lambda: self.now, LOG
        )

    async def until(self, is_reached, within=5.0):
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while not is_reached():
            assert loop.time() < end, (self.heard, self.lines)
            self.writer.check_state()
            await asyncio.sleep(0.005)

    def play(self, story):
        async def run():
            task = asyncio.create_task(self.writer.run())
            try:
                await story()
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

        asyncio.run(run())


def _refuse(monkeypatch, is_refusing, call="write"):
    real = getattr(os, call)

    def write(*arguments):
        if is_refusing():
            raise OSError(errno.ENOSPC, "No space left on device")
        return real(*arguments)

    monkeypatch.setattr(os, call, write)


@pytest.mark.parametrize("call", ("write", "fsync", "replace"))
def test_a_refused_write_is_kept_and_made_good_in_order_and_nobody_hears_of_it_before(tmp_path, monkeypatch, call):
    """Given a disk that refuses five times, the machine is told at once, then the followups come, each after its bytes."""
    host, times = _Host(tmp_path), [5]

    def is_refusing():
        times[0] -= 1
        return times[0] >= 0

    async def story():
        for number in range(3):
            write = RewriteRecords if call == "replace" and number == 0 else AppendRecords
            host.writer.put(write(LOG, ([number],), f"synced {number}"))
        host.writer.put(AppendDayLog("day-2026-03-02.jsonl", ({"row": 1},)))
        host.writer.put(AppendRecords("ledger", (["row", 1],), "row synced"))
        await host.until(lambda: "row synced" in host.heard)

    _refuse(monkeypatch, is_refusing, call)
    host.play(story)
    assert [message if isinstance(message, str) else message.is_available for message in host.heard] == [
        False,
        True,
        "synced 0",
        "synced 1",
        "synced 2",
        "row synced",
    ]
    assert [line[2] for line in host.lines] == [
        "The disk does not take records, standing aside.",
        "The disk takes records again.",
    ]
    opened = DataFolder(RealFileSystem(tmp_path)).open(FILES, IDENTITY_FILES)
    assert opened.records[LOG] == ((0,), (1,), (2,)) and opened.records["ledger"] == (("row", 1),)


def test_a_hanging_disk_holds_up_neither_the_loop_nor_the_end_of_the_process(tmp_path, monkeypatch):
    """Given a sync that hangs, the loop goes on, the machine is told after a second, and the run ends when it is told to."""
    host, release, real = _Host(tmp_path), threading.Event(), os.fsync
    monkeypatch.setattr(os, "fsync", lambda handle: (release.wait(20), real(handle))[1])

    async def story():
        host.writer.put(AppendRecords(LOG, (["one"],), "synced"))
        await asyncio.sleep(0.01)
        host.now += SECOND * 1.1
        await host.until(lambda: host.heard)

    host.play(story)
    assert [message.is_available for message in host.heard] == [False]
    release.set()


def test_a_folder_that_cannot_be_opened_is_tried_again(tmp_path, monkeypatch):
    """Given a disk that refuses at the start, the process waits and says so once; a file in the folder's place is a wrong flag."""
    times, lines = [3], []

    def is_refusing():
        times[0] -= 1
        return times[0] >= 0

    monkeypatch.setattr("time.sleep", lambda seconds: None)
    _refuse(monkeypatch, is_refusing, "fsync")
    folder = DataFolder(RealFileSystem(tmp_path / "data"))
    assert open_folder(folder, lambda *what: lines.append(what)).records == {} and len(lines) == 1
    (tmp_path / "file").write_bytes(b"")
    with pytest.raises(SystemExit) as end:
        open_folder(DataFolder(RealFileSystem(tmp_path / "file")), lambda *what: None)
    assert end.value.code == 2


def test_an_edge_takes_the_word_of_its_disk():
    """Given an edge with a data folder whose disk refuses, it spools nothing until the disk takes records."""
    deployment = found(790, edges=1)
    edge = deployment.boxes["edge-1"].machine
    edge.ledger_writer.has_disk = True
    assert (
        edge.take(DiskStateChanged(is_available=False, reason="full"), deployment.now) == []
        and not edge.ledger_writer.has_disk
    )
    assert edge.take(DiskStateChanged(is_available=True), deployment.now) == [] and edge.ledger_writer.has_disk
