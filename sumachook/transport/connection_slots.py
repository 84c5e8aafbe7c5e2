"""Limit on the connections that one listener keeps open, so that descriptors are left for servers and other nodes."""

from dataclasses import dataclass

from sumachook.memory.account import Account

RESERVED_FOR_FILES = 200  # descriptors that a process keeps for files
RESERVED_FOR_LISTENERS = 64  # listeners, the event loop's own, and connections that are being accepted or closed
DEFAULT_DESCRIPTORS = 4100
# Parts of the remaining descriptors; what is left is for connections to servers.
CLIENT_FRACTION, HTTP_FRACTION, NODE_FRACTION = 0.6, 0.1, 0.1
# Idle connections are closed in batches, so that a crowd of new connections costs few comparisons.
CLOSED_FRACTION = 0.02
MIN_STALL = 1.05  # stall of a connection that may be closed for a new one: it was idle for a fifth of a second


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """The most connections of each listener: clients of the proxy server, callers of the node itself, other nodes."""

    clients: int
    http: int
    nodes: int


def share_descriptors(descriptors: int) -> DescriptorShares:
    """Divides the descriptors of a process among its listeners.

    >>> share_descriptors(4100)
    DescriptorShares(clients=2301, http=383, nodes=383)
    """
    available = max(1, descriptors - RESERVED_FOR_FILES - RESERVED_FOR_LISTENERS)
    return DescriptorShares(
        max(1, int(available * CLIENT_FRACTION)),
        max(1, int(available * HTTP_FRACTION)),
        max(1, int(available * NODE_FRACTION)),
    )


class ConnectionSlots:
    """Counts the open connections of one listener; closes the ones that stall most when there are too many."""

    __slots__ = ("max_open", "accounts", "closed_for_room", "refused")

    def __init__(self, max_open: int) -> None:
        self.max_open = max_open
        self.accounts: set[Account] = set()
        self.closed_for_room = 0
        self.refused = 0

    def take(self, account: Account) -> bool:
        """Adds a connection; returns False if all slots are taken by connections that must not be closed."""
        if len(self.accounts) >= self.max_open and not self._close_stalled(account.budget.clock()):
            self.refused += 1
            return False
        self.accounts.add(account)
        return True

    def leave(self, account: Account) -> None:
        """Removes a connection that has ended."""
        self.accounts.discard(account)

    def _close_stalled(self, now: float) -> int:
        """Ends the connections that stall most, a batch at a time; returns how many."""
        wanted = 1 + int(self.max_open * CLOSED_FRACTION)
        stalls = sorted(
            ((account.stall(now), number, account) for number, account in enumerate(self.accounts)), reverse=True
        )
        closed = 0
        for stall, _, account in stalls:
            if stall < MIN_STALL or closed >= wanted:
                break
            if account.evict_holder():
                self.accounts.discard(account)
                account.budget.note_eviction(account.kind)
                closed += 1
        self.closed_for_room += closed
        return closed
