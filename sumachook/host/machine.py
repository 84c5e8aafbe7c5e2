"""What a host needs to know of the state machine that it runs."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Any, Protocol


class StateMachine(Protocol):
    """A state machine without clock, socket or file."""

    def take(self, event: Any, now: timedelta) -> Sequence[Any]:
        """The effects of one event; `now` is monotonic time."""


class NodeMachine(StateMachine, Protocol):
    """The state machine of a node: its name and its restart epoch mark what it sends."""

    @property
    def node(self) -> str:
        """The name of the node."""

    @property
    def restart_epoch(self) -> int:
        """Higher at each start of the same node."""

    @property
    def tick_interval(self) -> timedelta:
        """The longest time until the next tick."""
