"""Admission of prompts and lookups: validates a call, authenticates its caller and creates the in-flight request."""

from datetime import timedelta
from typing import Any

import msgspec

from sumachook.changefeed.trust import Trust
from sumachook.host.effects import Log
from sumachook.host.events import HttpRequestReceived
from sumachook.inference.entry import Entry
from sumachook.inference.inference_request import LOOKUP, PROMPT, InferenceRequest
from sumachook.inference.quota_charge import InferenceQuotaCharge
from sumachook.inference.refuse import Refuse
from sumachook.inference.request_table import RequestTable
from sumachook.ledger.events import RequestClosed
from sumachook.requests.call_ids import INFERENCE
from sumachook.requests.failures import RETRYABLE_BY_CALLER, FailureKind, RequestFailure
from sumachook.requests.request_table import MAX_REQUESTS

PROMPT_PATH = "/v1/chat/completions"
LOOKUP_PREFIX = "/records/"
# Strings from callers are truncated to these lengths before they are stored in a record or shown in a reason.
MAX_REQUEST_ID_LENGTH = 100
MAX_IDEMPOTENCY_KEY_LENGTH = 200
MAX_SHOWN_NAME_LENGTH = 80
MAX_UNSTAMPED_AGE = timedelta(seconds=30)  # a record that waits longer for the cluster time gets this node's own time
ALERT_INTERVAL = timedelta(minutes=1)  # requests for an unconfigured model are one mistake, so one alert per interval
MAX_ALERT_REASONS = 500  # size above which the table of the next alert times is cleared


class Admit:
    """Adds a prompt or a lookup to the request table, or refuses it with a reply."""

    __slots__ = ("charge", "entry", "refuse", "table")

    def __init__(self, table: RequestTable, refuse: Refuse, entry: Entry, charge: InferenceQuotaCharge) -> None:
        self.table = table
        self.refuse = refuse
        self.entry = entry
        self.charge = charge

    def take(self, event: HttpRequestReceived, now: timedelta) -> list[Any]:
        """Admits or refuses a call; an admitted request first claims its tenant's quota, or has its record opened if
        its caller belongs to no tenant.
        """
        self._read_catalogue()
        client_request_id = event.headers.get("x-request-id", "")[:MAX_REQUEST_ID_LENGTH]
        request = self._admit(event, now)
        if isinstance(request, RequestFailure):
            refusal = self._refuse(event, request, client_request_id, now)
            return refusal + self._log_unconfigured_model(request, now)
        request.client_request_id = client_request_id
        request.needs_recheck = self.table.follower.trust(now) is Trust.UNPROVEN
        self.table.requests[request.request_id] = request
        self.table.by_call_id[request.call_id] = request.request_id
        if request.caller.name not in self.table.tenants:
            return self.entry.take(request)
        request.tenant = self.table.tenants[request.caller.name]
        request.charged_tokens = self.charge.estimate(request, event.body)
        return self.charge.claim(request, request.request_id, now)

    def _read_catalogue(self) -> None:
        """Rebuilds the maps of callers, tenants and models that admission uses, once per catalogue generation."""
        table = self.table
        if table.generation == table.state.generation and table.callers:
            return
        catalogue = table.state.catalogue
        table.generation = table.state.generation
        if catalogue is None:
            return
        table.tenants = {caller: tenant.name for tenant in catalogue.tenants for caller in tenant.callers}
        table.callers = {caller.key: caller for caller in catalogue.callers}
        models = {model.name: model for model in catalogue.models}
        targets = {name: (model, "") for name, model in models.items()}
        targets |= {adapter.name: (models[adapter.model], adapter.name) for adapter in catalogue.adapters}
        table.targets = targets | {route.name: targets[route.target] for route in catalogue.routes}

    def _admit(self, event: HttpRequestReceived, now: timedelta) -> InferenceRequest | RequestFailure:
        """Returns the new request, or the failure for which it is refused before it starts."""
        is_lookup = event.path.startswith(LOOKUP_PREFIX)
        if event.path != PROMPT_PATH and not is_lookup:
            return FailureKind.NOT_FOUND.because("POST /v1/chat/completions or GET /records/ID")
        if event.method != ("GET" if is_lookup else "POST"):
            return FailureKind.MALFORMED.because(f"method {event.method}")
        failure = self._node_failure(now)
        if failure is not None:
            return failure
        caller = self._caller(event.headers)
        if caller is None:
            return FailureKind.UNKNOWN_CALLER.because("Authorization: Bearer KEY")
        if len(self.table.requests) >= MAX_REQUESTS:
            return FailureKind.OVERLOAD.because("the table is full")
        request_id = self._next_request_id()
        if is_lookup:
            return self._admit_lookup(request_id, event, caller, now)
        return self._admit_prompt(request_id, event, caller, now)

    def _node_failure(self, now: timedelta) -> RequestFailure | None:
        """Returns the failure for which this node refuses all requests at present, or None."""
        table = self.table
        if table.is_draining:
            return FailureKind.DRAINING.because("this node is leaving")
        if table.follower.trust(now) is Trust.EMPTY or not table.knows_time:
            return FailureKind.NOT_READY.because("no catalogue yet")
        if not table.state.is_open(table.zone):
            return FailureKind.EVACUATED.because(f"area {table.zone} is evacuated, use another area's node")
        return None

    def _caller(self, headers: Any) -> Any:
        scheme, _, key = headers.get("authorization", "").partition(" ")
        return self.table.callers.get(key.strip()) if scheme.lower() == "bearer" else None

    def _next_request_id(self) -> str:
        self.table.number += 1
        return f"{self.table.node}.{self.table.restart_epoch}.{self.table.number}"

    def _admit_lookup(
        self, request_id: str, event: HttpRequestReceived, caller: Any, now: timedelta
    ) -> InferenceRequest | RequestFailure:
        if not caller.lookups:
            return FailureKind.FORBIDDEN.because("this caller may not look up")
        patience = timedelta(seconds=caller.lookup_patience)
        request = InferenceRequest(request_id, event.call_id, LOOKUP, caller, now, patience)
        request.path = event.path
        self._set_admission_context(request, now)
        return request

    def _admit_prompt(
        self, request_id: str, event: HttpRequestReceived, caller: Any, now: timedelta
    ) -> InferenceRequest | RequestFailure:
        try:
            document = msgspec.json.decode(event.body)
        except (msgspec.DecodeError, RecursionError):
            return FailureKind.MALFORMED.because("the body is no JSON")
        error = _prompt_error(document)
        if error:
            return FailureKind.MALFORMED.because(error)
        target = self.table.targets.get(document["model"])
        if target is None:
            name = document["model"][:MAX_SHOWN_NAME_LENGTH]
            return FailureKind.NO_MODEL.because(f"no model, adapter or route {name!r}")
        request = InferenceRequest(request_id, event.call_id, PROMPT, caller, now, caller.wait)
        request.model, request.adapter = target
        max_tokens = document.get("max_tokens", request.model.max_tokens)
        if max_tokens > request.model.max_tokens:
            return FailureKind.MALFORMED.because(f"max_tokens: {max_tokens}, at most {request.model.max_tokens}")
        request.idempotency_key = event.headers.get("idempotency-key", "")[:MAX_IDEMPOTENCY_KEY_LENGTH]
        request.is_safe = caller.safe and not request.idempotency_key
        request.is_stream = document.get("stream", False)
        request.body = {**document, "model": request.name, "max_tokens": max_tokens}
        request.model_ready_by = now + timedelta(seconds=request.model.wake)
        self._set_admission_context(request, now)
        return request

    def _set_admission_context(self, request: InferenceRequest, now: timedelta) -> None:
        """Sets the catalogue generation, the policies and the time under which the request is admitted."""
        request.generation = self.table.state.generation
        request.policies = self.table.state.catalogue.policies
        request.opened_at = self.table.cluster_timestamp(now)

    def _refuse(
        self, event: HttpRequestReceived, failure: RequestFailure, client_request_id: str, now: timedelta
    ) -> list[Any]:
        """Refuses a call that never became a request; a failure that is no fault of the caller is still recorded in the
        day log.
        """
        if failure.kind not in RETRYABLE_BY_CALLER and failure.kind is not FailureKind.NO_MODEL:
            return self.refuse.take(event.call_id, failure)
        record = self._refused_call_record(event, failure, client_request_id, now)
        effects = self.refuse.take(event.call_id, failure, record["request"])
        if self.table.cluster_clock.is_agreed:
            return [*effects, RequestClosed(record)]
        self.table.unstamped_records.append((now, record))
        return effects

    def _refused_call_record(
        self, event: HttpRequestReceived, failure: RequestFailure, client_request_id: str, now: timedelta
    ) -> dict[str, Any]:
        request_id = self._next_request_id()
        timestamp = self.table.cluster_timestamp(now)
        return {
            "request": request_id,
            "caller": "",
            "line": "",
            "asked": "",
            "key": "",
            "kind": LOOKUP if event.path.startswith(LOOKUP_PREFIX) else PROMPT,
            "edge": self.table.node,
            "incarnation": self.table.restart_epoch,
            "state": "fault",
            "openedAt": timestamp,
            "endedAt": timestamp,
            "generation": self.table.state.generation,
            "tag": client_request_id,
            "class": failure.name,
            "status": failure.status,
            "run": "no",
            "tries": (),
            "attempt": 0,
            "firstToken": None,
            "duration": 0.0,
            "tokens": 0,
            "late": False,
        }

    def close_unstamped(self, now: timedelta) -> list[Any]:
        """Closes the records that wait for a timestamp, once the cluster clock is agreed, the oldest one exceeds
        `MAX_UNSTAMPED_AGE` or there are too many.
        """
        records = self.table.unstamped_records
        if not records:
            return []
        is_overdue = now - records[0][0] > MAX_UNSTAMPED_AGE or len(records) > MAX_REQUESTS
        if not self.table.cluster_clock.is_agreed and not is_overdue:
            return []
        self.table.unstamped_records = []
        return [
            RequestClosed(
                {**record, "openedAt": self.table.cluster_timestamp(at), "endedAt": self.table.cluster_timestamp(at)}
            )
            for at, record in records
        ]

    def _log_unconfigured_model(self, failure: RequestFailure, now: timedelta) -> list[Any]:
        """Logs a request for an unconfigured model, at most once per `ALERT_INTERVAL` for each model."""
        next_alert_at = self.table.next_alert_at
        if failure.kind is not FailureKind.NO_MODEL or now < next_alert_at.get(failure.reason, now):
            return []
        if len(next_alert_at) > MAX_ALERT_REASONS:
            next_alert_at.clear()
        next_alert_at[failure.reason] = now + ALERT_INTERVAL
        text = "Received a request for a model that is not configured."
        return [Log("error", INFERENCE, text, {"reason": failure.reason})]


def _prompt_error(doc: Any) -> str | None:
    """Returns what is wrong with the JSON body of a prompt, or None if it is valid.

    >>> _prompt_error({"model": "m", "messages": [{"role": "user", "content": "x"}]}), _prompt_error({"model": 3})
    (None, 'model: a text is needed')
    """
    if not isinstance(doc, dict):
        return "the body is no object"
    if not isinstance(doc.get("model"), str) or not doc["model"]:
        return "model: a text is needed"
    messages = doc.get("messages")
    if not isinstance(messages, list) or not messages or not all(isinstance(item, dict) for item in messages):
        return "messages: a list of objects is needed"
    if not isinstance(doc.get("stream", False), bool):
        return "stream: true or false"
    wanted = doc.get("max_tokens", 1)
    if not isinstance(wanted, int) or isinstance(wanted, bool) or wanted < 1:
        return "max_tokens: a whole number above 0"
    return None
