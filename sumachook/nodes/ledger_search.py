"""Finds the ledger record of a request by asking the replicas on all cores."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from sumachook.host.effects import Effect, Reply, Send
from sumachook.host.events import CallId, MessageReceived
from sumachook.ledger.messages import FindRecord, RecordFound
from sumachook.ledger.records import LOST, OPEN, Record
from sumachook.ledger.replica_store import ReplicaStore
from sumachook.nodes.replies import fault_reply, reply

SEARCH_TIMEOUT = timedelta(seconds=1)  # time after which a search returns the best record found so far


@dataclass(slots=True)
class Search:
    """One client's search: the best record found so far and the number of cores that have not answered."""

    call_id: CallId
    record: Record | None
    started_at: timedelta
    missing_answers: int


@dataclass(slots=True)
class LedgerSearch:
    """Searches for ledger records; queries the other cores if this core's replica has no final record."""

    replica_store: ReplicaStore
    searches: dict[str, Search] = field(default_factory=dict)

    def begin(self, call_id: CallId, request: str, cores: list[str], now: timedelta) -> Sequence[Effect]:
        """Returns the reply if the local record is final, else messages that ask the cores at these addresses."""
        record = self.replica_store.find(request)
        if record is not None and _is_final(record):
            return [reply(call_id, 200, record)]
        key = str(call_id)
        self.searches[key] = Search(call_id, record, now, len(cores))
        return [Send(address, FindRecord(key, request)) for address in cores]

    def take(self, event: MessageReceived, now: timedelta) -> Sequence[Effect]:
        """Answers another core's `FindRecord`, or adds its `RecordFound` to the search that asked for it."""
        message = event.message
        match message:
            case FindRecord(asker, request):
                return [Send(event.address, RecordFound(asker, self.replica_store.find(request)))]
            case RecordFound(asker, record):
                return self._on_record_found(asker, record, now)
        raise TypeError(f"not a ledger search message: {message!r}")

    def _on_record_found(self, asker: str, record: Record | None, now: timedelta) -> Sequence[Effect]:
        search = self.searches.get(asker)
        if search is None:
            return []
        search.missing_answers -= 1
        if record and (search.record is None or not _is_final(search.record)):
            search.record = record
        return self.tick(now)

    def tick(self, now: timedelta) -> list[Reply]:
        """Answers searches that all cores have answered or that are older than `SEARCH_TIMEOUT`."""
        replies = []
        for key, search in list(self.searches.items()):
            if search.missing_answers <= 0 or now - search.started_at > SEARCH_TIMEOUT:
                del self.searches[key]
                replies.append(_answer(search))
        return replies

    def close(self) -> list[CallId]:
        """Cancels all searches and returns their call ids."""
        searches, self.searches = list(self.searches.values()), {}
        return [search.call_id for search in searches]

    def handle_disconnect(self, call_id: CallId) -> None:
        """Drops the search of a client that disconnected."""
        self.searches.pop(str(call_id), None)


def _is_final(record: Record) -> bool:
    return record["state"] not in (OPEN, LOST)


def _answer(search: Search) -> Reply:
    if search.record:
        return reply(search.call_id, 200, search.record)
    return fault_reply(search.call_id, 404, "unknown", "no keeper that answered holds this request")
