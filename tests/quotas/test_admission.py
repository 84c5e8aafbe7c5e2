"""The proxy pipeline of an edge: tenants' requests wait for admission, and their charges are corrected afterwards."""

from sumachook.changefeed.trust import Trust
from sumachook.quotas.effects import AdmissionDenied, AdmissionGranted
from sumachook.quotas.events import AdmissionKey, AdmissionRequested, Pipeline, UsageSettled
from tests.forwarding.forwarding_fixtures import CHAT, NOT_RUN, ONCE, Scene, catalogue


def _scene(**more):
    return Scene(catalogue(tenants=[{"name": "shops", "httpRoutes": ["once", "chat"], "requestsPerS": 5.0, **more}]))


def _granted(scene, cid, is_yielding=False):
    scene.take_event(AdmissionGranted(AdmissionKey(Pipeline.PROXY, scene.table.by_call_id[cid]), is_yielding))


def _settled(scene):
    """Returns (tenant, requests, tokens) of each refund."""
    found = [effect for effect in scene.out if isinstance(effect, UsageSettled)]
    return [(effect.tenant, effect.requests, effect.tokens) for effect in found]


def test_request_of_a_tenant_waits_for_its_admission_and_others_do_not():
    """Given a route that a tenant owns, its request is sent to a server only once admitted; a request of another route is
    sent at once, without an admission request."""
    scene = _scene()
    cid = scene.ask(ONCE, tokens="30,50")
    (asked,) = [effect for effect in scene.out if isinstance(effect, AdmissionRequested)]
    assert (
        (asked.tenant, asked.tokens) == ("shops", 80)
        and scene.sends(cid) == []
        and len(scene.sends(scene.ask("/plain/x"))) == 1
    )
    scene.take_event(AdmissionGranted(asked.key, False))
    assert len(scene.sends(cid)) == 1
    scene.answer(cid)
    assert scene.status(cid) == 200 and _settled(scene) == []
    free = Scene()
    free.answer(free.ask(ONCE))
    assert not [effect for effect in free.out if isinstance(effect, AdmissionRequested | UsageSettled)]


def test_denied_request_ends_at_once_as_not_run():
    """Given a denial, the response is a 429 with run "no" and the computed retry delay, the log record holds tenant, quota
    and usage, and nothing is sent to a server."""
    scene = _scene()
    cid = scene.ask(ONCE)
    note = {
        "tenant": "shops",
        "allowance": {"requestsPerS": 5.0, "tokensPerS": None},
        "used": {"requestsPerS": 6, "tokensPerS": 0},
    }
    scene.take_event(AdmissionDenied(AdmissionKey(Pipeline.PROXY, scene.table.by_call_id[cid]), "over", 2.25, note))
    assert (
        scene.status(cid) == 429
        and scene.fault(cid) == {"class": "allowance", "reason": "over", "run": "no"}
        and scene.retry_after(cid) == 2.25
    )
    (record,) = scene.records(True)
    assert note.items() <= record.items() and (record["run"], record["class"]) == ("no", "allowance")
    assert scene.sends(cid) == [] and not _settled(scene) and scene.settled()


def test_charge_is_corrected_by_actual_usage():
    """Given a stream of three events out of 50 estimated tokens, 47 are refunded. A request that no server ran, or whose
    client disconnected while it was pending, is refunded completely; one that may have run keeps its charge."""
    scene = _scene()
    cid = scene.ask(CHAT, tokens="30,50")
    _granted(scene, cid)
    scene.stream(cid, 1, 2, 3)
    scene.call_event(cid, "end")
    assert _settled(scene) == [("shops", 0, 47)]
    lost = scene.ask(ONCE, tokens="30,50")
    _granted(scene, lost)
    scene.give_credit(0.0)
    scene.answer(lost, 503, b"", NOT_RUN, seal=False)
    scene.run(1)
    assert _settled(scene)[1:] == [("shops", 1, 80)]
    gone = scene.ask(ONCE, tokens="30,50")
    scene.take("gone", gone)
    assert _settled(scene)[2:] == [("shops", 1, 80)]
    cut = scene.ask(ONCE, tokens="30,50")
    _granted(scene, cut)
    scene.sent(cut)
    scene.call_event(cut, "fault", "reset")
    assert len(_settled(scene)) == 3 and scene.settled()


def test_yielding_requests_run_last_and_leave_half_of_the_slots():
    """Given one server and yielding requests, they are sent with the lowest urgency and use half of the slots that this
    edge may use; a later request that does not yield is sent before those that wait."""
    routes = [
        dict(each, split=[{"service": "records", "weight": 1}])
        for each in catalogue()["httpRoutes"]
        if each["name"] in ("once", "plain")
    ]
    doc = catalogue(
        routes=routes, tenants=[{"name": "shops", "httpRoutes": ["once"], "requestsPerS": 5.0, "overCeiling": "yield"}]
    )
    doc["services"] = [{"name": "records", "connections": 6}]
    scene = Scene(
        doc,
        {
            "r1": {
                "kind": "service",
                "service": "records",
                "address": "10.0.0.1:80",
                "area": "east",
                "leaving": False,
                "slots": 8,
            }
        },
    )
    late = []
    for _ in range(8):
        late.append(scene.ask(ONCE))
        _granted(scene, late[-1], True)
    sent = [cid for cid in late if scene.sends(cid)]
    assert len(sent) == 4 and dict(scene.sends(sent[0])[0][4])["x-urgency"] == "9"
    others = [scene.ask("/plain/x") for _ in range(4)]
    assert all(scene.sends(cid) for cid in others)
    assert not _settled(scene)
    unsure = Scene(doc, scene.state.servers, trust=Trust.UNPROVEN)
    late = [unsure.ask(ONCE) for _ in range(4)]
    for cid in late:
        _granted(unsure, cid, True)
    others = [unsure.ask("/plain/x") for _ in range(8)]
    unsure.trust.level = Trust.FRESH
    unsure.run(0.1)
    assert all(unsure.sends(cid) for cid in others) and not any(unsure.sends(cid) for cid in late)
