"""Mutations of the tenants and API keys of forwarded requests, for `python -m harness breaches`."""

from harness.mutations.mutation import Mutation

TENANTS = "tests/platform_adapters/test_tenants.py"
REVOKED = "tests/platform_adapters/test_revoked_keys.py"
DOCUMENTS = "tests/platform_adapters/test_platform_documents.py"
PARTS = "tests/configuration/test_parts.py"

TENANT_MUTATIONS = (
    Mutation(
        "UNASKED",
        "the client's API key is forwarded to the server",
        "self.LAST_EVENT, self.CREDENTIAL, self.TENANT}",
        "self.LAST_EVENT, self.TENANT}",
        TENANTS,
        "never_the_key",
    ),
    Mutation(
        "UNASKED",
        "a tenant header sent by the client is forwarded",
        "self.LAST_EVENT, self.CREDENTIAL, self.TENANT}",
        "self.LAST_EVENT, self.CREDENTIAL}",
        TENANTS,
        "never_the_key",
    ),
    Mutation(
        "UNASKED",
        "a repeated header that determines the routing is accepted",
        "        if metadata.repeated_headers:",
        "        if False:",
        TENANTS,
        "stated_twice",
    ),
    Mutation(
        "ROUTE",
        "a request without an API key is admitted",
        "if owner is None and not route.public:",
        "if False:",
        TENANTS,
        "runs_nothing",
    ),
    Mutation(
        "ROUTE",
        "the first of two API keys is used",
        "        if len(credentials) > 1:",
        "        if False:",
        TENANTS,
        "runs_nothing",
    ),
    Mutation(
        "ROUTE",
        "the routes of a tenant without API keys are open",
        "return bool(self.keys) or not (self.callers or self.http_routes)",
        "return bool(self.keys)",
        REVOKED,
        "without_a_key_left",
    ),
    Mutation(
        "CONFIG",
        "a waiting request keeps a revoked API key",
        "        if request.checked_generation == table.generation:\n            return None",
        "        return None",
        REVOKED,
        "waits or further_attempt or under_way or another_tenants",
    ),
    Mutation(
        "CONFIG",
        "a request continues although its API key now belongs to another tenant",
        "return None if tenant == request.tenant else",
        "return None if True else",
        REVOKED,
        "another_tenants",
    ),
    Mutation(
        "CONFIG",
        "a node with a possibly outdated configuration rejects an unknown API key permanently",
        "if trust is not Trust.FRESH:  # the key may have been added",
        "if False:  # the key may have been added",
        REVOKED,
        "may_be_behind",
    ),
    Mutation(
        "CONFIG",
        "API keys never expire on a partitioned node",
        "return lifetime is not None and now - self.follower.proved_at > lifetime",
        "return False",
        REVOKED,
        "vouched_for",
    ),
    Mutation(
        "CONFIG",
        "the extra fields of a document are replaced as a whole",
        "changed[EXTRA] = _change_carried(base.get(EXTRA, {}), part.get(EXTRA, {}), removals.get(EXTRA, {}))",
        "changed[EXTRA] = part.get(EXTRA, {})",
        PARTS,
        "carried_is_changed_by_name",
    ),
    Mutation(
        "CONFIG",
        "an API key may belong to two tenants",
        "holders.setdefault(key, index) != index:",
        "False:",
        DOCUMENTS,
        "refused_by_their_path",
    ),
    Mutation(
        "QUOTA",
        "the configured burst of a tenant is ignored",
        "if requests is None or rates.requests == UNBOUND:",
        "if True:",
        DOCUMENTS,
        "products_terms",
    ),
    Mutation(
        "QUOTA",
        "the whole floor share of a burst is admitted without accounting",
        "min(MAX_UNCOUNTED_BURST, tenant.burst * tenant.floor)",
        "tenant.burst * tenant.floor",
        "tests/quotas/test_quota_bound.py",
        "within_the_bound",
    ),
    Mutation(
        "CONFIG",
        "the priority of a route takes precedence over that of the tenant",
        "request.is_yielding, request.tenant_priority, request.route.priority, request.number",
        "request.is_yielding, request.route.priority, request.tenant_priority, request.number",
        REVOKED,
        "goes_before_the_routes",
    ),
)
