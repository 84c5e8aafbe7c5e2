"""Wire compatibility with earlier versions: frames between nodes, and the answers of public interfaces."""

import json
from pathlib import Path
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

import pytest

from sumachook.configuration.node_settings import NodeSettings
from sumachook.forwarding.port import RequestPort
from sumachook.host.effects import AbortResponse, BeginResponse, ConnectionReuse, EndResponse, Reply, SendChunk
from sumachook.host.events import HttpRequestReceived
from sumachook.inference.refuse import Refuse
from sumachook.nodes.core import Core
from sumachook.nodes.edge import Edge
from sumachook.placement.port import ServerPort
from sumachook.requests.failures import HTTP_STATUSES, FailureKind
from sumachook.runtime.clock import Clock
from sumachook.simulation.deployment import Deployment
from sumachook.transport.codec import Codec, read_frame
from sumachook.transport.message_schemas import SHAPES
from sumachook.transport.node_message import NodeMessage, type_of
from tests import deployment_fixtures as deployment_scene
from tests.deployment_fixtures import leader, settled
from tests.forwarding.forwarding_fixtures import CHAT, NOT_RUN, ONCE, PLAIN
from tests.forwarding.forwarding_fixtures import Scene as ForwardingScene
from tests.platform_adapters import adapters, platform_fixtures, test_platform_operator
from tests.short_forms import effect_of

FIXTURES = Path(__file__).parent.parent / "fixtures" / "wire"
PARCELS = json.loads((FIXTURES / "parcels.json").read_text())
CLUSTER, SENDER, ADDRESS, INCARNATION = "kosice", "core-1", "127.0.0.1:7001", 3
LONGEST_FORWARDED = 256 << 10  # size in bytes of the largest operator order that a follower forwards to its leader
SERVER_REPORT = {
    "models": [{"name": "m", "version": 1, "adapters": ["a1", "a2"]}],
    "busy": False,
    "sequence": 2,
    "call-sequence": 3,
    "waiting": 4,
    "running": 5,
    "cacheUsed": 60,
    "cache-used": 61,
    "cacheTotal": 70,
    "cache-total": 71,
}


# frames between nodes --------------------------------------------------------------


def message_from(kind: str, values: list):
    """Builds the message of a fixture, as a tuple if its kind has no message type. Lists become tuples, {"hex": ...} bytes."""
    message_type = type_of(kind)
    fields = tuple(_value_from(value) for value in values)
    return (kind, *fields) if message_type is None else message_type.from_values(fields)


def _value_from(value):
    if isinstance(value, list):
        return tuple(_value_from(item) for item in value)
    if isinstance(value, dict):
        if set(value) == {"hex"}:
            return bytes.fromhex(value["hex"])
        return {key: _value_from(item) for key, item in value.items()}
    return value


def pack_frame(kind: str, values: list) -> bytes:
    """Returns the frame that a node sends for the message of a fixture."""
    return Codec(CLUSTER, SENDER, ADDRESS, INCARNATION).pack(message_from(kind, values))


def test_every_kind_of_message_has_a_fixture():
    """There is a fixture for each message kind between nodes, and for no other kind."""
    assert {frame["kind"] for frame in PARCELS} == set(SHAPES)


@pytest.mark.parametrize("frame", PARCELS, ids=[frame["name"] for frame in PARCELS])
def test_frame_has_the_same_bytes(frame):
    """The message of a fixture encodes to the fixture's bytes, and these decode to the same message."""
    raw = bytes.fromhex(frame["bytes"])
    assert pack_frame(frame["kind"], frame["values"]) == raw
    message = message_from(frame["kind"], frame["values"])
    assert read_frame(CLUSTER, raw) == (SENDER, ADDRESS, INCARNATION, message)
    if isinstance(message, NodeMessage):
        assert message.values() == tuple(_value_from(value) for value in frame["values"])


# transcripts of calls and answers ------------------------------------------------------------


class Transcript:
    """Text of calls and answers, in the order in which they were recorded."""

    def __init__(self):
        self.parts = []

    def note(self, title: str, *lines):
        self.parts.append("\n".join((f"=== {title}", *map(str, lines), "")))

    def note_json(self, title: str, value):
        self.note(title, json.dumps(value, indent=1, ensure_ascii=True))

    def note_answer(self, title: str, status: int, headers, body: bytes):
        self.note(title, status, *_header_lines(headers), "", _text_of(body))

    def note_effects(self, title: str, effects):
        for effect in effects:
            answer = _answer_of(effect)
            if answer is not None:
                self.note_answer(title, *answer)

    def text(self) -> str:
        return "\n".join(self.parts)


def _header_lines(headers):
    pairs = headers.items() if isinstance(headers, dict) else headers
    return [f"{name}: {value}" for name, value in pairs]


def _text_of(body: bytes) -> str:
    return bytes(body).decode("utf-8", "backslashreplace")


def _answer_of(effect):
    """Returns (status, headers, body) of a response effect, or None for any other effect."""
    match effect:
        case Reply(_, status, headers, body):
            return status, headers, body
        case BeginResponse(_, status, headers):
            return status, headers, b""
        case SendChunk(_, data):
            return "chunk", (), data
        case EndResponse():
            return "end", (), b""
        case AbortResponse():
            return "drop", (), b""
    return None


class OpenDeployment(Deployment):
    """A simulated deployment whose answers a test can record."""


class ControlCaller:
    """Calls the cores of a simulated cluster and records each answer as the core returned it."""

    def __init__(self, deployment, transcript: Transcript):
        self.deployment, self.transcript, self.replies = deployment, transcript, []
        hand_over = deployment._send_response

        def keep(box, effect):
            exchange = deployment.exchanges.get(effect.call_id)
            if exchange is not None and exchange.client is deployment.boxes["caller"]:
                self.replies.append(effect)
            hand_over(box, effect)

        deployment._send_response = keep
        deployment.add("caller", "operator", lambda box: test_platform_operator.Operator(), "", "", "operator")

    def call(self, title, method, path, doc=b"", core="core-1", base=None):
        operator = self.deployment.boxes["caller"].machine
        before = len(self.replies)
        number = operator.post(f"http://{self.deployment.boxes[core].http_address}{path}", base, doc, method)
        assert self.deployment.run_until(lambda: number in operator.answers, 9), title
        (effect,) = self.replies[before:]
        self.transcript.note_effects(f"{title}: {method} {path}", [effect])


def _leader_and_follower(deployment):
    first = leader(deployment)
    names = [box.name for box in deployment.boxes.values() if box.role == "core"]
    ahead = next(name for name in names if deployment.boxes[name].machine.node == first.node)
    return ahead, next(name for name in names if name != ahead)


# answers of public interfaces ---------------------------------------------------------------


def core_answers() -> str:
    """Records the answers of cores to operators."""
    with patch.object(deployment_scene, "Deployment", OpenDeployment):
        deployment, transcript = settled(5, edges=1), Transcript()
    caller = ControlCaller(deployment, transcript)
    ahead, behind = _leader_and_follower(deployment)
    order, zone = "/operator/apply", deployment.spec.catalogue["areas"][0]
    part = {"request": "r1", "doc": {"routes": [{"name": "extra", "target": "refund-01"}]}, "part": True}
    views = ("cohort", "duties", "pairs", "servers", "catalogue", "lines", "places", "allowances")
    for path in ("/condition", "/metrics", *(f"/show/{view}" for view in views), "/show/none", "/none", "/ledger/r9"):
        caller.call("read", "GET", path, core=ahead)
    caller.call("accepted", "POST", order, part, ahead)
    caller.call("repeated", "POST", order, part, behind)
    bad = {"request": "r2", "doc": {"routes": [{"name": "extra", "target": "nobody"}]}, "part": True}
    caller.call("refused", "POST", order, bad, ahead)
    caller.call("stale", "POST", order, {**part, "request": "r3", "ifGeneration": 1}, ahead)
    caller.call("not JSON", "POST", order, b"{", ahead)
    caller.call("no request", "POST", order, {"doc": {}}, ahead)
    caller.call("version", "POST", "/operator/configure", {"ifVersion": 7, "doc": {"version": 8}}, ahead)
    for kind in ("evacuate", "restore"):
        caller.call("accepted", "POST", f"/operator/{kind}", {"request": kind, "area": zone}, ahead)
        caller.call("unknown area", "POST", f"/operator/{kind}", {"request": kind + "2", "area": "nowhere"}, behind)
        caller.call("no area", "POST", f"/operator/{kind}", {"request": kind + "3"}, ahead)
    for path in ("/plan", "/check"):
        caller.call("good", "POST", path, part, ahead)
        caller.call("bad", "POST", path, bad, ahead)
    caller.call("redirected", "POST", order, {**part, "request": "r4", "more": "x" * LONGEST_FORWARDED}, behind)
    for name in ("core-1", "core-2", "core-3"):
        if name != behind:
            deployment.kill(name)
    deployment.run(6)
    for path in ("/condition", "/show/catalogue", "/show/pairs"):
        caller.call("alone", "GET", path, core=behind)
    caller.call("alone", "POST", order, {**part, "request": "r5"}, behind)
    core = Core(_settings("core", operator_key="key"), {}, 1, Clock(), Random(1))
    for path in ("/condition", "/show/pairs"):
        effects = core.take(HttpRequestReceived(1, "GET", path, {}, b""), Clock().mono())
        transcript.note_effects(f"not started, no key: GET {path}", effects)
    return transcript.text()


def _settings(node, **more):
    return NodeSettings(
        node=node, address="127.0.0.1:1", http_address="127.0.0.1:2", zone="east", seeds=("127.0.0.1:3",), **more
    )


def edge_answers() -> str:
    """Records the answers that an edge gives itself, without a server."""
    deployment, transcript = settled(5, edges=1), Transcript()
    edge = deployment.machines("edge")[0]
    for method, path in (("GET", "/condition"), ("GET", "/metrics"), ("GET", "/none"), ("POST", "/v1/none")):
        effects = edge.take(HttpRequestReceived(1, method, path, {}, b""), deployment.now)
        transcript.note_effects(f"{method} {path}", effects)
    fresh = Edge(_settings("edge", front="127.0.0.1:4"), {}, 1, Clock(), Random(1))
    condition = HttpRequestReceived(1, "GET", "/condition", {}, b"")
    transcript.note_effects("not ready", fresh.take(condition, Clock().mono()))
    refuse = Refuse(SimpleNamespace(count=lambda *what: None, random=Random(1)))
    for kind in HTTP_STATUSES:
        transcript.note_effects(f"refused {kind.value}", refuse.take(1, kind.because("why"), "q1", 2, "maybe"))
    transcript.note_effects("refused, pause", refuse.take(1, FailureKind.OVERLOAD.because(), retry_after=4.26))
    return transcript.text()


def forwarding() -> str:
    """Records what an edge sends to servers and to clients when it forwards requests."""
    transcript = Transcript()
    more = (("Connection", "keep-alive, X-Own"), ("X-Own", "1"), ("X-Urgency", "7"), ("Accept", "*/*"))
    cases = {
        "answered": (PLAIN, more, lambda scene, cid: scene.answer(cid, 200, b"done", ("Connection", "close"))),
        "server error": (ONCE, (), lambda scene, cid: scene.answer(cid, 500, b"why", ("X-More", "1"))),
        "not run": (PLAIN, (), lambda scene, cid: scene.answer(cid, 503, b"", NOT_RUN)),
        "reset": (ONCE, (), lambda scene, cid: (scene.sent(cid), scene.call_event(cid, "fault", "reset"))),
        "unknown path": ("/none/x", (), lambda scene, cid: None),
        "timeout": (ONCE, (), lambda scene, cid: (scene.sent(cid), scene.run(5))),
        "stream": (CHAT, (("X-Token-Counts", "5,9"),), _stream),
        "resumed": (CHAT, (("Last-Event-ID", "3"), ("X-Prompt-Parts", "5c:8,91:4")), _break_stream),
    }
    for title, (path, headers, play) in cases.items():
        scene = ForwardingScene()
        cid = scene.ask(path, headers=headers, deadline=3000)
        play(scene, cid)
        scene.run(5)
        for _, _, method, url, sent, body, connect, left, reuse, *_ in scene.sends(cid):
            transcript.note(f"{title}, to the server", method, url, *_header_lines(sent), "", _text_of(body))
            transcript.note(f"{title}, times", connect, left, reuse is ConnectionReuse.ALWAYS)
        transcript.note_effects(f"{title}, to the client", map(effect_of, scene.client_effects(cid)))
    return transcript.text()


def _stream(scene, cid):
    scene.stream(cid, 1, 2)
    scene.events(cid, 3)
    scene.call_event(cid, "end")


def _break_stream(scene, cid):
    scene.stream(cid, 4)
    scene.call_event(cid, "fault", "reset")
    scene.run(0.2)
    scene.stream(cid, 5)
    scene.call_event(cid, "end")


def model_servers() -> str:
    """Records orders to model servers, and how the servers' answers and reports are parsed."""
    transcript = Transcript()
    body = json.dumps(SERVER_REPORT).encode()
    for port in (ServerPort, adapters.PlatformOrderPort):
        title = "own" if port is ServerPort else "platform"
        orders = [port.report()]
        for verb in ("load", "unload"):
            orders += [port.order(verb, "m", "", "core-1", 7, None), port.order(verb, "m", "a1", "core-1", 7, 3)]
        for method, path, headers, sent in orders:
            transcript.note(f"{title} call", method, path, *_header_lines(headers), "", _text_of(sent))
        for status, raw in ((200, body), (500, body), (200, b"[]"), (200, b"{"), (200, b"{}")):
            transcript.note_json(f"{title} report {status} {len(raw)}", _report_document(port.read_report(status, raw)))
        statuses = (200, 202, 409, 412, 421, 500)
        transcript.note_json(f"{title} answers", [port.read_order(status, b"") for status in statuses])
    return transcript.text()


def _report_document(report):
    """Returns a parsed server report in the form of the fixture, or None."""
    return report and {
        "models": report.models,
        "busy": report.is_busy,
        "sequence": report.sequence,
        "waiting": report.waiting,
        "running": report.running,
        "cacheUsed": report.cache_used,
        "cacheTotal": report.cache_total,
    }


def platform_documents() -> str:
    """Records settings, documents and headers of the platform, translated to the internal form and back."""
    transcript, samples = Transcript(), platform_fixtures
    zones, whole = tuple(samples.ZONES), samples.sample_document
    for title, text in (("edge", samples.SETTINGS), ("core", samples.CORE)):
        transcript.note_json(f"settings of an {title}", adapters.read_settings(text.encode()))
    for text in ("node-name = ", "node-name = 'n'", samples.SETTINGS.replace('"10.200.0.4:8142"', "7")):
        transcript.note_json("settings that can't be used", adapters.read_settings(text.encode()))
    more = {"routes": [{**samples.ROUTE, "tenant": {"a": [1, None, 1.0]}}], "extra": 5}
    for doc in (whole(), {**whole(), **more}, {"version": 9}):
        ours = adapters.from_platform(doc, zones)
        transcript.note_json("document", ours)
        transcript.note_json("document read back", adapters.to_platform(json.loads(json.dumps(ours))))
    for port in (RequestPort(), adapters.PlatformRequestPort()):
        _note_port(transcript, port)
    return transcript.text()


def _note_port(transcript, port):
    title = "own" if type(port) is RequestPort else "platform"
    headers = [("Host", "a.example"), ("Connection", "close, X-Own"), ("X-Own", "1"), ("Accept", "*/*")]
    for prefix in ("X-", "Sumachook-"):
        names = ("Request-Id", "Deadline-Ms", "Deadline-Remaining", "Model", "Token-Counts", "Prompt-Parts")
        values = ("q1", "400", "500", "m/a1", "5,9", "5c:8,91:4")
        headers += [(prefix + name, value) for name, value in zip(names, values, strict=True)]
        headers += [(prefix + "Urgency", "7"), (prefix + "Urgency-Level", "8"), (prefix + "Expect-Instance", "z")]
        headers += [(prefix + "Prompt-Prefix", "6c:7,92:3"), (prefix + "Not-Run", "1"), (prefix + "Server-Seal", "s")]
        headers += [(prefix + "Cold-Ms", "11"), (prefix + "Cold-Remaining", "12")]
    headers += [("Last-Event-ID", "3"), ("Retry-After", "0.5")]
    transcript.note_json(f"{title} request as read", list(port.read_request(headers)))
    transcript.note_json(f"{title} answer as read", list(port.read_response(503, headers)))
    for last in ("", "4"):
        sent = port.write_request(headers, "b.example", "s1", 321, 9, last)
        transcript.note(f"{title} request as forwarded", *_header_lines(sent))
    transcript.note(f"{title} answer as handed on", *_header_lines(port.pass_headers(headers)))
    for status, request, pause in ((503, "q1", 0.25), (502, "q1", 0.25), (404, "", None)):
        failure = FailureKind.RESET.because("why")
        transcript.note_answer(f"{title} refusal", *port.refusal(status, failure, request, "maybe", pause))


def platform_answers() -> str:
    """Records the answers of a simulated cluster to the platform's operator, and the readiness of its nodes."""
    samples, transcript = platform_fixtures, Transcript()
    scene = test_platform_operator.OperatorCluster(301)
    caller = ControlCaller(scene.deployment, transcript)
    ahead, behind = _leader_and_follower(scene.deployment)
    replace, update, read = "/Configuration.Replace", "/Configuration.Update", "/Configuration.Read"
    caller.call("none yet", "GET", read, core=ahead)
    caller.call("accepted", "POST", replace, samples.sample_document(7), ahead, 0)
    caller.call("read back", "GET", read, core=behind)
    caller.call("stale", "POST", replace, samples.sample_document(8), ahead, 3)
    caller.call("no base", "POST", replace, samples.sample_document(8), ahead, "x")
    for title in sorted(test_platform_operator.INVALID_CONFIGURATIONS):
        caller.call(title, "POST", replace, test_platform_operator.INVALID_CONFIGURATIONS[title], ahead, 7)
    part = {
        "version": 9,
        "upserts": {"routes": [{**samples.SINGLE, "name": "r-3", "path-prefix": "/z/"}]},
        "removals": {"routes": ["r-1"]},
    }
    caller.call("accepted", "POST", update, part, ahead, 7)
    caller.call("bad part", "POST", update, {"version": 10, "upserts": []}, ahead, 9)
    caller.call("read back", "GET", read, core=ahead)
    for verb in ("Start", "Finish"):
        for zone in ("hall-b", "hall-b", "nowhere"):
            caller.call("evacuation", "POST", f"/Evacuation.{verb}/{zone}", b"", ahead)
    long = {**samples.sample_document(11), "more": "x" * LONGEST_FORWARDED}
    caller.call("redirected", "POST", replace, long, behind, 9)
    caller.call("no such call", "POST", "/Configuration.None", b"", ahead)
    for path in ("/readiness", "/condition", "/metrics"):
        caller.call("node", "GET", path, core=ahead)
    now = scene.deployment.now
    edge = adapters.NodeAdapter(scene.deployment.machines("edge")[0], "/nowhere/settings.toml")
    readiness = HttpRequestReceived(1, "GET", "/readiness", {}, b"")
    transcript.note_effects("an edge's /readiness", edge.take(readiness, now))
    return transcript.text()


SURFACES = {
    "core_answers.txt": core_answers,
    "edge_answers.txt": edge_answers,
    "forwarding.txt": forwarding,
    "model_servers.txt": model_servers,
    "platform_documents.txt": platform_documents,
    "platform_answers.txt": platform_answers,
}


@pytest.mark.parametrize("name", SURFACES)
def test_public_surface_has_the_same_bytes(name):
    """The same calls to the same seeded cluster give the committed answers and requests, byte for byte."""
    assert SURFACES[name]().encode() == (FIXTURES / name).read_bytes()
