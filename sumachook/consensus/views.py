"""View numbers and replica roles, used by all components of a replica."""

from enum import StrEnum
from typing import NamedTuple


class ViewId(NamedTuple):
    """Identifies a view by its number and the replica that proposes and leads it; ordered by number, then name."""

    number: int
    replica: str


NO_VIEW = ViewId(0, "")


class Role(StrEnum):
    """The role of a replica in the protocol.

    An idle replica may be a learner, which fetches the log of a view to which it does not belong.
    """

    IDLE = "idle"
    PRE_VOTING = "canvassing"
    PREPARING = "preparing"
    INSTALLING = "installing"
    LEADING = "leading"
    JOINING = "joining"
    MEMBER = "member"
