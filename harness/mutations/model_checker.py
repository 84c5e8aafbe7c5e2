"""Guards that the model checker sees missing within its budget in CI, for `python -m harness breaches`."""

from harness.mutations.mutation import Mutation

MODEL = "tests/harness/test_model_checker.py"


def _mutation(model_rule: str, what: str, file: str, guard: str, instead: str, stories: str = "walks") -> Mutation:
    return Mutation("MODEL", f"{model_rule}: {what}", guard, instead, MODEL, stories, file)


MODEL_CHECKER_MUTATIONS = (
    _mutation(
        "leaders",
        "who acknowledged a round promises a view to anybody",
        "consensus/lease.py",
        "if self.bound_until is None or now >= self.bound_until or (run_number and run_number == self.run_number):",
        "if True:",
        "no_deviation and started_anew",
    ),
    _mutation(
        "leaders",
        "who was started anew is bound by nothing",
        "consensus/state.py",
        "            self.guard.start(now, random.getrandbits(NONCE_BITS) + 1)\n",
        "            pass\n",
        "no_deviation and started_anew",
    ),
    _mutation(
        "leaders",
        "a leader that heard a majority once keeps its lease",
        "consensus/lease.py",
        "if now - sent_at < LEASE}",
        "}",
    ),
    _mutation(
        "stale",
        "a member is fresh as of when a heartbeat arrives",
        "consensus/follower.py",
        "state.freshness.confirm(message.echo)",
        "state.freshness.complete_as_of = now",
        "no_deviation and went_on_without_it",
    ),
    _mutation(
        "durable",
        "a change is committed when the leader alone has it on its disk",
        "consensus/leader.py",
        "acked_end = min(self.progress.acked.get(name, 0) for name in state.members)\n"
        "        if acked_end <= state.committed:\n            return []\n        if not self._is_held_by_quorum(acked_end):",
        "acked_end = max(self.progress.acked.get(name, 0) for name in state.members)\n"
        "        if acked_end <= state.committed:\n            return []\n        if False:",
        "no_deviation and disks_stalled",
    ),
    _mutation(
        "order",
        "the longest log counts, not that of the highest view",
        "consensus/candidate.py",
        "key=lambda name: (self.promises[name].installed, self.promises[name].end, name == state.name)",
        "key=lambda name: (self.promises[name].end, name == state.name)",
        "no_deviation and longer_log",
    ),
    _mutation(
        "seats",
        "a voter that is gone is never replaced",
        "consensus/membership.py",
        'return ("seat-replace", lost, name, address)',
        "return None",
    ),
    _mutation(
        "no-change",
        "a replica that hears no leader never stands",
        "consensus/candidate.py",
        "if not state.leader_timed_out(now) or not state.is_voter:",
        "if True:",
    ),
    _mutation(
        "catch-up",
        "who is out of the view stays out",
        "consensus/view_maintenance.py",
        "return self._is_new_voter(name) or self.progress.healthy_for(name, now) > REJOIN_AFTER",
        "return self._is_new_voter(name)",
    ),
    _mutation(
        "stale-read",
        "reads are answered from what is at hand",
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
        "        if self._is_late(order, now):\n",
        "        if False:\n",
        "tests/nodes/test_operator_changes.py",
        "turn_whose_read",
        file="nodes/configuration_changes.py",
    ),
)
