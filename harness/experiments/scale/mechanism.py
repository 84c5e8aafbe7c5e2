"""Assigns message kinds to the mechanisms by which costs are reported."""

from sumachook.transport.message_schemas import FIELDS

MEMBERSHIP, FEED, ORDERED, DUTIES, LEDGER = "membership", "feed", "ordered changes", "duties", "ledger"
CREDIT, USAGE, PLACES, LIST, REPORTS = "credit", "usage", "places", "list", "reports"
ALLOWANCES = "allowances"
PAIRS, REQUESTS, NODE = "pairs", "requests", "node"
MECHANISMS = (MEMBERSHIP, FEED, ORDERED, DUTIES, LEDGER, CREDIT, USAGE, PLACES, LIST, REPORTS, ALLOWANCES)
ON_UDP = (MEMBERSHIP,)
_KINDS = {
    MEMBERSHIP: "probe probe_ack probe_via probe_for via_ack join roll view_difference",
    FEED: "follow image image_part news feed_beat confirm confirmed",
    DUTIES: "bid vote renew renewed",
    LEDGER: "open opened close closed hand handed carry find found",
    CREDIT: "retry_credit retry_lend retry_gift",
    ALLOWANCES: "allow_ask allow_give allow_beg allow_lend allow_report",
    USAGE: "demand want usage",
    PLACES: "places places_ask leaving cold",
}
_BY_KIND = {kind: mechanism for mechanism, kinds in _KINDS.items() for kind in kinds.split()}


def mechanism_of(kind: str) -> str:
    """Returns the mechanism of a message kind; kinds that are not listed belong to the ordered changes.

    >>> mechanism_of("probe"), mechanism_of("append")
    ('membership', 'ordered changes')
    """
    return _BY_KIND.get(kind, ORDERED) if kind in FIELDS else kind
