"""An edge: the caller-facing router, made of its machines."""

from datetime import timedelta
from random import Random

from sumachook.allowances.limiter import Limiter
from sumachook.catalog.state import State
from sumachook.changefeed.follower import Follower
from sumachook.forwarding.cold_allowance import ColdAllowance
from sumachook.forwarding.port import RequestPort
from sumachook.forwarding.table import Table
from sumachook.forwarding.transit import Transit
from sumachook.inference.ferry import Ferry
from sumachook.ledger.quill import Quill
from sumachook.membership.membership import ALIVE, GONE, SUSPECT, Membership
from sumachook.nodes.edge_shutdown import EdgeShutdown
from sumachook.nodes.edge_status import condition, metrics
from sumachook.nodes.pulse import IDLE_PULSE, IN_HAND_PULSE, PULSE
from sumachook.nodes.replies import reply
from sumachook.nodes.state_file import FILE, StateFile
from sumachook.nodes.usage_report import UsageReport
from sumachook.placement.places import Places
from sumachook.retry_budget.budget import RetryBudget, share_of_savings
from sumachook.runtime.almanac import Almanac

MEMBERSHIP = {"probe", "probe_ack", "probe_via", "probe_for", "via_ack", "join", "roll"}
FEED = {"image", "image_part", "news", "feed_beat"}
ALONE_AFTER = timedelta(seconds=2)
KNOWN_AFTER = timedelta(seconds=3)
KIN_FOR = timedelta(seconds=60)
ASK_PLACES = timedelta(seconds=0.1)


class Edge:
    """Takes (message, now) from its host and gives back what the host must do (§1.2)."""

    __slots__ = (
        "params",
        "node",
        "boot",
        "state",
        "membership",
        "follower",
        "retry_budget",
        "quill",
        "ferry",
        "next_demand",
        "ignored",
        "state_file",
        "was_alone",
        "started_at",
        "almanac",
        "transit",
        "places",
        "usage_report",
        "shutdown",
        "asked_places_at",
        "limiter",
        "told_limits",
    )

    def __init__(self, params, records: dict, boot: int, clock, draw: Random, request_port=None):
        now = clock.mono()
        self.params, self.node, self.boot, self.started_at = params, params.node, boot, now
        self.state = State()
        self.state_file = StateFile(self.state, params.data is not None, records.get(FILE, ()), now)
        me = (self.node, params.address, "edge", params.area, boot, ALIVE, params.door, boot)
        self.almanac = Almanac(clock.wall, now)
        self.membership = Membership(me, params.seeds, Random(draw.random()), now, self.almanac)
        self.follower = Follower(self.state, Random(draw.random()), now)
        self.retry_budget, self.quill = (
            RetryBudget(params.resend_ratio),
            Quill(params.data is not None, records.get("spool", ()), now),
        )
        self.ferry = Ferry(
            self.node,
            boot,
            params.area,
            self.state,
            self.follower,
            self.retry_budget,
            Random(draw.random()),
            self.almanac,
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
                    self.retry_budget,
                    Random(draw.random()),
                    request_port or RequestPort(),
                    self.places,
                    self.almanac,
                )
            )
            if params.front
            else None
        )
        if self.transit:
            self.transit.table.cold_allowance = ColdAllowance(params.cold_overshoot, params.cold_slack)
        self.usage_report, self.shutdown = UsageReport(now), EdgeShutdown(timedelta(seconds=params.grace), now)
        self.asked_places_at, self.next_demand, self.ignored, self.was_alone = now, now, 0, False
        self.told_limits = None

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
                    out += [("tell", address, effect) for address in self._holders_of("placer")]
                elif effect[0] == "applied":
                    self.state_file.add(effect[1], effect[2])
                elif effect[0] == "restored":
                    self.state_file.replace()
                elif effect[0] in ("changed", "objected"):
                    continue
                elif effect[0] == "member":
                    self._learn_edges(now)
                else:
                    out.append(effect)
        return out

    @property
    def pulse_interval(self) -> timedelta:
        """The longest time until the next pulse, by what this edge has in hand now (§1.3)."""
        if self.shutdown.has_begun or self.ferry.table.rows or not self.places.is_known:
            return PULSE
        if self.transit is None:
            return IDLE_PULSE
        table = self.transit.table
        if table.waiting or table.parked:
            return PULSE
        return IN_HAND_PULSE if table.rows else IDLE_PULSE

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
        if kind == "disk-state":
            return self.quill.take(("disk", message.is_taking), now)
        if kind == "garbage":
            self.ignored += 1
            return []
        if kind == "request":
            self.shutdown.note_request(now)
            return self.transit.take(("http", *message[1:]), now)
        if kind in ("gone", "fetched"):
            is_transit = isinstance(message[1], tuple) and message[1][0] in ("front", "transit")
            return (self.transit if is_transit else self.ferry).take(message, now)
        if kind == "stop":
            self.shutdown.begin(now)
            for path in self._paths():
                path.take(("drain",), now)
            self.quill.take(("leave",), now)
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
        if kind in ("retry_lend", "retry_gift"):
            return self.retry_budget.take(message, now)
        if kind in ("allow_give", "allow_beg", "allow_lend"):
            return self.limiter.take(message, now)
        if kind == "leaving":
            return [effect for path in self._paths() for effect in path.take(message[3], now)]
        if kind == "places":
            return self.places.take(message, now) + (self.transit.take(("places",), now) if self.transit else [])
        if kind in ("cold", "eject"):
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
            self.transit.table.cold_allowance.rank = self.ferry.table.kin.index(self.node)
            if self.params.resend_slack is not None:  # so that all edges together save up less than the slack (§7.7)
                kin = self.ferry.table.kin
                self.retry_budget.cap = share_of_savings(self.params.resend_slack, kin.index(self.node), len(kin))

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

    def _holders_of(self, duty):
        """Where what a duty needs goes: to its holder, or to every core while it is vacant (§7.7, §14.5)."""
        address = self.state.roster.get(self.state.duties[duty][0])
        return (address,) if address else self._cores()

    def _pulse(self, now):
        out = self.membership.take(("pulse", self.follower.number), now)
        cores = self._cores()
        out += self.follower.take(("pulse", cores, self.membership.feed_heard), now)
        self.almanac.take(("pulse",), now)
        live = {member.node for member in self.membership.live}
        out += self.quill.take(("pulse", self.state.roster, live, self._carriers()), now)
        out += self.retry_budget.take(("pulse", self._holders_of("accountant")), now)
        out += self._limit(cores, now)
        is_old = now - self.started_at > KNOWN_AFTER
        self.ferry.table.knows_edges |= is_old
        self.ferry.table.knows_time |= (
            self.almanac.is_agreed or (is_old and not self.almanac.votes) or now - self.started_at > KNOWN_AFTER * 10
        )
        is_alone = now - self.follower.proved_at > ALONE_AFTER
        if self.was_alone and not is_alone:
            out += self.ferry.take(("rejoined",), now)
        self.was_alone = is_alone
        out += self.ferry.take(("pulse",), now)
        if self.transit:
            out += self.transit.take(("pulse",), now)
            usage = self.usage_report.take(self.transit.table, now)
            out += (
                [("tell", address, ("usage", usage)) for address in self._holders_of("placer")]
                if usage is not None
                else []
            )
            outcomes = self.transit.table.tally.due(now)
            if outcomes is not None:
                out += [("tell", address, ("outcomes", outcomes)) for address in self._holders_of("placer")]
            if not self.places.is_known and now - self.asked_places_at > ASK_PLACES:
                self.asked_places_at = now
                out += [("tell", address, ("places_ask", -1)) for address in self._holders_of("placer")]
        if now >= self.next_demand:
            self.next_demand = now + timedelta(seconds=1)
            self._learn_edges(now)
            if self.ferry.table.demand:
                out += [("tell", core, ("demand", self.ferry.table.demand)) for core in cores]
                self.ferry.table.demand = {}
        out += self.state_file.save(now) + self._tell_limits()
        return out + self.shutdown.step(self.ferry, self.transit, self.quill, now)

    def _limit(self, cores, now):
        """Who lends, who else might, and among how many the floors are parted while nobody does (§15.4, §15.5)."""
        if not (self.limiter.quotas or (self.state.catalogue is not None and self.state.catalogue.tenants)):
            return []
        table = self.ferry.table
        edges = len(table.kin) if table.knows_edges else 0
        return self.limiter.take(
            ("pulse", self.state.roster.get(self.state.duties["accountant"][0]), cores, self._carriers(), edges), now
        )

    def _tell_limits(self):
        """The front obeys the configuration's limits of clients."""
        catalogue = self.state.catalogue
        if self.transit is None or catalogue is None or catalogue.limits == self.told_limits:
            return []
        self.told_limits = catalogue.limits
        return [("limits", catalogue.limits)]

    def _http(self, message, now):
        _, cid, method, path, headers, body = message
        if path == "/condition":
            return [reply(cid, *condition(self, now))]
        if path == "/metrics":
            return [reply(cid, 200, metrics(self, now))]
        return self.ferry.take(message, now)
