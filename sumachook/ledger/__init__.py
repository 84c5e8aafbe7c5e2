"""The ledger of every request's tries, and the credit for resends."""
