"""A key that is taken away while a request under it is in an edge, and edges that can't be sure what is held (docs/design/forwarding.md)."""

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
    """Claims of quotas are answered when the test says so."""

    def take_event(self, event):
        return Scene.take_event(self, event)

    def grant_all(self):
        for claim in [effect for effect in self.out if isinstance(effect, AdmissionRequested)]:
            self.take_event(AdmissionGranted(claim.key, False))


def server_hears(scene, call, *what):
    attempt = [each for each in scene.effects("forward") if ("Sumachook-Request-Id", call) in each[4]][-1]
    return scene.take("fetched", attempt[1], *what)


def head(scene, call, status, *pairs):
    server_hears(scene, call, "sent")
    return server_hears(scene, call, "head", status, (("Sumachook-Request-Id", call), *pairs))


def test_a_request_that_waits_for_its_quota_ends_with_its_key():
    """Given requests of two tenants that wait for their quotas, and a change that takes one's key, that one gets 401 when its quota
    comes and the other runs."""
    scene = LateQuotaScene((EAST, {**WEST, "rate-per-s": 5}))
    east, west = scene.call(EAST_KEY), scene.call(WEST_KEY)
    scene.set_tenants(WITHOUT_EAST_KEY, {**WEST, "rate-per-s": 5})
    scene.grant_all()
    assert scene.status(east) == 401 and not scene.was_run(east) and scene.was_run(west)


@pytest.mark.parametrize("path", [PLAIN, ONCE, STREAM])
def test_a_request_that_waits_for_room_ends_with_its_key(path):
    """Given requests that wait as no server is known, and a change that takes the key of one, it gets 401 with the next tick; the other
    runs as soon as there is a server."""
    scene = TenantScene()
    servers, scene.state.servers = scene.state.servers, {}
    east, west = scene.call(EAST_KEY, path=path), scene.call(WEST_KEY, path=path)
    scene.set_tenants(WITHOUT_EAST_KEY, WEST)
    scene.run(0.05)
    assert scene.status(east) == 401
    scene.state.servers = servers
    scene.run(0.05)
    assert scene.was_run(west) and not scene.was_run(east)


def test_a_further_attempt_is_one_more_use_of_the_key():
    """Given a request that its server turned away after its key was taken, and one before, only the second goes to another server."""
    scene = TenantScene()
    late = scene.call(EAST_KEY)
    scene.set_tenants(WITHOUT_EAST_KEY, WEST)
    head(scene, late, 503, NOT_RUN)
    scene.run(0.3)
    assert scene.status(late) == 401 and len(scene.forwarded(late)) == 1
    other = scene.call(WEST_KEY)
    head(scene, other, 503, NOT_RUN)
    scene.run(0.3)
    assert scene.tenants_told(other) == [["vole511"], ["vole511"]]


def test_an_answer_under_way_goes_on_but_is_not_taken_up_elsewhere():
    """Given streams whose key is taken away, one whose server goes on is passed on to its end, and one that is cut is not resumed."""
    scene = TenantScene()
    whole, cut = scene.call(EAST_KEY, path=STREAM), scene.call(EAST_KEY, path=STREAM)
    for call in (whole, cut):
        head(scene, call, 200, SEAL, EVENTS)
        server_hears(scene, call, "chunk", event(1))
    scene.set_tenants(WITHOUT_EAST_KEY, WEST)
    server_hears(scene, whole, "chunk", event(2))
    server_hears(scene, whole, "end")
    server_hears(scene, cut, "fault", "reset")
    scene.run(0.3)
    assert [effect[0] for effect in scene.client_effects(whole)][-1] == "end"
    assert [effect[0] for effect in scene.client_effects(cut)][-1] == "drop" and len(scene.forwarded(cut)) == 1


def test_a_key_that_is_another_tenants_by_now_runs_for_neither():
    """Given a request that waits, and a change that gives its key to another tenant, it is refused as not run; the next one with that key
    runs for the other tenant."""
    scene = TenantScene()
    servers, scene.state.servers = scene.state.servers, {}
    call = scene.call(EAST_KEY)
    scene.set_tenants(WITHOUT_EAST_KEY, {**WEST, "api-keys": [WEST_KEY, EAST_KEY]})
    scene.run(0.05)
    assert scene.status(call) == 503
    scene.state.servers = servers
    assert scene.tenants_told(scene.call(EAST_KEY)) == [["vole511"]]


def test_a_tenant_that_is_removed_and_added_again_is_known_by_its_new_keys():
    """Given a tenant that is removed, then added with another key, its old key is refused from the first change on."""
    scene = TenantScene()
    scene.set_tenants(WEST)
    assert scene.status(scene.call(EAST_KEY)) == 401
    scene.set_tenants(WEST, {**EAST, "api-keys": ["a-new-key"]})
    assert scene.status(scene.call(EAST_KEY)) == 401
    assert scene.tenants_told(scene.call("a-new-key")) == [["huka270"]]


def test_without_tenants_no_key_is_asked_for_and_none_passed_on():
    """Given a configuration whose tenants are all gone, requests with any key or none run, and no server gets key or tenant."""
    scene = TenantScene()
    scene.set_tenants()
    for keys in ((), (EAST_KEY,), ("never-held", WEST_KEY)):
        call = scene.call(*keys, headers=(("Sumachook-Tenant", "huka270"),))
        assert scene.tenants_told(call) == [[]]
        assert "sumachook-credential" not in dict(scene.forwarded(call)[0])


def test_a_tenant_without_a_key_left_keeps_the_routes_closed():
    """Given tenants that have lost all their keys, nothing runs but on public routes."""
    scene = TenantScene(({**EAST, "api-keys": []},))
    assert scene.status(scene.call(EAST_KEY)) == 401 and scene.status(scene.call()) == 401
    assert scene.was_run(scene.call(path=OPEN)) and scene.status(scene.call("never-held", path=OPEN)) == 401


@pytest.mark.parametrize("trust", [Trust.DISCONNECTED, Trust.UNPROVEN])
def test_a_node_that_may_be_behind_does_not_refuse_a_key_for_good(trust):
    """Given a node that is cut off or has just woken, a request with a key that it does not know waits, and is refused as not run; one
    whose key comes meanwhile runs."""
    scene = TenantScene(trust=trust)
    late, soon = scene.call("never-held"), scene.call("a-new-key")
    scene.run(0.3)
    assert not scene.client_effects(late) and not scene.client_effects(soon)
    scene.trust.level = Trust.FRESH
    scene.set_tenants(EAST, {**WEST, "api-keys": ["a-new-key"]})
    scene.run(0.1)
    assert scene.was_run(soon) and scene.status(late) == 401
    scene.trust.level = trust
    never = scene.call("never-held")
    scene.run(1.6)
    assert scene.status(never) == 503 and not scene.was_run(never)


def test_where_keys_must_be_vouched_for_a_node_that_is_cut_off_stops_in_time():
    """Given that keys are believed for 2 s without word of a core, a request with a known key is neither admitted nor sent to a server
    later than that, while public routes go on; with word of a core it runs again."""
    scene = TenantScene(trust=Trust.DISCONNECTED)
    scene.table.access.credential_lifetime = 2 * SECOND
    scene.trust.proved_at = scene.now
    assert scene.was_run(scene.call(EAST_KEY))
    servers, scene.state.servers = scene.state.servers, {}
    waits = scene.call(EAST_KEY)
    scene.state.servers = servers
    scene.now += 2 * SECOND + TICK
    late, open_route = scene.call(EAST_KEY), scene.call(path=OPEN)
    scene.run(1.2)
    assert scene.status(waits) == 503 and scene.status(late) == 503 and scene.was_run(open_route)
    scene.trust.proved_at = scene.now
    assert scene.was_run(scene.call(EAST_KEY))


def test_the_tenants_priority_goes_before_the_routes():
    """Given requests that wait, those of the more urgent tenant go first whatever their routes, and servers are told an urgency that
    says the same; without tenants a route's priority is the urgency."""
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
    urgencies = [int(dict(scene.forwarded(call)[0])["sumachook-urgency-level"]) for call in order]
    assert urgencies == sorted(urgencies) and len(set(urgencies)) == 4
    scene.set_tenants()
    plain = dict(scene.forwarded(scene.call(path=STREAM))[0])
    assert plain["sumachook-urgency-level"] == "2"


def test_no_key_is_shown_anywhere():
    """Given requests that run, fail, wait, are refused, repeated and logged, with keys that are held and not, no effect of the edge, no count,
    record or failure has a key in it, but for the key's own holder, who may send it again."""
    scene = TenantScene()
    odd_key = "k\udce9y-\N{SNOWMAN}"
    keys = (EAST_KEY, WEST_KEY, "never-held-key", odd_key)
    for path in (PLAIN, ONCE, STREAM, OPEN, "/nowhere/"):
        for key in keys:
            call = scene.call(key, path=path)
            if scene.was_run(call):
                head(scene, call, 503, NOT_RUN)
    scene.run(5.0)
    shown = repr(scene.out) + repr(scene.table.counts) + repr([vars_of(each) for each in scene.table.requests.values()])
    assert not [key for key in keys if key in shown or repr(key)[1:-1] in shown]
    metadata = scene.table.port.read_request((("Host", "h"), ("Sumachook-Credential", EAST_KEY)))
    assert EAST_KEY not in repr(metadata) and EAST_KEY not in str(metadata.credentials)


def vars_of(request):
    return {name: getattr(request, name, None) for name in ("metadata", "last_failure", "quota_details", "tenant")}


def test_a_name_that_is_no_header_never_reaches_a_server():
    """Given a tenant's name of letters beyond ASCII, the configuration is taken and the name goes to servers as it is written."""
    scene = TenantScene(({**EAST, "name": "Semarang Ω"},))
    assert scene.tenants_told(scene.call(EAST_KEY)) == [["Semarang Ω"]]


def test_thousands_of_keys_are_found_in_one_probe():
    """Given 400 tenants with 8 keys each, every key finds its tenant, and the look-up asks one table once."""
    tenants = [
        {"name": f"t{number}", "api-keys": [f"key-{number}-{place}" for place in range(8)]} for number in range(400)
    ]
    scene = TenantScene(tenants)
    probes = []

    class Counted(dict):
        def get(self, digest, default=None):
            probes.append(digest)
            return super().get(digest, default)

    scene.table.refresh()
    rules = scene.table.access.rules
    rules.tenant_by_digest = Counted(rules.tenant_by_digest)
    for number in (0, 7, 399):
        assert scene.tenants_told(scene.call(f"key-{number}-5")) == [[f"t{number}"]]
    assert len(probes) == 3


def test_documents_with_tenants_go_through_a_change_at_the_cost_of_what_differs():
    """Given 400 tenants, a change of one of them reads that one alone, by the identity of all the others."""
    tenants = [{"name": f"t{number}", "api-keys": [f"key-{number}"], "rate-per-s": 5} for number in range(400)]
    scene = TenantScene(tenants)
    before = scene.state.catalogue.tenants
    part = from_platform({"version": 9, "tenants": [{**tenants[7], "rate-per-s": 6}]})
    assert scene.state.apply(2, ("configure", "q", part, {"tenants": ["t399"]}, True, 7))[0] == "ok"
    after = scene.state.catalogue.tenants
    assert len(after) == 399 and after[7].requests_per_s == 6
    assert all(one is other for one, other in zip(before[:399], after, strict=True) if one.name != "t7")
