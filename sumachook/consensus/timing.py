"""Timeouts, intervals and size limits of the replication protocol."""

from datetime import timedelta

HEARTBEAT_INTERVAL = timedelta(seconds=0.2)  # three heartbeat rounds fit into a lease, so that one may be lost
LEASE = timedelta(seconds=0.7)  # validity of an acknowledgement, counted from when the leader sent the round
LEASE_GUARD = timedelta(seconds=0.8)  # time after a heartbeat ack in which no other candidate gets a promise
FRESH_FOR = timedelta(seconds=0.8)  # validity of a member's state after it sent the echoed round
MAX_TICK_GAP = timedelta(seconds=0.5)  # a longer pause of the ticks invalidates all leases and rounds
SILENCE_TIMEOUT = timedelta(seconds=0.8)  # a replica is suspected if a message or a sync is missing for longer
STEP_DOWN_AFTER = SILENCE_TIMEOUT * 1.5  # a leader without contact to a majority steps down after this time
INSTALL_TIMEOUT = timedelta(seconds=0.8)  # a view installation without progress is abandoned after this time
PREPARE_TIMEOUT = INSTALL_TIMEOUT * 2  # a candidate without a majority of promises gives up after this time
PROMISE_WAIT = timedelta(seconds=0.2)  # wait of a candidate for further promises after those of a majority
PRE_VOTE_INTERVAL = timedelta(seconds=0.15)  # interval between two pre-vote requests of one candidate
PREPARE_INTERVAL = timedelta(seconds=0.1)  # wait before `Prepare` is resent to voters that have not promised
RESEND_INTERVAL = timedelta(seconds=0.4)  # wait before an unacknowledged view or entries are resent
FETCH_RETRY_INTERVAL = timedelta(seconds=0.4)  # wait before an unanswered `Fetch` is resent
REJOIN_AFTER = timedelta(seconds=0.4)  # a voter must be caught up and heard for this time to rejoin the view
ANNOUNCE_INTERVAL = timedelta(seconds=0.15)  # interval between two announcements of a replica without a vote
MIN_LEARNER_PRESENCE = timedelta(seconds=0.3)  # a learner must have been heard for this time before it becomes a voter
ANNOUNCE_AFTER = HEARTBEAT_INTERVAL * 1.5  # a learner without a heartbeat for this time announces itself again
LEARNER_DISCOVERY_TIME = timedelta(seconds=0.5)  # a new leader assumes for this time that learners exist
LEARNER_TIMEOUT = timedelta(seconds=1)  # a learner that is silent for this time is forgotten
CAUGHT_UP_TIMEOUT = timedelta(seconds=0.5)  # time since its last complete ack in which a replica counts as caught up
REMOVAL_SUSPECTED_AFTER = SILENCE_TIMEOUT * 2  # after this time without a leader, a replica may have been removed
EXCLUSION_TIME = timedelta(seconds=1)  # first exclusion of a slow member from the view; each repeat doubles it
MAX_EXCLUSION = timedelta(seconds=4)
EXCLUSION_RESET_AFTER = timedelta(seconds=5)  # an exclusion that starts this long after the last one is not doubled
PROPOSAL_TIMEOUT = timedelta(seconds=0.5)  # maximum wait of a change for the next leader
READ_TIMEOUT = timedelta(seconds=0.5)  # a read that the leader has not confirmed within this time fails
READ_RETRY_INTERVAL = timedelta(seconds=0.05)  # wait before `ReadIndex` is resent to the leader
LEAVING_INTERVAL = timedelta(seconds=0.1)  # interval between two `ReplicaLeaving` messages of a leaving replica
LEAVING_NOTICE_TIMEOUT = timedelta(seconds=1)  # a voter counts as leaving for this time after `ReplicaLeaving`
HANDOVER_TIMEOUT = timedelta(seconds=0.2)  # maximum wait of a leaving leader for uncommitted entries
DEFAULT_REPLACE_AFTER = timedelta(seconds=10)

CHUNK_BYTES = 512 << 10  # maximum size of entries or of a snapshot part in one message
MAX_LOG_BYTES = 4 << 20
MAX_LOG_ENTRIES = 400
MAX_LOG_RECORDS = 1000  # records per log file; limits its growth by view changes without entries
MAX_QUEUED_PROPOSALS = 256  # proposed changes queued for the next batch, or for the next leader
MAX_LEARNERS = 8
MAX_PROPOSAL_BYTES = 16 << 20
MAX_SNAPSHOT_BYTES = 256 << 20
