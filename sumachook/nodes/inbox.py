"""The order in which a host gives events to its state machine."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

EventT = TypeVar("EventT")
EffectT = TypeVar("EffectT")


class Inbox(Generic[EventT, EffectT]):
    """Gives events to a state machine one after the other, and carries out the effects of each before the next.

    An event that an effect gives rise to waits until the effects before it are carried out: the machine is never
    entered twice.

    Parameters
    ----------
    take
        Gives one event to the machine and returns its effects.
    carry_out
        Carries out one effect; it may call `put`.
    """

    __slots__ = ("_take", "_carry_out", "_events", "_is_delivering")

    def __init__(self, take: Callable[[EventT], Iterable[EffectT]], carry_out: Callable[[EffectT], None]) -> None:
        self._take = take
        self._carry_out = carry_out
        self._events: deque[EventT] = deque()
        self._is_delivering = False

    def put(self, event: EventT) -> None:
        """Gives the event to the machine at once, or, while another one is being delivered, after it.

        An exception of `take` or `carry_out` is raised to the caller of the outermost `put`; events that still wait are
        delivered with the next one.
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
