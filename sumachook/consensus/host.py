"""The tuples of the product's hosts as events of a replica, and its effects as tuples."""

from typing import Any

from sumachook.consensus import effects, events
from sumachook.consensus.storage import FILE
from sumachook.consensus.wire import from_body, to_body

FOLLOW_UP = "consensus"  # what comes back from the disk
LOGGER = "consensus"


def event_of(message: tuple[Any, ...]) -> events.Event | None:
    """The event that a host's message stands for, or None if its body is malformed."""
    match message:
        case ("heard", sender, address, body):
            decoded = from_body(body)
            return None if decoded is None else events.Received(sender, address, decoded)
        case ("pulse", cores):
            return events.Tick(tuple(cores))
        case ("consensus", event):
            return event  # type: ignore[no-any-return]
        case ("propose", change):
            return events.ProposalMade(change)
        case ("compact",):
            return events.LogCompacted()
        case ("read", token):
            return events.ReadRequested(token)
        case ("step-back",):
            return events.StepBackRequested()
        case ("leave",):
            return events.LeaveRequested()
    raise ValueError(f"no message for a replica: {message[0]}")


def tuple_of(effect: effects.Effect) -> tuple[Any, ...]:
    """The effect as hosts take it."""
    return _tuple_of_output(effect) or _tuple_of_answer(effect)


def _tuple_of_output(effect: effects.Effect) -> tuple[Any, ...] | None:
    """Messages, writes and deliveries."""
    match effect:
        case effects.Send(address, message):
            return ("tell", address, to_body(message))
        case effects.Store(records, done):
            return ("disk", FILE, records, None if done is None else (FOLLOW_UP, done))
        case effects.Replace(records, done):
            return ("rewrite", FILE, records, None if done is None else (FOLLOW_UP, done))
        case effects.Deliver(number, entry):
            return ("deliver", number, entry)
        case effects.Restore(number, state):
            return ("restored", number, state)
    return None


def _tuple_of_answer(effect: effects.Effect) -> tuple[Any, ...]:
    """Answers to the embedding program, and what it is told."""
    match effect:
        case effects.Refuse(change, fault):
            return ("refused", change, fault)
        case effects.ViewChanged(view, members):
            return ("view", view, members)
        case effects.Note(level, text, details):
            return ("log", level, LOGGER, text, details)
        case effects.Compact():
            return ("compact",)
        case effects.Readable(token):
            return ("readable", token)
        case effects.Unreadable(token, address):
            return ("unreadable", token, address)
        case effects.Departed():
            return ("departed",)
    raise TypeError(f"no effect of a replica: {effect!r}")
