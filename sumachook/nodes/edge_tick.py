"""Periodic work of an edge, done at each tick."""

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from sumachook.changefeed.events import FollowerTick
from sumachook.configuration.limits import Limits
from sumachook.forwarding.pipeline import ProxyPipeline
from sumachook.host.effects import ApplyClientLimits, Effect, Send
from sumachook.host.events import Tick
from sumachook.ledger.events import WriterTick
from sumachook.membership import events as membership_events
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
        edge = self.edge
        effects = self._tick_control(now)
        self._update_knowledge(now)
        effects += self._tick_requests(event, now)
        effects += self._report_demand(now)
        effects += edge.state_file.save(now)
        effects += self._apply_limits()
        return effects + edge.shutdown.step(edge.inference_pipeline, edge.proxy_pipeline, edge.ledger_writer, now)

    def _tick_control(self, now: timedelta) -> list[Any]:
        """Ticks membership, the change feed, the ledger writer, the retry budget and the quotas."""
        edge = self.edge
        effects: list[Any] = edge.membership.take(membership_events.Tick(edge.follower.number), now)
        cores = edge.peers.cores()
        effects += edge.follower.take(FollowerTick(cores, edge.membership.latest_feed_number), now)
        edge.cluster_clock.on_tick(now)
        live = {member.node for member in edge.membership.live}
        effects += edge.ledger_writer.take(WriterTick(edge.state.voting_members, live, edge.peers.relays()), now)
        effects += edge.retry_budget.take(BudgetTick(edge.peers.holders_of("accountant")), now)
        return effects + self._tick_quotas(cores, now)

    def _tick_quotas(self, cores: tuple[str, ...], now: timedelta) -> list[Any]:
        """Ticks the rate limiter with the issuer of quota leases, the cores and the edge count that divides floors."""
        edge = self.edge
        catalogue = edge.state.catalogue
        if not (edge.rate_limiter.quotas or (catalogue is not None and catalogue.tenants)):
            return []
        table = edge.inference_pipeline.table
        edge_count = len(table.peers) if table.knows_edges else 0
        tick = LimiterTick(edge.peers.holder_of("accountant"), cores, edge.peers.relays(), edge_count)
        return list(edge.rate_limiter.take(tick, now))

    def _update_knowledge(self, now: timedelta) -> None:
        """Updates the flags for whether the other edges and the cluster's time are known yet."""
        table, clock = self.edge.inference_pipeline.table, self.edge.cluster_clock
        age = now - self.started_at
        is_old = age > EDGES_KNOWN_AFTER
        table.knows_edges |= is_old
        table.knows_time |= clock.is_agreed or (is_old and not clock.votes) or age > CLOCK_KNOWN_AFTER

    def _tick_requests(self, event: Tick, now: timedelta) -> list[Any]:
        edge = self.edge
        effects: list[Any] = []
        is_disconnected = now - edge.follower.proved_at > DISCONNECTED_AFTER
        if self.was_disconnected and not is_disconnected:
            effects += edge.inference_pipeline.take(ConnectivityRestored(), now)
        self.was_disconnected = is_disconnected
        if not is_disconnected:
            self.connected_at = now
        effects += edge.inference_pipeline.take(event, now)
        if edge.proxy_pipeline is not None:
            effects += edge.proxy_pipeline.take(event, now)
            effects += self._report_usage(edge.proxy_pipeline, now)
        return effects

    def _report_usage(self, pipeline: ProxyPipeline, now: timedelta) -> list[Effect]:
        """Sends the proxy pipeline's usage and outcomes to the placer; requests the placements while none are known."""
        effects: list[Effect] = []
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

    def _send_to_placer(self, message: NodeMessage) -> list[Effect]:
        return [Send(address, message) for address in self.edge.peers.holders_of("placer")]

    def _report_demand(self, now: timedelta) -> list[Effect]:
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

    def _apply_limits(self) -> list[Effect]:
        """Applies changed client limits of the configuration to the proxy server."""
        catalogue = self.edge.state.catalogue
        if self.edge.proxy_pipeline is None or catalogue is None or catalogue.limits == self.applied_limits:
            return []
        self.applied_limits = catalogue.limits
        return [ApplyClientLimits(catalogue.limits)]
