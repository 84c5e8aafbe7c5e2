"""The operators' desk of a core: orders that are proposed until they are answered."""

from datetime import timedelta

import msgspec

from sumachook.atlas import faults

JSON = {"Content-Type": "application/json"}
STATUS = {"ok": 200, "refused": 422, "stale": 409}


class Order:
    """One operator's change and how far it has come."""

    __slots__ = ("cid", "change", "startedAt", "sentAt", "number", "result", "deliveredAt")

    def __init__(self, cid, change, now):
        self.cid, self.change, self.startedAt, self.sentAt = cid, change, now, now
        self.number, self.result, self.deliveredAt = 0, None, now


class Desk:
    """Takes (message, now) (§5.4).

    In: ("order", cid, change), ("delivered", number, change, result), ("refused", change, fault),
    ("pulse", live nodes, confirmed {node: number}), ("gone", cid).
    Out: ("propose", change), ("reply", cid, ...).
    """

    __slots__ = ("orders",)

    RESEND = timedelta(seconds=0.4)
    CUTOFF = timedelta(seconds=6)
    CONFIRM_WITHIN = timedelta(seconds=2)
    MOST = 128

    def __init__(self):
        self.orders = {}

    def take(self, message: tuple, now) -> list:
        return getattr(self, "_" + message[0])(message, now)

    def _order(self, message, now):
        _, cid, change = message
        if len(self.orders) >= self.MOST:
            return [reply(cid, 503, {"fault": {"class": "too-many", "reason": f"{self.MOST} orders wait", "applied": "no"}}, 2)]
        self.orders[cid] = Order(cid, change, now)
        return [("propose", change)]

    def _gone(self, message, now):
        self.orders.pop(message[1], None)
        return []

    def _delivered(self, message, now):
        _, number, change, result = message
        for order in self.orders.values():
            if order.change[1] == change[1] and order.result is None and change[0] == order.change[0]:
                order.number, order.result, order.deliveredAt = number, result, now
        return []

    def _pulse(self, message, now):
        _, live, confirmed = message
        out = []
        for cid, order in list(self.orders.items()):
            if order.result is not None:
                late = [node for node in live if confirmed.get(node, 0) < order.number]
                if not late or order.result[0] != "ok" or now - order.deliveredAt > self.CONFIRM_WITHIN:
                    del self.orders[cid]
                    out.append(self._answer(order, live, late))
            elif now - order.startedAt > self.CUTOFF:
                del self.orders[cid]
                reason = "no working view acknowledged it; repeat it with the same request id to learn or finish it"
                body = {"fault": {"class": "not-acknowledged", "reason": reason, "applied": "maybe", "request": order.change[1]}}
                out.append(reply(cid, 503, body, 5))
            elif now - order.sentAt > self.RESEND:
                order.sentAt = now
                out.append(("propose", order.change))
        return out

    def _answer(self, order, live, late):
        result = order.result
        body = {"result": result[0], "request": order.change[1], "number": order.number}
        if result[0] == "ok":
            body |= {"generation": result[1], "confirmed": [node for node in live if node not in late], "unconfirmed": late}
        else:
            body["faults"] = [{"path": path, "reason": reason} for path, reason in result[1]]
        return reply(order.cid, STATUS[result[0]], body)


def reply(cid, status, body, retryAfter=None):
    headers = {**JSON, "Retry-After": str(retryAfter)} if retryAfter else JSON
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
        ifGeneration = doc.get("ifGeneration")
        if not isinstance(doc.get("doc"), dict):
            return faults.REFUSED.because("doc: an object is needed")
        if ifGeneration is not None and (not isinstance(ifGeneration, int) or isinstance(ifGeneration, bool)):
            return faults.REFUSED.because("ifGeneration: a whole number is needed")
        return ("apply", doc["request"], doc["doc"], bool(doc.get("part", False)), ifGeneration)
    if not isinstance(doc.get("area"), str):
        return faults.REFUSED.because("area: a text is needed")
    return (path.rpartition("/")[2], doc["request"], doc["area"])


def test_order_is_repeated_until_delivered_then_waits_for_confirmations():
    desk, second = Desk(), timedelta(seconds=1)
    change = ("evacuate", "r1", "hall")
    assert desk.take(("order", 1, change), second) == [("propose", change)]
    assert desk.take(("pulse", ("e1",), {}), second * 2) == [("propose", change)]
    desk.take(("delivered", 7, change, ("ok", 3)), second * 2)
    assert desk.take(("pulse", ("e1",), {"e1": 6}), second * 2.1) == []
    ((_, cid, status, _, body),) = desk.take(("pulse", ("e1",), {"e1": 7}), second * 2.2)
    assert (cid, status) == (1, 200) and msgspec.json.decode(body)["confirmed"] == ["e1"]
    desk.take(("order", 2, change), second * 3)
    ((_, _, status, _, body),) = desk.take(("pulse", (), {}), second * 10)
    assert status == 503 and b"maybe" in body
