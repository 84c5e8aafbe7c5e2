"""Tuning constants of the provisioner."""

from dataclasses import dataclass
from datetime import timedelta

MS = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class LeasePolicy:
    """Lifetime of the placement lease, and the intervals of its holder's periodic work."""

    lease: timedelta = MS * 150
    """Time that the lease lasts after a tick: three ticks, which end well before another core can acquire it."""
    tick_interval: timedelta = MS * 50
    """Interval of the ticks; a call that is due earlier schedules a wake-up."""
    replication_interval: timedelta = MS * 250
    """Interval at which the target number of replicas of each model is evaluated."""
    replication_delay: timedelta = MS * 1000
    """Delay of the first evaluation after a lease starts, so that servers and edges have reported before it."""
    expiry_interval: timedelta = MS * 1000
    """Interval at which expired demand and placement requests are dropped."""
    superseded_for: timedelta = MS * 4000
    """Time without orders after a server saw a higher fencing token; a replaced holder has lost its lease by then."""
    first_snapshot_within: timedelta = MS * 700
    """Time after which a new lease holder publishes a snapshot even if some servers have not reported."""


@dataclass(frozen=True, slots=True)
class CallPolicy:
    """Timeouts, polling intervals and retry delays of calls to engine servers."""

    connect_timeout: timedelta = MS * 250
    """Connect timeout; servers are in the same network, so a connection that takes longer will not succeed."""
    total_timeout: timedelta = MS * 600
    """Total timeout; a server acknowledges an order before it carries it out, so a later response counts as lost."""
    outcome_within: timedelta = MS * 3000
    """Time after which a call without any outcome counts as failed: far above `total_timeout`, so it was lost."""
    poll_interval: timedelta = MS * 28
    """Interval between polls of an order that should be complete by now: a small part of the shortest load."""
    poll_interval_late: timedelta = MS * 56
    """Poll interval once the order is late by `late_after`."""
    poll_interval_very_late: timedelta = MS * 112
    """Poll interval once the order is late by `very_late_after`."""
    late_after: timedelta = MS * 100
    very_late_after: timedelta = MS * 400
    report_lag: timedelta = MS * 300
    """Maximum age of the contents of a report: one that must show a change is requested this long after it."""
    report_retry_busy: timedelta = MS * 100
    """Delay before the next report request to a server that only reported being busy."""
    report_retry_unreachable: timedelta = MS * 500
    """Delay before the next report request to a server that did not respond or rejected an order."""
    report_retry_replaced: timedelta = MS * 5000
    """Delay before the next report request to a server at whose address another one answered."""
    busy_allowance_factor: float = 5.0
    """An accepted order may report busy for this multiple of its expected duration plus `busy_allowance`."""
    busy_allowance: timedelta = MS * 2000
    """Fixed part of the time that an accepted order may report busy; after it the provisioner requests a report."""
    recheck_after: timedelta = MS * 1000
    """Minimum age of a replica before a request for it makes the server report: the edge's update may be in transit."""
    first_unload_estimate: timedelta = MS * 20
    """Initial estimate of the duration of an unload or an adapter order."""
    store_overhead: timedelta = MS * 4
    """Added to the configured load time for the initial estimate of a load from the weight store."""
    disk_load_fraction: float = 0.5
    """Fraction of the configured load time that is the initial estimate of a load from the server's own disk."""


@dataclass(frozen=True, slots=True)
class ScoringPolicy:
    """Weights for the cost of a candidate server for a load; costs are seconds of request waiting time."""

    eviction_of_running: float = 1.5
    """Cost of evicting a model with running requests, as the unload waits for them."""
    eviction_of_busier: float = 5.0
    """Cost of evicting the only replica of a model with a higher request rate than the one to load."""
    only_replica_loads: float = 3.3
    """Cost of evicting a model's only replica, multiplied by its load time and request rate."""
    shared_replica_loads: float = 0.67
    """Cost of evicting one of several replicas, times load time and request rate, divided by the replica count."""
    disk_load_fraction: float = 0.42
    """Fraction of the configured load time that a load from local disk takes, until one has been observed."""
    adapter_eviction: float = 0.1
    """Cost of evicting one adapter, which can be reloaded within a few milliseconds."""
    acceptable_cost: float = 1.5
    """Eviction cost that is acceptable for a requested model without any wait."""
    acceptable_cost_per_load: float = 1.8
    """Added to the acceptable cost per load time that the request has waited."""
    acceptable_cost_per_load_squared: float = 0.72
    """Added to the acceptable cost per squared load time of waiting, so that no request waits forever."""
    waiting_rate: float = 0.3
    """Request rate, per second, that one waiting request counts as."""
    catalogue_order_loads: float = 0.8
    """Value of the catalogue's first model at startup, in load times: operators list the busiest models first."""
    catalogue_order_decay: timedelta = timedelta(seconds=20)
    """Time after the first request over which the weight of the catalogue order decays to zero."""
    predicted_loads: float = 2.0
    """Cost of evicting the only replica of a model that is likely to be requested next, in load times."""
    eviction_of_recently_used: float = 0.2
    """Cost of evicting a model that was requested within the last second."""
    blocked_adapters: float = 0.05
    """Cost per request per second of the server's models with adapters: a load blocks adapter loads there."""
    replica_in_same_zone: float = 0.3
    """Cost per other replica in the same zone, as a whole zone may fail."""
    load_on_server: float = 0.02
    """Cost per request per second that the server already handles."""
    per_eviction: float = 0.05
    """Cost per model or adapter that must be unloaded first."""


@dataclass(frozen=True, slots=True)
class ReplicaPolicy:
    """Thresholds for the number of replicas of each model, and the eviction costs that they justify."""

    rate_per_replica: float = 22.0
    """Requests per second that one replica is meant to handle."""
    slots_fraction: float = 0.5
    """Fraction of an engine's concurrent requests; this many of one model justify one replica."""
    busy_rate: float = 1.0
    """Requests per second below which a model never counts as busy."""
    busy_share: float = 0.04
    """Share of all requests from which a model counts as busy."""
    min_replica_rate: float = 0.3
    """Requests per second from which a model should have at least one replica."""
    overloaded_share: float = 0.1
    """Share of all requests from which a model should not depend on a single replica."""
    rising_ratio: float = 1.2
    """Ratio of predicted to present request rate above which demand counts as rising."""
    popular_share: float = 0.02
    """Share of all requests from which a model counts as popular when predicting the next ones."""
    busiest_fraction: float = 0.3
    """Fraction of all model slots; this many of the busiest models may have a second replica."""
    predicted_cost_loads: float = 1.3
    """Acceptable eviction cost for a replica of a model that is likely to be requested next, in load times."""
    overloaded_cost_loads: float = 0.42
    """Acceptable eviction cost for another replica of an overloaded model, in load times multiplied by its rate."""
    adapter_rate: float = 0.5
    """Requests per second from which an adapter should have a second replica."""
    running_per_adapter_replica: int = 12
    """Running requests of an adapter per additional replica."""
    adapters_considered: int = 12
    """Number of the busiest adapters that one evaluation considers."""
    adapter_eviction_ratio: float = 4.0
    """Minimum ratio of request rates for evicting one adapter in favour of another."""


LEASE = LeasePolicy()
CALLS = CallPolicy()
SCORING = ScoringPolicy()
REPLICAS = ReplicaPolicy()
