"""What the harness takes for a fault of keys, tenants and quotas."""

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
    """A key is taken away by a configuration that was sent at 9.9 s and acknowledged at 10 s."""
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
def test_what_no_configuration_in_force_allows_to_run_is_reported(credential, sent_at, kind, is_fault):
    """Given requests that ran under keys that stand, were taken away a while ago or long ago, or never were, those are reported that no
    configuration allows that may have been in force."""
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
def test_a_refusal_of_what_all_configurations_in_force_allow_is_reported(credential, sent_at, is_fault):
    """Given requests that got 401, those are reported whose key every configuration holds that may have been in force."""
    assert bool(faults(credential, sent_at, status=401)) is is_fault


@pytest.mark.parametrize(("count", "is_fault"), [(80, False), (90, True)])
def test_more_than_a_quota_allows_is_reported(count, is_fault):
    """Given requests of a tenant that were sent and run within 5 s, more than its rate, burst and their slack is reported."""
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
def test_a_key_or_a_wrong_tenant_at_a_server_is_reported(credential, headers, is_fault):
    """Given a request at a server that got its key, or no or another tenant's name, it is reported."""

    async def run():
        history = CallHistory(loads_per_s=1.0)
        history.attempts["q"] = Attempt(BOOKING, "/x/", "d", credential=credential)
        history.ran("q", "i-1", BOOKING.service, "/x/", "d")
        history.tenant_keys.note_run("q", headers)
        return history.violations()

    assert bool(asyncio.run(run())) is is_fault
