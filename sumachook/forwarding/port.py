"""Reads and writes the HTTP headers exchanged with clients and servers; another header format needs its own port."""

from functools import cache
from typing import Any

import msgspec

from sumachook.calls.run_status import says_not_run
from sumachook.forwarding.credential import Credential
from sumachook.forwarding.request_metadata import RequestMetadata
from sumachook.forwarding.response_metadata import ResponseMetadata
from sumachook.requests.failures import RequestFailure

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    )
)


class RequestPort:
    """Translates between HTTP headers and request metadata, with the product's own header names; holds no state."""

    __slots__ = ()
    REQUEST, DEADLINE, MODEL, TOKENS, PARTS = (
        "x-request-id",
        "x-deadline-ms",
        "x-model",
        "x-token-counts",
        "x-prompt-parts",
    )
    INSTANCE, URGENCY, NOT_RUN, SEAL, COLD = "x-expect-instance", "x-urgency", "x-not-run", "x-server-seal", "x-cold-ms"
    LAST_EVENT = "last-event-id"
    CREDENTIAL, TENANT = "x-api-key", "x-tenant"  # the API key, never forwarded to servers; the name of its tenant
    NAMESPACE = ""  # common prefix of the header names of this format, if there is one
    PASSED_ON: frozenset[str] = frozenset()  # headers of the namespace that only servers read

    def read_request(self, headers: Any) -> RequestMetadata:
        """Parses the headers of a request; token counts that are not numbers become 0.

        >>> headers = (("Host", "a:80"), ("X-Request-Id", "r1"), ("X-Model", "m/a1"), ("X-Token-Counts", "5,x"))
        >>> RequestPort().read_request(headers)[:6]
        ('a', 'r1', None, 'm', 'a1', 0)
        """
        names = {name.lower(): value for name, value in headers}
        model, _, adapter = names.get(self.MODEL, "").partition("/")
        prompt, _, most = names.get(self.TOKENS, "").partition(",")
        parts = tuple(
            (part, _whole_number(tokens))
            for part, _, tokens in (item.strip().partition(":") for item in names.get(self.PARTS, "").split(","))
            if part
        )
        is_counted = prompt.strip().isdigit() and most.strip().isdigit()
        return RequestMetadata(
            names.get("host", "").partition(":")[0].lower(),
            names.get(self.REQUEST, ""),
            _number(names.get(self.DEADLINE)),
            model,
            adapter,
            int(prompt) if is_counted else 0,
            int(most) if is_counted else 0,
            parts,
            names.get(self.LAST_EVENT, ""),
            self._credentials(headers) if self.CREDENTIAL in names else (),
            self._repeated_headers(headers) if len(names) < len(headers) else (),
            self._unread_headers(names) if self.NAMESPACE else (),
        )

    def _repeated_headers(self, headers: Any) -> tuple[str, ...]:
        """Returns repeated routing headers; this node and the server might each read a different value."""
        stated = [name.lower() for name, _ in headers]
        routing_headers = ("host", self.REQUEST, self.MODEL, self.TOKENS, self.PARTS, self.LAST_EVENT)
        return tuple(name for name in routing_headers if stated.count(name) > 1)

    def _credentials(self, headers: Any) -> tuple[Credential, ...]:
        """Returns every non-empty API key in the headers."""
        return tuple(Credential(value) for name, value in headers if name.lower() == self.CREDENTIAL and value)

    def _unread_headers(self, names: Any) -> tuple[str, ...]:
        known = self._read_headers()
        return tuple(name for name in names if name.startswith(self.NAMESPACE) and name not in known)

    @classmethod
    @cache
    def _read_headers(cls) -> frozenset[str]:
        """Returns the names of the request headers that this port reads or replaces, or that only servers read."""
        read = (cls.REQUEST, cls.DEADLINE, cls.MODEL, cls.TOKENS, cls.PARTS, cls.INSTANCE, cls.URGENCY)
        return cls.PASSED_ON.union(read, (cls.CREDENTIAL, cls.TENANT))

    def write_request(
        self,
        headers: Any,
        host: str,
        instance: str,
        left_ms: int,
        urgency: int,
        last_event_id: str,
        tenant: str | None = None,
    ) -> list[tuple[str, str]]:
        """Returns the client's headers for the server, without hop-by-hop headers and with those that this node sets.

        `instance` is the name of the target server, `left_ms` the time to the deadline, `tenant` the name of the tenant
        that the API key belongs to. A tenant header from the client is dropped because it proves nothing, and the API
        key is never forwarded.
        """
        own = {self.DEADLINE, self.INSTANCE, self.URGENCY, self.LAST_EVENT, self.CREDENTIAL, self.TENANT}
        dropped = HOP_BY_HOP | own | _connection_options(headers)
        out = [("Host", host), *((name, value) for name, value in headers if name.lower() not in dropped)]
        out += [(self.DEADLINE, str(left_ms)), (self.INSTANCE, instance), (self.URGENCY, str(urgency))]
        if tenant is not None:
            out.append((self.TENANT, tenant))
        return out + [(self.LAST_EVENT, last_event_id)] if last_event_id else out

    def read_response(self, status: int, headers: Any) -> ResponseMetadata:
        """Parses the status and the headers of a server's response."""
        names = {name.lower(): value for name, value in headers}
        return ResponseMetadata(
            says_not_run(status, self.NOT_RUN in names),
            names.get(self.REQUEST, ""),
            self.SEAL in names,
            _number(names.get("retry-after")),
            _number(names.get(self.COLD)) or 0.0,
        )

    def pass_headers(self, headers: Any) -> tuple[tuple[str, str], ...]:
        """Returns the server's headers for the client, without hop-by-hop headers."""
        dropped = HOP_BY_HOP | _connection_options(headers)
        return tuple((name, value) for name, value in headers if name.lower() not in dropped)

    def refusal(
        self, status: int, failure: RequestFailure, request_id: str, ran: str, retry_after: float | None
    ) -> tuple[int, tuple[tuple[str, str], ...], bytes]:
        """Builds an error response of this node, as (status, headers, body)."""
        headers = [("Content-Type", "application/json")]
        if request_id:
            headers.append((self.REQUEST, request_id))
        if retry_after is not None and status in (429, 503):
            headers.append(("Retry-After", f"{retry_after:.3f}"))
        body = {"fault": {"class": failure.name, "reason": failure.reason, "run": ran}}
        return status, tuple(headers), msgspec.json.encode(body)


def _connection_options(headers: Any) -> set[str]:
    return {
        word.strip().lower() for name, value in headers if name.lower() == "connection" for word in value.split(",")
    }


def _number(text: Any) -> float | None:
    """Parses a number from 0 up to 1e9; returns None for anything else.

    >>> _number("1.5"), _number("x"), _number("nan"), _number(None)
    (1.5, None, None, None)
    """
    try:
        value = float(text)
    except (TypeError, ValueError):
        return None
    return value if 0 <= value < 1e9 else None


def _whole_number(text: Any) -> int:
    return int(text) if text.strip().isdigit() else 0
