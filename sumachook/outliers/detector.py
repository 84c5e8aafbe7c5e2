"""Detection of servers that all edges should stop using for a limited time."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from sumachook.host.effects import Effect, Log
from sumachook.host.events import Event, MessageReceived
from sumachook.outliers.effects import ServersEjected
from sumachook.outliers.events import Tick

# Half-life of the weight of an outcome: a failing server shows within a fraction of a second, old failures fade soon.
HALF_LIFE = timedelta(seconds=1)
MIN_FAILURES = 2.0  # minimum decayed failures of an outlier; one or two may happen at any server
MIN_FAILURE_RATE = 0.2  # minimum share of failed attempts among all attempts at an outlier
MIN_RATE_RATIO = 3.0  # minimum ratio of the failure rate of an outlier to that of the other servers of its service
FIRST_EJECTION = timedelta(seconds=2)  # duration of the first ejection of a server; doubled each time
MAX_EJECTION = timedelta(seconds=8)
# The state of a server is dropped this long after its last outcome or the end of its ejection.
STATE_RETENTION = timedelta(seconds=20)
SERVERS_PER_EJECTION = 3  # at most one of this many servers of a service is ejected at a time

_MILLISECOND = timedelta(milliseconds=1)


class DecayedOutcomes(NamedTuple):
    """Successful and failed attempts, weighted by exponential decay as of the time `as_of`."""

    successes: float
    failures: float
    as_of: timedelta

    def decayed(self, now: timedelta) -> "DecayedOutcomes":
        """Returns the counts decayed to `now`."""
        weight = 0.5 ** ((now - self.as_of) / HALF_LIFE)
        return DecayedOutcomes(self.successes * weight, self.failures * weight, now)


class Ejection(NamedTuple):
    """The end of a server's ejection, and the duration of a further one."""

    until: timedelta
    next_duration: timedelta


class OutlierDetector:
    """Adds up the outcomes that edges report, and ejects servers that fail far more than the others of their service.

    Handles `Tick` and `MessageReceived` with an `OutcomeReport`; returns `ServersEjected` and `Log`, only if the tick
    states that this core holds the placement lease. A server gets a new name at each restart, so outcomes do not carry
    over.
    """

    __slots__ = ("_state", "_outcomes", "_ejections", "_has_new_failures")

    def __init__(self, state: Any) -> None:
        self._state = state
        self._outcomes: dict[str, DecayedOutcomes] = {}
        self._ejections: dict[str, Ejection] = {}
        self._has_new_failures = False

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handles an event at the monotonic time `now`; returns the effects."""
        match event:
            case Tick():
                return self._detect(now) if event.fence and self._has_new_failures else []
            case MessageReceived():
                self._record(event.message.counts, now)
                return []
        raise TypeError(f"unhandled event in outlier detection: {event!r}")

    def _record(self, counts: Mapping[str, tuple[int, int]], now: timedelta) -> None:
        for server, (successes, failures) in counts.items():
            known = self._outcomes.get(server, DecayedOutcomes(0.0, 0.0, now)).decayed(now)
            self._outcomes[server] = DecayedOutcomes(known.successes + successes, known.failures + failures, now)
            self._has_new_failures = self._has_new_failures or failures > 0

    def _detect(self, now: timedelta) -> list[Effect]:
        self._has_new_failures = False
        self._drop_expired(now)
        durations_ms = {
            server: self._eject(server, now)
            for service, outcomes in self._outcomes_by_service(now).items()
            for server in self._outliers(service, outcomes, now)
        }
        if not durations_ms:
            return []
        text = "Ejected servers that fail more often than others."
        return [Log("warning", "outliers", text, {"servers": durations_ms}), ServersEjected(durations_ms)]

    def _outcomes_by_service(self, now: timedelta) -> dict[str, dict[str, DecayedOutcomes]]:
        by_service: dict[str, dict[str, DecayedOutcomes]] = {}
        for server, outcomes in self._outcomes.items():
            service = self._state.servers.get(server, {}).get("service", "")
            by_service.setdefault(service, {})[server] = outcomes.decayed(now)
        return by_service

    def _outliers(self, service: str, outcomes: Mapping[str, DecayedOutcomes], now: timedelta) -> list[str]:
        """Returns the outliers of a service, the worst first, limited to the number that may still be ejected."""
        service_servers = [name for name, server in self._state.servers.items() if server.get("service", "") == service]
        ejected_count = sum(self._is_ejected(name, now) for name in service_servers)
        candidates = [
            server for server in outcomes if not self._is_ejected(server, now) and _is_outlier(server, outcomes)
        ]
        candidates.sort(key=lambda server: (-outcomes[server].failures, server))
        return candidates[: max(0, len(service_servers) // SERVERS_PER_EJECTION - ejected_count)]

    def _is_ejected(self, server: str, now: timedelta) -> bool:
        return server in self._ejections and now < self._ejections[server].until

    def _eject(self, server: str, now: timedelta) -> int:
        """Ejects a server and resets its outcomes; returns the duration in milliseconds, which doubles each time up
        to `MAX_EJECTION`.
        """
        duration = self._ejections[server].next_duration if server in self._ejections else FIRST_EJECTION
        self._ejections[server] = Ejection(now + duration, min(duration * 2, MAX_EJECTION))
        del self._outcomes[server]
        return round(duration / _MILLISECOND)

    def _drop_expired(self, now: timedelta) -> None:
        self._outcomes = {
            server: outcomes for server, outcomes in self._outcomes.items() if now - outcomes.as_of < STATE_RETENTION
        }
        self._ejections = {
            server: ejection for server, ejection in self._ejections.items() if now - ejection.until < STATE_RETENTION
        }


def _is_outlier(server: str, outcomes: Mapping[str, DecayedOutcomes]) -> bool:
    own = outcomes[server]
    failure_rate = own.failures / (own.successes + own.failures) if own.failures else 0.0
    if own.failures < MIN_FAILURES or failure_rate < MIN_FAILURE_RATE:
        return False
    successes = sum(each.successes for name, each in outcomes.items() if name != server)
    failures = sum(each.failures for name, each in outcomes.items() if name != server)
    return failure_rate >= MIN_RATE_RATIO * failures / max(successes + failures, 1.0)
