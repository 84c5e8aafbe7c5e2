"""The interfaces of the state machines that a host runs."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Any, Protocol


class StateMachine(Protocol):
    """A state machine without clock, socket or file access."""

    def take(self, event: Any, now: timedelta) -> Sequence[Any]:
        """Handles one event and returns its effects; `now` is monotonic time."""


class NodeMachine(StateMachine, Protocol):
    """The state machine of a node; every message that it sends contains the node's name and restart epoch."""

    @property
    def node(self) -> str:
        """The name of the node."""

    @property
    def restart_epoch(self) -> int:
        """A number that increases with each start of the same node."""

    @property
    def tick_interval(self) -> timedelta:
        """The maximum time until the next tick."""
