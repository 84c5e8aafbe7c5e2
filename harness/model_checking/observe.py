"""Accessors for the internal state of a core: the only module of the walks that uses the product's attribute names."""

from functools import partial

from sumachook.consensus import Options
from sumachook.control_state.fields import SINGLETON_ROLES
from sumachook.nodes import core as core_module


def is_leading(core) -> bool:
    """Whether this core leads a view, with or without a lease."""
    return core.consensus.role == "leading"


def is_fresh(core, now) -> bool:
    """Whether this core's replica is in a working view and has delivered every change acknowledged a while ago."""
    return core.consensus.is_fresh(now)


def regards_state_as_fresh(core, now) -> bool:
    """Whether this core regards its state as fresh, so that it would answer reads from it and serve its feed.

    A core that failed to apply a delivered entry does not, whatever its replica says.
    """
    return core.is_fresh(now)


def members(core) -> tuple:
    """Returns the members of the installed view."""
    return tuple(core.consensus.members)


def voting_members(core) -> dict:
    """Returns the voters according to the core's log."""
    return core.consensus.voting_members


def voter_groups(core) -> list:
    """Returns the groups of voters that each need a majority: two while one voter replaces another."""
    return groups_of(core.consensus.state.voting_members)


def groups_of(whole) -> list:
    """Returns the groups of voters of a roster: two during a replacement, otherwise one."""
    voters = set(whole.addresses)
    if whole.joining is None or whole.leaving is None:
        return [voters]
    return [voters - {whole.joining}, voters - {whole.leaving}]


def duties_held(core, now) -> dict:
    """Returns role -> fencing token for each role whose lease this core holds."""
    return {duty: fence for duty in SINGLETON_ROLES if (fence := core.leases.holds(duty, now))}


def holds(core, role: str, now) -> bool:
    """Whether this core holds the lease of a role."""
    return core.leases.holds(role, now) != 0


class SnapshotBound:
    """Context manager: replicas created within it compact their logs after `entries` entries (0: the product's
    default).
    """

    def __init__(self, entries: int):
        self.entries = entries

    def __enter__(self):
        if self.entries:
            core_module.Options = partial(Options, max_log_entries=self.entries)

    def __exit__(self, *_):
        core_module.Options = Options
