"""The follower of the change feed, which runs in each edge."""

from datetime import timedelta
from random import Random
from typing import Any

from sumachook.changefeed.effects import ChangesApplied, StateRestored
from sumachook.changefeed.events import FollowerTick
from sumachook.changefeed.messages import ChangeBatch, Confirm, FeedHeartbeat, Follow, Snapshot, SnapshotPart
from sumachook.changefeed.round_trips import RoundTrips
from sumachook.changefeed.snapshot import SnapshotAssembler, read_snapshot
from sumachook.changefeed.state import ReplicatedState
from sumachook.changefeed.trust import Trust
from sumachook.changefeed.upstream_selection import UpstreamSelector
from sumachook.host.effects import Effect, Send
from sumachook.host.events import Event, MessageReceived
from sumachook.runtime.monotonic_value import MonotonicValue
from sumachook.transport.codec import read_entry

# How these timeouts limit the lag of a connected edge: docs/design.md, "Edges behind a core that is cut off".
PROOF_TIMEOUT = timedelta(seconds=1)  # without a proof of freshness for so long, the follower switches to another core
ANSWER_TIMEOUT = timedelta(seconds=0.4)  # a request counts as unanswered after this time; a fresh core answers at once
MAX_ANSWER_TIMEOUT_FACTOR = 1.5  # maximum factor of `ANSWER_TIMEOUT` while no core answers, to spare busy cores
MAX_LAG = timedelta(seconds=0.5)  # how long the upstream core may lack changes that other members have
PROOF_LIFETIME = timedelta(seconds=3)  # how long the state counts as fresh after the last proof of its freshness
MAX_TICK_GAP = timedelta(seconds=1)  # a longer gap between ticks means that the process was paused
NEVER = timedelta(days=365)  # age of an event that has not happened yet


class Follower:
    """Keeps a replica of the control state up to date and tracks how fresh it is; see docs/design.md, "Feed".

    `proved_at` is the latest time at which the state is known to have held every change that a fresh core held. A
    core repeats the nonce of a request in its heartbeat; the heartbeat proves freshness as of the time when that
    request was sent, however late it arrives.
    """

    __slots__ = (
        "state",
        "upstream",
        "_number",
        "_announced_number",
        "round_trips",
        "upstream_selector",
        "snapshot_assembler",
        "proved_at",
        "asked_at",
        "progress_at",
        "last_tick",
        "resumed_at",
        "behind_since",
        "unanswered_requests",
    )

    number = MonotonicValue("_number")
    announced_number = MonotonicValue("_announced_number")

    def __init__(self, state: ReplicatedState, random: Random, now: timedelta) -> None:
        self.state = state
        self.upstream: str | None = None  # the address of the core that this follower subscribes to
        self.upstream_selector = UpstreamSelector(random)
        self.round_trips = RoundTrips(random.randrange(1, 1 << 30))
        self.snapshot_assembler = SnapshotAssembler()
        self.number = state.number
        self.proved_at = now - NEVER
        self.progress_at = now - NEVER
        self.asked_at = now - PROOF_TIMEOUT * 2
        self.last_tick = now
        self.resumed_at = now
        self.behind_since: timedelta | None = None
        self.unanswered_requests = 0

    def trust(self, now: timedelta) -> Trust:
        """Returns how far the state may be relied on at time `now`."""
        if self.state.catalogue is None:
            return Trust.EMPTY
        if now - self.last_tick > MAX_TICK_GAP:
            return Trust.UNPROVEN
        if now - self.proved_at < PROOF_LIFETIME:
            return Trust.FRESH
        return Trust.UNPROVEN if now - self.resumed_at < PROOF_LIFETIME else Trust.DISCONNECTED

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handles a tick or a message from a core; returns the messages to send and reports of changes to the state."""
        match event:
            case FollowerTick():
                return self._handle_tick(event, now)
            case MessageReceived(_, address, message):
                return self._handle_pause(now) + self._on_message(address, message, now)
        return []

    def _on_message(self, address: str, message: Any, now: timedelta) -> list[Effect]:
        match message:
            case Snapshot(number, packed):
                return self._on_snapshot(address, number, packed, now)
            case SnapshotPart():
                return self._on_snapshot_part(address, message, now)
            case ChangeBatch():
                return self._on_change_batch(address, message, now)
            case FeedHeartbeat(number, nonce, _):
                return self._on_heartbeat(address, number, nonce, now)
        return []

    def _handle_pause(self, now: timedelta) -> list[Effect]:
        """Discards open requests after a pause of the process, since answers to them may have waited in a buffer."""
        if now - self.last_tick <= MAX_TICK_GAP:
            return []
        self.resumed_at = now
        self.last_tick = now
        self.proved_at = now - NEVER
        return self._follow(now)

    # selecting the upstream core ----------------------------------------------------------

    def _follow(self, now: timedelta) -> list[Effect]:
        self.round_trips.clear()
        self.snapshot_assembler.clear()
        self.asked_at = now
        if self.upstream is None:
            return []
        return [Send(self.upstream, Follow(self.number, self.round_trips.start(now, self.number)))]

    def _handle_tick(self, tick: FollowerTick, now: timedelta) -> list[Effect]:
        effects = self._handle_pause(now)
        self.last_tick = now
        self.announced_number = tick.announced_number
        self._update_lag(now)
        if tick.cores and now - self.asked_at > self._answer_timeout() and self._should_switch(tick.cores, now):
            self._switch_upstream(tick.cores, now)
            effects += self._follow(now)
        return effects

    def _update_lag(self, now: timedelta) -> None:
        if self.announced_number <= self.number:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now

    def _answer_timeout(self) -> timedelta:
        """Returns the timeout of a request, which grows while no core answers, to spare busy cores."""
        return ANSWER_TIMEOUT * min(MAX_ANSWER_TIMEOUT_FACTOR, 1 + self.unanswered_requests / 2)

    def _should_switch(self, cores: tuple[str, ...], now: timedelta) -> bool:
        return self.upstream not in cores or self._is_failing(now)

    def _is_failing(self, now: timedelta) -> bool:
        """Returns whether the upstream core proved no freshness in time, or lags behind other members."""
        if now - self.progress_at < ANSWER_TIMEOUT:
            return False
        has_answered = self.proved_at >= self.asked_at
        is_unresponsive = not has_answered or now - self.proved_at > PROOF_TIMEOUT
        return is_unresponsive or (self.behind_since is not None and now - self.behind_since > MAX_LAG)

    def _switch_upstream(self, cores: tuple[str, ...], now: timedelta) -> None:
        if self.upstream is not None:
            self.upstream_selector.abandon(self.upstream, now)
            self.unanswered_requests += 1
        self.upstream = self.upstream_selector.select(cores, self.upstream)

    # handling messages from cores ----------------------------------------------------------

    def _on_snapshot(self, address: str, number: int, packed: bytes, now: timedelta) -> list[Effect]:
        if number <= self.number:
            return []
        with self.state.unchanged_on_failure():
            self.state.restore(read_snapshot(packed))
        return [StateRestored(), *self._advance(address, now)]

    def _on_snapshot_part(self, address: str, part: SnapshotPart, now: timedelta) -> list[Effect]:
        if address != self.upstream or part.number <= self.number:
            return []
        self.progress_at = now
        packed = self.snapshot_assembler.add(part)
        return [] if packed is None else self._on_snapshot(address, part.number, packed, now)

    def _on_change_batch(self, address: str, batch: ChangeBatch, now: timedelta) -> list[Effect]:
        self.number = self.state.number  # entries that were applied just before a failure are not applied again
        if batch.first > self.number + 1:  # an earlier entry was lost
            has_waited = now - self.asked_at > ANSWER_TIMEOUT
            return self._follow(now) if address == self.upstream and has_waited else []
        first = self.number + 1
        entries = tuple(batch.entries[first - batch.first :])
        if not entries:
            return []
        with self.state.unchanged_on_failure():
            for number, entry in enumerate(entries, first):
                self.state.apply(number, read_entry(entry))
        return [ChangesApplied(first, entries), *self._advance(address, now)]

    def _advance(self, address: str, now: timedelta) -> list[Effect]:
        self.number = self.state.number
        self.behind_since = None
        if address == self.upstream:  # an abandoned core keeps sending for a while, which shows no progress
            self.progress_at = now
        return self._confirm(now)

    def _confirm(self, now: timedelta) -> list[Effect]:
        """Confirms the last applied change to the upstream core, which also requests the next proof of freshness.

        An abandoned core gets no confirmation, so that it drops this follower.
        """
        if self.upstream is None:
            return []
        return [Send(self.upstream, Confirm(self.number, self.round_trips.start(now, self.number)))]

    def _on_heartbeat(self, address: str, number: int, nonce: int, now: timedelta) -> list[Effect]:
        request = self.round_trips.request(nonce) if address == self.upstream else None
        if request is None:
            return []
        if number > self.number:
            is_stuck = now - max(self.asked_at, self.progress_at) > ANSWER_TIMEOUT
            return self._follow(now) if is_stuck else []
        if number < request.number:
            return []  # the core lags behind what this follower had when it sent the request, so it proves nothing
        self.proved_at = max(self.proved_at, request.sent_at)
        self.unanswered_requests = 0
        return self._confirm(now)
