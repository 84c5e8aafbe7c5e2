"""An edge: a node that receives client requests and forwards them to model servers."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from random import Random
from typing import Any

from sumachook.changefeed.follower import Follower
from sumachook.configuration.node_settings import NodeSettings
from sumachook.control_state.state import State
from sumachook.forwarding.cold_allowance import ColdAllowance
from sumachook.forwarding.pipeline import ProxyPipeline
from sumachook.forwarding.port import RequestPort
from sumachook.forwarding.request_table import RequestTable
from sumachook.host.effects import Effect, Log
from sumachook.host.events import (
    HttpRequestReceived,
    MemoryMeasured,
    ProxyHeadReceived,
    ProxyRequestReceived,
    StopRequested,
)
from sumachook.inference.pipeline import InferencePipeline
from sumachook.ledger.events import LeaveRequested
from sumachook.ledger.writer import LedgerWriter
from sumachook.membership.member import MemberStatus, MemberUpdate
from sumachook.membership.membership import Membership
from sumachook.nodes.component_guard import ComponentGuard
from sumachook.nodes.edge_peers import PEER_RETENTION, EdgePeers
from sumachook.nodes.edge_routing import EdgeRouting
from sumachook.nodes.edge_shutdown import EdgeShutdown
from sumachook.nodes.edge_status import condition, metrics
from sumachook.nodes.edge_tick import EdgeTick
from sumachook.nodes.event_dispatcher import EventDispatcher
from sumachook.nodes.replies import reply
from sumachook.nodes.state_file import FILE, StateFile
from sumachook.nodes.tick_intervals import IDLE_TICK, IN_FLIGHT_TICK, TICK
from sumachook.nodes.usage_report import UsageReport
from sumachook.placement.places import PlacementView
from sumachook.quotas.rate_limiter import RateLimiter
from sumachook.requests.events import DrainStarted
from sumachook.retry_budget.budget import RetryBudget, share_of_slack
from sumachook.runtime.clock import NodeClock
from sumachook.runtime.cluster_clock import ClusterClock

Records = Mapping[str, Sequence[Any]]


class Edge:
    """The state machine of an edge: `take` handles an event at a given time and returns effects for its host.

    Parameters
    ----------
    settings
        The settings of the process.
    records
        The contents of its data folder, by file; empty without a data folder.
    restart_epoch
        Increases with each start of the same node.
    clock
        The clocks of the process; timeouts use the `now` passed to `take`.
    random
        The source of all random numbers.
    request_port
        Header names of forwarded requests; by default those of this project.
    """

    __slots__ = (
        "settings",
        "node",
        "restart_epoch",
        "state",
        "cluster_clock",
        "membership",
        "peers",
        "follower",
        "state_file",
        "ledger_writer",
        "retry_budget",
        "rate_limiter",
        "places",
        "inference_pipeline",
        "proxy_pipeline",
        "usage_report",
        "shutdown",
        "guard",
        "ticks",
        "routing",
        "dispatcher",
        "memory_figures",
    )

    def __init__(
        self,
        settings: NodeSettings,
        records: Records,
        restart_epoch: int,
        clock: NodeClock,
        random: Random,
        request_port: RequestPort | None = None,
    ) -> None:
        now = clock.mono()
        self.settings = settings
        self.node = settings.node
        self.restart_epoch = restart_epoch
        self.state = State()
        self.state_file = StateFile(self.state, settings.data is not None, records.get(FILE, ()), now)
        self.cluster_clock = ClusterClock(clock.wall, now)
        self._create_membership(random, now)
        self.follower = Follower(self.state, Random(random.random()), now)
        self.retry_budget = RetryBudget(settings.resend_ratio)
        self.ledger_writer = LedgerWriter(settings.data is not None, records.get("spool", ()), now)
        self.rate_limiter = RateLimiter(self.state, restart_epoch, now)
        self.places = PlacementView()
        self._create_pipelines(random, request_port)
        self.usage_report = UsageReport(now)
        self.shutdown = EdgeShutdown(timedelta(seconds=settings.grace), now)
        self.memory_figures: dict[str, Any] = {}
        self.guard = ComponentGuard(self, "edge")
        self.ticks = EdgeTick(self, now)
        self.routing = EdgeRouting(self)
        self.dispatcher = EventDispatcher(self.routing.event_handlers(), self.guard)

    def _create_membership(self, random: Random, now: timedelta) -> None:
        settings = self.settings
        local_update = MemberUpdate(
            node=self.node,
            address=settings.address,
            role="edge",
            zone=settings.zone,
            incarnation=self.restart_epoch,
            status=MemberStatus.ALIVE,
            http_address=settings.http_address,
            restart_epoch=self.restart_epoch,
        )
        self.membership = Membership(local_update, settings.seeds, Random(random.random()), now, self.cluster_clock)
        self.peers = EdgePeers(self.node, settings.zone, self.membership, self.state)

    def _create_pipelines(self, random: Random, request_port: RequestPort | None) -> None:
        settings = self.settings
        self.inference_pipeline = InferencePipeline(
            self.node,
            self.restart_epoch,
            settings.zone,
            self.state,
            self.follower,
            self.retry_budget,
            Random(random.random()),
            self.cluster_clock,
        )
        self.proxy_pipeline: ProxyPipeline | None = None
        if settings.front:
            table = RequestTable(
                self.node,
                self.restart_epoch,
                settings.zone,
                self.state,
                self.follower,
                self.retry_budget,
                Random(random.random()),
                request_port or RequestPort(),
                self.places,
                self.cluster_clock,
            )
            if settings.key_lifetime is not None:
                table.access.credential_lifetime = timedelta(seconds=settings.key_lifetime)
            table.cold_allowance = ColdAllowance(settings.cold_overshoot, settings.cold_slack)
            self.proxy_pipeline = ProxyPipeline(table)

    def take(self, event: object, now: timedelta) -> list[Effect]:
        """Handles one event and returns its effects; raises `UnhandledEventError` for a class that no edge handles."""
        return self.dispatcher.deliver(event, now)

    @property
    def tick_interval(self) -> timedelta:
        """The longest time until the next tick; shorter while requests are in progress (docs/design/processes.md)."""
        if self.shutdown.has_begun or self.inference_pipeline.table.requests or not self.places.is_known:
            return TICK
        if self.proxy_pipeline is None:
            return IDLE_TICK
        table = self.proxy_pipeline.table
        if table.waiting or table.parked_requests:
            return TICK
        return IN_FLIGHT_TICK if table.requests else IDLE_TICK

    @property
    def pipelines(self) -> tuple[InferencePipeline | ProxyPipeline, ...]:
        """The inference pipeline and, with a proxy address, the proxy pipeline."""
        if self.proxy_pipeline is None:
            return (self.inference_pipeline,)
        return self.inference_pipeline, self.proxy_pipeline

    @property
    def pipeline_names(self) -> tuple[str, ...]:
        """The names of the components in `pipelines`."""
        return ("inference_pipeline",) if self.proxy_pipeline is None else ("inference_pipeline", "proxy_pipeline")

    @property
    def ignored(self) -> int:
        """The number of messages of other nodes that could not be decoded or that no component of an edge handles."""
        return self.routing.ignored_messages

    def handle_memory_figures(self, event: MemoryMeasured, now: timedelta) -> list[Any]:
        """Keeps the figures of the process's memory budget for the metrics."""
        self.memory_figures = event.figures
        return []

    def handle_proxy_request(self, event: ProxyHeadReceived | ProxyRequestReceived, now: timedelta) -> list[Any]:
        """Passes a request, or the head of one, to the proxy pipeline; raises `TypeError` without a proxy address."""
        if self.proxy_pipeline is None:
            raise TypeError("proxy request received by an edge without a proxy address")
        self.shutdown.note_request(now)
        return self.guard.take("proxy_pipeline", event, now)

    def handle_http_request(self, event: HttpRequestReceived, now: timedelta) -> list[Any]:
        """Answers /condition and /metrics; passes any other request at the HTTP address to the inference pipeline."""
        if event.path == "/condition":
            return [reply(event.call_id, *condition(self, now))]
        if event.path == "/metrics":
            return [reply(event.call_id, 200, metrics(self, now))]
        return self.guard.take("inference_pipeline", event, now)

    def handle_stop(self, event: StopRequested, now: timedelta) -> list[Any]:
        """Starts the drain on a stop signal: requests in flight are finished, then the process exits.

        Only the first signal counts: the grace period, after which the process is killed, began with it.
        """
        if self.shutdown.has_begun:
            return []
        self.shutdown.begin(now)
        for pipeline in self.pipeline_names:
            self.guard.take(pipeline, DrainStarted(), now)
        self.guard.take("ledger_writer", LeaveRequested(), now)
        in_flight = {"inHand": len(self.inference_pipeline.table.requests)}
        note = Log("info", "edge", "Leaving: draining the requests in flight.", in_flight)
        return [note, *self.guard.take("membership", event, now)]

    def update_peers(self, now: timedelta) -> None:
        """Updates this edge's share of limits that all edges divide among them (docs/design/inference.md)."""
        peers = self.peers.recent_edges(now)
        table = self.inference_pipeline.table
        table.edges = self.peers.live_edges()
        table.peers = peers
        if self.proxy_pipeline is None:
            return
        rank = peers.index(self.node)
        self.proxy_pipeline.table.edges = len(peers)
        self.proxy_pipeline.table.rank = rank
        self.proxy_pipeline.table.cold_allowance.rank = rank
        if self.settings.resend_slack is not None:
            self.retry_budget.cap = self._credit_cap(self.settings.resend_slack, rank, len(peers), now)

    def _credit_cap(self, slack: float, rank: int, edge_count: int, now: timedelta) -> float:
        """Returns the cap on this edge's saved retry credit; the caps of all edges together stay below the slack.

        An edge cut off from the cores gets 0 after `PEER_RETENTION`: then the edges on the cores' side divide the
        slack without it.
        """
        is_isolated = now - self.ticks.connected_at > PEER_RETENTION
        return 0.0 if is_isolated else share_of_slack(slack, rank, edge_count)
