"""Records that are written behind a forwarded request: who keeps them, and when they go out (§14.6)."""

from datetime import timedelta

import pytest

from sumachook.ledger.quill import Quill

SECOND = timedelta(seconds=1)
PULSE = timedelta(seconds=0.05)
ROSTER = {f"core-{name}": f"10.0.0.{place}:7" for place, name in enumerate("abcde")}


class Desk:
    """A quill with five keepers; `write` notes a record, `run` pulses and gives the parcels as (seconds, address, kind, requests)."""

    def __init__(self):
        self.now = SECOND * 10
        self.started_at, self.number = self.now, 0
        self.quill = Quill(False, (), self.now)
        self.run(0.05)

    def write(self, state="done", late=False, is_close=True, request=None, edge="e1"):
        self.number += 1
        request = request or f"{edge}.1.{self.number}"
        record = {
            "request": request,
            "caller": "",
            "key": "",
            "kind": "forward",
            "edge": edge,
            "state": state,
            "late": late,
        }
        assert self.quill.take(("behind", record, is_close), self.now) == []
        return request

    def run(self, seconds):
        parcels, until = [], self.now + SECOND * seconds
        while self.now < until:
            self.now += PULSE
            for _, address, (kind, records) in self.quill.take(("pulse", ROSTER, set(ROSTER), ()), self.now):
                requests = [record["request"] for record, _ in records]
                parcels.append((round((self.now - self.started_at) / SECOND, 2), address, kind, requests))
        return parcels


def test_what_ended_well_goes_out_together_once_a_second_to_two_keepers():
    """Given requests that end well over eight tenths of a second, both keepers of their edge get one parcel with all of them."""
    desk = Desk()
    requests = []
    for _ in range(5):
        requests.append(desk.write())
        assert desk.run(0.15) == []
    parcels = desk.run(0.5)
    assert len(parcels) == 2 and len({address for _, address, _, _ in parcels}) == 2
    assert all(parcel[2:] == ("close", requests) for parcel in parcels)


@pytest.mark.parametrize("state,late,is_close", [("fault", False, True), ("done", True, True), ("open", False, False)])
def test_what_is_in_hand_for_long_or_ended_badly_waits_for_a_third_of_a_second_and_takes_the_rest_along(
    state, late, is_close
):
    """Given a record of what ended well and, after it, one of what did not or of what is in hand for long, both go out 0.3 s after the latter."""
    desk = Desk()
    well = desk.write()
    other = desk.write(state, late, is_close)
    begun = desk.now
    parcels = desk.run(0.4)
    assert sorted({request for _, _, _, requests in parcels for request in requests}) == sorted([well, other])
    assert all(at <= (begun - desk.started_at) / SECOND + 0.36 for at, _, _, _ in parcels)


def test_a_request_that_ends_before_its_opening_went_out_is_one_record():
    """Given an opening that is still held when its request ends, only the closing goes out."""
    desk = Desk()
    request = desk.write("open", is_close=False)
    desk.run(0.1)
    desk.write("fault", request=request)
    assert {kind for _, _, kind, _ in desk.run(1.0)} == {"close"}


def test_an_edge_talks_to_two_keepers_only():
    """Given many requests of one edge, all their records go to the same two keepers; those of another edge may go to others."""
    desk = Desk()
    for _ in range(40):
        desk.write()
    assert len({address for _, address, _, _ in desk.run(1.1)}) == 2


def test_a_leaving_edge_holds_nothing_back():
    """Given records that are held when the signal to leave comes, and one that is written after it, all are out with the next pulse."""
    desk = Desk()
    held = desk.write()
    desk.quill.take(("leave",), desk.now)
    late = desk.write("fault")
    parcels = desk.run(0.05)
    assert len(parcels) == 2 and all(requests == [held, late] for _, _, _, requests in parcels)
