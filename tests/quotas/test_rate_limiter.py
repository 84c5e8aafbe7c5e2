"""The rate limiter in isolation: lease expiry, fencing tokens, returned leases and borrowing."""

from types import SimpleNamespace

from sumachook.configuration.capacity import Capacity
from sumachook.host.effects import Send
from sumachook.host.events import MessageReceived
from sumachook.quotas.amounts import NOTHING
from sumachook.quotas.effects import AdmissionDecision, AdmissionGranted
from sumachook.quotas.events import AdmissionKey, AdmissionRequested, LimiterTick, Pipeline
from sumachook.quotas.messages import LeaseGrant, LeaseRequest, LeaseResponse
from sumachook.quotas.rate_limiter import RateLimiter
from tests.quotas.quota_fixtures import SECOND, tenant


def _limiter_with_pending_request(now, **more):
    """Returns a rate limiter that knows the issuer and has a pending request, and the number of its lease request."""
    state = SimpleNamespace(
        generation=1, catalogue=SimpleNamespace(tenants=(tenant(requests_per_s=20.0, **more),), capacity=Capacity())
    )
    rate_limiter = RateLimiter(state, 1, now)
    rate_limiter.take(LimiterTick("core-1", ("core-1",), (), 4), now)
    (send,) = rate_limiter.take(_admission_request(1), now)
    return rate_limiter, send.message.number


def _respond(rate_limiter, number, now, fence=1, answers=(True,), requests=5.0):
    response = LeaseResponse(fence, number, {"shops": LeaseGrant(answers, requests, 0.0, 0.5, 3, 0)})
    return [
        effect
        for effect in rate_limiter.take(MessageReceived("core-1", "core-1", response), now)
        if isinstance(effect, AdmissionDecision)
    ]


def _request_key(number):
    return AdmissionKey(Pipeline.PROXY, number)


def _admission_request(number):
    return AdmissionRequested(_request_key(number), "shops", 0, SECOND * 2)


def test_lease_expires_after_its_duration_from_the_request():
    """Given a response that took 0.3 s, its prefetched lease expires 0.4 s after the request, not after the response.
    Given a response that took 0.5 s, it provides no lease at all."""
    now = SECOND * 100
    rate_limiter, number = _limiter_with_pending_request(now)
    assert _respond(rate_limiter, number, now + SECOND * 0.3) == [AdmissionGranted(_request_key(1), False)]
    assert rate_limiter.take(_admission_request(2), now + SECOND * 0.39)[0] == AdmissionGranted(_request_key(2), False)
    assert AdmissionGranted(_request_key(3), False) not in rate_limiter.take(_admission_request(3), now + SECOND * 0.41)
    late, number = _limiter_with_pending_request(now)
    assert _respond(late, number, now + SECOND * 0.5) == [] and late.quotas["shops"].available == (0, 0)


def test_response_under_an_older_fence_is_ignored():
    """Given a response under one fencing token, a later response under a lower one provides no lease."""
    now = SECOND * 100
    rate_limiter, number = _limiter_with_pending_request(now)
    assert _respond(rate_limiter, number, now, fence=3, requests=0.0) == [AdmissionGranted(_request_key(1), False)]
    (send,) = rate_limiter.take(_admission_request(2), now)
    number = send.message.number
    assert _respond(rate_limiter, number, now, fence=2) == [] and rate_limiter.quotas["shops"].available == (0, 0)


def test_unused_lease_goes_back_to_the_issuer_once():
    """Given five prefetched requests of which none is used, they are returned with the next lease request after the lease
    has expired, and not a second time."""
    now = SECOND * 100
    rate_limiter, number = _limiter_with_pending_request(now)
    _respond(rate_limiter, number, now)
    rate_limiter.take(LimiterTick("core-1", ("core-1",), (), 4), now + SECOND * 0.1)
    later = rate_limiter.take(LimiterTick("core-1", ("core-1",), (), 4), now + SECOND * 0.45)
    sent = [effect.message for effect in later if isinstance(effect, Send)]
    requests = [message for message in sent if isinstance(message, LeaseRequest)]
    returned_amounts = [request.demands["shops"].returned_requests for request in requests]
    assert returned_amounts == [5.0] and rate_limiter.quotas["shops"].returned == NOTHING


def test_edge_in_local_mode_borrows_from_the_same_eight_edges():
    """Given one of eighty edges without an issuer, it sends each borrow request to the same eight other edges.

    Guards against a fault in which each of eighty edges asked all others for every pending request while there was no
    issuer."""
    now = SECOND * 100
    limiter, _ = _limiter_with_pending_request(now)
    peers = tuple(f"edge-{number}" for number in range(2, 81))
    limiter.take(LimiterTick(None, ("core-1",), peers, 80), now + SECOND)
    asked = []
    for turn in range(2, 6):
        effects = limiter.take(_admission_request(turn), now + SECOND * turn)
        asked.append([effect.address for effect in effects if isinstance(effect, Send)])
    assert len(set(asked[0])) == 8 and asked.count(asked[0]) == len(asked)
