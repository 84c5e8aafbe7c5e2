"""Tests the encoding of the messages about leases."""

import pytest

from sumachook.leases.messages import ClaimLease, ClaimVote, LeaseRenewed, RenewLease
from sumachook.transport.codec import Codec, read_frame
from sumachook.transport.message_schemas import FIELDS
from sumachook.transport.node_message import kind_of

MESSAGES = (
    ClaimLease("placer", 3, 2),
    ClaimVote("placer", 3, 2),
    RenewLease("placer", 3, 1.5),
    LeaseRenewed("placer", 3, 1.5),
)


@pytest.mark.parametrize("message", MESSAGES, ids=kind_of)
def test_message_fields_match_the_order_of_their_schema(message):
    """Each message type must have the fields of its wire schema in the same order, or values would be swapped."""
    assert message.__struct_fields__ == tuple(name for name, _ in FIELDS[kind_of(message)])


@pytest.mark.parametrize("message", MESSAGES, ids=kind_of)
def test_message_decodes_to_what_was_encoded(message):
    """An encoded message must decode to an equal message of the same type."""
    raw = Codec("kosice", "core-1", "a:1", 1).pack(message)
    assert read_frame("kosice", raw) == ("core-1", "a:1", 1, message)
