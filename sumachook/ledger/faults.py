"""What can go wrong with the ledger."""

from sumachook.fault import Fault

NO_QUORUM = Fault("tally", "no two keepers answered")
DUPLICATE = Fault("tally", "the key was used before")
