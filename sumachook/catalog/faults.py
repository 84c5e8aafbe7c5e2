"""What is wrong with an operator's input."""

from sumachook.fault import Fault

NOT_JSON = Fault("atlas", "not JSON")
REFUSED = Fault("atlas", "refused")
STALE = Fault("atlas", "stale generation")
STALE_VERSION = Fault("atlas", "stale version")
EMPTY = Fault("atlas", "no catalogue yet")
UNREACHED = Fault("atlas", "no core answered")
