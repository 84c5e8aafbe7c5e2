"""Tenants and keys on the platform's path, from the change to the read-back and from the header to the answer.

Incident: on quiet days, with no trouble at any node, servers were handed the keys of clients, requests ran under keys that
no configuration holds or holds any more, and an operator who changed one thing read back a configuration without its
tenants (docs/incidents/tenants-and-keys-not-read.md).
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
from tests.platform_adapters.test_platform_operator import Scene as OperatorScene


def test_a_change_of_one_thing_is_read_back_beside_all_the_rest():
    """Given a configuration with tenants and a list of a later protocol, and then changes that name no tenant, one tenant and one item
    of that list, each is read back as it was sent, beside all that it did not name.

    Cause: what was not read stood in one field of the stored document, and a change replaced that field whole. Evidence: a change of
    one route, sent with an empty list of tenants, left none of 82 (a trial day that wrote out what was sent and what was read)."""
    scene, later = OperatorScene(311), [{"name": "o-1", "x": 1}, {"name": "o-2"}]
    doc = tenants_document(owners=later)
    assert scene.replace(doc, 0)[0] == 200
    changed = {**WEST, "rate-per-s": 4, "api-keys": [WEST_KEY, "another-key"]}
    changes = [
        ({"routes": [{**SINGLE, "name": "r-new", "path-prefix": "/new/"}], "tenants": []}, {"routes": ["open"]}),
        ({"tenants": [changed]}, {}),
        ({"tenants": [{**EAST, "name": "third", "api-keys": []}]}, {"tenants": ["huka270"]}),
        ({"owners": [{"name": "o-2", "x": 2}, {"name": "o-3"}]}, {"owners": ["o-1"]}),
    ]
    for turn, (upserts, removals) in enumerate(changes):
        base, version = 7 + 2 * turn, 9 + 2 * turn
        body = {"version": version, "upserts": upserts, "removals": removals}
        for core in ("core-1", "core-2"):  # the answer to the first was lost
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


def test_a_server_gets_the_tenants_name_and_never_the_key():
    """Given requests of every kind with a key, some with a tenant's name of the client's own, the server gets the name of the key's
    tenant, once, and the key under no name; without a key, on a public route, it gets no tenant at all.

    Cause: a header that no code names is passed along, and no code named these. Evidence: an edge names the headers of the platform's
    that it passes on unread; on a quiet day each of 17 edges named this one and no other."""
    scene = TenantScene()
    forged = (("Sumachook-Tenant", "vole511"), ("sumachook-tenant", "root"))
    for path in (PLAIN, ONCE, STREAM, OPEN):
        for key, tenant in ((EAST_KEY, "huka270"), (EAST_SECOND_KEY, "huka270"), (WEST_KEY, "vole511")):
            for headers in ((), forged):
                call = scene.call(key, path=path, headers=headers)
                assert scene.tenants_told(call) == [[tenant]], (path, headers)
    for headers in ((), forged):
        assert scene.tenants_told(scene.call(path=OPEN, headers=headers)) == [[]]
    assert not [pair for call in scene.effects("forward") for pair in call[4] if pair[1] in (EAST_KEY, WEST_KEY)]


def test_a_key_that_is_not_held_runs_nothing():
    """Given no key, an empty one, one that was never held, two at once, and one that is held until a change takes it away, none but
    the last runs anything, and that one no more after the change; each is answered 401 at once.

    Cause: the same; a request's key had no part in its admission. Evidence: on a trial day that wrote out which requests bear a key that
    no configuration ever held, those that servers should not have run were among them, and every one of the others ran as well."""
    for path in (PLAIN, ONCE, STREAM):
        scene = TenantScene()
        key_lists = ((), ("",), ("never-held",), (EAST_KEY, WEST_KEY), (EAST_KEY, EAST_KEY))
        refused = [scene.call(*keys, path=path) for keys in key_lists]
        assert scene.was_run(scene.call(EAST_KEY, path=path))
        scene.set_tenants({**EAST, "api-keys": [EAST_SECOND_KEY]}, WEST)
        refused.append(scene.call(EAST_KEY, path=path))
        assert not any(scene.was_run(call) for call in refused)
        assert [scene.status(call) for call in refused] == [401] * 6
        assert scene.was_run(scene.call(EAST_SECOND_KEY, path=path)) and scene.was_run(scene.call(WEST_KEY, path=path))


def test_a_change_with_a_field_that_nobody_reads_is_refused():
    """Given changes of named items with a misspelt field, a field of whole configurations and one of a later protocol, each is refused by
    its name and nothing changes; the answer to a valid one names what is stored without being read."""
    scene = OperatorScene(312)
    doc = tenants_document()
    assert scene.replace(doc, 0)[0] == 200
    for field in ("upsert", "routes", "overrides"):
        status, body = scene.update({"version": 9, field: {"tenants": [WEST]}, "upserts": {}}, 7)
        assert status == 400 and field in json.loads(body)["error"]
    assert scene.read() == doc
    status, body = scene.update({"version": 9, "upserts": {"tenants": [{**WEST, "allowed-regions": ["x"]}]}}, 7)
    assert status == 200 and json.loads(body)["carried"] == ["tenants.allowed-regions"]


def test_a_key_of_two_tenants_is_refused_as_a_whole_and_as_a_change():
    """Given tenants in force, a change that gives a tenant another one's key is refused at any core, and so is a whole configuration; one
    that moves the key in one step is taken."""
    scene = OperatorScene(313)
    doc = tenants_document()
    assert scene.replace(doc, 0)[0] == 200
    thief = {**WEST, "api-keys": [WEST_KEY, EAST_KEY]}
    for core in ("core-1", "core-2", "core-3"):
        status, body = scene.update({"version": 9, "upserts": {"tenants": [thief]}}, 7, core=core)
        assert status == 400 and EAST_KEY.encode() not in body
        status, body = scene.replace(tenants_document((EAST, thief), 9), 7, core=core)
        assert status == 400 and EAST_KEY.encode() not in body
    assert scene.read() == doc
    moved = [{**EAST, "api-keys": [EAST_SECOND_KEY]}, thief]
    assert scene.update({"version": 9, "upserts": {"tenants": moved}}, 7)[0] == 200
    assert scene.read() == tenants_document(moved, 9)


def test_a_header_that_decides_and_is_stated_twice_runs_nothing():
    """Given requests that state their id, model, tokens, prompt, last event or host twice, each is refused with 400 and none runs: server
    and edge might read another one of the two. Other headers may come twice."""
    for name in ("Request-Id", "Model", "Token-Counts", "Prompt-Prefix"):
        scene = TenantScene()
        header = f"Sumachook-{name}"
        call = scene.call(EAST_KEY, headers=((header, "a"), (header.lower(), "b")))
        assert scene.status(call) == 400 and not scene.was_run(call)
    for name in ("Host", "Last-Event-Id"):
        scene = TenantScene()
        call = scene.call(EAST_KEY, headers=((name, "ficu95.example"), (name.upper(), "ficu95.example")))
        assert scene.status(call) == 400 and not scene.was_run(call)
    scene = TenantScene()
    call = scene.call(EAST_KEY, headers=(("Accept", "a"), ("Accept", "b")))
    assert scene.forwarded(call)[0].count(("accept", "a")) == scene.forwarded(call)[0].count(("accept", "b")) == 1
