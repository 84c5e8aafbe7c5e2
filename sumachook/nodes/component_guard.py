"""Keeps the failure of one component of a node from dropping the effects of the others."""

import traceback
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta
from functools import partial
from typing import Any

from sumachook.host.effects import Effect, Log
from sumachook.host.events import HttpRequestReceived, MessageReceived, ProxyHeadReceived, ProxyRequestReceived
from sumachook.nodes.replies import internal_error

RECOVERY_INTERVAL = timedelta(seconds=1)  # a component that fails at every event starts anew no more often than this
COMPONENT_FAILED = "A component failed to process an event."
COMPONENT_NOT_RECOVERED = "A component failed to recover."
FAILURE_TEXTS = frozenset({COMPONENT_FAILED, COMPONENT_NOT_RECOVERED})
Handler = Callable[[Any, timedelta], Sequence[Any]]
Recovery = Callable[[timedelta], Sequence[Any]]


class ComponentGuard:
    """Passes events to the components of a node, and handles their exceptions one by one.

    A component that raises returns no effects for that event, is logged and counted, and then recovers by the function
    that `recover_with` set, if any; a client's request is answered with 500. A component named in `essential` owns
    replicated or stored data: the effects that it lost may be votes, committed entries or writes. After its failure
    `has_stopped` is true, and the node must do nothing more than exit; a new process restores that data from the disk.

    Parameters
    ----------
    node : the object whose attributes are the components, by name
    source : the source component of log lines
    essential : names of the components whose failure stops the node
    """

    __slots__ = ("node", "source", "essential", "recoveries", "recovered_at", "counts", "has_stopped")

    def __init__(self, node: object, source: str, essential: Collection[str] = ()) -> None:
        self.node = node
        self.source = source
        self.essential = frozenset(essential)
        self.recoveries: dict[str, Recovery] = {}
        self.recovered_at: dict[str, timedelta] = {}
        self.counts: dict[str, int] = {}
        self.has_stopped = False

    def recover_with(self, component: str, recovery: Recovery) -> None:
        """Sets the function that brings a component back to a consistent state after a failure."""
        self.recoveries[component] = recovery

    def handler(self, component: str) -> Handler:
        """Returns the handler that passes an event to a component."""
        return partial(self.take, component)

    def take(self, component: str, event: object, now: timedelta) -> list[Any]:
        """Passes an event to a component; returns the component's effects, or those of its failure."""
        return self.run(component, lambda: getattr(self.node, component).take(event, now), event, now)

    def run(self, component: str, step: Callable[[], Sequence[Any]], event: object, now: timedelta) -> list[Any]:
        """Runs one step of a component's work on an event; returns its effects, or those of its failure."""
        try:
            return list(step())
        except Exception as error:
            return self.handle_failure(component, event, error, now)

    def handle_failure(self, component: str, event: object, error: Exception, now: timedelta) -> list[Any]:
        """Counts and logs a failure, then recovers the component or stops the node."""
        effects = [*self.record(component, event, error), *error_replies(event)]
        if component in self.essential:
            self.stop()
            return effects
        recovery = self.recoveries.get(component)
        if recovery is None or now - self.recovered_at.get(component, now - RECOVERY_INTERVAL) < RECOVERY_INTERVAL:
            return effects
        self.recovered_at[component] = now
        try:
            return [*effects, *recovery(now)]
        except Exception as failure:
            return [*effects, self._log(COMPONENT_NOT_RECOVERED, component, event, failure)]

    def record(self, component: str, event: object, error: Exception) -> list[Effect]:
        """Counts a failure; returns its log line, except for most of those that repeat."""
        count = self.counts[component] = self.counts.get(component, 0) + 1
        is_power_of_two = count & (count - 1) == 0
        return [self._log(COMPONENT_FAILED, component, event, error)] if is_power_of_two else []

    def stop(self) -> None:
        """Stops the node: its replicated or stored data may lack something that was counted as done."""
        self.has_stopped = True

    def _log(self, text: str, component: str, event: object, error: Exception) -> Log:
        fields = {
            "part": component,
            "kind": event_name(event),
            "error": repr(error),
            "at": _origin(error),
            "failures": self.counts.get(component, 0),
        }
        return Log("error", self.source, text, fields)


def event_name(event: object) -> str:
    """Returns the class name of an event, or of the message that it contains, for the log."""
    return type(event.message if isinstance(event, MessageReceived) else event).__name__


def error_replies(event: object) -> list[Effect]:
    """Returns the 500 response to a request whose handler failed; nothing for any other event."""
    if isinstance(event, HttpRequestReceived | ProxyHeadReceived | ProxyRequestReceived):
        return [internal_error(event.call_id)]
    return []


def _origin(error: Exception) -> str:
    """Returns where an exception was raised, as "file:line function"."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    last = frames[-1]
    return f"{last.filename.rpartition('/')[2]}:{last.lineno} {last.name}"
