"""What is wrong with a policy."""

from sumachook.fault import Fault

REFUSED = Fault("creed", "refused")
TOO_LONG = Fault("creed", "step limit reached")
BROKE = Fault("creed", "could not be worked out")
