"""What can go wrong with the ledger."""

from sumachook.fault import Fault

NO_QUORUM = Fault("ledger", "no two keepers answered")
DUPLICATE = Fault("ledger", "the key was used before")
