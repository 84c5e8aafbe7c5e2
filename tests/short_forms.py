"""Short tuple forms of events and effects for tests of state machines."""

from typing import Any

from msgspec.structs import astuple

from sumachook.control_state.effects import ProposeChange
from sumachook.host import effects, events

_EFFECTS: dict[str, type[effects.Effect]] = {
    "tell": effects.Send,
    "cast": effects.SendDatagram,
    "reply": effects.Reply,
    "head": effects.BeginResponse,
    "chunk": effects.SendChunk,
    "end": effects.EndResponse,
    "drop": effects.AbortResponse,
    "fetch": effects.Fetch,
    "forward": effects.ForwardRequest,
    "unfetch": effects.CancelCall,
    "disk": effects.AppendRecords,
    "rewrite": effects.RewriteRecords,
    "journal": effects.AppendDayLog,
    "log": effects.Log,
    "limits": effects.ApplyClientLimits,
    "shut": effects.CloseProxyServer,
    "wake": effects.WakeAfter,
    "leave": effects.Exit,
    "propose": ProposeChange,
}
_EFFECT_TAGS = {effect_type: tag for tag, effect_type in _EFFECTS.items()}
_CALL_EVENTS: dict[str, type[events.CallEvent]] = {
    "sent": events.RequestSent,
    "head": events.ResponseHeadReceived,
    "chunk": events.ResponseChunkReceived,
    "event": events.ServerEventReceived,
    "end": events.ResponseEnded,
    "done": events.ResponseReceived,
    "fault": events.CallFailed,
}
_CALL_TAGS = {event_type: tag for tag, event_type in _CALL_EVENTS.items()}
_EVENTS: dict[str, type[events.Event]] = {
    "pulse": events.Tick,
    "stop": events.StopRequested,
    "reload": events.SettingsReloadRequested,
    "seeds": events.SeedsChanged,
    "woken": events.DelayElapsed,
    "heard": events.MessageReceived,
    "garbage": events.UnreadableMessageReceived,
    "http": events.HttpRequestReceived,
    "request": events.ProxyRequestReceived,
    "gone": events.ClientDisconnected,
}
_EVENT_TAGS = {event_type: tag for tag, event_type in _EVENTS.items()}


def effect_of(effect: Any) -> Any:
    """Converts a tuple to a typed effect; returns anything else unchanged.

    >>> effect_of(("leave", 0))
    Exit(code=0, write_within=datetime.timedelta(seconds=2))
    """
    if not isinstance(effect, tuple) or effect[0] not in _EFFECTS:
        return effect
    return _EFFECTS[effect[0]](*effect[1:])


def tuple_of_effect(effect: Any) -> Any:
    """Converts a typed effect to a tuple; returns anything else unchanged.

    >>> from sumachook.host.effects import Exit
    >>> tuple_of_effect(Exit(0))
    ('leave', 0, datetime.timedelta(seconds=2))
    """
    tag = _EFFECT_TAGS.get(type(effect))
    return effect if tag is None else (tag, *astuple(effect))


def event_of(message: Any) -> Any:
    """Converts a tuple to a typed event; returns anything else unchanged.

    >>> event_of(("gone", 7))
    ClientDisconnected(call_id=7, ended_by=<ConnectionEnd.CLIENT: 'the client left, or the way to it broke'>)
    """
    if not isinstance(message, tuple):
        return message
    if message[0] == "fetched":
        return _CALL_EVENTS[message[2]](message[1], *message[3:])
    return _EVENTS[message[0]](*message[1:]) if message[0] in _EVENTS else message


def tuple_of_event(event: Any) -> Any:
    """Converts a typed event to a tuple; returns anything else unchanged.

    >>> from sumachook.host.events import ResponseEnded
    >>> tuple_of_event(ResponseEnded(7))
    ('fetched', 7, 'end')
    """
    if isinstance(event, events.CallEvent):
        call_id, *values = astuple(event)
        return ("fetched", call_id, _CALL_TAGS[type(event)], *values)
    tag = _EVENT_TAGS.get(type(event))
    return event if tag is None else (tag, *astuple(event))
