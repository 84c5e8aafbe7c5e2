"""Probes each edge over HTTP for whether it applies acknowledged changes of keys."""

from datetime import timedelta
from typing import Any

from sumachook.host.effects import Fetch
from sumachook.host.events import CallEvent, Event, ResponseReceived, Tick

PROBE_INTERVAL = timedelta(seconds=0.5)
PROBE_TIMEOUT = timedelta(seconds=1)
KNOWN, UNKNOWN = 403, 401


class Probe:
    """Requests a record from each edge every 0.5 s with keys of callers without lookup permission.

    An edge that knows the key answers 403, any other 401; neither starts a request of its own. `present` and `absent`
    map each key to the time of the acknowledgement that promised it. `answers` lists (edge, time, key, status,
    incarnation of the edge, promised status, time of the promise). See docs/design/simulation.md.
    """

    __slots__ = ("deployment", "present", "absent", "answers", "next_at", "number", "waiting")

    present: dict[str, timedelta]
    absent: dict[str, timedelta]
    answers: list[Any]
    waiting: dict[Any, Any]

    def __init__(self, deployment: Any) -> None:
        self.deployment, self.present, self.absent, self.answers = deployment, {}, {}, []
        self.next_at, self.number, self.waiting = deployment.now, 0, {}

    def promise(self, present: Any = (), absent: Any = (), now: timedelta = timedelta(0)) -> None:
        """Records that from `now` on, as acknowledged, edges must know the `present` keys and not the `absent` ones."""
        self.forget((*present, *absent))
        self.present |= dict.fromkeys(present, now)
        self.absent |= dict.fromkeys(absent, now)

    def forget(self, keys: Any) -> None:
        """Drops the promises about these keys, because an order in flight may change them."""
        for key in keys:
            self.present.pop(key, None)
            self.absent.pop(key, None)

    def take(self, event: Event, now: timedelta) -> list[Any]:
        """Handles an event and returns the resulting effects; sends the next probes when due."""
        if isinstance(event, CallEvent):
            if isinstance(event, ResponseReceived) and event.call_id in self.waiting:
                edge, asked_at, key, incarnation, wanted, since = self.waiting.pop(event.call_id)
                self.answers.append((edge, asked_at, key, event.status, incarnation, wanted, since))
            return []
        if not isinstance(event, Tick) or now < self.next_at:
            return []
        self.next_at, out = now + PROBE_INTERVAL, []
        wanted = [(key, KNOWN, at) for key, at in self.present.items()] + [
            (key, UNKNOWN, at) for key, at in self.absent.items()
        ]
        for box in self.deployment.boxes.values():
            for key, status, since in wanted if box.role == "edge" else ():
                self.number += 1
                self.waiting[("probe", self.number)] = (box.name, now, key, box.incarnation, status, since)
                headers = {"Authorization": f"Bearer {key}"}
                url = f"http://{box.http_address}/records/probe"
                out.append(
                    Fetch(("probe", self.number), "GET", url, headers, b"", PROBE_TIMEOUT, PROBE_TIMEOUT, "whole")
                )
        return out
