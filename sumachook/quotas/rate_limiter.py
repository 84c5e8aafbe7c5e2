"""The rate limiter: admits tenants' requests at an edge against leases from the issuer."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any, NamedTuple

from sumachook.host.effects import Effect, Send
from sumachook.host.events import Event, MessageReceived
from sumachook.quotas.amounts import NOTHING, UNBOUND, Amounts, rounded_or_none
from sumachook.quotas.effects import AdmissionDecision, AdmissionDenied, AdmissionGranted
from sumachook.quotas.events import AdmissionKey, AdmissionRequested, LimiterTick, UsageSettled
from sumachook.quotas.messages import (
    BorrowRequest,
    BorrowResponse,
    LeaseDemand,
    LeaseGrant,
    LeaseRequest,
    LeaseResponse,
    UsageReport,
)
from sumachook.quotas.pending_admission import PendingAdmission
from sumachook.quotas.tenant_quota import Lease, TenantQuota
from sumachook.quotas.terms import QuotaTerms

Output = Effect | AdmissionDecision

MILLISECOND = timedelta(milliseconds=1)

# leases
LEASE = MILLISECOND * 400  # lease duration, counted from when the request was sent
REQUEST_INTERVAL = MILLISECOND * 100  # minimum interval between requests while one is unanswered
ISSUER_TIMEOUT = MILLISECOND * 200  # time without a response from the issuer after which the edge enters local mode
PROBE_INTERVAL = MILLISECOND * 200  # interval between probes of the issuer in local mode
EXHAUSTED_FOR = MILLISECOND * 100  # after a denial, further requests are denied without asking the issuer
MAX_PENDING = 512  # maximum number of pending requests per tenant
MAX_PENDING_PER_MESSAGE = 64
MIN_PROBE_DEMAND_PER_S = 0.1  # tenants with less demand are left out of probes

# leases prefetched ahead of demand
PREFETCH_S = 0.15  # seconds of demand to prefetch
PREFETCH_INTERVAL = MILLISECOND * 50

# maximum wait of a pending request: a fraction of its patience, capped at the two limits below
PATIENCE_PART = 0.35
MAX_ISSUER_WAIT = MILLISECOND * 400
MAX_BORROW_WAIT = MILLISECOND * 100

# borrowing from other edges
BORROW_INTERVAL = MILLISECOND * 50
BORROW_LIFETIME = MILLISECOND * 1000  # borrow responses that arrive later are ignored
MAX_LENDERS = 8  # edges asked per borrow request, so that the cost does not grow with the number of edges

REPORT_INTERVAL = MILLISECOND * 1000
MIN_RETRY_AFTER_S = 0.1

# Request numbers start at the restart epoch, a time in milliseconds, shifted by these bits: no later run of this node
# reuses a number, and all numbers fit in 63 bits.
RESTART_EPOCH_BITS = 16


class OpenRequest(NamedTuple):
    """An unanswered `LeaseRequest` and, by tenant, the pending requests in it with their tokens."""

    sent_at: timedelta
    pending: dict[str, list[tuple[AdmissionKey, int]]]


class RateLimiter:
    """Admits tenants' requests immediately from unexpired leases, and otherwise requests leases from the issuer.

    Without an issuer (`is_local_mode`) each edge uses an equal part of every tenant's floor, and edges lend each other
    the part that they do not need.
    """

    __slots__ = (
        "state",
        "generation",
        "quotas",
        "number",
        "open_requests",
        "borrow_requests",
        "is_local_mode",
        "fence",
        "issuer",
        "cores",
        "peers",
        "edge_count",
        "ticked_at",
        "probe_at",
        "report_at",
        "lender_offset",
    )

    def __init__(self, state: Any, restart_epoch: int, now: timedelta):
        self.state = state
        self.generation = -1
        self.quotas: dict[str, TenantQuota] = {}
        self.number = restart_epoch << RESTART_EPOCH_BITS
        self.open_requests: dict[int, OpenRequest] = {}
        self.borrow_requests: dict[int, timedelta] = {}  # send time of each borrow request by its number
        self.is_local_mode = False
        self.fence = 0
        self.issuer: str | None = None
        self.cores: tuple[str, ...] = ()
        self.peers: tuple[str, ...] = ()
        self.edge_count = 0
        self.ticked_at = now
        self.probe_at = now
        self.report_at = now
        self.lender_offset = restart_epoch

    def take(self, event: Event, now: timedelta) -> Sequence[Output]:
        """Handles an event and returns its effects and admission decisions; `now` is monotonic time."""
        match event:
            case AdmissionRequested():
                return self._refresh_terms(now) + self._handle_admission_requested(event, now)
            case UsageSettled():
                self._handle_usage_settled(event)
                return []
            case LimiterTick():
                return self._handle_tick(event, now)
            case MessageReceived(message=LeaseResponse()):
                return self._on_lease_response(event.message, now)
            case MessageReceived(message=BorrowRequest()):
                return self._on_borrow_request(event.address, event.message, now)
            case MessageReceived(message=BorrowResponse()):
                return self._on_borrow_response(event.message, now)
        raise TypeError(f"unexpected event for the rate limiter: {event!r}")

    def _refresh_terms(self, now: timedelta) -> list[Output]:
        """Applies a changed configuration; pending requests of a tenant that no longer has a quota are admitted."""
        if self.generation == self.state.generation:
            return []
        self.generation = self.state.generation
        terms = QuotaTerms.by_tenant(self.state.catalogue)
        outputs: list[Output] = [
            AdmissionGranted(key, False)
            for name, quota in self.quotas.items()
            if name not in terms
            for key in quota.pending
        ]
        self.quotas = {name: self.quotas.get(name) or TenantQuota(item, now) for name, item in terms.items()}
        for name, quota in self.quotas.items():
            quota.set_terms(terms[name], self.edge_count)
        return outputs

    # requests ----------------------------------------------------------------------

    def _handle_admission_requested(self, event: AdmissionRequested, now: timedelta) -> list[Output]:
        key, tokens = event.key, event.tokens
        quota = self.quotas.get(event.tenant)
        if quota is None:
            return [AdmissionGranted(key, False)]
        quota.note_request(tokens)
        quota.expire_leases(now, LEASE)
        if not quota.pending:
            if quota.spend(tokens):
                needs_more = self._prefetch_amounts(quota, now).requests
                return self._grant(quota, key, tokens) + (self._request_leases(now) if needs_more else [])
            if self.is_local_mode and quota.spend_local(tokens, now):
                return self._grant(quota, key, tokens)
        if now < quota.exhausted_until or len(quota.pending) >= MAX_PENDING:
            return self._deny(quota, key)
        max_wait = event.patience * PATIENCE_PART
        if not self.is_local_mode:
            quota.pending[key] = PendingAdmission(tokens, now + min(MAX_ISSUER_WAIT, max_wait))
            return self._request_leases(now)
        if not self.peers:
            quota.retry_after_s = quota.local.seconds_until(1, tokens)
            return self._deny(quota, key)
        quota.pending[key] = PendingAdmission(tokens, now + min(MAX_BORROW_WAIT, max_wait))
        return self._borrow(quota, now)

    def _handle_usage_settled(self, event: UsageSettled) -> None:
        """Refunds the amount that a request was charged beyond its actual usage."""
        quota = self.quotas.get(event.tenant)
        if quota is None or quota.pending.pop(event.key, None) is not None:
            return
        quota.charged_total -= event.tokens
        quota.admitted_total -= event.requests
        quota.add_returned(event.requests, event.tokens)
        if self.is_local_mode:
            quota.local.add(event.requests, event.tokens)
            quota.returned = NOTHING

    def _grant(self, quota: TenantQuota, key: AdmissionKey, tokens: int) -> list[Output]:
        quota.admitted_total += 1
        quota.charged_total += tokens
        return [AdmissionGranted(key, False)]

    def _deny(self, quota: TenantQuota, key: AdmissionKey) -> list[Output]:
        quota.refused += 1
        if quota.terms.yields:
            quota.yielded_total += 1
            return [AdmissionGranted(key, True)]
        quota.refused_total += 1
        used_requests, used_tokens = quota.used
        record_fields = {
            "tenant": quota.terms.name,
            "allowance": quota.terms.describe_ceiling(),
            "used": {"requestsPerS": used_requests, "tokensPerS": used_tokens},
        }
        reason = f"tenant {quota.terms.name} is over its allowance"
        return [AdmissionDenied(key, reason, max(MIN_RETRY_AFTER_S, quota.retry_after_s), record_fields)]

    def _admit_pending(self, quota: TenantQuota, spend: Callable[[int], bool]) -> list[Output]:
        """Admits pending requests in arrival order until `spend` fails for one."""
        outputs: list[Output] = []
        for key, pending in list(quota.pending.items()):
            if not spend(pending.tokens):
                break
            del quota.pending[key]
            outputs += self._grant(quota, key, pending.tokens)
        return outputs

    # the issuer --------------------------------------------------------------------

    def _request_leases(self, now: timedelta, is_tick: bool = False, is_probe: bool = False) -> list[Output]:
        """Sends the demand of all tenants in one message unless one is in flight; adds non-urgent updates on ticks."""
        if self.issuer is None or any(now - each.sent_at < REQUEST_INTERVAL for each in self.open_requests.values()):
            return []
        demands: dict[str, LeaseDemand] = {}
        pending: dict[str, list[tuple[AdmissionKey, int]]] = {}
        for name, quota in self.quotas.items():
            sent_pending = [(key, each.tokens) for key, each in list(quota.pending.items())[:MAX_PENDING_PER_MESSAGE]]
            ahead = self._prefetch_amounts(quota, now)
            if not (sent_pending or ahead.requests or (is_tick and _needs_update(quota, is_probe))):
                continue
            if ahead.requests:
                quota.next_prefetch_at = now + PREFETCH_INTERVAL
            demands[name] = LeaseDemand(
                [tokens for _, tokens in sent_pending],
                *ahead,
                quota.demand_per_s + quota.request_count,
                quota.refused,
                *quota.returned,
            )
            pending[name] = sent_pending
            quota.refused = 0
            quota.returned = NOTHING
        if not demands and not is_probe:
            return []
        self.number += 1
        self.open_requests[self.number] = OpenRequest(now, pending)
        return [Send(self.issuer, LeaseRequest(self.number, demands))]

    def _prefetch_amounts(self, quota: TenantQuota, now: timedelta) -> Amounts:
        """Returns the amounts to prefetch for `PREFETCH_S` seconds of demand, 0 while leases still cover half of it."""
        wanted = int(quota.demand_per_s * PREFETCH_S)
        available = quota.available[0]
        is_too_soon = now < max(quota.exhausted_until, quota.next_prefetch_at)
        if wanted < 1 or available * 2 >= wanted or is_too_soon or self.is_local_mode:
            return Amounts(0, 0.0)
        missing = wanted - int(available)
        return Amounts(missing, missing * quota.tokens_per_request)

    def _on_lease_response(self, message: LeaseResponse, now: timedelta) -> list[Output]:
        if message.fence < self.fence or message.number not in self.open_requests:
            return []
        self.fence = message.fence
        self.is_local_mode = False
        answered = self.open_requests.pop(message.number)
        # this response supersedes requests sent earlier
        self.open_requests = {number: each for number, each in self.open_requests.items() if number > message.number}
        is_expired = now - answered.sent_at >= LEASE
        outputs: list[Output] = []
        for name, grant in message.grants.items():
            quota = self.quotas.get(name)
            if quota is not None and not is_expired:
                outputs += self._apply_grant(quota, grant, answered.pending.get(name, []), now)
                if grant.requests:
                    quota.leases.append(Lease(grant.requests, grant.tokens, answered.sent_at + LEASE))
        for quota in self.quotas.values():
            outputs += self._admit_pending(quota, quota.spend)
        return outputs + self._request_leases(now)

    def _apply_grant(
        self, quota: TenantQuota, grant: LeaseGrant, sent_pending: list[tuple[AdmissionKey, int]], now: timedelta
    ) -> list[Output]:
        quota.retry_after_s = grant.retry_after_s
        quota.used = (grant.used_requests, grant.used_tokens)
        if not all(grant.decisions):
            quota.exhausted_until = now + EXHAUSTED_FOR
        outputs: list[Output] = []
        for (key, tokens), is_granted in zip(sent_pending, grant.decisions, strict=False):
            if quota.pending.pop(key, None) is None:  # already decided while the request was in flight
                quota.add_returned(int(is_granted), tokens if is_granted else 0)
            elif is_granted:
                outputs += self._grant(quota, key, tokens)
            else:
                outputs += self._deny(quota, key)
        return outputs

    # borrowing from other edges, while there is no issuer ---------------------------

    def _borrow(self, quota: TenantQuota, now: timedelta) -> list[Output]:
        """Requests unused parts of the tenant's floor from other edges, at most once per `BORROW_INTERVAL`."""
        if now < quota.next_borrow_at or not self.peers:
            return []
        quota.next_borrow_at = now + BORROW_INTERVAL
        self.number += 1
        self.borrow_requests[self.number] = now
        ahead = quota.demand_per_s * PREFETCH_S
        tokens = sum(pending.tokens for pending in quota.pending.values())
        wanted = Amounts(len(quota.pending) + ahead, tokens + ahead * quota.tokens_per_request)
        message = BorrowRequest(self.number, {quota.terms.name: wanted})
        return [Send(peer, message) for peer in self._lenders()]

    def _lenders(self) -> tuple[str, ...]:
        """Returns the edges to borrow from, the same subset each time, since each one costs a connection."""
        if len(self.peers) <= MAX_LENDERS:
            return self.peers
        first = self.lender_offset % len(self.peers)
        return (self.peers + self.peers)[first : first + MAX_LENDERS]

    def _on_borrow_request(self, address: str, message: BorrowRequest, now: timedelta) -> list[Output]:
        outputs = self._refresh_terms(now)
        lent: dict[str, Amounts] = {}
        for name, wanted in message.wanted.items():
            quota = self.quotas.get(name)
            if quota is None or quota.pending:
                continue
            quota.local.refill(now)
            spare = self._spare(quota, wanted)
            if any(spare):
                quota.local.withdraw(*spare)  # before sending: a lost message may lose quota but never duplicates it
                lent[name] = spare
        return [*outputs, Send(address, BorrowResponse(message.number, lent))] if lent else outputs

    def _spare(self, quota: TenantQuota, wanted: Amounts) -> Amounts:
        """Returns how much of `wanted` this edge can lend while keeping `PREFETCH_S` seconds of its own demand."""
        ahead = quota.demand_per_s * PREFETCH_S if self.is_local_mode else 0.0
        kept = Amounts(ahead, ahead * quota.tokens_per_request)
        figures = zip(wanted, quota.local.levels, kept, quota.local.capacity, strict=True)
        return Amounts(
            *(
                0.0 if capacity == UNBOUND else max(0.0, min(amount, level - own))
                for amount, level, own, capacity in figures
            )
        )

    def _on_borrow_response(self, message: BorrowResponse, now: timedelta) -> list[Output]:
        sent_at = self.borrow_requests.get(message.number)
        if sent_at is None or now - sent_at >= BORROW_LIFETIME:
            return []
        outputs: list[Output] = []
        for name, amounts in message.lent.items():
            if name in self.quotas:
                quota = self.quotas[name]
                quota.add_borrowed(amounts)
                outputs += self._admit_pending_locally(quota, now)
        return outputs

    def _admit_pending_locally(self, quota: TenantQuota, now: timedelta) -> list[Output]:
        """Admits pending requests from this edge's part of the floor, including borrowed amounts."""
        return self._admit_pending(quota, lambda tokens: quota.spend_local(tokens, now))

    # ticks -------------------------------------------------------------------------

    def _handle_tick(self, tick: LimiterTick, now: timedelta) -> list[Output]:
        is_new_count = tick.edge_count != self.edge_count
        self.issuer = tick.issuer
        self.cores = tick.cores
        self.peers = tick.peers
        self.edge_count = tick.edge_count
        outputs = self._refresh_terms(now)
        seconds = (now - self.ticked_at).total_seconds()
        self.ticked_at = now
        if not self.quotas:
            return outputs
        was_local_mode = self.is_local_mode
        self._watch_issuer(now)
        for quota in self.quotas.values():
            if is_new_count:
                quota.set_terms(quota.terms, self.edge_count)
            quota.update_demand(seconds)
            quota.expire_leases(now, LEASE)
            if self.is_local_mode and quota.pending:
                outputs += self._admit_pending_locally(quota, now)
                outputs += self._borrow(quota, now) if quota.pending else []
            outputs += self._decide_overdue(quota, now)
        if not self.is_local_mode:
            outputs += self._request_leases(now, is_tick=True)
        elif now >= self.probe_at or not was_local_mode:
            self.probe_at = now + PROBE_INTERVAL
            outputs += self._request_leases(now, is_tick=True, is_probe=True)
        return outputs + self._report(now)

    def _watch_issuer(self, now: timedelta) -> None:
        oldest = min((each.sent_at for each in self.open_requests.values()), default=now)
        self.is_local_mode = self.is_local_mode or self.issuer is None or now - oldest > ISSUER_TIMEOUT
        self.open_requests = {number: each for number, each in self.open_requests.items() if now - each.sent_at < LEASE}
        self.borrow_requests = {
            number: sent_at for number, sent_at in self.borrow_requests.items() if now - sent_at < BORROW_LIFETIME
        }

    def _decide_overdue(self, quota: TenantQuota, now: timedelta) -> list[Output]:
        """Decides pending requests whose deadline has passed from this edge's part of the floor."""
        outputs: list[Output] = []
        for key, pending in list(quota.pending.items()):
            if now < pending.decide_by:
                continue
            del quota.pending[key]
            if quota.spend_local(pending.tokens, now):
                outputs += self._grant(quota, key, pending.tokens)
            else:
                quota.exhausted_until = now + EXHAUSTED_FOR
                quota.retry_after_s = quota.local.seconds_until(1, pending.tokens)
                outputs += self._deny(quota, key)
        return outputs

    def _report(self, now: timedelta) -> list[Output]:
        if now < self.report_at:
            return []
        seconds = (now - self.report_at + REPORT_INTERVAL).total_seconds()
        self.report_at = now + REPORT_INTERVAL
        for quota in self.quotas.values():
            quota.requests_per_s = quota.reported_count / seconds
            quota.reported_count = 0
        return [Send(core, UsageReport(self.describe())) for core in self.cores]

    def describe(self) -> dict[str, dict[str, Any]]:
        """Returns the quota usage of this edge by tenant, as shown to operators."""
        return {
            name: {
                "lent": quota.available,
                "own": [rounded_or_none(level) for level in quota.local.levels],
                "isAlone": self.is_local_mode,
                "admitted": quota.admitted_total,
                "tokens": quota.charged_total,
                "refused": quota.refused_total,
                "yielded": quota.yielded_total,
                "waiting": len(quota.pending),
                "requestsPerS": round(quota.requests_per_s, 2),
            }
            for name, quota in self.quotas.items()
        }


def _needs_update(quota: TenantQuota, is_probe: bool) -> bool:
    """Returns whether the issuer needs an update on a tenant for which the edge requests no lease."""
    has_returned = quota.returned.requests >= 1 or quota.returned.tokens >= 1
    return bool(quota.refused) or has_returned or (is_probe and quota.demand_per_s > MIN_PROBE_DEMAND_PER_S)
