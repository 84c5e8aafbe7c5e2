"""Mutations that the model checker detects within its budget in CI, for `python -m harness breaches`."""

from harness.mutations.mutation import Mutation

MODEL = "tests/harness/test_model_checker.py"


def _mutation(
    model_rule: str, fault: str, file: str, guard: str, replacement: str, test_expression: str = "walks"
) -> Mutation:
    return Mutation("MODEL", f"{model_rule}: {fault}", guard, replacement, MODEL, test_expression, file)


MODEL_CHECKER_MUTATIONS = (
    _mutation(
        "leaders",
        "a voter promises a view while a lease that it acknowledged is valid",
        "consensus/lease.py",
        "if self.bound_until is None or now >= self.bound_until or (run_number and run_number == self.run_number):",
        "if True:",
        "no_deviation and started_anew",
    ),
    _mutation(
        "leaders",
        "a restarted voter is not bound by leases that it may have acknowledged",
        "consensus/state.py",
        "            self.guard.start(now, random.getrandbits(NONCE_BITS) + 1)\n",
        "            pass\n",
        "no_deviation and started_anew",
    ),
    _mutation(
        "leaders",
        "heartbeat acknowledgements of any age extend the leader lease",
        "consensus/lease.py",
        "if now - sent_at < LEASE}",
        "}",
    ),
    _mutation(
        "stale",
        "a member's state counts as fresh from the arrival of a heartbeat",
        "consensus/follower.py",
        "state.freshness.confirm(message.echo)",
        "state.freshness.complete_as_of = now",
        "no_deviation and went_on_without_it",
    ),
    _mutation(
        "durable",
        "a change is committed when only the leader has stored it",
        "consensus/leader.py",
        "acked_end = min(self.progress.acked.get(name, 0) for name in state.members)\n"
        "        if acked_end <= state.committed:\n            return []\n        if not self._is_held_by_quorum(acked_end):",
        "acked_end = max(self.progress.acked.get(name, 0) for name in state.members)\n"
        "        if acked_end <= state.committed:\n            return []\n        if False:",
        "no_deviation and disks_stalled",
    ),
    _mutation(
        "order",
        "the candidate adopts the longest log instead of the log of the highest view",
        "consensus/candidate.py",
        "key=lambda name: (self.promises[name].installed, self.promises[name].end, name == state.name)",
        "key=lambda name: (self.promises[name].end, name == state.name)",
        "no_deviation and longer_log",
    ),
    _mutation(
        "seats",
        "a lost voter is never replaced",
        "consensus/membership.py",
        'return ("seat-replace", lost, name, address)',
        "return None",
    ),
    _mutation(
        "no-change",
        "a replica without a leader never becomes a candidate",
        "consensus/candidate.py",
        "if not state.leader_timed_out(now) or not state.is_voter:",
        "if True:",
    ),
    _mutation(
        "catch-up",
        "a member that was removed from the view never rejoins",
        "consensus/view_maintenance.py",
        "return self._is_new_voter(name) or self.progress.healthy_for(name, now) > REJOIN_AFTER",
        "return self._is_new_voter(name)",
    ),
    _mutation(
        "stale-read",
        "reads are answered from local state without a leader lease",
        "consensus/reads.py",
        "if self.leader.has_lease(now):",
        "if True:",
        "read_walks",
    ),
    _mutation(
        "two-acknowledged",
        "any content with an accepted version counts as a repeat",
        "control_state/configurations.py",
        "if state.accepted_versions.contains(version, identity.digest):\n        return accepted",
        "if version <= state.version:\n        return accepted",
    ),
    _mutation(
        "wrong-refusal",
        "a change on the version in force is rejected",
        "control_state/configurations.py",
        "    if base_version != state.version:\n        return stale",
        "    if state.version > 3:\n        return stale",
    ),
    _mutation(
        "refused-resend",
        "an accepted configuration is not recognized when repeated",
        "control_state/configurations.py",
        "state.accepted_versions.record(identity.version, identity.digest)",
        "pass",
    ),
    _mutation(
        "fence",
        "a voter votes for a successor while a lease that it acknowledged may be valid",
        "leases/voting.py",
        "return not was_ever_held or now - self.last_renewal_at.get(role, self.started_at) > self.timing.vacant_after",
        "return True",
        "lease_walks",
    ),
    Mutation(
        "MODEL",
        "overtaken: an evacuation goes out however late the read before it comes back",
        "        if self._may_be_superseded(pending, now):\n",
        "        if False:\n",
        "tests/nodes/test_operator_changes.py",
        "evacuation_whose_read",
        file="nodes/configuration_changes.py",
    ),
)
