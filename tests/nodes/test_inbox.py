"""Tests of the order in which `Inbox` delivers events and executes effects."""

import pytest

from sumachook.nodes.inbox import Inbox


def test_event_caused_by_an_effect_waits_for_the_remaining_effects():
    """An event has two effects, and the first puts another event: both effects are executed before that event is
    delivered."""
    seen = []

    def take(event):
        seen.append(f"take {event}")
        return ["first", "second"] if event == "a" else []

    def carry_out(effect):
        seen.append(f"carry out {effect}")
        if effect == "first":
            inbox.put("b")

    inbox = Inbox(take, carry_out)
    inbox.put("a")
    assert seen == ["take a", "carry out first", "carry out second", "take b"]


def test_inbox_continues_after_an_error():
    """If the machine fails on an event while another is queued, the error is raised, and the next put delivers both
    remaining events."""
    taken = []

    def take(event):
        if event == "bad":
            raise ValueError(event)
        taken.append(event)
        return ["effect"] if event == "a" else []

    def carry_out(effect):
        inbox.put("bad")
        inbox.put("b")

    inbox = Inbox(take, carry_out)
    with pytest.raises(ValueError, match="bad"):
        inbox.put("a")
    inbox.put("c")
    assert taken == ["a", "b", "c"]
