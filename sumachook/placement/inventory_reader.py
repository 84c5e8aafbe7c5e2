"""Polls the platform's server list, and proposes new, changed and leaving servers to the control state."""

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

STORED_NAMES = {"zone": "area"}  # attributes of a listed server that have another name in the control state
OPTIONAL_FIELDS = ("service", "version")  # attributes that are omitted from the control state while empty
UNSTORED_FIELDS = ("name", "cold_ms")  # the entry's key, and a countdown that would change with each poll
LOGGED_FAILURES = (3, 30, 300)  # numbers of consecutive failed polls at which a warning is logged
COMPONENT = "placement"

Server = dict[str, Any]  # an entry of `servers` in the control state


class ListedServer(msgspec.Struct, rename="camel", forbid_unknown_fields=False, frozen=True):
    """One entry of the platform's server list, as it is validated."""

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
        """Returns the control state's entry for this server."""
        fields = {field: getattr(self, field) for field in self.__struct_fields__ if field not in UNSTORED_FIELDS}
        return {
            STORED_NAMES.get(field, field): value
            for field, value in fields.items()
            if value or field not in OPTIONAL_FIELDS
        }


class Inventory(NamedTuple):
    """A parsed server list: the servers, {server: warm-up time left in ms}, and the errors of invalid entries."""

    servers: dict[str, Server]
    cold_ms: dict[str, float]
    invalid: tuple[str, ...]


class AcceptedServers(NamedTuple):
    """The servers to propose, and those among them that are kept although the list lacks them."""

    servers: dict[str, Server]
    kept: dict[str, Server]


class InventoryReader:
    """Polls the server list in every core and compares each complete list with the control state.

    The leader proposes a difference at once; followers propose it only if the next poll shows it too. Edges also get
    direct messages about leaving servers, before the change is committed.

    Parameters
    ----------
    state : the replicated control state
    platform : the address of the platform, or "" if no list is polled
    port : the format of the platform's list
    readers : which cores poll: "all", or "leader" if calls to the platform are expensive
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
        "mass_removal_since",
        "invalid",
        "pages",
    )

    INTERVAL = timedelta(seconds=0.5)  # poll interval; a leaving server must be noticed well within three seconds
    CALL_TIMEOUT = INTERVAL * 4  # longer than the poll interval: a slow response is better than none
    MASS_REMOVAL_DELAY = timedelta(seconds=10)  # time for which a list without most of the servers is rejected
    LEADERLESS_AFTER = timedelta(seconds=1.5)  # time without a leader after which all cores poll
    MAX_PAGES = 40  # maximum pages per poll, in case a list never ends
    MAX_READINGS = 8  # number of polls whose pages are kept; a page of an older poll starts a new list

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
        self.mass_removal_since: timedelta | None = None
        self.invalid: tuple[str, ...] = ()
        self.pages: dict[int, list[list[Any]]] = {}

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handles a tick, or the response or failure of a poll."""
        match event:
            case InventoryTick(is_fresh=is_fresh, is_leading=is_leading):
                return self._handle_tick(is_fresh, is_leading, now)
            case ResponseReceived(call_id=call_id, status=200, body=body):
                return self._handle_page(call_id, self.port.read(body), now)
            case ResponseReceived(status=status):
                return self._handle_failure(f"HTTP status {status}")
            case CallFailed(failure=failure):
                return self._handle_failure(f"call failed: {failure}")
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
        return [Log("warning", COMPONENT, "Cannot read the platform's server list.", details)]

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
        """Compares a complete list with the control state; notifies edges and proposes the difference."""
        inventory = self._read_inventory(items)
        effects = self._log_invalid(inventory.invalid)
        servers, kept = self._accept_servers(inventory.servers, now)
        if kept and self.mass_removal_since == now:
            text = "The platform's server list lacks more than half of the known servers; keeping them for now."
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
        return [Log("warning", COMPONENT, "The platform's server list has invalid entries.", {"entries": invalid})]

    def _newly_leaving(self, servers: dict[str, Server]) -> tuple[str, ...]:
        """Returns the leaving servers that the control state does not mark as leaving yet."""
        known = self.state.servers
        return tuple(
            name
            for name, server in servers.items()
            if server["leaving"] and not known.get(name, {}).get("leaving", True)
        )

    def _propose(self, servers: dict[str, Server], based_on: int) -> list[Effect]:
        """Proposes changed servers, unless the state changed them since the poll; followers need two equal lists."""
        was_seen = self.last_read == servers
        self.last_read = servers
        if servers == self.state.servers or based_on != self.state.servers_changed_at or not self.is_fresh:
            return []
        if not self.is_leading and not was_seen:
            return []
        return [ProposeChange(UpdateServers(based_on, servers))]

    def _read_inventory(self, items: list[Any]) -> Inventory:
        """Parses the entries of a list; an invalid entry has no effect but may still mark its server as leaving."""
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
        """Sets `leaving` from every entry with a known name, even if the entry is otherwise invalid."""
        for item in items:
            name = item.get("name") if isinstance(item, dict) else None
            if not isinstance(name, str):
                continue
            known = servers.get(name) or self.state.servers.get(name)
            if known:
                is_leaving = known["leaving"] if name in servers else False
                servers[name] = {**known, "leaving": is_leaving or item.get("leaving") is True}

    def _accept_servers(self, listed: dict[str, Server], now: timedelta) -> AcceptedServers:
        """Keeps missing servers if a list lacks more than half of a kind or service, for up to `MASS_REMOVAL_DELAY`."""
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
            self.mass_removal_since = None
            return AcceptedServers(listed, {})
        self.mass_removal_since = self.mass_removal_since or now
        if now - self.mass_removal_since < self.MASS_REMOVAL_DELAY:
            return AcceptedServers({**kept, **listed}, kept)
        return AcceptedServers(listed, {})


def _group_of(server: Server) -> tuple[str, str]:
    return server["kind"], server.get("service", "")
