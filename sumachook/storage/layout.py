"""File names in the data folder of a node."""

LOG = "consensus"  # consensus log of a core, with its identity and its promises
LEDGER = "ledger"  # request records that a core stores as a replica
SNAPSHOT = "image"  # control state snapshot of an edge
SPOOL = "spool"  # spill file of an edge: records without acknowledgements from two replicas

FILES = (LOG, LEDGER, SNAPSHOT, SPOOL)
IDENTITY_FILES = (LOG, LEDGER)  # a core that lost one of these must take a new identity
EARLIER_LOG = "accord"  # log of the previous version; its entries have no digests, so it cannot be migrated
