"""The weight of one service in a route."""

import msgspec

from sumachook.configuration.bounds import ItemName, Rate


class Split(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """A service of a route; its fraction of the requests is `weight` divided by the sum of the route's weights."""

    service: ItemName
    weight: Rate
