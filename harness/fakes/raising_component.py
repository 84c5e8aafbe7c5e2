"""Components that raise exceptions now and then, at each kind of event."""

from collections import Counter
from collections.abc import Callable, Sequence
from datetime import timedelta
from enum import StrEnum
from typing import Any

from sumachook.nodes.component_guard import event_name


class InjectedError(Exception):
    """Raised by a component that is made to fail."""


class FailurePoint(StrEnum):
    """When a component raises: before it does its work on an event, or after it, so that the effects are lost."""

    BEFORE = "before"
    AFTER = "after"


class FailurePlan:
    """Decides which events a component fails on: every `period`-th one of each kind, while `is_active`."""

    __slots__ = ("period", "point", "is_active", "counts", "failures")

    def __init__(self, period: int, point: FailurePoint) -> None:
        self.period = period
        self.point = point
        self.is_active = True
        self.counts: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()

    def call(self, kind: str, work: Callable[[], Any]) -> Any:
        """Returns the result of `work`, or raises `InjectedError` before or after it if this call is to fail."""
        self.counts[kind] += 1
        must_fail = self.is_active and self.counts[kind] % self.period == 0
        if not must_fail:
            return work()
        self.failures[kind] += 1
        if self.point is FailurePoint.AFTER:
            work()
        raise InjectedError(kind)


class RaisingComponent:
    """Wraps a component of a node; its `take` raises as the plan says, all else is passed on."""

    def __init__(self, component: Any, plan: FailurePlan) -> None:
        self.component = component
        self.plan = plan

    def take(self, event: object, now: timedelta) -> Sequence[Any]:
        """Passes an event to the component, or raises `InjectedError`."""
        result: Sequence[Any] = self.plan.call(event_name(event), lambda: self.component.take(event, now))
        return result

    def __getattr__(self, name: str) -> Any:
        return getattr(self.component, name)


class RaisingState:
    """Makes `apply` of one replicated state raise; its class is replaced, since many components refer to the object."""

    @staticmethod
    def install(state: Any, plan: FailurePlan) -> None:
        """Replaces the class of a state by one whose `apply` and `restore` raise as the plan says."""
        original = type(state)

        class Raising(original):  # type: ignore[misc, valid-type]
            __slots__ = ()

            def apply(self, number: int, change: Any) -> Any:
                return plan.call("apply", lambda: original.apply(self, number, change))

            def restore(self, snapshot: dict[str, Any]) -> None:
                plan.call("restore", lambda: original.restore(self, snapshot))

        state.__class__ = Raising
