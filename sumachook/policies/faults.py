"""What is wrong with a policy."""

from sumachook.fault import Fault

REFUSED = Fault("policies", "refused")
TOO_LONG = Fault("policies", "step limit reached")
BROKE = Fault("policies", "could not be worked out")
