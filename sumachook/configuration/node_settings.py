"""The settings with which a node process starts, read from its settings file or command-line flags."""

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
FOUNDERS = 3  # the smallest number of voters that tolerates one failure

COLD_OVERSHOOT, COLD_SLACK = 1.5, 5.0  # default limits on the load of a cold server above its configured rate


class NodeSettings(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """Name, addresses, zone, seeds and limits of a node, as validated by `read_node_settings`.

    Times in seconds: `seatAway`, for which a voter may be unreachable before it is replaced; `orderWithin`, for which
    an operator's change is proposed again before the request is answered; `confirmWithin`, for which the response
    waits, within that time, for the edges to confirm the change.
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
    front: str | None = None  # on an edge: listening address for requests to be forwarded
    list_readers: Annotated[str, Meta(pattern="^(all|leader)$")] = "all"  # cores that read the platform's server list
    fenced: bool = False  # whether servers reject lower fencing tokens, so that a vacant role can be filled sooner
    # if not `fenced`: minimum seconds between the orders of two successive holders of a singleton role
    turn_gap: Annotated[float, Meta(ge=0, le=60)] = 0.0
    resend_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.2
    # number of retries allowed beyond `resend_ratio`, in total over all edges
    resend_slack: Annotated[float, Meta(ge=0, le=100000)] | None = None
    cold_overshoot: Annotated[float, Meta(ge=1, le=100)] = COLD_OVERSHOOT  # factor on the request rate of a cold server
    # requests that a cold server may get in any second beyond its rate multiplied by `cold_overshoot`
    cold_slack: Annotated[float, Meta(ge=0, le=100000)] = COLD_SLACK
    # seconds for which an edge accepts tenants' keys without contact to a core; null for no limit
    key_lifetime: Annotated[float, Meta(gt=0, le=86400)] | None = None
    grace: Annotated[float, Meta(ge=1, le=600)] = 8.0  # seconds from SIGTERM to SIGKILL
    wanted_voters: Annotated[int, Meta(ge=3, le=9)] = msgspec.field(default=3, name="wantedSeats")
    confirm_within: Annotated[float, Meta(ge=0, le=60)] = 2.0
    order_within: Annotated[float, Meta(gt=0, le=600)] = 6.0
    memory_mb: Annotated[float, Meta(gt=0, le=1 << 20)] = 300.0  # memory of the machine in MiB
    descriptors: Annotated[int, Meta(ge=1, le=1 << 20)] = 4100  # descriptors that the process may open
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


def address_error(text: str) -> str | None:
    """Returns the reason why an "IP:port" address is invalid, or None.

    >>> address_error("127.0.0.1:7000"), address_error("[::1]:7000"), address_error("host:7000")
    (None, None, "'host' is not an IP address")
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"{host!r} is not an IP address"
    return None if port.isdigit() and 0 < int(port) <= MAX_PORT else f"{port!r} is not a port from 1 to 65535"


def read_node_settings(document: Any, role: str) -> tuple[NodeSettings | None, tuple[ConfigurationIssue, ...]]:
    """Validates the settings of a "core" or "edge" process; returns (settings, ()) or (None, issues)."""
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
        yield ConfigurationIssue("door", "must differ from address")


def _seed_issues(settings: NodeSettings) -> Iterator[ConfigurationIssue]:
    if not 1 <= len(settings.seeds) <= MAX_SEEDS:
        yield ConfigurationIssue("seeds", f"{len(settings.seeds)} given, one to three are required")


def _core_issues(settings: NodeSettings) -> Iterator[ConfigurationIssue]:
    if settings.data is None:
        yield ConfigurationIssue("data", "a core requires a data folder")
    founders = set(settings.founding)
    if founders and (len(founders) != FOUNDERS or settings.address not in founders):
        yield ConfigurationIssue("founding", "three different addresses are required, including this core's own")
