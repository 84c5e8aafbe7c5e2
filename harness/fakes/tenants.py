"""Tenants of a fake deployment: the API keys that its clients send, and the check of which requests ran under them.

Some keys are valid all the time, some are revoked for good, some are added once, and one is never valid. A
configuration may be in force from the time it is sent until `APPLY_WITHIN_S` after its successor is acknowledged. A
request that runs although no configuration in force allows it is a violation.
"""

import asyncio
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from harness.fakes.request_kind import RequestKind
from harness.local_cluster.nodes import BOUNDS

CREDENTIAL, TENANT = "Sumachook-Credential", "Sumachook-Tenant"
UNAUTHORIZED = 401
# cores are restarted continually, so the bound for changes is the one that applies while the cores are unsettled
APPLY_WITHIN_S = (BOUNDS["config-apply-ms"] + BOUNDS["outer-bound-ms"]) / 1000
QUOTA_WINDOW_S, QUOTA_OVERSHOOT, QUOTA_SLACK = 5.0, 0.1, 20
METERED_RATE, METERED_BURST = 10, 10

STANDING, METERED, LEAVING, JOINING = "standing", "metered", "leaving", "joining"
PRIORITIES = {METERED: 1, LEAVING: 0, JOINING: 0, STANDING: 0}
STANDING_KEYS = ("standing-key-1", "standing-key-2", "standing-key-3")
METERED_KEYS = ("metered-key-1", "metered-key-2")
LEAVING_KEYS = tuple(f"leaving-key-{number}" for number in range(1, 7))
JOINING_KEYS = tuple(f"joining-key-{number}" for number in range(1, 7))
NEVER_HELD, NO_KEY = "never-held-key", ""
TENANT_BY_KEY = {
    **dict.fromkeys(STANDING_KEYS, STANDING),
    **dict.fromkeys(METERED_KEYS, METERED),
    **dict.fromkeys(LEAVING_KEYS, LEAVING),
    **dict.fromkeys(JOINING_KEYS, JOINING),
}
KEY_WEIGHTS = {
    **dict.fromkeys(STANDING_KEYS, 4.0),
    **dict.fromkeys(METERED_KEYS, 5.0),
    **dict.fromkeys((*LEAVING_KEYS, *JOINING_KEYS), 1.0),
    NEVER_HELD: 0.7,
    NO_KEY: 0.7,
}


class Run(NamedTuple):
    """One run of a request at a server: its time, its tenant headers, and whether the API key reached the server."""

    at: float
    tenants: tuple[str, ...]
    has_key: bool


@dataclass(slots=True)
class ConfiguredKeys:
    """The API keys of one configuration; `replaced_at` is the time at which its successor was acknowledged."""

    keys: frozenset[str]
    sent_at: float
    replaced_at: float = float("inf")


class JudgedRequest(NamedTuple):
    """A request with its key, its times and its status as seen by the client."""

    request_id: str
    kind: RequestKind
    credential: str
    sent_at: float
    ended_at: float
    status: int


@dataclass(slots=True)
class TenantKeys:
    """The API keys of each configuration over time, and the requests that servers ran."""

    held: list[ConfiguredKeys] = field(default_factory=list)
    runs: dict[str, list[Run]] = field(default_factory=dict)

    # records of configurations that the operator sent ---------------------------------------

    def document(self, leaving: int = len(LEAVING_KEYS), joining: int = 0) -> list[dict[str, Any]]:
        """Returns the tenants of a configuration document.

        `leaving` is how many of the keys to be revoked it still contains, `joining` how many of those to be added.
        """
        keys = {
            STANDING: STANDING_KEYS,
            METERED: METERED_KEYS,
            LEAVING: LEAVING_KEYS[len(LEAVING_KEYS) - leaving :],
            JOINING: JOINING_KEYS[:joining],
        }
        quota = {"rate-per-s": METERED_RATE, "burst-size": METERED_BURST}
        return [
            {
                "name": name,
                "api-keys": list(keys[name]),
                "priority": PRIORITIES[name],
                **(quota if name == METERED else {}),
            }
            for name in keys
        ]

    def note_sent(self, tenants: list[dict[str, Any]]) -> None:
        """Records that a configuration with these tenants is sent for the first time."""
        keys = frozenset(key for tenant in tenants for key in tenant["api-keys"])
        self.held.append(ConfiguredKeys(keys, asyncio.get_running_loop().time()))

    def note_acknowledged(self) -> None:
        """Records that the configuration sent last is acknowledged."""
        for earlier in self.held[:-1]:
            earlier.replaced_at = min(earlier.replaced_at, asyncio.get_running_loop().time())

    # keys of clients, and records of what servers ran ---------------------------------------

    @staticmethod
    def draw(random: Random, kind: RequestKind) -> str:
        """Draws the API key for a request of this kind; half of the requests on public routes have none."""
        if kind.is_public and random.random() < 0.5:
            return NO_KEY
        (key,) = random.choices(list(KEY_WEIGHTS), list(KEY_WEIGHTS.values()))
        return str(key)

    def note_run(self, request_id: str, headers: Mapping[str, str]) -> None:
        """Records that a server starts a request with these headers."""
        tenants_received = tuple(value for name, value in headers.items() if name.lower() == TENANT.lower())
        has_key = any(name.lower() == CREDENTIAL.lower() for name in headers)
        self.runs.setdefault(request_id, []).append(Run(asyncio.get_running_loop().time(), tenants_received, has_key))

    # checks for violations ------------------------------------------------------------------

    def tenant_violations(self, request_id: str, credential: str) -> Iterator[str]:
        """Yields a violation for each run of a request whose server received the API key or a wrong tenant name."""
        tenant = TENANT_BY_KEY.get(credential)
        for run in self.runs.get(request_id, ()):
            if run.has_key:
                yield f"UNASKED: a server received the API key of {request_id}"
            if run.tenants != ((tenant,) if tenant is not None else ()):
                yield f"UNASKED: a server received the tenants {run.tenants} for {request_id}, its tenant is {tenant}"

    def violations(self, requests: list[JudgedRequest]) -> Iterator[str]:
        """Yields requests that ran or got 401 contrary to every configuration in force, and excess over a quota."""
        for request in requests:
            for run in self.runs.get(request.request_id, ()):
                yield from self._of_run(request, run)
            if request.status == UNAUTHORIZED and self._is_always_allowed(request):
                yield f"DENIED: {request.request_id} of {request.kind.name} got 401 with {_describe_key(request)}"
        yield from self._of_quota(requests)

    def _of_run(self, request: JudgedRequest, run: Run) -> Iterator[str]:
        what = f"{request.request_id} of {request.kind.name} with {_describe_key(request)}"
        if not any(self._allows(held, request) for held in self._in_force(request.sent_at, run.at)):
            yield f"ROUTE or CONFIG: a server ran {what}, sent at {request.sent_at:.3f} s"

    def _in_force(self, since: float, until: float) -> list[ConfiguredKeys]:
        """Returns the configurations that may be in force on some node between two times."""
        return [held for held in self.held if held.sent_at <= until and since <= held.replaced_at + APPLY_WITHIN_S]

    @staticmethod
    def _allows(held: ConfiguredKeys, request: JudgedRequest) -> bool:
        return request.credential in held.keys or (request.kind.is_public and request.credential == NO_KEY)

    def _is_always_allowed(self, request: JudgedRequest) -> bool:
        return all(self._allows(held, request) for held in self._in_force(request.sent_at, request.ended_at))

    def _of_quota(self, requests: list[JudgedRequest]) -> Iterator[str]:
        allowed = (METERED_RATE * QUOTA_WINDOW_S + METERED_BURST) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
        runs = sorted(
            (request.sent_at, run.at)
            for request in requests
            if TENANT_BY_KEY.get(request.credential) == METERED
            for run in self.runs.get(request.request_id, ())
        )
        for since, _ in runs:
            count = sum(sent_at >= since and at <= since + QUOTA_WINDOW_S for sent_at, at in runs)
            if count > allowed:
                what = f"{count} requests of tenant {METERED} were sent and run within {QUOTA_WINDOW_S:g} s"
                yield f"QUOTA: {what} from {since:.3f} s, allowed {allowed:g}"
                return

    def counts(self, requests: list[JudgedRequest]) -> dict[str, int]:
        """Returns how many requests each check could judge, by description."""
        last = self.held[-1].keys if self.held else frozenset()
        revoked_at = {
            key: min(each.replaced_at for each in self.held if key in each.keys and key not in last)
            for key in LEAVING_KEYS
            if key not in last and any(key in each.keys for each in self.held)
        }
        late = sum(
            request.credential in revoked_at and request.sent_at > revoked_at[request.credential] + APPLY_WITHIN_S
            for request in requests
        )
        return {
            "requests rejected for their key": sum(request.status == UNAUTHORIZED for request in requests),
            "requests run for a tenant": sum(bool(run.tenants) for runs in self.runs.values() for run in runs),
            "requests with keys revoked long before": late,
        }


def _describe_key(request: JudgedRequest) -> str:
    return request.credential or "no key"
