"""How often a machine is given a pulse (§1.3)."""

from datetime import timedelta

PULSE = timedelta(seconds=0.05)  # while something waits for the next one
IN_HAND_PULSE = timedelta(
    seconds=0.1
)  # while requests are at servers: their bounds are some hundred milliseconds and more
IDLE_PULSE = timedelta(seconds=0.2)
