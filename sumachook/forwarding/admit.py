"""The pipeline pass that admits or refuses incoming requests, or parks them until the node has a configuration."""

from datetime import timedelta
from typing import Any, NamedTuple

from sumachook.changefeed.trust import Trust
from sumachook.configuration.tenant import Tenant
from sumachook.forwarding.entry import Entry
from sumachook.forwarding.forwarded_request import ForwardedRequest
from sumachook.forwarding.quota_charge import ForwardingQuotaCharge
from sumachook.forwarding.request_metadata import RequestMetadata
from sumachook.forwarding.request_table import RequestTable
from sumachook.host.effects import Log, ReadBody, Reply
from sumachook.host.events import CallId, ProxyHeadReceived, ProxyRequestReceived
from sumachook.requests.call_ids import FORWARDING
from sumachook.requests.failures import FailureKind, RequestFailure
from sumachook.requests.request_table import MAX_REQUESTS

# Until a node has received its routes it parks requests, each for this fraction of its timeout and at most for
# `MAX_PARK_TIME`. `DEFAULT_PATIENCE` is the timeout of a request whose client states none.
PARK_FRACTION = 0.25
MAX_PARK_TIME = timedelta(seconds=1.5)
DEFAULT_PATIENCE = timedelta(seconds=4)
# `Retry-After` values of refusals, in seconds.
RETRY_AFTER_DRAINING_S = 0.1
RETRY_AFTER_NOT_READY_S = 0.3
RETRY_AFTER_FULL_S = 1.0
# Metric label for headers that are forwarded without being interpreted, with bounds on the number and the length of
# the label values, since clients choose the header names.
UNREAD_HEADER = "unread-header"
MAX_UNREAD_HEADERS = 16
MAX_HEADER_NAME_LENGTH = 64


class Admit:
    """Admits requests: finds the route by host and longest prefix, the service by weight, the tenant by API key."""

    __slots__ = ("charge", "entry", "table")

    def __init__(self, table: RequestTable, entry: Entry, charge: ForwardingQuotaCharge) -> None:
        self.table = table
        self.entry = entry
        self.charge = charge

    def take(self, event: ProxyRequestReceived, now: timedelta, arrived_at: timedelta | None = None) -> list[Any]:
        """Admits the request into the table, refuses it, or parks it until this node has a current configuration.

        `arrived_at` is the original arrival time of a request that was parked, and None for a new one.
        """
        table = self.table
        metadata = table.port.read_request(event.headers)
        if arrived_at is not None:
            return self._decide(event, metadata, now, arrived_at)
        return self._note_unread(metadata) + self._decide(event, metadata, now, now)

    def _note_unread(self, metadata: RequestMetadata) -> list[Any]:
        """Counts headers that are forwarded without being interpreted, and logs each header name once."""
        counts = self.table.counts
        effects: list[Any] = []
        for name in metadata.unread_headers:
            labels = (UNREAD_HEADER, name[:MAX_HEADER_NAME_LENGTH])
            is_known = labels in counts
            if not is_known and sum(known[0] == UNREAD_HEADER for known in counts) >= MAX_UNREAD_HEADERS:
                continue
            self.table.count(*labels)
            if not is_known:
                text = "Forwarded a request header that this version does not interpret."
                effects.append(Log("warning", FORWARDING, text, {"header": labels[1]}))
        return effects

    def take_head(self, event: ProxyHeadReceived, now: timedelta) -> list[Any]:
        """Refuses a request by its head, before its body is read, or asks the host for the body."""
        metadata = self.table.port.read_request(event.headers)
        checked = self._check(event.raw_path, metadata, now)
        if isinstance(checked, Refusal) and not checked.may_change:
            return self._refuse(event.call_id, metadata, checked)
        return [ReadBody(event.call_id)]

    def _decide(
        self, event: ProxyRequestReceived, metadata: RequestMetadata, now: timedelta, arrived_at: timedelta
    ) -> list[Any]:
        checked = self._check(event.raw_path, metadata, now)
        if isinstance(checked, Admission):
            return self._admit(event, metadata, checked, now, arrived_at)
        if checked.may_change:
            return self._park(event, metadata, checked, now, arrived_at)
        return self._refuse(event.call_id, metadata, checked)

    def _check(self, raw_path: str, metadata: RequestMetadata, now: timedelta) -> "Admission | Refusal":
        """Returns the route and tenant of a request by its head, or why it is refused."""
        table = self.table
        trust = table.follower.trust(now)
        if metadata.repeated_headers:
            failure = FailureKind.MALFORMED.because(f"stated twice: {', '.join(metadata.repeated_headers)}")
            return Refusal(failure.status, failure)
        if table.is_closed:
            return Refusal(503, FailureKind.DRAINING.because("this node is leaving"), RETRY_AFTER_DRAINING_S)
        if trust is Trust.EMPTY:
            return _not_ready("no catalogue yet")
        table.refresh()
        route = table.routes.find(metadata.host, raw_path)
        if route is None:
            if trust is not Trust.FRESH:  # just restarted or cut off: routes may be outdated, a 404 is final
                return _not_ready("not in touch")
            return Refusal(404, FailureKind.NOT_FOUND.because("no route"))
        access = table.access.rules.check(route, metadata.credentials)
        if access.failure is not None:
            if trust is not Trust.FRESH:  # the key may have been added since, and a 401 is final
                return _not_ready("not in touch")
            return Refusal(access.failure.status, access.failure)
        if access.tenant is not None and metadata.credentials and table.has_stale_credentials(now):
            return _not_ready("not in touch")
        if len(table.requests) >= MAX_REQUESTS:
            failure = FailureKind.OVERLOAD.because(f"{MAX_REQUESTS} requests in hand")
            return Refusal(503, failure, RETRY_AFTER_FULL_S)
        return Admission(route, access.tenant, trust)

    def _admit(
        self,
        event: ProxyRequestReceived,
        metadata: RequestMetadata,
        admission: "Admission",
        now: timedelta,
        arrived_at: timedelta,
    ) -> list[Any]:
        table, route, tenant = self.table, admission.route, admission.tenant
        patience = route.timeout_ms if metadata.deadline_ms is None else min(metadata.deadline_ms, route.timeout_ms)
        table.number += 1
        request = ForwardedRequest(
            table.number,
            event.call_id,
            event.method,
            event.raw_path,
            event.headers,
            event.body,
            metadata,
            route,
            arrived_at,
            timedelta(milliseconds=patience),
        )
        request.service = self._choose_service(route)
        request.generation = table.generation
        request.needs_recheck = admission.trust is Trust.UNPROVEN
        table.requests[request.number] = request
        table.by_call_id[request.call_id] = request.number
        request.checked_generation = table.generation
        request.tenant_priority = table.access.rules.priority_of(tenant)
        if tenant is None:
            return self.entry.take(request)
        request.tenant = tenant.name
        request.charged_tokens = metadata.prompt_tokens + metadata.max_tokens
        return self.charge.claim(request, request.number, now)

    def _park(
        self,
        event: ProxyRequestReceived,
        metadata: RequestMetadata,
        refusal: "Refusal",
        now: timedelta,
        arrived_at: timedelta,
    ) -> list[Any]:
        """Parks the request for the next tick, or refuses it once `PARK_FRACTION` of its timeout has passed."""
        patience = (
            timedelta(milliseconds=metadata.deadline_ms) if metadata.deadline_ms is not None else DEFAULT_PATIENCE
        )
        parked = self.table.parked_requests
        if now - arrived_at >= min(MAX_PARK_TIME, patience * PARK_FRACTION) or len(parked) >= MAX_REQUESTS:
            return self._refuse(event.call_id, metadata, refusal)
        parked[event.call_id] = (event, arrived_at)
        return []

    def _choose_service(self, route: Any) -> str:
        """Draws a service of the route at random by weight."""
        if len(route.split) == 1:
            return str(route.split[0].service)
        remainder = self.table.random.random() * sum(part.weight for part in route.split)
        for part in route.split:
            remainder -= part.weight
            if remainder < 0:
                return str(part.service)
        return next(str(part.service) for part in reversed(route.split) if part.weight)

    def _refuse(self, call_id: CallId, metadata: RequestMetadata, refusal: "Refusal") -> list[Any]:
        failure = refusal.failure
        self.table.count("turned-away", failure.name)
        status, headers, body = self.table.port.refusal(
            refusal.status, failure, metadata.request_id, "no", refusal.retry_after
        )
        return [Reply(call_id, status, self.table.with_connection_close(headers), body)]


class Admission(NamedTuple):
    """The route and tenant of a request that may be admitted, and how current the routes of this node are."""

    route: Any
    tenant: Tenant | None
    trust: Trust


class Refusal(NamedTuple):
    """Why a request is not admitted; `may_change` if this node may find otherwise once it is in touch with a core."""

    status: int
    failure: RequestFailure
    retry_after: float | None = None
    may_change: bool = False


def _not_ready(reason: str) -> Refusal:
    return Refusal(503, FailureKind.NOT_READY.because(reason), RETRY_AFTER_NOT_READY_S, may_change=True)
