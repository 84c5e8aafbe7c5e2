"""Operators' orders: versions decided at delivery, repeats known by content, late copies without effect, reads that are never old."""

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
PART = {"version": 7, "httpRoutes": [route(1)]}
CORES = ("core-1", "core-2", "core-3")
EVACUATE_HALL_B = changes.Evacuate("", "hall-b")


def _order(number, change, seen, origin="core-2.1"):
    return changes.OperatorCall(origin, number, seen, change)


def _update(doc, base, removals=None):
    return changes.ConfigureWithDefaults("", doc, removals or {}, True, base, {})


def _state(version=5):
    state = State()
    assert state.apply(
        1, _order(1, changes.ConfigureWithDefaults("", whole(version), {}, False, 0, {}), 0)
    ) == accepted(1)
    return state


# one state --------------------------------------------------------------------


def test_start_that_was_held_up_does_not_overtake_the_finish():
    """Given a start at one core whose proposal lies in a buffer, the same start at another, and the finish of it, the copy changes
    nothing when it comes, and is not called done; a start that came to its core after the finish counts."""
    state = _state()
    held_up = _order(1, changes.Evacuate("", "hall-b"), 1)
    assert state.apply(
        2, _order(1, changes.Evacuate("", "hall-b"), 1, "core-1.1")
    ).outcome is Outcome.ACCEPTED and not state.is_open("hall-b")
    assert state.apply(3, _order(2, changes.Restore("", "hall-b"), 2, "core-1.1")).outcome is Outcome.ACCEPTED
    assert state.apply(4, held_up).outcome is Outcome.UNKNOWN and state.is_open("hall-b")
    assert (
        state.apply(5, _order(2, changes.Evacuate("", "hall-a"), 1)).outcome is Outcome.ACCEPTED
    )  # another area is not concerned
    assert state.apply(
        6, _order(3, changes.Evacuate("", "hall-b"), 3)
    ).outcome is Outcome.ACCEPTED and not state.is_open("hall-b")
    assert state.apply(7, held_up).outcome is Outcome.ACCEPTED  # what it asks for stands anyhow


def test_finish_that_was_held_up_does_not_overtake_the_next_start():
    """Given a finish in a buffer, its repeat elsewhere and a new start, the area stays closed, on a copy of the state too."""
    state, again = _state(), State()
    held_up = _order(9, changes.Restore("", "hall-b"), 2)
    for number, kind in enumerate((changes.Evacuate, changes.Restore, changes.Evacuate), 2):
        assert (
            state.apply(number, _order(number, kind("", "hall-b"), number - 1, "core-1.1")).outcome is Outcome.ACCEPTED
        )
    again.restore(msgspec.json.decode(msgspec.json.encode(state.snapshot())))
    for each in (state, again):
        assert each.apply(5, held_up).outcome is Outcome.UNKNOWN and not each.is_open("hall-b")


def test_copy_of_an_order_that_was_refused_is_not_taken_once_its_base_is_there():
    """Given a change on a version that is not there yet, refused at one core while a copy of it lies in a buffer of another: when that
    version comes, the copy is not taken, nor refused; the same change sent after that is."""
    state = _state(5)
    early = _update({"version": 9, "httpRoutes": [route(9)]}, 7)
    assert state.apply(2, _order(1, early, 1, "core-1.1")).outcome is Outcome.STALE
    assert state.apply(3, _order(2, _update(PART, 5), 2, "core-1.1")).outcome is Outcome.ACCEPTED
    assert state.apply(4, _order(1, early, 1)).outcome is Outcome.UNKNOWN and state.version == 7
    assert state.apply(5, _order(2, early, 3)) == accepted(3) and state.version == 9


def test_claim_is_judged_as_the_whole_document_would_be():
    """Given configurations taken, stale, invalid and good, each but the good one is ordered by its digest alone, in a few hundred
    bytes, and its verdict is the document's."""
    state = _state(5)
    assert state.apply(2, _order(1, _update(PART, 5), 1)).outcome is Outcome.ACCEPTED
    big = [route(number) for number in range(100, 700)]
    bad = [*big, route(900, timeout_ms=0)]
    for change, verdict in (
        (_update(reordered(PART), 5), Outcome.ACCEPTED),
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
        assert state.apply(3, _order(2, claim, 2)).outcome is verdict
        assert copy.apply(3, _order(2, change, 2)).outcome is verdict
    good = _update({"version": 9, "httpRoutes": big}, 7)
    assert state.compact_form(good) is good
    late = state.compact_form(_update({"version": 12}, 9))
    assert state.apply(4, _order(3, good, 3)).outcome is Outcome.ACCEPTED
    assert (
        state.apply(5, _order(4, late, 3)).outcome is Outcome.UNKNOWN
    )  # its base came meanwhile: neither refused nor taken


def test_defaults_that_a_core_fills_in_do_not_make_it_another_order():
    """Given the same configuration from cores whose settings list different zones, the second is a repeat."""
    state = State()
    doc = {field: value for field, value in whole(5).items() if field not in ("name", "areas")}
    for number, zones in enumerate((["hall-a", "hall-b"], ["hall-b"]), 1):
        change = changes.ConfigureWithDefaults("", doc, {}, False, 0, {"name": "platform", "areas": zones})
        assert state.apply(number, _order(number, change, 0)) == accepted(1)
    assert state.catalogue.zones == ("hall-a", "hall-b")


def test_one_request_id_is_not_two_orders():
    """Given an id that was used, other content under it is refused and not called taken."""
    state = _state()
    assert state.apply(2, changes.Evacuate("once", "hall-a")) == accepted(2) and state.apply(
        3, changes.Evacuate("once", "hall-a")
    ) == accepted(2)
    assert (
        state.apply(4, changes.Evacuate("once", "hall-b")).outcome is Outcome.REJECTED
        and state.apply(5, changes.Restore("once", "hall-a")).outcome is Outcome.REJECTED
    )
    assert not state.is_open("hall-a") and state.is_open("hall-b")


# the desk ---------------------------------------------------------------------


def _desk(state=None, **more):
    return ConfigurationChanges("core-2.1", state or _state(), **more)


def _accepted(configuration_changes, change=EVACUATE_HALL_B, cid=1, now=SECOND):
    (read,) = configuration_changes.accept(cid, change, now)
    assert isinstance(read, ReadRequested)
    return read.token


def test_order_is_proposed_after_its_read_and_answered_by_its_own_delivery():
    """Given an order, it is proposed once its read came back, again while nothing is delivered, and answered by the delivery of its own
    attempt and by no other's; then it is proposed no more."""
    configuration_changes = _desk()
    token = _accepted(configuration_changes)
    assert configuration_changes.tick((), {}, SECOND) == []
    configuration_changes.readable(token, SECOND)
    (proposal,) = configuration_changes.tick((), {}, SECOND)
    entry = proposal.change
    assert entry == _order(1, changes.Evacuate("", "hall-b"), 1)
    assert configuration_changes.tick((), {}, SECOND * 1.1) == [] and configuration_changes.tick(
        (), {}, SECOND * 1.5
    ) == [ProposeChange(entry)]
    configuration_changes.delivered(
        7, Attempt("core-2.0", 1, 1), accepted(9), 5, SECOND * 1.5
    )  # of an earlier life of this core's process
    configuration_changes.delivered(7, Attempt("core-1.1", 1, 1), accepted(9), 5, SECOND * 1.5)
    assert configuration_changes.tick((), {}, SECOND * 1.6) == []
    configuration_changes.delivered(
        8, Attempt(entry.origin, entry.number, entry.seen), rejected("area", "no area"), 5, SECOND * 1.6
    )
    configuration_changes.delivered(9, Attempt(entry.origin, entry.number, entry.seen), accepted(9), 5, SECOND * 1.6)
    (answer,) = configuration_changes.tick((), {}, SECOND * 1.7)
    assert (
        isinstance(answer, Reply)
        and (answer.call_id, answer.status) == (1, 422)
        and configuration_changes.orders == {}
        and configuration_changes.tick((), {}, SECOND * 3) == []
    )


def test_order_whose_caller_went_away_is_proposed_no_more():
    """Given callers that hang up before the read came back, between it and the proposal, and after that, nothing more is proposed; so
    an order that lay in the buffer of a frozen core goes no further than the end of its call behind it."""
    for steps in range(3):
        configuration_changes = _desk()
        token = _accepted(configuration_changes)
        if steps > 0:
            configuration_changes.readable(token, SECOND)
        if steps > 1:
            assert len(configuration_changes.tick((), {}, SECOND)) == 1
        configuration_changes.handle_disconnect(1)
        configuration_changes.readable(token, SECOND)
        assert configuration_changes.tick((), {}, SECOND * 2) == [] and configuration_changes.orders == {}


def test_order_is_answered_in_its_time_and_says_whether_it_may_be_taken_yet():
    """Given no delivery, an order that was not proposed is answered as not applied, one that was as perhaps applied; one whose edges are
    slow is acknowledged in that time too."""
    for is_proposed, applied in ((False, "no"), (True, "maybe")):
        configuration_changes = _desk(answer_within=SECOND)
        token = _accepted(configuration_changes)
        if is_proposed:
            configuration_changes.readable(token, SECOND)
            configuration_changes.tick((), {}, SECOND)
        (answer,) = [effect for effect in configuration_changes.tick((), {}, SECOND * 2) if isinstance(effect, Reply)]
        assert answer.status == 503 and msgspec.json.decode(answer.body)["fault"]["applied"] == applied
        assert configuration_changes.tick((), {}, SECOND * 9) == []
    configuration_changes = _desk(answer_within=SECOND)
    configuration_changes.readable(_accepted(configuration_changes), SECOND)
    (proposal,) = configuration_changes.tick((), {}, SECOND)
    entry = proposal.change
    configuration_changes.delivered(7, Attempt(entry.origin, entry.number, entry.seen), accepted(3), 5, SECOND * 1.9)
    assert configuration_changes.tick(("e1",), {}, SECOND * 1.9) == []
    (answer,) = configuration_changes.tick(("e1",), {}, SECOND * 2)
    assert answer.status == 200 and msgspec.json.decode(answer.body)["unconfirmed"] == ["e1"]


def test_orders_at_one_core_are_bounded():
    """Given as many orders as a desk holds, the next is turned away as not applied."""
    configuration_changes = _desk()
    for cid in range(128):
        (read,) = configuration_changes.accept(cid, changes.Evacuate("", "hall-b"), SECOND)
        assert isinstance(read, ReadRequested)
    (answer,) = configuration_changes.accept(128, changes.Evacuate("", "hall-b"), SECOND)
    assert isinstance(answer, Reply) and answer.status == 503
    assert msgspec.json.decode(answer.body)["fault"]["applied"] == "no"


def test_documents_too_deep_to_be_walked_are_refused_at_once():
    """Given an order nested ever deeper, it is refused by itself and never proposed, where the library still reads it and where not."""
    for depth in (MAX_DEPTH, 300, 900, 100000):
        doc = b'{"ifVersion":5,"doc":{"version":7,"extra":' + b"[" * depth + b"]" * depth + b"}}"
        with pytest.raises(InvalidChangeError):
            read_change_request("/operator/configure", doc)
    change = read_change_request("/operator/configure", b'{"ifVersion":5,"doc":{"version":7,"extra":[[[]]]}}')
    assert isinstance(change, changes.Configure)


# a fleet ----------------------------------------------------------------------


def _deployment(seed, **more):
    deployment = found(seed, edges=1, voter_away=1.6, confirm_within=0.8, order_within=0.85, **more)
    assert deployment.run_until(
        lambda: _call(deployment, "core-1", "configure", doc=whole(5), if_version=0)[0] == 200, 10
    )
    return deployment


def _call(deployment, core, kind, **document):
    return deployment.ask(core, "POST", f"/operator/{kind}", json_fields(document), follows=False) or (0, None)


def _post(deployment, core, kind, **document):
    """A call that is under way; its number among the operator's answers."""
    number = deployment.operator().ask(
        f"http://{deployment.boxes[core].http_address}/operator/{kind}", "POST", json_fields(document), False
    )
    deployment._hand(deployment.boxes["operator"], Tick())
    return number


def _wait(deployment, *numbers):
    answers = deployment.operator().answers
    assert deployment.run_until(lambda: all(number in answers for number in numbers), 9)
    return [answers[number] for number in numbers]


def _until_clear(deployment, kind, cores=CORES, **document):
    """As operators do it: sent again, anywhere, until the answer is clear."""
    for turn in range(40):
        status, body = _call(deployment, cores[turn % len(cores)], kind, **document)
        if status in (200, 400, 409, 422):
            return status, body
        deployment.run(0.2)
    raise AssertionError("no clear answer")


def _roles(deployment):
    """(name of the leading core, names of the others)."""
    assert deployment.run_until(
        lambda: leader(deployment) is not None and len(leader(deployment).consensus.members) == 3, 20
    )
    name = box_of(deployment, leader(deployment)).name
    return name, [other for other in CORES if other != name]


def test_order_under_way_at_two_cores_is_acknowledged_at_both_and_taken_once():
    """Given the same change sent to all cores at once, members of its objects in another order at one, each acknowledges it and it is
    in force once."""
    deployment = _deployment(401)
    docs = (PART, reordered(PART), PART)
    numbers = [_post(deployment, core, "configure", doc=doc, if_version=5, part=True) for core, doc in zip(CORES, docs)]
    answers = _wait(deployment, *numbers)
    assert [status for status, _ in answers] == [200] * 3 and {body["generation"] for _, body in answers} == {2}


def test_one_of_three_changes_on_one_base_wins_at_three_cores_also_when_answers_are_lost():
    """Given three different changes under one number on one base at three cores, over and over, one is acknowledged; each sent again
    at every other core is answered as it was, also when newer ones came."""
    deployment = _deployment(402)
    base, told = 5, []
    for turn in range(4):
        docs = [{"version": base + 2, "httpRoutes": [route(100 + 10 * turn + place)]} for place in range(3)]
        numbers = [
            _post(deployment, core, "configure", doc=doc, if_version=base, part=True) for core, doc in zip(CORES, docs)
        ]
        statuses = [status for status, _ in _wait(deployment, *numbers)]
        assert sorted(statuses) == [200, 409, 409]
        told += [(doc, base, status) for doc, status in zip(docs, statuses)]
        base += 2
    for doc, on, status in told:
        assert [_call(deployment, core, "configure", doc=doc, if_version=on, part=True)[0] for core in CORES] == [
            status
        ] * 3


def test_what_was_taken_is_known_after_power_loss_of_all_and_on_a_replaced_disk():
    """Given changes taken, an evacuation among them, when all cores lose power and one its disk, each core acknowledges each of them
    again, and refuses what lost its race."""
    deployment = _deployment(403)
    second = {"version": 9, "httpRoutes": [route(2)]}
    assert _call(deployment, "core-1", "configure", doc=PART, if_version=5, part=True)[0] == 200
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
            lambda: _call(deployment, core, "configure", doc=PART, if_version=5, part=True)[0] == 200, 20
        ), core
        assert (
            _until_clear(
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
        assert _until_clear(deployment, "configure", (core,), doc=whole(5), if_version=0)[0] == 200
        assert (
            _until_clear(deployment, "configure", (core,), doc={**second, "httpRoutes": []}, if_version=7, part=True)[0]
            == 409
        )
        assert _until_clear(deployment, "evacuate", (core,), area="hall-b")[0] == 200
    assert not leader(deployment).state.is_open("hall-b")


def test_base_that_is_not_current_is_told_before_what_is_invalid():
    """Given changes on an old base, good and invalid, each core says that another version is current; on the current one, the invalid
    are refused for what they are, and nothing moves."""
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


def test_core_that_is_cut_off_neither_refuses_nor_confirms_nor_reads():
    """Given a core cut off from the others, once it can know it, stale orders, invalid ones, good ones and reads are answered within 0.6
    seconds with the way to another core or as not applied; what it was asked is not in force."""
    deployment = _deployment(405)
    _, others = _roles(deployment)
    lone = others[0]
    deployment.cut([lone], deployment.inside(lone))
    deployment.run(3)
    assert (
        _until_clear(
            deployment, "configure", [core for core in CORES if core != lone], doc=PART, if_version=5, part=True
        )[0]
        == 200
    )
    for document in (
        {"doc": {"version": 9}, "ifVersion": 3},
        {"doc": {"version": 9, "httpRoutes": 7}, "ifVersion": 5},
        {"doc": {"version": 8}, "ifVersion": 5},
    ):
        before = deployment.now
        status, body = _call(deployment, lone, "configure", part=True, **document)
        assert status in (307, 503) and body["fault"]["applied"] == "no" and (deployment.now - before) < SECOND * 0.6
    before = deployment.now
    assert (
        deployment.ask(lone, "GET", "/show/catalogue", follows=False)[0] in (307, 503)
        and (deployment.now - before) < SECOND * 0.6
    )
    deployment.heal()
    deployment.run(5)
    assert {core.state.version for core in deployment.machines("core")} == {7}


def test_leader_that_is_just_cut_off_answers_as_unclear_within_a_second():
    """Given a leader cut off in the moment in which an order comes, it answers within 0.9 s that the order may be taken yet or that it was
    not; sent again it is acknowledged, once."""
    deployment = _deployment(406)
    first, others = _roles(deployment)
    number = _post(deployment, first, "configure", doc=PART, if_version=5, part=True)
    deployment.run(0.06)
    deployment.cut([first], deployment.inside(first))
    before = deployment.now
    ((status, body),) = _wait(deployment, number)
    assert status in (200, 307, 503) and (deployment.now - before) < SECOND * 0.9
    assert _until_clear(deployment, "configure", others, doc=PART, if_version=5, part=True)[0] == 200
    deployment.heal()
    deployment.run(6)
    assert _until_clear(deployment, "configure", (first,), doc=PART, if_version=5, part=True)[0] == 200
    assert {core.state.generation for core in deployment.machines("core")} == {2}


def test_proposal_that_lies_in_a_buffer_is_without_effect_after_what_came_later():
    """Given a member whose proposals to evacuate lie in a buffer until its caller went elsewhere, had the area emptied and taken back:
    when they arrive the area stays open, at every core and edge."""
    deployment = _deployment(407)
    first, others = _roles(deployment)
    late = deployment.boxes[others[0]]
    held, plain = [], late.machine

    class Holding:
        def __getattr__(self, name):
            return getattr(plain, name)

        def take(self, message, now):
            out = plain.take(message, now)
            held.extend(effect for effect in out if _is_proposal(effect))
            return [effect for effect in out if not _is_proposal(effect)]

    late.machine = Holding()
    number = _post(deployment, late.name, "evacuate", request="one", area="hall-b")
    ((status, body),) = _wait(deployment, number)
    late.machine = plain
    assert status == 503 and body["fault"]["applied"] == "maybe" and len(held) > 1
    assert _call(deployment, first, "evacuate", request="two", area="hall-b")[0] == 200
    assert _call(deployment, first, "restore", request="three", area="hall-b")[0] == 200
    for effect in held:
        deployment._do(late, effect)
    deployment.run(2)
    assert {machine.state.is_open("hall-b") for role in ("core", "edge") for machine in deployment.machines(role)} == {
        True
    }


def _is_proposal(effect) -> bool:
    return isinstance(effect, Send) and wire_kind(effect.message) == "propose"


def test_long_order_at_a_member_is_handed_on_to_the_leader():
    """Given an order of half a megabyte at a member, its caller is handed on to the leader's control address, where it is taken."""
    deployment = _deployment(408)
    first, others = _roles(deployment)
    document = {"doc": {"version": 7, "extra": {"note": "x" * 500_000}}, "ifVersion": 5, "part": True}
    status, body = _call(deployment, others[0], "configure", **document)
    assert status == 307 and body["fault"]["reason"] == f"ask {deployment.boxes[first].http_address}"
    assert _call(deployment, first, "configure", **document)[0] == 200


def test_order_of_four_mebibytes_is_taken_known_again_and_built_on():
    """Given a change of four mebibytes that does not compress, it is acknowledged and in force everywhere, its repeat is known without
    the document in the log, the next change builds on it, and a core that comes back with an empty disk has it."""
    deployment = _deployment(410)
    first, others = _roles(deployment)
    note = random.Random(1).randbytes(2_050_000).hex()
    document = {"doc": {"version": 7, "extra": {"note": note}}, "if_version": 5, "part": True}
    assert _until_clear(deployment, "configure", (first,), **document)[0] == 200
    logged = sum(len(entry) for entry in leader(deployment).consensus.log.entries)
    assert _call(deployment, first, "configure", **document)[0] == 200
    assert sum(len(entry) for entry in leader(deployment).consensus.log.entries) < logged + 5000
    assert _until_clear(deployment, "configure", others, doc={"version": 9}, if_version=7, part=True)[0] == 200
    deployment.kill(others[0])
    deployment.boxes[others[0]].disk.wipe()
    deployment.start(others[0])
    assert deployment.run_until(lambda: {core.state.version for core in deployment.machines("core")} == {9}, 10)
    assert {machine.state.version for machine in deployment.machines("edge")} == {9}


def test_core_that_has_just_started_answers_before_its_identity_is_on_its_disk():
    """Given a core with an empty disk that is slow, calls get 503 at once and no silence."""
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
    """Given bodies of just four mebibytes and one byte more, with a length and in chunks, the former reach the machine whole."""
    from harness.local_cluster.loopback import free_address, wait_until_serving
    from sumachook.host.effects import Reply
    from sumachook.nodes.serve import MAX_OPERATOR_BODY_BYTES
    from sumachook.transport.http_server import HttpServer
    from tests.transport.test_http_server import _raw

    async def story():
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
                answer = await _raw(
                    http_server.address, b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s\r\n\r\n" % head + body
                )
                statuses.append(int(answer.split()[1]))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return statuses, sizes

    assert asyncio.run(story()) == ([200, 200, 413, 413], [4 << 20, 4 << 20])


# the history and the storm -------------------------------------------------------


def test_the_book_accuses_each_wrong():
    """Given answers and a final configuration that break one rule each, the history names it; given sound ones it is silent."""

    def fault_of(*orders, present=(), refuse_after=False):
        history = OrderHistory(5, orders=list(orders))
        if refuse_after:
            history.record_answer(orders[0], SECOND * 3, 412, True)
        return history.faults({"httpRoutes": [{"name": mark} for mark in present]})

    def order(mark, base, version, *kinds, **more):
        return Order(mark, base, version, {}, answers=[(SECOND, kind, True) for kind in kinds], **more)

    assert fault_of(order("mark-1", 5, 7, "taken"), order("mark-2", 5, 7, "refused"), present=["mark-1"]) == []
    for accusations in (
        fault_of(order("mark-1", 5, 7, "taken")),
        fault_of(order("mark-1", 5, 7, "refused"), present=["mark-1"]),
        fault_of(order("mark-1", 5, 7, "taken"), order("mark-2", 5, 8, "taken"), present=["mark-1", "mark-2"]),
        fault_of(order("mark-1", 5, 7, "taken", is_valid=False), present=["mark-1"]),
        fault_of(order("mark-1", 5, 7, "taken"), present=["mark-1"], refuse_after=True),
    ):
        assert accusations


@pytest.mark.parametrize("seed", range(1, 9))
def test_storm_of_orders_with_lost_answers_and_losses_keeps_the_book(seed):
    """Given eight operators, half of their answers lost, and kills around answers and requests, nobody is told what is not so."""
    _, sent, acknowledged, _, faults = play(seed, 16.0)
    assert faults == [] and sent > 3 and acknowledged > 1


def test_a_turn_whose_read_came_back_after_its_caller_went_on_is_not_proposed():
    """Given an evacuation at a core without a view, and a caller that after a second of silence was served elsewhere and took it back:
    the read that comes back then does not let the evacuation out any more; a configuration, whose base decides, may go."""
    second = timedelta(seconds=1)
    for change, is_proposed in (
        (changes.Evacuate("", "hall"), False),
        (changes.Configure("", {"version": 1}, {}, False, 0), True),
    ):
        configuration_changes = ConfigurationChanges("core-1", State())
        configuration_changes.accept("caller", change, second)
        (order,) = configuration_changes.orders.values()
        configuration_changes.readable(configuration_changes.token(order), second * 2.1)
        out = configuration_changes.tick((), {}, second * 2.2)
        assert any(isinstance(effect, ProposeChange) for effect in out) == is_proposed
        assert any(isinstance(effect, Reply) and effect.status == 503 for effect in out) != is_proposed


def test_a_turn_waits_for_the_next_leader_no_longer_than_its_caller():
    """Given a core without a view, an evacuation is read for again only where the read is back within its caller's second."""
    second = timedelta(seconds=1)
    configuration_changes = ConfigurationChanges("core-1", State())
    configuration_changes.accept("caller", changes.Evacuate("", "hall"), second)
    (order,) = configuration_changes.orders.values()
    assert configuration_changes.read_again(order, second * 1.2) and not configuration_changes.read_again(
        order, second * 1.4
    )
