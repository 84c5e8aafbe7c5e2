"""A core: seat of the ordered state, feed, duties and ledger, made of its machines."""

from datetime import timedelta
from random import Random
from urllib.parse import unquote

import msgspec

from sumachook.allowances.board import Board
from sumachook.allowances.grantor import Grantor
from sumachook.catalog.catalogue import merge, read_catalogue
from sumachook.catalog.state import State
from sumachook.changefeed.source import Source
from sumachook.consensus import Options, Replica
from sumachook.consensus.storage import FILE as LOG_FILE
from sumachook.consensus.wire import TYPES as CONSENSUS
from sumachook.fault import Fault
from sumachook.leases.leases import Leases
from sumachook.ledger.keeper import Keeper
from sumachook.ledger.purse import Accountant
from sumachook.membership.membership import ALIVE, Membership
from sumachook.nodes.desk import Desk, read_order, reply
from sumachook.nodes.edge import MEMBERSHIP
from sumachook.placement.account import account_for_places
from sumachook.placement.outlook import foresee
from sumachook.placement.placer import Placer
from sumachook.placement.port import ServerPort
from sumachook.placement.provisioner import Provisioner
from sumachook.placement.watcher import Watcher
from sumachook.runtime.almanac import Almanac
from sumachook.transport.codec import read_entry

LEASES = {"bid", "vote", "renew", "renewed"}
FEED = {"follow", "confirm", "confirmed"}
TALLY = {"open", "close", "hand", "handed"}
OPERATOR = ("apply", "configure", "evacuate", "restore")
FIND_WITHIN = timedelta(seconds=1)
SHORTEST_LEAVE = timedelta(seconds=0.5)  # for duties that are given back
LONGEST_LEAVE, LEAVE_SHARE = timedelta(seconds=3), 0.5  # for the seat to be taken over; of the grace at most


def seat_of(records: dict) -> str:
    """The seat that a data folder belongs to, or "" for a blank one."""
    return next((record[1] for record in records.get(LOG_FILE, ()) if record[0] == "seat"), "")


class Core:
    """Takes (message, now) from its host and gives back what the host must do (§1.2)."""

    __slots__ = (
        "params",
        "node",
        "boot",
        "state",
        "membership",
        "consensus",
        "leases",
        "source",
        "placer",
        "watcher",
        "keeper",
        "accountant",
        "desk",
        "is_new",
        "is_ready",
        "stop_at",
        "may_end_at",
        "has_departed",
        "ignored",
        "finds",
        "almanac",
        "provisioner",
        "grantor",
        "board",
        "is_disk_taking",
    )

    def __init__(self, params, records: dict, boot: int, clock, draw: Random, list_port=None, server_port=None):
        now = clock.mono()
        self.params, self.boot = params, boot
        seat = seat_of(records)
        self.is_new = not seat  # a blank folder is a new identity; what it promised and who it is go together (§4.6)
        self.node = f"{params.node}-{draw.getrandbits(32):08x}" if self.is_new else seat
        self.is_ready = not self.is_new
        self.state = State()
        options = Options(replace_after=timedelta(seconds=params.seat_away), wanted_voters=params.wanted_seats)
        self.consensus = Replica(
            self.node,
            params.address,
            params.founding,
            Random(draw.random()),
            self.state.image,
            records.get(LOG_FILE, ()),
            options,
            now,
        )
        number, image = self.consensus.snapshot()
        if image is not None:
            self.state.restore(image)
        self.state.number = number
        me = (self.node, params.address, "core", params.area, boot, ALIVE, params.door, boot)
        self.almanac = Almanac(clock.wall, now)
        self.membership = Membership(me, params.seeds, Random(draw.random()), now, self.almanac)
        self.leases = Leases(
            self.node, self.state, Random(draw.random()), now, params.fenced, timedelta(seconds=params.turn_gap)
        )
        self.source = Source(self.state, self._other_cores, now, self.almanac, self._is_fresh)
        self.placer, self.watcher = (
            Placer(self.state, now),
            Watcher(self.state, params.platform, now, list_port, params.list_readers),
        )
        self.provisioner = Provisioner(self.state, server_port or ServerPort(), self.node, now, boot)
        self.keeper = Keeper(self.node, self.almanac, params.retention, records.get("ledger", ()), now)
        self.accountant, self.finds = Accountant(now), {}
        self.grantor, self.board = Grantor(self.state, now), Board(self.state)
        self.desk = Desk(timedelta(seconds=params.confirm_within), timedelta(seconds=params.order_within))
        self.stop_at, self.may_end_at, self.has_departed, self.ignored = None, now, False, 0
        self.is_disk_taking = True

    def take(self, message: tuple, now) -> list:
        if message[0] == "disk-state":
            return self._take_disk_state(message, now)
        if self.is_new:
            self.is_new = False
            return [("disk", LOG_FILE, (("seat", self.node),), ("seat-ready",))]
        if not self.is_ready:
            self.is_ready = message[0] == "seat-ready"
            return []
        out, work, number = [], [message], self.state.number
        while work or number < self.state.number:
            if not work:  # what was delivered goes out at once, in one parcel
                number = self.state.number
                work += [("serve",)]
            for effect in self._dispatch(work.pop(0), now):
                if effect[0] in (
                    "propose",
                    "deliver",
                    "restored",
                    "compact",
                    "refused",
                    "resign",
                    "departed",
                    "readable",
                    "unreadable",
                ):
                    work.append(effect)
                elif effect[0] == "word":
                    out += [
                        ("tell", member.address, ("leaving", effect[1]))
                        for member in self.membership.live
                        if member.role == "edge"
                    ]
                elif effect[0] == "cold":
                    out += [
                        ("tell", member.address, effect) for member in self.membership.live if member.role == "edge"
                    ]
                elif effect[0] not in ("view", "member", "objected"):
                    out.append(effect)
        return out

    def _dispatch(self, message, now):
        kind = message[0]
        if not self.is_disk_taking and kind == "read":
            return [("unreadable", message[1], None)]
        if not self.is_disk_taking and self._needs_disk(message):
            return []
        if kind == "heard":
            return self._heard(message, now)
        if kind == "pulse":
            return self._pulse(now)
        if kind in ("propose", "compact", "consensus", "read"):
            return self.consensus.take(message, now)
        if kind == "deliver":
            return self._deliver(message, now)
        if kind == "restored":
            self.state.restore(message[2])
            self.state.number = message[1]
            self.placer.take(("changed",), now)
            self.provisioner.take(("changed",), now)
            return self.source.take(("restored", message[1]), now)
        if kind == "serve":
            return self.source.take(message, now) + self._settle_orders(now)
        if kind == "keeper-synced":
            return self.keeper.take(message, now)
        if kind == "woken" or (kind == "fetched" and message[1][0] == "provision"):
            return self.provisioner.take(message, now)
        if kind == "fetched" and message[2] in ("done", "fault"):
            return (self.placer if message[1][0] == "placer" else self.watcher).take(message, now)
        if kind == "http":
            return self._http(message, now)
        if kind == "gone":
            return self.desk.take(message, now)
        if kind == "seeds":
            return self.membership.take(message, now)
        if kind == "garbage":
            self.ignored += 1
            return []
        if kind == "stop":
            if self.stop_at is not None:
                return []
            self.stop_at = now + min(LONGEST_LEAVE, timedelta(seconds=self.params.grace) * LEAVE_SHARE)
            self.may_end_at = now + SHORTEST_LEAVE
            note = ("log", "info", "core", "Leaving, duties and seat are given back.", {})
            # the seat comes last: who leads orders what was given back before it hands over
            return [note, *self.leases.take(("quit",), now), *self.membership.take(("leave",), now), ("resign",)]
        if kind == "resign":
            return self.consensus.take(("leave",), now)
        if kind == "departed":
            self.has_departed = True
            return []
        return []  # a refused proposal is made again by who made it

    # a disk that takes no records (§13.4) --------------------------------------------

    def _take_disk_state(self, message, now):
        """While the disk takes no records this core is in no view, holds no duty and keeps no rows; it goes on running."""
        if message.is_taking:
            self.is_disk_taking = True
            return [] if self.stop_at is not None else self.leases.take(("resume",), now)
        effects = self.leases.take(("quit",), now)
        orders = [effect for effect in effects if effect[0] == "propose"]
        out = [effect for effect in effects if effect[0] != "propose"]
        if self.consensus.role == "leading":
            out += self.consensus.take(("step-back",), now)  # the others need not wait for its silence
        else:
            for order in orders:
                out += self.consensus.take(order, now)
        self.is_disk_taking = False
        return out

    def _needs_disk(self, message) -> bool:
        """What would have to be written, or promised, before it is answered. Who sent it takes us for one that is cut off."""
        kind = message[0]
        return kind in ("propose", "compact") or (kind == "heard" and message[3][0] in CONSENSUS.keys() | TALLY)

    def _is_fresh(self, now) -> bool:
        return self.is_disk_taking and self.consensus.is_fresh(now)

    # messages ----------------------------------------------------------------------

    def _heard(self, message, now):
        kind = message[3][0]
        if kind in MEMBERSHIP:
            return self.membership.take(message, now)
        if kind in CONSENSUS:
            return self.consensus.take(message, now)
        if kind in LEASES:
            return self.leases.take(message, now)
        if kind in FEED:
            return self.source.take(message, now) + (self._settle_orders(now) if kind != "follow" else [])
        if kind in TALLY:
            return self.keeper.take(message, now)
        if kind == "credit":
            return self.accountant.take(message, now)
        if (
            kind == "allow_ask"
        ):  # the lease is looked at now, not at the last pulse: this may have lain in a buffer (§15.4)
            return self.grantor.take(("asked", *message[1:], self.leases.holds("accountant", now)), now)
        if kind == "allow_report":
            return self.board.take(message, now)
        if kind == "demand":
            return self.placer.take(message, now)
        if kind in ("want", "usage", "places_ask"):
            return self.provisioner.take(message, now)
        if kind in ("find", "found"):
            return self._find_heard(message, now)
        self.ignored += 1
        return []

    def _deliver(self, message, now):
        _, number, entry = message
        change = read_entry(entry)
        result = self.state.apply(number, change)
        out = self.source.take(("delivered", number, entry), now)
        self.placer.take(("changed",), now)
        out += self.provisioner.take(("changed",), now)
        if change[0] in OPERATOR:
            out += self.desk.take(("delivered", number, change, result, self.state.version), now)
            out.append(
                ("log", "info", "core", "Change delivered.", {"number": number, "kind": change[0], "result": result[0]})
            )
        return out

    def _pulse(self, now):
        is_fresh, is_leading = self._is_fresh(now), self.is_disk_taking and self.consensus.role == "leading"
        out = self.membership.take(("pulse", self.state.number if is_fresh else 0), now)
        if self.is_disk_taking:
            out += self.consensus.take(("pulse", self._core_addresses()), now)
            out += self.keeper.take(("pulse", self._live_boots(), self.state.roster), now)
        self.almanac.take(("pulse",), now)
        out += self.leases.take(("pulse", is_fresh, is_leading), now)
        out += self.source.take(("pulse",), now)
        out += self.placer.take(("pulse", self.leases.holds("placer", now)), now)
        edge_addresses = tuple(member.address for member in self.membership.live if member.role == "edge")
        out += self.provisioner.take(("pulse", self.leases.holds("placer", now), edge_addresses), now)
        out += self.watcher.take(("pulse", is_fresh, is_leading), now)
        out += self.accountant.take(("pulse", self.leases.holds("accountant", now)), now)
        out += self.grantor.take(("pulse", self.leases.holds("accountant", now)), now)
        out += self.desk.take(("pulse", self._live_nodes(), self._confirmed()), now)
        out += self._find_pulse(now)
        if self.stop_at is not None and now >= (self.may_end_at if self.has_departed else self.stop_at):
            out.append(("leave", 0))
        return out

    def _settle_orders(self, now):
        return self.desk.take(("confirmed", self._live_nodes(), self._confirmed()), now) if self.desk.orders else []

    def _core_addresses(self):
        return (*self.membership.seeds, *(member.address for member in self.membership.live if member.role == "core"))

    def _live_boots(self):
        boots = {member.node: member.boot for member in self.membership.live}
        return boots | {self.node: self.boot}

    def _live_nodes(self):
        return sorted(
            [member.node for member in self.membership.live if member.condition == ALIVE and member.role == "edge"]
        )

    def _confirmed(self):
        return self.source.confirmed

    def _other_cores(self):
        return [address for seat, address in self.state.roster.items() if seat != self.node]

    # HTTP -------------------------------------------------------------------------

    def _http(self, message, now):
        _, cid, method, path, headers, body = message
        if path == "/condition":
            return [self._condition(cid, now)]
        if path == "/metrics":
            return [reply(cid, 200, self._metrics(now))]
        if self.params.operator_key and headers.get("authorization") != f"Bearer {self.params.operator_key}":
            return [reply(cid, 401, {"fault": {"class": "unknown-operator", "reason": "Authorization: Bearer KEY"}})]
        if method == "POST" and path in [f"/operator/{kind}" for kind in OPERATOR]:
            change = read_order(path, body)
            if isinstance(change, Fault):
                return [reply(cid, 400, {"fault": {"class": change.name, "reason": change.reason, "applied": "no"}})]
            if not self._is_fresh(now) and not (self.is_disk_taking and self.consensus.role == "leading"):
                reason = "this core is in no working view; ask another"
                return [reply(cid, 503, {"fault": {"class": "no-view", "reason": reason, "applied": "no"}}, 1)]
            return self.desk.take(("order", cid, change), now)
        if method == "POST" and path in ("/plan", "/check"):
            return [self._weigh(cid, path, body)]
        if method == "GET" and path.startswith("/show/"):
            return [self._show(cid, path[6:], now)]
        if method == "GET" and path.startswith("/ledger/"):
            return self._find(cid, unquote(path[8:]), now)
        return [reply(cid, 404, {"fault": {"class": "not-found", "reason": f"{method} {path}"}})]

    def _condition(self, cid, now):
        is_fresh = self._is_fresh(now)
        doc = {
            "node": self.node,
            "role": "core",
            "area": self.params.area,
            "inView": is_fresh,
            "leader": self.consensus.leader_name,
            "view": self.consensus.view[0],
            "number": self.state.number,
            "generation": self.state.generation,
            "diskTakesRecords": self.is_disk_taking,
            "ready": is_fresh and self.stop_at is None,
        }
        return reply(cid, 200 if doc["ready"] else 503, doc)

    def _metrics(self, now):
        return {
            "node": self.node,
            "number": self.state.number,
            "view": self.consensus.view[0],
            "logged": len(self.consensus.log.entries),
            "members": len(self.membership.members) + 1,
            "ledgerRows": len(self.keeper.rows),
            "ledgerOpen": len(self.keeper.open_rows),
            "hints": len(self.keeper.hints),
            "followers": len(self.source.followers),
            "ignored": self.ignored,
            "storeCredit": round(self.placer.budget, 2),
            "allowances": self.grantor.told(now),
        }

    def _weigh(self, cid, path, body):
        """plan and check: say what would be, change nothing."""
        try:
            doc = msgspec.json.decode(body)
            wanted = merge(self.state.doc or {}, doc["doc"]) if doc.get("part") else doc["doc"]
        except (msgspec.DecodeError, RecursionError, KeyError, TypeError, AttributeError) as error:
            return reply(cid, 400, {"fault": {"class": "not JSON", "reason": str(error)}})
        catalogue, found = read_catalogue(wanted)
        if catalogue is None:
            return reply(
                cid,
                422,
                {"result": "refused", "faults": [{"path": path_, "reason": reason} for path_, reason in found]},
            )
        if path == "/check":
            return reply(cid, 200, {"result": "ok"})
        return reply(cid, 200, foresee(catalogue, self.state, self.placer.demand))

    def _show(self, cid, what, now):
        state, is_stale = self.state, not self._is_fresh(now)
        shown = {
            "cohort": lambda: {
                "members": [self._member(member) for member in [self.membership.me, *self.membership.members.values()]],
                "roster": state.roster,
                "view": {
                    "ballot": self.consensus.view[0],
                    "members": self.consensus.members,
                    "leader": self.consensus.leader_name,
                },
                "confirmed": self._confirmed(),
            },
            "duties": lambda: {
                "duties": {duty: {"holder": holder, "fence": fence} for duty, (holder, fence) in state.duties.items()}
            },
            "pairs": lambda: {"pairs": state.pairs, "held": state.held},
            "servers": lambda: {"servers": state.servers, "evacuated": state.evacuated},
            "catalogue": lambda: {"generation": state.generation, "catalogue": state.doc},
            "lines": lambda: {
                "lines": [msgspec.to_builtins(line) for line in state.catalogue.lines] if state.catalogue else [],
                "demand": self.placer.demand,
            },
            "places": lambda: {"holder": state.duties["placer"][0], **account_for_places(self.provisioner, now)},
            "allowances": lambda: {"holder": state.duties["accountant"][0], "tenants": self.board.told(now)},
        }.get(what)
        if shown is None:
            return reply(
                cid,
                404,
                {
                    "fault": {
                        "class": "not-found",
                        "reason": "cohort, duties, pairs, servers, catalogue, lines, places or allowances",
                    }
                },
            )
        return reply(cid, 200, {"stale": is_stale, "number": state.number, **shown()})

    def _member(self, member):
        return {
            "node": member.node,
            "role": member.role,
            "area": member.area,
            "address": member.address,
            "condition": member.condition,
            "incarnation": member.incarnation,
            "door": member.door,
        }

    # finding a request over all keepers ----------------------------------------------

    def _find(self, cid, request, now):
        row = self.keeper.find(request)
        if row is not None and row["state"] not in ("open", "lost"):
            return [reply(cid, 200, row)]
        self.finds[str(cid)] = (cid, row, now, len(self._other_cores()))
        return [("tell", address, ("find", str(cid), request)) for address in self._other_cores()]

    def _find_heard(self, message, now):
        _, _, address, body = message
        if body[0] == "find":
            return [("tell", address, ("found", body[1], self.keeper.find(body[2])))]
        waiting = self.finds.get(body[1])
        if waiting is None:
            return []
        cid, row, at, left = waiting
        better = body[2] if body[2] and (row is None or row["state"] in ("open", "lost")) else row
        self.finds[body[1]] = (cid, better, at, left - 1)
        return self._find_pulse(now)

    def _find_pulse(self, now):
        out = []
        for asker, (cid, row, at, left) in list(self.finds.items()):
            if left <= 0 or now - at > FIND_WITHIN:
                del self.finds[asker]
                missing = {"fault": {"class": "unknown", "reason": "no keeper that answered holds this request"}}
                out.append(reply(cid, 200, row) if row else reply(cid, 404, missing))
        return out
