"""Mutations that remove a check of tenants or keys on forwarded requests, for `python -m harness breaches`."""

from harness.mutations.mutation import Mutation

TENANTS = "tests/platform_adapters/test_tenants.py"
REVOKED = "tests/platform_adapters/test_revoked_keys.py"
DOCUMENTS = "tests/platform_adapters/test_platform_documents.py"
PARTS = "tests/configuration/test_parts.py"

TENANT_MUTATIONS = (
    Mutation(
        "UNASKED",
        "the client's key is forwarded to the server",
        "self.LAST_EVENT, self.CREDENTIAL, self.TENANT}",
        "self.LAST_EVENT, self.TENANT}",
        TENANTS,
        "not_the_key",
    ),
    Mutation(
        "UNASKED",
        "a tenant header from the client is forwarded",
        "self.LAST_EVENT, self.CREDENTIAL, self.TENANT}",
        "self.LAST_EVENT, self.CREDENTIAL}",
        TENANTS,
        "not_the_key",
    ),
    Mutation(
        "UNASKED",
        "repeated routing headers are accepted",
        "        if metadata.repeated_headers:",
        "        if False:",
        TENANTS,
        "repeated_routing_headers",
    ),
    Mutation(
        "ROUTE",
        "a request without a key is forwarded",
        "if owner is None and not route.public:",
        "if False:",
        TENANTS,
        "without_one_valid_key or repeated_routing_headers",
    ),
    Mutation(
        "ROUTE",
        "the first of two keys is accepted",
        "        if len(credentials) > 1:",
        "        if False:",
        TENANTS,
        "without_one_valid_key or repeated_routing_headers",
    ),
    Mutation(
        "ROUTE",
        "routes are open while no tenant has a key",
        "return bool(self.keys) or not (self.callers or self.http_routes)",
        "return bool(self.keys)",
        REVOKED,
        "no_tenant_has_a_key",
    ),
    Mutation(
        "CONFIG",
        "queued requests are not checked again after a configuration change",
        "        if request.checked_generation == table.generation:\n            return None",
        "        return None",
        REVOKED,
        "request_waiting_for or further_attempt or running_stream or moves_to_another_tenant",
    ),
    Mutation(
        "CONFIG",
        "a queued request keeps its tenant after its key has moved to another",
        "return None if tenant == request.tenant else",
        "return None if True else",
        REVOKED,
        "moves_to_another_tenant",
    ),
    Mutation(
        "CONFIG",
        "a stale node refuses unknown keys at once",
        "if trust is not Trust.FRESH:  # the key may have been added",
        "if False:  # the key may have been added",
        REVOKED,
        "stale_node",
    ),
    Mutation(
        "CONFIG",
        "a disconnected node accepts keys without a time limit",
        "return lifetime is not None and now - self.follower.proved_at > lifetime",
        "return False",
        REVOKED,
        "after_their_lifetime",
    ),
    Mutation(
        "CONFIG",
        "a partial update replaces all unread fields",
        "changed[EXTRA] = _merge_extra(base.get(EXTRA, {}), part.get(EXTRA, {}), removals.get(EXTRA, {}))",
        "changed[EXTRA] = part.get(EXTRA, {})",
        PARTS,
        "lists_in_extra_are_changed_by_name",
    ),
    Mutation(
        "CONFIG",
        "two tenants may share a key",
        "holders.setdefault(key, index) != index:",
        "False:",
        DOCUMENTS,
        "rejected_with_their_path",
    ),
    Mutation(
        "QUOTA",
        "the configured burst size is ignored",
        "if requests is None or rates.requests == UNBOUND:",
        "if True:",
        DOCUMENTS,
        "quotas_are_converted",
    ),
    Mutation(
        "QUOTA",
        "the whole floor of a burst is admitted without being counted",
        "min(MAX_UNCOUNTED_BURST, tenant.burst * tenant.floor)",
        "tenant.burst * tenant.floor",
        "tests/quotas/test_quota_bound.py",
        "within_the_bound",
    ),
    Mutation(
        "CONFIG",
        "route priority precedes tenant priority",
        "request.is_yielding, request.tenant_priority, request.route.priority, request.number",
        "request.is_yielding, request.route.priority, request.tenant_priority, request.number",
        REVOKED,
        "precedes_route_priority",
    ),
)
