"""An edge: the caller-facing router, made of its machines."""

from datetime import timedelta
from random import Random

import msgspec

from sumachook.allowances.limiter import Limiter
from sumachook.catalog.state import State
from sumachook.changefeed.follower import Follower
from sumachook.forwarding.port import RequestPort
from sumachook.forwarding.table import Table
from sumachook.forwarding.transit import Transit
from sumachook.inference.ferry import Ferry
from sumachook.ledger.purse import Purse
from sumachook.ledger.quill import Quill
from sumachook.membership.membership import ALIVE, GONE, SUSPECT, Membership
from sumachook.nodes.desk import reply
from sumachook.placement.places import Places
from sumachook.runtime.almanac import Almanac

MEMBERSHIP = {"probe", "probe_ack", "probe_via", "probe_for", "via_ack", "join", "roll"}
FEED = {"image", "news", "feed_beat"}
GRACE = timedelta(seconds=8)
CLOSING, LEAST_OPEN, MOST_OPEN = (
    timedelta(seconds=0.8),
    timedelta(seconds=2.5),
    0.5,
)  # before the end; after the signal; of the grace
ALONE_AFTER = timedelta(seconds=2)
KNOWN_AFTER = timedelta(seconds=3)
KIN_FOR = timedelta(seconds=60)
ASK_PLACES = timedelta(seconds=0.1)
USAGE_EVERY, USAGE_EDGES = timedelta(seconds=0.2), 20  # so often where there are no more edges than that
SLACK_PART = 0.8
QUIET_FOR = timedelta(seconds=1)


class Edge:
    """Takes (message, now) from its host and gives back what the host must do (§1.2)."""

    __slots__ = (
        "params",
        "node",
        "boot",
        "state",
        "membership",
        "follower",
        "purse",
        "quill",
        "ferry",
        "next_demand",
        "stop_by",
        "ignored",
        "saved_at",
        "saved_number",
        "saved_generation",
        "has_disk",
        "was_alone",
        "started_at",
        "almanac",
        "transit",
        "places",
        "next_usage",
        "quiet_since",
        "stopped_at",
        "is_shut",
        "asked_places_at",
        "limiter",
    )

    def __init__(self, params, records: dict, boot: int, clock, draw: Random, request_port=None):
        now = clock.mono()
        self.params, self.node, self.boot, self.started_at = params, params.node, boot, now
        self.state = State()
        for record in records.get("image", ()):
            self.state.restore(record[1])
        me = (self.node, params.address, "edge", params.area, boot, ALIVE, params.door, boot)
        self.almanac = Almanac(clock.wall, now)
        self.membership = Membership(me, params.seeds, Random(draw.random()), now, self.almanac)
        self.follower = Follower(self.state, Random(draw.random()), now)
        self.purse, self.quill = (
            Purse(params.resend_ratio),
            Quill(params.data is not None, records.get("spool", ()), now),
        )
        self.ferry = Ferry(
            self.node, boot, params.area, self.state, self.follower, self.purse, Random(draw.random()), self.almanac
        )
        self.limiter, self.places = Limiter(self.state, boot, now), Places()
        self.transit = (
            Transit(
                Table(
                    self.node,
                    boot,
                    params.area,
                    self.state,
                    self.follower,
                    self.purse,
                    Random(draw.random()),
                    request_port or RequestPort(),
                    self.places,
                    self.almanac,
                )
            )
            if params.front
            else None
        )
        self.next_usage = self.quiet_since = self.stopped_at = self.asked_places_at = now
        self.is_shut = False
        self.next_demand, self.stop_by, self.ignored, self.was_alone = now, None, 0, False
        self.saved_at, self.saved_number, self.has_disk = now, self.state.number, params.data is not None
        self.saved_generation = self.state.generation

    def take(self, message: tuple, now) -> list:
        out, work = [], [message]
        while work:
            for effect in self._dispatch(work.pop(0), now):
                if effect[0] in ("open", "close", "behind"):
                    work += [("inner", self.quill, effect)]
                elif effect[0] in ("recorded", "unrecorded", "duplicate"):
                    work += [("inner", self.ferry, effect)]
                elif effect[0] in ("claim", "over"):
                    work += [("inner", self.limiter, effect)]
                elif effect[0] in ("granted", "denied"):
                    work += [("inner", self.transit if effect[1][0] == "transit" else self.ferry, effect)]
                elif effect[0] == "want":
                    out += [("tell", address, effect) for address in self._placers()]
                elif effect[0] in ("changed", "objected"):
                    continue
                elif effect[0] == "member":
                    self._learn_edges(now)
                else:
                    out.append(effect)
        return out

    def _dispatch(self, message, now):
        kind = message[0]
        if kind == "inner":
            return message[1].take(message[2], now)
        if kind == "heard":
            return self._heard(message, now)
        if kind == "pulse":
            return self._pulse(now)
        if kind == "http":
            return self._http(message, now)
        if kind == "seeds":
            return self.membership.take(message, now)
        if kind == "garbage":
            self.ignored += 1
            return []
        if kind == "request":
            self.quiet_since = now
            return self.transit.take(("http", *message[1:]), now)
        if kind in ("gone", "fetched"):
            is_transit = isinstance(message[1], tuple) and message[1][0] in ("front", "transit")
            return (self.transit if is_transit else self.ferry).take(message, now)
        if kind == "stop":
            self.stop_by, self.stopped_at = now + timedelta(seconds=self.params.grace) - CLOSING, now
            self.quiet_since = now
            for path in self._paths():
                path.take(("drain",), now)
            note = ("log", "info", "edge", "Leaving, no new requests.", {"inHand": len(self.ferry.table.rows)})
            return [note, *self.membership.take(("leave",), now)]
        return []

    def _heard(self, message, now):
        kind = message[3][0]
        if kind in MEMBERSHIP:
            return self.membership.take(message, now)
        if kind == "feed_beat":
            self.almanac.take(("vote", message[1], message[3][3]), now)
        if kind in FEED:
            return self.follower.take(message, now)
        if kind in ("opened", "closed", "carry"):
            return self.quill.take(message, now)
        if kind in ("lend", "gift"):
            return self.purse.take(message, now)
        if kind in ("allow_give", "allow_beg", "allow_lend"):
            return self.limiter.take(message, now)
        if kind == "leaving":
            return [effect for path in self._paths() for effect in path.take(message[3], now)]
        if kind == "places":
            return self.places.take(message, now) + (self.transit.take(("places",), now) if self.transit else [])
        if kind == "cold":
            return self.transit.take(message[3], now) if self.transit else []
        self.ignored += 1
        return []

    def _learn_edges(self, now):
        """Live ones, for even shares; for the slow start also those gone of late: each side of a split counts the other (§7.5)."""
        edges = [member for member in self.membership.members.values() if member.role == "edge"]
        live = [member.node for member in edges if member.condition in (ALIVE, SUSPECT)]
        late = [member.node for member in edges if member.condition == GONE and now - member.since < KIN_FOR]
        self.ferry.table.edges = tuple(sorted({self.node, *live}))
        self.ferry.table.kin = tuple(sorted({self.node, *live, *late}))
        if self.transit:
            self.transit.table.edges = len(self.ferry.table.kin)
            if (
                self.params.resend_slack is not None
            ):  # what all edges together may have saved up stays under the slack (§7.7)
                self.purse.cap = max(1.0, SLACK_PART * self.params.resend_slack / len(self.ferry.table.kin))

    def _carriers(self):
        """Addresses of other edges, those of other areas first (§11.5)."""
        edges = [member for member in self.membership.live if member.role == "edge"]
        return tuple(
            member.address
            for member in sorted(edges, key=lambda member: (member.area == self.params.area, member.node))
        )

    def _cores(self):
        """Addresses of live cores: rumoured ones first, else the roster's, else the seeds."""
        live = [member.address for member in self.membership.live if member.role == "core"]
        return tuple(sorted(live) or sorted(self.state.roster.values()) or self.membership.seeds)

    def _paths(self):
        return (self.ferry, self.transit) if self.transit else (self.ferry,)

    def _placers(self):
        """Where wants and usage go: to the holder of the placing duty, or to every core while it is vacant (§14.5)."""
        address = self.state.roster.get(self.state.duties["placer"][0])
        return (address,) if address else self._cores()

    def _pulse(self, now):
        out = self.membership.take(("pulse", self.follower.number), now)
        cores = self._cores()
        out += self.follower.take(("pulse", cores, self.membership.feed_heard), now)
        self.almanac.take(("pulse",), now)
        live = {member.node for member in self.membership.live}
        out += self.quill.take(("pulse", self.state.roster, live, self._carriers()), now)
        out += self.purse.take(("pulse", cores), now)
        out += self._limit(cores, now)
        is_old = now - self.started_at > KNOWN_AFTER
        self.ferry.table.knows_edges |= is_old
        self.ferry.table.knows_time |= (
            self.almanac.is_agreed or (is_old and not self.almanac.votes) or now - self.started_at > KNOWN_AFTER * 10
        )
        is_alone = now - self.follower.beat_at > ALONE_AFTER
        if self.was_alone and not is_alone:
            out += self.ferry.take(("rejoined",), now)
        self.was_alone = is_alone
        out += self.ferry.take(("pulse",), now)
        if self.transit:
            out += self.transit.take(("pulse",), now)
            out += self._usage(now)
            if not self.places.is_known and now - self.asked_places_at > ASK_PLACES:
                self.asked_places_at = now
                out += [("tell", address, ("places_ask", -1)) for address in self._placers()]
        if now >= self.next_demand:
            self.next_demand = now + timedelta(seconds=1)
            self._learn_edges(now)
            if self.ferry.table.demand:
                out += [("tell", core, ("demand", self.ferry.table.demand)) for core in cores]
                self.ferry.table.demand = {}
        out += self._save(now)
        if self.stop_by is not None:
            out += self._stopping(now)
        return out

    def _usage(self, now):
        """What began since the last report and what runs, by service and name, for the placer (§14.5)."""
        table = self.transit.table
        if now < self.next_usage or not (table.begun or table.running):
            return []
        self.next_usage = now + USAGE_EVERY * max(1, table.edges / USAGE_EDGES)
        names = {
            service: set(table.begun.get(service, ())) | set(table.running.get(service, ()))
            for service in {*table.begun, *table.running}
        }
        usage = {service: {name: self._use(table, service, name) for name in of} for service, of in names.items()}
        table.begun = {}
        return [("tell", address, ("usage", usage)) for address in self._placers()]

    def _limit(self, cores, now):
        """Who lends, who else might, and among how many the floors are parted while nobody does (§15.4, §15.5)."""
        if not (self.limiter.quotas or (self.state.catalogue is not None and self.state.catalogue.tenants)):
            return []
        table = self.ferry.table
        edges = len(table.kin) if table.knows_edges else 0
        return self.limiter.take(
            ("pulse", self.state.roster.get(self.state.duties["accountant"][0]), cores, self._carriers(), edges), now
        )

    def _use(self, table, service, name):
        """(begun since the last report, running now, {server: running})."""
        places = table.running.get(service, {}).get(name, {})
        return table.begun.get(service, {}).get(name, 0), sum(places.values()), dict(places)

    def _save(self, now):
        """An image on the own disk, so that a start needs no core to be up (§8.4)."""
        is_new = self.saved_generation != self.state.generation  # a configuration that was obeyed is kept at once
        is_due = self.saved_number != self.state.number and now - self.saved_at > timedelta(seconds=2)
        if not self.has_disk or not (is_new or is_due):
            return []
        self.saved_at, self.saved_number, self.saved_generation = now, self.state.number, self.state.generation
        return [("rewrite", "image", (("image", self.state.image()),), None)]

    def _stopping(self, now):
        is_done = not self.ferry.table.rows and not self.quill.entries and not self.ferry.table.early
        if self.transit:
            return self._stop_forwarding(is_done, now)
        if not is_done and now < self.stop_by:
            return []
        if now >= self.stop_by and self.ferry.table.rows:
            self.stop_by = now + timedelta(seconds=1)
            return self.ferry.take(("cut-short",), now)
        return [("leave", 0)]

    def _stop_forwarding(self, is_done, now):
        """§14.7: clients go on coming until the readiness answer has reached whoever sends them; then the front is shut, what is in hand is
        finished, and shortly before the end of the grace it gets its final answer."""
        out, since = [], now - self.stopped_at
        is_quiet = now - self.quiet_since > QUIET_FOR
        if (
            not self.is_shut
            and since >= LEAST_OPEN
            and (is_quiet or since >= MOST_OPEN * timedelta(seconds=self.params.grace))
        ):
            self.is_shut = True
            out += [("shut",), *self.transit.take(("shut",), now)]
        if now >= self.stop_by:
            for path in self._paths():
                out += path.take(("cut-short",), now)
            is_done = is_done or now >= self.stop_by + CLOSING / 3
        return [*out, ("leave", 0)] if is_done and self.is_shut and not self.transit.table.rows else out

    def _http(self, message, now):
        _, cid, method, path, headers, body = message
        if path == "/condition":
            trust = self.follower.trust(now)
            is_open = self.params.front is not None or self.state.is_open(
                self.params.area
            )  # evacuating a forwarding area closes its servers
            is_ready = trust in ("fresh", "cut") and self.stop_by is None and is_open
            doc = {
                "node": self.node,
                "role": "edge",
                "area": self.params.area,
                "trust": trust,
                "number": self.follower.number,
                "generation": self.state.generation,
                "ready": is_ready,
                "leaving": self.stop_by is not None,
            }
            return [reply(cid, 200 if is_ready else 503, doc)]
        if path == "/metrics":
            return [reply(cid, 200, self._metrics(now))]
        return self.ferry.take(message, now)

    def _metrics(self, now):
        counts = {"_".join(what): count for what, count in self.ferry.table.counts.items()}
        lanes = {
            name: {"inUse": lane.in_use, "shut": lane.is_shut(now)} for name, lane in self.ferry.table.lanes.items()
        }
        return {
            "node": self.node,
            "counts": counts,
            "lanes": lanes,
            "rows": len(self.ferry.table.rows),
            "lines": {line: len(rows) for line, rows in self.ferry.table.lines.rows.items()},
            "ledgerWaiting": len(self.quill.entries),
            "ledgerDropped": self.quill.lost,
            "credit": round(self.purse.balance, 2),
            "number": self.follower.number,
            "ignored": self.ignored,
            "members": len(self.membership.members) + 1,
            "allowances": self.limiter.told(),
        }


def test_edge_without_a_catalogue_says_so():
    from sumachook.catalog.params import Params
    from sumachook.runtime.clock import Clock

    params = Params(node="e1", address="127.0.0.1:1", door="127.0.0.1:2", area="hall", seeds=("127.0.0.1:3",))
    edge, now = Edge(params, {}, 1, Clock(), Random(1)), Clock().mono()
    ((_, _, status, headers, body),) = edge.take(("http", 1, "GET", "/records/1", {}, b""), now)
    assert status == 503 and msgspec.json.decode(body)["fault"]["run"] == "no" and "Retry-After" in headers
    assert edge.take(("stop",), now)[0][0] == "log"
    assert edge.take(("pulse",), now + GRACE)[-1] == ("leave", 0)


def test_edge_that_knows_no_other_sends_a_warming_server_nothing():
    from sumachook.catalog.params import Params
    from sumachook.runtime.clock import Clock

    doc = {
        "name": "c",
        "areas": ["a"],
        "models": [{"name": "m", "memory": 4.0, "decodeRate": 50.0}],
        "lines": [{"name": "l"}],
        "callers": [{"name": "clerk", "key": "clerk-key", "line": "l", "patience": 9.0, "safe": True}],
    }
    state = State()
    state.apply(1, ("apply", "r", doc, False, None))
    state.servers = {"s": {"kind": "model", "address": "127.0.0.1:9", "area": "a", "leaving": False, "slots": 8}}
    state.pairs, state.held = {"m": ("s", "")}, {"s": {"m": "warm"}}
    params = Params(node="e1", address="127.0.0.1:1", door="127.0.0.1:2", area="a", seeds=("127.0.0.1:3",))
    edge, now = Edge(params, {"image": (("image", state.image()),)}, 1, Clock(), Random(1)), Clock().mono()
    edge.follower.beat_at = edge.follower.last_pulse = now
    body = b'{"model":"m","messages":[{"role":"user","content":"x"}]}'
    edge.ferry.table.knows_time = True
    edge.ferry.take(("http", 1, "POST", "/v1/chat/completions", {"authorization": "Bearer clerk-key"}, body), now)
    (request,) = edge.ferry.table.rows
    assert edge.ferry.take(("recorded", request), now) == []
    edge.ferry.table.knows_edges = True
    assert [effect[0] for effect in edge.ferry.take(("pulse",), now)] == ["fetch"]
