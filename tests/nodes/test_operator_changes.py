"""Tests of operators' changes: versions checked at delivery, repeats recognized by content, late copies ignored, linearizable reads."""

import asyncio
import random
from datetime import timedelta

import msgspec
import pytest

from harness.experiments.order_callers import reordered
from harness.experiments.order_history import Order, OrderHistory
from harness.experiments.orders import play
from sumachook.consensus.events import ReadRequested
from sumachook.control_state import changes
from sumachook.control_state.change_attempts import Attempt
from sumachook.control_state.effects import ProposeChange
from sumachook.control_state.results import Outcome, accepted, rejected
from sumachook.control_state.state import State
from sumachook.host.effects import Reply, Send
from sumachook.host.events import Tick
from sumachook.nodes.change_request import MAX_DEPTH, InvalidChangeError, read_change_request
from sumachook.nodes.configuration_changes import ConfigurationChanges
from sumachook.transport.node_message import wire_kind
from tests.configuration.test_services import route, whole
from tests.deployment_fixtures import box_of, found, json_fields, leader

SECOND = timedelta(seconds=1)
PARTIAL_CHANGE = {"version": 7, "httpRoutes": [route(1)]}
CORES = ("core-1", "core-2", "core-3")
EVACUATE_HALL_B = changes.Evacuate("", "hall-b")


def _operator_call(number, change, seen, origin="core-2.1"):
    return changes.OperatorCall(origin, number, seen, change)


def _update(doc, base, removals=None):
    return changes.ConfigureWithDefaults("", doc, removals or {}, True, base, {})


def _state(version=5):
    state = State()
    assert state.apply(
        1, _operator_call(1, changes.ConfigureWithDefaults("", whole(version), {}, False, 0, {}), 0)
    ) == accepted(1)
    return state


# delivery to one state --------------------------------------------------------


def test_delayed_evacuation_does_not_overtake_its_restore():
    """The proposal of an evacuation lies in one core's buffer while the same evacuation and its restore go through
    another: the late copy changes nothing and is not reported as done. An evacuation requested after the restore takes
    effect."""
    state = _state()
    delayed = _operator_call(1, changes.Evacuate("", "hall-b"), 1)
    assert state.apply(
        2, _operator_call(1, changes.Evacuate("", "hall-b"), 1, "core-1.1")
    ).outcome is Outcome.ACCEPTED and not state.is_open("hall-b")
    assert state.apply(3, _operator_call(2, changes.Restore("", "hall-b"), 2, "core-1.1")).outcome is Outcome.ACCEPTED
    assert state.apply(4, delayed).outcome is Outcome.UNKNOWN and state.is_open("hall-b")
    assert (
        state.apply(5, _operator_call(2, changes.Evacuate("", "hall-a"), 1)).outcome is Outcome.ACCEPTED
    )  # another zone is not affected
    assert state.apply(
        6, _operator_call(3, changes.Evacuate("", "hall-b"), 3)
    ).outcome is Outcome.ACCEPTED and not state.is_open("hall-b")
    assert state.apply(7, delayed).outcome is Outcome.ACCEPTED  # the zone is evacuated already


def test_delayed_restore_does_not_overtake_the_next_evacuation():
    """A restore lies in a buffer while a copy of it and a new evacuation go through another core: the zone stays
    closed, also on a replica restored from a snapshot."""
    state, again = _state(), State()
    delayed = _operator_call(9, changes.Restore("", "hall-b"), 2)
    for number, kind in enumerate((changes.Evacuate, changes.Restore, changes.Evacuate), 2):
        assert (
            state.apply(number, _operator_call(number, kind("", "hall-b"), number - 1, "core-1.1")).outcome
            is Outcome.ACCEPTED
        )
    again.restore(msgspec.json.decode(msgspec.json.encode(state.snapshot())))
    for each in (state, again):
        assert each.apply(5, delayed).outcome is Outcome.UNKNOWN and not each.is_open("hall-b")


def test_copy_of_a_rejected_change_is_not_applied_once_its_base_exists():
    """A change based on a future version is refused at one core while a copy lies in another core's buffer. Once that
    version exists, the copy is neither applied nor refused; the same change sent after that is applied."""
    state = _state(5)
    early = _update({"version": 9, "httpRoutes": [route(9)]}, 7)
    assert state.apply(2, _operator_call(1, early, 1, "core-1.1")).outcome is Outcome.STALE
    assert state.apply(3, _operator_call(2, _update(PARTIAL_CHANGE, 5), 2, "core-1.1")).outcome is Outcome.ACCEPTED
    assert state.apply(4, _operator_call(1, early, 1)).outcome is Outcome.UNKNOWN and state.version == 7
    assert state.apply(5, _operator_call(2, early, 3)) == accepted(3) and state.version == 9


def test_change_by_digest_has_the_result_of_the_whole_document():
    """Of repeated, stale, invalid and valid configurations, all but the valid one are proposed by digest, in a few
    hundred bytes, with the same result as the whole document."""
    state = _state(5)
    assert state.apply(2, _operator_call(1, _update(PARTIAL_CHANGE, 5), 1)).outcome is Outcome.ACCEPTED
    big = [route(number) for number in range(100, 700)]
    bad = [*big, route(900, timeout_ms=0)]
    for change, verdict in (
        (_update(reordered(PARTIAL_CHANGE), 5), Outcome.ACCEPTED),
        (_update({"version": 8, "httpRoutes": big}, 5), Outcome.STALE),
        (_update({"version": 9, "httpRoutes": bad}, 5), Outcome.STALE),
        (_update({"version": 9, "httpRoutes": bad}, 7), Outcome.REJECTED),
        (_update({"version": 7, "httpRoutes": big}, 7), Outcome.REJECTED),
        (_update({"version": None}, 7), Outcome.REJECTED),
        (_update({"version": 9}, 7, {"areas": []}), Outcome.REJECTED),
        (_update({"version": "x"}, 5), Outcome.STALE),
    ):
        claim = state.compact_form(change)
        assert isinstance(claim, changes.ConfigureByDigest) and len(msgspec.json.encode(claim)) < 500
        copy = State()
        copy.restore(state.snapshot())
        assert state.apply(3, _operator_call(2, claim, 2)).outcome is verdict
        assert copy.apply(3, _operator_call(2, change, 2)).outcome is verdict
    good = _update({"version": 9, "httpRoutes": big}, 7)
    assert state.compact_form(good) is good
    late = state.compact_form(_update({"version": 12}, 9))
    assert state.apply(4, _operator_call(3, good, 3)).outcome is Outcome.ACCEPTED
    assert (
        state.apply(5, _operator_call(4, late, 3)).outcome is Outcome.UNKNOWN
    )  # its base was created meanwhile: neither rejected nor accepted


def test_different_defaults_of_cores_do_not_make_a_repeat_another_change():
    """The same configuration sent to two cores whose settings list different zones is recognized as a repeat."""
    state = State()
    doc = {field: value for field, value in whole(5).items() if field not in ("name", "areas")}
    for number, zones in enumerate((["hall-a", "hall-b"], ["hall-b"]), 1):
        change = changes.ConfigureWithDefaults("", doc, {}, False, 0, {"name": "platform", "areas": zones})
        assert state.apply(number, _operator_call(number, change, 0)) == accepted(1)
    assert state.catalogue.zones == ("hall-a", "hall-b")


def test_reused_request_id_with_other_content_is_rejected():
    """Other content under a request id that was already used is rejected and not reported as accepted."""
    state = _state()
    assert state.apply(2, changes.Evacuate("once", "hall-a")) == accepted(2) and state.apply(
        3, changes.Evacuate("once", "hall-a")
    ) == accepted(2)
    assert (
        state.apply(4, changes.Evacuate("once", "hall-b")).outcome is Outcome.REJECTED
        and state.apply(5, changes.Restore("once", "hall-a")).outcome is Outcome.REJECTED
    )
    assert not state.is_open("hall-a") and state.is_open("hall-b")


# pending changes at one core ----------------------------------------------------


def _configuration_changes(state=None, **more):
    return ConfigurationChanges("core-2.1", state or _state(), **more)


def _accepted(configuration_changes, change=EVACUATE_HALL_B, cid=1, now=SECOND):
    (read,) = configuration_changes.accept(cid, change, now)
    assert isinstance(read, ReadRequested)
    return read.token


def test_change_is_proposed_after_its_read_and_answered_by_its_own_delivery():
    """A change is proposed once its read has completed, again until it is delivered, and answered only by the delivery
    of its own attempt; then it is not proposed again."""
    configuration_changes = _configuration_changes()
    token = _accepted(configuration_changes)
    assert configuration_changes.tick((), {}, SECOND) == []
    configuration_changes.handle_completed_read(token, SECOND)
    (proposal,) = configuration_changes.tick((), {}, SECOND)
    entry = proposal.change
    assert entry == _operator_call(1, changes.Evacuate("", "hall-b"), 1)
    assert configuration_changes.tick((), {}, SECOND * 1.1) == [] and configuration_changes.tick(
        (), {}, SECOND * 1.5
    ) == [ProposeChange(entry)]
    configuration_changes.handle_delivery(
        7, Attempt("core-2.0", 1, 1), accepted(9), 5, SECOND * 1.5
    )  # an attempt of this core before its restart
    configuration_changes.handle_delivery(7, Attempt("core-1.1", 1, 1), accepted(9), 5, SECOND * 1.5)
    assert configuration_changes.tick((), {}, SECOND * 1.6) == []
    configuration_changes.handle_delivery(
        8, Attempt(entry.origin, entry.number, entry.seen), rejected("area", "no area"), 5, SECOND * 1.6
    )
    configuration_changes.handle_delivery(
        9, Attempt(entry.origin, entry.number, entry.seen), accepted(9), 5, SECOND * 1.6
    )
    (answer,) = configuration_changes.tick((), {}, SECOND * 1.7)
    assert (
        isinstance(answer, Reply)
        and (answer.call_id, answer.status) == (1, 422)
        and configuration_changes.pending_changes == {}
        and configuration_changes.tick((), {}, SECOND * 3) == []
    )


def test_change_of_a_disconnected_caller_is_not_proposed():
    """After its caller disconnects before the read completes, before the proposal or after it, a change is not proposed
    again: one that lay in the buffer of a frozen core stops at the disconnect queued behind it."""
    for steps in range(3):
        configuration_changes = _configuration_changes()
        token = _accepted(configuration_changes)
        if steps > 0:
            configuration_changes.handle_completed_read(token, SECOND)
        if steps > 1:
            assert len(configuration_changes.tick((), {}, SECOND)) == 1
        configuration_changes.handle_disconnect(1)
        configuration_changes.handle_completed_read(token, SECOND)
        assert configuration_changes.tick((), {}, SECOND * 2) == [] and configuration_changes.pending_changes == {}


def test_change_is_answered_in_time_with_whether_it_may_still_be_applied():
    """Without a delivery, a change that was not proposed is answered as not applied, a proposed one as maybe applied;
    one that slow edges have not confirmed is acknowledged within the same time."""
    for is_proposed, applied in ((False, "no"), (True, "maybe")):
        configuration_changes = _configuration_changes(answer_within=SECOND)
        token = _accepted(configuration_changes)
        if is_proposed:
            configuration_changes.handle_completed_read(token, SECOND)
            configuration_changes.tick((), {}, SECOND)
        (answer,) = [effect for effect in configuration_changes.tick((), {}, SECOND * 2) if isinstance(effect, Reply)]
        assert answer.status == 503 and msgspec.json.decode(answer.body)["fault"]["applied"] == applied
        assert configuration_changes.tick((), {}, SECOND * 9) == []
    configuration_changes = _configuration_changes(answer_within=SECOND)
    configuration_changes.handle_completed_read(_accepted(configuration_changes), SECOND)
    (proposal,) = configuration_changes.tick((), {}, SECOND)
    entry = proposal.change
    configuration_changes.handle_delivery(
        7, Attempt(entry.origin, entry.number, entry.seen), accepted(3), 5, SECOND * 1.9
    )
    assert configuration_changes.tick(("e1",), {}, SECOND * 1.9) == []
    (answer,) = configuration_changes.tick(("e1",), {}, SECOND * 2)
    assert answer.status == 200 and msgspec.json.decode(answer.body)["unconfirmed"] == ["e1"]


def test_pending_changes_at_one_core_are_bounded():
    """With the maximum number of pending changes at a core, the next one is refused as not applied."""
    configuration_changes = _configuration_changes()
    for cid in range(128):
        (read,) = configuration_changes.accept(cid, changes.Evacuate("", "hall-b"), SECOND)
        assert isinstance(read, ReadRequested)
    (answer,) = configuration_changes.accept(128, changes.Evacuate("", "hall-b"), SECOND)
    assert isinstance(answer, Reply) and answer.status == 503
    assert msgspec.json.decode(answer.body)["fault"]["applied"] == "no"


def test_too_deeply_nested_documents_are_refused():
    """A too deeply nested change is refused before any proposal, whether or not the JSON library can still decode it."""
    for depth in (MAX_DEPTH, 300, 900, 100000):
        doc = b'{"ifVersion":5,"doc":{"version":7,"extra":' + b"[" * depth + b"]" * depth + b"}}"
        with pytest.raises(InvalidChangeError):
            read_change_request("/operator/configure", doc)
    change = read_change_request("/operator/configure", b'{"ifVersion":5,"doc":{"version":7,"extra":[[[]]]}}')
    assert isinstance(change, changes.Configure)


# a deployment of several cores --------------------------------------------------


def _deployment(seed, **more):
    deployment = found(seed, edges=1, voter_away=1.6, confirm_within=0.8, order_within=0.85, **more)
    assert deployment.run_until(
        lambda: _call(deployment, "core-1", "configure", doc=whole(5), if_version=0)[0] == 200, 10
    )
    return deployment


def _call(deployment, core, kind, **document):
    return deployment.ask(core, "POST", f"/operator/{kind}", json_fields(document), follows=False) or (0, None)


def _send(deployment, core, kind, **document):
    """Sends a request without waiting; returns its number, the key of its answer."""
    number = deployment.operator().ask(
        f"http://{deployment.boxes[core].http_address}/operator/{kind}", "POST", json_fields(document), False
    )
    deployment._deliver(deployment.boxes["operator"], Tick())
    return number


def _wait_for_answers(deployment, *numbers):
    answers = deployment.operator().answers
    assert deployment.run_until(lambda: all(number in answers for number in numbers), 9)
    return [answers[number] for number in numbers]


def _ask_until_definite(deployment, kind, cores=CORES, **document):
    """Repeats a request at one core after the other, as operators do, until its answer is definite."""
    for turn in range(40):
        status, body = _call(deployment, cores[turn % len(cores)], kind, **document)
        if status in (200, 400, 409, 422):
            return status, body
        deployment.run(0.2)
    raise AssertionError("no clear answer")


def _leader_and_followers(deployment):
    """Returns the name of the leader and the names of the other cores."""
    assert deployment.run_until(
        lambda: leader(deployment) is not None and len(leader(deployment).consensus.members) == 3, 20
    )
    name = box_of(deployment, leader(deployment)).name
    return name, [other for other in CORES if other != name]


def test_change_sent_to_all_cores_is_acknowledged_by_all_and_applied_once():
    """The same change sent to all cores at once, with its JSON members in another order at one, is acknowledged by each
    and applied once."""
    deployment = _deployment(401)
    docs = (PARTIAL_CHANGE, reordered(PARTIAL_CHANGE), PARTIAL_CHANGE)
    numbers = [_send(deployment, core, "configure", doc=doc, if_version=5, part=True) for core, doc in zip(CORES, docs)]
    answers = _wait_for_answers(deployment, *numbers)
    assert [status for status, _ in answers] == [200] * 3 and {body["generation"] for _, body in answers} == {2}


def test_one_of_three_concurrent_changes_on_one_base_is_accepted():
    """Three different changes with the same version and base are sent to three cores, repeatedly: one is accepted each
    time. Each one sent again to any core gets its original result, also after newer changes."""
    deployment = _deployment(402)
    base, results = 5, []
    for turn in range(4):
        docs = [{"version": base + 2, "httpRoutes": [route(100 + 10 * turn + place)]} for place in range(3)]
        numbers = [
            _send(deployment, core, "configure", doc=doc, if_version=base, part=True) for core, doc in zip(CORES, docs)
        ]
        statuses = [status for status, _ in _wait_for_answers(deployment, *numbers)]
        assert sorted(statuses) == [200, 409, 409]
        results += [(doc, base, status) for doc, status in zip(docs, statuses)]
        base += 2
    for doc, on, status in results:
        assert [_call(deployment, core, "configure", doc=doc, if_version=on, part=True)[0] for core in CORES] == [
            status
        ] * 3


def test_accepted_changes_are_recognized_after_power_loss_and_a_lost_disk():
    """After all cores lose power and one its disk, each core acknowledges repeats of accepted changes and an
    evacuation, and rejects a change that conflicts with an accepted one."""
    deployment = _deployment(403)
    second = {"version": 9, "httpRoutes": [route(2)]}
    assert _call(deployment, "core-1", "configure", doc=PARTIAL_CHANGE, if_version=5, part=True)[0] == 200
    assert (
        _call(deployment, "core-2", "configure", doc=second, if_version=7, part=True, removals={"httpRoutes": ["r-1"]})[
            0
        ]
        == 200
    )
    assert _call(deployment, "core-3", "evacuate", area="hall-b")[0] == 200
    for name in CORES:
        deployment.kill(name)
    deployment.boxes["core-3"].disk.wipe()
    for name in CORES:
        deployment.start(name)
    for core in CORES:
        assert deployment.run_until(
            lambda: _call(deployment, core, "configure", doc=PARTIAL_CHANGE, if_version=5, part=True)[0] == 200, 20
        ), core
        assert (
            _ask_until_definite(
                deployment,
                "configure",
                (core,),
                doc=reordered(second),
                if_version=7,
                part=True,
                removals={"httpRoutes": ["r-1"]},
            )[0]
            == 200
        )
        assert _ask_until_definite(deployment, "configure", (core,), doc=whole(5), if_version=0)[0] == 200
        assert (
            _ask_until_definite(
                deployment, "configure", (core,), doc={**second, "httpRoutes": []}, if_version=7, part=True
            )[0]
            == 409
        )
        assert _ask_until_definite(deployment, "evacuate", (core,), area="hall-b")[0] == 200
    assert not leader(deployment).state.is_open("hall-b")


def test_stale_base_is_reported_before_invalid_content():
    """Invalid changes on an old base are answered as stale by each core; on the current base they are rejected as
    invalid, and the version stays."""
    deployment = _deployment(404)
    for place, bad in enumerate(
        (
            {"version": 9, "httpRoutes": [route(9, timeout_ms=0)]},
            {"version": "9"},
            {"version": 4},
            {"version": 9, "httpRoutes": 7},
        )
    ):
        core = CORES[place % 3]
        assert _call(deployment, core, "configure", doc=bad, if_version=3, part=True)[0] == 409
        assert _call(deployment, core, "configure", doc=bad, if_version=5, part=True)[0] == 422
    assert leader(deployment).state.version == 5


def test_isolated_core_neither_rejects_nor_accepts_changes_nor_answers_reads():
    """Once an isolated core can know that it is, it answers stale, invalid and valid changes and reads within 0.6
    seconds with a redirect or as not applied; none of the changes is in force."""
    deployment = _deployment(405)
    _, others = _leader_and_followers(deployment)
    isolated = others[0]
    deployment.cut([isolated], deployment.inside(isolated))
    deployment.run(3)
    assert (
        _ask_until_definite(
            deployment,
            "configure",
            [core for core in CORES if core != isolated],
            doc=PARTIAL_CHANGE,
            if_version=5,
            part=True,
        )[0]
        == 200
    )
    for document in (
        {"doc": {"version": 9}, "ifVersion": 3},
        {"doc": {"version": 9, "httpRoutes": 7}, "ifVersion": 5},
        {"doc": {"version": 8}, "ifVersion": 5},
    ):
        before = deployment.now
        status, body = _call(deployment, isolated, "configure", part=True, **document)
        assert status in (307, 503) and body["fault"]["applied"] == "no" and (deployment.now - before) < SECOND * 0.6
    before = deployment.now
    assert (
        deployment.ask(isolated, "GET", "/show/catalogue", follows=False)[0] in (307, 503)
        and (deployment.now - before) < SECOND * 0.6
    )
    deployment.heal()
    deployment.run(5)
    assert {core.state.version for core in deployment.machines("core")} == {7}


def test_leader_isolated_during_a_change_answers_within_a_second():
    """A leader isolated just after it received a change answers within 0.9 s whether the change may still be applied;
    sent again, the change is acknowledged, and applied once."""
    deployment = _deployment(406)
    first, others = _leader_and_followers(deployment)
    number = _send(deployment, first, "configure", doc=PARTIAL_CHANGE, if_version=5, part=True)
    deployment.run(0.06)
    deployment.cut([first], deployment.inside(first))
    before = deployment.now
    ((status, body),) = _wait_for_answers(deployment, number)
    assert status in (200, 307, 503) and (deployment.now - before) < SECOND * 0.9
    assert _ask_until_definite(deployment, "configure", others, doc=PARTIAL_CHANGE, if_version=5, part=True)[0] == 200
    deployment.heal()
    deployment.run(6)
    assert _ask_until_definite(deployment, "configure", (first,), doc=PARTIAL_CHANGE, if_version=5, part=True)[0] == 200
    assert {core.state.generation for core in deployment.machines("core")} == {2}


def test_proposal_delayed_in_a_buffer_has_no_effect_after_later_changes():
    """A follower's proposals of an evacuation lie in a buffer until its caller has evacuated and restored the zone
    through another core: when they arrive, the zone stays open at every core and edge."""
    deployment = _deployment(407)
    first, others = _leader_and_followers(deployment)
    late = deployment.boxes[others[0]]
    held, plain = [], late.machine

    class ProposalBuffer:
        def __getattr__(self, name):
            return getattr(plain, name)

        def take(self, message, now):
            out = plain.take(message, now)
            held.extend(effect for effect in out if _is_proposal(effect))
            return [effect for effect in out if not _is_proposal(effect)]

    late.machine = ProposalBuffer()
    number = _send(deployment, late.name, "evacuate", request="one", area="hall-b")
    ((status, body),) = _wait_for_answers(deployment, number)
    late.machine = plain
    assert status == 503 and body["fault"]["applied"] == "maybe" and len(held) > 1
    assert _call(deployment, first, "evacuate", request="two", area="hall-b")[0] == 200
    assert _call(deployment, first, "restore", request="three", area="hall-b")[0] == 200
    for effect in held:
        deployment._execute(late, effect)
    deployment.run(2)
    assert {machine.state.is_open("hall-b") for role in ("core", "edge") for machine in deployment.machines(role)} == {
        True
    }


def _is_proposal(effect) -> bool:
    return isinstance(effect, Send) and wire_kind(effect.message) == "propose"


def test_follower_redirects_a_large_change_to_the_leader():
    """A change of half a megabyte at a follower is answered with a redirect to the leader's HTTP address, where it is
    accepted."""
    deployment = _deployment(408)
    first, others = _leader_and_followers(deployment)
    document = {"doc": {"version": 7, "extra": {"note": "x" * 500_000}}, "ifVersion": 5, "part": True}
    status, body = _call(deployment, others[0], "configure", **document)
    assert status == 307 and body["fault"]["reason"] == f"ask {deployment.boxes[first].http_address}"
    assert _call(deployment, first, "configure", **document)[0] == 200


def test_change_of_four_mebibytes_is_applied_recognized_and_extended():
    """An incompressible change of four mebibytes is applied everywhere, its repeat is recognized without adding the
    document to the log, the next change builds on it, and a core that restarts with a wiped disk receives it."""
    deployment = _deployment(410)
    first, others = _leader_and_followers(deployment)
    note = random.Random(1).randbytes(2_050_000).hex()
    document = {"doc": {"version": 7, "extra": {"note": note}}, "if_version": 5, "part": True}
    assert _ask_until_definite(deployment, "configure", (first,), **document)[0] == 200
    logged = sum(len(entry) for entry in leader(deployment).consensus.log.entries)
    assert _call(deployment, first, "configure", **document)[0] == 200
    assert sum(len(entry) for entry in leader(deployment).consensus.log.entries) < logged + 5000
    assert _ask_until_definite(deployment, "configure", others, doc={"version": 9}, if_version=7, part=True)[0] == 200
    deployment.kill(others[0])
    deployment.boxes[others[0]].disk.wipe()
    deployment.start(others[0])
    assert deployment.run_until(lambda: {core.state.version for core in deployment.machines("core")} == {9}, 10)
    assert {machine.state.version for machine in deployment.machines("edge")} == {9}


def test_core_that_has_just_started_answers_503_until_its_identity_is_durable():
    """A core with an empty, slow disk answers requests with 503 at once, instead of leaving them without a response."""
    deployment = _deployment(409)
    deployment.kill("core-2")
    deployment.boxes["core-2"].disk.wipe()
    deployment.boxes["core-2"].disk.delay = SECOND * 3
    deployment.start("core-2")
    for _ in range(2):
        before = deployment.now
        assert _call(deployment, "core-2", "evacuate", area="hall-b")[0] == 503 and deployment.now - before < SECOND / 2
        deployment.run(0.2)


def test_bodies_up_to_four_mebibytes_reach_a_core_and_longer_ones_get_413():
    """Bodies of exactly four mebibytes, with a length or chunked, reach the machine completely; one byte more is
    answered with 413."""
    from harness.local_cluster.loopback import free_address, wait_until_serving
    from sumachook.host.effects import Reply
    from sumachook.nodes.serve import MAX_OPERATOR_BODY_BYTES
    from sumachook.transport.http_server import HttpServer
    from tests.transport.test_http_server import _send_raw

    async def scenario():
        sizes = []
        http_server = HttpServer(free_address(), lambda event: answer_event(event), MAX_OPERATOR_BODY_BYTES)

        def answer_event(event):
            sizes.append(len(event.body))
            http_server.answer(Reply(event.call_id, 200, {}, b""))

        task = asyncio.get_running_loop().create_task(http_server.run())
        await wait_until_serving(lambda: http_server.listener is not None, task)
        statuses = []
        for size in (4 << 20, (4 << 20) + 1):
            for head, body in (
                (b"Content-Length: %d" % size, b"x" * size),
                (b"Transfer-Encoding: chunked", b"%x\r\n%s\r\n0\r\n\r\n" % (size, b"x" * size)),
            ):
                answer = await _send_raw(
                    http_server.address, b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s\r\n\r\n" % head + body
                )
                statuses.append(int(answer.split()[1]))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return statuses, sizes

    assert asyncio.run(scenario()) == ([200, 200, 413, 413], [4 << 20, 4 << 20])


# the order history and random faults ---------------------------------------------


def test_order_history_reports_each_violation():
    """The history reports a fault for each combination of answers and final configuration that breaks one rule, and
    none for a valid one."""

    def fault_of(*orders, present=(), refuse_after=False):
        history = OrderHistory(5, orders=list(orders))
        if refuse_after:
            history.record_answer(orders[0], SECOND * 3, 412, True)
        return history.faults({"httpRoutes": [{"name": mark} for mark in present]})

    def order(mark, base, version, *kinds, **more):
        return Order(mark, base, version, {}, answers=[(SECOND, kind, True) for kind in kinds], **more)

    assert fault_of(order("mark-1", 5, 7, "taken"), order("mark-2", 5, 7, "refused"), present=["mark-1"]) == []
    for faults in (
        fault_of(order("mark-1", 5, 7, "taken")),
        fault_of(order("mark-1", 5, 7, "refused"), present=["mark-1"]),
        fault_of(order("mark-1", 5, 7, "taken"), order("mark-2", 5, 8, "taken"), present=["mark-1", "mark-2"]),
        fault_of(order("mark-1", 5, 7, "taken", is_valid=False), present=["mark-1"]),
        fault_of(order("mark-1", 5, 7, "taken"), present=["mark-1"], refuse_after=True),
    ):
        assert faults


@pytest.mark.parametrize("seed", range(1, 9))
def test_no_operator_gets_a_wrong_answer_under_lost_answers_and_kills(seed):
    """With eight operators, half of their answers lost, and kills around answers and requests, no answer is
    contradicted by the final state."""
    _, sent, acknowledged, _, faults = play(seed, 16.0)
    assert faults == [] and sent > 3 and acknowledged > 1


def test_evacuation_whose_read_completes_after_its_caller_moved_on_is_not_proposed():
    """A caller of an evacuation without a response for a second is served by another core and restores the zone there:
    the read that completes then must not propose the evacuation. A configuration may still be proposed, as its base
    version decides."""
    second = timedelta(seconds=1)
    for change, is_proposed in (
        (changes.Evacuate("", "hall"), False),
        (changes.Configure("", {"version": 1}, {}, False, 0), True),
    ):
        configuration_changes = ConfigurationChanges("core-1", State())
        configuration_changes.accept("caller", change, second)
        (pending,) = configuration_changes.pending_changes.values()
        configuration_changes.handle_completed_read(configuration_changes.read_token(pending), second * 2.1)
        out = configuration_changes.tick((), {}, second * 2.2)
        assert any(isinstance(effect, ProposeChange) for effect in out) == is_proposed
        assert any(isinstance(effect, Reply) and effect.status == 503 for effect in out) != is_proposed


def test_evacuation_waits_for_a_leader_no_longer_than_its_caller():
    """At a core without a view, the read of an evacuation is retried only if it can complete within its caller's
    second."""
    second = timedelta(seconds=1)
    configuration_changes = ConfigurationChanges("core-1", State())
    configuration_changes.accept("caller", changes.Evacuate("", "hall"), second)
    (pending,) = configuration_changes.pending_changes.values()
    assert configuration_changes.schedule_read_retry(
        pending, second * 1.2
    ) and not configuration_changes.schedule_read_retry(pending, second * 1.4)
