"""Message kinds between nodes and their fields, in wire order.

Type letters: s string, i i64, f double, b bool, d document (JSON in a binary field),
m list of member structs, e list of binary entries, y raw bytes, r bytes (compressed if long),
o optional bytes, which decode as empty if they are missing, as in messages of earlier versions.
"""

SHAPES = {
    # membership
    "probe": "sequence:i updates:m feed_number:i wall_clock_ms:i",
    "probe_ack": "sequence:i updates:m feed_number:i wall_clock_ms:i",
    "probe_via": "sequence:i target:s updates:m",
    "probe_for": "sequence:i origin:s updates:m",
    "via_ack": "sequence:i updates:m",
    "join": "updates:m digest:o",
    "roll": "updates:m",
    "view_difference": "updates:d",
    # consensus
    "standing": "replica:s address:s is_blank:b",
    "canvass": "view:d installed:d end:i token:i",
    "canvass_accepted": "view:d token:i start:i",
    "prepare": "view:d voters:d released:d start:i",
    "promise": "view:d installed:d delivered:i end:i digest:r first:i",
    "take_over": "view:d released:d learners:d",
    "install": "view:d members:d first:i end:i previous:r entries:e",
    "installed": "view:d end:i",
    "append": "view:d first:i end:i committed:i previous:r entries:e",
    "appended": "view:d end:i",
    "fetch": "view:d first:i digest:r number:i offset:i",
    "entries": "view:d first:i is_match:b previous:r entries:e",
    "entry_part": "view:d number:i offset:i total:i checksum:i data:r",
    "snapshot_part": "view:d number:i digest:r offset:i total:i checksum:i data:r",
    "heartbeat": "view:d round:i committed:i end:i has_lease:b members:d echo:i",
    "heartbeat_ack": "view:d round:i promised:d end:i is_blank:b own_round:i",
    "propose": "number:i offset:i total:i data:r",
    "yield": "view:d",
    "replica_leaving": "replica:s",
    "leaving_noted": "has_replacement:b",
    "read_index": "token:i",
    "read_index_answer": "token:i committed:i is_valid:b",
    # leases
    "bid": "role:s fence:i round:i",
    "vote": "role:s fence:i round:i",
    "renew": "role:s fence:i sent:f",
    "renewed": "role:s fence:i sent:f",
    # change feed
    "follow": "number:i nonce:i",
    "image": "number:i packed:y",
    "image_part": "number:i offset:i total:i data:y",
    "news": "first:i entries:e",
    "feed_beat": "number:i nonce:i wall_clock_ms:i",
    "confirm": "number:i nonce:i",
    "confirmed": "node:s number:i",
    # ledger and retry budget
    "open": "records:d",
    "opened": "acks:d",
    "close": "records:d",
    "closed": "acks:d",
    "hand": "records:d",
    "handed": "acks:d",
    "carry": "records:d",
    "retry_credit": "balances:d",
    "retry_lend": "service_key:s loan_id:s amount:f receiver_address:s",
    "retry_gift": "service_key:s loan_id:s amount:f",
    # quotas
    "allow_ask": "number:i demands:d",
    "allow_give": "fence:i number:i grants:d",
    "allow_beg": "number:i wanted:d",
    "allow_lend": "number:i lent:d",
    "allow_report": "report:d",
    # placement
    "demand": "counts:d",
    "want": "requests:d",
    "usage": "usage:d",
    "places": "fence:i incarnation:i number:i is_snapshot:b servers:d",
    "places_ask": "number:i",
    # any component
    "leaving": "servers:d",
    "cold": "servers:d",
    "outcomes": "counts:d",
    "eject": "durations_ms:d",
    "find": "asker:s request:s",
    "found": "asker:s record:d",
}

FIELDS = {kind: tuple(field.split(":") for field in text.split()) for kind, text in SHAPES.items()}
