"""Configuration documents with tenants, and an edge that receives requests with the platform's headers."""

from request_port import PlatformRequestPort

from sumachook.quotas.effects import AdmissionGranted
from sumachook.quotas.events import AdmissionRequested
from sumachook.retry_budget.budget import service_key
from tests.deployment_fixtures import give_credit
from tests.forwarding.forwarding_fixtures import SERVERS, Scene, event_of
from tests.platform_adapters.adapters import from_platform
from tests.platform_adapters.platform_fixtures import SINGLE, ZONES, sample_document

HOST = "ficu95.example"
PLAIN, ONCE, STREAM, OPEN = "/plain/x", "/once/x", "/stream/x", "/open/x"
EAST_KEY, EAST_SECOND_KEY, WEST_KEY = "rjvz48wuakn2ftimaj3n", "r26tta828m82thhkmgjq", "h7q2m9xkw4c8tz5bnd3p"
EAST = {
    "name": "huka270",
    "api-keys": [EAST_KEY, EAST_SECOND_KEY],
    "priority": 1,
    "rate-per-s": 62,
    "burst-size": 62,
}
WEST = {"name": "vole511", "api-keys": [WEST_KEY], "priority": 0}
SERVICE = "wuno96b"


def tenant_route(name, kind="idempotent", **more):
    return {
        **SINGLE,
        "name": name,
        "path-prefix": f"/{name}/",
        "route-kind": kind,
        "service": SERVICE,
        "max-attempts": 3,
        "public": False,
        **more,
    }


ROUTES = [
    tenant_route("plain"),
    tenant_route("once", "non_idempotent"),
    tenant_route("stream", "streaming", resumable=True, priority=2),
    tenant_route("open", public=True),
]


def tenants_document(tenants=(EAST, WEST), version=7, routes=ROUTES, **more):
    return sample_document(version, routes, tenants=list(tenants), **more)


class TenantScene(Scene):
    """An edge configured by a platform document, whose clients and servers use the platform's headers."""

    def __init__(self, tenants=(EAST, WEST), **more):
        servers = {name: {**SERVERS[name], "service": SERVICE, "area": "hall-a"} for name in ("r1", "r2", "r3")}
        doc = from_platform(tenants_document(tenants), tuple(ZONES))
        super().__init__(doc, servers, port=PlatformRequestPort(), **more)
        self.table.zone = "hall-a"
        give_credit(self.retry_budget, 4.0, service_key(SERVICE))

    def take_event(self, event):
        """Handles an event; grants each quota admission request at once."""
        effects = super().take_event(event)
        for effect in effects:
            if isinstance(effect, AdmissionRequested):
                effects = [*effects, *super().take_event(AdmissionGranted(effect.key, False))]
        return effects

    def set_tenants(self, *tenants):
        self.configure(from_platform(tenants_document(tenants, self.state.version + 2), tuple(ZONES)))

    def call(self, *keys, path=PLAIN, headers=()):
        """Sends a request with these keys; returns its call id, which is also its request id."""
        self.number += 1
        call_id = f"q{self.number}"
        pairs = (
            ("Host", HOST),
            ("Sumachook-Request-Id", call_id),
            ("Sumachook-Deadline-Remaining", "4000"),
            *(("Sumachook-Credential", key) for key in keys),
            *headers,
        )
        self.take_event(event_of(("request", call_id, "POST", path, pairs, b"{}")))
        return call_id

    def forwarded_headers(self, call_id):
        """Returns the headers of each attempt of a request, as lists of (lower-case name, value)."""
        return [
            [(name.lower(), value) for name, value in effect[4]]
            for effect in self.effects("forward")
            if ("Sumachook-Request-Id", call_id) in effect[4]
        ]

    def tenant_headers(self, call_id):
        """Returns the values of the tenant header in each attempt of a request."""
        return [
            [value for name, value in headers if name == "sumachook-tenant"]
            for headers in self.forwarded_headers(call_id)
        ]

    def was_forwarded(self, call_id):
        return bool(self.forwarded_headers(call_id))
