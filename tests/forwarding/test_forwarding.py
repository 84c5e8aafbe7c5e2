"""Tests of the forwarding pipeline alone: routes, retries, responses, timeouts, placement (docs/design/forwarding.md)."""

from datetime import timedelta
from random import Random

import pytest

from sumachook.changefeed.trust import Trust
from sumachook.configuration.node_settings import NodeSettings
from sumachook.forwarding.forwarded_request import MAX_NAME_CHARS
from sumachook.forwarding.server_selection import PLACEMENT_WAIT_FRACTION
from sumachook.forwarding.server_window import MAX_CACHED_PREFIXES
from sumachook.host.effects import ConnectionReuse
from sumachook.host.events import MessageReceived, Tick
from sumachook.membership.member import MemberStatus, MemberUpdate
from sumachook.membership.messages import MemberList
from sumachook.nodes.edge import Edge
from sumachook.requests.request_table import MAX_REQUESTS
from sumachook.retry_budget.budget import service_key
from sumachook.runtime.clock import Clock
from tests.forwarding.forwarding_fixtures import (
    CHAT,
    LOOSE,
    NOT_RUN,
    ONCE,
    OWN,
    PLAIN,
    SEAL,
    SECOND,
    SERVERS,
    START,
    Scene,
    catalogue,
    event,
    route,
    server,
)

# routes ---------------------------------------------------------------------------


def test_the_longest_matching_prefix_selects_the_route():
    """Given nested prefixes on two hosts, each path is routed by its longest prefix; the query string is ignored."""
    routes = [
        route("a", "repeatable", prefix="/"),
        route("b", "repeatable", "other", prefix="/x/"),
        route("c", "repeatable", prefix="/x/y/"),
        route("d", "repeatable", "other", prefix="/", host="b.example"),
    ]
    scene = Scene(catalogue(routes=routes), {"r1": server("records"), "o1": server("other")})
    wanted = {
        ("a.example", "/q"): "r1",
        ("a.example", "/x/"): "o1",
        ("a.example", "/x"): "r1",
        ("a.example", "/x/y/z?/w/"): "r1",
        ("a.example", "/x/yy/"): "o1",
        ("A.Example:8144", "/x/q"): "o1",
        ("b.example", "/x/y/"): "o1",
        ("a.example", "/q?/x/"): "r1",
    }
    for (host, path), name in wanted.items():
        assert scene.target_server(scene.ask(path, host=host)) == name, (host, path)
    assert scene.status(scene.ask("/x/", host="c.example")) == 404


def test_requests_are_split_by_weight_and_weight_zero_gets_none():
    """Given weights 90, 10 and 0, 1000 requests split in about that ratio, and the service of weight 0 gets none."""
    split = [{"service": "records", "weight": 90}, {"service": "other", "weight": 10}, {"service": "llm", "weight": 0}]
    scene = Scene(
        catalogue(routes=[route("s", "repeatable", split=split)]),
        {"r1": server("records"), "o1": server("other"), "l1": server("llm")},
    )
    scene.table.edges = 1
    counts = {"r1": 0, "o1": 0, "l1": 0}
    for _ in range(1000):
        cid = scene.ask("/s/x")
        counts[scene.target_server(cid)] += 1
        scene.answer(cid)
    assert counts["l1"] == 0 and 60 < counts["o1"] < 150, counts


def test_404_is_sent_only_with_a_current_catalogue():
    """Given no catalogue, or a node that just restarted or is disconnected, an unknown path gets 503 with Retry-After;
    only a connected node sends a 404, which is final, without Retry-After."""
    for trust, status in ((Trust.EMPTY, 503), (Trust.UNPROVEN, 503), (Trust.DISCONNECTED, 503), (Trust.FRESH, 404)):
        scene = Scene(trust=trust)
        cid = scene.ask("/none/")
        assert bool(scene.client_effects(cid)) == (status == 404), (
            trust
        )  # otherwise it is parked for a quarter of its timeout
        scene.run(1.1)
        assert scene.status(cid) == status and scene.fault(cid)["run"] == "no", trust
        assert ("Retry-After" in dict(scene.reply(cid)[3])) == (status == 503)
    empty = Scene(False)
    empty.trust.level = Trust.EMPTY
    cid = empty.ask()
    empty.run(0.9)
    assert empty.client_effects(cid) == []
    empty.run(0.2)
    assert empty.status(cid) == 503


def test_requests_that_arrive_before_the_catalogue_are_served_once_it_is_there():
    """Given a node without a catalogue, requests are parked; once the catalogue arrives they are sent with the
    remaining time, except those whose client disconnected."""
    scene = Scene(False)
    scene.trust.level = Trust.EMPTY
    cid, gone = scene.ask(PLAIN, deadline=3000), scene.ask(PLAIN)
    scene.run(0.5)
    scene.take("gone", gone)
    assert scene.client_effects(cid) == [] and scene.sends() == []
    scene.configure(catalogue())
    scene.trust.level = Trust.FRESH
    scene.run(0.1)
    (send,) = scene.sends()
    assert 2300 <= int(dict(send[4])["x-deadline-ms"]) <= 2500 and len(scene.sends(cid)) == 1
    scene.answer(cid)
    assert scene.status(cid) == 200 and scene.table.parked_requests == {}


@pytest.mark.parametrize("trust", [Trust.EMPTY, Trust.FRESH])
def test_parked_and_in_flight_requests_are_bounded(trust):
    """Given more requests than a node may hold, parked without a catalogue or in flight, further ones are refused at
    once as not run, with Retry-After; a request that ends makes room for another."""
    doc = catalogue()
    doc["services"][0]["connections"] = MAX_REQUESTS
    scene = Scene(trust == Trust.FRESH and doc, trust=trust)
    cids = [scene.ask(PLAIN) for _ in range(MAX_REQUESTS)]
    assert not any(effect[0] == "reply" for effect in scene.out)
    over = scene.ask(PLAIN)
    assert scene.status(over) == 503 and scene.fault(over)["run"] == "no" and scene.retry_after(over) > 0
    assert max(len(scene.table.parked_requests), len(scene.table.requests)) == MAX_REQUESTS
    scene.take("gone", cids[0])
    assert scene.client_effects(scene.ask(PLAIN)) == []


def test_waiting_requests_are_rechecked_against_a_newer_catalogue():
    """Given a node that just restarted with an old catalogue, its requests wait. Those that the new catalogue routes
    differently or not at all are refused as not run, so that clients retry on the new route; the others are sent."""
    scene = Scene(trust=Trust.UNPROVEN, servers={**SERVERS, "o1": server("other")})
    moved, dropped, kept = scene.ask(PLAIN), scene.ask(ONCE), scene.ask(CHAT)
    assert scene.sends() == [] and scene.client_effects(moved) == []
    scene.configure(
        catalogue(2, [route("plain", "repeatable", "other"), route("chat", "stream", "llm", resumable=True)])
    )
    scene.trust.level = Trust.FRESH
    scene.run(0.1)
    assert scene.target_server(kept).startswith("l") and len(scene.sends()) == 1
    for cid in (moved, dropped):
        assert scene.status(cid) == 503 and scene.fault(cid)["run"] == "no" and scene.retry_after(cid) < 1
    assert scene.target_server(scene.ask(PLAIN)) == "o1"


# retries by route kind ----------------------------------------------------------------------------


@pytest.mark.parametrize("path", [ONCE, LOOSE])
@pytest.mark.parametrize("what", ["reset", "timeout", "cut", "500", "503", "408", "silence", "strange"])
def test_a_non_repeatable_request_is_never_sent_again_after_it_may_have_run(path, what):
    """Given a request that may run at most once and was sent, any failure without a not-run statement of the server
    ends it: there is no second attempt, and no status that would tell the client that it has not run."""
    scene = Scene()
    cid = scene.ask(path)
    scene.sent(cid)
    if what in ("reset", "timeout"):
        scene.call_event(cid, "fault", what)
    elif what == "cut":
        scene.head(cid)
        scene.call_event(cid, "chunk", b"hal")
        scene.call_event(cid, "fault", "reset")
    elif what == "strange":
        scene.head(cid, seal=False)
    elif what != "silence":
        scene.answer(cid, int(what), b"oh")
    scene.run(6)
    assert len(scene.sends(cid)) == 1 and scene.settled()
    assert scene.status(cid) in (500, 502, 504), scene.reply(cid)
    (record,) = scene.records(True)
    assert (record["state"], record["run"]) == ("fault", "maybe")


@pytest.mark.parametrize("status", [429, 503, 421])
def test_a_request_that_the_server_did_not_run_is_retried_elsewhere_at_once(status):
    """Given an overloaded, busy or wrong server whose response says not run, even a non-repeatable request is sent to
    another server in the same step."""
    scene = Scene(credit=4.0)
    cid = scene.ask(ONCE)
    first = scene.target_server(cid)
    scene.answer(cid, status, b"", NOT_RUN, seal=False)
    assert len(scene.sends(cid)) == 2 and scene.target_server(cid) != first
    scene.answer(cid, 200, b"yes")
    assert scene.reply(cid)[2::2] == (200, b"yes") and scene.settled()


def test_a_421_means_not_run_without_the_header():
    """Given a server that is not the intended instance, its 421 means not run even without the not-run header."""
    scene = Scene()
    cid = scene.ask(ONCE)
    scene.answer(cid, 421, b"", seal=False)
    assert len(scene.sends(cid)) == 2


def test_not_run_responses_are_retried_within_the_tries_of_the_route():
    """Given servers that are all overloaded, a request goes to at most as many servers as its route's tries, and then
    ends as not run with the Retry-After value of the servers."""
    scene = Scene(catalogue(routes=[route("once", "once", tries=2)]))
    cid = scene.ask(ONCE)
    for _ in range(20):
        if scene.client_effects(cid):
            break
        scene.answer(cid, 503, b"", NOT_RUN, ("Retry-After", "0.7"), seal=False)
    assert 2 <= len(scene.sends(cid)) <= 4
    assert len({dict(send[4])["x-expect-instance"] for send in scene.sends(cid)}) == 2
    assert (
        scene.status(cid) == 503
        and scene.fault(cid)["run"] == "no"
        and scene.retry_after(cid) == 0.7
        and scene.settled()
    )


def test_a_retry_without_credit_is_refused_after_half_a_second():
    """Given no retry credit, a request that a server refused is not sent again and ends as not run within 0.6 s; as
    soon as there is credit, another one is."""
    scene = Scene(credit=0.0)
    cid = scene.ask(ONCE)
    scene.answer(cid, 503, b"", NOT_RUN, seal=False)
    assert len(scene.sends(cid)) == 1 and not scene.client_effects(cid)
    scene.run(0.6)
    assert (
        len(scene.sends(cid)) == 1
        and scene.status(cid) == 503
        and scene.fault(cid)["run"] == "no"
        and scene.retry_after(cid) > 0
    )
    again = scene.ask(ONCE)
    scene.answer(again, 503, b"", NOT_RUN, seal=False)
    scene.give_credit(1.0)
    scene.run(0.1)
    assert len(scene.sends(again)) == 2 and scene.credit() < 1


@pytest.mark.parametrize("kind", ["refused", "connect-timeout"])
def test_a_failed_connection_is_retried_elsewhere_without_credit(kind):
    """Given servers that accept no connection, even a non-repeatable request is retried elsewhere without credit; if no
    server is left it is refused as not run, with Retry-After."""
    scene = Scene(credit=0.0)
    cid = scene.ask(ONCE)
    first = scene.target_server(cid)
    scene.call_event(cid, "fault", kind)
    scene.run(0.1)
    assert len(scene.sends(cid)) == 2 and scene.target_server(cid) != first
    scene.answer(cid)
    assert scene.status(cid) == 200
    lost = scene.ask(ONCE)
    asked_at = scene.now
    while not scene.client_effects(lost) and scene.now - asked_at < timedelta(
        seconds=5
    ):  # the request waits for a while, since a server may accept connections again
        if scene.table.requests and next(iter(scene.table.requests.values())).attempt_id:
            scene.call_event(lost, "fault", kind)
        scene.run(0.05)
    assert scene.now - asked_at < timedelta(seconds=4 * PLACEMENT_WAIT_FRACTION + 0.1)
    assert scene.status(lost) == 503 and scene.fault(lost) | {"reason": ""} == {
        "class": "unreachable",
        "reason": "",
        "run": "no",
    }
    assert scene.retry_after(lost) > 0 and len(scene.sends(lost)) <= 6 and scene.settled()


def test_a_refused_connection_after_an_attempt_that_may_have_run_ends_as_maybe_run():
    """Given a repeatable request that may have run at one server, a refused connection or a not-run response at the
    next one does not make it not run: it ends with 502 or 504."""
    for second in ("refused", "full"):
        scene = Scene(credit=1.0)
        cid = scene.ask(PLAIN)
        scene.sent(cid)
        scene.call_event(cid, "fault", "reset")
        scene.run(0.3)
        assert len(scene.sends(cid)) == 2
        if second == "refused":
            scene.call_event(cid, "fault", "refused")
        else:
            scene.answer(cid, 503, b"", NOT_RUN, seal=False)
        scene.give_credit(0.0)
        scene.run(5)
        assert scene.status(cid) in (502, 504) and scene.fault(cid)["run"] == "maybe", second
        assert scene.records(True)[0]["run"] == "maybe"


@pytest.mark.parametrize("what", ["reset", "cut", "500", "502", "503", "strange", "encoded", "silence"])
def test_a_repeatable_request_is_retried_after_a_failure(what):
    """Given a failure after the request was sent, a repeatable request gets one complete response from another
    server."""
    scene = Scene()
    cid = scene.ask(PLAIN)
    first = scene.target_server(cid)
    scene.sent(cid)
    if what == "reset":
        scene.call_event(cid, "fault", "reset")
    elif what == "cut":
        scene.head(cid)
        scene.call_event(cid, "chunk", b"hal")
        scene.call_event(cid, "fault", "reset")
    elif what == "strange":
        scene.head(cid, seal=False)
    elif what == "encoded":
        scene.head(cid, 200, ("Content-Encoding", "gzip"))
    elif what != "silence":
        scene.answer(cid, int(what), b"oh")
    while len(scene.sends(cid)) < 2 and scene.now < START + 3 * SECOND:
        scene.run(0.05)
    assert scene.target_server(cid) != first and not scene.client_effects(cid)
    scene.answer(cid, 200, b"whole")
    assert scene.reply(cid)[2::2] == (200, b"whole") and scene.settled()


def test_a_repeatable_request_goes_to_no_more_servers_than_its_tries():
    """Given servers that all reset the connection, a repeatable request reaches as many servers as its route's tries,
    and then ends at once."""
    scene = Scene(catalogue(routes=[route("plain", "repeatable", tries=2)]), credit=4.0)
    cid = scene.ask(PLAIN)
    while not scene.client_effects(cid) and scene.now < START + 10 * SECOND:
        if scene.table.requests and scene.sends(cid)[-1][1] == next(iter(scene.table.requests.values())).attempt_id:
            scene.sent(cid)
            scene.call_event(cid, "fault", "reset")
        scene.run(0.05)
    assert len({dict(send[4])["x-expect-instance"] for send in scene.sends(cid)}) == 2 and len(scene.sends(cid)) <= 4
    assert scene.status(cid) == 502


@pytest.mark.parametrize("tries", [1, 2, 3])
@pytest.mark.parametrize("path", [PLAIN, ONCE])
def test_a_request_is_sent_exactly_as_often_as_the_tries_of_its_route(path, tries):
    """Given servers that all refuse the request, or all reset its connection, it arrives as often as its route's tries
    and then ends at once, although the servers already tried could be asked again."""
    for what in ("full", "reset"):
        scene = Scene(
            catalogue(routes=[route("plain", "repeatable", tries=tries), route("once", "once", tries=tries)]),
            credit=40.0,
        )
        cid = scene.ask(path)
        while not scene.client_effects(cid) and scene.now < START + 3 * SECOND:
            if scene.sends(cid)[-1][1] == next(iter(scene.table.requests.values())).attempt_id:
                scene.answer(cid, 503, b"", NOT_RUN, seal=False) if what == "full" else (
                    scene.sent(cid),
                    scene.call_event(cid, "fault", "reset"),
                )
            scene.run(0.05)
        wanted = 1 if what == "reset" and path == ONCE else tries
        assert len(scene.sends(cid)) == len({dict(send[4])["x-expect-instance"] for send in scene.sends(cid)}) == wanted
        assert scene.status(cid) == (503 if what == "full" else 502)


def test_one_dead_kept_connection_does_not_count_as_a_try():
    """Given a route of one try, a request on a reused connection that turns out to be dead is sent once more, to the
    same server, for retry credit; a second dead connection, or a reset on a fresh one, ends it."""
    for reused, sends in ((True, 2), (False, 1)):
        scene = Scene(catalogue(routes=[route("plain", "repeatable", tries=1)]))
        cid = scene.ask(PLAIN)
        for _ in range(3):
            if not scene.client_effects(cid):
                scene.call_event(cid, "sent", reused)
                scene.call_event(cid, "fault", "reset")
                scene.run(0.3)
        assert (
            len(scene.sends(cid)) == sends
            and len({dict(send[4])["x-expect-instance"] for send in scene.sends(cid)}) == 1
        )
        assert scene.status(cid) == 502 and abs(scene.credit() - (4.0 if sends == 1 else 3.0)) < 0.21


@pytest.mark.parametrize("lack", ["credit", "server", "tries"])
def test_a_silent_server_is_abandoned_only_for_another_server(lack):
    """Given a silent server and no credit, no other server or no try left, a repeatable request stays there until its
    deadline, and a late response still counts."""
    doc = catalogue(routes=[route("plain", "repeatable", tries=1 if lack == "tries" else 3)])
    scene = Scene(doc, {"r1": server("records")} if lack == "server" else None, credit=0.0 if lack == "credit" else 4.0)
    late, never = scene.ask(PLAIN), scene.ask(PLAIN)
    scene.sent(late), scene.sent(never)
    scene.run(3.5)
    assert scene.client_effects(late) == scene.client_effects(never) == [] and len(scene.sends()) == 2
    scene.answer(late, 200, b"after all")
    assert scene.reply(late)[2::2] == (200, b"after all")
    scene.run(0.6)
    assert scene.status(never) == 504 and scene.settled()


def test_a_stream_on_its_last_resume_waits_for_a_silent_server():
    """Given a stream without resumes left, a server that is silent for a while does not end it; its later events
    continue the stream."""
    scene = Scene(catalogue(routes=[route("chat", "stream", "llm", resumable=True, tries=9)]), credit=40.0)
    cid = scene.ask(CHAT)
    for number in (1, 2, 3):
        scene.stream(cid, number)
        scene.call_event(cid, "fault", "reset")
        scene.run(0.3)
    scene.sent(cid)
    scene.run(2.0)
    assert len(scene.sends(cid)) == 4 and scene.client_effects(cid)[-1][0] == "chunk"
    scene.stream(cid, 4)
    scene.call_event(cid, "end")
    assert scene.body(cid) == b"".join(map(event, (1, 2, 3, 4))) and scene.client_effects(cid)[-1][0] == "end"


def test_a_silent_server_is_not_abandoned_for_one_that_backs_off():
    """Given a silent server, and a second one that refused the request with Retry-After 3, the request stays.
    Abandoning the silent server would lead back to it, cost credit and cancel what may be running there."""
    scene = Scene(None, {"r1": server("records"), "r2": server("records")}, credit=4.0)
    cid = scene.ask(PLAIN)
    first = scene.target_server(cid)
    scene.answer(cid, 503, b"", NOT_RUN, ("Retry-After", "3"), seal=False)
    silent = scene.target_server(cid)
    scene.sent(cid)
    scene.run(2.5)
    assert [dict(send[4])["x-expect-instance"] for send in scene.sends(cid)] == [first, silent]


def test_a_silent_server_is_abandoned_as_soon_as_there_is_credit():
    """Given a silent server and no retry credit, a repeatable request goes to another server when credit arrives, and
    costs credit once."""
    scene = Scene(credit=0.0)
    cid = scene.ask(PLAIN)
    scene.sent(cid)
    scene.run(1.5)
    assert len(scene.sends(cid)) == 1
    scene.give_credit(1.5)
    scene.run(0.4)
    assert len(scene.sends(cid)) == 2 and abs(scene.credit() - 0.5) < 0.01
    scene.answer(cid)
    assert scene.status(cid) == 200 and scene.settled()


# responses --------------------------------------------------------------------------


@pytest.mark.parametrize(
    "pairs,status",
    [
        ((("X-Request-Id", "other"), SEAL), 200),
        ((("X-Request-Id", "other"), NOT_RUN), 503),
        ((("X-Request-Id", "other"), SEAL), 404),
        ((), 200),
        ((SEAL, NOT_RUN), 200),
        ((SEAL,), 404),
        ((OWN,), 200),
        ((OWN, SEAL, ("Content-Encoding", "gzip")), 200),
        ((OWN, SEAL), 408),
        ((OWN, SEAL), 101),
    ],
)
def test_a_response_that_is_not_the_servers_own_never_reaches_the_client(pairs, status):
    """Given a response with another request id or none, without the seal, with a content encoding, or that contradicts
    itself, the client gets an error of this node and no byte of the response; a not-run header on another request's
    response is ignored."""
    scene = Scene()
    cid = scene.ask(ONCE)
    scene.sent(cid)
    scene.call_event(cid, "head", status, tuple((name, cid if value is None else value) for name, value in pairs))
    if scene.table.requests:
        scene.call_event(cid, "chunk", b"strange")
        scene.call_event(cid, "end")
    scene.run(5)
    assert len(scene.sends(cid)) == 1 and b"strange" not in scene.reply(cid)[4]
    assert scene.status(cid) in (502, 504) and scene.fault(cid)["run"] == "maybe", scene.reply(cid)


def test_responses_are_relayed_unchanged():
    """Given complete responses of any status, with binary bodies and repeated headers, the client gets exactly these,
    without hop-by-hop headers and without headers named by `Connection`."""
    scene = Scene()
    for status, body in (
        (200, bytes(range(256)) * 9),
        (201, b""),
        (304, b""),
        (404, b"no"),
        (400, b"bad"),
        (500, b"own fault"),
    ):
        cid = scene.ask(ONCE)
        pairs = (
            ("Set-Cookie", "a=1"),
            ("Set-Cookie", "b=2"),
            ("X-Odd", "\xe9"),
            ("Connection", "close, X-Gone"),
            ("X-Gone", "1"),
            ("Keep-Alive", "timeout=3"),
            ("Transfer-Encoding", "chunked"),
            ("Content-Length", "7"),
        )
        scene.answer(cid, status, body, *pairs)
        _, _, got_status, headers, got_body = scene.reply(cid)
        assert (got_status, got_body) == (status, body)
        assert headers == (("X-Request-Id", cid), SEAL, ("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"), ("X-Odd", "\xe9"))


@pytest.mark.parametrize("path", [PLAIN, ONCE, CHAT, LOOSE])
@pytest.mark.parametrize(
    "status", [300, 302, 304, 400, 401, 404, 409, 410, 418, 422, 429, 431, 500, 501, 502, 503, 504, 599, 408, 421]
)
def test_a_sealed_error_response_keeps_the_status_of_its_server(path, status):
    """Given servers that fail with any status, each with its own seal, with or without the not-run header, a sealed
    response to the client has the status of the server with that seal; an error of the node itself has no seal."""
    for mark in ((), (NOT_RUN,)):
        scene = Scene(credit=40.0)
        cid, given = scene.ask(path), {}
        while not scene.client_effects(cid) and scene.now < START + 5 * SECOND:
            if scene.sends(cid)[-1][1] not in given.values():
                seal = f"s.{len(given)}"
                given[seal] = scene.sends(cid)[-1][1]
                scene.answer(cid, status, b"oh", ("X-Server-Seal", seal), *mark, seal=False)
            scene.run(0.05)
        _, _, got, headers, _ = scene.reply(cid)
        seals = [value for name, value in headers if name.lower() == "x-server-seal"]
        assert len(seals) <= 1 and (not seals or got == status), (got, headers)
        assert seals or got in (status, 502, 503, 504)


def test_requests_are_forwarded_unchanged_except_for_hop_by_hop_headers():
    """Given repeated headers, hop-by-hop headers and headers named by `Connection`, the server gets method, raw path
    and body unchanged, the end-to-end headers in their order, and each header that the router sets once."""
    scene = Scene()
    pairs = (
        ("X-A", "1"),
        ("X-A", "2"),
        ("Connection", "keep-alive, X-Hop"),
        ("X-Hop", "1"),
        ("TE", "trailers"),
        ("Upgrade", "x"),
        ("Content-Type", "a/b"),
        ("X-Expect-Instance", "forged"),
        ("X-Urgency", "0"),
        ("Content-Length", "2"),
        ("Expect", "100-continue"),
    )
    path = "/plain/%2e%2E/a//b/../c?x=%20+&&y=/plain/"
    cid = scene.ask(path, method="PATCH", headers=pairs, body=b"\x00\xff", deadline=2500)
    ((_, _, method, url, sent, body, connect, total, *_),) = scene.sends(cid)
    assert (method, url, body) == ("PATCH", "http://10.0.0.1:80" + path, b"\x00\xff")
    names = [name.lower() for name, _ in sent]
    assert names[0] == "host" and sent[0][1] == "a.example"
    assert [pair for pair in sent if pair[0] == "X-A"] == [("X-A", "1"), ("X-A", "2")] and (
        "Content-Type",
        "a/b",
    ) in sent
    assert not {"connection", "x-hop", "te", "upgrade", "content-length", "expect"} & set(names)
    for name, value in (
        ("x-expect-instance", scene.target_server(cid)),
        ("x-urgency", "0"),
        ("x-deadline-ms", "2500"),
        ("x-request-id", cid),
    ):
        assert [pair[1] for pair in sent if pair[0].lower() == name] == [value]
    assert connect <= total == timedelta(seconds=2.5)


# timeouts ----------------------------------------------------------------------------


@pytest.mark.parametrize("path", [ONCE, PLAIN, CHAT])
@pytest.mark.parametrize("own,bound", [(1000, 1.0), (9000, 4.0), (None, 4.0)])
def test_the_shorter_of_deadline_and_route_timeout_ends_the_request(path, own, bound):
    """Given servers that never respond, a request ends with 504 at its own deadline or at its route's timeout,
    whichever is sooner; each attempt states the remaining time, and every call is cancelled."""
    scene = Scene()
    cid = scene.ask(path, **({} if own is None else {"deadline": own}))
    states = []
    while not scene.client_effects(cid) and scene.now < START + 20 * SECOND:
        if len(scene.sends(cid)) > len(states):
            states.append((scene.now - START, int(dict(scene.sends(cid)[-1][4])["x-deadline-ms"])))
            scene.sent(cid)
        scene.run(0.05)
    took = (scene.now - START).total_seconds()
    assert bound <= took <= bound + 0.051 and scene.status(cid) == 504 and scene.fault(cid)["run"] == "maybe"
    assert all(abs(at.total_seconds() * 1000 + left - bound * 1000) <= 1 for at, left in states)
    assert {effect[1] for effect in scene.out if effect[0] == "unfetch"} == {
        send[1] for send in scene.sends(cid)
    } and scene.settled()


def test_a_slow_stream_runs_until_the_route_timeout():
    """Given a stream with slow events that is long past its target latency, it runs until the route's timeout and is
    then aborted, so that it does not look complete."""
    scene = Scene(catalogue(routes=[route("chat", "stream", "llm", resumable=True, target_ms=100, timeout_ms=9000)]))
    cid = scene.ask(CHAT)
    scene.stream(cid, 1)
    scene.run(8.9)
    assert len(scene.sends(cid)) == 1 and len(scene.client_effects(cid)) == 2
    scene.events(cid, 2)
    scene.run(0.2)
    assert scene.client_effects(cid)[-1][0] == "drop" and scene.body(cid) == event(1) + event(2) and scene.settled()


def test_a_resumed_stream_runs_until_the_route_timeout():
    """Given a stream resumed at another server, a long pause after its next event does not end it; a server that sends
    no event at all is bounded by the first-token timeout."""
    scene = Scene(
        catalogue(routes=[route("chat", "stream", "llm", resumable=True, target_ms=100, timeout_ms=9000, tries=6)])
    )
    cid = scene.ask(CHAT)
    scene.stream(cid, 1)
    scene.call_event(cid, "fault", "reset")
    scene.run(0.3)
    scene.sent(cid)
    scene.run(0.5)
    assert len(scene.sends(cid)) == 3
    scene.stream(cid, 2)
    scene.run(6)
    assert len(scene.sends(cid)) == 3 and scene.client_effects(cid)[-1][0] == "chunk"
    scene.events(cid, 3)
    assert scene.body(cid) == event(1) + event(2) + event(3)


def test_first_token_connect_and_total_timeouts_are_separate():
    """Given a silent server, a repeatable request is retried after the first-token timeout, long before the total
    timeout; its last attempt, and a non-repeatable request, last until the total timeout. Connecting has its own
    timeout."""
    scene = Scene(catalogue(routes=[route("plain", "repeatable", tries=2, target_ms=400), route("once", "once")]))
    cid, single = scene.ask(PLAIN), scene.ask(ONCE)
    (send,) = scene.sends(cid)
    assert send[6] < timedelta(seconds=0.8) < send[7] == timedelta(seconds=4)
    scene.sent(cid), scene.sent(single)
    scene.run(0.75)
    assert len(scene.sends(cid)) == 1
    scene.run(0.35)
    assert len(scene.sends(cid)) == 2 and ("unfetch", send[1]) in scene.out
    scene.sent(cid)
    scene.run(2.7)
    assert scene.client_effects(cid) == [] and scene.client_effects(single) == []
    scene.run(0.4)
    assert scene.status(cid) == 504 and scene.status(single) == 504


def test_a_refusal_cancels_the_attempt_first_and_is_final():
    """Given a request that is ended while its connection is being established, its call is cancelled before the not-run
    response is sent, in the same step; later events of that call have no effect."""
    scene = Scene()
    cid = scene.ask(ONCE)
    tid = scene.sends(cid)[-1][1]
    out = scene.after(0.1).take("cut-short")
    kinds = [effect[0] for effect in out if effect[0] in ("unfetch", "reply")]
    assert kinds == ["unfetch", "reply"] and out[0] == ("unfetch", tid)
    assert scene.status(cid) == 503 and scene.fault(cid)["run"] == "no" and scene.retry_after(cid) > 0
    assert scene.take("fetched", tid, "sent") == [] and scene.take("fetched", tid, "head", 200, (SEAL,)) == []
    scene.run(6)
    assert len(scene.sends()) == 1 and len(scene.client_effects(cid)) == 1
    unknown = scene.ask(CHAT, model="never")
    assert scene.status(unknown) == 503 and scene.sends(unknown) == [] and scene.retry_after(unknown) > 0


def test_a_request_that_may_have_run_never_gets_503():
    """Given requests of each kind that may have reached a server, a shutdown or their deadline ends them with 502 or
    504, never with 503."""
    for path in (PLAIN, ONCE, CHAT, LOOSE):
        for how in ("cut-short", "time"):
            scene = Scene()
            cid = scene.ask(path)
            scene.sent(cid)
            scene.run(0.2)
            scene.take("cut-short") if how == "cut-short" else scene.run(5)
            assert scene.status(cid) in (502, 504) and scene.fault(cid)["run"] == "maybe" and scene.settled()


# placement ---------------------------------------------------------------------------


def test_a_request_waits_for_the_placement_of_its_model():
    """Given a model that no server holds, its demand is reported at once and repeated while the request waits; the
    request is sent in the step that reports a placement."""
    scene = Scene(held=())
    cid = scene.ask(CHAT, deadline=3000)
    (want,) = [effect for effect in scene.out if effect[0] == "want"]
    assert want[1] == {"llm": {"m": (1, 3000.0)}} and scene.sends() == []
    wants = [effect for effect in scene.run(1.0) if effect[0] == "want"]
    assert 2 <= len(wants) <= 4 and scene.sends() == []
    out = scene.place({"l2": {"m": ()}})
    assert [effect[0] for effect in out] == ["forward"] and scene.target_server(cid) == "l2"
    assert not [effect for effect in scene.run(0.5) if effect[0] == "want"]


def test_demand_is_reported_per_model_with_the_number_of_requests():
    """Given waiting requests for an adapter and for another model, one report has the count and the shortest remaining
    time of each."""
    scene = Scene(held=("l1",))
    for adapter, deadline in (("m/a1", 3000), ("m/a1", 2000), ("n", 4000)):
        scene.ask(CHAT, model=adapter, deadline=deadline)
    scene.out.clear()
    (want,) = [effect for effect in scene.run(0.35) if effect[0] == "want"]
    assert {name: count for name, (count, _) in want[1]["llm"].items()} == {"m/a1": 2, "n": 1}
    assert want[1]["llm"]["m/a1"][1] < 2000
    scene.place({"l1": {"m": ("a1",)}})
    assert {scene.target_server(f"q{number}") for number in (1, 2)} == {"l1"} and scene.sends("q3") == []


def test_a_request_is_refused_early_if_its_model_is_not_placed():
    """Given a model that is never placed, the request is refused as not run while its client has time left to retry
    elsewhere, with a Retry-After of at least the load time."""
    scene = Scene(held=())
    cid = scene.ask(CHAT, deadline=2000)
    scene.run(2)
    (record,) = scene.records(True)
    assert (
        scene.status(cid) == 503
        and scene.fault(cid)["run"] == "no"
        and scene.retry_after(cid) >= 0.6
        and record["duration"] <= 1.0
    )
    assert scene.settled()


def test_a_421_removes_the_placement_of_the_model():
    """Given a server that does not hold the expected model, it gets no more requests for that model until a placement
    update names it again; requests for other models still go there."""
    scene = Scene(held=())
    scene.place({"l1": {"m": ("a1",), "n": ()}})
    cid = scene.ask(CHAT, model="m/a1")
    scene.answer(cid, 421, b"", NOT_RUN, seal=False)
    assert len(scene.sends(cid)) == 1 and scene.places.holders("m") == ("l1",) and scene.places.holders("m", "a1") == ()
    assert [effect for effect in scene.out if effect[0] == "want"]
    other = scene.ask(CHAT, model="m")
    scene.answer(other, 421, b"", NOT_RUN, seal=False)
    assert scene.places.holders("m") == () and scene.target_server(scene.ask(CHAT, model="n")) == "l1"
    scene.place({"l1": {"m": ("a1",)}})
    assert len(scene.sends(cid)) == 2 and len(scene.sends(other)) == 2


# servers --------------------------------------------------------------------------


def test_servers_that_leave_or_are_in_an_evacuated_zone_get_no_requests():
    """Given servers that are leaving, announced as leaving or in an evacuated zone, only the others get requests; an
    announcement expires after a while, and a restored zone gets requests again."""
    leaving = Scene(servers={**SERVERS, "r1": server("records", leaving=True)})
    leaving.take("leaving", ("r2",))
    goals = [leaving.target_server(leaving.ask()) for _ in range(20)]
    assert set(goals) == {"r3"}
    for number in range(1, 21):
        leaving.answer(f"q{number}")
    leaving.run(2.1)
    goals = [leaving.target_server(leaving.ask()) for _ in range(50)]
    assert set(goals) == {"r2", "r3"}
    closed = Scene(
        servers={"r1": server("records", "west"), "r2": server("records"), "r3": server("records", "nowhere")}
    )
    assert closed.state.apply(9, ("evacuate", "o", "west"))[0] == "ok"
    assert {closed.target_server(closed.ask()) for _ in range(20)} == {"r2"}
    assert closed.state.apply(10, ("restore", "o2", "west"))[0] == "ok"
    for _ in range(30):
        closed.ask()
    assert {closed.target_server(f"q{number}") for number in range(21, 51)} == {"r1", "r2"}


def test_a_retry_avoids_servers_that_began_to_leave():
    """Given a repeatable request whose other servers start to leave during its backoff, it is retried at the remaining
    server."""
    scene = Scene()
    cid = scene.ask(PLAIN)
    first = scene.target_server(cid)
    scene.sent(cid)
    scene.call_event(cid, "fault", "reset")
    for name in ("r1", "r2", "r3"):
        if name != first:
            scene.state.servers[name] = server("records", leaving=True)
    scene.run(0.3)
    assert [scene.target_server(cid, place) for place in (0, 1)] == [first, first]


def test_a_disconnected_node_sends_only_within_its_zone():
    """Given a node without contact with the cores, it sends only to servers in its own zone; a node that just restarted
    sends nothing until it is connected."""
    servers = {"r1": server("records", "west"), "r2": server("records", "east")}
    scene = Scene(servers=servers, trust=Trust.DISCONNECTED)
    assert {scene.target_server(scene.ask()) for _ in range(20)} == {"r2"}
    scene.trust.level = Trust.UNPROVEN
    before, cid = len(scene.sends()), scene.ask()
    scene.run(0.5)
    assert len(scene.sends()) == before and scene.client_effects(cid) == []
    scene.trust.level = Trust.FRESH
    scene.run(0.1)
    assert len(scene.sends()) == before + 1


def test_servers_of_another_service_get_no_requests():
    """Given addresses that now belong to servers of other services, no request is sent to them, and the client gets
    503."""
    scene = Scene(servers={"o1": server("other"), "l1": server("llm")})
    cid = scene.ask(PLAIN)
    scene.run(5)
    assert scene.sends() == [] and scene.status(cid) == 503


def test_a_cold_server_gets_a_limited_rate_from_each_edge():
    """Given a cold server limited to 12 requests per second and four edges, this edge sends it one request and then
    three per second while it is cold, whatever else waits; afterwards it sends all."""
    doc = catalogue()
    doc["services"][0] |= {"coldPerS": 12.0}
    scene = Scene(doc, {"r1": server("records")})
    scene.table.edges = 4
    scene.take("cold", {"r1": 2000.0})
    sent = []
    for _ in range(40):
        scene.ask(PLAIN)
        sent.append(len(scene.sends()))
        for send in scene.sends():
            if send[1] in {request.attempt_id for request in scene.table.requests.values()}:
                scene.answer(dict(send[4])["X-Request-Id"])
        scene.run(0.05)
    assert sent[0] == 1 and 3 <= sent[19] <= 4 and 6 <= sent[39] <= 7, sent
    scene.run(0.05)
    before = len(scene.sends())
    for _ in range(6):
        scene.answer(scene.ask(PLAIN))
    assert len(scene.sends()) >= before + 6


def test_the_unused_rate_of_a_cold_server_is_not_saved_up():
    """Given a cold server that got no request for 10 s, it gets one request at once and the others at its rate."""
    doc = catalogue()
    doc["services"][0] |= {"coldPerS": 2.0}
    scene = Scene(doc, {"r1": server("records")})
    scene.take("cold", {"r1": 60000.0})
    scene.answer(scene.ask(PLAIN))
    scene.run(10)
    for _ in range(8):
        scene.ask(PLAIN)
    assert len(scene.sends()) == 2
    scene.run(0.6)
    assert len(scene.sends()) == 3


def test_a_server_that_reports_itself_cold_is_rate_limited():
    """Given a response that states how long its server stays cold, requests within that time are rate limited."""
    doc = catalogue()
    doc["services"][0] |= {"coldPerS": 1.0}
    scene = Scene(doc, {"r1": server("records")})
    scene.answer(scene.ask(PLAIN), 200, b"ok", ("X-Cold-Ms", "500"))
    for _ in range(5):
        scene.ask(PLAIN)
    assert len(scene.sends()) == 2


def test_the_breaker_opens_after_two_failures_and_one_probe_closes_it():
    """Given a server that fails twice, other servers get the requests; after the backoff it gets a single probe, whose
    response closes the breaker."""
    scene = Scene(servers={"r1": server("records"), "r2": server("records")})
    server_window = scene.table.server_window("r1")
    in_flight = []
    for _ in range(100):
        if server_window.consecutive_failures == 2:
            break
        cid = scene.ask(ONCE)
        if scene.target_server(cid) == "r1":
            scene.sent(cid)
            scene.call_event(cid, "fault", "reset")
        else:
            in_flight.append(cid)  # answered later: an idle r2 with a kept connection would get every request
    assert server_window.is_breaker_open(scene.now)
    for cid in in_flight:
        scene.answer(cid)
    goals = []
    for _ in range(20):
        goals.append(scene.target_server(scene.ask(ONCE)))
    assert set(goals) == {"r2"}
    scene.run(0.6)
    probes = [cid for cid in (scene.ask(ONCE) for _ in range(12)) if scene.target_server(cid) == "r1"]
    assert len(probes) == 1
    scene.answer(probes[0])
    assert server_window.consecutive_failures == 0 and not server_window.is_breaker_open(scene.now)


def test_500_responses_open_the_breaker():
    """Given a server that answers every request with 500, its breaker opens as after connection resets."""
    scene = Scene(servers={"r1": server("records"), "r2": server("records")})
    for _ in range(40):
        cid = scene.ask(ONCE)
        scene.answer(cid, 500 if scene.target_server(cid) == "r1" else 200)
    assert scene.table.server_window("r1").is_breaker_open(scene.now) and not scene.table.server_window(
        "r2"
    ).is_breaker_open(scene.now)
    assert sum(1 for send in scene.sends() if dict(send[4])["x-expect-instance"] == "r1") <= 4
    assert {record["class"] for record in scene.records(True) if record["status"] == 500} == {"upstream"}


def test_an_overloaded_server_is_avoided_for_its_retry_after():
    """Given a server that refuses a request with Retry-After 0.8, other servers are preferred for 0.8 s; the refusal
    does not count as a failure for the breaker."""
    scene = Scene(servers={"r1": server("records"), "r2": server("records")})
    while True:
        cid = scene.ask(ONCE)
        if scene.target_server(cid) == "r1":
            break
        scene.answer(cid)
    scene.answer(cid, 503, b"", NOT_RUN, ("Retry-After", "0.8"), seal=False)
    assert scene.table.server_window("r1").consecutive_failures == 0 and scene.target_server(cid) == "r2"
    assert {scene.target_server(scene.ask(ONCE)) for _ in range(8)} == {"r2"}
    scene.run(0.9)
    assert "r1" in {scene.target_server(scene.ask(ONCE)) for _ in range(8)}


def test_waiting_requests_are_sent_by_priority_and_then_by_age():
    """Given requests of three priorities that wait for one placement, the most urgent are sent first, and among equal
    ones the oldest."""
    routes = [
        route(name, "stream", "llm", priority=priority) for name, priority in (("low", 9), ("mid", 1), ("high", 0))
    ]
    scene = Scene(catalogue(routes=routes), held=())
    asked = [scene.ask(f"/{name}/x", model="m") for name in ("low", "high", "mid", "low", "high", "mid")]
    scene.place({"l1": {"m": ()}})
    assert [dict(send[4])["X-Request-Id"] for send in scene.sends()] == [asked[place] for place in (1, 4, 2, 5, 0, 3)]
    assert [dict(send[4])["x-urgency"] for send in scene.sends()] == ["0", "0", "1", "1", "9", "9"]


def test_requests_prefer_the_server_that_cached_their_prompt_prefix():
    """Given prompt parts that a server has read, requests with the same prefix go there as long as the cache outweighs
    its load."""
    scene = Scene()
    tokens = {"parts": "5c:6000,91:20", "tokens": "6020,10"}
    first = scene.ask(CHAT, **tokens)
    scene.stream(first, 1)
    scene.call_event(first, "end")
    goals = set()
    for number in range(8):
        cid = scene.ask(CHAT, parts=f"5c:6000,a{number}:20", tokens="6020,10")
        goals.add(scene.target_server(cid))
        scene.stream(cid, 1)
        scene.call_event(cid, "end")
    assert goals == {scene.target_server(first)}


def test_what_a_client_names_is_not_kept_beyond_its_request():
    """Given prompts with very many or very long parts and names of models that no configuration can have, the prefixes that are
    remembered for a server stay few, and neither records nor reports of demand bear such a name."""
    scene, many = Scene(held=("l1",)), ",".join(f"{number:x}:1" for number in range(2000))
    for number in range(20):
        cid = scene.ask(CHAT, parts=f"{number:x}{many}", tokens="6020,10")
        scene.stream(cid, 1)
        scene.call_event(cid, "end")
    for number in range(2 * MAX_CACHED_PREFIXES):
        cid = scene.ask(CHAT, parts=f"5c:10,{number:x}:20,1:1", tokens="40,10")
        scene.stream(cid, 1)
        scene.call_event(cid, "end")
    windows = scene.table.server_windows.values()
    assert 0 < sum(len(window.cached_prefixes) for window in windows) <= MAX_CACHED_PREFIXES
    name = "m" * 15_000
    scene.ask(CHAT, model=name)
    scene.run(6)
    assert len(scene.records(True)[-1]["asked"]) == MAX_NAME_CHARS
    assert name not in scene.table.begun_by_service.get("llm", {}) and name not in str(scene.out)


# retry budget, client disconnects, shutdown ------------------------------------------------------------


@pytest.mark.parametrize("seed", range(4))
def test_retries_over_any_window_stay_within_ratio_and_cap(seed):
    """Given servers that fail at random, often all at once, the retries that reach servers within any time window are
    at most a fifth of the requests plus the credit cap, in total and for each service."""
    scene, random, arrivals = Scene(seed=seed, credit=0.0), Random(seed), []
    scene.retry_budget.cap = 2.0
    firsts, resends = [], []
    for step in range(400):
        is_bad = (step // 50) % 2
        if random.random() < 0.5:
            path = random.choice((PLAIN, ONCE, CHAT))
            firsts.append((scene.now, "llm" if path == CHAT else "records"))
            scene.ask(path)
        for request in list(scene.table.requests.values()):
            if request.attempt_id is None:
                continue
            cid = request.call_id
            if request.attempt_id not in arrivals:
                if any(tid[1] == request.number for tid in arrivals):
                    resends.append((scene.now, request.service))
                arrivals.append(request.attempt_id)
                scene.sent(cid)
            if random.random() < 0.4:
                continue
            if random.random() < (0.9 if is_bad else 0.1):
                random.choice(
                    (
                        lambda: scene.call_event(cid, "fault", "reset"),
                        lambda: scene.answer(cid, 503, b"", NOT_RUN, seal=False),
                    )
                )()
            else:
                scene.answer(cid)
        scene.run(0.05)
    assert len(resends) > 15
    for services, cap in (({"llm", "records"}, 4.0), ({"llm"}, 2.0), ({"records"}, 2.0)):
        asked = [at for at, service in firsts if service in services]
        resent = [at for at, service in resends if service in services]
        for begin in asked:
            for end in resent:
                if end >= begin:
                    first = sum(1 for at in asked if begin <= at <= end)
                    again = sum(1 for at in resent if begin <= at <= end)
                    assert again <= 0.2 * first + cap + 1e-9, (services, begin, end, first, again)


@pytest.mark.parametrize("others", [0, 1, 9])
def test_retry_credit_of_all_edges_together_stays_under_the_slack(others):
    """Given a slack of 50 retries beyond the ratio, all edges that are alive or were until recently hold at most eight
    tenths of it together."""
    settings = NodeSettings(
        node="e1",
        address="127.0.0.1:1",
        http_address="127.0.0.1:2",
        zone="east",
        seeds=("127.0.0.1:3",),
        front="127.0.0.1:4",
        resend_slack=50.0,
    )
    edge, now = Edge(settings, {}, 1, Clock(), Random(1)), Clock().mono()
    for number in range(others):
        name, address = f"x{number}", f"10.0.2.{number}:7"
        update = MemberUpdate(name, address, "edge", "east", 1, MemberStatus.ALIVE, f"10.0.2.{number}:8", 1)
        edge.membership.take(MessageReceived(name, address, MemberList((update,))), now)
    edge.take(Tick(), now + SECOND * 2)
    assert len(edge.inference_pipeline.table.peers) == 1 + others
    for _ in range(1000):
        edge.retry_budget.earn(service_key("records"))
    assert abs(edge.retry_budget.balance_of(service_key("records")) * (1 + others) - 40.0) < 1e-6


@pytest.mark.parametrize("when", ["waiting", "connecting", "sent", "streaming"])
def test_a_client_disconnect_cancels_the_attempt(when):
    """Given a client that disconnects at any stage, its call is cancelled, nothing more is sent to a server or to the
    client, and its ledger record is closed."""
    scene = Scene(held=() if when == "waiting" else ("l1",))
    cid = scene.ask(CHAT)
    if when == "sent":
        scene.sent(cid)
    elif when == "streaming":
        scene.stream(cid, 1)
    said, sends = len(scene.client_effects(cid)), len(scene.sends())
    out = scene.take("gone", cid)
    assert [effect[1] for effect in out if effect[0] == "unfetch"] == [send[1] for send in scene.sends(cid)]
    scene.place({"l1": {"m": ()}})
    scene.run(5)
    assert len(scene.client_effects(cid)) == said and len(scene.sends()) == sends and scene.settled()
    (record,) = scene.records(True)
    assert (record["class"], record["run"]) == ("hung-up", "no" if when in ("waiting", "connecting") else "maybe")
    assert scene.take("gone", cid) == [] and scene.take("gone", "never") == []


def test_a_draining_node_serves_its_requests_with_connection_close():
    """Given a draining node, requests in flight and new ones are served, streams too, each with `Connection: close`;
    those still in flight at the end get their final response at once."""
    scene = Scene()
    whole, stream, refused = scene.ask(ONCE), scene.ask(CHAT), scene.ask(LOOSE)
    late = scene.ask(CHAT, model="n")
    scene.sent(refused)
    scene.take("drain")
    scene.answer(whole)
    scene.stream(stream, 1)
    new = scene.ask(PLAIN)
    scene.answer(new)
    nowhere = scene.ask("/none/")
    assert scene.status(whole) == scene.status(new) == 200 and scene.client_effects(stream)[-1][0] == "chunk"
    for cid in (whole, stream, new, nowhere):
        assert ("Connection", "close") in scene.client_effects(cid)[0][3], cid
    scene.take("cut-short")
    assert (
        scene.client_effects(stream)[-1][0] == "drop"
        and scene.status(refused) == 502
        and scene.status(late) == 503
        and scene.retry_after(late) > 0
    )
    assert ("Connection", "close") in scene.reply(late)[3] and scene.settled()
    scene.run(5)
    assert len(scene.client_effects(late)) == 1


def test_the_ledger_records_each_request_and_its_attempts():
    """Given fast, late and failed requests, each gets one closing record, and a long one an opening record before. A
    record has the client's id, the route, the model, the class of each attempt and whether the request ran."""
    scene = Scene()
    quick = scene.ask(CHAT, tokens="20,8")
    scene.after(0.05).stream(quick, 1)
    scene.call_event(quick, "end")
    late = scene.ask(PLAIN)
    scene.sent(late)
    scene.call_event(late, "fault", "reset")
    scene.run(0.45)
    scene.answer(late, 200, b"ok")
    closed = {record["tag"]: record for record in scene.records(True)}
    assert [record["tag"] for record in scene.records(False)] == [late]
    assert closed[quick]["late"] is False and closed[quick]["firstToken"] == 0.05 and closed[quick]["tokens"] == [20, 8]
    assert closed[quick]["asked"] == "m" and closed[quick]["line"] == "chat" and closed[quick]["run"] == "yes"
    assert (
        closed[late]["late"] is True
        and [try_[1] for try_ in closed[late]["tries"]] == ["reset", ""]
        and closed[late]["state"] == "done"
    )
    assert scene.records(False)[0]["request"] == closed[late]["request"] != closed[quick]["request"]
    logged = [effect[4] for effect in scene.out if effect[0] == "log"]
    assert [fields["tag"] for fields in logged] == [late]
    assert logged[0]["status"] == 200 and logged[0]["tokens"] == closed[late]["tokens"]


@pytest.mark.parametrize("status", [421, 429, 503])
@pytest.mark.parametrize("names", [("r1",), ("r1", "r2")])
@pytest.mark.parametrize("path", [PLAIN, ONCE, LOOSE])
def test_further_attempts_get_new_connections(path, names, status):
    """Rules 4 and 5 of `calls/run_status.py`: a request that may not be repeated is sent again on a new connection only, any other
    one on a new connection if its server was reached before; only the first attempt may use a kept one."""
    doc = catalogue(
        routes=[
            route("plain", "repeatable", tries=4),
            route("once", "once", tries=4),
            route("loose", "stream", tries=4),
        ]
    )
    scene = Scene(doc, {name: server("records") for name in names}, credit=40.0)
    cid = scene.ask(path)
    for _ in range(3):
        scene.answer(cid, status, b"", NOT_RUN, seal=False)
        scene.run(0.3)
    attempts = [(scene.target_server(cid, place), send[8]) for place, send in enumerate(scene.sends(cid))]
    assert len(attempts) >= 3
    reached = set()
    for number, (name, reuse) in enumerate(attempts):
        if number == 0:
            assert reuse is (ConnectionReuse.ALWAYS if path == PLAIN else ConnectionReuse.WHEN_ALIVE)
        elif path != PLAIN or name in reached:
            assert reuse is ConnectionReuse.NEVER
        else:
            assert reuse is ConnectionReuse.ALWAYS
        reached.add(name)


def test_resumed_stream_gets_a_new_connection_at_a_server_that_it_reached():
    """A resumable stream that is refused, then goes to the same server again with its last event id, never uses the connection of
    the refused attempt."""
    doc = catalogue(routes=[route("chat", "stream", resumable=True, tries=4)])
    scene = Scene(doc, {"r1": server("records")}, credit=40.0)
    cid = scene.ask("/chat/x")
    scene.stream(cid, 1)
    scene.call_event(cid, "fault", "reset")
    scene.run(0.5)
    scene.answer(cid, 503, b"", NOT_RUN, seal=False)
    scene.run(0.5)
    first, *others = scene.sends(cid)
    assert len(others) >= 2 and all(send[8] is ConnectionReuse.NEVER for send in others)
    assert all(dict(send[4])["last-event-id"] == "1" for send in others)


@pytest.mark.parametrize("path", [PLAIN, ONCE])
def test_a_refusal_with_408_is_final(path):
    """A server that says with 408 that it did not run a request is believed, and the request is not sent again."""
    scene = Scene()
    cid = scene.ask(path)
    scene.answer(cid, 408, b"", NOT_RUN, seal=False)
    scene.run(0.5)
    assert len(scene.sends(cid)) == 1 and scene.status(cid) == 408
