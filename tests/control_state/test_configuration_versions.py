"""Configurations by version on a fleet: repeats, races, parts and storms."""

from sumachook.host.effects import Reply
from sumachook.host.events import MessageReceived
from sumachook.transport.node_message import wire_kind
from tests.configuration.test_services import route, whole
from tests.deployment_fixtures import compact_after, found, leader


def _order(request, doc, base, part=False, removals=None):
    return {"request": request, "doc": doc, "part": part, "removals": removals or {}, "ifVersion": base}


def _configure(deployment, core, *order, **more):
    return deployment.ask(core, "POST", "/operator/configure", _order(*order, **more))


def _post(deployment, core, *order, **more):
    """An order that is under way; its number among the operator's answers."""
    return deployment.operator().ask(
        f"http://{deployment.boxes[core].http_address}/operator/configure", "POST", _order(*order, **more)
    )


def _versions(deployment):
    return {machine.state.version for role in ("core", "edge") for machine in deployment.machines(role)}


def _deployment(seed, **more):
    """A town whose cores know all edges, with version 5 in force."""
    deployment = found(seed, **more)
    edges = {edge.node for edge in deployment.machines("edge")}
    assert deployment.run_until(
        lambda: all(edges <= {member.node for member in core.membership.live} for core in deployment.machines("core")),
        5,
    )
    answer = _configure(deployment, "core-1", "first", whole(5), 0)
    assert answer and answer[0] == 200 and answer[1]["version"] == 5, answer
    return deployment


def test_any_core_takes_a_configuration_and_every_edge_has_it_when_it_is_acknowledged():
    """Given a calm fleet, when each core in turn is asked, all edges hold the version by the answer, which waits for no pulse of theirs."""
    deployment = _deployment(201)
    for place, core in enumerate(("core-1", "core-2", "core-3")):
        before = deployment.now
        status, answer = _configure(
            deployment, core, f"q{place}", {"version": 6 + place, "httpRoutes": [route(50 + place)]}, 5 + place, True
        )
        assert status == 200 and answer["unconfirmed"] == [] and len(answer["confirmed"]) == 3
        assert {edge.state.version for edge in deployment.machines("edge")} == {6 + place}
        assert (deployment.now - before).total_seconds() < 1
    assert deployment.ask("core-2", "GET", "/show/catalogue")[1]["catalogue"]["httpRoutes"][-1] == route(52)


def test_race_on_one_base_is_won_by_exactly_one():
    """Given three operators at three cores on one base at once, over and over, one is acknowledged and the others hear what stands."""
    deployment = _deployment(202)
    deployment.ask("core-1", "GET", "/show/duties")
    operator, base = deployment.operator(), 5
    for turn in range(12):
        numbers = {}
        for place in range(3):
            version = base + 1 + (place + turn) % 3
            order = (f"turn-{turn}-{place}", {"version": version, "httpRoutes": [route(100 + place)]}, base, True)
            numbers[_post(deployment, f"core-{place + 1}", *order)] = version
        assert deployment.run_until(lambda: all(number in operator.answers for number in numbers), 8)
        statuses = {number: operator.answers[number][0] for number in numbers}
        assert sorted(statuses.values()) == [200, 409, 409], statuses
        winner = next(number for number, status in statuses.items() if status == 200)
        assert {operator.answers[number][1]["version"] for number in numbers} == {numbers[winner]}
        base = numbers[winner]
    assert deployment.run_until(lambda: _versions(deployment) == {base}, 2)


def test_two_contents_under_one_request_id_at_one_core_are_not_both_acknowledged():
    """Given two operators that chose one request id for different content, each hears of its own."""
    deployment = _deployment(203)
    deployment.ask("core-1", "GET", "/show/duties")
    numbers = [
        _post(deployment, "core-1", "same", {"version": 6, "httpRoutes": [route(number)]}, 5, True) for number in (7, 8)
    ]
    answers = deployment.operator().answers
    assert deployment.run_until(lambda: all(number in answers for number in numbers), 8)
    assert sorted(answers[number][0] for number in numbers) == [200, 409]


def test_repeat_at_any_core_is_acknowledged_also_when_newer_ones_came():
    """Given a configuration whose answer was lost, the same to each core is acknowledged and nothing moves."""
    deployment = _deployment(204)
    order = ("q", {"version": 6, "httpRoutes": [route(1)]}, 5, True)
    assert _configure(deployment, "core-1", *order)[0] == 200
    assert _configure(deployment, "core-2", "r", {"version": 9, "httpRoutes": [route(2)]}, 6, True)[0] == 200
    for core in ("core-1", "core-2", "core-3"):
        assert _configure(deployment, core, *order)[0] == 200
        assert _configure(deployment, core, "first", whole(5), 0)[0] == 200
    deployment.run(1)
    assert _versions(deployment) == {9}


def test_invalid_kinds_are_refused_with_reasons_and_none_is_half_applied():
    """Given parts of a good route and one fault each, the answer names the fault and no node holds any of it."""
    deployment = _deployment(205)
    for number, wrong in enumerate(
        (
            route(9, timeout_ms=0),
            route(9, split=[{"service": "gone", "weight": 1}]),
            route(9, prefix="/p0/"),
            route(9, split=[{"service": "huvo11a", "weight": 0}]),
            {"name": "r-9"},
            7,
        )
    ):
        doc = {"version": 6, "httpRoutes": [route(8), wrong]}
        status, answer = _configure(deployment, f"core-{number % 3 + 1}", f"bad-{number}", doc, 5, True)
        assert status == 422 and all(fault["reason"] for fault in answer["faults"]) and answer["version"] == 5
        assert answer["faults"][0]["path"].startswith("httpRoutes[2]")
    assert _configure(deployment, "core-1", "low", {"version": 5, "httpRoutes": [route(8)]}, 5, True)[0] == 422
    for order in (
        {"request": "q", "doc": whole(6)},
        {"request": "q", "doc": 3, "ifVersion": 5},
        {"request": "q", "doc": {}, "ifVersion": True},
        {"request": "q", "doc": {}, "ifVersion": 5, "removals": []},
    ):
        assert deployment.ask("core-2", "POST", "/operator/configure", order)[0] == 400
    deployment.run(1)
    assert _versions(deployment) == {5} and all(
        [route.name for route in edge.state.catalogue.http_routes] == ["r-0"] for edge in deployment.machines("edge")
    )


def test_four_hundred_routes_are_added_at_once_and_removed_again():
    """Given 400 routes in one part, every edge holds them by the answer; whoever comes later holds them too; then they go as one."""
    deployment = _deployment(206)
    doc = {"version": 6, "httpRoutes": [route(number) for number in range(1, 401)]}
    assert _configure(deployment, "core-3", "many", doc, 5, True)[0] == 200
    assert {len(edge.state.catalogue.http_routes) for edge in deployment.machines("edge")} == {401}
    deployment.kill("edge-1")
    deployment.start("edge-1")
    assert deployment.run_until(lambda: deployment.boxes["edge-1"].machine.state.version == 6, 5)
    gone = {"httpRoutes": [f"r-{number}" for number in range(1, 401)]}
    assert _configure(deployment, "core-1", "less", {"version": 8}, 6, True, gone)[0] == 200
    assert {len(edge.state.catalogue.http_routes) for edge in deployment.machines("edge")} == {1}


def test_storm_of_configurations_is_answered_and_stands_as_acknowledged():
    """Given sixty operators at three cores at once on guessed bases, each is answered, those whose base came into force meanwhile
    with no clear answer, and these clearly once they are sent again; the versions acknowledged make one rising chain, each on the
    one before, and its last is in force everywhere."""
    deployment = _deployment(207)
    deployment.ask("core-1", "GET", "/show/duties")
    operator, asked = deployment.operator(), {}

    def send(place):
        base = 5 + place // 6
        order = (f"storm-{place}", {"version": base + 1, "httpRoutes": [route(300 + place)]}, base, True)
        asked[_post(deployment, f"core-{place % 3 + 1}", *order)] = (base, place)

    for place in range(60):
        send(place)
    assert deployment.run_until(lambda: all(number in operator.answers for number in asked), 12)
    unclear = [number for number in asked if operator.answers[number][0] == 503]
    assert all(operator.answers[number][1]["fault"]["applied"] == "maybe" for number in unclear)
    for number in unclear:
        send(asked.pop(number)[1])
        assert deployment.run_until(lambda: all(number in operator.answers for number in asked), 12)
    assert {operator.answers[number][0] for number in asked} <= {200, 409}
    taken = sorted(base for number, (base, _) in asked.items() if operator.answers[number][0] == 200)
    assert taken == list(range(5, 5 + len(taken))) and taken
    assert deployment.run_until(lambda: _versions(deployment) == {taken[-1] + 1}, 2)
    good = {f"r-{300 + place}" for number, (_, place) in asked.items() if operator.answers[number][0] == 200}
    assert {route.name for route in leader(deployment).state.catalogue.http_routes} == good | {"r-0"}


def test_nobody_goes_back_when_cores_start_anew():
    """Given changes while cores are killed, cut and started in turn, no edge's version ever falls within one life, and a core that
    has just started gives nobody the older state on its disk."""
    deployment = _deployment(208)
    seen, version = {}, 5

    def look():
        for edge in deployment.machines("edge"):
            key = (edge.node, edge.restart_epoch)
            assert edge.state.version >= seen.get(key, 0)
            seen[key] = edge.state.version
        return False

    for place in (1, 2, 3):
        deployment.kill(f"core-{place}")
        other = f"core-{place % 3 + 1}"
        order = (f"q{place}", {"version": version + 2, "httpRoutes": [route(place)]}, version, True)
        assert _configure(deployment, other, *order)[0] == 200
        version += 2
        deployment.kill("edge-2")
        deployment.start("edge-2")
        deployment.cut([f"core-{place}"], [name for name in ("core-1", "core-2", "core-3") if name != f"core-{place}"])
        deployment.start(f"core-{place}")
        late = deployment.boxes[f"core-{place}"].machine
        deployment.run_until(look, 3)
        assert late.state.version < version and {edge.state.version for edge in deployment.machines("edge")} == {
            version
        }
        deployment.heal()
        deployment.run_until(look, 4)
        assert deployment.run_until(
            lambda: leader(deployment) is not None and len(leader(deployment).consensus.members) == 3, 10
        )
    assert _versions(deployment) == {version}


def test_core_that_starts_from_its_disk_serves_its_feed_only_in_a_working_view():
    """Given a core alone with the image on its disk, an edge that follows it hears nothing from it until it is in a view, and then
    what is newest."""
    deployment = _deployment(209)
    compact_after(deployment, 2)
    for version in range(6, 12):
        assert _configure(deployment, "core-2", f"q{version}", {"version": version}, version - 1, True)[0] == 200
    deployment.run(2)
    deployment.kill("core-2")
    assert _configure(deployment, "core-1", "last", {"version": 20}, 11, True)[0] == 200
    for name in ("core-1", "core-3", "edge-1"):
        deployment.kill(name)
    deployment.start("core-2")
    deployment.start("edge-1")
    deployment.run(5)
    alone, edge = deployment.boxes["core-2"].machine, deployment.boxes["edge-1"].machine
    assert 5 < alone.state.version < 20 and alone.source.followers
    assert edge.state.version == 0 and edge.follower.trust(deployment.now) == "empty"
    versions = set()
    deployment.start("core-1")
    assert deployment.run_until(
        lambda: versions.add(edge.state.version) or edge.state.version == 20, 12
    ) and versions == {
        0,
        20,
    }


def test_order_is_proposed_until_a_view_takes_it_or_its_time_is_over():
    """Given a leader lost just as an order comes, the order is proposed again to the next view and acknowledged; given no majority,
    it is answered as perhaps applied when its time is over, and the repeat finishes it."""
    deployment = _deployment(210, order_within=4.0)
    names = ("core-1", "core-2", "core-3")
    first = next(name for name in names if deployment.boxes[name].machine is leader(deployment))
    other = next(name for name in names if name != first)
    number = _post(deployment, other, "q", {"version": 6, "httpRoutes": [route(1)]}, 5, True)
    deployment.kill(first)
    answers = deployment.operator().answers
    assert deployment.run_until(lambda: number in answers, 6) and answers[number][0] == 200
    deployment.start(first)
    assert deployment.run_until(
        lambda: leader(deployment) is not None and len(leader(deployment).consensus.members) == 3, 12
    )
    order = ("r", {"version": 7, "httpRoutes": [route(2)]}, 6, True)
    before = deployment.now
    number = _post(deployment, other, *order)
    for name in names:
        if name != other:
            deployment.kill(name)
    assert deployment.run_until(lambda: number in answers, 8)
    assert answers[number][0] == 503 and answers[number][1]["fault"]["applied"] == "maybe"
    assert 4 <= (deployment.now - before).total_seconds() < 4.5
    deployment.start(first)
    assert deployment.run_until(lambda: leader(deployment) is not None, 12)
    assert _configure(deployment, first, *order)[0] == 200 and leader(deployment).state.version == 7


def test_answer_waits_for_a_silent_edge_no_longer_than_it_is_told_to():
    """Given an edge that is frozen, the answer comes when `confirmWithin` is over and names it; what was confirmed is named too."""
    deployment = _deployment(211, confirm_within=0.5)
    deployment.run(1)
    deployment.freeze("edge-3")
    before = deployment.now
    status, answer = _configure(deployment, "core-1", "q", {"version": 6, "httpRoutes": [route(1)]}, 5, True)
    assert status == 200 and answer["unconfirmed"] == ["edge-3"] and len(answer["confirmed"]) == 2
    assert 0.5 <= (deployment.now - before).total_seconds() < 1


class _Watched:
    """A core that notes what it heard when it answered a configuration."""

    def __init__(self, core):
        self.core, self.causes = core, []

    def __getattr__(self, name):
        return getattr(self.core, name)

    def take(self, message, now):
        effects = self.core.take(message, now)
        if any(isinstance(effect, Reply) and b"confirmed" in effect.body for effect in effects):
            self.causes.append(wire_kind(message.message) if isinstance(message, MessageReceived) else type(message))
        return effects


def test_answer_leaves_with_the_last_confirmation():
    """Given changes at each core, each answer is caused by an edge's word, heard from it or from another core, and by no pulse."""
    deployment = _deployment(212)
    deployment.run(1)
    for place, name in enumerate(("core-1", "core-2", "core-3")):
        box = deployment.boxes[name]
        box.machine = watched = _Watched(box.machine)
        assert _configure(deployment, name, f"q{place}", {"version": 6 + place}, 5 + place, True)[0] == 200
        assert len(watched.causes) == 1 and watched.causes[0] in ("confirm", "confirmed")


def test_places_are_shown_by_the_holder_of_the_placing_duty():
    """Given a town with a placer, `show places` at its core names the holder and the servers that it knows."""
    from tests.deployment_fixtures import leader, settled

    deployment = settled(91)
    name = next(box.name for box in deployment.boxes.values() if box.machine is leader(deployment))
    status, doc = deployment.ask(name, "GET", "/show/places")[:2]
    assert (
        status == 200
        and doc["holder"] == leader(deployment).state.role_holders["placer"][0]
        and set(doc) >= {"servers", "models"}
    )
