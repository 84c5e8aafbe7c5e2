"""The kinds of message and their fields (§2.1).

Letters: s string, i i64, f double, b bool, d document (JSON in a binary field),
m list of member structs, e list of binary entries, y bytes as they are.
"""

SHAPES = {
    # rumour
    "probe": "number:i news:m feed:i wall:i",
    "probe_ack": "number:i news:m feed:i wall:i",
    "probe_via": "number:i target:s news:m",
    "probe_for": "number:i origin:s news:m",
    "via_ack": "number:i news:m",
    "join": "news:m",
    "roll": "news:m",
    # accord
    "blank": "seat:s",
    "stand": "seat:s address:s",
    "yield": "ballot:d",
    "ask": "ballot:d",
    "ask_yes": "ballot:d",
    "stop": "ballot:d delivered:i roster:d",
    "stopped": "ballot:d view:d delivered:i end:i first:i entries:e image:d",
    "install": "ballot:d members:d first:i entries:e image:d",
    "installed": "ballot:d",
    "grow": "ballot:d first:i entries:e committed:i",
    "grew": "ballot:d end:i",
    "beat": "ballot:d committed:i fresh:b members:d",
    "beat_ack": "ballot:d seen:d end:i blank:b",
    "propose": "entry:d",
    # rota
    "bid": "duty:s fence:i round:i",
    "vote": "duty:s fence:i round:i",
    "renew": "duty:s fence:i sent:f",
    "renewed": "duty:s fence:i sent:f",
    # feed
    "follow": "number:i nonce:i",
    "image": "number:i image:y",
    "image_part": "number:i offset:i total:i part:y",
    "news": "first:i entries:e",
    "feed_beat": "number:i nonce:i wall:i",
    "confirm": "number:i nonce:i",
    "confirmed": "node:s number:i",
    # tally and credit
    "open": "records:d",
    "opened": "acks:d",
    "close": "records:d",
    "closed": "acks:d",
    "hand": "records:d",
    "handed": "acks:d",
    "carry": "records:d",
    "credit": "balance:f wanted:f",
    "lend": "loan:s amount:f target:s",
    "gift": "loan:s amount:f",
    # allowances
    "allow_ask": "number:i wants:d",
    "allow_give": "fence:i number:i gives:d",
    "allow_beg": "number:i wants:d",
    "allow_lend": "number:i gives:d",
    "allow_report": "report:d",
    # loom
    "demand": "counts:d",
    "want": "wants:d",
    "usage": "usage:d",
    "places": "fence:i life:i number:i isWhole:b servers:d",
    "places_ask": "number:i",
    # any
    "leaving": "servers:d",
    "cold": "servers:d",
    "find": "asker:s request:s",
    "found": "asker:s record:d",
}

FIELDS = {kind: tuple(field.split(":") for field in text.split()) for kind, text in SHAPES.items()}
