"""Mutations of the rules on failing components, on marks that end with their reason, and on further attempts."""

from harness.mutations.mutation import Mutation

COMPONENTS = "tests/nodes/test_component_failures.py"
PROVISION = "tests/placement/test_provisioning.py"

FAILURE_MUTATIONS = (
    Mutation(
        "HOLE",
        "the exception of a component is raised to whoever called it",
        "            return self.handle_failure(component, event, error, now)",
        "            raise",
        COMPONENTS,
        "costs_no_effect_of_another",
    ),
    Mutation(
        "HOLE",
        "a core goes on after consensus or its ledger replica failed",
        "            self.stop()\n            return effects",
        "            return effects",
        COMPONENTS,
        "may_have_lost_replicated_data",
    ),
    Mutation(
        "HOLE",
        "an entry that fails half-way is not undone",
        "        with state.unchanged_on_failure():\n            if isinstance(effect, Restore):",
        "        if True:\n            if isinstance(effect, Restore):",
        COMPONENTS,
        "does_not_act_as_if_it_had",
    ),
    Mutation(
        "HOLE",
        "a core that lacks an entry takes part as if it had it",
        "not self.is_suspended and self.state_delivery.is_complete",
        "not self.is_suspended",
        COMPONENTS,
        "does_not_act_as_if_it_had",
    ),
    Mutation(
        "HOLE",
        "an entry whose predecessor is missing is applied",
        "if effect.number != last_number + 1:",
        "if False:",
        COMPONENTS,
        "missing_entry_stops",
    ),
    Mutation(
        "HOLE",
        "the feed does not notice that it missed an entry",
        "if self._next_number != self.state.number + 1:",
        "if False:",
        "tests/changefeed/test_changefeed.py",
        "missed_an_entry",
    ),
    Mutation(
        "MARKS",
        "servers that are new together mark each other as replaced",
        "            arrived = names & never_listed",
        "            arrived = {max(names)}",
        PROVISION,
        "new_lease_uses or whatever_the_list_shows",
    ),
    Mutation(
        "MARKS",
        "a model that an edge forgot is not published again",
        "(models is None or name not in self.repeated)",
        "True",
        PROVISION,
        "forgot_is_published_again",
    ),
    Mutation(
        "MARKS",
        "a report does not lift the mark of a replaced server",
        "        server.is_replaced = False\n        self.publisher",
        "        self.publisher",
        PROVISION,
        "ends_with_its_reason",
    ),
    Mutation(
        "TWICE",
        "a further attempt may use the connection of an earlier one at the same server",
        "if not request.metadata.request_id or request.server in request.sent_to:",
        "if not request.metadata.request_id:",
        "tests/forwarding/test_forwarding.py",
        "further_attempts",
    ),
)
