"""Routes events, messages of other nodes and internal effects to the components of a core."""

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from sumachook.changefeed.events import ServeRequested
from sumachook.changefeed.messages import Confirm, Confirmed, Follow
from sumachook.consensus import effects as consensus_effects
from sumachook.consensus import events as consensus_events
from sumachook.consensus.messages import TYPES as CONSENSUS_TYPES
from sumachook.control_state.effects import ProposeChange
from sumachook.host import events
from sumachook.host.effects import Effect, Send
from sumachook.leases.messages import LEASE_MESSAGES
from sumachook.ledger.events import RecordsSynced, RewriteSynced
from sumachook.ledger.messages import STORE_MESSAGES, FindRecord, RecordFound
from sumachook.membership.effects import IncarnationRaised, MemberChanged
from sumachook.membership.messages import MEMBERSHIP_MESSAGES
from sumachook.nodes.component_guard import Handler
from sumachook.nodes.event_dispatcher import ignore
from sumachook.outliers.effects import ServersEjected
from sumachook.outliers.messages import EjectServers, OutcomeReport
from sumachook.placement import call_ids
from sumachook.placement.effects import BroadcastToEdges
from sumachook.placement.messages import DemandReport, ModelUsage, PlacementRequest, PlacementSnapshotRequest
from sumachook.quotas.events import LeaseRequestReceived
from sumachook.quotas.messages import LeaseRequest, UsageReport
from sumachook.retry_budget.messages import CreditReport
from sumachook.storage.events import DiskStateChanged
from sumachook.transport.node_message import NodeMessage

if TYPE_CHECKING:
    from sumachook.nodes.core import Core

CONSENSUS_MESSAGES = tuple(CONSENSUS_TYPES.values())
# Messages whose response needs a durable write or is a promise; dropped while the disk accepts no writes.
DISK_MESSAGES = frozenset({*CONSENSUS_MESSAGES, *STORE_MESSAGES})
CONSENSUS_MESSAGE_TYPES = frozenset(CONSENSUS_MESSAGES)
DISK_SYNCED_EVENTS = tuple(consensus_events.DiskSynced.__subclasses__())


class CoreRouting:
    """Maps each class of events and messages to the component of a core that handles it."""

    __slots__ = ("core", "message_handlers", "ignored_messages", "_call_handlers")

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.message_handlers = self._message_handlers()
        self.ignored_messages = 0
        handler = core.guard.handler
        self._call_handlers: dict[str, Handler] = {
            call_ids.PROVISIONER: handler("provisioner"),
            call_ids.PLACER: handler("placer"),
            call_ids.INVENTORY_READER: handler("inventory_reader"),
        }

    def event_handlers(self) -> dict[type, Handler]:
        """Returns the handler of each class of events, and of effects that one component sends to another."""
        core = self.core
        handler = core.guard.handler
        return {
            events.Tick: core.ticks.take,
            events.StopRequested: core.handle_stop,
            events.SettingsReloadRequested: ignore,
            events.SeedsChanged: handler("membership"),
            events.DelayElapsed: handler("provisioner"),
            events.MessageReceived: self._handle_message,
            events.UnreadableMessageReceived: self._handle_unreadable_message,
            events.HttpRequestReceived: core.api.http,
            events.MemoryMeasured: core.handle_memory_figures,
            events.ClientDisconnected: core.api.handle_disconnect,
            events.RequestSent: self._handle_call,
            events.ResponseReceived: self._handle_call,
            events.CallFailed: self._handle_call,
            DiskStateChanged: core.handle_disk_state,
            **self._consensus_handlers(),
            **dict.fromkeys((RecordsSynced, RewriteSynced), handler("replica_store")),
            ServeRequested: core.state_delivery.handle_serve,
            MemberChanged: ignore,
            IncarnationRaised: ignore,
            BroadcastToEdges: self._handle_broadcast,
            ServersEjected: self._handle_servers_ejected,
        }

    def _consensus_handlers(self) -> dict[type, Handler]:
        """Returns the handlers of requests to the consensus replica and of the effects that it returns."""
        core = self.core
        handler = core.guard.handler
        return {
            ProposeChange: self._handle_propose_change,
            consensus_events.ReadRequested: self._handle_read_requested,
            consensus_events.LeaveRequested: handler("consensus"),
            **dict.fromkeys(DISK_SYNCED_EVENTS, handler("consensus")),
            consensus_effects.Deliver: core.state_delivery.handle_deliver,
            consensus_effects.Restore: core.state_delivery.handle_restore,
            consensus_effects.Compact: core.state_delivery.handle_compact,
            consensus_effects.Readable: core.api.handle_readable,
            consensus_effects.Unreadable: core.api.handle_unreadable,
            consensus_effects.Departed: core.handle_departed,
            consensus_effects.Refuse: ignore,  # the component that made a refused proposal retries it
            consensus_effects.ViewChanged: ignore,
        }

    def _message_handlers(self) -> dict[type, Handler]:
        core = self.core
        handler = core.guard.handler
        return {
            **dict.fromkeys(MEMBERSHIP_MESSAGES, handler("membership")),
            **dict.fromkeys(CONSENSUS_MESSAGES, handler("consensus")),
            **dict.fromkeys(LEASE_MESSAGES, handler("leases")),
            **dict.fromkeys(STORE_MESSAGES, handler("replica_store")),
            **dict.fromkeys((FindRecord, RecordFound), core.api.searches.take),
            Follow: handler("source"),
            **dict.fromkeys((Confirm, Confirmed), self._handle_confirmation),
            **dict.fromkeys((PlacementRequest, ModelUsage, PlacementSnapshotRequest), handler("provisioner")),
            DemandReport: handler("placer"),
            OutcomeReport: handler("outlier_detector"),
            CreditReport: handler("retry_broker"),
            LeaseRequest: self._handle_lease_request,
            UsageReport: handler("quota_usage"),
        }

    # messages of other nodes ------------------------------------------------------

    def _handle_message(self, event: events.MessageReceived, now: timedelta) -> Any:
        message_type = type(event.message)
        core = self.core
        if not core.is_disk_available and message_type in DISK_MESSAGES:
            return []
        if not core.is_participating and message_type in CONSENSUS_MESSAGE_TYPES:
            return []
        handle = self.message_handlers.get(message_type)
        if handle is None:
            self.ignored_messages += 1
            return []
        return handle(event, now)

    def _handle_unreadable_message(self, event: events.UnreadableMessageReceived, now: timedelta) -> list[Any]:
        self.ignored_messages += 1
        return []

    def _handle_confirmation(self, event: events.MessageReceived, now: timedelta) -> list[Any]:
        guard = self.core.guard
        effects = guard.take("source", event, now)
        return effects + guard.run("api", lambda: self.core.state_delivery.answer_finished_changes(now), event, now)

    def _handle_lease_request(self, event: events.MessageReceived, now: timedelta) -> list[Effect]:
        """Checks the role's lease now, as the message may have lain in a buffer since the last tick."""
        fence = self.core.leases.holds("accountant", now)
        request = LeaseRequestReceived(event.sender, event.address, event.message, fence)
        return self.core.guard.take("quota_lease_issuer", request, now)

    # results of calls to servers and the platform ---------------------------------

    def _handle_call(self, event: events.CallEvent, now: timedelta) -> Any:
        return self._call_handlers[event.call_id.part](event, now)

    # effects of one component for another -----------------------------------------

    def _handle_propose_change(self, effect: ProposeChange, now: timedelta) -> list[Effect]:
        if not self.core.is_participating:
            return []
        return self.core.guard.take("consensus", consensus_events.ProposalMade(effect.change), now)

    def _handle_read_requested(self, event: consensus_events.ReadRequested, now: timedelta) -> list[Effect]:
        if not self.core.is_participating:
            return [consensus_effects.Unreadable(event.token, None)]
        return self.core.guard.take("consensus", event, now)

    def _handle_broadcast(self, effect: BroadcastToEdges, now: timedelta) -> list[Effect]:
        return self._send_to_edges(effect.message)

    def _handle_servers_ejected(self, effect: ServersEjected, now: timedelta) -> list[Effect]:
        return self._send_to_edges(EjectServers(effect.durations_ms))

    def _send_to_edges(self, message: NodeMessage) -> list[Effect]:
        return [Send(address, message) for address in self.core.peers.edge_addresses()]
