"""Tests tenants and keys through the platform adapters: configuration changes, read-back and forwarded requests.

Incident: without any node failure, servers received the keys of clients, requests were forwarded under unknown or revoked
keys, and after a change of one item the operator read back a configuration without its tenants
(docs/incidents/tenants-and-keys-not-read.md).
"""

import json

from tests.platform_adapters.platform_fixtures import SINGLE
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
    tenants_document,
)
from tests.platform_adapters.test_platform_operator import OperatorCluster


def test_partial_update_preserves_all_unnamed_items():
    """Partial updates that name no tenant, one tenant or one item of an unknown list preserve all other tenants and items of that list.

    Cause: all unread fields were stored in one field of the document, and an update replaced that field as a whole. Evidence: an
    update of one route with an empty list of tenants deleted all 82 tenants, as the trial's log of sent and read documents showed."""
    scene, later = OperatorCluster(311), [{"name": "o-1", "x": 1}, {"name": "o-2"}]
    doc = tenants_document(owners=later)
    assert scene.replace(doc, 0)[0] == 200
    changed = {**WEST, "rate-per-s": 4, "api-keys": [WEST_KEY, "another-key"]}
    changes = [
        ({"routes": [{**SINGLE, "name": "r-new", "path-prefix": "/new/"}], "tenants": []}, {"routes": ["open"]}),
        ({"tenants": [changed]}, {}),
        ({"tenants": [{**EAST, "name": "third", "api-keys": []}]}, {"tenants": ["huka270"]}),
        ({"owners": [{"name": "o-2", "x": 2}, {"name": "o-3"}]}, {"owners": ["o-1"]}),
    ]
    for index, (upserts, removals) in enumerate(changes):
        base, version = 7 + 2 * index, 9 + 2 * index
        body = {"version": version, "upserts": upserts, "removals": removals}
        for core in ("core-1", "core-2"):  # repeated at core-2, as after a lost response from core-1
            assert scene.update(body, base, core=core)[0] == 200
        doc = {**doc, "version": version}
        for field in {*upserts, *removals}:
            doc[field] = _with_items(doc[field], upserts.get(field, []), removals.get(field, []))
        assert json.dumps(scene.read("core-3"), sort_keys=True) == json.dumps(doc, sort_keys=True), upserts


def _with_items(items, upserts, removals):
    kept = [item for item in items if item["name"] not in removals]
    names = [item["name"] for item in kept]
    replaced = {item["name"]: item for item in upserts}
    return [replaced.get(item["name"], item) for item in kept] + [item for item in upserts if item["name"] not in names]


def test_server_receives_tenant_name_but_not_the_key():
    """The server receives the tenant name of the request's key exactly once and never the key, even if the client sends a tenant header
    of its own. On a public route without a key, it receives no tenant header.

    Cause: an edge forwards headers that its code does not name, and these were not named. Evidence: an edge logs the platform headers
    that it forwards unread; in a run without faults each of 17 edges logged this one and no other."""
    scene = TenantScene()
    forged = (("Sumachook-Tenant", "vole511"), ("sumachook-tenant", "root"))
    for path in (PLAIN, ONCE, STREAM, OPEN):
        for key, tenant in ((EAST_KEY, "huka270"), (EAST_SECOND_KEY, "huka270"), (WEST_KEY, "vole511")):
            for headers in ((), forged):
                call = scene.call(key, path=path, headers=headers)
                assert scene.tenant_headers(call) == [[tenant]], (path, headers)
    for headers in ((), forged):
        assert scene.tenant_headers(scene.call(path=OPEN, headers=headers)) == [[]]
    assert not [pair for call in scene.effects("forward") for pair in call[4] if pair[1] in (EAST_KEY, WEST_KEY)]


def test_requests_without_one_valid_key_are_refused():
    """Requests with no key, an empty key, an unknown key or two keys get 401 at once and are not forwarded; a valid key is accepted until
    a configuration change revokes it.

    Cause: admission did not check the key of a request. Evidence: a trial that logged the requests with a key that was in no
    configuration contained those that servers should not have run, and all the others had run as well."""
    for path in (PLAIN, ONCE, STREAM):
        scene = TenantScene()
        key_lists = ((), ("",), ("never-held",), (EAST_KEY, WEST_KEY), (EAST_KEY, EAST_KEY))
        refused = [scene.call(*keys, path=path) for keys in key_lists]
        assert scene.was_forwarded(scene.call(EAST_KEY, path=path))
        scene.set_tenants({**EAST, "api-keys": [EAST_SECOND_KEY]}, WEST)
        refused.append(scene.call(EAST_KEY, path=path))
        assert not any(scene.was_forwarded(call) for call in refused)
        assert [scene.status(call) for call in refused] == [401] * 6
        assert scene.was_forwarded(scene.call(EAST_SECOND_KEY, path=path)) and scene.was_forwarded(
            scene.call(WEST_KEY, path=path)
        )


def test_partial_update_with_unknown_field_is_rejected():
    """A partial update with a misspelt field, a field of whole configurations or an unknown field is rejected with the field's name and
    changes nothing. The response to a valid update lists the fields that are stored without being read."""
    scene = OperatorCluster(312)
    doc = tenants_document()
    assert scene.replace(doc, 0)[0] == 200
    for field in ("upsert", "routes", "overrides"):
        status, body = scene.update({"version": 9, field: {"tenants": [WEST]}, "upserts": {}}, 7)
        assert status == 400 and field in json.loads(body)["error"]
    assert scene.read() == doc
    status, body = scene.update({"version": 9, "upserts": {"tenants": [{**WEST, "allowed-regions": ["x"]}]}}, 7)
    assert status == 200 and json.loads(body)["carried"] == ["tenants.allowed-regions"]


def test_key_shared_by_two_tenants_is_rejected():
    """An update or a whole configuration that gives one key to two tenants is rejected at any core, and the response does not contain the
    key. An update that moves the key from one tenant to the other is accepted."""
    scene = OperatorCluster(313)
    doc = tenants_document()
    assert scene.replace(doc, 0)[0] == 200
    sharing_tenant = {**WEST, "api-keys": [WEST_KEY, EAST_KEY]}
    for core in ("core-1", "core-2", "core-3"):
        status, body = scene.update({"version": 9, "upserts": {"tenants": [sharing_tenant]}}, 7, core=core)
        assert status == 400 and EAST_KEY.encode() not in body
        status, body = scene.replace(tenants_document((EAST, sharing_tenant), 9), 7, core=core)
        assert status == 400 and EAST_KEY.encode() not in body
    assert scene.read() == doc
    moved = [{**EAST, "api-keys": [EAST_SECOND_KEY]}, sharing_tenant]
    assert scene.update({"version": 9, "upserts": {"tenants": moved}}, 7)[0] == 200
    assert scene.read() == tenants_document(moved, 9)


def test_repeated_routing_headers_are_refused():
    """A request that repeats its id, model, token, prompt, last event or host header gets 400 and is not forwarded, since edge and server
    could each read a different value. Other headers may be repeated."""
    for name in ("Request-Id", "Model", "Token-Counts", "Prompt-Prefix"):
        scene = TenantScene()
        header = f"Sumachook-{name}"
        call = scene.call(EAST_KEY, headers=((header, "a"), (header.lower(), "b")))
        assert scene.status(call) == 400 and not scene.was_forwarded(call)
    for name in ("Host", "Last-Event-Id"):
        scene = TenantScene()
        call = scene.call(EAST_KEY, headers=((name, "ficu95.example"), (name.upper(), "ficu95.example")))
        assert scene.status(call) == 400 and not scene.was_forwarded(call)
    scene = TenantScene()
    call = scene.call(EAST_KEY, headers=(("Accept", "a"), ("Accept", "b")))
    assert (
        scene.forwarded_headers(call)[0].count(("accept", "a"))
        == scene.forwarded_headers(call)[0].count(("accept", "b"))
        == 1
    )
