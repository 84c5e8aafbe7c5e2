"""A forwarded request in flight."""

from datetime import timedelta
from typing import Any

from sumachook.forwarding.request_metadata import RequestMetadata
from sumachook.forwarding.response_metadata import ResponseMetadata
from sumachook.requests.in_flight_request import InFlightRequest, RequestState


class ForwardedRequest(InFlightRequest):
    """What is known of a forwarded request between its admission and its final answer."""

    __slots__ = (
        "arrivals",
        "awaits_placement",
        "body",
        "buffer",
        "checked_generation",
        "events",
        "first_byte_at",
        "first_token_at",
        "headers",
        "is_event_stream",
        "is_recorded",
        "is_repeatable",
        "is_reused",
        "metadata",
        "method",
        "number",
        "path",
        "pending_tokens",
        "response",
        "response_headers",
        "route",
        "sent_to",
        "service",
        "stale_arrivals",
        "status",
        "tenant_priority",
        "wanted_at",
    )

    def __init__(
        self,
        number: int,
        call_id: Any,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        metadata: RequestMetadata,
        route: Any,
        arrived_at: timedelta,
        patience: timedelta,
    ) -> None:
        super().__init__(call_id, RequestState.WAITING, arrived_at, patience)
        self.number = number
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.metadata = metadata
        self.route = route
        self.service = ""
        self.is_stream = route.kind == "stream"
        self.is_repeatable = route.kind == "repeatable" or (self.is_stream and route.resumable)
        self.last_event_id = metadata.last_event_id
        self.checked_generation = -1  # of the configuration by which its key was looked up last
        self.tenant_priority = 0
        self.is_recorded = False  # whether the ledger knows that it is open
        # waiting
        self.awaits_placement = False  # nothing that it could run on stands anywhere
        self.wanted_at: timedelta | None = None  # when a placement was last asked for
        # where it went
        self.sent_to: tuple[str, ...] = ()
        self.arrivals = 0  # attempts whose first byte went out
        self.stale_arrivals = 0  # those on a kept connection that turned out to be dead
        self.is_reused = False  # whether the attempt's connection carried an earlier call
        self.pending_tokens = 0  # of its prompt, until the server shows that it has read it
        # the answer as it comes
        self.response: ResponseMetadata | None = None
        self.status = 0
        self.response_headers: tuple[tuple[str, str], ...] = ()
        self.is_event_stream = False
        self.buffer = b""
        self.events = 0  # counted where a tenant is charged
        self.first_token_at: timedelta | None = None  # of the attempt under way
        self.first_byte_at: timedelta | None = None  # when the client was first sent something

    @property
    def name(self) -> str:
        """What it asks a placement of: model, or model/adapter."""
        return f"{self.metadata.model}/{self.metadata.adapter}" if self.metadata.adapter else self.metadata.model
