"""The fuzzer of the forwarding path: a bounded, seeded part of the cases of `python -m harness.fuzz` (docs/design/failures.md)."""

import pytest

from harness.fuzzing.http_text import Response, read_responses
from harness.fuzzing.oracle import Arrival, Oracle, ServedAnswer
from harness.fuzzing.plan import PlannedRequest, ServerFault, draw_case, draw_move
from harness.fuzzing.run import FuzzOptions, play_cases

CASES = 150
LITTLE_MEMORY_BYTES = 600 << 10  # far less than 40 clients at a time use


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_edge_breaks_no_rule_under_misbehaving_servers_and_clients(seed):
    """With servers and clients that misbehave at arbitrary bytes, the oracle finds no broken rule and no case hangs."""
    report = play_cases(seed, range(CASES))
    assert report.violations == []
    assert report.cases == CASES and report.runs > CASES / 2
    assert {"200", "502", "504"} <= set(report.outcomes), report.outcomes


@pytest.mark.parametrize("seed", [1, 2])
def test_late_copy_of_a_refusal_is_not_taken_for_the_answer_to_the_next_attempt(seed):
    """Servers refuse requests, and send the refusal once more in the place of the next response: no request that may run once
    runs twice, and none that ran is answered as if it had not (review case 2)."""
    report = play_cases(seed, range(CASES), FuzzOptions(0.5, (ServerFault.LATE_COPY,), concurrency=2))
    assert report.violations == [] and report.cases == CASES
    assert report.arrivals > report.requests  # some requests were sent again


@pytest.mark.parametrize("seed", [1, 2])
def test_edge_breaks_no_rule_while_memory_is_short(seed):
    """With memory for a few requests at a time, many are refused and some cut, but no rule is broken: what is refused never ran,
    nothing runs twice, and no answer is mixed with another."""
    report = play_cases(seed, range(CASES), FuzzOptions(memory_bytes=LITTLE_MEMORY_BYTES))
    assert report.violations == [] and report.cases == CASES
    assert {"200", "503"} <= set(report.outcomes), report.outcomes


def test_same_seed_draws_the_same_cases():
    """A seed and a case number always give the same case and the same server faults."""
    assert [draw_case(7, number) for number in range(50)] == [draw_case(7, number) for number in range(50)]
    assert [draw_move(7, "q1-0", arrival, 0.3) for arrival in range(9)] == [
        draw_move(7, "q1-0", arrival, 0.3) for arrival in range(9)
    ]
    assert len({draw_case(7, number).fault for number in range(200)}) > 8


# the oracle itself: it detects the violation of each rule ---------------------------------------

REQUEST = PlannedRequest("q1", "once", "POST", b"body", False, 9)
STREAM = PlannedRequest("q1", "chat", "POST", b"body", False, 2)
GIVEN = b"HTTP/1.1 200 Any\r\nX-Request-Id: q1\r\nX-Server-Seal: s1.1\r\nContent-Length: 2\r\n\r\nok"


def _oracle(request=REQUEST, runs=(True,), is_whole=True, **arrived):
    oracle = Oracle()
    oracle.ask(request).is_whole = is_whole
    for place, has_run in enumerate(runs):
        fields = {
            "server": f"s{place}",
            "method": request.method,
            "path": request.path,
            "body": request.body,
            **arrived,
        }
        oracle.arrivals["q1"].append(Arrival(has_run=has_run, **fields))
    oracle.answers["q1"].append(ServedAnswer("q1", "s1.1", "POST", 200, b"ok", GIVEN, "none", bytearray(GIVEN)))
    return oracle


def _received(oracle, raw):
    (response,) = read_responses(raw, ["POST"]).responses
    oracle.receive(oracle.asked["q1"].request, response)
    return {line.partition(":")[0] for line in oracle.judge()}


def test_oracle_accepts_correct_responses():
    """The oracle reports no violation for a server's unchanged response or an error response of the edge itself."""
    assert _received(_oracle(), GIVEN) == set()
    assert _received(_oracle(runs=(False,)), b"HTTP/1.1 503 Any\r\nContent-Length: 0\r\n\r\n") == set()
    assert _received(_oracle(), b"HTTP/1.1 502 Any\r\nContent-Length: 0\r\n\r\n") == set()


@pytest.mark.parametrize(
    "raw",
    [
        GIVEN.replace(b"ok", b"no"),
        GIVEN.replace(b"200", b"201"),
        GIVEN.replace(b"s1.1", b"s1.2"),
        GIVEN.replace(b"200", b"500"),
        GIVEN.replace(b"X-Server-Seal: s1.1\r\n", b""),
        GIVEN.replace(b"Id: q1", b"Id: q2"),
        GIVEN.replace(b"200", b"101"),
    ],
)
def test_oracle_reports_a_response_that_no_server_sent_as_mixed(raw):
    """A response whose body, status, seal or request id differs from the server's is reported as MIXED."""
    assert _received(_oracle(), raw) == {"MIXED"}


def test_oracle_reports_each_rule_about_requests_at_servers():
    """The oracle reports a second run, a not-run status after a run, changed or partial requests, and too many attempts."""
    nothing = b"HTTP/1.1 502 Any\r\nContent-Length: 0\r\n\r\n"
    assert _received(_oracle(runs=(True, True)), nothing) == {"TWICE"}
    assert _received(_oracle(), nothing.replace(b"502", b"503")) == {"REFUSED"}
    assert _received(_oracle(body=b"bodx"), nothing) == {"UNASKED"}
    assert _received(_oracle(is_whole=False), nothing) == {"UNASKED"}
    assert _received(_oracle(STREAM, runs=(True,) * 4), nothing) == {"BUDGET"}
    assert _received(_oracle(), nothing.replace(b"502", b"404")) == {"DENIED"}


def test_oracle_reports_a_missing_or_repeated_stream_event():
    """The oracle reports a stream in which an event is missing or repeated, whether the stream is complete or not."""
    events = [b"id: 1\ndata: q1\n\n", b"id: 2\ndata: q1\n\n"]
    for body, is_complete, rules in (
        (events, True, set()),
        (events[:1], False, set()),
        (events[:1], True, {"MIXED"}),
        (events[1:], False, {"ORDER"}),
        (events[:1] * 2, False, {"ORDER"}),
    ):
        oracle = _oracle(STREAM)
        oracle.receive(
            STREAM, Response(200, ((b"x-server-seal", b"s1.1"), (b"x-request-id", b"q1")), b"".join(body), is_complete)
        )
        assert {line.partition(":")[0] for line in oracle.judge()} == rules, body


@pytest.mark.parametrize(
    "raw,is_complete",
    [
        (b"HTTP/1.1 200 A\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", True),
        (b"HTTP/1.1 200 A\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", False),
        (b"HTTP/1.1 100 A\r\n\r\nHTTP/1.1 200 A\r\nContent-Length: 2\r\n\r\nok", True),
        (b"HTTP/1.1 200 A\r\n\r\nok", False),
        (b"HTTP/1.1 200 A\r\nContent-Length: 3\r\n\r\nok", False),
        (b"HTTP/1.1 200 A\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", False),
    ],
)
def test_response_parser_distinguishes_complete_from_cut_responses(raw, is_complete):
    """Responses that are cut, or whose end is unknown or ambiguous, do not count as complete."""
    (response,) = read_responses(raw, ["GET"]).responses
    assert response.is_complete is is_complete
