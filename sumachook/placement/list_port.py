"""How the platform's list of servers is read; another platform is another such file (§14.3)."""

import msgspec


class ListPort:
    """The product's own: GET /servers, {"servers": [...], "next": page or null}."""

    __slots__ = ()

    def path(self, page) -> str:
        return f"/servers?page={page}" if page else "/servers"

    def read(self, body: bytes):
        """(items, next page or None, ""), or (None, None, reason) for what is no list.

        >>> ListPort().read(b'{"servers":[]}'), ListPort().read(b'[]')
        (([], None, ''), (None, None, 'servers: a list is needed'))
        """
        try:
            doc = msgspec.json.decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            return None, None, str(error)
        items = doc.get("servers") if isinstance(doc, dict) else None
        if not isinstance(items, list):
            return None, None, "servers: a list is needed"
        return items, doc.get("next"), ""
