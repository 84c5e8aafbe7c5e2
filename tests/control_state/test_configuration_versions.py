"""Tests versioned configurations on a simulated deployment: repeats, concurrent changes, parts and faults."""

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
    """Sends a configuration without waiting; returns the number under which its answer is stored."""
    return deployment.operator().ask(
        f"http://{deployment.boxes[core].http_address}/operator/configure", "POST", _order(*order, **more)
    )


def _versions(deployment):
    return {machine.state.version for role in ("core", "edge") for machine in deployment.machines(role)}


def _deployment(seed, **more):
    """Starts a deployment whose cores know all edges, with configuration version 5 in force."""
    deployment = found(seed, **more)
    edges = {edge.node for edge in deployment.machines("edge")}
    assert deployment.run_until(
        lambda: all(edges <= {member.node for member in core.membership.live} for core in deployment.machines("core")),
        5,
    )
    answer = _configure(deployment, "core-1", "first", whole(5), 0)
    assert answer and answer[0] == 200 and answer[1]["version"] == 5, answer
    return deployment


def test_acknowledged_configuration_is_on_every_edge_whichever_core_received_it():
    """Without faults, all edges have applied a version when any core acknowledges it, without waiting for a tick of
    theirs.
    """
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


def test_one_of_three_concurrent_configurations_with_one_base_is_accepted():
    """Of three configurations sent at once to three cores with the same base version, exactly one is acknowledged; the
    others are answered with the version in force.
    """
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


def test_one_request_id_with_different_contents_is_not_acknowledged_for_both():
    """Two operators that chose the same request id for different content each get the result of their own content."""
    deployment = _deployment(203)
    deployment.ask("core-1", "GET", "/show/duties")
    numbers = [
        _post(deployment, "core-1", "same", {"version": 6, "httpRoutes": [route(number)]}, 5, True) for number in (7, 8)
    ]
    answers = deployment.operator().answers
    assert deployment.run_until(lambda: all(number in answers for number in numbers), 8)
    assert sorted(answers[number][0] for number in numbers) == [200, 409]


def test_repeat_at_any_core_is_acknowledged_after_newer_versions():
    """A configuration whose answer was lost is acknowledged when it is repeated at any core, and changes nothing."""
    deployment = _deployment(204)
    order = ("q", {"version": 6, "httpRoutes": [route(1)]}, 5, True)
    assert _configure(deployment, "core-1", *order)[0] == 200
    assert _configure(deployment, "core-2", "r", {"version": 9, "httpRoutes": [route(2)]}, 6, True)[0] == 200
    for core in ("core-1", "core-2", "core-3"):
        assert _configure(deployment, core, *order)[0] == 200
        assert _configure(deployment, core, "first", whole(5), 0)[0] == 200
    deployment.run(1)
    assert _versions(deployment) == {9}


def test_invalid_configurations_are_rejected_with_reasons_and_not_applied():
    """A part with a valid route and an invalid item is rejected with path and reason, and no node applies any of it."""
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


def test_one_part_adds_400_routes_and_another_removes_them():
    """When a part is acknowledged, every edge has its 400 routes; a restarted edge gets them too.

    One part then removes them from every edge.
    """
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


def test_sixty_concurrent_configurations_are_answered_and_applied_as_acknowledged():
    """Sixty configurations are sent to three cores at once with guessed base versions, and each must be answered.

    Those whose base version came into force in the meantime get status 503 (perhaps applied), and a definite answer
    when they are sent again. Each acknowledged version must have the previous one as its base, and the last must be in
    force on every node.
    """
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


def test_no_edge_goes_back_to_an_older_version_when_cores_restart():
    """While cores are killed, partitioned and restarted in turn, no edge's version may decrease during one process run.

    The failure would be a restarted core that sends the older state on its disk to an edge.
    """
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


def test_restarted_core_serves_the_feed_only_in_a_working_view():
    """A core that restarts alone from its snapshot on disk must send nothing to an edge that follows it.

    Once it is in a working view, it sends the newest state.
    """
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


def test_configuration_is_proposed_again_until_it_commits_or_times_out():
    """If the leader fails as a configuration arrives, it is proposed again in the next view and acknowledged.

    Without a majority, it is answered as perhaps applied after its timeout, and a repeat completes it.
    """
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


def test_answer_waits_for_a_frozen_edge_at_most_for_confirm_within():
    """With a frozen edge, the answer is sent after `confirmWithin` and lists that edge as unconfirmed, the others as
    confirmed.
    """
    deployment = _deployment(211, confirm_within=0.5)
    deployment.run(1)
    deployment.freeze("edge-3")
    before = deployment.now
    status, answer = _configure(deployment, "core-1", "q", {"version": 6, "httpRoutes": [route(1)]}, 5, True)
    assert status == 200 and answer["unconfirmed"] == ["edge-3"] and len(answer["confirmed"]) == 2
    assert 0.5 <= (deployment.now - before).total_seconds() < 1


class _RecordingCore:
    """Wraps a core and records the events on which it answered a configuration."""

    def __init__(self, core):
        self.core, self.causes = core, []

    def __getattr__(self, name):
        return getattr(self.core, name)

    def take(self, message, now):
        effects = self.core.take(message, now)
        if any(isinstance(effect, Reply) and b"confirmed" in effect.body for effect in effects):
            self.causes.append(wire_kind(message.message) if isinstance(message, MessageReceived) else type(message))
        return effects


def test_answer_is_sent_on_the_last_confirmation():
    """A core must answer when the last confirmation of an edge arrives, directly or from another core, and not wait for
    a tick.
    """
    deployment = _deployment(212)
    deployment.run(1)
    for place, name in enumerate(("core-1", "core-2", "core-3")):
        box = deployment.boxes[name]
        box.machine = recording_core = _RecordingCore(box.machine)
        assert _configure(deployment, name, f"q{place}", {"version": 6 + place}, 5 + place, True)[0] == 200
        assert len(recording_core.causes) == 1 and recording_core.causes[0] in ("confirm", "confirmed")


def test_show_places_names_the_holder_of_the_placer_role():
    """At the core of the placer, `show places` names the holder of the role and the servers that it knows."""
    from tests.deployment_fixtures import leader, settled

    deployment = settled(91)
    name = next(box.name for box in deployment.boxes.values() if box.machine is leader(deployment))
    status, doc = deployment.ask(name, "GET", "/show/places")[:2]
    assert (
        status == 200
        and doc["holder"] == leader(deployment).state.role_holders["placer"][0]
        and set(doc) >= {"servers", "models"}
    )
