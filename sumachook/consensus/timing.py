"""Time limits and sizes of the replication protocol."""

from datetime import timedelta

HEARTBEAT_INTERVAL = timedelta(seconds=0.2)
LEASE = timedelta(seconds=0.7)  # a leader counts an acknowledgement for so long after it sent the round
LEASE_GUARD = timedelta(seconds=0.8)  # who acknowledged a heartbeat promises nothing to another candidate for so long
FRESH = timedelta(seconds=0.8)  # a member vouches for its state for so long after it sent the round that was echoed
LATE_TICK = timedelta(seconds=0.5)  # a replica whose ticks stopped for so long forgets every lease and round
SILENCE = timedelta(seconds=0.8)  # a leader or member not heard, or owing a sync, for so long is suspected
STEP_BACK_AFTER = SILENCE * 1.5  # a leader that hears no majority for so long gives up leading
ROUND_LIMIT = timedelta(seconds=0.8)  # an installation without progress for so long is given up
PREPARE_LIMIT = ROUND_LIMIT * 2
GATHER = timedelta(seconds=0.2)  # how long a candidate waits for the rest after a majority has promised
CANVASS_INTERVAL = timedelta(seconds=0.15)
PREPARE_INTERVAL = timedelta(seconds=0.1)
RESEND_INTERVAL = timedelta(seconds=0.4)
FETCH_RETRY = timedelta(seconds=0.4)
REJOIN = timedelta(seconds=0.4)  # a voter outside the view must be caught up and heard for so long to be let in
STANDING_INTERVAL = timedelta(seconds=0.15)  # between two announcements of a replica without a seat
STEADY = timedelta(seconds=0.3)  # a newcomer must have been heard for so long
UNKNOWN_AFTER = HEARTBEAT_INTERVAL * 1.5  # without a heartbeat for so long a newcomer announces itself again
LEARNING_NEWCOMERS = timedelta(seconds=0.5)  # for so long a new leader takes it that newcomers may be there
NEWCOMER_GAP = timedelta(seconds=1)  # a newcomer not heard for so long is forgotten
CAUGHT_UP_WITHIN = timedelta(seconds=0.5)  # a learner is ready if it was caught up so recently
FORLORN_AFTER = SILENCE * 2  # without a leader for so long a replica may be out of a roster that it does not know
PENALTY, MAX_PENALTY = timedelta(seconds=1), timedelta(seconds=4)
PENALTY_FORGIVEN = timedelta(seconds=5)
PROPOSAL_HOLD = timedelta(seconds=0.5)  # so long a change waits for the next leader
READ_LIMIT = timedelta(seconds=0.5)
READ_RETRY = timedelta(seconds=0.05)
LEAVING_INTERVAL = timedelta(seconds=0.1)
LEAVING_KNOWN_FOR = timedelta(seconds=1)
HANDOVER_LIMIT = timedelta(seconds=0.2)  # so long a leader that leaves waits for the entries under way
DEFAULT_REPLACE_AFTER = timedelta(seconds=10)

CHUNK_BYTES = 512 << 10  # of entries or of a snapshot in one message
MAX_LOG_BYTES = 4 << 20
MAX_LOG_ENTRIES = 400
MAX_LOG_RECORDS = 1000  # of one log file, so that view changes without entries do not let it grow
MAX_WAITING = 256  # proposals
MAX_LEARNERS = 8
MAX_PROPOSAL_BYTES = 16 << 20
MAX_SNAPSHOT_BYTES = 256 << 20
