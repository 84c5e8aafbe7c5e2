"""The giving end of the feed: in parcels that can be packed, at once, and only from a working view (§8.1)."""

from datetime import timedelta
from random import Random

from sumachook.catalog.state import State
from sumachook.changefeed.follower import Follower
from sumachook.changefeed.source import MOST_KEPT_BYTES, Source
from sumachook.runtime.almanac import Almanac
from sumachook.runtime.clock import Clock
from sumachook.transport.codec import MOST_BYTES, Codec, pack_entry
from tests.service_catalogue_stories import route, whole

NOW = timedelta(seconds=100)


class _Core:
    """A state and its source; `isFresh` is its view."""

    def __init__(self):
        self.state, self.is_fresh, self.version = State(), True, 0
        self.source = Source(self.state, lambda: (), NOW, Almanac(Clock().wall, NOW), lambda now: self.is_fresh)

    def deliver(self, routes):
        doc = whole(self.version + 1) | {"httpRoutes": [route(number) for number in range(routes)]}
        change = ("configure", f"q{self.version}", doc, {}, False, self.version)
        self.version += 1
        assert self.state.apply(self.version, change)[0] == "ok"
        return self.source.take(("delivered", self.version, pack_entry(change)), NOW)

    def follow(self, number=0, node="e1"):
        return self.source.take(("heard", node, f"{node}:1", ("follow", number, 7)), NOW)


def _hear(follower, effects):
    for _, _, message in effects:
        follower.take(("heard", "core", "core:1", message), NOW)


def test_what_is_delivered_goes_out_when_it_is_served():
    """Given a follower, a change is given at the next serving, to it alone, and once."""
    core = _Core()
    assert core.follow() == [] and core.deliver(1) == []
    ((kind, address, message),) = core.source.take(("serve",), NOW)
    assert (kind, address, message[:2]) == ("tell", "e1:1", ("news", 1)) and len(message[2]) == 1
    assert core.source.take(("serve",), NOW) == []


def test_core_in_no_working_view_gives_nothing_and_makes_up_for_it_later():
    """Given a core that is in no view, a follower gets neither image nor news nor beat; in a view it gets what it lacks."""
    core = _Core()
    core.is_fresh = False
    core.deliver(1)
    assert core.follow() == [] and core.source.take(("serve",), NOW) == core.source.take(("pulse",), NOW) == []
    core.source.take(("restored", core.version), NOW)
    assert core.follow(node="e2") == []
    core.is_fresh = True
    assert sorted((address, message[0]) for _, address, message in core.source.take(("serve",), NOW)) == [
        ("e1:1", "image"),
        ("e2:1", "image"),
    ]


def test_large_changes_go_in_parcels_that_can_be_packed():
    """Given configurations of 1,500 routes that together are too long for a parcel, they go in several, each of which can be packed."""
    core, follower = _Core(), Follower(State(), Random(1), NOW)
    codec, parcels = Codec("c", "core-1", "127.0.0.1:1", 1), 0
    core.follow()
    for _ in range(24):
        core.deliver(1500)
    assert core.source.size > MOST_BYTES
    while effects := core.source.take(("serve",), NOW):
        parcels += 1
        assert [message[0] for _, _, message in effects] == ["news"] and all(
            codec.pack(message) for _, _, message in effects
        )
        _hear(follower, effects)
    assert follower.number == follower.state.version == core.version and 2 <= parcels < 24


def test_what_is_kept_is_bounded_in_bytes_and_who_is_far_behind_gets_an_image():
    """Given more large configurations than are kept, a follower from before them gets an image of the last, one from within gets news."""
    core = _Core()
    core.follow()
    for _ in range(40):
        core.deliver(1500)
    assert sum(map(len, core.source.entries)) == core.source.size <= MOST_KEPT_BYTES
    assert core.source.first + len(core.source.entries) - 1 == core.version
    ((_, _, message),) = core.source.take(("serve",), NOW)
    assert message[:2] == ("image", 40)
    assert [message[:2] for _, _, message in core.follow(core.source.first - 1, "e2")] == [("news", core.source.first)]


def test_small_changes_go_together():
    """Given sixty small changes at once, one parcel carries them."""
    core = _Core()
    core.follow()
    for _ in range(60):
        core.deliver(0)
    ((_, _, message),) = core.source.take(("serve",), NOW)
    assert len(message[2]) == 60
