"""A kind of request that clients make."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RequestKind:
    """`aim`: within which an answer, or a stream's first event, is in time; `gap`: longest pause between events that
    still is; `models`: (model or model/adapter, share) asked for, none for a plain service; `rate`: requests a second.
    """

    name: str
    service: str
    prefix: str
    form: str
    aim: timedelta
    deadline: timedelta
    rate: float
    priority: int = 0
    is_resumable: bool = False
    gap: timedelta = timedelta(0)
    models: tuple = ()
    is_public: bool = False

    @property
    def is_repeatable(self) -> bool:
        return self.form == "idempotent" or self.is_resumable

    def route(self, host: str) -> dict:
        """As the operator writes it."""
        aim, deadline, gap = (int(time / timedelta(milliseconds=1)) for time in (self.aim, self.deadline, self.gap))
        stream = (
            {"sticky-sessions": True, "resumable": self.is_resumable, "gap-target-ms": gap}
            if self.form == "streaming"
            else {}
        )
        return {
            "name": f"r-{self.name}",
            "host": host,
            "path-prefix": self.prefix,
            "route-kind": self.form,
            "timeout-ms": deadline,
            "target-latency-ms": aim,
            "priority": self.priority,
            "service": self.service,
            "max-attempts": 2,
            "public": self.is_public,
            **stream,
        }
