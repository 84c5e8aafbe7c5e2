"""The ledger of every request's tries."""
