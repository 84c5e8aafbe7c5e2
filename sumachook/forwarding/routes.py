"""Route lookup by host and path prefix, in a hash table: a thousand more routes do not slow it down."""

from typing import Any


class Routes:
    """Finds the route with the longest prefix of a request path.

    >>> from types import SimpleNamespace as Item
    >>> routes = Routes({("a", prefix): Item(prefix=prefix) for prefix in ("/", "/x/", "/x/y/")})
    >>> [routes.find("a", path).prefix for path in ("/x/y", "/x/y/z?q=/w/", "/q", "/x/yy/")]
    ['/x/', '/x/y/', '/', '/x/']
    >>> routes.find("b", "/") is None
    True
    """

    __slots__ = ("by_match",)

    def __init__(self, by_match: dict[tuple[str, str], Any]) -> None:
        """`by_match` maps (lowercase host, prefix) to routes, as in a checked document; it is never modified."""
        self.by_match = by_match

    def find(self, host: str, path: str) -> Any:
        """Returns the route of the host with the longest prefix of the path, or None if no route matches."""
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self.by_match.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None
