"""The records that model servers keep of their runs: reading an incomplete or missing record is an error."""

from datetime import timedelta

import msgspec
import pytest

from harness.local_cluster import processes
from harness.local_cluster.run_verdict import judge_runs
from harness.local_cluster.server_record import ServerRecordError, count_prompts, read_server_record
from sumachook.host.events import HttpRequestReceived
from sumachook.simulation.model import ModelServer

DOCUMENTED_KEYS = {"runs", "broken", "loads", "warmPeak", "stale", "floods"}
NOW = timedelta(seconds=1)
EMPTY_RECORD = {"runs": {}, "broken": [], "loads": [], "warmPeak": {}, "stale": [], "floods": []}


def _model_server():
    listed = {"name": "model-1", "memory": 10.0, "places": 1, "slots": 2}
    catalogue = {"models": [{"name": "m", "memory": 6.0, "decodeRate": 100.0}]}
    return ModelServer(listed, catalogue, held=("m",))


def _answer(server):
    """Returns (status, decoded document) of the server's response to GET /proof."""
    (answer,) = server.take(HttpRequestReceived(9, "GET", "/proof", {}, b""), NOW)
    return answer.status, msgspec.json.decode(answer.body)


def _call(tag="a", outcome="ok", run="yes", safe=False):
    return {"tag": tag, "outcome": outcome, "run": run, "safe": safe}


class _Spec:
    """A deployment with one model server."""

    servers = ({"kind": "model", "name": "model-1", "address": "127.0.0.1:1"},)


class _Fleet(processes.Processes):
    """One model server that counts as running and returns the given response to every request."""

    __slots__ = ("answer",)

    def __init__(self, answer):
        self.answer, self.spec, self.running = answer, _Spec(), {"model-1": None}

    def get(self, *_):
        return self.answer


def test_server_record_has_every_documented_key():
    """The record of a new fake model server has exactly the documented keys and counts no prompts."""
    status, document = _answer(_model_server())
    assert status == 200 and set(document) == DOCUMENTED_KEYS
    assert count_prompts([read_server_record("model-1", (status, document))]) == 0


def test_server_record_counts_a_run_prompt():
    """A prompt that ran while its model was still warming up is counted under its tag, also in the peak while warming."""
    server = _model_server()
    server.ready_at["m"] = NOW
    body = b'{"model":"m","messages":[{"content":"a"}]}'
    server.take(HttpRequestReceived(1, "POST", "/v1/chat/completions", {"x-request-id": "r"}, body), NOW)
    record = read_server_record("model-1", _answer(server))
    assert record.runs == {"a": 1} and record.prompts == 1 and record.warm_peak == {"m": 1}


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (None, "no answer"),
        ((500, {"error": {"message": "internal"}}), "status 500"),
        ((200, {}), "missing required field"),
        ((200, {**EMPTY_RECORD, "runs": ["a"]}), "Expected `object`"),
    ],
)
def test_server_without_a_valid_record_is_an_error(answer, reason, monkeypatch):
    """Reading the records raises if a running server returns an error, an invalid document or no response."""
    monkeypatch.setattr(processes, "ANSWER_WITHIN", 0.01)
    with pytest.raises(ServerRecordError, match=reason) as raised:
        _Fleet(answer).server_records()
    assert raised.value.server == "model-1"


def test_records_are_read_only_from_running_servers():
    """A server that was stopped on purpose is left out of the records."""
    fleet = _Fleet((200, EMPTY_RECORD))
    assert list(fleet.server_records()) == ["model-1"]
    fleet.running.clear()
    assert fleet.server_records() == {}


@pytest.mark.parametrize("calls", [[], [_call()], [_call(outcome="lost")]])
def test_run_without_a_recorded_prompt_is_not_good(calls):
    """If the records count no prompt, nothing was judged, whether or not calls were answered."""
    verdict = judge_runs(calls, [read_server_record("model-1", (200, EMPTY_RECORD))])
    assert not verdict.is_good and "NOTHING WAS JUDGED" in verdict.describe()


def test_verdict_uses_the_records_of_all_servers():
    """A non-idempotent call run on two servers, or a call reported as not run that ran, makes the verdict bad."""
    first = read_server_record("model-1", (200, {**EMPTY_RECORD, "runs": {"a": 1}}))
    second = read_server_record("model-2", (200, {**EMPTY_RECORD, "runs": {"a": 1}}))
    assert judge_runs([_call()], [first]).is_good
    assert judge_runs([_call(safe=True)], [first, second]).is_good
    assert judge_runs([_call()], [first, second]).run_twice == ["a"]
    assert judge_runs([_call(), _call(run="no")], [first]).run_despite_promise == ["a"]
    broken = read_server_record("model-1", (200, {**EMPTY_RECORD, "runs": {"a": 1}, "broken": ["m beyond memory"]}))
    assert not judge_runs([_call()], [broken]).is_good
