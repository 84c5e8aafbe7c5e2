"""The HTTP API of a core: operators' changes and reads, the readiness check and metrics."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import msgspec

from sumachook.configuration.catalogue import merge, read_catalogue
from sumachook.consensus.effects import Readable, Unreadable
from sumachook.consensus.views import Role
from sumachook.control_state.changes import tag_of
from sumachook.host.effects import Effect, Reply
from sumachook.host.events import CallId, ClientDisconnected, HttpRequestReceived
from sumachook.membership.member import MemberStatus
from sumachook.nodes import change_request, show
from sumachook.nodes.configuration_changes import ConfigurationChanges
from sumachook.nodes.ledger_search import LedgerSearch
from sumachook.nodes.reads import Reads
from sumachook.nodes.replies import fault_reply, redirect, reply
from sumachook.placement.forecast import forecast_moves

if TYPE_CHECKING:
    from sumachook.nodes.core import Core

# A read that fails later than this had no response from the leader: its caller should ask another core instead.
REDIRECT_WITHIN = timedelta(seconds=0.25)
# Longest request body of a change that a follower forwards to its leader; the caller of a longer one is redirected.
MAX_FORWARDED_BYTES = 256 << 10
RETRY_AFTER_S = 0.2


def starting(call_id: CallId) -> Reply:
    """Returns the 503 response of a core whose identity is not durable yet."""
    reason = "this core has just started; ask another"
    return fault_reply(call_id, 503, "starting", reason, RETRY_AFTER_S, applied="no")


def _leaving(call_id: CallId) -> Reply:
    reason = "this core is leaving; ask another"
    return fault_reply(call_id, 503, "leaving", reason, RETRY_AFTER_S, applied="no")


class ControlApi:
    """Answers HTTP requests to one core.

    Reads of the configuration, and changes before they are proposed, need a linearizable read: `ReadRequested` goes to
    the consensus layer, which answers with `Readable` or `Unreadable`. A core that cannot read redirects the caller to
    its leader or answers 503.
    """

    __slots__ = ("core", "configuration_changes", "reads", "searches", "is_closed")

    def __init__(self, core: "Core") -> None:
        settings = core.settings
        self.core = core
        self.is_closed = False
        self.reads = Reads()
        self.searches = LedgerSearch(core.replica_store)
        self.configuration_changes = ConfigurationChanges(
            f"{core.node}.{core.restart_epoch}",
            core.state,
            timedelta(seconds=settings.confirm_within),
            timedelta(seconds=settings.order_within),
        )

    # requests ---------------------------------------------------------------------

    def http(self, event: HttpRequestReceived, now: timedelta) -> Sequence[Any]:
        """Routes one HTTP request; all but /condition and /metrics need the operator key, if one is configured."""
        if event.path == "/condition":
            return [self._condition(event.call_id, now)]
        if event.path == "/metrics":
            return [reply(event.call_id, 200, self._metrics(now))]
        if self.is_closed:
            return [_leaving(event.call_id)]
        if not self._is_authorized(event.headers):
            return [fault_reply(event.call_id, 401, "unknown-operator", "Authorization: Bearer KEY")]
        if event.method == "POST":
            return self._post(event, now)
        if event.method == "GET":
            return self._get(event, now)
        return [_not_found(event)]

    def _is_authorized(self, headers: Mapping[str, str]) -> bool:
        key = self.core.settings.operator_key
        return not key or headers.get("authorization") == f"Bearer {key}"

    def _post(self, event: HttpRequestReceived, now: timedelta) -> Sequence[Any]:
        if event.path in change_request.PATHS:
            return self._change(event, now)
        if event.path in ("/plan", "/check"):
            return [self._forecast(event)]
        return [_not_found(event)]

    def _get(self, event: HttpRequestReceived, now: timedelta) -> Sequence[Any]:
        path = event.path
        if path.startswith("/show/"):
            return self._show(event.call_id, path, now)
        if path.startswith("/ledger/"):
            request = unquote(path.removeprefix("/ledger/"))
            return self.searches.begin(event.call_id, request, self.core.other_cores(), now)
        return [_not_found(event)]

    def handle_disconnect(self, event: ClientDisconnected, now: timedelta) -> list[Any]:
        """Drops the changes, reads and ledger searches of a caller that disconnected."""
        self.configuration_changes.handle_disconnect(event.call_id)
        self.reads.handle_disconnect(event.call_id)
        self.searches.handle_disconnect(event.call_id)
        return []

    def close(self) -> list[Reply]:
        """Answers all waiting callers, and all later requests, that this core is leaving and to ask another one."""
        self.is_closed = True
        waiting = [read.call_id for read in self.reads.close()] + self.searches.close()
        return [*self.configuration_changes.close(), *map(_leaving, waiting)]

    def tick(self, live: Sequence[str], confirmed: Mapping[str, int], now: timedelta) -> list[Effect | Any]:
        """Returns due responses and proposals; `confirmed` maps edges to the last change feed number they confirmed."""
        effects: list[Any] = [*self.configuration_changes.tick(live, confirmed, now), *self.searches.tick(now)]
        return effects + [self._no_view(read.call_id) for read in self.reads.overdue(now)]

    # linearizable reads -----------------------------------------------------------

    def handle_readable(self, effect: Readable, now: timedelta) -> list[Any]:
        """Handles a completed linearizable read: answers a read of the catalogue, or continues a change."""
        if not self.core.state_delivery.is_complete:  # the state lacks an entry that consensus counts as delivered
            return self.handle_unreadable(Unreadable(effect.token, None), now)
        read = self.reads.finish(effect.token)
        if read is not None:
            return [reply(read.call_id, 200, show.show(show.CATALOGUE, self.core, now))]
        self.configuration_changes.handle_completed_read(effect.token, now)
        return []

    def handle_unreadable(self, effect: Unreadable, now: timedelta) -> list[Any]:
        """Handles a failed linearizable read: retries it, redirects the caller to the leader or answers 503."""
        read = self.reads.finish(effect.token)
        if read is not None:
            leader = effect.address if now - read.started_at < REDIRECT_WITHIN else None
            return [self._redirect(read.call_id, read.path, leader)]
        pending = self.configuration_changes.change_awaiting_read(effect.token)
        if pending is None:
            return []
        http_address = self._http_address_of(effect.address if now - pending.started_at < REDIRECT_WITHIN else None)
        if not http_address and self.configuration_changes.schedule_read_retry(pending, now):
            return []
        self.configuration_changes.remove(pending)
        if not http_address:
            return [self._no_view(pending.call_id)]
        return [redirect(pending.call_id, http_address, f"/operator/{tag_of(pending.change)}")]

    def _redirect(self, call_id: CallId, path: str, leader: str | None) -> Reply:
        http_address = self._http_address_of(leader)
        return redirect(call_id, http_address, path) if http_address else self._no_view(call_id)

    def _http_address_of(self, leader: str | None) -> str:
        """Returns the leader's HTTP address, or "" if unknown or not alive: a redirect to a dead one costs a second."""
        alive = (
            member.http_address
            for member in self.core.membership.live
            if member.address == leader and member.status == MemberStatus.ALIVE
        )
        return next(alive, "")

    def _no_view(self, call_id: CallId) -> Reply:
        reason = "this core is in no working view; ask another"
        return fault_reply(call_id, 503, "no-view", reason, RETRY_AFTER_S, applied="no")

    # changes, views of the state and forecasts --------------------------------------

    def _change(self, event: HttpRequestReceived, now: timedelta) -> Sequence[Any]:
        try:
            change = change_request.read_change_request(event.path, event.body)
        except change_request.InvalidChangeError as error:
            return [fault_reply(event.call_id, 400, error.problem, error.reason, applied="no")]
        consensus = self.core.consensus
        if len(event.body) > MAX_FORWARDED_BYTES and consensus.role is not Role.LEADING:
            leader = consensus.leader_name
            address = consensus.voting_members.get(leader) if leader is not None else None
            return [self._redirect(event.call_id, event.path, address)]
        return self.configuration_changes.accept(event.call_id, change, now)

    def _show(self, call_id: CallId, path: str, now: timedelta) -> Sequence[Any]:
        view = path.removeprefix("/show/")
        if view == show.CATALOGUE:
            return self.reads.begin(call_id, path, now) or [self._no_view(call_id)]
        document = show.show(view, self.core, now)
        if document is None:
            return [fault_reply(call_id, 404, "not-found", show.view_names())]
        return [reply(call_id, 200, document)]

    def _forecast(self, event: HttpRequestReceived) -> Reply:
        """Returns which moves a configuration would cause, or its faults, without applying it."""
        state = self.core.state
        try:
            request = msgspec.json.decode(event.body)
            document = request["doc"]
            wanted = merge(state.doc or {}, document) if request.get("part") else document
        except (msgspec.DecodeError, RecursionError, KeyError, TypeError, AttributeError) as error:
            return fault_reply(event.call_id, 400, "not JSON", str(error))
        catalogue, issues = read_catalogue(wanted)
        if catalogue is None:
            faults = [{"path": path, "reason": reason} for path, reason in issues]
            return reply(event.call_id, 422, {"result": "refused", "faults": faults})
        if event.path == "/check":
            return reply(event.call_id, 200, {"result": "ok"})
        return reply(event.call_id, 200, forecast_moves(catalogue, state, self.core.placer.demand))

    # readiness and metrics --------------------------------------------------------

    def _condition(self, call_id: CallId, now: timedelta) -> Reply:
        core = self.core
        is_fresh = core.is_fresh(now)
        document = {
            "node": core.node,
            "role": "core",
            "area": core.settings.zone,
            "inView": is_fresh,
            "leader": core.consensus.leader_name,
            "view": core.consensus.view[0],
            "number": core.state.number,
            "generation": core.state.generation,
            "diskTakesRecords": core.is_disk_available,
            "ready": is_fresh and not core.shutdown.has_begun,
        }
        return reply(call_id, 200 if document["ready"] else 503, document)

    def _metrics(self, now: timedelta) -> dict[str, Any]:
        core = self.core
        return {
            "node": core.node,
            "number": core.state.number,
            "view": core.consensus.view[0],
            "logged": len(core.consensus.log.entries),
            "members": len(core.membership.members) + 1,
            "ledgerRows": len(core.replica_store.records),
            "ledgerOpen": len(core.replica_store.records.open),
            "hints": len(core.replica_store.records.handoffs),
            "followers": len(core.source.followers),
            "ignored": core.ignored,
            "storeCredit": round(core.placer.budget, 2),
            "allowances": core.quota_lease_issuer.describe(now),
            "failures": core.guard.counts,
            "memory": core.memory_figures,
        }


def _not_found(event: HttpRequestReceived) -> Reply:
    return fault_reply(event.call_id, 404, "not-found", f"{event.method} {event.path}")
