"""The operators' desk of a core: orders that are proposed until they are answered."""

from datetime import timedelta

import msgspec

from sumachook.catalog import faults
from sumachook.transport.codec import pack_entry

JSON = {"Content-Type": "application/json"}
STATUS = {"ok": 200, "refused": 422, "stale": 409}


class Order:
    """One operator's change and how far it has come."""

    __slots__ = ("cid", "change", "started_at", "sent_at", "number", "result", "version", "delivered_at")

    def __init__(self, cid, change, now):
        self.cid, self.change, self.started_at, self.sent_at = cid, change, now, now
        self.number, self.result, self.version, self.delivered_at = 0, None, 0, now


class Desk:
    """Takes (message, now) (§5.4).

    In: ("order", cid, change), ("delivered", number, change, result, version), ("confirmed", live nodes, confirmed {node: number}),
    ("pulse", live nodes, confirmed {node: number}), ("gone", cid).
    Out: ("propose", change), ("reply", cid, ...).
    """

    __slots__ = ("orders", "confirm_within", "order_within")

    RESEND = timedelta(seconds=0.4)
    MOST = 128

    def __init__(self, confirm_within=timedelta(seconds=2), order_within=timedelta(seconds=6)):
        self.orders, self.confirm_within, self.order_within = {}, confirm_within, order_within

    def take(self, message: tuple, now) -> list:
        return getattr(self, "_" + message[0])(message, now)

    def _order(self, message, now):
        _, cid, change = message
        if len(self.orders) >= self.MOST:
            return [
                reply(
                    cid, 503, {"fault": {"class": "too-many", "reason": f"{self.MOST} orders wait", "applied": "no"}}, 2
                )
            ]
        self.orders[cid] = Order(cid, change, now)
        return [("propose", change)]

    def _gone(self, message, now):
        self.orders.pop(message[1], None)
        return []

    def _delivered(self, message, now):
        _, number, change, result, version = message
        for order in self.orders.values():
            if order.result is None and _is_same(order.change, change):
                order.number, order.result, order.version, order.delivered_at = number, result, version, now
        return []

    def _confirmed(self, message, now):
        """Answers what all live edges have confirmed, what was not taken, and what waited long enough."""
        _, live, confirmed = message
        out, reached = [], min((confirmed.get(node, 0) for node in live), default=None)
        for cid, order in list(self.orders.items()):
            if order.result is None:
                continue
            is_reached = reached is None or order.number <= reached
            if is_reached or order.result[0] != "ok" or now - order.delivered_at > self.confirm_within:
                del self.orders[cid]
                out.append(self._answer(order, live, [node for node in live if confirmed.get(node, 0) < order.number]))
        return out

    def _pulse(self, message, now):
        out = self._confirmed(message, now)
        for cid, order in list(self.orders.items()):
            if order.result is not None:
                continue
            if now - order.started_at > self.order_within:
                del self.orders[cid]
                reason = "no working view acknowledged it; repeat it with the same request id to learn or finish it"
                body = {
                    "fault": {
                        "class": "not-acknowledged",
                        "reason": reason,
                        "applied": "maybe",
                        "request": order.change[1],
                    }
                }
                out.append(reply(cid, 503, body, 5))
            elif now - order.sent_at > self.RESEND:
                order.sent_at = now
                out.append(("propose", order.change))
        return out

    def _answer(self, order, live, late):
        result = order.result
        body = {"result": result[0], "request": order.change[1], "number": order.number, "version": order.version}
        if result[0] == "ok":
            body |= {
                "generation": result[1],
                "confirmed": [node for node in live if node not in late],
                "unconfirmed": late,
            }
        else:
            body["faults"] = [{"path": path, "reason": reason} for path, reason in result[1]]
        return reply(order.cid, STATUS[result[0]], body)


def _is_same(one, other) -> bool:
    """An id names an order; configurations of the same id may still differ, and their content decides (§14.2)."""
    return one[:2] == other[:2] and (one[0] != "configure" or pack_entry(one) == pack_entry(other))


def reply(cid, status, body, retry_after=None):
    headers = {**JSON, "Retry-After": str(retry_after)} if retry_after else JSON
    return ("reply", cid, status, headers, msgspec.json.encode(body))


def read_order(path: str, body: bytes):
    """A change made from an operator's request, or a fault."""
    try:
        doc = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        return faults.NOT_JSON.because(str(error))
    if not isinstance(doc, dict) or not isinstance(doc.get("request"), str) or not 0 < len(doc["request"]) <= 100:
        return faults.REFUSED.because("request: an id of 1 to 100 characters is needed")
    if path == "/operator/apply":
        if_generation = doc.get("ifGeneration")
        if not isinstance(doc.get("doc"), dict):
            return faults.REFUSED.because("doc: an object is needed")
        if if_generation is not None and (not isinstance(if_generation, int) or isinstance(if_generation, bool)):
            return faults.REFUSED.because("ifGeneration: a whole number is needed")
        return ("apply", doc["request"], doc["doc"], bool(doc.get("part", False)), if_generation)
    if path == "/operator/configure":
        if_version, removals = doc.get("ifVersion"), doc.get("removals", {})
        if not isinstance(doc.get("doc"), dict):
            return faults.REFUSED.because("doc: an object is needed")
        if not isinstance(removals, dict):
            return faults.REFUSED.because("removals: an object is needed")
        if not isinstance(if_version, int) or isinstance(if_version, bool) or if_version < 0:
            return faults.REFUSED.because("ifVersion: a whole number is needed, 0 for the first")
        return ("configure", doc["request"], doc["doc"], removals, bool(doc.get("part", False)), if_version)
    if not isinstance(doc.get("area"), str):
        return faults.REFUSED.because("area: a text is needed")
    return (path.rpartition("/")[2], doc["request"], doc["area"])


def test_order_is_repeated_until_delivered_then_waits_for_confirmations():
    desk, second = Desk(), timedelta(seconds=1)
    change = ("evacuate", "r1", "hall")
    assert desk.take(("order", 1, change), second) == [("propose", change)]
    assert desk.take(("pulse", ("e1",), {}), second * 2) == [("propose", change)]
    desk.take(("delivered", 7, change, ("ok", 3), 0), second * 2)
    assert desk.take(("pulse", ("e1",), {"e1": 6}), second * 2.1) == []
    ((_, cid, status, _, body),) = desk.take(("pulse", ("e1",), {"e1": 7}), second * 2.2)
    assert (cid, status) == (1, 200) and msgspec.json.decode(body)["confirmed"] == ["e1"]
    desk.take(("order", 2, change), second * 3)
    ((_, _, status, _, body),) = desk.take(("pulse", (), {}), second * 10)
    assert status == 503 and b"maybe" in body
