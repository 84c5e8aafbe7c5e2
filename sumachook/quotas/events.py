"""Events handled by the rate limiter and the lease issuer, in addition to the host events.

The request pipelines of an edge emit `AdmissionRequested` and `UsageSettled` as effects.
"""

from datetime import timedelta
from enum import Enum
from typing import Any, NamedTuple

from sumachook.host.events import Event
from sumachook.quotas.messages import LeaseRequest


class Pipeline(Enum):
    """The request pipelines of an edge: model inference and plain HTTP forwarding."""

    INFERENCE = "inference"
    PROXY = "proxy"


class AdmissionKey(NamedTuple):
    """Identifies a request within its edge by pipeline and request."""

    pipeline: Pipeline
    request: Any


class AdmissionRequested(Event, frozen=True):
    """A tenant's request has arrived and awaits an `AdmissionDecision`, due within a fraction of its `patience`."""

    key: AdmissionKey
    tenant: str
    tokens: int
    patience: timedelta


class UsageSettled(Event, frozen=True):
    """Reports the requests (0 or 1) and tokens that a finished request was charged beyond its actual usage."""

    key: AdmissionKey
    tenant: str
    requests: int
    tokens: int


class LimiterTick(Event, frozen=True):
    """Periodic timer event of the rate limiter at an edge.

    `issuer` is the address of the lease issuer, None if there is none. `cores` and `peers` are the addresses of the
    cores and of the other edges. `edge_count` is the number of edges among which the floor is divided while there is no
    issuer, 0 if unknown.
    """

    issuer: str | None
    cores: tuple[str, ...]
    peers: tuple[str, ...]
    edge_count: int


class IssuerTick(Event, frozen=True):
    """Periodic timer event at a core; `fence` is the fencing token of its accounting duty, 0 if it does not hold it."""

    fence: int


class LeaseRequestReceived(Event, frozen=True):
    """An edge has requested leases from this core.

    `fence` is read when the event is processed, not when the message arrived: requests buffered while a former issuer
    was frozen are granted nothing.
    """

    sender: str
    address: str
    message: LeaseRequest
    fence: int
