"""Value ranges of the numbers and names in the configuration of services and their routes."""

from typing import Annotated

from msgspec import Meta

ItemName = Annotated[str, Meta(min_length=1, max_length=200)]
Milliseconds = Annotated[float, Meta(ge=0, le=1e10)]
Megabytes = Annotated[float, Meta(ge=0, le=1e10)]
Rate = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=0, le=1_000_000_000)]
