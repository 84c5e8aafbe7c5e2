"""Per-tenant quotas, enforced consistently across all edges.

Each edge admits a tenant's requests against short-lived leases (`rate_limiter`). The core that holds the accounting
duty issues these leases (`lease_issuer`) within the tenant's floor and ceiling (`terms`). Every core stores the usage
that edges report (`usage`).
"""
