"""The meter of the capacity measurement: it wraps existing methods and counts messages and HTTP calls by mechanism."""

from collections.abc import Iterator
from datetime import timedelta

import pytest

import sumachook.transport.node_transport as node_transport
from harness.experiments.scale import meter
from harness.experiments.scale.mechanism import FEED, LIST, REPORTS
from sumachook.host.effects import Fetch
from sumachook.nodes.core import Core
from sumachook.transport.codec import Codec
from sumachook.transport.http_client import HttpClient

WRAPPED = [*((kind, method) for kind, method, _ in meter.PARTS), (Codec, "pack"), (HttpClient, "fetch"), (Core, "take")]
SECOND = timedelta(seconds=1)


@pytest.fixture
def running_meter() -> Iterator[meter.Meter]:
    """A meter whose wrapped methods are restored after the test."""
    originals = [(kind, method, getattr(kind, method)) for kind, method in WRAPPED]
    read_frame = node_transport.read_frame
    try:
        yield meter.Meter()
    finally:
        for kind, method, original in originals:
            setattr(kind, method, original)
        node_transport.read_frame = read_frame


def test_every_wrapped_method_exists():
    """A renamed component method would no longer be measured; every method that the meter wraps must exist."""
    assert [(kind, method) for kind, method in WRAPPED if not callable(getattr(kind, method, None))] == []


def test_message_is_counted_when_encoded_and_when_decoded(running_meter):
    """Encoding and decoding a message count its kind and its bytes, and the time to its mechanism."""
    raw = Codec("c", "n", "127.0.0.1:1", 1).pack(("follow", 7, 1))
    frame = node_transport.read_frame("c", raw)
    counts = running_meter.snapshot()
    assert frame.sender == "n"
    assert counts["sent"] == counts["heard"] == {"follow messages": 1, "follow bytes": len(raw)}
    assert counts["seconds"].keys() == {FEED}


@pytest.mark.parametrize("caller, mechanism", [("watcher", LIST), ("provision", REPORTS)])
def test_http_call_is_counted_to_the_mechanism_of_its_caller(running_meter, caller, mechanism):
    """Calls of the inventory reader count to the inventory list, those of the provisioner to reports."""
    client = HttpClient(lambda event: None)
    client.fetch(Fetch((caller, 1), "GET", "http://127.0.0.1:1/x", {"a": "b"}, b"", SECOND, SECOND, "whole"))
    assert running_meter.snapshot()["sent"][f"{mechanism} messages"] == 1
