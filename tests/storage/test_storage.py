"""Record files, day logs and the write queue, on a simulated disk and in a real folder."""

import errno
import os
from datetime import timedelta
from random import Random

import pytest
from hypothesis import given, settings, strategies

from sumachook.host.effects import AppendDayLog, AppendRecords, RewriteRecords
from sumachook.simulation.disk import Disk
from sumachook.simulation.simulated_files import ProcessEndedError, SimulatedFileSystem
from sumachook.storage import single_records
from sumachook.storage.batches import HEADER_SIZE, Position, pack_batch, read_file
from sumachook.storage.day_logs import DayLogs
from sumachook.storage.events import DiskStateChanged
from sumachook.storage.file_system import RealFileSystem
from sumachook.storage.folder import DataFolder
from sumachook.storage.write_queue import WriteKind, WriteQueue, WriteStep
from tests.short_forms import effect_of

ZERO = timedelta(0)
START = Position()
NAMES, IDENTITY = ("log", "ledger", "image"), ("log", "ledger")


def _step(kind, name, *records):
    return WriteStep(kind, name, records, (), ZERO)


def _opened(files):
    folder = DataFolder(files)
    opened = folder.open(NAMES, IDENTITY)
    return folder, opened


def _batches(*batches, name="log", position=START):
    """Returns the encoded bytes of each batch in order."""
    raws = []
    for records in batches:
        raw, position = pack_batch(name, position, records)
        raws.append(raw)
    return raws


# decoding a file ---------------------------------------------------------------------


def test_torn_last_batch_is_dropped_completely_and_not_reported():
    """An unsynced last batch of three records loses any part of its bytes: none of its records may be read, and no damage may be
    reported."""
    first, last = _batches([["one"]], [["two"], ["three"], ["four"]])
    corrupted = [last[:length] for length in range(len(last))]  # truncated
    corrupted += [
        bytes(length) + last[length:] for length in range(1, len(last))
    ]  # zeros at the start, valid records after them
    corrupted += [last[:place] + bytes(5) + last[place + 5 :] for place in range(len(last) - 5)]  # zeros in the middle
    corrupted += [
        bytes(len(last)),
        last[: len(last) // 2] + bytes(len(last) - len(last) // 2),
    ]  # the file has its full length, but zeros at the end
    for tail in corrupted:
        content = read_file("log", first + tail)
        assert content.records in ((("one",),), (("one",), ("two",), ("three",), ("four",))) and content.damage == "", (
            tail
        )
        if content.records == (("one",),):
            assert content.position.length == len(first)


def test_each_flipped_byte_before_the_last_batch_is_reported_as_damage():
    raws = _batches([["one"]], [["two"], ["three"]], [["four"]])
    whole = b"".join(raws)
    for place in range(len(whole)):
        content = read_file("log", whole[:place] + bytes([whole[place] ^ 0x41]) + whole[place + 1 :])
        if place < len(raws[0]) + len(raws[1]):
            assert content.damage, place
        else:
            assert content.damage == "" and len(content.records) == 3, place


def test_header_of_a_later_batch_alone_proves_that_the_previous_batch_was_synced():
    first, second, third = _batches([["one"]], [["two"]], [["three"]])
    assert read_file("log", first + bytes(len(second)) + third[:HEADER_SIZE]).damage
    assert not read_file("log", first + bytes(len(second)) + third[: HEADER_SIZE - 1]).damage


def test_old_bytes_of_another_generation_or_file_do_not_count_as_synced_batches():
    """Disk blocks can contain old batches of another generation of the file or of another file. Such bytes after a torn tail must
    neither be read nor make the tail count as damage."""
    first, _ = _batches([["one"]], [["two"]], position=Position(generation=2))
    *_, old = _batches([["a"]], [["b"]], [["c"]], position=Position(generation=1))
    *_, other_file = _batches([["a"]], [["b"]], [["c"]], name="ledger", position=Position(generation=2))
    *_, earlier = _batches([["a"]], [["b"]], position=Position(generation=1))
    *_, other_chain = _batches([["another first"]], [["b"]], position=Position(generation=2))
    for rest in (earlier, other_chain):
        assert read_file("log", first + rest).records == (("one",),)
    for rest in (old, other_file):
        content = read_file("log", first + bytes(7) + rest)
        assert content.records == (("one",),) and content.damage == ""


def test_files_of_earlier_versions_are_read_and_new_records_are_appended_as_batches():
    """Guards against losing the data of an upgraded node: records in the previous format, one given as literal bytes, are read,
    and new batches follow them."""
    stored = bytes.fromhex("736d6b310000001a4f62c9e9c2e5b96c") + b'["seat","core-1-0badcafe"]'
    assert single_records.pack_record(["seat", "core-1-0badcafe"])[16:] == stored[16:]
    old = single_records.pack_record(["seat", "core-1-0badcafe"]) + single_records.pack_record(["promise", [3, "a"]])
    files = SimulatedFileSystem(Random(1))
    files.write_new("log", old)
    folder, opened = _opened(files)
    assert opened.records["log"] == (("seat", "core-1-0badcafe"), ("promise", (3, "a"))) and opened.damages == ()
    folder.write(_step(WriteKind.APPEND, "log", ["more"]))
    raw = files.read("log")
    assert raw.startswith(old) and _opened(files)[1].records["log"][2:] == (("more",),)
    torn = read_file("log", raw[:-1])
    assert len(torn.records) == 2 and torn.position.length == len(old) and torn.damage == ""
    assert read_file("log", old[:20] + b"?" + old[21:]).damage and read_file("log", old[:-2] + raw[len(old) :]).damage
    assert read_file("log", old[:-2]).records == (("seat", "core-1-0badcafe"),)
    folder.write(_step(WriteKind.REWRITE, "log", ["fresh"]))
    assert _opened(files)[1].records["log"] == (("fresh",),)


# any sequence of writes with any crash ----------------------------------------------------

_WRITES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((WriteKind.APPEND, WriteKind.APPEND, WriteKind.REWRITE)),
        strategies.sampled_from(("log", "ledger")),
        strategies.integers(1, 3),
        strategies.sampled_from(("good", "good", "refused", "ends", "power")),
    ),
    min_size=1,
    max_size=14,
)


class _ExpectedFiles:
    """The expected content of each file: the synced records, with or without the step in progress."""

    def __init__(self):
        self.synced = {"log": (), "ledger": ()}
        self.number = 0

    def step(self, kind, name, count):
        records = tuple((self.number + place, "x" * (7 * place)) for place in range(count))
        self.number += count
        return WriteStep(kind, name, records, (), ZERO)

    def after(self, step):
        before = () if step.kind is WriteKind.REWRITE else self.synced[step.file]
        return before + step.records


@settings(derandomize=True, max_examples=600, deadline=None)
@given(_WRITES, strategies.integers(0, 1 << 32))
def test_any_writes_with_any_crash_keep_synced_steps_and_all_or_nothing_of_the_step_in_progress(writes, seed):
    """Random appends and rewrites with disk errors and retries, process crashes and power losses at any operation: each file must
    contain all synced steps and all or nothing of the step in progress, and no damage may be reported."""
    random = Random(seed)
    files, expected = SimulatedFileSystem(random), _ExpectedFiles()
    folder, _ = _opened(files)
    for kind, name, count, result in writes:
        step = expected.step(kind, name, count)
        if result == "refused":
            files.steps_left = random.randint(0, 8)
            try:
                folder.write(step)
            except ProcessEndedError:  # stands for a disk error: the process continues and retries
                files.steps_left = None
                folder.write(step)
            files.steps_left = None
        elif result == "good":
            folder.write(step)
        else:
            files.steps_left = random.randint(0, 8)
            try:
                folder.write(step)
            except ProcessEndedError:
                pass
            files.steps_left = None
            if result == "power":
                files.lose_power()
            folder, opened = _opened(files)
            assert opened.damages == ()
            found = opened.records.get(name, ())
            assert found in (expected.synced[name], expected.after(step)), (found, expected.synced[name], step)
            expected.synced[name] = found
            other = "ledger" if name == "log" else "log"
            assert opened.records.get(other, ()) == expected.synced[other]
            files.lose_power()  # data that a startup has read and acted on must survive
            folder, opened = _opened(files)
            assert opened.records.get(name, ()) == found
            continue
        expected.synced[name] = expected.after(step)
    files.lose_power()
    assert {name: _opened(files)[1].records.get(name, ()) for name in expected.synced} == expected.synced


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(1, 4), strategies.sampled_from(("good", "refused", "ends", "power"))),
        min_size=1,
        max_size=14,
    ),
    strategies.integers(0, 1 << 32),
)
def test_day_logs_keep_every_synced_line_and_only_complete_lines_after_the_next_append(lines, seed):
    """Lines are appended with disk errors, process crashes and power losses at any operation: each synced line must be present
    exactly once, and all lines must parse."""
    import msgspec

    random = Random(seed)
    files, number, synced, begun = SimulatedFileSystem(random), 0, set(), set()
    folder, _ = _opened(files)
    for count, result in lines:
        step = _step(
            WriteKind.DAY_LOG,
            "day-2026-03-02.jsonl",
            *({"row": number + place, "pad": "x" * 40} for place in range(count)),
        )
        numbers = set(range(number, number + count))
        number += count
        begun |= numbers
        folder.day_logs.segment_bytes = 300
        if result != "good":
            files.steps_left = random.randint(0, 9)
        try:
            folder.write(step)
            synced |= numbers
        except ProcessEndedError:
            files.steps_left = None
            if result == "refused":
                folder.write(step)
                synced |= numbers
        files.steps_left = None
        if result in ("ends", "power"):
            if result == "power":
                files.lose_power()
            folder, _ = _opened(files)
    folder.write(_step(WriteKind.DAY_LOG, "day-2026-03-02.jsonl", {"row": number}))
    found = [msgspec.json.decode(line)["row"] for name in files.names() for line in files.read(name).splitlines()]
    assert synced <= set(found) <= begun | {number} and len(found) == len(set(found))


# the data folder ---------------------------------------------------------------------------


def test_bytes_that_a_killed_process_left_unsynced_are_durable_before_the_next_one_uses_them():
    """A process is killed between write and sync, and power is lost after the next startup: the records which that startup read
    must not disappear."""
    for steps in range(9):
        for seed in range(40):
            files = SimulatedFileSystem(Random(seed))
            folder, _ = _opened(files)
            folder.write(_step(WriteKind.APPEND, "log", ["one"]))
            files.steps_left = steps
            try:
                folder.write(_step(WriteKind.APPEND if seed % 2 else WriteKind.REWRITE, "log", ["two"]))
            except ProcessEndedError:
                pass
            files.steps_left = None
            read = _opened(files)[1].records["log"]
            files.lose_power()
            assert _opened(files)[1].records["log"] == read, (steps, seed)


def test_damage_of_the_log_discards_the_identity_files_and_keeps_the_damaged_file_for_the_operator():
    """A byte changes in the middle of the log: the node must lose both log and ledger, and keep its other files."""
    files = SimulatedFileSystem(Random(1))
    folder, _ = _opened(files)
    for name in NAMES:
        for number in range(3):
            folder.write(_step(WriteKind.APPEND, name, [name, number]))
    raw = files.read("log")
    corrupted = raw[:60] + b"?" + raw[61:]
    files.write_new("log", corrupted)
    folder, opened = _opened(files)
    assert set(opened.records) == {"image"}
    assert [damage.name for damage in opened.damages] == ["log", "ledger"] and "follows it" in opened.damages[0].reason
    assert files.read("log.damaged") == corrupted
    folder.write(_step(WriteKind.APPEND, "log", ["new identity"]))
    files.lose_power()
    assert _opened(files)[1].records == {
        "log": (("new identity",),),
        "image": (("image", 0), ("image", 1), ("image", 2)),
    }


def test_damage_of_a_file_without_identity_discards_that_file_only():
    files = SimulatedFileSystem(Random(1))
    folder, _ = _opened(files)
    for name in NAMES:
        folder.write(_step(WriteKind.APPEND, name, [name]))
        folder.write(_step(WriteKind.APPEND, name, [name]))
    files.write_new("image", b"?" + files.read("image")[1:])
    opened = _opened(files)[1]
    assert set(opened.records) == {"log", "ledger"} and [damage.name for damage in opened.damages] == ["image"]


def test_discarded_identity_is_never_used_again_wherever_a_startup_is_interrupted():
    """The ledger is damaged, and the startup crashes or loses power at any operation: the next startup must never use the log
    without the discarded ledger."""
    for steps in range(12):
        for seed in range(30):
            files = SimulatedFileSystem(Random(seed))
            folder, _ = _opened(files)
            for name in IDENTITY:
                folder.write(_step(WriteKind.APPEND, name, [name]))
                folder.write(_step(WriteKind.APPEND, name, [name]))
            files.write_new("ledger", b"?" + files.read("ledger")[1:])
            files.sync_folder()
            files.steps_left = steps
            try:
                _opened(files)
            except ProcessEndedError:
                pass
            files.steps_left = None
            if seed % 3:
                files.lose_power()
            records = _opened(files)[1].records
            assert "log" not in records, (steps, seed)


def test_temporary_files_of_an_interrupted_rewrite_are_removed_and_never_read():
    files = SimulatedFileSystem(Random(1))
    folder, _ = _opened(files)
    folder.write(_step(WriteKind.APPEND, "log", ["one"]))
    files.write_new("log.new", b"".join(_batches([["half"]], [["a rewrite"]]))[:-3])
    assert _opened(files)[1].records == {"log": (("one",),)} and files.names() == ["log"]


# a real folder in which each system call fails once ----------------------------------------------


@pytest.mark.parametrize("call", ("open", "write", "fsync", "ftruncate", "replace"))
@pytest.mark.parametrize("kind", (WriteKind.APPEND, WriteKind.REWRITE, WriteKind.DAY_LOG))
def test_refused_system_call_is_recovered_by_a_retry_of_the_step(tmp_path, monkeypatch, call, kind):
    """The n-th system call of a step fails once: after a retry the file must contain the step exactly once, followed by the next
    step."""
    name = "day-2026-03-02.jsonl" if kind == WriteKind.DAY_LOG else "log"
    for nth in range(6):
        place = tmp_path / f"{nth}"
        folder = DataFolder(RealFileSystem(place))
        folder.open(NAMES, IDENTITY)
        folder.write(_step(WriteKind.APPEND, "log", ["before"]))
        folder.write(_step(WriteKind.DAY_LOG, "day-2026-03-02.jsonl", {"row": "before"}))
        step, refused = _step(kind, name, {"row": "step"}), []
        with monkeypatch.context() as patch:
            _refuse_nth(patch, call, nth, refused)
            for _ in range(3):
                try:
                    folder.write(step)
                    break
                except OSError:
                    continue
        folder.write(
            _step(WriteKind.DAY_LOG if kind == WriteKind.DAY_LOG else WriteKind.APPEND, name, {"row": "after"})
        )
        again = DataFolder(RealFileSystem(place)).open(NAMES, IDENTITY)
        lines = (place / "day-2026-03-02.jsonl").read_text().splitlines()
        if kind == WriteKind.DAY_LOG:
            assert lines == ['{"row":"before"}', '{"row":"step"}', '{"row":"after"}'], nth
        else:
            before = () if kind == WriteKind.REWRITE else (("before",),)
            assert again.records["log"] == (*before, {"row": "step"}, {"row": "after"}) and again.damages == (), nth
        if not refused:
            return
    raise AssertionError("the system call was made more often than the 6 attempts that fail")


def _refuse_nth(patch, call, nth, refused):
    """Makes the n-th system call fail with EIO; a failing write first writes half of its bytes."""
    real, calls = getattr(os, call), []

    def refuse(*arguments, **more):
        calls.append(arguments)
        if len(calls) == nth + 1:
            refused.append(call)
            if call == "write":
                real(arguments[0], bytes(arguments[1])[: len(arguments[1]) // 2])
            raise OSError(errno.EIO, "Input/output error")
        return real(*arguments, **more)

    patch.setattr(os, call, refuse)


def test_file_is_truncated_after_a_failed_sync_before_bytes_are_appended(tmp_path, monkeypatch):
    """A second fsync can succeed although the bytes were lost. After a failed sync the file must be truncated and the bytes
    written again."""
    folder = DataFolder(RealFileSystem(tmp_path))
    folder.open(NAMES, IDENTITY)
    folder.write(_step(WriteKind.APPEND, "log", ["before"]))
    length, calls = (tmp_path / "log").stat().st_size, []
    real = {name: getattr(os, name) for name in ("fsync", "ftruncate", "write")}
    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", lambda handle: (_ for _ in ()).throw(OSError(errno.EIO, "Input/output error")))
        with pytest.raises(OSError):
            folder.write(_step(WriteKind.APPEND, "log", ["step"]))
    for name in real:
        monkeypatch.setattr(
            os, name, lambda *given, name=name: (calls.append((name, *given[1:])), real[name](*given))[1]
        )
    folder.write(_step(WriteKind.APPEND, "log", ["step"]))
    assert [call[0] for call in calls] == ["ftruncate", "fsync", "write", "fsync"] and calls[0][1] == length


def test_each_new_name_is_synced_in_its_folder_and_each_new_folder_in_its_parent(tmp_path, monkeypatch):
    """A power loss can remove a name whose folder was not synced. The parent of each new folder and the folder of each new file
    must be synced, also if several parents are missing."""
    synced, real = [], os.fsync
    monkeypatch.setattr(
        os, "fsync", lambda handle: (synced.append(os.readlink(f"/proc/self/fd/{handle}")), real(handle))[1]
    )
    place = tmp_path / "new" / "data"
    folder = DataFolder(RealFileSystem(place))
    folder.open(NAMES, IDENTITY)
    assert synced == [str(tmp_path), str(tmp_path / "new"), str(place)]
    synced.clear()
    folder.write(_step(WriteKind.APPEND, "log", ["one"]))
    assert synced == [str(place / "log.new"), str(place)]
    synced.clear()
    folder.write(_step(WriteKind.DAY_LOG, "day-2026-03-02.jsonl", {"row": 1}))
    folder.write(_step(WriteKind.APPEND, "log", ["two"]))
    line = str(place / "day-2026-03-02.jsonl")
    assert synced == [str(place), line, str(place), line, str(place / "log")]


# size limits of the day logs -------------------------------------------------------------------


def test_day_logs_are_split_into_segments_and_the_oldest_segments_are_removed():
    """More lines than the total size limit allows, over two days: the newest segments are kept, and the names of removed ones are
    reported."""
    files = SimulatedFileSystem(Random(1))
    logs = DayLogs(files, segment_bytes=1000, max_bytes=5000)
    for number in range(200):
        logs.append(f"day-2026-03-0{1 + number // 100}.jsonl", [{"row": number, "pad": "x" * 60}])
        assert sum(files.size(name) for name in files.names()) <= 5000
    rows = [
        line
        for name in sorted(files.names(), key=lambda name: (name.count(".") == 1, name))
        for line in files.read(name).splitlines()
    ]
    assert b'"row":199' in rows[-1] and len(rows) > 40
    assert "day-2026-03-01.0001.jsonl" in logs.removed and "day-2026-03-02.jsonl" in files.names()


# the write queue -------------------------------------------------------------------------------


def test_queue_orders_the_first_file_then_day_log_lines_before_the_records_that_depend_on_them():
    queue = WriteQueue("log")
    for number in range(2):
        queue.put(AppendDayLog(f"day-{number}", ([number],)), ZERO)
        queue.put(AppendRecords("ledger", ([number],), f"row {number}"), ZERO)
    queue.put(AppendRecords("log", (["promise"],), "promised"), timedelta(seconds=0.5))
    order = []
    while (step := queue.begin_step(ZERO)) is not None:
        order.append((step.file, queue.finish_step()))
    assert order == [("log", ("promised",)), ("day-0", ()), ("day-1", ()), ("ledger", ("row 0", "row 1"))]


def test_queue_reports_each_disk_failure_or_stall_and_each_recovery_once():
    queue, second = WriteQueue(), timedelta(seconds=1)
    assert queue.state_change(ZERO) is None
    queue.put(AppendRecords("log", (["one"],), "one"), ZERO)
    queue.begin_step(ZERO)
    queue.fail_step("No space left on device")
    change = queue.state_change(ZERO)
    assert change == DiskStateChanged(is_available=False, reason="No space left on device")
    assert queue.state_change(second) is None
    assert queue.finish_step() == ("one",) and queue.state_change(second).is_available
    queue.put(AppendRecords("log", (["two"],), "two"), second)
    assert queue.state_change(second * 9) is None  # its step has not been started
    queue.begin_step(second * 10)
    assert queue.state_change(second * 11) is None
    assert queue.state_change(second * 11.1).is_available is False
    assert queue.state_change(second * 12) is None and queue.finish_step() == ("two",)
    assert queue.state_change(second * 3).is_available


def test_queued_rewrite_replaces_earlier_writes_of_its_file():
    queue = WriteQueue()
    for number in range(1000):
        queue.put(RewriteRecords("image", (["image", number],)), ZERO)
        queue.put(AppendRecords("spool", (["row", number],)), ZERO)
        queue.put(RewriteRecords("spool", ()), ZERO)
    steps = []
    while (step := queue.begin_step(ZERO)) is not None:
        steps.append((step.file, step.records))
        queue.finish_step()
    assert steps == [("image", (["image", 999],)), ("spool", ())]


# total size of all files over a long day -----------------------------------------------------------


def test_all_files_of_a_core_stay_within_their_size_limits_over_a_long_day():
    """One replica stores the opening and closing records of 30,000 requests with long tags. Ledger and day logs, including
    temporary files, must stay within their limits at all times; all open records and the newest closed ones are kept."""
    from sumachook.host.events import MessageReceived
    from sumachook.ledger.messages import CloseRecords, OpenRecords
    from sumachook.ledger.record_file import MAX_STORED_BYTES
    from sumachook.ledger.records import RecordCopy
    from sumachook.ledger.replica_store import ReplicaStore
    from sumachook.runtime.cluster_clock import UNIX_EPOCH, ClusterClock
    from tests.short_forms import tuple_of_effect

    files = SimulatedFileSystem(Random(1))
    folder, _ = _opened(files)
    replica_store = ReplicaStore("core-1", ClusterClock(lambda: UNIX_EPOCH, ZERO), 5000, (), ZERO)
    queue, most, number = WriteQueue(), 0, 0

    def take(message):
        for effect in map(tuple_of_effect, replica_store.take(message, ZERO)):
            if effect[0] != "tell":
                queue.put(effect_of(effect), ZERO)

    for _ in range(300):
        rows = [
            {
                "request": f"r{number + place}",
                "caller": "c",
                "key": "",
                "edge": "e",
                "incarnation": 1,
                "state": "open",
                "tag": "t" * 900,
                "openedAt": "2026-01-02T00:00:00",
            }
            for place in range(100)
        ]
        number += 100
        take(MessageReceived("e", "e:1", OpenRecords(tuple(RecordCopy(row, ()) for row in rows))))
        closed = [{**row, "state": "done", "run": "yes"} for row in rows[1:]]
        take(MessageReceived("e", "e:1", CloseRecords(tuple(RecordCopy(row, ()) for row in closed))))
        while (step := queue.begin_step(ZERO)) is not None:
            folder.write(step)
            for followup in queue.finish_step():
                take(followup)
        most = max(most, files.size("ledger"))
        assert sum(files.size(name) for name in files.names()) < 52 << 20
    assert most < MAX_STORED_BYTES * 1.1 and folder.day_logs.removed
    found = {record[1]["request"]: record[1]["state"] for record in _opened(files)[1].records["ledger"]}
    assert found[f"r{number - 1}"] == "done" and len(found) > 2000
    assert all(found[f"r{place}"] == "open" for place in range(number - 5000, number, 100))


def test_simulated_disk_keeps_only_the_given_number_of_writes_after_a_power_loss():
    """Four writes to two files are in progress, and a power loss keeps the first three: the fourth must be lost."""
    disk = Disk()
    disk.begin(AppendRecords("log", (("a", 1),)), ZERO)
    disk.finish()
    for number in (2, 3):
        disk.begin(AppendRecords("log", (("a", number),)), ZERO)
        disk.begin(AppendRecords("image", (("b", number),)), ZERO)
    disk.lose_power(writes_kept=3)
    disk.open(ZERO)
    assert disk.files == {"log": [("a", 1), ("a", 2), ("a", 3)], "image": [("b", 2)]} and disk.unfinished == []


def test_files_are_readable_and_writable_by_their_owner_only(tmp_path):
    """Stored configuration contains client keys: a file that was created or replaced must have the mode 0600."""
    files = RealFileSystem(tmp_path)
    files.write_new("log", b"a")
    files.write_new("log.new", b"b")
    files.rename("log.new", "log")
    assert {path.stat().st_mode & 0o777 for path in tmp_path.iterdir()} == {0o600}
