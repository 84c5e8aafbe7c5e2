"""Simulated operators: they send and resend orders, follow redirects, read back, and report each response."""

from datetime import timedelta

import msgspec

from sumachook.host.effects import CancelCall, Fetch
from sumachook.host.events import CallFailed, ResponseReceived, Tick

RESPONSE_TIMEOUT = timedelta(seconds=8)
CONNECT_TIMEOUT = timedelta(seconds=1)
MAX_REDIRECTS = 2
REVERSIBLE = ("evacuate", "restore")
RETRY_DELAY = 0.3  # seconds before an order goes to its next target after an inconclusive response


class Attempt:
    """One HTTP request in flight."""

    __slots__ = ("order", "target", "sent_at", "redirects")

    def __init__(self, order, target, sent_at, redirects):
        self.order, self.target, self.sent_at, self.redirects = order, target, sent_at, redirects


class Order:
    """An order or read of an operator, with the targets to which it has not yet been sent."""

    __slots__ = (
        "kind",
        "key",
        "path",
        "document",
        "base",
        "version",
        "targets",
        "patience",
        "next_at",
        "first_sent_at",
        "acknowledged_at",
        "refused_at",
        "is_invalid",
    )

    def __init__(self, kind, key, path, document, base=0, version=0, is_invalid=False):
        self.kind, self.key, self.path, self.document, self.base, self.version = (
            kind,
            key,
            path,
            document,
            base,
            version,
        )
        self.is_invalid, self.targets, self.patience, self.next_at = is_invalid, [], 1.0, None
        self.first_sent_at = self.acknowledged_at = self.refused_at = None

    @property
    def is_settled(self) -> bool:
        """Whether the operator knows that the order was acknowledged or refused."""
        return self.acknowledged_at is not None or self.refused_at is not None


class Operators:
    """State machine of all operators; passes each response to `checker`, the invariant checker."""

    __slots__ = ("http_address_of", "checker", "attempts", "orders", "number")

    def __init__(self, http_address_of, checker):
        self.http_address_of, self.checker = http_address_of, checker
        self.attempts, self.orders, self.number = {}, [], 0

    def send(self, order: Order, targets, patience: float, now):
        """Schedules the order to be sent to these targets in turn, `patience` seconds apart."""
        order.targets, order.patience, order.next_at = list(targets), patience, now
        if order not in self.orders:
            self.orders.append(order)

    def take(self, event, now) -> list:
        """Handles one event of the host and returns the requests to send."""
        match event:
            case Tick():
                return self._send_due(now)
            case ResponseReceived(number, status, headers, body):
                return self._answered(number, status, headers, body, now)
            case CallFailed(number):
                return self._answered(number, 0, {}, b"", now)
        return []

    def _send_due(self, now):
        out = []
        for order in list(self.orders):
            if order.is_settled or not order.targets:
                self.orders.remove(order)
            elif now >= order.next_at:
                order.next_at = now + timedelta(seconds=order.patience)
                out += self._cancel_pending(order)
                target = self.http_address_of(order.targets.pop(0))
                if target is not None:
                    out += self._request(order, target, now, 0)
        return out

    def _cancel_pending(self, order):
        """Cancels the pending requests of an evacuate or restore order before it goes to the next core.

        A later order reverses it, so that a request left behind could take effect too late.
        """
        if order.kind not in REVERSIBLE:
            return []
        numbers = [number for number, attempt in self.attempts.items() if attempt.order is order]
        for number in numbers:
            del self.attempts[number]
        return [CancelCall(number) for number in numbers]

    def _request(self, order, http_address, now, redirects):
        self.number += 1
        self.attempts[self.number] = Attempt(order, http_address, now, redirects)
        if order.first_sent_at is None:
            order.first_sent_at = now
        body = b""
        if order.document is not None:
            # each request has a unique id, as on the platform; a repeat is recognized by its content
            body = msgspec.json.encode({**order.document, "request": f"{order.key}.{self.number}"})
        method = "GET" if order.document is None else "POST"
        url = f"http://{http_address}{order.path}"
        return [Fetch(self.number, method, url, {}, body, CONNECT_TIMEOUT, RESPONSE_TIMEOUT, "whole")]

    def _answered(self, number, status, headers, body, now):
        attempt = self.attempts.pop(number, None)
        if attempt is None:
            return []
        order = attempt.order
        if status == 307 and attempt.redirects < MAX_REDIRECTS and "location" in headers:
            http_address = headers["location"].removeprefix("http://").partition("/")[0]
            return self._request(order, http_address, now, attempt.redirects + 1)
        if status != 307:
            self.checker.answered(attempt, status, body, now)
        if not order.is_settled and order.next_at is not None:
            order.next_at = min(order.next_at, now + timedelta(seconds=RETRY_DELAY))
        return []
