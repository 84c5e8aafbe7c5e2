"""Delivery of events to the parts of a node, by their class."""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Any

from sumachook.host.effects import HOST_EFFECTS, Effect

Handler = Callable[[Any, timedelta], Sequence[Any]]


class UnhandledEventError(TypeError):
    """No part of this node takes an event or an effect of this class."""

    def __init__(self, event: object) -> None:
        super().__init__(f"no part takes this: {event!r}")


class EventDispatcher:
    """Calls the handler of an event's class, and in turn those of the effects that are for another part.

    An effect whose class has a handler is delivered to it after all effects that came before it; one of
    `host.effects.HOST_EFFECTS` is for the host.

    >>> class Ping(Effect, frozen=True): pass
    >>> from sumachook.host.effects import Exit
    >>> from sumachook.host.events import Tick
    >>> dispatcher = EventDispatcher({Tick: lambda event, now: [Ping()], Ping: lambda event, now: [Exit(0)]})
    >>> dispatcher.deliver(Tick(), timedelta(0)) == [Exit(0)]
    True
    """

    __slots__ = ("_handlers",)

    def __init__(self, handlers: Mapping[type, Handler]) -> None:
        self._handlers = handlers

    def deliver(self, event: object, now: timedelta) -> list[Effect]:
        """The effects for the host; raises `UnhandledEventError` for what neither a part nor the host takes."""
        handlers = self._handlers
        effects: list[Effect] = []
        waiting: deque[object] = deque((event,))
        while waiting:
            current = waiting.popleft()
            handle = handlers.get(type(current))
            if handle is None:
                raise UnhandledEventError(current)
            for effect in handle(current, now):
                effect_type = type(effect)
                if effect_type in HOST_EFFECTS:
                    effects.append(effect)
                elif effect_type in handlers:
                    waiting.append(effect)
                else:
                    raise UnhandledEventError(effect)
        return effects


def ignore(event: object, now: timedelta) -> list[Effect]:
    """The handler of what a node need not act on."""
    return []
