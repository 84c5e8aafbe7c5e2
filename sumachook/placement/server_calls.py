"""Sends the provisioner's calls to engine servers, with at most one unanswered call per server."""

from collections.abc import Mapping
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from sumachook.host.effects import ConnectionReuse, Fetch
from sumachook.placement.call_ids import PROVISIONER, ServerCallId
from sumachook.placement.engine_server import EngineServer, Order
from sumachook.placement.policy import CALLS
from sumachook.placement.port import HttpCall, ServerPort


class CallKind(Enum):
    """The type of a call: a report request or an order."""

    REPORT = "report"
    ORDER = "order"


class PendingCall(NamedTuple):
    """A call whose response has not arrived yet, and when it was sent."""

    server: str
    kind: CallKind
    sent_at: timedelta


class CompletedCall(NamedTuple):
    """A call that ended with a response or a failure, and the server that it was made to."""

    server: EngineServer
    kind: CallKind


class ServerCalls:
    """Sends calls and matches responses to them.

    All calls carry the fencing token of one lease; responses to calls of an earlier lease are ignored.
    """

    __slots__ = ("port", "node", "fence", "last_number", "pending")

    def __init__(self, port: ServerPort, node: str, fence: int, last_number: int):
        self.port = port
        self.node = node
        self.fence = fence
        self.last_number = last_number
        self.pending: dict[int, PendingCall] = {}

    def send_order(self, server: EngineServer, order: Order, now: timedelta) -> Fetch:
        """Sends a server's order in flight, for the first time or as a poll."""
        order.attempts += 1
        # a surplus response to an earlier order must not decide whether a load counts against the store's rate limit
        is_first_of_store_load = order.is_from_store and not order.is_accepted
        reuse = ConnectionReuse.NEVER if is_first_of_store_load else ConnectionReuse.ALWAYS
        call = self.port.order(order.verb, order.model, order.adapter, self.node, self.fence, server.sequence)
        return self._fetch(server, CallKind.ORDER, call, now, reuse)

    def request_report(self, server: EngineServer, now: timedelta) -> Fetch:
        """Requests a report of the models that a server holds."""
        server.report_requested_at = now
        return self._fetch(server, CallKind.REPORT, self.port.report(), now)

    def _fetch(
        self,
        server: EngineServer,
        kind: CallKind,
        call: HttpCall,
        now: timedelta,
        reuse: ConnectionReuse = ConnectionReuse.ALWAYS,
    ) -> Fetch:
        self.last_number += 1
        server.pending_call = self.last_number
        self.pending[self.last_number] = PendingCall(server.name, kind, now)
        return Fetch(
            call_id=ServerCallId(PROVISIONER, self.fence, self.last_number),
            method=call.method,
            url=f"http://{server.address}{call.path}",
            headers={**call.headers, **self.port.instance_header(server.name)},
            body=call.body,
            connect_timeout=CALLS.connect_timeout,
            total_timeout=CALLS.total_timeout,
            mode="whole",
            reuse=reuse,
        )

    def complete(self, call_id: ServerCallId, servers: Mapping[str, EngineServer]) -> CompletedCall | None:
        """Returns the call that has ended, or None if it belongs to an earlier lease or a removed server."""
        if call_id.fence != self.fence or call_id.number not in self.pending:
            return None
        name, kind, _ = self.pending.pop(call_id.number)
        server = servers.get(name)
        if server is None or server.pending_call != call_id.number:
            return None
        server.pending_call = 0
        return CompletedCall(server, kind)

    def overdue(self, servers: Mapping[str, EngineServer], now: timedelta) -> list[EngineServer]:
        """Ends the calls whose outcome should have been reported long ago; returns their servers."""
        late = [number for number, call in self.pending.items() if now - call.sent_at > CALLS.outcome_within]
        completed = [self.complete(ServerCallId(PROVISIONER, self.fence, number), servers) for number in late]
        return [call.server for call in completed if call is not None]
