"""Which requests the harness reports as violations of API keys, tenants and quotas."""

import asyncio

import pytest

from harness.fakes.call_history import Attempt, CallHistory
from harness.fakes.deployment import KINDS
from harness.fakes.tenants import (
    APPLY_WITHIN_S,
    CREDENTIAL,
    LEAVING_KEYS,
    METERED_KEYS,
    NEVER_HELD,
    NO_KEY,
    STANDING,
    STANDING_KEYS,
    TENANT,
    ConfiguredKeys,
    JudgedRequest,
    Run,
    TenantKeys,
)

BOOKING = next(kind for kind in KINDS if kind.name == "booking")
OPEN = next(kind for kind in KINDS if kind.is_public)
ALL = frozenset((*STANDING_KEYS, *METERED_KEYS, *LEAVING_KEYS))
REPLACED_AT = 10.0
LATEST = REPLACED_AT + APPLY_WITHIN_S


def keys_with_a_change():
    """Returns keys of which one is revoked by a configuration that was sent at 9.9 s and acknowledged at 10 s."""
    first = ConfiguredKeys(ALL, 0.0, REPLACED_AT)
    return TenantKeys([first, ConfiguredKeys(ALL - {LEAVING_KEYS[0]}, REPLACED_AT - 0.1)])


def faults(credential, sent_at, status=200, kind=BOOKING, run_at=None):
    keys = keys_with_a_change()
    if run_at is not None:
        keys.runs["q"] = [Run(run_at, (), False)]
    return list(keys.violations([JudgedRequest("q", kind, credential, sent_at, sent_at + 0.1, status)]))


@pytest.mark.parametrize(
    ("credential", "sent_at", "kind", "is_fault"),
    [
        (STANDING_KEYS[0], 20.0, BOOKING, False),
        (LEAVING_KEYS[0], LATEST - 0.1, BOOKING, False),
        (LEAVING_KEYS[0], LATEST + 0.1, BOOKING, True),
        (LEAVING_KEYS[0], LATEST + 0.1, OPEN, True),
        (NEVER_HELD, 5.0, BOOKING, True),
        (NO_KEY, 5.0, BOOKING, True),
        (NO_KEY, 5.0, OPEN, False),
    ],
)
def test_run_that_no_configuration_in_force_allows_is_reported(credential, sent_at, kind, is_fault):
    """A run is reported if its key is valid in no configuration that may have been in force: a key revoked longer ago than the
    time to apply a change, a key that was never valid, or no key on a route that needs one."""
    assert bool(faults(credential, sent_at, kind=kind, run_at=sent_at + 0.05)) is is_fault


@pytest.mark.parametrize(
    ("credential", "sent_at", "is_fault"),
    [
        (STANDING_KEYS[0], 20.0, True),
        (LEAVING_KEYS[0], 5.0, True),
        (LEAVING_KEYS[0], REPLACED_AT - 0.05, False),
        (NEVER_HELD, 5.0, False),
    ],
)
def test_401_for_a_key_valid_in_all_configurations_in_force_is_reported(credential, sent_at, is_fault):
    """A 401 response is reported if the key is valid in every configuration that may have been in force."""
    assert bool(faults(credential, sent_at, status=401)) is is_fault


@pytest.mark.parametrize(("count", "is_fault"), [(80, False), (90, True)])
def test_excess_over_a_quota_is_reported(count, is_fault):
    """More requests of a tenant sent and run within 5 s than its rate, burst and slack allow are reported."""
    keys = TenantKeys([ConfiguredKeys(ALL, 0.0)])
    requests = [JudgedRequest(f"q{n}", BOOKING, METERED_KEYS[0], 1 + n / 100, 1 + n / 100, 200) for n in range(count)]
    keys.runs = {request.request_id: [Run(request.sent_at, (), False)] for request in requests}
    found = [fault for fault in keys.violations(requests) if fault.startswith("QUOTA")]
    assert bool(found) is is_fault


@pytest.mark.parametrize(
    ("credential", "headers", "is_fault"),
    [
        (STANDING_KEYS[0], {TENANT: STANDING}, False),
        (STANDING_KEYS[0], {TENANT: STANDING, CREDENTIAL: "x"}, True),
        (STANDING_KEYS[0], {}, True),
        (STANDING_KEYS[0], {TENANT: "forged"}, True),
        (NO_KEY, {}, False),
        (NO_KEY, {TENANT: STANDING}, True),
    ],
)
def test_key_or_wrong_tenant_name_at_a_server_is_reported(credential, headers, is_fault):
    """A request is reported if its server receives the API key, no tenant name or another tenant's name."""

    async def run():
        history = CallHistory(loads_per_s=1.0)
        history.attempts["q"] = Attempt(BOOKING, "/x/", "d", credential=credential)
        history.ran("q", "i-1", BOOKING.service, "/x/", "d")
        history.tenant_keys.note_run("q", headers)
        return history.violations()

    assert bool(asyncio.run(run())) is is_fault
