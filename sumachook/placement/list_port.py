"""Requests and parses the platform's server list; a platform with another format needs a class like `ListPort`."""

from typing import Any, NamedTuple

import msgspec


class InventoryPage(NamedTuple):
    """One page of the server list; `items` is None if the response is malformed, and `reason` says why.

    `next_page` is the token of the next page, or None on the last page.
    """

    items: list[Any] | None
    next_page: Any
    reason: str


class ListPort:
    """The default list format: `GET /servers` returns {"servers": [...], "next": page token or null}."""

    __slots__ = ()

    def path(self, page: Any) -> str:
        """Returns the path and query for a page token; None requests the first page."""
        return f"/servers?page={page}" if page else "/servers"

    def read(self, body: bytes) -> InventoryPage:
        """Parses the body of a response; a malformed body results in a page without items.

        >>> ListPort().read(b'{"servers":[]}').items, ListPort().read(b'[]').reason
        ([], 'servers: a list is needed')
        """
        try:
            doc = msgspec.json.decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            return InventoryPage(None, None, str(error))
        items = doc.get("servers") if isinstance(doc, dict) else None
        if not isinstance(items, list):
            return InventoryPage(None, None, "servers: a list is needed")
        return InventoryPage(items, doc.get("next"), "")
