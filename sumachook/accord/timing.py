"""How long seats wait for each other (§4.3, §4.4, §4.5)."""

from datetime import timedelta

BEAT = timedelta(seconds=0.2)  # between two beats of a leader
FRESH = timedelta(seconds=0.8)  # so long after a beat a member's state counts as that of its view
SILENCE = timedelta(seconds=0.8)  # after that one who says nothing, or syncs nothing, is doubted
ROUND = timedelta(seconds=0.8)  # for the install of a view, and twice that for a ballot
GATHER = timedelta(seconds=0.2)  # after a majority has answered a ballot, for the others
RESEND = timedelta(seconds=0.4)  # between two tries of what was not answered
STOP_AGAIN = timedelta(seconds=0.1)  # the same for a ballot, while it gathers
REJOIN = timedelta(seconds=0.4)  # so long one must be heard before it is let into the view again
ASK_AGAIN = timedelta(seconds=0.15)  # between two tries of one that seeks a leader or a roster
STEADY = timedelta(seconds=0.3)  # so long a newcomer must be heard
GAP = timedelta(seconds=1)  # a newcomer not heard for so long is forgotten
SEAT_AWAY = timedelta(
    seconds=10
)  # so long a seat may be away before a newcomer replaces it, if the caller says nothing
