"""What the checker looks at inside a core: the only module of the walks that knows the product's names for it."""

from functools import partial

from sumachook.consensus import Options
from sumachook.control_state.fields import SINGLETON_ROLES
from sumachook.nodes import core as core_module


def is_leading(core) -> bool:
    """Whether this core leads a view, with or without a lease."""
    return core.consensus.role == "leading"


def is_fresh(core, now) -> bool:
    """Whether this core vouches for its state: it would answer reads from it and serve its feed."""
    return core.consensus.is_fresh(now)


def members(core) -> tuple:
    """The members of the installed view."""
    return tuple(core.consensus.members)


def voting_members(core) -> dict:
    """The voters, as the core's log has them."""
    return core.consensus.voting_members


def voter_groups(core) -> list:
    """The groups of voters of which each needs a majority: two while one voter replaces another."""
    return groups_of(core.consensus.state.voting_members)


def groups_of(whole) -> list:
    """The groups of a roster that may be in the middle of a replacement."""
    voters = set(whole.addresses)
    if whole.joining is None or whole.leaving is None:
        return [voters]
    return [voters - {whole.joining}, voters - {whole.leaving}]


def duties_held(core, now) -> dict:
    """Duty -> fence of those whose lease this core holds."""
    return {duty: fence for duty in SINGLETON_ROLES if (fence := core.leases.holds(duty, now))}


def holds(core, role: str, now) -> bool:
    """Whether this core holds the lease of a role."""
    return core.leases.holds(role, now) != 0


class SnapshotBound:
    """While it stands, replicas put a snapshot in the place of their logs after so many entries (0: as the product
    does).
    """

    def __init__(self, entries: int):
        self.entries = entries

    def __enter__(self):
        if self.entries:
            core_module.Options = partial(Options, max_log_entries=self.entries)

    def __exit__(self, *_):
        core_module.Options = Options
