"""Dispatches events to the components of a node by class."""

from collections import deque
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Any

from sumachook.host.effects import HOST_EFFECTS, Effect
from sumachook.nodes.component_guard import ComponentGuard, Handler

ROUTING = "routing"  # the name under which failures outside of all components are counted


class UnhandledEventError(TypeError):
    """Raised for an event or effect of a class that no component of this node handles."""

    def __init__(self, event: object) -> None:
        super().__init__(f"no handler for {event!r}")


class EventDispatcher:
    """Calls the handler of an event's class, then the handlers of the effects it returns for other components.

    Effects with a handler are delivered in the order in which they were returned; those of
    `host.effects.HOST_EFFECTS` are collected for the host. With a guard, the exception of one handler doesn't keep the
    effects that wait from being delivered, unless the guard stops the node; without one, it is raised.

    >>> class Ping(Effect, frozen=True): pass
    >>> from sumachook.host.effects import Exit
    >>> from sumachook.host.events import Tick
    >>> dispatcher = EventDispatcher({Tick: lambda event, now: [Ping()], Ping: lambda event, now: [Exit(0)]})
    >>> dispatcher.deliver(Tick(), timedelta(0)) == [Exit(0)]
    True
    """

    __slots__ = ("_handlers", "_guard")

    def __init__(self, handlers: Mapping[type, Handler], guard: ComponentGuard | None = None) -> None:
        self._handlers = handlers
        self._guard = guard

    def deliver(self, event: object, now: timedelta) -> list[Effect]:
        """Returns the effects for the host; raises `UnhandledEventError` for an event without a handler."""
        handlers = self._handlers
        effects: list[Effect] = []
        waiting: deque[object] = deque((event,))
        while waiting and not self._has_stopped:
            current = waiting.popleft()
            handle = handlers.get(type(current))
            if handle is None:
                raise UnhandledEventError(current)
            for effect in self._call(handle, current, now):
                effect_type = type(effect)
                if effect_type in HOST_EFFECTS:
                    effects.append(effect)
                elif effect_type in handlers:
                    waiting.append(effect)
                else:
                    effects += self._handle_failure(effect, UnhandledEventError(effect), now)
        return effects

    @property
    def _has_stopped(self) -> bool:
        return self._guard is not None and self._guard.has_stopped

    def _call(self, handle: Handler, event: object, now: timedelta) -> Sequence[Any]:
        try:
            return handle(event, now)
        except Exception as error:
            return self._handle_failure(event, error, now)

    def _handle_failure(self, event: object, error: Exception, now: timedelta) -> list[Any]:
        if self._guard is None:
            raise error
        return self._guard.handle_failure(ROUTING, event, error, now)


def ignore(event: object, now: timedelta) -> list[Effect]:
    """Does nothing; the handler of events and effects that a node need not act on."""
    return []
