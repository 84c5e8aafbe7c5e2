"""Asks the platform which servers there are and which are leaving, and proposes what has changed."""

from datetime import timedelta
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
from msgspec import Meta

from sumachook.configuration.catalogue import Name
from sumachook.configuration.check import check
from sumachook.configuration.node_settings import address_error
from sumachook.control_state.changes import UpdateServers
from sumachook.control_state.effects import ProposeChange
from sumachook.host.effects import Effect, Fetch, Log
from sumachook.host.events import CallFailed, Event, ResponseReceived
from sumachook.placement.call_ids import INVENTORY_READER, InventoryCallId
from sumachook.placement.effects import BroadcastToEdges
from sumachook.placement.events import InventoryTick
from sumachook.placement.list_port import InventoryPage, ListPort
from sumachook.placement.messages import ServersLeaving, ServersWarmingUp

STORED_NAMES = {"zone": "area"}  # attributes of a listed server whose names in the ordered state differ
OPTIONAL_FIELDS = ("service", "version")  # not stored while empty
UNSTORED_FIELDS = ("name", "cold_ms")  # the key of the entry, and what runs down with each reading
LOGGED_FAILURES = (3, 30, 300)  # in a row; in between a list that can't be read is not logged again
COMPONENT = "placement"

Server = dict[str, Any]  # a server as the ordered state holds it


class ListedServer(msgspec.Struct, rename="camel", forbid_unknown_fields=False, frozen=True):
    """One server as the platform lists it."""

    name: Name
    kind: Literal["model", "records", "service"]
    address: str
    zone: Name = msgspec.field(name="area")
    memory: Annotated[float, Meta(ge=0, le=100000)] = 0.0
    places: Annotated[int, Meta(ge=0, le=1000)] = 0
    slots: Annotated[int, Meta(ge=1, le=10000)] = 8
    leaving: bool = False
    service: str = ""
    version: str = ""
    cold_ms: Annotated[float, Meta(ge=0)] = 0.0

    def to_stored(self) -> Server:
        """The entry of the ordered state."""
        fields = {field: getattr(self, field) for field in self.__struct_fields__ if field not in UNSTORED_FIELDS}
        return {
            STORED_NAMES.get(field, field): value
            for field, value in fields.items()
            if value or field not in OPTIONAL_FIELDS
        }


class Inventory(NamedTuple):
    """What a list says: servers, how long those just started stay slow, and the entries that can't be read."""

    servers: dict[str, Server]
    cold_ms: dict[str, float]
    invalid: tuple[str, ...]


class Believed(NamedTuple):
    """The servers that are believed to exist, and those among them that the list lacks."""

    servers: dict[str, Server]
    kept: dict[str, Server]


class InventoryReader:
    """One in every core.

    Each reading is compared with the ordered state. The leader proposes a difference at once, the others leave it to
    the leader for one reading. Edges also learn directly of servers that leave, ahead of the ordered state.

    Parameters
    ----------
    state : the ordered control state
    platform : the address of the platform, or "" where there is none to ask
    port : the format of the platform's list
    readers : "all", or "leader" where calls to the platform are expensive
    """

    __slots__ = (
        "state",
        "platform",
        "port",
        "readers",
        "next_reading_at",
        "number",
        "is_fresh",
        "is_leading",
        "fresh_at",
        "failures",
        "last_read",
        "shrunken_since",
        "invalid",
        "pages",
    )

    INTERVAL = timedelta(seconds=0.5)  # so that a server's leaving is known well within three seconds
    CALL_TIMEOUT = INTERVAL * 4  # readings overlap: a slow answer is better than none
    SHRUNKEN_FOR = timedelta(seconds=10)  # a list that lacks more than half is believed after this time
    LEADERLESS_AFTER = timedelta(seconds=1.5)  # then any core reads, also where only the leader should
    MAX_PAGES = 40  # of one reading; a list without end is cut there
    MAX_READINGS = 8  # whose pages are kept; later pages of an older reading begin a list anew

    def __init__(self, state: Any, platform: str | None, now: timedelta, port: Any = None, readers: str = "all"):
        self.state = state
        self.platform = platform
        self.port = port or ListPort()
        self.readers = readers
        self.next_reading_at = now
        self.number = 0
        self.is_fresh = False
        self.is_leading = False
        self.fresh_at = now
        self.failures = 0
        self.last_read: dict[str, Server] | None = None
        self.shrunken_since: timedelta | None = None
        self.invalid: tuple[str, ...] = ()
        self.pages: dict[int, list[list[Any]]] = {}

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handle one event."""
        match event:
            case InventoryTick(is_fresh=is_fresh, is_leading=is_leading):
                return self._handle_tick(is_fresh, is_leading, now)
            case ResponseReceived(call_id=call_id, status=200, body=body):
                return self._handle_page(call_id, self.port.read(body), now)
            case ResponseReceived(status=status):
                return self._handle_failure(f"done {status}")
            case CallFailed(failure=failure):
                return self._handle_failure(f"fault {failure}")
        return []

    def _handle_tick(self, is_fresh: bool, is_leading: bool, now: timedelta) -> list[Effect]:
        self.is_fresh = is_fresh
        self.is_leading = is_leading
        if is_fresh:
            self.fresh_at = now
        if not self.platform or now < self.next_reading_at or not self._is_reader(now):
            return []
        self.next_reading_at = now + self.INTERVAL
        self.number += 1
        oldest = self.number - self.MAX_READINGS
        self.pages = {number: pages for number, pages in self.pages.items() if number > oldest}
        return [self._fetch(InventoryCallId(INVENTORY_READER, self.state.servers_changed_at, self.number), None)]

    def _is_reader(self, now: timedelta) -> bool:
        return self.readers == "all" or self.is_leading or now - self.fresh_at > self.LEADERLESS_AFTER

    def _fetch(self, call_id: InventoryCallId, page: Any) -> Fetch:
        url = f"http://{self.platform}{self.port.path(page)}"
        return Fetch(call_id, "GET", url, {}, b"", self.CALL_TIMEOUT, self.CALL_TIMEOUT, "whole")

    def _handle_failure(self, reason: str) -> list[Effect]:
        self.failures += 1
        if self.failures not in LOGGED_FAILURES:
            return []
        details = {"reason": reason, "fails": self.failures}
        return [Log("warning", COMPONENT, "The platform's list cannot be had.", details)]

    def _handle_page(self, call_id: InventoryCallId, page: InventoryPage, now: timedelta) -> list[Effect]:
        if page.items is None:
            return self._handle_failure(page.reason)
        pages = self.pages.setdefault(call_id.number, [])
        pages.append(page.items)
        if page.next_page and len(pages) < self.MAX_PAGES:
            return [self._fetch(call_id, page.next_page)]
        items = [item for items in self.pages.pop(call_id.number) for item in items]
        self.failures = 0
        return self._handle_list(items, call_id.based_on, now)

    def _handle_list(self, items: list[Any], based_on: int, now: timedelta) -> list[Effect]:
        """Compare a complete list with the ordered state."""
        inventory = self._read_inventory(items)
        effects = self._log_invalid(inventory.invalid)
        servers, kept = self._believe(inventory.servers, now)
        if kept and self.shrunken_since == now:
            text = "The platform's list lacks more than half, not believed yet."
            effects.append(Log("warning", COMPONENT, text, {"kept": sorted(kept)}))
        leaving = self._newly_leaving(servers)
        if leaving:
            effects.append(BroadcastToEdges(ServersLeaving(leaving)))
        if inventory.cold_ms:
            effects.append(BroadcastToEdges(ServersWarmingUp(inventory.cold_ms)))
        return effects + self._propose(servers, based_on)

    def _log_invalid(self, invalid: tuple[str, ...]) -> list[Effect]:
        if invalid == self.invalid:
            return []
        self.invalid = invalid
        return [Log("warning", COMPONENT, "The platform's list has odd entries.", {"entries": invalid})]

    def _newly_leaving(self, servers: dict[str, Server]) -> tuple[str, ...]:
        """Servers that leave and are not yet ordered so."""
        known = self.state.servers
        return tuple(
            name
            for name, server in servers.items()
            if server["leaving"] and not known.get(name, {}).get("leaving", True)
        )

    def _propose(self, servers: dict[str, Server], based_on: int) -> list[Effect]:
        """Propose what has changed, unless it was compared with an older state; followers only what they see twice."""
        was_seen = self.last_read == servers
        self.last_read = servers
        if servers == self.state.servers or based_on != self.state.servers_changed_at or not self.is_fresh:
            return []
        if not self.is_leading and not was_seen:
            return []
        return [ProposeChange(UpdateServers(based_on, servers))]

    def _read_inventory(self, items: list[Any]) -> Inventory:
        """An entry that can't be read changes nothing, except that it may say that its server leaves."""
        servers: dict[str, Server] = {}
        cold_ms: dict[str, float] = {}
        invalid: list[str] = []
        for position, item in enumerate(items):
            entry, found = check(item, ListedServer, f"servers[{position}]")
            if entry is None:
                invalid.append(": ".join(found[0]))
            elif reason := address_error(entry.address):
                invalid.append(f"servers[{position}].address: {reason}")
            elif entry.name in servers:
                invalid.append(f"servers[{position}].name: duplicate name {entry.name!r}")
            else:
                servers[entry.name] = entry.to_stored()
                if entry.cold_ms:
                    cold_ms[entry.name] = entry.cold_ms
        self._apply_leaving(items, servers)
        return Inventory(servers, cold_ms, tuple(invalid))

    def _apply_leaving(self, items: list[Any], servers: dict[str, Server]) -> None:
        """Take over `leaving` from every entry whose name is known, also from those that can't be read otherwise."""
        for item in items:
            name = item.get("name") if isinstance(item, dict) else None
            if not isinstance(name, str):
                continue
            known = servers.get(name) or self.state.servers.get(name)
            if known:
                is_leaving = known["leaving"] if name in servers else False
                servers[name] = {**known, "leaving": is_leaving or item.get("leaving") is True}

    def _believe(self, listed: dict[str, Server], now: timedelta) -> Believed:
        """A list that lacks more than half of a kind at once is believed only after a while."""
        kept: dict[str, Server] = {}
        for group in {_group_of(server) for server in self.state.servers.values()}:
            known = {
                name: server
                for name, server in self.state.servers.items()
                if _group_of(server) == group and not server["leaving"]
            }
            missing = {name: server for name, server in known.items() if name not in listed}
            if len(missing) * 2 > len(known):
                kept |= missing
        if not kept:
            self.shrunken_since = None
            return Believed(listed, {})
        self.shrunken_since = self.shrunken_since or now
        if now - self.shrunken_since < self.SHRUNKEN_FOR:
            return Believed({**kept, **listed}, kept)
        return Believed(listed, {})


def _group_of(server: Server) -> tuple[str, str]:
    return server["kind"], server.get("service", "")
