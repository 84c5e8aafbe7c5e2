"""Records what fake clients sent and fake servers ran, and reports where the two records break a rule."""

from dataclasses import dataclass

from harness.fakes.request_kind import RequestKind
from harness.fakes.tenants import TenantKeys

CEILING_WINDOW, OVERSHOOT, SLACK = 5.0, 1.1, 3


@dataclass(slots=True)
class Attempt:
    """One attempt of a client. `is_promised_not_run`: its response promised that it has not run and never will."""

    kind: RequestKind
    path: str
    digest: str
    is_promised_not_run: bool = False
    credential: str = ""


class CallHistory:
    """Compares the requests that clients sent with those that servers ran.

    `violations` also includes the violations that fakes and clients noted as they happened.

    >>> call_history = CallHistory(loads_per_s=2.0)
    >>> call_history.ran("t1", "i-1", "records", "/x/", "0")
    >>> call_history.violations()
    ['UNASKED: i-1 ran t1, which no client sent in this form']
    """

    __slots__ = ("attempts", "runs", "bodies", "noted", "loads", "loads_per_s", "tenant_keys")

    def __init__(self, loads_per_s: float):
        self.attempts, self.runs, self.bodies, self.noted, self.loads, self.loads_per_s = (
            {},
            {},
            {},
            [],
            [],
            loads_per_s,
        )
        self.tenant_keys = TenantKeys()

    def ran(self, request: str, instance: str, service: str, path: str, digest: str):
        self.runs.setdefault(request, []).append((instance, service, path, digest))

    def violations(self) -> list:
        return [*self.noted, *self._of_runs(), *self._of_loads()]

    def _of_runs(self):
        for request, runs in self.runs.items():
            asked = self.attempts.get(request)
            for instance, service, path, digest in runs:
                if asked is None or (path, digest) != (asked.path, asked.digest):
                    yield f"UNASKED: {instance} ran {request}, which no client sent in this form"
                elif service != asked.kind.service:
                    yield f"ROUTE: {instance} of {service} ran {request} of {asked.kind.name}"
            if asked is not None:
                yield from self.tenant_keys.tenant_violations(request, asked.credential)
            if asked is not None and not asked.kind.is_repeatable:
                if len(runs) > 1:
                    yield f"TWICE: {request} of {asked.kind.name} ran at {', '.join(run[0] for run in runs)}"
                if asked.is_promised_not_run:
                    yield f"REFUSED: {request} of {asked.kind.name} was promised not to run and ran at {runs[0][0]}"

    def _of_loads(self):
        most = self.loads_per_s * CEILING_WINDOW * OVERSHOOT + SLACK
        for begun in self.loads:
            count = sum(begun <= other < begun + CEILING_WINDOW for other in self.loads)
            if count > most:
                yield f"CEILING: {count} loads from the store within {CEILING_WINDOW} s, {most:.1f} are allowed"
                return
