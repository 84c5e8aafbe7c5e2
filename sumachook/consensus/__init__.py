"""View-synchronous replication of an ordered log among the voting members of a group.

A *view* has a number, a leader and a set of members, which are a majority of the voting members. The leader numbers
changes and replicates them to the members. A change is committed once every member has synced it to disk, so each
member of the last view has every acknowledged change. A silent or slow member is removed by installing the next view
without it.

A new view begins with a candidate. The candidate first sends a pre-vote request (`PreVote`), so that a replica which
was partitioned does not interrupt a working view. It then collects promises to reject every lower view (`Prepare`,
`Promise`), and the candidate with the best log installs the view at its members (`Install`, `Installed`). As leader it
replicates entries (`Append`, `Appended`) and renews its lease with numbered heartbeat rounds.

A *voter* is a voting member, whether or not it belongs to the current view. A *learner* has no vote: it announces
itself, fetches the log and may replace a voter that has failed or is leaving. During a replacement a quorum must
contain a majority of the voters with the old voter and a majority with the new one.

`Replica` is a state machine without clock, network or disk: `take` handles an event at a given time and returns the
effects that the embedding program must carry out. `examples/embedding.py` is such a program.
"""

from sumachook.consensus.options import Options
from sumachook.consensus.replica import Replica
from sumachook.consensus.views import NO_VIEW, Role, ViewId

__all__ = ["NO_VIEW", "Options", "Replica", "Role", "ViewId"]
