"""Trials with real processes: unmet expectations are recorded, and an unknown node or a missing leader is an error."""

from types import SimpleNamespace

import pytest

from harness.local_cluster import trials
from harness.local_cluster.processes import Processes, UnknownNodeError

NODES = [{"name": f"core-{number}", "role": "core", "door": f"door-{number}"} for number in (1, 2, 3)]
RECORD = {"runs": {"a": 1}, "broken": [], "loads": [], "warmPeak": {}, "stale": [], "floods": []}


class _Fleet(Processes):
    """Three cores with at most one leader; no process runs."""

    __slots__ = ("leading",)

    def __init__(self, leading):
        self.leading, self.spec, self.commands = leading, SimpleNamespace(nodes=NODES), {"core-1": []}

    def get(self, http_address, *_):
        name = http_address.replace("door", "core")
        return (200, {"inView": True, "leader": f"{self.leading}-abc"}) if name != "core-3" else None

    def wait_for(self, is_reached, seconds):
        return is_reached()


def _trial(fleet, work):
    trial = trials.Trial.__new__(trials.Trial)
    trial.fleet, trial.work, trial.samples, trial.restarted_at, trial.failed = fleet, work, [{}, {}], None, []
    return trial


def test_leader_is_the_core_that_reports_itself_as_leader(tmp_path):
    """The leader is the core that reports itself as such; if no core does, none is taken for the leader."""
    assert _trial(_Fleet("core-2"), tmp_path).leader() == "core-2"
    with pytest.raises(trials.NoLeaderError):
        _trial(_Fleet("core-3"), tmp_path).leader()


def test_readiness_of_no_node_is_an_error():
    """Asking for the readiness of a name or role that no node has raises an error instead of returning True."""
    fleet = _Fleet("core-1")
    assert fleet.are_ready("core", ["core-1"]) and not fleet.are_ready("core")
    for role, names in (("core", ["core-9"]), ("edge", None)):
        with pytest.raises(UnknownNodeError):
            fleet.are_ready(role, names)


def test_trial_without_logs_or_prompts_is_not_good(tmp_path):
    """A trial with an answered call is good only if a prompt was recorded and every process has written a log."""
    from harness.local_cluster.server_record import read_server_record

    calls = tmp_path / "calls.jsonl"
    calls.write_text(
        '{"tag": "a", "outcome": "ok", "run": "yes", "safe": true, "hasMoved": false, "class": null, "at": 1.0, "seconds": 0.1}\n'
    )
    records = {"model-1": read_server_record("model-1", (200, RECORD))}
    assert not _trial(_Fleet("core-1"), tmp_path).judge("t", calls, records, {})
    (tmp_path / "core-1.log").touch()
    assert _trial(_Fleet("core-1"), tmp_path).judge("t", calls, records, {})
    assert not _trial(_Fleet("core-1"), tmp_path).judge("t", calls, {}, {})


def test_rolling_restart_expects_that_each_node_is_ready_again(tmp_path, monkeypatch):
    """A node that is not ready again after its restart is listed among the unmet expectations."""
    fleet = _Fleet("core-1")
    stopped = []
    monkeypatch.setattr(_Fleet, "stop", lambda self, name: stopped.append(name) or 0)
    monkeypatch.setattr(_Fleet, "start", lambda self, name: None)
    monkeypatch.setattr(trials.time, "sleep", lambda seconds: None)
    trial = _trial(fleet, tmp_path)
    trials.rolling(trial)
    assert len(stopped) == 3 and trial.failed == ["core-3, stopped with 0, is ready again"]
