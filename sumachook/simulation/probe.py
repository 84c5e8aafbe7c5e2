"""Asks each edge from outside whether it obeys what was acknowledged."""

from datetime import timedelta
from typing import Any

from sumachook.host.effects import Fetch
from sumachook.host.events import CallEvent, Event, ResponseReceived, Tick

EVERY = timedelta(seconds=0.5)
WAIT = timedelta(seconds=1)
KNOWN, UNKNOWN = 403, 401


class Probe:
    """Asks each edge for a record with keys of callers that may not look up (docs/design/simulation.md).

    An edge that knows the key answers 403, one that does not 401; neither begins a request.
    `present` and `absent` {key: since}: what an ack has promised; `notes`: (edge, asked at, key, status, incarnation of
    the edge, status that was promised, since when).
    """

    __slots__ = ("deployment", "present", "absent", "notes", "next_at", "number", "waiting")

    present: dict[str, timedelta]
    absent: dict[str, timedelta]
    notes: list[Any]
    waiting: dict[Any, Any]

    def __init__(self, deployment: Any) -> None:
        self.deployment, self.present, self.absent, self.notes = deployment, {}, {}, []
        self.next_at, self.number, self.waiting = deployment.now, 0, {}

    def promise(self, present: Any = (), absent: Any = (), now: timedelta = timedelta(0)) -> None:
        """From an ack on, these keys are known and those are not."""
        self.forget((*present, *absent))
        self.present |= dict.fromkeys(present, now)
        self.absent |= dict.fromkeys(absent, now)

    def forget(self, keys: Any) -> None:
        """An order is on its way that may change them: nothing is promised of them any more."""
        for key in keys:
            self.present.pop(key, None)
            self.absent.pop(key, None)

    def take(self, event: Event, now: timedelta) -> list[Any]:
        """The effects of one event."""
        if isinstance(event, CallEvent):
            if isinstance(event, ResponseReceived) and event.call_id in self.waiting:
                edge, asked_at, key, incarnation, wanted, since = self.waiting.pop(event.call_id)
                self.notes.append((edge, asked_at, key, event.status, incarnation, wanted, since))
            return []
        if not isinstance(event, Tick) or now < self.next_at:
            return []
        self.next_at, out = now + EVERY, []
        wanted = [(key, KNOWN, at) for key, at in self.present.items()] + [
            (key, UNKNOWN, at) for key, at in self.absent.items()
        ]
        for box in self.deployment.boxes.values():
            for key, status, since in wanted if box.role == "edge" else ():
                self.number += 1
                self.waiting[("probe", self.number)] = (box.name, now, key, box.incarnation, status, since)
                headers = {"Authorization": f"Bearer {key}"}
                url = f"http://{box.http_address}/records/probe"
                out.append(Fetch(("probe", self.number), "GET", url, headers, b"", WAIT, WAIT, "whole"))
        return out
