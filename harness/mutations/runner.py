"""python -m harness breaches: removes one guard at a time from a temporary copy and runs the tests that must fail."""

import argparse
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

from harness.mutations.answers import ANSWERS_MUTATIONS
from harness.mutations.configuration import CONFIGURATION_MUTATIONS
from harness.mutations.consensus import CONSENSUS_MUTATIONS
from harness.mutations.control_plane import CONTROL_PLANE_MUTATIONS
from harness.mutations.failures import FAILURE_MUTATIONS
from harness.mutations.model_checker import MODEL_CHECKER_MUTATIONS
from harness.mutations.mutation import CAUGHT, Mutation
from harness.mutations.placement import PLACEMENT_MUTATIONS
from harness.mutations.quotas import QUOTAS_MUTATIONS
from harness.mutations.requests import REQUESTS_MUTATIONS
from harness.mutations.routing import ROUTING_MUTATIONS
from harness.mutations.shutdown import SHUTDOWN_MUTATIONS
from harness.mutations.storage import STORAGE_MUTATIONS
from harness.mutations.tenants import TENANT_MUTATIONS

MUTATIONS = (
    *ANSWERS_MUTATIONS,
    *ROUTING_MUTATIONS,
    *STORAGE_MUTATIONS,
    *SHUTDOWN_MUTATIONS,
    *CONFIGURATION_MUTATIONS,
    *PLACEMENT_MUTATIONS,
    *REQUESTS_MUTATIONS,
    *CONTROL_PLANE_MUTATIONS,
    *QUOTAS_MUTATIONS,
    *TENANT_MUTATIONS,
    *CONSENSUS_MUTATIONS,
    *MODEL_CHECKER_MUTATIONS,
    *FAILURE_MUTATIONS,
)


def main(arguments: Sequence[str] | None = None):
    parser = argparse.ArgumentParser(prog="python -m harness mutations", description=__doc__)
    parser.add_argument(
        "--rule",
        help="run only the mutations of one rule (0: the order of changes; or a rule of the platform, such as MIXED)",
    )
    parser.add_argument("--workers", type=int, default=8, help="number of mutations tested in parallel")
    given = parser.parse_args(arguments)
    chosen = [mutation for mutation in MUTATIONS if given.rule is None or str(mutation.rule) == given.rule]
    if not chosen:
        parser.error(f"there is no mutation of rule {given.rule}")
    print("| rule | fault | tests | result |\n|---|---|---|---|")
    with ThreadPoolExecutor(given.workers) as pool:
        verdicts = list(pool.map(Mutation.verdict, chosen))
    for mutation, verdict in zip(chosen, verdicts, strict=True):
        print(f"| {mutation.rule} | {mutation.fault} | `{mutation.test_path}` {mutation.test_expression} | {verdict} |")
    undetected = [(mutation, verdict) for mutation, verdict in zip(chosen, verdicts, strict=True) if verdict != CAUGHT]
    for mutation, verdict in undetected:
        print(f"{verdict}: {mutation.rule}, {mutation.fault}")
    print(f"{len(chosen)} mutations, {len(undetected)} not caught")
    raise SystemExit(1 if undetected else 0)


if __name__ == "__main__":
    main()
