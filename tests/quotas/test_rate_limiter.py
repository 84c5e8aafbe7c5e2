"""The rate limiter alone: leases by the clock, fences, and what is given back."""

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


def _limiter(now, **more):
    """A router that has learned who lends, with a request that waits for an answer; its number, and the call."""
    state = SimpleNamespace(
        generation=1, catalogue=SimpleNamespace(tenants=(tenant(requests_per_s=20.0, **more),), capacity=Capacity())
    )
    rate_limiter = RateLimiter(state, 1, now)
    rate_limiter.take(LimiterTick("core-1", ("core-1",), (), 4), now)
    (send,) = rate_limiter.take(_asked(1), now)
    return rate_limiter, send.message.number


def _give(rate_limiter, number, now, fence=1, answers=(True,), requests=5.0):
    response = LeaseResponse(fence, number, {"shops": LeaseGrant(answers, requests, 0.0, 0.5, 3, 0)})
    return [
        effect
        for effect in rate_limiter.take(MessageReceived("core-1", "core-1", response), now)
        if isinstance(effect, AdmissionDecision)
    ]


def _call(number):
    return AdmissionKey(Pipeline.PROXY, number)


def _asked(number):
    return AdmissionRequested(_call(number), "shops", 0, SECOND * 2)


def test_a_lease_ends_by_the_clock_from_when_it_was_asked_for():
    """Given an answer that was 0.3 s under way, what it lends ahead is over 0.4 s after the question, not after the answer; given one that was 0.5 s
    under way, it lends nothing at all."""
    now = SECOND * 100
    rate_limiter, number = _limiter(now)
    assert _give(rate_limiter, number, now + SECOND * 0.3) == [AdmissionGranted(_call(1), False)]
    assert rate_limiter.take(_asked(2), now + SECOND * 0.39)[0] == AdmissionGranted(_call(2), False)
    assert AdmissionGranted(_call(3), False) not in rate_limiter.take(_asked(3), now + SECOND * 0.41)
    late, number = _limiter(now)
    assert _give(late, number, now + SECOND * 0.5) == [] and late.quotas["shops"].available == (0, 0)


def test_response_under_an_older_fence_is_ignored():
    """Given an answer under a fence, one under a lower fence lends nothing any more."""
    now = SECOND * 100
    rate_limiter, number = _limiter(now)
    assert _give(rate_limiter, number, now, fence=3, requests=0.0) == [AdmissionGranted(_call(1), False)]
    (send,) = rate_limiter.take(_asked(2), now)
    number = send.message.number
    assert _give(rate_limiter, number, now, fence=2) == [] and rate_limiter.quotas["shops"].available == (0, 0)


def test_unused_lease_goes_back_to_the_issuer_once():
    """Given five requests lent ahead of which none is spent, after the lease they are given back with the next question, and not again."""
    now = SECOND * 100
    rate_limiter, number = _limiter(now)
    _give(rate_limiter, number, now)
    rate_limiter.take(LimiterTick("core-1", ("core-1",), (), 4), now + SECOND * 0.1)
    later = rate_limiter.take(LimiterTick("core-1", ("core-1",), (), 4), now + SECOND * 0.45)
    sent = [effect.message for effect in later if isinstance(effect, Send)]
    requests = [message for message in sent if isinstance(message, LeaseRequest)]
    backs = [request.demands["shops"].returned_requests for request in requests]
    assert backs == [5.0] and rate_limiter.quotas["shops"].returned == NOTHING


def test_an_edge_that_is_alone_asks_the_same_few_others():
    """Given an edge among eighty that has no issuer, its requests beyond its own part are asked of eight others, the same ones each time.

    Seen before: each of eighty edges asked all others for each request that waited while the accountant was away."""
    now = SECOND * 100
    limiter, _ = _limiter(now)
    peers = tuple(f"edge-{number}" for number in range(2, 81))
    limiter.take(LimiterTick(None, ("core-1",), peers, 80), now + SECOND)
    asked = []
    for turn in range(2, 6):
        effects = limiter.take(_asked(turn), now + SECOND * turn)
        asked.append([effect.address for effect in effects if isinstance(effect, Send)])
    assert len(set(asked[0])) == 8 and asked.count(asked[0]) == len(asked)
