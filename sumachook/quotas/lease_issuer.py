"""The lease issuer: grants edges leases on requests and tokens from tenants' quotas."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Any

from sumachook.host.effects import Effect, Log, Send
from sumachook.host.events import Event
from sumachook.quotas.amounts import NO_BOUNDS, NOTHING, UNBOUND, Amounts, rounded_or_none
from sumachook.quotas.bucket import SECOND, Bucket
from sumachook.quotas.events import IssuerTick, LeaseRequestReceived
from sumachook.quotas.messages import LeaseDemand, LeaseGrant, LeaseResponse
from sumachook.quotas.tenant_budget import IssuedGrant, ReportedDenials, TenantBudget
from sumachook.quotas.terms import QuotaTerms

# warning about a tenant whose requests are denied for a long time
DENIALS_OVER_AFTER = timedelta(seconds=2)  # the tenant counts as below its ceiling after this time without a denial
WARN_AFTER = timedelta(seconds=30)
WARN_INTERVAL = timedelta(minutes=1)

# bounds of the retry delay given to a denied request
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0

MAX_PREFETCH_PART = 0.5  # maximum fraction of the available amount that a single prefetch may take


class QuotaLeaseIssuer:
    """Issues leases to edges while its core holds the accounting duty, under the fencing token of that duty."""

    __slots__ = ("state", "fence", "generation", "budgets", "pool")

    def __init__(self, state: Any, now: timedelta):
        self.state = state
        self._start(0, now)

    def _start(self, fence: int, now: timedelta) -> None:
        self.fence = fence
        self.generation = -1
        self.budgets: dict[str, TenantBudget] = {}
        self.pool = Bucket(NO_BOUNDS, NO_BOUNDS, now)  # the configured capacity of all servers

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handles an event and returns its effects; `now` is monotonic time."""
        match event:
            case IssuerTick(fence):
                return self._warn(now) if self._has_duty(fence, now) else []
            case LeaseRequestReceived(fence=fence):
                return self._on_lease_request(event, now) if self._has_duty(fence, now) else []
        raise TypeError(f"unexpected event for the lease issuer: {event!r}")

    def _has_duty(self, fence: int, now: timedelta) -> bool:
        """Returns whether this core holds the accounting duty; resets all budgets when the fencing token changes."""
        if fence != self.fence:
            self._start(fence, now)
        if not fence:
            return False
        self._refresh_terms(now)
        return True

    def _refresh_terms(self, now: timedelta) -> None:
        if self.generation == self.state.generation:
            return
        self.generation = self.state.generation
        catalogue = self.state.catalogue
        terms = QuotaTerms.by_tenant(catalogue)
        self.budgets = {name: budget for name, budget in self.budgets.items() if name in terms}
        for name, tenant_terms in terms.items():
            if name in self.budgets:
                self.budgets[name].set_terms(tenant_terms)
            else:
                self.budgets[name] = TenantBudget(tenant_terms, now)
        capacity = _stated_capacity(catalogue)
        self.pool.set_bounds(capacity, capacity)

    # granting leases ---------------------------------------------------------------

    def _on_lease_request(self, event: LeaseRequestReceived, now: timedelta) -> list[Effect]:
        self.pool.refill(now)
        grants = {
            tenant: self._grant(self.budgets[tenant], event.sender, demand, now)
            for tenant, demand in event.message.demands.items()
            if tenant in self.budgets
        }
        return [Send(event.address, LeaseResponse(self.fence, event.message.number, grants))]

    def _grant(self, budget: TenantBudget, edge: str, demand: LeaseDemand, now: timedelta) -> LeaseGrant:
        budget.refill(now)
        budget.credit_returned(demand.returned_requests, demand.returned_tokens)
        self.pool.add(demand.returned_requests, demand.returned_tokens)
        if demand.refused:
            budget.recent_denials.append(ReportedDenials(now, demand.refused))
            budget.note_requested(demand.refused, demand.refused * _tokens_per_request(demand))
        share = budget.share_of(edge, demand.demand_per_s, now)
        decisions = [self._try_grant(budget, share, 1, tokens, now) for tokens in demand.pending_tokens]
        ahead = NOTHING
        if all(decisions) and demand.requests:
            ahead = self._grant_prefetch(budget, share, demand, now)
        if demand.refused or not all(decisions):
            budget.denied_since = budget.denied_since or now
            budget.denied_at = now
        retry_after_s = self._retry_after_s(budget, demand.pending_tokens)
        return LeaseGrant(decisions, ahead.requests, ahead.tokens, retry_after_s, *budget.used())

    def _grant_prefetch(self, budget: TenantBudget, share: Bucket, demand: LeaseDemand, now: timedelta) -> Amounts:
        """Grants part of the edge's expected demand in advance while leaving enough of the budget for other edges."""
        wanted = (demand.requests, demand.tokens)
        levels = zip(share.levels, budget.unreserved, budget.ceiling.levels, wanted, strict=True)
        parts = [
            min(max(own, MAX_PREFETCH_PART * unreserved), MAX_PREFETCH_PART * level) / amount
            for own, unreserved, level, amount in levels
            if amount
        ]
        count = int(demand.requests * max(0.0, min(1.0, *parts)))
        tokens = demand.tokens * count / demand.requests
        if count and self._try_grant(budget, share, count, tokens, now):
            return Amounts(float(count), tokens)
        return NOTHING

    def _try_grant(self, budget: TenantBudget, share: Bucket, requests: int, tokens: float, now: timedelta) -> bool:
        """Grants the amounts if allowed: within the floor whatever other tenants use, beyond it from spare capacity."""
        is_in_floor = budget.floor.covers(requests, tokens)
        if not budget.ceiling.covers(requests, tokens) or not (is_in_floor or self.pool.covers(requests, tokens)):
            return False
        unreserved = budget.unreserved
        is_free = unreserved.requests >= requests and unreserved.tokens >= min(tokens, budget.terms.burst.tokens / 2)
        if not (is_free or budget.is_within_floor or share.covers(requests, tokens)):
            return False
        budget.note_requested(requests, tokens)
        share.withdraw(min(requests, max(0.0, share.levels.requests)), min(tokens, max(0.0, share.levels.tokens)))
        budget.ceiling.withdraw(requests, tokens)
        self.pool.withdraw(requests, tokens)
        if is_in_floor:
            budget.floor.withdraw(requests, tokens)
        budget.recent_grants.append(IssuedGrant(now, requests, tokens))
        return True

    def _retry_after_s(self, budget: TenantBudget, pending_tokens: Sequence[int]) -> float:
        """Returns the seconds to refill the missing amounts and to serve all requests denied in the last second."""
        ahead = sum(denials.request_count for denials in budget.recent_denials)
        seconds = budget.ceiling.seconds_until(1, max(pending_tokens, default=0.0))
        if budget.terms.ceiling.requests != UNBOUND:
            seconds += ahead / budget.terms.ceiling.requests
        return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds)), 3)

    # operators ---------------------------------------------------------------------

    def describe(self, now: timedelta) -> dict[str, dict[str, Any]]:
        """Returns by tenant the bucket levels, the grants of the last second and the seconds spent at the ceiling."""
        return {
            name: {
                "levels": [rounded_or_none(level) for level in budget.ceiling.levels],
                "lent": budget.used(),
                "fullFor": round((now - budget.denied_since) / SECOND, 1) if budget.denied_since is not None else 0.0,
            }
            for name, budget in self.budgets.items()
        }

    def _warn(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        for name, budget in self.budgets.items():
            if budget.denied_since is None:
                continue
            if now - budget.denied_at > DENIALS_OVER_AFTER:
                budget.denied_since = None
                continue
            is_due = budget.warned_at is None or now - budget.warned_at > WARN_INTERVAL
            if now - budget.denied_since > WARN_AFTER and is_due:
                budget.warned_at = now
                seconds = round((now - budget.denied_since) / SECOND)
                fields = {"tenant": name, "seconds": seconds, "lent": budget.used()}
                effects.append(Log("warning", "allowance", "A tenant has been at its ceiling for over 30 s.", fields))
        return effects


def _stated_capacity(catalogue: Any) -> Amounts:
    stated = catalogue.capacity if catalogue is not None else None
    figures = (stated.requests_per_s, stated.tokens_per_s) if stated else (None, None)
    return Amounts(*(UNBOUND if figure is None else figure for figure in figures))


def _tokens_per_request(demand: LeaseDemand) -> float:
    """Estimates the tokens of a denied request as the mean over the requests in the same demand."""
    tokens: float = sum(demand.pending_tokens) + demand.tokens
    return tokens / max(1, len(demand.pending_tokens) + demand.requests)
