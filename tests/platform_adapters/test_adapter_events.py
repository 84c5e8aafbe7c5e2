"""Tests that the platform adapters pass the host's events to the node's state machine."""

from datetime import timedelta

import pytest
from node_adapter import NodeAdapter
from operator_adapter import OperatorAdapter

from sumachook.host.effects import Send
from sumachook.ledger.events import RecordsSynced, RewriteSynced
from sumachook.ledger.messages import RecordsOpened
from sumachook.storage.events import DiskStateChanged

DISK_EVENTS = [
    RecordsSynced(Send("127.0.0.1:1", RecordsOpened(()))),
    RewriteSynced(),
    DiskStateChanged(is_available=False, reason="full"),
]


class RecordingStateMachine:
    """Records the events that it handles."""

    node, restart_epoch, tick_interval = "core-1", 1, timedelta(seconds=0.05)

    def __init__(self):
        self.events = []

    def take(self, event, now):
        """Records the event; returns no effects."""
        self.events.append(event)
        return []


@pytest.mark.parametrize("adapter_type", [NodeAdapter, OperatorAdapter])
@pytest.mark.parametrize("event", DISK_EVENTS, ids=lambda event: type(event).__name__)
def test_disk_events_are_passed_to_state_machine(adapter_type, event, tmp_path):
    """Events that records are synced or that the disk is full must reach the state machine behind an adapter."""
    machine = RecordingStateMachine()
    more = (("hall-a",),) if adapter_type is OperatorAdapter else ()
    adapter = adapter_type(machine, str(tmp_path / "settings.toml"), *more)
    adapter.take(event, timedelta(0))
    assert machine.events == [event]
