"""Routes by host and prefix: a table, so that a thousand more cost nothing."""


class Routes:
    """`find(host, path)`: the route of the longest prefix that begins the path, or None (§14.4).

    >>> from types import SimpleNamespace as Item
    >>> routes = Routes({("a", prefix): Item(prefix=prefix) for prefix in ("/", "/x/", "/x/y/")})
    >>> [route and route.prefix for route in map(lambda path: routes.find("a", path), ("/x/y", "/x/y/z?q=/w/", "/q", "/x/yy/"))]
    ['/x/', '/x/y/', '/', '/x/']
    >>> routes.find("b", "/") is None
    True
    """

    __slots__ = ("by_match",)

    def __init__(self, by_match: dict):
        """`by_match`: routes by host in small letters and prefix, as a checked document has them; it is read only."""
        self.by_match = by_match

    def find(self, host: str, path: str):
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self.by_match.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None
