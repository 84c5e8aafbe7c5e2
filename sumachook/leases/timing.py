"""The timing of leases: how long they last, and how long voters wait before they vote for a successor."""

from dataclasses import dataclass, replace
from datetime import timedelta

ORDER_TIMEOUT = timedelta(seconds=2)  # a load or unload order without an answer for this time is abandoned
CLOCK_DRIFT = timedelta(seconds=0.5)  # margin for clocks that run at different speeds
MIN_FIRST_WAIT_S, MAX_FIRST_WAIT_S = 0.05, 0.3  # delay of the first claim, random to avoid collisions
FIRST_WAIT_PER_ROLE_S = 0.3  # seconds added per role already held, to spread the roles over the voters
MAX_CLAIM_PAUSE_FACTOR = 2  # a claim is retried after `claim_pause` times a random factor from 1 to this


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """The durations of the lease protocol.

    `lease` lasts from the sending of a renewal. Until `vacant_after` has passed since the last renewal, voters vote
    for no successor; after that, the leader declares the role vacant. A holder renews every `renew_interval`. Claims
    and proposals of a vacancy are retried after `claim_pause` at the earliest.
    """

    lease: timedelta
    vacant_after: timedelta
    renew_interval: timedelta
    claim_pause: timedelta


FENCED = LeaseTiming(
    lease=timedelta(seconds=1),
    vacant_after=timedelta(seconds=1.1),
    renew_interval=timedelta(seconds=0.25),
    claim_pause=timedelta(seconds=0.2),
)
UNFENCED = LeaseTiming(
    lease=timedelta(seconds=2),
    vacant_after=timedelta(seconds=2) + ORDER_TIMEOUT + CLOCK_DRIFT,
    renew_interval=timedelta(seconds=0.4),
    claim_pause=timedelta(seconds=0.5),
)


def choose_timing(is_fenced: bool, turn_gap: timedelta) -> LeaseTiming:
    """Returns the durations for servers that check fencing tokens (`is_fenced`) or do not.

    Servers that check them refuse the orders of a former holder. Otherwise voters wait for the lease, the timeout of
    an order and `turn_gap`, the minimum time between the orders of two holders, before they vote for a successor.

    >>> choose_timing(False, timedelta(seconds=3)).vacant_after - choose_timing(False, timedelta(0)).vacant_after
    datetime.timedelta(seconds=3)
    >>> choose_timing(True, timedelta(seconds=3)) == FENCED
    True
    """
    return FENCED if is_fenced else replace(UNFENCED, vacant_after=UNFENCED.vacant_after + turn_gap)
