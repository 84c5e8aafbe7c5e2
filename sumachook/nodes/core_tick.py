"""Periodic work of a core, done at each tick."""

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from sumachook.consensus import events as consensus_events
from sumachook.consensus.views import Role
from sumachook.host.effects import Effect
from sumachook.host.events import Tick
from sumachook.leases import events as lease_events
from sumachook.ledger.events import StoreTick
from sumachook.membership import events as membership_events
from sumachook.outliers import events as outlier_events
from sumachook.placement.events import InventoryTick, LeaseTick
from sumachook.quotas.events import IssuerTick
from sumachook.retry_budget.events import BrokerTick

if TYPE_CHECKING:
    from sumachook.nodes.core import Core


class CoreTick:
    """Ticks every component of a core in a fixed order, with the leases that this core holds at that point."""

    __slots__ = ("core",)

    def __init__(self, core: "Core") -> None:
        self.core = core

    def take(self, event: Tick, now: timedelta) -> list[Any]:
        """Runs one tick and returns its effects; ends with `Exit` once a shutdown is complete."""
        core = self.core
        is_fresh = core.is_fresh(now)
        is_leading = core.is_disk_available and core.consensus.role is Role.LEADING
        effects = self._tick_replication(is_fresh, now)
        core.cluster_clock.on_tick(now)
        effects += core.leases.take(lease_events.Tick(is_fresh, is_leading), now)
        effects += core.source.take(event, now)
        effects += self._tick_placement(is_fresh, is_leading, now)
        effects += self._tick_accounting(now)
        effects += core.api.tick(core.peers.alive_edges(), core.source.confirmed, now)
        end = core.shutdown.step(now)
        return [*effects, *core.api.close(), *end] if end else effects

    def _tick_replication(self, is_fresh: bool, now: timedelta) -> list[Any]:
        """Ticks the membership and, while the disk accepts writes, consensus and the ledger's replica store."""
        core = self.core
        feed_number = core.state.number if is_fresh else 0
        effects: list[Any] = core.membership.take(membership_events.Tick(feed_number), now)
        if core.is_disk_available:
            effects += core.consensus.take(consensus_events.Tick(core.peers.core_addresses()), now)
            store_tick = StoreTick(core.peers.restart_epochs(), core.state.voting_members)
            effects += core.replica_store.take(store_tick, now)
        return effects

    def _tick_placement(self, is_fresh: bool, is_leading: bool, now: timedelta) -> list[Effect]:
        core = self.core
        fence = core.leases.holds("placer", now)
        effects = core.placer.take(LeaseTick(fence), now)
        effects += core.provisioner.take(LeaseTick(fence, core.peers.edge_addresses()), now)
        effects += core.inventory_reader.take(InventoryTick(is_fresh, is_leading), now)
        return effects + core.outlier_detector.take(outlier_events.Tick(fence), now)

    def _tick_accounting(self, now: timedelta) -> list[Effect]:
        core = self.core
        fence = core.leases.holds("accountant", now)
        return core.retry_broker.take(BrokerTick(fence), now) + core.quota_lease_issuer.take(IssuerTick(fence), now)
