"""Periodic work of an edge, done at each tick."""

from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Any

from sumachook.changefeed.events import FollowerTick
from sumachook.configuration.limits import Limits
from sumachook.host.effects import ApplyClientLimits, Effect, Send
from sumachook.host.events import Tick
from sumachook.ledger.events import WriterTick
from sumachook.membership import events as membership_events
from sumachook.nodes.event_dispatcher import ROUTING
from sumachook.outliers.messages import OutcomeReport
from sumachook.placement.messages import DemandReport, ModelUsage, PlacementSnapshotRequest
from sumachook.quotas.events import LimiterTick
from sumachook.requests.events import ConnectivityRestored
from sumachook.retry_budget.events import BudgetTick
from sumachook.transport.node_message import NodeMessage

if TYPE_CHECKING:
    from sumachook.nodes.edge import Edge

DISCONNECTED_AFTER = timedelta(seconds=2)  # time without proof of a fresh state after which an edge is disconnected
EDGES_KNOWN_AFTER = timedelta(seconds=3)  # time after the start when the membership is taken as complete
CLOCK_KNOWN_AFTER = EDGES_KNOWN_AFTER * 10  # time after the start when the cluster time counts as known, agreed or not
PLACEMENT_RETRY_INTERVAL = timedelta(seconds=0.1)
DEMAND_INTERVAL = timedelta(seconds=1)


class EdgeTick:
    """Ticks every component of an edge in a fixed order and sends the reports that are due."""

    __slots__ = (
        "edge",
        "started_at",
        "connected_at",
        "was_disconnected",
        "placements_requested_at",
        "next_demand_at",
        "applied_limits",
    )

    def __init__(self, edge: "Edge", now: timedelta) -> None:
        self.edge = edge
        self.started_at = now
        self.connected_at = now  # when the state was last proved fresh, initially the start
        self.was_disconnected = False
        self.placements_requested_at = now
        self.next_demand_at = now
        self.applied_limits: Limits | None = None

    def take(self, event: Tick, now: timedelta) -> list[Any]:
        """Runs one tick and returns its effects; ends with `Exit` once a shutdown is complete."""
        effects: list[Any] = []
        for step in (
            self._tick_membership,
            self._tick_follower,
            self._tick_clock,
            self._tick_ledger_writer,
            self._tick_retry_budget,
            self._tick_quotas,
            self._update_knowledge,
            self._tick_inference,
            self._tick_forwarding,
            self._report_usage,
            self._report_demand,
            self._save_state,
            self._apply_limits,
            self._step_shutdown,
        ):
            effects += self.edge.guard.run(ROUTING, partial(step, now), event, now)
        return effects

    def _tick_membership(self, now: timedelta) -> list[Any]:
        edge = self.edge
        return edge.guard.take("membership", membership_events.Tick(edge.follower.number), now)

    def _tick_follower(self, now: timedelta) -> list[Any]:
        edge = self.edge
        tick = FollowerTick(edge.peers.cores(), edge.membership.latest_feed_number)
        return edge.guard.take("follower", tick, now)

    def _tick_clock(self, now: timedelta) -> list[Any]:
        self.edge.cluster_clock.on_tick(now)
        return []

    def _tick_ledger_writer(self, now: timedelta) -> list[Any]:
        edge = self.edge
        live = {member.node for member in edge.membership.live}
        return edge.guard.take("ledger_writer", WriterTick(edge.state.voting_members, live, edge.peers.relays()), now)

    def _tick_retry_budget(self, now: timedelta) -> list[Any]:
        edge = self.edge
        return edge.guard.take("retry_budget", BudgetTick(edge.peers.holders_of("accountant")), now)

    def _tick_quotas(self, now: timedelta) -> list[Any]:
        """Ticks the rate limiter with the issuer of quota leases, the cores and the edge count that divides floors."""
        edge = self.edge
        catalogue = edge.state.catalogue
        if not (edge.rate_limiter.quotas or (catalogue is not None and catalogue.tenants)):
            return []
        table = edge.inference_pipeline.table
        edge_count = len(table.peers) if table.knows_edges else 0
        tick = LimiterTick(edge.peers.holder_of("accountant"), edge.peers.cores(), edge.peers.relays(), edge_count)
        return edge.guard.take("rate_limiter", tick, now)

    def _update_knowledge(self, now: timedelta) -> list[Any]:
        """Updates the flags for whether the other edges and the cluster's time are known yet."""
        table, clock = self.edge.inference_pipeline.table, self.edge.cluster_clock
        age = now - self.started_at
        is_old = age > EDGES_KNOWN_AFTER
        table.knows_edges |= is_old
        table.knows_time |= clock.is_agreed or (is_old and not clock.votes) or age > CLOCK_KNOWN_AFTER
        return []

    def _tick_inference(self, now: timedelta) -> list[Any]:
        """Ticks the inference pipeline, which learns first that this edge is connected again."""
        edge = self.edge
        effects: list[Any] = []
        is_disconnected = now - edge.follower.proved_at > DISCONNECTED_AFTER
        if self.was_disconnected and not is_disconnected:
            effects += edge.guard.take("inference_pipeline", ConnectivityRestored(), now)
        self.was_disconnected = is_disconnected
        if not is_disconnected:
            self.connected_at = now
        return effects + edge.guard.take("inference_pipeline", Tick(), now)

    def _tick_forwarding(self, now: timedelta) -> list[Any]:
        edge = self.edge
        return edge.guard.take("proxy_pipeline", Tick(), now) if edge.proxy_pipeline is not None else []

    def _report_usage(self, now: timedelta) -> list[Any]:
        """Sends the proxy pipeline's usage and outcomes to the placer; requests the placements while none are known."""
        effects: list[Any] = []
        pipeline = self.edge.proxy_pipeline
        if pipeline is None:
            return effects
        usage = self.edge.usage_report.take(pipeline.table, now)
        if usage is not None:
            effects += self._send_to_placer(ModelUsage(usage))
        outcomes = pipeline.table.outcome_counts.due(now)
        if outcomes is not None:
            effects += self._send_to_placer(OutcomeReport(outcomes))
        if not self.edge.places.is_known and now - self.placements_requested_at > PLACEMENT_RETRY_INTERVAL:
            self.placements_requested_at = now
            effects += self._send_to_placer(PlacementSnapshotRequest(-1))
        return effects

    def _save_state(self, now: timedelta) -> list[Any]:
        """Writes the changes of the state that are due to the edge's disk."""
        return list(self.edge.state_file.save(now))

    def _step_shutdown(self, now: timedelta) -> list[Any]:
        edge = self.edge
        return edge.shutdown.step(edge.inference_pipeline, edge.proxy_pipeline, edge.ledger_writer, now)

    def _send_to_placer(self, message: NodeMessage) -> list[Effect]:
        return [Send(address, message) for address in self.edge.peers.holders_of("placer")]

    def _report_demand(self, now: timedelta) -> list[Any]:
        if now < self.next_demand_at:
            return []
        self.next_demand_at = now + DEMAND_INTERVAL
        self.edge.update_peers(now)
        table = self.edge.inference_pipeline.table
        if not table.demand:
            return []
        report = DemandReport(table.demand)
        table.demand = {}
        return [Send(core, report) for core in self.edge.peers.cores()]

    def _apply_limits(self, now: timedelta) -> list[Any]:
        """Applies changed client limits of the configuration to the proxy server."""
        catalogue = self.edge.state.catalogue
        if self.edge.proxy_pipeline is None or catalogue is None or catalogue.limits == self.applied_limits:
            return []
        self.applied_limits = catalogue.limits
        return [ApplyClientLimits(catalogue.limits)]
