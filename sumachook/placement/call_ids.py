"""Identifiers of the HTTP calls that placement makes.

The first field names the component that made the call: a core routes the response by it, and the HTTP client chooses
its connection pool by it.
"""

from typing import NamedTuple

PROVISIONER = "provision"
PLACER = "placer"
INVENTORY_READER = "watcher"


class ServerCallId(NamedTuple):
    """Identifies a call of the provisioner to an engine server; `fence` is the fencing token of its lease."""

    part: str
    fence: int
    number: int


class PollId(NamedTuple):
    """Identifies a poll of a model server by the placer, for its models (`kind` "models") or adapters ("adapters")."""

    part: str
    fence: int
    kind: str
    server: str
    number: int


class OrderId(NamedTuple):
    """Identifies a load or unload order of the placer to a model server."""

    part: str
    fence: int
    kind: str
    server: str
    verb: str
    item: str
    number: int


class InventoryCallId(NamedTuple):
    """Identifies a request of the inventory reader for one page of the platform's server list.

    `based_on` is the number of the control state that the list will be compared with; `number` counts the polls.
    """

    part: str
    based_on: int
    number: int
