"""A core: a replica of the control state, with the singleton roles, the change feed and the ledger built on it."""

from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from random import Random
from typing import Any

from sumachook.changefeed.events import ServeRequested
from sumachook.changefeed.source import Source
from sumachook.configuration.node_settings import NodeSettings
from sumachook.consensus import Options, Replica
from sumachook.consensus import events as consensus_events
from sumachook.consensus.effects import Departed
from sumachook.consensus.storage import FILE as LOG_FILE
from sumachook.consensus.views import Role
from sumachook.control_state.effects import ProposeChange
from sumachook.control_state.state import State
from sumachook.host.effects import HOST_EFFECTS, AppendRecords, Effect, Exit, Log, Reply
from sumachook.host.events import CallId, Event, HttpRequestReceived, MemoryMeasured, StopRequested
from sumachook.leases import Leases
from sumachook.leases import events as lease_events
from sumachook.ledger.replica_store import ReplicaStore
from sumachook.membership.member import MemberStatus, MemberUpdate
from sumachook.membership.membership import Membership
from sumachook.nodes.component_guard import ComponentGuard, Handler
from sumachook.nodes.control_api import RETRY_AFTER_S, ControlApi, starting
from sumachook.nodes.core_peers import CorePeers
from sumachook.nodes.core_routing import CoreRouting
from sumachook.nodes.core_shutdown import CoreShutdown
from sumachook.nodes.core_tick import CoreTick
from sumachook.nodes.event_dispatcher import EventDispatcher
from sumachook.nodes.replies import fault_reply
from sumachook.nodes.state_delivery import StateDelivery
from sumachook.nodes.tick_intervals import TICK
from sumachook.outliers.detector import OutlierDetector
from sumachook.placement.inventory_reader import InventoryReader
from sumachook.placement.list_port import ListPort
from sumachook.placement.placer import Placer
from sumachook.placement.port import ServerPort
from sumachook.placement.provisioner import Provisioner
from sumachook.quotas.lease_issuer import QuotaLeaseIssuer
from sumachook.quotas.usage import QuotaUsage
from sumachook.retry_budget.broker import RetryBudgetBroker
from sumachook.runtime.clock import NodeClock
from sumachook.runtime.cluster_clock import ClusterClock
from sumachook.storage.events import DiskStateChanged

Records = Mapping[str, Sequence[Any]]
INTERNAL_FAILURE = 70  # exit code of a core that stopped after a failure (EX_SOFTWARE of sysexits.h)
VOTER_RECORD = "seat"  # kind of the log record that names the voter a data folder belongs to


class IdentityStored(Event, frozen=True):
    """The name of this voter is durable: from now on the core may send promises and acknowledgements."""


def stored_voter(records: Mapping[str, Iterable[Sequence[Any]]]) -> str:
    """Returns the name of the voter that a data folder belongs to, or "" for a blank folder."""
    return next((str(record[1]) for record in records.get(LOG_FILE, ()) if record[0] == VOTER_RECORD), "")


class Core:
    """The state machine of a core: `take` handles an event at a given time and returns effects for its host.

    Parameters
    ----------
    settings
        The settings of the process.
    records
        The contents of its data folder, by file. A blank folder creates a new voter: the name of a voter and its
        promises are stored and lost together (docs/design/consensus.md).
    restart_epoch
        Increases with each start of the same node.
    clock
        The clocks of the process; timeouts use the `now` passed to `take`.
    random
        The source of all random numbers.
    list_port, server_port
        Protocols of the platform's server list and of the servers; by default those of this project.
    """

    def __init__(
        self,
        settings: NodeSettings,
        records: Records,
        restart_epoch: int,
        clock: NodeClock,
        random: Random,
        list_port: ListPort | None = None,
        server_port: ServerPort | None = None,
    ) -> None:
        now = clock.mono()
        self.settings = settings
        self.restart_epoch = restart_epoch
        self.is_disk_available = True
        self.memory_figures: dict[str, Any] = {}
        self.is_suspended = False  # whether this core left the view since it could not apply a committed entry
        voter = stored_voter(records)
        self.is_new = not voter
        self.is_ready = not self.is_new
        self.node = voter or f"{settings.node}-{random.getrandbits(32):08x}"
        self.state = State()
        self.cluster_clock = ClusterClock(clock.wall, now)
        self._create_replica(records.get(LOG_FILE, ()), random, now)
        self._create_membership(random, now)
        self._create_roles(random, list_port, server_port, now)
        self.source = Source(self.state, self.other_cores, now, self.cluster_clock, self.is_fresh)
        stored = records.get("ledger", ())
        self.replica_store = ReplicaStore(self.node, self.cluster_clock, settings.retention, stored, now)
        self.shutdown = CoreShutdown(timedelta(seconds=settings.grace))
        self.api = ControlApi(self)
        self.state_delivery = StateDelivery(self)
        self.guard = self._create_guard()
        self.ticks = CoreTick(self)
        self.routing = CoreRouting(self)
        self.dispatcher = EventDispatcher(self.event_handlers(), self.guard)

    def _create_replica(self, log: Sequence[Any], random: Random, now: timedelta) -> None:
        settings = self.settings
        options = Options(replace_after=timedelta(seconds=settings.voter_away), wanted_voters=settings.wanted_voters)
        self.consensus = Replica(
            self.node,
            settings.address,
            settings.founding,
            Random(random.random()),
            self.state.snapshot,
            log,
            options,
            now,
        )
        number, snapshot = self.consensus.snapshot()
        if snapshot is not None:
            self.state.restore(snapshot)
        self.state.number = number

    def _create_membership(self, random: Random, now: timedelta) -> None:
        settings = self.settings
        local_update = MemberUpdate(
            node=self.node,
            address=settings.address,
            role="core",
            zone=settings.zone,
            incarnation=self.restart_epoch,
            status=MemberStatus.ALIVE,
            http_address=settings.http_address,
            restart_epoch=self.restart_epoch,
        )
        self.membership = Membership(local_update, settings.seeds, Random(random.random()), now, self.cluster_clock)
        self.peers = CorePeers(self.node, self.restart_epoch, self.membership, self.state)

    def _create_roles(
        self, random: Random, list_port: ListPort | None, server_port: ServerPort | None, now: timedelta
    ) -> None:
        """Creates the leases of the singleton roles and the components that act while this core holds them."""
        settings, state = self.settings, self.state
        turn_gap = timedelta(seconds=settings.turn_gap)
        self.leases = Leases(self.node, state, Random(random.random()), now, settings.fenced, turn_gap)
        self.placer = Placer(state, now)
        self.inventory_reader = InventoryReader(state, settings.platform, now, list_port, settings.list_readers)
        self.provisioner = Provisioner(state, server_port or ServerPort(), self.node, now, self.restart_epoch)
        self.outlier_detector = OutlierDetector(state)
        self.retry_broker = RetryBudgetBroker(now)
        self.quota_lease_issuer = QuotaLeaseIssuer(state, now)
        self.quota_usage = QuotaUsage(state)

    def _create_guard(self) -> ComponentGuard:
        """Creates the guard of the components; a lost vote, entry or record stops this core."""
        guard = ComponentGuard(self, "core", essential=("consensus", "replica_store"))
        guard.recover_with("placer", self.placer.restart)
        guard.recover_with("provisioner", self.provisioner.restart)
        return guard

    def event_handlers(self) -> dict[type, Handler]:
        """Returns the handler of each class of events, and of effects that one component sends to another."""
        return self.routing.event_handlers()

    def take(self, event: object, now: timedelta) -> list[Effect]:
        """Handles one event and returns its effects; raises `UnhandledEventError` for a class that no core handles."""
        if self.guard.has_stopped:
            return [_failed(event.call_id)] if isinstance(event, HttpRequestReceived) else []
        if not self.is_ready and not isinstance(event, DiskStateChanged):
            return self._start(event)
        served_number = self.state.number
        effects = self.dispatcher.deliver(event, now)
        while served_number < self.state.number:  # entries delivered together are served to the followers in one batch
            served_number = self.state.number
            effects += self.dispatcher.deliver(ServeRequested(), now)
        if not self.state_delivery.is_complete and not self.is_suspended:
            effects += self._suspend(now)
        if self.guard.has_stopped:
            text = "Exiting: replicated data may be incomplete in memory; the next process reads it from the disk."
            effects += [Log("error", "core", text, {"failures": self.guard.counts}), Exit(INTERNAL_FAILURE)]
        return effects

    def _start(self, event: object) -> list[Effect]:
        """Stores the name of a new voter; until that is durable, it drops events and answers HTTP requests with 503."""
        effects: list[Effect] = []
        if isinstance(event, HttpRequestReceived):
            effects.append(starting(event.call_id))
        if self.is_new:
            self.is_new = False
            effects.append(AppendRecords(LOG_FILE, ((VOTER_RECORD, self.node),), IdentityStored()))
        self.is_ready = isinstance(event, IdentityStored)
        return effects

    @property
    def tick_interval(self) -> timedelta:
        """The longest time until the next tick; always the shortest, as views, leases and changes need every tick."""
        return TICK

    @property
    def ignored(self) -> int:
        """The number of messages of other nodes that could not be decoded or that no component of a core handles."""
        return self.routing.ignored_messages

    @property
    def is_participating(self) -> bool:
        """Whether this core takes part in consensus: its disk accepts writes, and its state has every entry."""
        return self.is_disk_available and not self.is_suspended and self.state_delivery.is_complete

    def is_fresh(self, now: timedelta) -> bool:
        """Returns whether this core is in a working view, its disk accepts writes and its state has every entry."""
        return self.is_participating and self.consensus.is_fresh(now)

    def other_cores(self) -> list[str]:
        """Returns the addresses of the other voters."""
        return self.peers.other_voters()

    # shutdown ---------------------------------------------------------------------

    def handle_stop(self, event: StopRequested, now: timedelta) -> list[Any]:
        """Starts the shutdown on a stop signal: releases the leases, then the voter's place in the view."""
        if self.shutdown.has_begun:
            return []
        self.shutdown.begin(now)
        note = Log("info", "core", "Leaving: releasing the singleton roles and the vote.", {})
        released = self.guard.take("leases", lease_events.Quit(), now)
        announced = self.guard.take("membership", event, now)
        # leaving the view comes last: a leader commits the released leases before it hands over
        return [note, *released, *announced, consensus_events.LeaveRequested()]

    def handle_memory_figures(self, event: MemoryMeasured, now: timedelta) -> list[Any]:
        """Keeps the figures of the process's memory budget for the metrics."""
        self.memory_figures = event.figures
        return []

    def handle_departed(self, effect: Departed, now: timedelta) -> list[Any]:
        """Notes that the process may exit: the data of this replica is safe without it."""
        self.shutdown.note_departed()
        return []

    # disk failures (docs/design/storage.md) and failures to apply an entry ----------------------------

    def handle_disk_state(self, event: DiskStateChanged, now: timedelta) -> list[Any]:
        """While its disk accepts no writes, this core leaves the view, holds no lease and stores no ledger records."""
        if event.is_available:
            self.is_disk_available = True
            return [] if self.is_suspended else self._resume_leases(now)
        effects = [] if self.is_suspended else self._leave_view(now)
        self.is_disk_available = False
        return effects

    def _suspend(self, now: timedelta) -> list[Effect]:
        """Leaves the view until the state has applied every delivered entry; meanwhile, this core holds no lease."""
        left = self._leave_view(now) if self.is_disk_available else []
        self.is_suspended = True
        waiting = len(self.state_delivery.waiting)
        fields = {"number": self.state.number, "waiting": waiting}
        effects: list[Effect] = [Log("error", "core", "Leaving the view: a committed entry cannot be applied.", fields)]
        for effect in left:
            effects += [effect] if type(effect) in HOST_EFFECTS else self.dispatcher.deliver(effect, now)
        return effects

    def resume_if_complete(self, now: timedelta) -> list[Any]:
        """Applies the entries that wait, and takes part in the view again once none is left."""
        if not self.is_suspended:
            return []
        effects = self.state_delivery.apply_waiting(now)
        if not self.state_delivery.is_complete:
            return effects
        self.is_suspended = False
        effects.append(Log("info", "core", "Every committed entry is applied again.", {"number": self.state.number}))
        return effects + self._resume_leases(now) if self.is_disk_available else effects

    def _resume_leases(self, now: timedelta) -> list[Any]:
        return [] if self.shutdown.has_begun else self.guard.take("leases", lease_events.Resume(), now)

    def _leave_view(self, now: timedelta) -> list[Any]:
        """Releases the leases, and steps down if this core leads."""
        released = self.guard.take("leases", lease_events.Quit(), now)
        effects: list[Any] = [effect for effect in released if not isinstance(effect, ProposeChange)]
        if self.consensus.role is Role.LEADING:
            # a leader steps back, so that the other voters need not wait until its heartbeats time out
            return effects + self.guard.take("consensus", consensus_events.StepBackRequested(), now)
        for effect in released:
            if isinstance(effect, ProposeChange):
                effects += self.guard.take("consensus", consensus_events.ProposalMade(effect.change), now)
        return effects


def _failed(call_id: CallId) -> Reply:
    """Returns the 503 response of a core that stopped after a failure and is about to exit."""
    return fault_reply(call_id, 503, "failed", "this core has failed; ask another", RETRY_AFTER_S, applied="maybe")
