"""Events that an edge passes to its request pipelines, in addition to the events of the host."""

from collections.abc import Collection, Mapping

from sumachook.host.events import Event


class DrainStarted(Event, frozen=True):
    """The node will shut down, and its responses announce that the connection closes."""


class ProxyServerClosed(Event, frozen=True):
    """The proxy server accepts no more client connections."""


class DrainEnded(Event, frozen=True):
    """The node shuts down now: requests still in flight get their final response."""


class ConnectivityRestored(Event, frozen=True):
    """The node is connected to the cores again."""


class ServersLeaving(Event, frozen=True):
    """A core announces that these servers are leaving, before the change is committed."""

    servers: Collection[str]


class ServersEjected(Event, frozen=True):
    """All edges avoid these servers as outliers, each for the given number of milliseconds."""

    durations_ms: Mapping[str, float]


class ServersCold(Event, frozen=True):
    """These servers are in slow start, each for the given number of milliseconds."""

    durations_ms: Mapping[str, float]


class PlacesChanged(Event, frozen=True):
    """The placement of models on servers has changed."""
