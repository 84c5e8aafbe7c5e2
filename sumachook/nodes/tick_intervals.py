"""Intervals between the ticks of a state machine (docs/design/processes.md)."""

from datetime import timedelta

TICK = timedelta(seconds=0.05)  # shortest interval, used while some component waits for the next tick
IN_FLIGHT_TICK = timedelta(
    seconds=0.1
)  # interval while servers process requests, whose timeouts are some hundred milliseconds or more
IDLE_TICK = timedelta(seconds=0.2)
