"""HTTP server for requests to be forwarded, whose path, headers and body are kept unchanged."""

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from sumachook.configuration.limits import Limits
from sumachook.host.effects import ReadBody, Reply
from sumachook.host.events import Body, CallId, Event, ProxyHeadReceived, ProxyRequestReceived
from sumachook.requests.call_ids import PROXY, ProxyCallId
from sumachook.transport.body_reader import SMALL_BODY_BYTES
from sumachook.transport.client_connection import ClientConnection
from sumachook.transport.connection_limits import ConnectionLimits
from sumachook.transport.exchange import Exchange, write_reply
from sumachook.transport.http_server import HttpServer
from sumachook.transport.refusals import error_response, too_large
from sumachook.transport.streaming_client import UNSENDABLE

MAX_FIELD_BYTES = 1 << 20  # limit of the HTTP parser; the configured limits are lower
NO_KEEP_ALIVE_TIMEOUT = 1e6  # seconds; the sweep closes idle connections instead, by limits that may change at run time


def _reason_not_forwardable(request: BaseRequest) -> str:
    """Returns why this request cannot be forwarded unchanged, or an empty string if it can."""
    if (
        request.method == "CONNECT"
        or "#" in request.raw_path
        or request.raw_path.find("?") == len(request.raw_path) - 1
    ):
        return "a target that cannot be passed unchanged"
    if request.headers.get("Transfer-Encoding", "chunked").lower() != "chunked":
        return "a transfer coding that cannot be passed unchanged"
    if any(UNSENDABLE.search(value) for value in request.headers.values()):
        return "a header field that is no text"
    return ""


class ProxyServer(HttpServer):
    """HTTP server that emits a `ProxyRequestReceived` event for each request to be forwarded."""

    __slots__ = ()
    OPTIONS = {
        "auto_decompress": False,
        "keepalive_timeout": NO_KEEP_ALIVE_TIMEOUT,
        "max_line_size": MAX_FIELD_BYTES,
        "max_field_size": MAX_FIELD_BYTES,
        "max_headers": 1000,
    }
    LIMITS = ConnectionLimits(header_bytes=32 << 10, body_bytes=8 << 20)  # in force until the configuration is loaded

    def apply_limits(self, limits: Limits) -> None:
        """Applies the configured client limits (`configuration/limits.py`), also to open connections."""
        self.limits = ConnectionLimits(
            limits.header_bytes, limits.body_bytes, limits.header_ms / 1000, limits.idle_ms / 1000
        )

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        if reason := _reason_not_forwardable(request):
            return error_response(400, "malformed", reason)
        return await super()._handle(request)

    async def _decide_by_head(self, request: BaseRequest, call_id: CallId, exchange: Exchange) -> StreamResponse | None:
        """Asks the state machine about a long body before it is read; a short one is read at once."""
        length = request.content_length
        if not request.can_read_body or (length is not None and length <= SMALL_BODY_BYTES):
            return None
        if (length or 0) > self.limits.body_bytes:
            return too_large(self.limits.body_bytes)
        self.on_event(ProxyHeadReceived(call_id, request.method, request.raw_path, tuple(request.headers.items())))
        effect = await exchange.effects.get()
        if isinstance(effect, ReadBody):
            return None
        if not isinstance(effect, Reply):
            raise TypeError(f"a head must be answered by ReadBody or Reply, not {effect!r}")
        answer = await write_reply(request, exchange, effect)
        answer.force_close()  # the body stays unread
        return answer

    async def _reserve_parsed(self, connection: ClientConnection, body: Body) -> Response | None:
        return None  # a body is passed on and never parsed

    def _call_id(self) -> CallId:
        return ProxyCallId(PROXY, self.last_call_number)

    def _event_of(self, request: BaseRequest, call_id: CallId, body: Body) -> Event:
        headers = tuple(request.headers.items())
        return ProxyRequestReceived(call_id, request.method, request.raw_path, headers, body)
