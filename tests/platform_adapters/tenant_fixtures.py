"""Documents with tenants, and an edge that takes requests as the platform's clients write them."""

from request_port import PlatformRequestPort

from sumachook.quotas.effects import AdmissionGranted
from sumachook.quotas.events import AdmissionRequested
from sumachook.retry_budget.budget import service_key
from tests.deployment_fixtures import give_credit
from tests.forwarding.forwarding_fixtures import SERVERS, Scene, event_of
from tests.platform_adapters.adapters import from_platform
from tests.platform_adapters.platform_fixtures import SINGLE, ZONES, whole

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
    return whole(version, routes, tenants=list(tenants), **more)


class TenantScene(Scene):
    """An edge under a document of the platform; answers of its servers bear the platform's names."""

    def __init__(self, tenants=(EAST, WEST), **more):
        servers = {name: {**SERVERS[name], "service": SERVICE, "area": "hall-a"} for name in ("r1", "r2", "r3")}
        doc = from_platform(tenants_document(tenants), tuple(ZONES))
        super().__init__(doc, servers, port=PlatformRequestPort(), **more)
        self.table.zone = "hall-a"
        give_credit(self.retry_budget, 4.0, service_key(SERVICE))

    def take_event(self, event):
        """Every claim of a tenant's quota is granted at once."""
        effects = super().take_event(event)
        for effect in effects:
            if isinstance(effect, AdmissionRequested):
                effects = [*effects, *super().take_event(AdmissionGranted(effect.key, False))]
        return effects

    def set_tenants(self, *tenants):
        self.configure(from_platform(tenants_document(tenants, self.state.version + 2), tuple(ZONES)))

    def call(self, *keys, path=PLAIN, headers=()):
        """A request with these keys; gives its call id, which is its own id as well."""
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

    def forwarded(self, call_id):
        """The headers of each attempt of a request, as lists of (name in small letters, value)."""
        return [
            [(name.lower(), value) for name, value in effect[4]]
            for effect in self.effects("forward")
            if ("Sumachook-Request-Id", call_id) in effect[4]
        ]

    def tenants_told(self, call_id):
        """What each attempt of a request tells its server of the tenant."""
        return [[value for name, value in headers if name == "sumachook-tenant"] for headers in self.forwarded(call_id)]

    def was_run(self, call_id):
        return bool(self.forwarded(call_id))
