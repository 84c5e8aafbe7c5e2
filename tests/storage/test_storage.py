"""Record files, day logs and the queue before them, over a simulated disk and a real folder."""

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
    """The bytes of each batch, one after the other."""
    raws = []
    for records in batches:
        raw, position = pack_batch(name, position, records)
        raws.append(raw)
    return raws


# what a reader makes of bytes ---------------------------------------------------------


def test_records_of_an_unsynced_batch_are_cut_off_wherever_it_is_torn():
    """Given a last batch of three records of which any part was lost, nothing of it is taken, and nothing is called damage."""
    first, last = _batches([["one"]], [["two"], ["three"], ["four"]])
    spoiled = [last[:length] for length in range(len(last))]  # shorter
    spoiled += [
        bytes(length) + last[length:] for length in range(1, len(last))
    ]  # its head is zeros, good records after it
    spoiled += [last[:place] + bytes(5) + last[place + 5 :] for place in range(len(last) - 5)]  # its middle is missing
    spoiled += [
        bytes(len(last)),
        last[: len(last) // 2] + bytes(len(last) - len(last) // 2),
    ]  # the length is set, but there are zeros
    for tail in spoiled:
        content = read_file("log", first + tail)
        assert content.records in ((("one",),), (("one",), ("two",), ("three",), ("four",))) and content.damage == "", (
            tail
        )
        if content.records == (("one",),):
            assert content.position.length == len(first)


def test_each_flipped_byte_before_the_last_batch_is_damage():
    raws = _batches([["one"]], [["two"], ["three"]], [["four"]])
    whole = b"".join(raws)
    for place in range(len(whole)):
        content = read_file("log", whole[:place] + bytes([whole[place] ^ 0x41]) + whole[place + 1 :])
        if place < len(raws[0]) + len(raws[1]):
            assert content.damage, place
        else:
            assert content.damage == "" and len(content.records) == 3, place


def test_the_head_of_a_later_batch_alone_proves_that_the_one_before_it_was_synced():
    first, second, third = _batches([["one"]], [["two"]], [["three"]])
    assert read_file("log", first + bytes(len(second)) + third[:HEADER_SIZE]).damage
    assert not read_file("log", first + bytes(len(second)) + third[: HEADER_SIZE - 1]).damage


def test_old_bytes_of_another_generation_or_file_prove_nothing():
    """Given bytes that lay in these blocks before, of an earlier life of the file or of another one, the torn tail is a tail."""
    first, _ = _batches([["one"]], [["two"]], position=Position(generation=2))
    *_, old = _batches([["a"]], [["b"]], [["c"]], position=Position(generation=1))
    *_, strange = _batches([["a"]], [["b"]], [["c"]], name="ledger", position=Position(generation=2))
    *_, earlier = _batches([["a"]], [["b"]], position=Position(generation=1))
    *_, unchained = _batches([["another first"]], [["b"]], position=Position(generation=2))
    for rest in (earlier, unchained):
        assert read_file("log", first + rest).records == (("one",),)
    for rest in (old, strange):
        content = read_file("log", first + bytes(7) + rest)
        assert content.records == (("one",),) and content.damage == ""


def test_files_of_earlier_versions_are_read_and_grow_by_batches():
    """Given bytes as the version before wrote them (literally, one record), they are read; what is appended follows them."""
    landed = bytes.fromhex("736d6b310000001a4f62c9e9c2e5b96c") + b'["seat","core-1-0badcafe"]'
    assert single_records.pack_record(["seat", "core-1-0badcafe"])[16:] == landed[16:]
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


# any sequence of writes, any end -----------------------------------------------------------

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


class _Book:
    """What each file may hold: everything that was synced, and what was on its way or not."""

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
def test_any_writes_with_any_end_leave_what_was_synced_and_at_most_the_step_under_way(writes, seed):
    """Given any appends and rewrites, refusals with the step tried again, process ends and losses of power at any operation,
    each file holds what was synced, and beyond that all or nothing of the step under way; never is anything called damage."""
    random = Random(seed)
    files, book = SimulatedFileSystem(random), _Book()
    folder, _ = _opened(files)
    for kind, name, count, fate in writes:
        step = book.step(kind, name, count)
        if fate == "refused":
            files.steps_left = random.randint(0, 8)
            try:
                folder.write(step)
            except ProcessEndedError:  # as an error of the disk: the process goes on and tries again
                files.steps_left = None
                folder.write(step)
            files.steps_left = None
        elif fate == "good":
            folder.write(step)
        else:
            files.steps_left = random.randint(0, 8)
            try:
                folder.write(step)
            except ProcessEndedError:
                pass
            files.steps_left = None
            if fate == "power":
                files.lose_power()
            folder, opened = _opened(files)
            assert opened.damages == ()
            found = opened.records.get(name, ())
            assert found in (book.synced[name], book.after(step)), (found, book.synced[name], step)
            book.synced[name] = found
            other = "ledger" if name == "log" else "log"
            assert opened.records.get(other, ()) == book.synced[other]
            files.lose_power()  # what a start has found and acted on stays
            folder, opened = _opened(files)
            assert opened.records.get(name, ()) == found
            continue
        book.synced[name] = book.after(step)
    files.lose_power()
    assert {name: _opened(files)[1].records.get(name, ()) for name in book.synced} == book.synced


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(1, 4), strategies.sampled_from(("good", "refused", "ends", "power"))),
        min_size=1,
        max_size=14,
    ),
    strategies.integers(0, 1 << 32),
)
def test_day_logs_hold_every_synced_line_and_only_whole_ones_after_the_next_append(lines, seed):
    """Given lines with refusals, ends and losses of power at any operation, every synced line is there, and all parse."""
    import msgspec

    random = Random(seed)
    files, number, synced, begun = SimulatedFileSystem(random), 0, set(), set()
    folder, _ = _opened(files)
    for count, fate in lines:
        step = _step(
            WriteKind.DAY_LOG,
            "day-2026-03-02.jsonl",
            *({"row": number + place, "pad": "x" * 40} for place in range(count)),
        )
        numbers = set(range(number, number + count))
        number += count
        begun |= numbers
        folder.day_logs.segment_bytes = 300
        if fate != "good":
            files.steps_left = random.randint(0, 9)
        try:
            folder.write(step)
            synced |= numbers
        except ProcessEndedError:
            files.steps_left = None
            if fate == "refused":
                folder.write(step)
                synced |= numbers
        files.steps_left = None
        if fate in ("ends", "power"):
            if fate == "power":
                files.lose_power()
            folder, _ = _opened(files)
    folder.write(_step(WriteKind.DAY_LOG, "day-2026-03-02.jsonl", {"row": number}))
    found = [msgspec.json.decode(line)["row"] for name in files.names() for line in files.read(name).splitlines()]
    assert synced <= set(found) <= begun | {number} and len(found) == len(set(found))


# the folder --------------------------------------------------------------------------------


def test_what_a_killed_process_left_unsynced_is_durable_before_the_next_one_acts_on_it():
    """Given a process killed between write and sync, and power lost after the next start: what that start read is still there."""
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


def test_damage_gives_the_identity_up_and_keeps_the_file_for_the_operator():
    """Given bytes changed in the middle of the log, the node has neither log nor ledger any more; other files stay."""
    files = SimulatedFileSystem(Random(1))
    folder, _ = _opened(files)
    for name in NAMES:
        for number in range(3):
            folder.write(_step(WriteKind.APPEND, name, [name, number]))
    raw = files.read("log")
    spoiled = raw[:60] + b"?" + raw[61:]
    files.write_new("log", spoiled)
    folder, opened = _opened(files)
    assert set(opened.records) == {"image"}
    assert [damage.name for damage in opened.damages] == ["log", "ledger"] and "follows it" in opened.damages[0].reason
    assert files.read("log.damaged") == spoiled
    folder.write(_step(WriteKind.APPEND, "log", ["new identity"]))
    files.lose_power()
    assert _opened(files)[1].records == {
        "log": (("new identity",),),
        "image": (("image", 0), ("image", 1), ("image", 2)),
    }


def test_damage_of_a_file_that_bears_no_identity_costs_that_file_only():
    files = SimulatedFileSystem(Random(1))
    folder, _ = _opened(files)
    for name in NAMES:
        folder.write(_step(WriteKind.APPEND, name, [name]))
        folder.write(_step(WriteKind.APPEND, name, [name]))
    files.write_new("image", b"?" + files.read("image")[1:])
    opened = _opened(files)[1]
    assert set(opened.records) == {"log", "ledger"} and [damage.name for damage in opened.damages] == ["image"]


def test_an_identity_is_given_up_for_good_wherever_the_start_is_cut_short():
    """Given damage of the ledger, and a start that ends or loses power at any operation: the log is never taken again
    together with a ledger that is gone."""
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


def test_leftovers_of_a_rewrite_are_removed_and_never_read():
    files = SimulatedFileSystem(Random(1))
    folder, _ = _opened(files)
    folder.write(_step(WriteKind.APPEND, "log", ["one"]))
    files.write_new("log.new", b"".join(_batches([["half"]], [["a rewrite"]]))[:-3])
    assert _opened(files)[1].records == {"log": (("one",),)} and files.names() == ["log"]


# a real folder, each call to the system failing once --------------------------------------------


@pytest.mark.parametrize("call", ("open", "write", "fsync", "ftruncate", "replace"))
@pytest.mark.parametrize("kind", (WriteKind.APPEND, WriteKind.REWRITE, WriteKind.DAY_LOG))
def test_a_refused_call_to_the_system_is_made_good_by_the_next_try(tmp_path, monkeypatch, call, kind):
    """Given a disk that refuses the n-th call of a step and then takes it, the file holds the step once, and the next one after it."""
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
    raise AssertionError("the call was made more often than was tried")


def _refuse_nth(patch, call, nth, refused):
    """The n-th call fails; a write that fails has written a half before."""
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


def test_after_a_failed_sync_the_file_is_cut_back_before_anything_is_appended(tmp_path, monkeypatch):
    """Given a sync that fails once and would succeed when asked again, it is not just asked again: the bytes are written anew."""
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


def test_each_new_name_is_synced_in_its_folder_and_a_new_folder_in_its_parent(tmp_path, monkeypatch):
    """Given a data folder whose parent is missing as well, each folder's entry is synced where it stands; so is each file's."""
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


# day logs, bounded -----------------------------------------------------------------------------


def test_day_logs_are_cut_into_segments_and_the_oldest_give_way():
    """Given more lines than the bound holds, over two days, the newest are kept, in whole segments, and the removed are named."""
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


# the queue -------------------------------------------------------------------------------------


def test_the_queue_gives_lines_before_the_rows_that_depend_on_them_and_the_first_file_before_all():
    queue = WriteQueue("log")
    for number in range(2):
        queue.put(AppendDayLog(f"day-{number}", ([number],)), ZERO)
        queue.put(AppendRecords("ledger", ([number],), f"row {number}"), ZERO)
    queue.put(AppendRecords("log", (["promise"],), "promised"), timedelta(seconds=0.5))
    order = []
    while (step := queue.begin_step(ZERO)) is not None:
        order.append((step.file, queue.finish_step()))
    assert order == [("log", ("promised",)), ("day-0", ()), ("day-1", ()), ("ledger", ("row 0", "row 1"))]


def test_the_queue_tells_once_that_the_disk_refuses_or_stalls_and_once_that_it_takes_records_again():
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
    assert queue.state_change(second * 9) is None  # nobody has begun to write it
    queue.begin_step(second * 10)
    assert queue.state_change(second * 11) is None
    assert queue.state_change(second * 11.1).is_available is False
    assert queue.state_change(second * 12) is None and queue.finish_step() == ("two",)
    assert queue.state_change(second * 3).is_available


def test_rewrites_that_wait_take_each_others_place():
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


# all files together, over a long day ---------------------------------------------------------------


def test_all_files_of_a_core_stay_well_below_its_disk_over_a_long_day():
    """Given 30,000 requests with long tags at one keeper, opened and closed, ledger and day logs stay within their bounds at
    every moment, with what is written beside; open rows are all kept, and of the closed ones the newest."""
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


def test_a_simulated_disk_keeps_just_the_first_writes_if_told_so():
    """Given three writes on their way, of two files, and a loss of power that keeps two, the third is gone."""
    disk = Disk()
    disk.begin(AppendRecords("log", (("a", 1),)), ZERO)
    disk.finish()
    for number in (2, 3):
        disk.begin(AppendRecords("log", (("a", number),)), ZERO)
        disk.begin(AppendRecords("image", (("b", number),)), ZERO)
    disk.lose_power(writes_kept=3)
    disk.open(ZERO)
    assert disk.files == {"log": [("a", 1), ("a", 2), ("a", 3)], "image": [("b", 2)]} and disk.unfinished == []


def test_files_are_for_their_owner_alone(tmp_path):
    """Given files that are made new, appended to and written in the place of others, nobody but their owner may read or write them."""
    files = RealFileSystem(tmp_path)
    files.write_new("log", b"a")
    files.write_new("log.new", b"b")
    files.rename("log.new", "log")
    assert {path.stat().st_mode & 0o777 for path in tmp_path.iterdir()} == {0o600}
