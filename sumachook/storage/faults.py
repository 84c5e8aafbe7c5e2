"""What can go wrong with a vault file."""

from sumachook.fault import Fault

DAMAGED = Fault("vault", "damaged in the middle")
