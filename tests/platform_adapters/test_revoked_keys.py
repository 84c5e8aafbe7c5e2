"""Tests keys that are revoked while an edge handles their requests, and edges with a stale configuration (docs/design/forwarding.md)."""

import pytest

from sumachook.changefeed.trust import Trust
from sumachook.quotas.effects import AdmissionGranted
from sumachook.quotas.events import AdmissionRequested
from tests.forwarding.forwarding_fixtures import SECOND, TICK, Scene, event
from tests.platform_adapters.adapters import from_platform
from tests.platform_adapters.tenant_fixtures import (
    EAST,
    EAST_KEY,
    EAST_SECOND_KEY,
    ONCE,
    OPEN,
    PLAIN,
    STREAM,
    WEST,
    WEST_KEY,
    TenantScene,
)

SEAL = ("Sumachook-Server-Seal", "s.1")
NOT_RUN = ("Sumachook-Not-Run", "1")
EVENTS = ("Content-Type", "text/event-stream")
WITHOUT_EAST_KEY = {**EAST, "api-keys": [EAST_SECOND_KEY]}


class LateQuotaScene(TenantScene):
    """Leaves quota admission requests unanswered until `grant_all` is called."""

    def take_event(self, event):
        return Scene.take_event(self, event)

    def grant_all(self):
        for claim in [effect for effect in self.out if isinstance(effect, AdmissionRequested)]:
            self.take_event(AdmissionGranted(claim.key, False))


def server_event(scene, call, *what):
    attempt = [each for each in scene.effects("forward") if ("Sumachook-Request-Id", call) in each[4]][-1]
    return scene.take("fetched", attempt[1], *what)


def head(scene, call, status, *pairs):
    server_event(scene, call, "sent")
    return server_event(scene, call, "head", status, (("Sumachook-Request-Id", call), *pairs))


def test_request_waiting_for_quota_is_refused_after_key_revocation():
    """Requests of two tenants wait for quota while one tenant's key is revoked. That request gets 401 when its quota is granted,
    and the other is forwarded."""
    scene = LateQuotaScene((EAST, {**WEST, "rate-per-s": 5}))
    east, west = scene.call(EAST_KEY), scene.call(WEST_KEY)
    scene.set_tenants(WITHOUT_EAST_KEY, {**WEST, "rate-per-s": 5})
    scene.grant_all()
    assert scene.status(east) == 401 and not scene.was_forwarded(east) and scene.was_forwarded(west)


@pytest.mark.parametrize("path", [PLAIN, ONCE, STREAM])
def test_request_waiting_for_server_is_refused_after_key_revocation(path):
    """Two requests are queued because no server is known, and the key of one is revoked. That request gets 401 at the next tick; the
    other is forwarded as soon as there is a server."""
    scene = TenantScene()
    servers, scene.state.servers = scene.state.servers, {}
    east, west = scene.call(EAST_KEY, path=path), scene.call(WEST_KEY, path=path)
    scene.set_tenants(WITHOUT_EAST_KEY, WEST)
    scene.run(0.05)
    assert scene.status(east) == 401
    scene.state.servers = servers
    scene.run(0.05)
    assert scene.was_forwarded(west) and not scene.was_forwarded(east)


def test_revoked_key_allows_no_further_attempt():
    """A request rejected by its server is not sent to another one if its key was revoked meanwhile; with a valid key it is."""
    scene = TenantScene()
    late = scene.call(EAST_KEY)
    scene.set_tenants(WITHOUT_EAST_KEY, WEST)
    head(scene, late, 503, NOT_RUN)
    scene.run(0.3)
    assert scene.status(late) == 401 and len(scene.forwarded_headers(late)) == 1
    other = scene.call(WEST_KEY)
    head(scene, other, 503, NOT_RUN)
    scene.run(0.3)
    assert scene.tenant_headers(other) == [["vole511"], ["vole511"]]


def test_running_stream_continues_after_key_revocation_but_is_not_resumed():
    """A stream that continues after its key was revoked is forwarded to its end; one whose connection is reset is not resumed."""
    scene = TenantScene()
    whole, cut = scene.call(EAST_KEY, path=STREAM), scene.call(EAST_KEY, path=STREAM)
    for call in (whole, cut):
        head(scene, call, 200, SEAL, EVENTS)
        server_event(scene, call, "chunk", event(1))
    scene.set_tenants(WITHOUT_EAST_KEY, WEST)
    server_event(scene, whole, "chunk", event(2))
    server_event(scene, whole, "end")
    server_event(scene, cut, "fault", "reset")
    scene.run(0.3)
    assert [effect[0] for effect in scene.client_effects(whole)][-1] == "end"
    assert [effect[0] for effect in scene.client_effects(cut)][-1] == "drop" and len(scene.forwarded_headers(cut)) == 1


def test_queued_request_is_refused_when_key_moves_to_another_tenant():
    """A queued request whose key moves to another tenant is refused with 503, as not run. The next request with that key is forwarded for
    the other tenant."""
    scene = TenantScene()
    servers, scene.state.servers = scene.state.servers, {}
    call = scene.call(EAST_KEY)
    scene.set_tenants(WITHOUT_EAST_KEY, {**WEST, "api-keys": [WEST_KEY, EAST_KEY]})
    scene.run(0.05)
    assert scene.status(call) == 503
    scene.state.servers = servers
    assert scene.tenant_headers(scene.call(EAST_KEY)) == [["vole511"]]


def test_removed_tenant_that_is_added_again_is_known_by_new_key_only():
    """After a tenant is removed and added again with another key, its old key is still refused."""
    scene = TenantScene()
    scene.set_tenants(WEST)
    assert scene.status(scene.call(EAST_KEY)) == 401
    scene.set_tenants(WEST, {**EAST, "api-keys": ["a-new-key"]})
    assert scene.status(scene.call(EAST_KEY)) == 401
    assert scene.tenant_headers(scene.call("a-new-key")) == [["huka270"]]


def test_without_tenants_no_key_is_required_or_forwarded():
    """In a configuration without tenants, requests with any key or none are forwarded, without key or tenant header."""
    scene = TenantScene()
    scene.set_tenants()
    for keys in ((), (EAST_KEY,), ("never-held", WEST_KEY)):
        call = scene.call(*keys, headers=(("Sumachook-Tenant", "huka270"),))
        assert scene.tenant_headers(call) == [[]]
        assert "sumachook-credential" not in dict(scene.forwarded_headers(call)[0])


def test_routes_stay_closed_when_no_tenant_has_a_key():
    """When all keys of all tenants are removed, only requests on public routes are forwarded."""
    scene = TenantScene(({**EAST, "api-keys": []},))
    assert scene.status(scene.call(EAST_KEY)) == 401 and scene.status(scene.call()) == 401
    assert scene.was_forwarded(scene.call(path=OPEN)) and scene.status(scene.call("never-held", path=OPEN)) == 401


@pytest.mark.parametrize("trust", [Trust.DISCONNECTED, Trust.UNPROVEN])
def test_stale_node_queues_requests_with_unknown_keys(trust):
    """A disconnected node, or one whose configuration is not proven fresh, queues requests with unknown keys. A request whose key
    arrives meanwhile is forwarded; one whose key never arrives gets 503, as not run."""
    scene = TenantScene(trust=trust)
    late, soon = scene.call("never-held"), scene.call("a-new-key")
    scene.run(0.3)
    assert not scene.client_effects(late) and not scene.client_effects(soon)
    scene.trust.level = Trust.FRESH
    scene.set_tenants(EAST, {**WEST, "api-keys": ["a-new-key"]})
    scene.run(0.1)
    assert scene.was_forwarded(soon) and scene.status(late) == 401
    scene.trust.level = trust
    never = scene.call("never-held")
    scene.run(1.6)
    assert scene.status(never) == 503 and not scene.was_forwarded(never)


def test_disconnected_node_stops_accepting_keys_after_their_lifetime():
    """With a key lifetime of 2 s, an edge without contact to a core admits and forwards no requests with known keys after that time,
    except on public routes. Once the edge is in contact again, requests are forwarded."""
    scene = TenantScene(trust=Trust.DISCONNECTED)
    scene.table.access.credential_lifetime = 2 * SECOND
    scene.trust.proved_at = scene.now
    assert scene.was_forwarded(scene.call(EAST_KEY))
    servers, scene.state.servers = scene.state.servers, {}
    waits = scene.call(EAST_KEY)
    scene.state.servers = servers
    scene.now += 2 * SECOND + TICK
    late, open_route = scene.call(EAST_KEY), scene.call(path=OPEN)
    scene.run(1.2)
    assert scene.status(waits) == 503 and scene.status(late) == 503 and scene.was_forwarded(open_route)
    scene.trust.proved_at = scene.now
    assert scene.was_forwarded(scene.call(EAST_KEY))


def test_tenant_priority_precedes_route_priority():
    """Queued requests are forwarded in the order of tenant priority first, then route priority, and the urgency header has the same
    order. Without tenants, the urgency is the route's priority."""
    scene = TenantScene()
    servers, scene.state.servers = scene.state.servers, {}
    calls = [
        scene.call(EAST_KEY, path=PLAIN),
        scene.call(WEST_KEY, path=STREAM),
        scene.call(WEST_KEY, path=PLAIN),
        scene.call(EAST_KEY, path=STREAM),
    ]
    scene.state.servers = servers
    scene.run(0.05)
    order = [dict(each[4])["Sumachook-Request-Id"] for each in scene.effects("forward")]
    assert order == [calls[2], calls[1], calls[0], calls[3]]
    urgencies = [int(dict(scene.forwarded_headers(call)[0])["sumachook-urgency-level"]) for call in order]
    assert urgencies == sorted(urgencies) and len(set(urgencies)) == 4
    scene.set_tenants()
    plain = dict(scene.forwarded_headers(scene.call(path=STREAM))[0])
    assert plain["sumachook-urgency-level"] == "2"


def test_keys_do_not_appear_in_effects_counters_or_records():
    """Valid and unknown keys of requests that run, fail, wait, are refused, retried or logged do not appear in any effect, counter,
    record or failure of the edge. Only the Credential object contains the key, to compare it again; its repr and str do not."""
    scene = TenantScene()
    odd_key = "k\udce9y-\N{SNOWMAN}"
    keys = (EAST_KEY, WEST_KEY, "never-held-key", odd_key)
    for path in (PLAIN, ONCE, STREAM, OPEN, "/nowhere/"):
        for key in keys:
            call = scene.call(key, path=path)
            if scene.was_forwarded(call):
                head(scene, call, 503, NOT_RUN)
    scene.run(5.0)
    shown = (
        repr(scene.out)
        + repr(scene.table.counts)
        + repr([text_attributes(each) for each in scene.table.requests.values()])
    )
    assert not [key for key in keys if key in shown or repr(key)[1:-1] in shown]
    metadata = scene.table.port.read_request((("Host", "h"), ("Sumachook-Credential", EAST_KEY)))
    assert EAST_KEY not in repr(metadata) and EAST_KEY not in str(metadata.credentials)


def text_attributes(request):
    return {name: getattr(request, name, None) for name in ("metadata", "last_failure", "quota_details", "tenant")}


def test_non_ascii_tenant_name_is_forwarded_unchanged():
    """A tenant name with non-ASCII letters is accepted in the configuration and forwarded to servers unchanged."""
    scene = TenantScene(({**EAST, "name": "Semarang Ω"},))
    assert scene.tenant_headers(scene.call(EAST_KEY)) == [["Semarang Ω"]]


def test_key_lookup_takes_one_dict_access():
    """With 400 tenants of 8 keys each, the tenant of a key is found by a single dict access."""
    tenants = [
        {"name": f"t{number}", "api-keys": [f"key-{number}-{index}" for index in range(8)]} for number in range(400)
    ]
    scene = TenantScene(tenants)
    lookups = []

    class CountingDict(dict):
        def get(self, digest, default=None):
            lookups.append(digest)
            return super().get(digest, default)

    scene.table.refresh()
    rules = scene.table.access.rules
    rules.tenant_by_digest = CountingDict(rules.tenant_by_digest)
    for number in (0, 7, 399):
        assert scene.tenant_headers(scene.call(f"key-{number}-5")) == [[f"t{number}"]]
    assert len(lookups) == 3


def test_partial_update_parses_only_changed_tenants():
    """A partial update of one of 400 tenants parses only that one; all other tenant objects stay identical."""
    tenants = [{"name": f"t{number}", "api-keys": [f"key-{number}"], "rate-per-s": 5} for number in range(400)]
    scene = TenantScene(tenants)
    before = scene.state.catalogue.tenants
    part = from_platform({"version": 9, "tenants": [{**tenants[7], "rate-per-s": 6}]})
    assert scene.state.apply(2, ("configure", "q", part, {"tenants": ["t399"]}, True, 7))[0] == "ok"
    after = scene.state.catalogue.tenants
    assert len(after) == 399 and after[7].requests_per_s == 6
    assert all(one is other for one, other in zip(before[:399], after, strict=True) if one.name != "t7")
