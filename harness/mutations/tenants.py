"""Guards of tenants and keys on the path of forwarded requests, one at a time, for `python -m harness breaches`."""

from harness.mutations.mutation import Mutation

TENANTS = "tests/platform_adapters/test_tenants.py"
REVOKED = "tests/platform_adapters/test_revoked_keys.py"
DOCUMENTS = "tests/platform_adapters/test_platform_documents.py"
PARTS = "tests/configuration/test_parts.py"

TENANT_MUTATIONS = (
    Mutation(
        "UNASKED",
        "a server is handed the client's key",
        "self.LAST_EVENT, self.CREDENTIAL, self.TENANT}",
        "self.LAST_EVENT, self.TENANT}",
        TENANTS,
        "never_the_key",
    ),
    Mutation(
        "UNASKED",
        "a client names its tenant itself",
        "self.LAST_EVENT, self.CREDENTIAL, self.TENANT}",
        "self.LAST_EVENT, self.CREDENTIAL}",
        TENANTS,
        "never_the_key",
    ),
    Mutation(
        "UNASKED",
        "a deciding header may be stated twice",
        "        if metadata.repeated_headers:",
        "        if False:",
        TENANTS,
        "stated_twice",
    ),
    Mutation(
        "ROUTE",
        "a request without a key runs",
        "if owner is None and not route.public:",
        "if False:",
        TENANTS,
        "runs_nothing",
    ),
    Mutation(
        "ROUTE",
        "of two keys the first counts",
        "        if len(credentials) > 1:",
        "        if False:",
        TENANTS,
        "runs_nothing",
    ),
    Mutation(
        "ROUTE",
        "a tenant without keys leaves the routes open",
        "return bool(self.keys) or not (self.callers or self.http_routes)",
        "return bool(self.keys)",
        REVOKED,
        "without_a_key_left",
    ),
    Mutation(
        "CONFIG",
        "what waits keeps the key that it came with",
        "        if request.checked_generation == table.generation:\n            return None",
        "        return None",
        REVOKED,
        "waits or further_attempt or under_way or another_tenants",
    ),
    Mutation(
        "CONFIG",
        "the tenant of a key is the one that it was at first",
        "return None if tenant == request.tenant else",
        "return None if True else",
        REVOKED,
        "another_tenants",
    ),
    Mutation(
        "CONFIG",
        "an unknown key is refused for good by a node that may be behind",
        "if trust is not Trust.FRESH:  # the key may have been added",
        "if False:  # the key may have been added",
        REVOKED,
        "may_be_behind",
    ),
    Mutation(
        "CONFIG",
        "keys are believed for as long as a node is cut off",
        "return lifetime is not None and now - self.follower.proved_at > lifetime",
        "return False",
        REVOKED,
        "vouched_for",
    ),
    Mutation(
        "CONFIG",
        "what is carried is replaced as a whole",
        "changed[EXTRA] = _merge_extra(base.get(EXTRA, {}), part.get(EXTRA, {}), removals.get(EXTRA, {}))",
        "changed[EXTRA] = part.get(EXTRA, {})",
        PARTS,
        "lists_in_extra_are_changed_by_name",
    ),
    Mutation(
        "CONFIG",
        "a key may be of two tenants",
        "holders.setdefault(key, index) != index:",
        "False:",
        DOCUMENTS,
        "refused_by_their_path",
    ),
    Mutation(
        "QUOTA",
        "the burst that an operator states counts for nothing",
        "if requests is None or rates.requests == UNBOUND:",
        "if True:",
        DOCUMENTS,
        "products_terms",
    ),
    Mutation(
        "QUOTA",
        "the whole floor of a burst is let in uncounted",
        "min(MAX_UNCOUNTED_BURST, tenant.burst * tenant.floor)",
        "tenant.burst * tenant.floor",
        "tests/quotas/test_quota_bound.py",
        "within_the_bound",
    ),
    Mutation(
        "CONFIG",
        "a route's priority goes before the tenant's",
        "request.is_yielding, request.tenant_priority, request.route.priority, request.number",
        "request.is_yielding, request.route.priority, request.tenant_priority, request.number",
        REVOKED,
        "goes_before_the_routes",
    ),
)
