"""Leases of the singleton roles: at most one voter holds each role at a time, and acts under a fencing token.

The singleton roles are placer and accountant. The replicated control state records the holder and the fencing token of
each role; the token increases with every new holder. The holder keeps its lease by renewing it with the other voters.
If the lease is not renewed, the leader of the consensus view declares the role vacant. Then voters claim the role, and
the one that gets the votes of a majority proposes itself as the next holder.
"""

from sumachook.leases.leases import Leases

__all__ = ["Leases"]
