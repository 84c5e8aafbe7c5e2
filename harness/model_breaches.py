"""Guards that the model checker sees missing within its budget in CI, for `harness.breaches`; one at least for each rule of its book."""

MODEL = "tests/model_stories.py"


def _breach(model_rule: str, what: str, file: str, guard: str, instead: str, stories: str = "walks") -> tuple:
    return ("MODEL", f"{model_rule}: {what}", (file, guard), instead, MODEL, stories)


MODEL_BREACHES = (
    _breach(
        "leaders",
        "who acknowledged a round promises a view to anybody",
        "consensus/lease.py",
        "if self.until is None or now >= self.until:",
        "if True:",
    ),
    _breach(
        "stale",
        "a leader that heard a majority once keeps its lease",
        "consensus/lease.py",
        "if now - sent_at < LEASE}",
        "}",
    ),
    _breach(
        "stale",
        "a member is fresh as of when a heartbeat arrives",
        "consensus/follower.py",
        "state.freshness.confirm(message.echo)",
        "state.freshness.complete_as_of = now",
    ),
    _breach(
        "durable",
        "the acknowledgement does not wait for the disks of all members",
        "consensus/leader.py",
        "reached = min(self.progress.acked.get(name, 0) for name in state.members)",
        "reached = max(self.progress.acked.get(name, 0) for name in state.members)",
        "no_deviation",
    ),
    _breach(
        "order",
        "the longest log counts, not that of the highest view",
        "consensus/candidate.py",
        "key=lambda name: (self.promises[name].installed, self.promises[name].end, name == state.name)",
        "key=lambda name: (self.promises[name].end, name == state.name)",
    ),
    _breach(
        "order",
        "a replica promises two candidates the same view",
        "consensus/voter.py",
        "if view < state.promised or (view == state.promised and state.view == view):",
        "if False:",
    ),
    _breach(
        "seats",
        "a learner that has not caught up becomes a voter",
        "consensus/membership.py",
        "if self.progress.is_caught_up(name, now) and not state.knows_leaving(name, now)",
        "if not state.knows_leaving(name, now)",
    ),
    _breach(
        "no-view",
        "a voter that is gone is never replaced",
        "consensus/membership.py",
        'return ("seat-replace", lost, name, address)',
        "return None",
    ),
    _breach(
        "no-change",
        "a replica that hears no leader never stands",
        "consensus/candidate.py",
        "if not state.hears_no_leader(now) or not state.is_voter:",
        "if True:",
    ),
    _breach(
        "catch-up",
        "who is out of the view stays out",
        "consensus/view_watch.py",
        "return self._is_new(name) or self.progress.well_for(name, now) > REJOIN",
        "return self._is_new(name)",
    ),
    _breach(
        "stale-read",
        "reads are answered from what is at hand",
        "consensus/reads.py",
        "if self.leader.has_lease(now):",
        "if True:",
    ),
    _breach(
        "two-acknowledged",
        "any content under a version that was taken is a repeat",
        "catalog/state.py",
        "if self.taken.knows(version, content):\n            return (OK",
        "if version <= self.version:\n            return (OK",
    ),
    _breach(
        "overtaken",
        "an evacuation that was held up counts whenever it comes",
        "catalog/state.py",
        "if self._is_overtaken(self.turned_at.get(area, 0)):",
        "if False:",
    ),
    _breach(
        "wrong-refusal",
        "a change on the current version is refused",
        "catalog/state.py",
        "        if base != self.version:\n            return (STALE",
        "        if self.version > 3:\n            return (STALE",
    ),
    _breach(
        "refused-resend",
        "a configuration that was taken is not known again",
        "catalog/state.py",
        "self.taken.record(version, content)",
        "pass",
    ),
    _breach(
        "feed",
        "a follower takes older images",
        "changefeed/follower.py",
        "        if number <= self.number:\n            return []\n        self.state.restore(read_image(packed))",
        "        self.state.restore(read_image(packed))",
    ),
    _breach(
        "fence",
        "a replica votes while a lease that it prolonged may run",
        "leases/leases.py",
        "return not was_held or now - self.answered_at.get(duty, self.started_at) > self.timing.vacant_after",
        "return True",
    ),
)
