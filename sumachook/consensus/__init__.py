"""View-synchronous replication of an ordered log among the replicas of a roster."""

from sumachook.consensus.options import Options
from sumachook.consensus.replica import Replica
from sumachook.consensus.views import NO_VIEW, Role, ViewId

__all__ = ["NO_VIEW", "Options", "Replica", "Role", "ViewId"]
