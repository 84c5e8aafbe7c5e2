"""The weight store, from which servers load model weights."""

from typing import Annotated

import msgspec
from msgspec import Meta


class Store(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """Load limits of the weight store: `pace` in gigabytes per second, `burst` in gigabytes that may start at once."""

    pace: Annotated[float, Meta(gt=0, le=1000)] = 2.0
    burst: Annotated[float, Meta(gt=0, le=2000)] = 40.0
