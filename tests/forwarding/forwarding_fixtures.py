"""Fixtures for tests of the forwarding pipeline: a pipeline with its table, requests, servers and responses
(docs/design/forwarding.md)."""

from datetime import timedelta
from random import Random

import msgspec

from sumachook.changefeed.trust import Trust
from sumachook.control_state.state import State
from sumachook.forwarding.pipeline import ProxyPipeline
from sumachook.forwarding.port import RequestPort
from sumachook.forwarding.request_table import RequestTable
from sumachook.host.events import MessageReceived
from sumachook.ledger.events import RecordDeferred
from sumachook.placement.messages import PlacementRequest, PlacementUpdate
from sumachook.placement.places import PlacementView
from sumachook.requests.events import (
    DrainEnded,
    DrainStarted,
    PlacesChanged,
    ProxyServerClosed,
    ServersCold,
    ServersEjected,
    ServersLeaving,
)
from sumachook.retry_budget.budget import RetryBudget, service_key
from sumachook.runtime.cluster_clock import UNIX_EPOCH, ClusterClock
from tests.deployment_fixtures import give_credit, json_fields
from tests.short_forms import event_of, tuple_of_effect

SECOND = timedelta(seconds=1)
TICK = timedelta(seconds=0.05)
START = timedelta(seconds=100)
SEAL = ("X-Server-Seal", "s.1")
NOT_RUN = ("X-Not-Run", "1")
OWN = ("X-Request-Id", None)  # stands for the id of the request itself
EVENTS = ("Content-Type", "text/event-stream")
SERVICES = ("records", "other", "llm")
PLAIN, ONCE, CHAT, LOOSE = "/plain/x", "/once/x", "/chat/x", "/loose/x"


class FixedTrust:
    """Stands in for a changefeed follower with a settable trust level."""

    def __init__(self, level):
        self.level = level

    def trust(self, now):
        return self.level


def route(name, kind, service="records", **more):
    return {
        "name": name,
        "host": "a.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 4000,
        "targetMs": 400,
        "tries": 3,
        "split": [{"service": service, "weight": 1}],
        **json_fields(more),
    }


def catalogue(version=1, routes=None, **more):
    engine = {
        "slots": 8,
        "memoryMb": 100.0,
        "models": [{"name": name, "sizeMb": 10.0, "loadMs": 600, "adapters": 2} for name in ("m", "n")],
    }
    standing = [
        route("plain", "repeatable"),
        route("once", "once"),
        route("loose", "stream"),
        route("chat", "stream", "llm", resumable=True),
    ]
    return {
        "name": "c",
        "areas": ["east", "west"],
        "version": version,
        "httpRoutes": standing if routes is None else routes,
        "services": [
            {"name": "records", "connections": 300},
            {"name": "other"},
            {"name": "llm", "connections": 300, "engine": engine},
        ],
        **more,
    }


def server(service, zone="east", address="10.0.0.1:80", leaving=False):
    return {"kind": "service", "service": service, "address": address, "area": zone, "leaving": leaving, "slots": 8}


SERVERS = {
    "r1": server("records"),
    "r2": server("records"),
    "r3": server("records"),
    "l1": server("llm"),
    "l2": server("llm"),
    "l3": server("llm"),
}


PIPELINE_EVENTS = {
    "drain": DrainStarted,
    "shut": ProxyServerClosed,
    "cut-short": DrainEnded,
    "places": PlacesChanged,
    "leaving": ServersLeaving,
    "cold": ServersCold,
    "eject": ServersEjected,
}


def event_from(message):
    """Returns the typed event for the short form that the tests use."""
    kind, *values = message
    if kind in PIPELINE_EVENTS:
        return PIPELINE_EVENTS[kind](*values)
    return event_of(("request" if kind == "http" else kind, *values))


class Scene:
    """A forwarding pipeline with its table, and the effects that it returned."""

    def __init__(
        self, doc=None, servers=None, credit=4.0, seed=1, trust=Trust.FRESH, held=("l1", "l2", "l3"), port=None
    ):
        self.now, self.state, self.trust, self.places = START, State(), FixedTrust(trust), PlacementView()
        self.retry_budget = RetryBudget(cap=4.0)
        if doc is not False:
            assert self.state.apply(1, ("configure", "q", doc or catalogue(), {}, False, 0))[0] == "ok"
        self.state.servers = dict(SERVERS if servers is None else servers)
        self.give_credit(credit)
        self.table = RequestTable(
            "e1",
            7,
            "east",
            self.state,
            self.trust,
            self.retry_budget,
            Random(seed),
            port or RequestPort(),
            self.places,
            ClusterClock(lambda: UNIX_EPOCH, START),
        )
        self.proxy_pipeline, self.out, self.number = ProxyPipeline(self.table), [], 0
        self.place({name: {"m": ()} for name in held})

    def give_credit(self, credit):
        give_credit(self.retry_budget, credit, *map(service_key, SERVICES))

    def credit(self, service="records"):
        return self.retry_budget.balance_of(service_key(service))

    def take(self, *message):
        return self.take_event(event_from(message))

    def take_event(self, event):
        effects = [_readable(effect) for effect in self.proxy_pipeline.take(event, self.now)]
        self.out += effects
        return effects

    def effects(self, *kinds):
        """Returns the effects of these kinds so far; effects for tenant quotas are typed and never included."""
        return [effect for effect in self.out if isinstance(effect, tuple) and effect[0] in kinds]

    def place(self, servers):
        update = PlacementUpdate(1, 1, self.places.number + 1, True, servers)
        self.places.take(MessageReceived("core-1", "10.0.0.9:1", update), self.now)
        return self.take("places")

    def configure(self, doc):
        assert (
            self.state.apply(self.state.number + 1, ("configure", "q", doc, {}, False, self.state.version))[0] == "ok"
        )

    def ask(self, path=PLAIN, method="POST", headers=(), body=b"{}", host="a.example", **own):
        """Submits a request and returns its call id, which is also the request id that the client sends."""
        self.number += 1
        cid = f"q{self.number}"
        names = {
            "deadline": "X-Deadline-Ms",
            "model": "X-Model",
            "tokens": "X-Token-Counts",
            "parts": "X-Prompt-Parts",
            "last": "Last-Event-ID",
        }
        if path.startswith("/chat/"):
            own = {"model": "m", **own}
        pairs = [
            ("Host", host),
            ("X-Request-Id", cid),
            *headers,
            *((names[what], str(value)) for what, value in own.items()),
        ]
        self.take("http", cid, method, path, tuple(pairs), body)
        return cid

    def after(self, seconds):
        self.now += timedelta(seconds=seconds)
        return self

    def run(self, seconds):
        """Advances the time in ticks and returns the effects."""
        until, begun = self.now + timedelta(seconds=seconds), len(self.out)
        while self.now < until:
            self.now += TICK
            self.take("pulse")
        return self.out[begun:]

    def sends(self, cid=None):
        """Returns the forwarded attempts of one request or of all."""
        found = self.effects("forward")
        return found if cid is None else [effect for effect in found if ("X-Request-Id", cid) in effect[4]]

    def target_server(self, cid, place=-1):
        """Returns the target server of an attempt, by default of the last one."""
        return dict(self.sends(cid)[place][4])["x-expect-instance"]

    def client_effects(self, cid):
        return [effect for effect in self.effects("reply", "head", "chunk", "end", "drop") if effect[1] == cid]

    def reply(self, cid):
        (effect,) = self.client_effects(cid)
        assert effect[0] == "reply", effect
        return effect

    def status(self, cid):
        return self.reply(cid)[2]

    def fault(self, cid):
        return msgspec.json.decode(self.reply(cid)[4])["fault"]

    def retry_after(self, cid):
        return float(dict(self.reply(cid)[3])["Retry-After"])

    def call_event(self, cid, *what):
        """Passes an event of the last attempt of a request to the pipeline."""
        return self.take("fetched", self.sends(cid)[-1][1], *what)

    def sent(self, cid):
        return self.call_event(cid, "sent")

    def head(self, cid, status=200, *pairs, seal=True):
        return self.call_event(cid, "head", status, (("X-Request-Id", cid), *([SEAL] if seal else []), *pairs))

    def answer(self, cid, status=200, body=b"done", *pairs, **more):
        self.sent(cid)
        before = len(self.out)
        self.head(cid, status, *pairs, **more)
        if self.table.by_call_id.get(cid) is not None and self.out[before:] == []:
            self.call_event(cid, "chunk", body)
            self.call_event(cid, "end")

    def stream(self, cid, *numbers):
        self.sent(cid)
        self.head(cid, 200, EVENTS)
        self.events(cid, *numbers)

    def events(self, cid, *numbers):
        return self.call_event(cid, "chunk", b"".join(event(number) for number in numbers))

    def body(self, cid):
        return b"".join(effect[2] for effect in self.client_effects(cid) if effect[0] == "chunk")

    def records(self, is_close):
        return [effect[1] for effect in self.effects("behind") if effect[2] is is_close]

    def settled(self):
        """Asserts that no request is in flight, and that no counter still includes one."""
        table = self.table
        assert not (table.requests or table.by_call_id or table.waiting or table.wanted_models), (
            table.requests,
            table.waiting,
        )
        assert not any(table.running_by_service.values())
        assert all(
            server_window.in_use == 0 and server_window.pending_tokens == 0
            for server_window in table.server_windows.values()
        )
        return True


def event(number, size=1):
    return b"id: %d\ndata: %s\n\n" % (number, b"t%d" % number * size)


def _readable(effect):
    """Returns the short form of an effect for the tests; effects for tenant quotas stay typed."""
    match effect:
        case RecordDeferred(record, is_close):
            return ("behind", record, is_close)
        case PlacementRequest(models):
            return ("want", models)
    return tuple_of_effect(effect)
