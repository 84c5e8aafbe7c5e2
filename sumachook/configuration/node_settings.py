"""What one process must know to start: the params file or flags."""

import ipaddress
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from sumachook.configuration.catalogue import Name
from sumachook.configuration.check import check
from sumachook.configuration.issue import ConfigurationIssue

MAX_PORT = 65535
MAX_SEEDS = 3
FOUNDERS = 3  # the fewest voters of which one may fail

COLD_OVERSHOOT, COLD_SLACK = 1.5, 5.0  # what a cold server bears beyond its rate, where the settings don't say it


class NodeSettings(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """Addresses, area, up to three seeds; `read_node_settings` checks them.

    In seconds: `seatAway`, how long a voter may be away; `orderWithin`, how long an operator's change is proposed
    again before it is answered; `confirmWithin`, how long its answer waits for the edges, within that time.
    """

    node: Name
    address: str
    http_address: str = msgspec.field(name="door")
    zone: Name = msgspec.field(name="area")
    seeds: tuple[str, ...]
    cluster: Name = "sumachook"
    founding: tuple[str, ...] = ()
    data: str | None = None
    platform: str | None = None
    operator_key: Annotated[str, Meta(min_length=8)] | None = None
    voter_away: Annotated[float, Meta(ge=1, le=86400)] = msgspec.field(default=60.0, name="seatAway")
    retention: Annotated[int, Meta(ge=100, le=10000000)] = 50000
    front: str | None = None  # of an edge: where requests to be forwarded come in
    list_readers: Annotated[str, Meta(pattern="^(all|leader)$")] = "all"  # which cores read the platform's list
    fenced: bool = False  # whether servers refuse lower fences, so that a vacancy may be filled sooner
    turn_gap: Annotated[float, Meta(ge=0, le=60)] = 0.0  # least seconds between orders of two holders where they don't
    resend_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.2
    resend_slack: Annotated[float, Meta(ge=0, le=100000)] | None = None  # resends over the ratio, all edges together
    cold_overshoot: Annotated[float, Meta(ge=1, le=100)] = COLD_OVERSHOOT  # times a cold server's rate
    cold_slack: Annotated[float, Meta(ge=0, le=100000)] = COLD_SLACK  # requests a second beyond that
    # seconds for which an edge believes tenants' keys without word of a core; null for any time
    key_lifetime: Annotated[float, Meta(gt=0, le=86400)] | None = None
    grace: Annotated[float, Meta(ge=1, le=600)] = 8.0  # seconds from the signal to leave to the one that kills
    wanted_voters: Annotated[int, Meta(ge=3, le=9)] = msgspec.field(default=3, name="wantedSeats")
    confirm_within: Annotated[float, Meta(ge=0, le=60)] = 2.0
    order_within: Annotated[float, Meta(gt=0, le=600)] = 6.0
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


def address_error(text: str) -> str | None:
    """What is wrong with an address, or None.

    >>> address_error("127.0.0.1:7000"), address_error("[::1]:7000"), address_error("host:7000")
    (None, None, "'host' is no IP number")
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"{host!r} is no IP number"
    return None if port.isdigit() and 0 < int(port) <= MAX_PORT else f"{port!r} is no port"


def read_node_settings(document: Any, role: str) -> tuple[NodeSettings | None, tuple[ConfigurationIssue, ...]]:
    """(settings, ()) or (None, issues) of a process of this role, "core" or "edge"."""
    settings, issues = check(document, NodeSettings)
    if settings is None:
        return None, issues
    issues = (*_address_issues(settings), *_seed_issues(settings))
    if role == "core":
        issues += tuple(_core_issues(settings))
    return (None, issues) if issues else (settings, ())


def _address_issues(settings: NodeSettings) -> Iterator[ConfigurationIssue]:
    addresses = [("address", settings.address), ("door", settings.http_address)]
    if settings.front:
        addresses.append(("front", settings.front))
    addresses += [(f"seeds[{index}]", address) for index, address in enumerate(settings.seeds)]
    addresses += [(f"founding[{index}]", address) for index, address in enumerate(settings.founding)]
    for path, address in addresses:
        if reason := address_error(address):
            yield ConfigurationIssue(path, reason)
    if settings.address == settings.http_address:
        yield ConfigurationIssue("door", "the same as address")


def _seed_issues(settings: NodeSettings) -> Iterator[ConfigurationIssue]:
    if not 1 <= len(settings.seeds) <= MAX_SEEDS:
        yield ConfigurationIssue("seeds", f"{len(settings.seeds)} given, one to three are needed")


def _core_issues(settings: NodeSettings) -> Iterator[ConfigurationIssue]:
    if settings.data is None:
        yield ConfigurationIssue("data", "a core needs a data folder")
    founders = set(settings.founding)
    if founders and (len(founders) != FOUNDERS or settings.address not in founders):
        yield ConfigurationIssue("founding", "three different addresses, one of them this core's")
