"""The state of one forwarded request in flight."""

from datetime import timedelta
from typing import Any

from sumachook.forwarding.request_metadata import RequestMetadata
from sumachook.forwarding.response_metadata import ResponseMetadata
from sumachook.host.events import Body
from sumachook.requests.in_flight_request import InFlightRequest, RequestState

MAX_NAME_CHARS = 256  # of a model and its adapter; those of a configuration are shorter


class ForwardedRequest(InFlightRequest):
    """Holds the state of a forwarded request from its admission to its final response."""

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
        body: Body,
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
        self.checked_generation = -1  # generation of the configuration that the API key was last checked against
        self.tenant_priority = 0
        self.is_recorded = False  # whether the opening record is in the ledger
        # state while the request waits for a server
        self.awaits_placement = False  # whether no usable server holds the model of the request yet
        self.wanted_at: timedelta | None = None  # when the request was last reported to the placer as demand
        # attempts: the servers that the request was sent to, and the state of the current attempt
        self.sent_to: tuple[str, ...] = ()
        self.arrivals = 0  # number of attempts whose first byte was sent
        self.stale_arrivals = 0  # how many arrivals were on a keep-alive connection that turned out to be dead
        self.is_reused = False  # whether the current attempt runs on a reused connection
        self.pending_tokens = 0  # prompt tokens counted as unread until the first token of the response
        # the server's response, as far as it has been received
        self.response: ResponseMetadata | None = None
        self.status = 0
        self.response_headers: tuple[tuple[str, str], ...] = ()
        self.is_event_stream = False
        self.buffer: Body = b""
        self.events = 0  # server-sent events relayed; counted only if a tenant is charged
        self.first_token_at: timedelta | None = None  # when the current attempt received its first token
        self.first_byte_at: timedelta | None = None  # when the first byte was sent to the client

    def gather(self, chunk: bytes) -> None:
        """Appends a chunk to the buffer, without a copy of what is in it already."""
        if not self.buffer:
            self.buffer = chunk
            return
        if isinstance(self.buffer, bytes):
            self.buffer = bytearray(self.buffer)
        self.buffer += chunk

    @property
    def may_be_configured(self) -> bool:
        """Whether a model and adapter may bear the names that the client states; longer ones are not kept."""
        return len(self.metadata.model) + len(self.metadata.adapter) < MAX_NAME_CHARS

    @property
    def name(self) -> str:
        """The model or "model/adapter" that a server must hold to run this request."""
        return f"{self.metadata.model}/{self.metadata.adapter}" if self.metadata.adapter else self.metadata.model
