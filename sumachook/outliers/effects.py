"""Effects that the outlier detector returns to its core."""

from sumachook.host.effects import Effect


class ServersEjected(Effect, frozen=True):
    """Ejects servers at all edges; durations in milliseconds by server."""

    durations_ms: dict[str, int]
