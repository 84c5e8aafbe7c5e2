"""Routes events, messages of other nodes and internal effects to the components of an edge."""

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from sumachook.changefeed.effects import ChangesApplied, StateRestored
from sumachook.changefeed.messages import FOLLOWER_MESSAGES, FeedHeartbeat
from sumachook.host import events
from sumachook.host.effects import Effect, Send
from sumachook.ledger.effects import DuplicateKey, Recorded, Unrecorded
from sumachook.ledger.events import DiskAvailabilityChanged, RecordDeferred, RequestClosed, RequestOpened
from sumachook.ledger.messages import WRITER_MESSAGES
from sumachook.membership.effects import IncarnationRaised, MemberChanged
from sumachook.membership.messages import MEMBERSHIP_MESSAGES
from sumachook.nodes.component_guard import Handler
from sumachook.nodes.event_dispatcher import ignore
from sumachook.outliers.messages import EjectServers
from sumachook.placement.effects import PlacementsAdded
from sumachook.placement.messages import PlacementRequest, PlacementUpdate, ServersLeaving, ServersWarmingUp
from sumachook.quotas.effects import AdmissionDecision, AdmissionDenied, AdmissionGranted
from sumachook.quotas.events import AdmissionRequested, Pipeline, UsageSettled
from sumachook.quotas.messages import BorrowRequest, BorrowResponse, LeaseResponse
from sumachook.requests import events as request_events
from sumachook.requests.call_ids import is_proxied
from sumachook.retry_budget.messages import CreditTransfer, LendCredit
from sumachook.storage.events import DiskStateChanged

if TYPE_CHECKING:
    from sumachook.nodes.edge import Edge

CALL_EVENTS = (
    events.RequestSent,
    events.ResponseHeadReceived,
    events.ResponseChunkReceived,
    events.ServerEventReceived,
    events.ResponseEnded,
    events.ResponseReceived,
    events.CallFailed,
    events.ClientDisconnected,
)


class EdgeRouting:
    """Maps each class of events and messages to the component of an edge that handles it."""

    __slots__ = ("edge", "message_handlers", "ignored_messages")

    def __init__(self, edge: "Edge") -> None:
        self.edge = edge
        self.message_handlers = self._message_handlers()
        self.ignored_messages = 0

    def event_handlers(self) -> dict[type, Handler]:
        """Returns the handler of each class of events, and of effects that one component sends to another."""
        edge = self.edge
        handler = edge.guard.handler
        return {
            events.Tick: edge.ticks.take,
            events.StopRequested: edge.handle_stop,
            events.SettingsReloadRequested: ignore,
            events.SeedsChanged: handler("membership"),
            events.DelayElapsed: ignore,
            events.MessageReceived: self._handle_message,
            events.UnreadableMessageReceived: self._handle_unreadable_message,
            events.HttpRequestReceived: edge.handle_http_request,
            events.ProxyRequestReceived: edge.handle_proxy_request,
            events.ProxyHeadReceived: edge.handle_proxy_request,
            events.MemoryMeasured: edge.handle_memory_figures,
            **dict.fromkeys(CALL_EVENTS, self._handle_call),
            DiskStateChanged: self._handle_disk_state,
            MemberChanged: self._handle_member_changed,
            IncarnationRaised: ignore,
            PlacementsAdded: ignore,  # the pipeline rechecks its waiting requests after each placement update
            PlacementRequest: self._handle_placement_request,
            ChangesApplied: self._handle_changes_applied,
            StateRestored: self._handle_state_restored,
            **dict.fromkeys((RequestOpened, RequestClosed, RecordDeferred), handler("ledger_writer")),
            **dict.fromkeys((Recorded, Unrecorded, DuplicateKey), handler("inference_pipeline")),
            **dict.fromkeys((AdmissionRequested, UsageSettled), handler("rate_limiter")),
            **dict.fromkeys((AdmissionGranted, AdmissionDenied), self._handle_admission),
        }

    def _message_handlers(self) -> dict[type, Handler]:
        edge = self.edge
        handler = edge.guard.handler
        return {
            **dict.fromkeys(MEMBERSHIP_MESSAGES, handler("membership")),
            **dict.fromkeys(FOLLOWER_MESSAGES, handler("follower")),
            FeedHeartbeat: self._handle_heartbeat,
            **dict.fromkeys(WRITER_MESSAGES, handler("ledger_writer")),
            **dict.fromkeys((LendCredit, CreditTransfer), handler("retry_budget")),
            **dict.fromkeys((LeaseResponse, BorrowRequest, BorrowResponse), handler("rate_limiter")),
            PlacementUpdate: self._handle_placement_update,
            ServersLeaving: self._handle_servers_leaving,
            ServersWarmingUp: self._handle_servers_warming_up,
            EjectServers: self._handle_eject_servers,
        }

    # results of calls to servers, admission decisions -----------------------------

    def _handle_call(self, event: Any, now: timedelta) -> list[Any]:
        edge = self.edge
        if edge.proxy_pipeline is not None and is_proxied(event.call_id):
            return edge.guard.take("proxy_pipeline", event, now)
        return edge.guard.take("inference_pipeline", event, now)

    def _handle_admission(self, decision: AdmissionDecision, now: timedelta) -> list[Any]:
        edge = self.edge
        if edge.proxy_pipeline is not None and decision.key.pipeline is Pipeline.PROXY:
            return edge.guard.take("proxy_pipeline", decision, now)
        return edge.guard.take("inference_pipeline", decision, now)

    # messages of other nodes ------------------------------------------------------

    def _handle_message(self, event: events.MessageReceived, now: timedelta) -> Any:
        handle = self.message_handlers.get(type(event.message))
        if handle is None:
            self.ignored_messages += 1
            return []
        return handle(event, now)

    def _handle_unreadable_message(self, event: events.UnreadableMessageReceived, now: timedelta) -> list[Any]:
        self.ignored_messages += 1
        return []

    def _handle_heartbeat(self, event: events.MessageReceived, now: timedelta) -> list[Effect]:
        self.edge.cluster_clock.record_vote(event.sender, event.message.wall_clock_ms, now)
        return self.edge.guard.take("follower", event, now)

    def _handle_placement_update(self, event: events.MessageReceived, now: timedelta) -> list[Any]:
        effects: list[Any] = self.edge.guard.take("places", event, now)
        return effects + self._notify_proxy_pipeline(request_events.PlacesChanged(), now)

    def _handle_servers_leaving(self, event: events.MessageReceived, now: timedelta) -> list[Any]:
        leaving = request_events.ServersLeaving(event.message.servers)
        edge = self.edge
        return [effect for pipeline in edge.pipeline_names for effect in edge.guard.take(pipeline, leaving, now)]

    def _handle_servers_warming_up(self, event: events.MessageReceived, now: timedelta) -> list[Any]:
        return self._notify_proxy_pipeline(request_events.ServersCold(event.message.servers), now)

    def _handle_eject_servers(self, event: events.MessageReceived, now: timedelta) -> list[Any]:
        return self._notify_proxy_pipeline(request_events.ServersEjected(event.message.durations_ms), now)

    def _notify_proxy_pipeline(self, event: events.Event, now: timedelta) -> list[Any]:
        return self.edge.guard.take("proxy_pipeline", event, now) if self.edge.proxy_pipeline is not None else []

    # effects of one component for another -----------------------------------------

    def _handle_disk_state(self, event: DiskStateChanged, now: timedelta) -> Any:
        return self.edge.guard.take("ledger_writer", DiskAvailabilityChanged(event.is_available), now)

    def _handle_member_changed(self, effect: MemberChanged, now: timedelta) -> list[Any]:
        self.edge.update_peers(now)
        return []

    def _handle_placement_request(self, request: PlacementRequest, now: timedelta) -> list[Effect]:
        return [Send(address, request) for address in self.edge.peers.holders_of("placer")]

    def _handle_changes_applied(self, effect: ChangesApplied, now: timedelta) -> list[Any]:
        self.edge.state_file.add(effect.first, effect.entries)
        return []

    def _handle_state_restored(self, effect: StateRestored, now: timedelta) -> list[Any]:
        self.edge.state_file.replace()
        return []
