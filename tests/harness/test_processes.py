"""Processes of a city: the model servers' records of what they ran are read whole, or the reading is an error."""

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
    """(status, document) as it arrives over HTTP."""
    (answer,) = server.take(HttpRequestReceived(9, "GET", "/proof", {}, b""), NOW)
    return answer.status, msgspec.json.decode(answer.body)


def _call(tag="a", outcome="ok", run="yes", safe=False):
    return {"tag": tag, "outcome": outcome, "run": run, "safe": safe}


class _Spec:
    """A list of one model server."""

    servers = ({"kind": "model", "name": "model-1", "address": "127.0.0.1:1"},)


class _Fleet(processes.Processes):
    """Processes of which one should be up; whoever asks it gets the answer given."""

    __slots__ = ("answer",)

    def __init__(self, answer):
        self.answer, self.spec, self.running = answer, _Spec(), {"model-1": None}

    def get(self, *_):
        return self.answer


def test_server_record_answers_with_every_documented_key():
    """Given a new stand-in, its record holds each documented key, and nothing in them."""
    status, document = _answer(_model_server())
    assert status == 200 and set(document) == DOCUMENTED_KEYS
    assert count_prompts([read_server_record("model-1", (status, document))]) == 0


def test_server_record_counts_a_prompt_that_was_run():
    """Given a stand-in that was asked to run one prompt in its first step of warming, its record counts it by its tag."""
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
def test_server_without_a_record_is_an_error(answer, reason, monkeypatch):
    """Given a stand-in that should be up and answers with an error, oddly or not at all, reading the records raises."""
    monkeypatch.setattr(processes, "ANSWER_WITHIN", 0.01)
    with pytest.raises(ServerRecordError, match=reason) as raised:
        _Fleet(answer).server_records()
    assert raised.value.server == "model-1"


def test_records_are_read_of_servers_that_should_be_up_only():
    """Given a server that was ended on purpose, the records are those of the others."""
    fleet = _Fleet((200, EMPTY_RECORD))
    assert list(fleet.server_records()) == ["model-1"]
    fleet.running.clear()
    assert fleet.server_records() == {}


@pytest.mark.parametrize("calls", [[], [_call()], [_call(outcome="lost")]])
def test_run_whose_records_count_no_prompt_is_not_good(calls):
    """Given records without a prompt, nothing was judged, whether calls were answered or not."""
    verdict = judge_runs(calls, [read_server_record("model-1", (200, EMPTY_RECORD))])
    assert not verdict.is_good and "NOTHING WAS JUDGED" in verdict.describe()


def test_run_is_judged_by_the_records_of_all_servers():
    """Given calls and records: one run of each is good; an unsafe call run on two servers or one told 'not run' is not."""
    first = read_server_record("model-1", (200, {**EMPTY_RECORD, "runs": {"a": 1}}))
    second = read_server_record("model-2", (200, {**EMPTY_RECORD, "runs": {"a": 1}}))
    assert judge_runs([_call()], [first]).is_good
    assert judge_runs([_call(safe=True)], [first, second]).is_good
    assert judge_runs([_call()], [first, second]).run_twice == ["a"]
    assert judge_runs([_call(), _call(run="no")], [first]).run_despite_promise == ["a"]
    broken = read_server_record("model-1", (200, {**EMPTY_RECORD, "runs": {"a": 1}, "broken": ["m beyond memory"]}))
    assert not judge_runs([_call()], [broken]).is_good
