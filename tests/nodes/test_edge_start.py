"""Tests of the start of an edge from the state file on its own disk (docs/design/changefeed.md)."""

from datetime import timedelta
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as strategies

from sumachook.changefeed.messages import ChangeBatch, Snapshot
from sumachook.changefeed.snapshot import pack_snapshot
from sumachook.configuration.node_settings import NodeSettings
from sumachook.control_state.state import State
from sumachook.host.effects import AppendRecords, RewriteRecords
from sumachook.host.events import MessageReceived, Tick
from sumachook.nodes.edge import Edge
from sumachook.nodes.state_file import FILE, MAX_ENTRIES, StateFile
from sumachook.transport.codec import as_tuples, pack_entry
from tests.configuration.test_services import route, whole

START, TICK = timedelta(seconds=100), timedelta(seconds=0.05)


class _Disk:
    """The records of the state file, as a starting process would read them, and counts of writes."""

    def __init__(self):
        self.records, self.rewrites, self.written = (), 0, 0

    def take(self, effects):
        for effect in effects:
            assert effect.file == FILE
            raw = msgspec.json.encode(effect.records)
            is_rewrite = type(effect) is RewriteRecords
            self.written += len(raw)
            self.rewrites += is_rewrite
            self.records = (*(() if is_rewrite else self.records), *as_tuples(msgspec.json.decode(raw)))


def _same(state, other):
    return msgspec.json.decode(msgspec.json.encode(state.snapshot())) == msgspec.json.decode(
        msgspec.json.encode(other.snapshot())
    )


def _change(number, routes=0):
    if number == 1:
        return ("configure", "q", whole(1) | {"httpRoutes": [route(place) for place in range(routes)]}, {}, False, 0)
    return ("configure", f"q{number}", {"version": number, "httpRoutes": [route(number)]}, {}, True, number - 1)


def _apply(state, file, entries):
    """Applies entries that arrived in one message."""
    first = state.number + 1
    for number, entry in enumerate(entries, first):
        state.apply(number, as_tuples(msgspec.json.decode(entry)))
    file.add(first, entries)


STEPS = strategies.lists(
    strategies.tuples(strategies.sampled_from(("change", "duty", "image", "start")), strategies.integers(1, 40)),
    max_size=12,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(STEPS)
def test_edge_starts_with_its_last_saved_state(steps):
    """After changes, snapshots of the change feed and restarts in any order, the file contains the state as of the last
    save."""
    disk, state, now, version = _Disk(), State(), START, 0
    file = StateFile(state, True, (), now)
    for kind, count in steps:
        if kind == "change":
            changes = [_change(version + each) for each in range(1, count + 1)]
            version += count
            _apply(state, file, [pack_entry(change) for change in changes])
        elif kind == "duty":
            _apply(state, file, [pack_entry(("duty-vacate", "placer", 0))] * count)
        elif kind == "image":
            snapshot = msgspec.json.decode(msgspec.json.encode(state.snapshot()))
            state.restore(as_tuples(snapshot | {"number": state.number + count}))
            file.replace()
        else:
            state = State()
            file = StateFile(state, True, disk.records, now)
        now += timedelta(seconds=3)
        disk.take(file.save(now))
        restarted = State()
        StateFile(restarted, True, disk.records, now)
        assert _same(restarted, state) and restarted.catalogue == state.catalogue
        assert state.checked is None or restarted.checked.route_by_match == state.checked.route_by_match


def test_small_changes_rarely_rewrite_the_snapshot():
    """With 2,600 routes and 200 changes of one each, the snapshot is rewritten only once per `MAX_ENTRIES` + 1 changes,
    and all writes together stay below four snapshots, a fiftieth of 200."""
    disk, state = _Disk(), State()
    file = StateFile(state, True, (), START)
    _apply(state, file, [pack_entry(_change(1, 2600))])
    disk.take(file.save(START))
    size, disk.written, disk.rewrites = disk.written, 0, 0
    for number in range(2, 202):
        _apply(state, file, [pack_entry(_change(number))])
        disk.take(file.save(START + TICK * number))
    assert disk.rewrites == 200 // (MAX_ENTRIES + 1) and disk.written < size * 4
    assert len(disk.records) <= MAX_ENTRIES + 1


def test_configuration_is_saved_at_once_and_other_changes_within_two_seconds():
    """A change of a singleton role alone is written after two seconds; a configuration is written at the next save."""
    state = State()
    file = StateFile(state, True, (), START)
    _apply(state, file, [pack_entry(("duty-vacate", "placer", 0))])
    assert file.save(START + TICK) == [] and type(file.save(START + timedelta(seconds=2.1))[0]) is RewriteRecords
    _apply(state, file, [pack_entry(_change(1))])
    (effect,) = file.save(START + timedelta(seconds=2.2))
    ((kind, first, entries),) = effect.records
    assert type(effect) is AppendRecords and (effect.file, kind, first, len(entries)) == (FILE, "entries", 2, 1)
    with pytest.raises(ValueError):
        file.add(9, (b"",))


def test_edge_without_a_disk_writes_nothing():
    """Changes cause no writes on an edge without a data folder."""
    state = State()
    file = StateFile(state, False, (), START)
    _apply(state, file, [pack_entry(_change(1))])
    assert file.save(START + timedelta(seconds=9)) == [] and file.unsaved_entries == []


def test_edge_saves_snapshots_and_entries_of_the_change_feed():
    """A snapshot and a change from the change feed are on the edge's disk by the next tick, and a restart reads both."""
    from sumachook.runtime.clock import Clock

    core, disk = State(), _Disk()
    core.apply(1, _change(1, 3))
    node_settings = NodeSettings(
        node="e1",
        address="127.0.0.1:1",
        http_address="127.0.0.1:2",
        zone="hall-a",
        seeds=("127.0.0.1:3",),
        data="somewhere",
    )
    now = Clock().mono()
    edge = Edge(node_settings, {}, 1, Clock(), Random(1))

    def receive(message):
        nonlocal now
        now += TICK
        edge.take(MessageReceived("c", "127.0.0.1:3", message), now)
        disk.take(
            [
                effect
                for effect in edge.take(Tick(), now)
                if isinstance(effect, AppendRecords | RewriteRecords) and effect.file == FILE
            ]
        )

    receive(Snapshot(1, pack_snapshot(core.snapshot())))
    core.apply(2, _change(2))
    receive(ChangeBatch(2, (pack_entry(_change(2)),)))
    assert [record[0] for record in disk.records] == ["image", "entries"]
    restarted = Edge(node_settings, {FILE: disk.records}, 2, Clock(), Random(1))
    assert restarted.state.version == 2 and _same(restarted.state, core) and restarted.follower.number == 2


def test_file_without_some_entries_gets_a_snapshot():
    """Entries that were applied but not recorded, since a component failed, are not left out on the disk: the next write is a
    snapshot, and a restart has them (review case 1)."""
    disk, state = _Disk(), State()
    file = StateFile(state, True, (), START)
    _apply(state, file, [pack_entry(_change(1, 3))])
    disk.take(file.save(START))
    state.apply(2, _change(2))  # never recorded
    _apply(state, file, [pack_entry(_change(3))])
    disk.take(file.save(START + timedelta(seconds=3)))
    restarted = State()
    StateFile(restarted, True, disk.records, START)
    assert disk.rewrites == 2 and _same(restarted, state) and restarted.number == 3
