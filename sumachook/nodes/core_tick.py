"""Periodic work of a core, done at each tick."""

from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Any

from sumachook.consensus import events as consensus_events
from sumachook.consensus.views import Role
from sumachook.host.events import Tick
from sumachook.leases import events as lease_events
from sumachook.ledger.events import StoreTick
from sumachook.membership import events as membership_events
from sumachook.nodes.event_dispatcher import ROUTING
from sumachook.nodes.state_delivery import STATE
from sumachook.outliers import events as outlier_events
from sumachook.placement.events import InventoryTick, LeaseTick
from sumachook.quotas.events import IssuerTick
from sumachook.retry_budget.events import BrokerTick

if TYPE_CHECKING:
    from sumachook.nodes.core import Core


class CoreTick:
    """Ticks every component of a core in a fixed order, with the leases that this core holds at that point.

    Each step is guarded by itself: one that fails drops no effects of the others.
    """

    __slots__ = ("core", "is_fresh", "is_leading")

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.is_fresh = False
        self.is_leading = False

    def take(self, event: Tick, now: timedelta) -> list[Any]:
        """Runs one tick and returns its effects; ends with `Exit` once a shutdown is complete."""
        core, guard = self.core, self.core.guard
        effects = guard.run(STATE, lambda: core.resume_if_complete(now), event, now)
        self.is_fresh = core.is_fresh(now)
        self.is_leading = core.is_participating and core.consensus.role is Role.LEADING
        for step in (
            self._tick_membership,
            self._tick_consensus,
            self._tick_replica_store,
            self._tick_clock,
            self._tick_leases,
            self._tick_source,
            self._tick_placer,
            self._tick_provisioner,
            self._tick_inventory_reader,
            self._tick_outlier_detector,
            self._tick_retry_broker,
            self._tick_quota_lease_issuer,
            self._tick_api,
        ):
            effects += guard.run(ROUTING, partial(step, now), event, now)
            if guard.has_stopped:
                return effects
        end = core.shutdown.step(now)
        return [*effects, *guard.run("api", core.api.close, event, now), *end] if end else effects

    def _tick_membership(self, now: timedelta) -> list[Any]:
        core = self.core
        feed_number = core.state.number if self.is_fresh else 0
        return core.guard.take("membership", membership_events.Tick(feed_number), now)

    def _tick_consensus(self, now: timedelta) -> list[Any]:
        core = self.core
        if not core.is_participating:
            return []
        return core.guard.take("consensus", consensus_events.Tick(core.peers.core_addresses()), now)

    def _tick_replica_store(self, now: timedelta) -> list[Any]:
        core = self.core
        if not core.is_disk_available:
            return []
        store_tick = StoreTick(core.peers.restart_epochs(), core.state.voting_members)
        return core.guard.take("replica_store", store_tick, now)

    def _tick_clock(self, now: timedelta) -> list[Any]:
        self.core.cluster_clock.on_tick(now)
        return []

    def _tick_leases(self, now: timedelta) -> list[Any]:
        return self.core.guard.take("leases", lease_events.Tick(self.is_fresh, self.is_leading), now)

    def _tick_source(self, now: timedelta) -> list[Any]:
        return self.core.guard.take("source", Tick(), now)

    def _tick_placer(self, now: timedelta) -> list[Any]:
        core = self.core
        return core.guard.take("placer", LeaseTick(core.leases.holds("placer", now)), now)

    def _tick_provisioner(self, now: timedelta) -> list[Any]:
        core = self.core
        lease_tick = LeaseTick(core.leases.holds("placer", now), core.peers.edge_addresses())
        return core.guard.take("provisioner", lease_tick, now)

    def _tick_inventory_reader(self, now: timedelta) -> list[Any]:
        return self.core.guard.take("inventory_reader", InventoryTick(self.is_fresh, self.is_leading), now)

    def _tick_outlier_detector(self, now: timedelta) -> list[Any]:
        core = self.core
        return core.guard.take("outlier_detector", outlier_events.Tick(core.leases.holds("placer", now)), now)

    def _tick_retry_broker(self, now: timedelta) -> list[Any]:
        core = self.core
        return core.guard.take("retry_broker", BrokerTick(core.leases.holds("accountant", now)), now)

    def _tick_quota_lease_issuer(self, now: timedelta) -> list[Any]:
        core = self.core
        return core.guard.take("quota_lease_issuer", IssuerTick(core.leases.holds("accountant", now)), now)

    def _tick_api(self, now: timedelta) -> list[Any]:
        core = self.core
        return core.guard.run(
            "api", lambda: core.api.tick(core.peers.alive_edges(), core.source.confirmed, now), Tick(), now
        )
