"""Views of a core's state for operators (`GET /show/...`)."""

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec

from sumachook.membership.member import Member
from sumachook.placement.placement_status import placement_status

if TYPE_CHECKING:
    from sumachook.nodes.core import Core

Document = dict[str, Any]

CATALOGUE = "catalogue"


def show(view_name: str, core: "Core", now: timedelta) -> Document | None:
    """Returns the document of the named view, marked stale if this core is in no working view; None if unknown."""
    view = _VIEWS.get(view_name)
    if view is None:
        return None
    return {"stale": not core.is_fresh(now), "number": core.state.number, **view(core, now)}


def view_names() -> str:
    """Returns the names of all views as an enumeration for an error message."""
    *most, last = _VIEWS
    return f"{', '.join(most)} or {last}"


def _cohort(core: "Core", now: timedelta) -> Document:
    members = [core.membership.local_member, *core.membership.members.values()]
    view = {"ballot": core.consensus.view[0], "members": core.consensus.members, "leader": core.consensus.leader_name}
    return {
        "members": [_member_document(member) for member in members],
        "roster": core.state.voting_members,
        "view": view,
        "confirmed": core.source.confirmed,
    }


def _member_document(member: Member) -> Document:
    return {
        "node": member.node,
        "role": member.role,
        "area": member.zone,
        "address": member.address,
        "condition": member.status,
        "incarnation": member.incarnation,
        "door": member.http_address,
    }


def _duties(core: "Core", now: timedelta) -> Document:
    return {
        "duties": {
            role: {"holder": holder, "fence": fence} for role, (holder, fence) in core.state.role_holders.items()
        }
    }


def _pairs(core: "Core", now: timedelta) -> Document:
    return {"pairs": core.state.pairs, "held": core.state.model_statuses}


def _servers(core: "Core", now: timedelta) -> Document:
    return {"servers": core.state.servers, "evacuated": core.state.evacuated}


def _catalogue(core: "Core", now: timedelta) -> Document:
    return {"generation": core.state.generation, "catalogue": core.state.doc}


def _lines(core: "Core", now: timedelta) -> Document:
    catalogue = core.state.catalogue
    return {
        "lines": [msgspec.to_builtins(line) for line in catalogue.lines] if catalogue else [],
        "demand": core.placer.demand,
    }


def _places(core: "Core", now: timedelta) -> Document:
    return {"holder": core.state.role_holders["placer"][0], **placement_status(core.provisioner, now)}


def _allowances(core: "Core", now: timedelta) -> Document:
    return {"holder": core.state.role_holders["accountant"][0], "tenants": core.quota_usage.describe(now)}


_VIEWS: dict[str, Callable[["Core", timedelta], Document]] = {
    "cohort": _cohort,
    "duties": _duties,
    "pairs": _pairs,
    "servers": _servers,
    CATALOGUE: _catalogue,
    "lines": _lines,
    "places": _places,
    "allowances": _allowances,
}
