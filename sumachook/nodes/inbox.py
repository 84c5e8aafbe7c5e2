"""Serializes the events that a host delivers to its state machine."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

EventT = TypeVar("EventT")
EffectT = TypeVar("EffectT")


class Inbox(Generic[EventT, EffectT]):
    """Delivers events to a state machine one at a time and executes the effects of each before the next.

    An event caused by an effect waits until all effects of the current event are executed: the machine is never
    re-entered.

    Parameters
    ----------
    take
        Passes one event to the machine and returns its effects.
    carry_out
        Executes one effect; it may call `put`.
    """

    __slots__ = ("_take", "_carry_out", "_events", "_is_delivering")

    def __init__(self, take: Callable[[EventT], Iterable[EffectT]], carry_out: Callable[[EffectT], None]) -> None:
        self._take = take
        self._carry_out = carry_out
        self._events: deque[EventT] = deque()
        self._is_delivering = False

    def put(self, event: EventT) -> None:
        """Delivers the event immediately or, during the delivery of another one, queues it.

        An exception of `take` or `carry_out` is raised to the caller of the outermost `put`; events still queued are
        delivered at the next `put`.
        """
        self._events.append(event)
        if self._is_delivering:
            return
        self._is_delivering = True
        try:
            while self._events:
                for effect in self._take(self._events.popleft()):
                    self._carry_out(effect)
        finally:
            self._is_delivering = False
