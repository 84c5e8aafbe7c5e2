"""Tests of event streams in the forwarding pipeline: complete events, aborts and resumes (docs/design/forwarding.md,
docs/design/inference.md)."""

import pytest

from tests.forwarding.forwarding_fixtures import CHAT, EVENTS, LOOSE, NOT_RUN, Scene, catalogue, event, route


def test_events_are_relayed_at_once_and_only_complete():
    """Given chunks that split events, each event is relayed in the step in which it is complete, and no partial event
    is."""
    scene = Scene()
    cid = scene.ask(CHAT)
    scene.sent(cid)
    scene.head(cid, 200, EVENTS)
    assert scene.client_effects(cid) == []
    raw = event(1) + event(2)
    scene.call_event(cid, "chunk", raw[: len(event(1)) + 4])
    assert [effect[0] for effect in scene.client_effects(cid)] == ["head", "chunk"] and scene.body(cid) == event(1)
    scene.call_event(cid, "chunk", raw[len(event(1)) + 4 :])
    assert scene.body(cid) == raw
    scene.call_event(cid, "end")
    assert scene.client_effects(cid)[-1][0] == "end" and scene.settled()


def test_a_resumable_stream_is_resumed_elsewhere_after_its_last_event():
    """Given a stream that breaks within an event, it is resumed at another server after the last complete event, within
    one response with the first server's head: no event is missing or repeated. The ledger records the time of the first
    event."""
    scene = Scene()
    cid = scene.ask(CHAT)
    first = scene.target_server(cid)
    scene.after(0.1).stream(cid, 1, 2)
    scene.call_event(cid, "chunk", event(3)[:-3])
    scene.after(0.5).call_event(cid, "fault", "reset")
    scene.run(0.3)
    assert len(scene.sends(cid)) == 2 and scene.target_server(cid) != first
    assert dict(scene.sends(cid)[-1][4])["last-event-id"] == "2" and scene.sends(cid)[-1][5] == b"{}"
    scene.stream(cid, 3, 4)
    scene.call_event(cid, "end")
    assert [effect[0] for effect in scene.client_effects(cid)].count("head") == 1 and scene.client_effects(cid)[-1][
        0
    ] == "end"
    assert scene.body(cid) == b"".join(map(event, (1, 2, 3, 4))) and scene.settled()
    (record,) = scene.records(True)
    assert (
        record["state"] == "done"
        and record["firstToken"] == 0.1
        and record["late"] is False
        and len(record["tries"]) == 2
    )


def test_the_clients_last_event_id_is_sent_until_a_newer_event_arrives():
    """Given a client that resumes at event 12, the first server gets 12 as the last event id, and a later one the id of
    the newest event."""
    scene = Scene()
    cid = scene.ask(CHAT, last=12)
    assert dict(scene.sends(cid)[-1][4])["last-event-id"] == "12"
    scene.sent(cid)
    scene.call_event(cid, "fault", "reset")
    scene.run(0.3)
    assert dict(scene.sends(cid)[-1][4])["last-event-id"] == "12"
    scene.stream(cid, 13)
    scene.call_event(cid, "fault", "reset")
    scene.run(0.3)
    assert [pair for pair in scene.sends(cid)[-1][4] if pair[0].lower() == "last-event-id"] == [("last-event-id", "13")]


@pytest.mark.parametrize("numbers", [(1, 2, 3), (2, 3), (0,)])
def test_a_resume_that_repeats_events_is_never_relayed(numbers):
    """Given a server that does not resume after the requested event, none of its events reach the client."""
    scene = Scene()
    cid = scene.ask(CHAT)
    scene.stream(cid, 1, 2)
    scene.call_event(cid, "fault", "reset")
    scene.run(0.3)
    scene.stream(cid, *numbers)
    assert scene.body(cid) == event(1) + event(2)
    scene.run(0.3)
    scene.stream(cid, 3)
    scene.call_event(cid, "end")
    assert scene.body(cid) == event(1) + event(2) + event(3) and scene.client_effects(cid)[-1][0] == "end"


def test_the_number_of_resumes_is_limited_and_then_the_stream_is_aborted():
    """Given servers that break after one event each, a stream is resumed three times and then aborted, never ended as
    if it were complete."""
    scene = Scene()
    scene.retry_budget.cap = 40.0
    scene.give_credit(40.0)
    cid, number = scene.ask(CHAT), 0
    while not any(effect[0] in ("drop", "end") for effect in scene.client_effects(cid)) and number < 30:
        number += 1
        scene.stream(cid, number)
        scene.call_event(cid, "fault", "reset")
        scene.run(0.3)
    assert scene.client_effects(cid)[-1][0] == "drop" and number == 4 and scene.settled()


def test_a_stream_is_resumed_at_no_more_servers_than_its_route_allows():
    """Given a route of two tries and three servers, a stream that breaks again and again alternates between two
    servers."""
    scene = Scene(catalogue(routes=[route("chat", "stream", "llm", resumable=True, tries=2)]), credit=40.0)
    cid = scene.ask(CHAT)
    for number in range(1, 4):
        scene.stream(cid, number)
        scene.call_event(cid, "fault", "reset")
        scene.run(0.5)
    assert len(scene.sends(cid)) == 4 and len({dict(send[4])["x-expect-instance"] for send in scene.sends(cid)}) == 2


@pytest.mark.parametrize("how", ["reset", "end", "503"])
def test_a_non_resumable_stream_is_aborted_without_an_end(how):
    """Given a stream that may not run twice, a break after its first event aborts the response to the client."""
    scene = Scene()
    cid = scene.ask(LOOSE)
    scene.stream(cid, 1)
    if how == "reset":
        scene.call_event(cid, "fault", "reset")
    else:
        scene.call_event(cid, "chunk", event(2)[:-1])
        scene.call_event(cid, "end")
    scene.run(5)
    assert [effect[0] for effect in scene.client_effects(cid)] == ["head", "chunk", "drop"] and len(
        scene.sends(cid)
    ) == 1
    assert scene.records(True)[0]["run"] == "maybe" and scene.settled()


def test_a_resume_that_is_refused_is_retried_without_waiting_for_the_body():
    """Given a resume answered with the head of a 404, the attempt is cancelled at once, and the stream is resumed at
    the next server."""
    scene = Scene()
    cid = scene.ask(CHAT)
    scene.stream(cid, 1)
    scene.call_event(cid, "fault", "reset")
    scene.run(0.3)
    tid = scene.sends(cid)[-1][1]
    scene.sent(cid)
    assert ("unfetch", tid) in scene.head(cid, 404)
    scene.run(0.3)
    scene.stream(cid, 2)
    scene.call_event(cid, "end")
    assert (
        len(scene.sends(cid)) == 3
        and scene.body(cid) == event(1) + event(2)
        and scene.client_effects(cid)[-1][0] == "end"
    )


def test_a_stream_that_no_server_resumes_is_aborted_and_may_have_run():
    """Given a resume that gets a not-run 503 and then a whole body instead of a stream, neither reaches the client, the
    stream is aborted, and its record says that it may have run."""
    scene = Scene()
    cid = scene.ask(CHAT)
    scene.stream(cid, 1)
    scene.call_event(cid, "fault", "reset")
    scene.run(0.3)
    scene.answer(cid, 503, b"", NOT_RUN, seal=False)
    scene.run(0.3)
    scene.answer(cid, 200, b"whole")
    scene.run(6)
    assert [effect[0] for effect in scene.client_effects(cid)] == ["head", "chunk", "drop"] and scene.body(
        cid
    ) == event(1)
    assert scene.records(True)[0]["run"] == "maybe" and scene.settled()
