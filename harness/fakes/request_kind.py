"""The kinds of request that the fake clients send."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RequestKind:
    """The service, route, deadlines and rate of one kind of request.

    `aim` is the target latency of the response or of a stream's first event. `gap` is the longest pause between events
    that counts as in time. `models` are (model or model/adapter, weight) pairs to draw from, empty for a service
    without models. `rate` is the number of requests per second.
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
    max_attempts: int = 2

    @property
    def is_repeatable(self) -> bool:
        return self.form == "idempotent" or self.is_resumable

    def route(self, host: str) -> dict:
        """Returns the route for this kind as an entry of the configuration document."""
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
            "max-attempts": self.max_attempts,
            "public": self.is_public,
            **stream,
        }
