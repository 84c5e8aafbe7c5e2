"""Dispatches events to the components of a node by class."""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Any

from sumachook.host.effects import HOST_EFFECTS, Effect

Handler = Callable[[Any, timedelta], Sequence[Any]]


class UnhandledEventError(TypeError):
    """Raised for an event or effect of a class that no component of this node handles."""

    def __init__(self, event: object) -> None:
        super().__init__(f"no handler for {event!r}")


class EventDispatcher:
    """Calls the handler of an event's class, then the handlers of the effects it returns for other components.

    Effects with a handler are delivered in the order in which they were returned; those of
    `host.effects.HOST_EFFECTS` are collected for the host.

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
        """Returns the effects for the host; raises `UnhandledEventError` for an event or effect without a handler."""
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
    """Does nothing; the handler of events and effects that a node need not act on."""
    return []
