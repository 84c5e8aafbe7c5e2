"""Applies changes of the configuration in force.

A versioned configuration is identified by its content, not by its request id: if the same content was accepted as the
same version before, a repeat is acknowledged, whoever sends it. The core that receives a configuration proposes the
shortest change that gives the same result (`compact_form`).
"""

from typing import Any, NamedTuple

from sumachook.configuration.catalogue import merge
from sumachook.configuration.checked_document import CheckedDocument, replace_in, revise_document
from sumachook.configuration.difference import (
    DifferenceError,
    apply_difference,
    difference_between,
    document_digest,
    is_worthwhile,
)
from sumachook.configuration.issue import ConfigurationIssue
from sumachook.configuration.part import removal_issues
from sumachook.control_state import changes
from sumachook.control_state.change_attempts import digest, digest_of_configuration, is_overtaken, version_of
from sumachook.control_state.fields import StateFields
from sumachook.control_state.requests import run_once
from sumachook.control_state.results import (
    MAX_STORED_ISSUES,
    ChangeResult,
    Outcome,
    accepted,
    rejected,
    stale,
    unknown,
    with_issues,
)

# Reasons of rejections that are shown to operators.
STALE_GENERATION = "stale generation"
STALE_VERSION = "stale version"
NO_CONFIGURATION = "no catalogue yet"


class _Identity(NamedTuple):
    """Identifies a configuration by its content digest, base version and own version."""

    digest: str
    base_version: int
    version: int | None

    @classmethod
    def of(cls, change: changes.Configure) -> "_Identity":
        content = digest_of_configuration(change.document, change.removals, change.is_part, change.base_version)
        return cls(content, change.base_version, version_of(change.document))


# documents without a version ----------------------------------------------------------------------------


def apply_document(state: StateFields, change: changes.ApplyDocument, _seen: int | None) -> ChangeResult:
    """Applies an unversioned document or a part of one; a repeated request id gets the first result."""
    content = digest("apply", change.document, change.is_part, change.if_revision)
    return run_once(state, change.request, content, lambda: _merge(state, change))


def _merge(state: StateFields, change: changes.ApplyDocument) -> ChangeResult:
    if change.if_revision is not None and change.if_revision != state.generation:
        reason = f"{STALE_GENERATION}: it is {state.generation}, not {change.if_revision}"
        return stale("generation", reason)
    if not change.is_part:
        return _replace(state, change.document)
    if state.doc is None:
        return rejected("$", NO_CONFIGURATION)
    return _replace(state, merge(state.doc, change.document))


# documents with a version ------------------------------------------------------------------------------


def configure(state: StateFields, change: changes.Configure, seen: int | None) -> ChangeResult:
    """Applies a versioned document or a part of one if its version, base version and content allow it."""
    identity = _Identity.of(change)
    verdict = _verdict(state, identity, seen)
    if verdict is not None:
        return verdict
    target, issues = _resulting_document(state, change)
    if issues:
        return with_issues(Outcome.REJECTED, issues)
    return _accept(state, target, identity)


def configure_by_digest(state: StateFields, change: changes.ConfigureByDigest, seen: int | None) -> ChangeResult:
    """Returns the result of a configuration that its core found stale, repeated, or invalid on its base version."""
    verdict = _verdict(state, _Identity(change.digest, change.base_version, change.version), seen)
    if verdict is not None:
        return verdict
    if change.issues:
        return with_issues(Outcome.REJECTED, change.issues)
    return unknown("version", "its base came into force meanwhile")


def configure_by_difference(
    state: StateFields, change: changes.ConfigureByDifference, seen: int | None
) -> ChangeResult:
    """Applies a difference to the document in force; the result must have the digest that its core sent."""
    identity = _Identity(change.digest, change.base_version, change.version)
    verdict = _verdict(state, identity, seen)
    if verdict is not None:
        return verdict
    try:
        target = apply_difference(state.checked, change.difference)
    except DifferenceError as error:
        return unknown("$", f"not a difference from the version in force: {error}")
    if document_digest(target) != change.document_digest:
        return unknown("$", "not a difference from the document in force")
    return _accept(state, target, identity)


def _verdict(state: StateFields, identity: _Identity, seen: int | None) -> ChangeResult | None:
    """Returns the result of a configuration if its versions alone decide it, else None."""
    base_version, version = identity.base_version, identity.version
    if state.accepted_versions.contains(version, identity.digest):
        return accepted(state.generation)
    if state.accepted_versions.may_be_forgotten(base_version, version):
        return unknown("version", f"{version} is too long ago to tell")
    if base_version != state.version:
        return stale("version", f"{STALE_VERSION}: it is {state.version}, not {base_version}")
    if is_overtaken(seen, state.version_changed_at):
        return unknown("version", f"{base_version} came into force after this call")
    return None


def _resulting_document(state: StateFields, change: changes.Configure) -> tuple[Any, tuple[ConfigurationIssue, ...]]:
    """Returns the whole document that results from a change of the version in force, or the issues that prevent it."""
    version = version_of(change.document)
    if version is None:
        return None, (ConfigurationIssue("version", "a whole number is needed"),)
    if version <= state.version:
        return None, (ConfigurationIssue("version", f"{version} is not above {state.version}"),)
    if change.is_part and state.checked is None:
        return None, (ConfigurationIssue("$", NO_CONFIGURATION),)
    issues = removal_issues(change.removals)
    if issues:
        return None, issues
    if state.checked is not None and change.is_part:
        return replace_in(state.checked, change.document, change.removals), ()
    defaults = change.defaults if isinstance(change, changes.ConfigureWithDefaults) else None
    return {**(defaults or {}), **change.document}, ()


def _accept(state: StateFields, target: Any, identity: _Identity) -> ChangeResult:
    """Replaces the document in force if the new one is valid, and records the accepted version."""
    result = _replace(state, target)
    if result.outcome is Outcome.ACCEPTED and identity.version is not None:
        state.accepted_versions.record(identity.version, identity.digest)
        state.version_changed_at = state.number
    return result


def _replace(state: StateFields, target: Any) -> ChangeResult:
    """Replaces the document in force if `target` is valid; drops evacuations and placements it no longer covers."""
    checked, issues = revise_document(state.checked, target)
    if checked is None:
        return with_issues(Outcome.REJECTED, issues)
    catalogue = checked.catalogue
    state.checked, state.doc, state.catalogue = checked, checked.document, catalogue
    state.evacuated = tuple(zone for zone in state.evacuated if zone in catalogue.zones)
    state.evacuation_changed_at = {
        zone: number for zone, number in state.evacuation_changed_at.items() if zone in catalogue.zones
    }
    models = {model.name for model in catalogue.models}
    state.pairs = {model: pair for model, pair in state.pairs.items() if model in models}
    state.generation += 1
    return accepted(state.generation)


# the proposed form of a configuration ---------------------------------------------------------------------------------


def compact_form(state: StateFields, change: changes.Configure) -> changes.OperatorChange:
    """Returns the shortest change to propose for a configuration.

    That is its digest if its result does not depend on its content, its difference from the configuration in force if
    that is shorter, or else the configuration itself.
    """
    identity = _Identity.of(change)
    if change.base_version != state.version or state.accepted_versions.contains(identity.version, identity.digest):
        return changes.ConfigureByDigest(change.request, *identity, ())
    target, issues = _resulting_document(state, change)
    checked = None
    if not issues:
        checked, issues = revise_document(state.checked, target)
    if checked is None:
        return changes.ConfigureByDigest(change.request, *identity, tuple(issues[:MAX_STORED_ISSUES]))
    return change if change.is_part else _as_difference(state, change, identity, checked)


def _as_difference(
    state: StateFields, change: changes.Configure, identity: _Identity, target: CheckedDocument
) -> changes.OperatorChange:
    """Returns a whole configuration as its difference from the one in force if that is shorter by half, else as is."""
    if state.checked is None:
        return change
    difference = difference_between(state.checked, target)
    if not is_worthwhile(difference, change.document):
        return change
    return changes.ConfigureByDifference(change.request, *identity, difference, document_digest(target.document))
