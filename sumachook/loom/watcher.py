"""The watcher: asks the platform which servers there are and which are leaving."""

from datetime import timedelta
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from sumachook.atlas.catalogue import Name
from sumachook.atlas.check import check


class Listed(msgspec.Struct, forbid_unknown_fields=False, frozen=True):
    """One server as the platform lists it."""

    name: Name
    kind: Literal["model", "records"]
    address: str
    area: Name
    memory: Annotated[float, Meta(ge=0, le=100000)] = 0.0
    places: Annotated[int, Meta(ge=0, le=1000)] = 0
    slots: Annotated[int, Meta(ge=1, le=10000)] = 8
    leaving: bool = False


class Listing(msgspec.Struct, frozen=True):
    """The platform's answer."""

    servers: tuple[Listed, ...]


class Watcher:
    """Takes (message, now); proposes the list when it differs from the ordered one (§9.1)."""

    __slots__ = ("state", "platform", "nextPoll", "number", "fence", "sentAt", "fails")

    POLL = timedelta(seconds=0.5)

    def __init__(self, state, platform, now):
        self.state, self.platform, self.nextPoll, self.number, self.fence = state, platform, now, 0, 0
        self.sentAt, self.fails = now - self.POLL, 0

    def take(self, message: tuple, now) -> list:
        if message[0] == "pulse":
            self.fence = message[1]
            if not self.fence or not self.platform or now < self.nextPoll:
                return []
            self.nextPoll = now + self.POLL
            self.number += 1
            tid, url = ("watcher", self.fence, self.number), f"http://{self.platform}/servers"
            return [("fetch", tid, "GET", url, {}, b"", self.POLL * 4, self.POLL * 4, "whole")]
        return self._read(message, now)

    def _read(self, message, now):
        _, (_, fence, _), outcome, *answer = message
        if fence != self.fence:
            return []
        reason = f"{outcome} {answer[0]}"
        if outcome == "done" and answer[0] == 200:
            listing, reason = self._listing(answer[2])
            if listing is not None:
                self.fails = 0
                servers = {item.name: {field: getattr(item, field) for field in item.__struct_fields__ if field != "name"}
                           for item in listing.servers}
                if servers == self.state.servers or now - self.sentAt < self.POLL:
                    return []
                self.sentAt = now
                return [("propose", ("servers", fence, servers))]
        self.fails += 1
        if self.fails in (3, 30, 300):
            return [("log", "warning", "loom", "The platform's list cannot be had.", {"reason": reason, "fails": self.fails})]
        return []

    def _listing(self, body):
        try:
            doc = msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            return None, str(error)
        listing, faults = check(doc, Listing)
        names = [item.name for item in listing.servers] if listing else []
        if len(set(names)) < len(names):
            return None, "duplicate name"
        return listing, str(faults[:1])
