"""The data of the replicated control state, which the handlers of its changes read and modify."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from sumachook.configuration.catalogue import Catalogue
from sumachook.configuration.checked_document import CheckedDocument
from sumachook.control_state.accepted_versions import AcceptedVersions
from sumachook.control_state.results import ChangeResult

PLACER, ACCOUNTANT = "placer", "accountant"
SINGLETON_ROLES = (PLACER, ACCOUNTANT)  # the singleton roles, each held by at most one core at a time


# Fields that handlers modify in place; they replace the values of all others.
_MUTABLE_FIELDS = ("accepted_versions", "evacuation_changed_at", "requests", "role_holders", "model_statuses")


class RoleHolder(NamedTuple):
    """The holder of a role ("" if it is vacant) and the last fencing token that was issued for it."""

    holder: str
    fencing_token: int


class CompletedRequest(NamedTuple):
    """The content digest of an operator's completed request, and its result."""

    content_digest: str
    result: ChangeResult


class StateFields:
    """The data that results from the changes applied so far.

    Attributes
    ----------
    number
        The number of the last change that was applied.
    generation
        The revision of what operators configured; each accepted change of theirs increments it.
    doc, checked, catalogue
        The configuration in force: as received, with the results of its checks, and typed; None before the first one.
    accepted_versions, version_changed_at
        The configurations that were accepted, and the number of the change that set the version in force.
    evacuated, evacuation_changed_at
        The evacuated zones, sorted, and the number of the change that last evacuated or restored each zone.
    requests
        Completed requests of operators by id, oldest first.
    role_holders
        The holder and the last fencing token of each role.
    voting_members
        The address ("IP:PORT") of each voter.
    servers, servers_changed_at
        The servers that the platform lists, by name, and the number of the change that set the list.
    pairs
        The names of the first and the second server of each model.
    model_statuses
        The status of each model that a server has loaded, by server.
    """

    __slots__ = (
        "number",
        "generation",
        "doc",
        "checked",
        "catalogue",
        "accepted_versions",
        "version_changed_at",
        "evacuated",
        "evacuation_changed_at",
        "requests",
        "role_holders",
        "voting_members",
        "servers",
        "servers_changed_at",
        "pairs",
        "model_statuses",
    )

    def __init__(self) -> None:
        self.number = 0
        self.generation = 0
        self.doc: dict[str, Any] | None = None
        self.checked: CheckedDocument | None = None
        self.catalogue: Catalogue | None = None
        self.accepted_versions = AcceptedVersions()
        self.version_changed_at = 0
        self.evacuated: tuple[str, ...] = ()
        self.evacuation_changed_at: dict[str, int] = {}
        self.requests: dict[str, CompletedRequest] = {}
        self.role_holders = dict.fromkeys(SINGLETON_ROLES, RoleHolder("", 0))
        self.voting_members: dict[str, str] = {}
        self.servers: dict[str, Any] = {}
        self.servers_changed_at = 0
        self.pairs: dict[str, tuple[str, ...]] = {}
        self.model_statuses: dict[str, dict[str, str]] = {}

    @contextmanager
    def unchanged_on_failure(self) -> Iterator[None]:
        """Undoes all changes of the block if it raises, so that a change is applied completely or not at all."""
        before = {name: getattr(self, name) for name in StateFields.__slots__}
        before |= {name: before[name].copy() for name in _MUTABLE_FIELDS}
        try:
            yield
        except BaseException:
            for name, value in before.items():
                setattr(self, name, value)
            raise

    @property
    def version(self) -> int:
        """The version that the configuration in force declares, 0 if there is no configuration."""
        return self.catalogue.version if self.catalogue is not None else 0

    def is_open(self, zone: str) -> bool:
        """Returns whether a zone gets requests; an unconfigured zone does not, since it cannot be evacuated."""
        return zone not in self.evacuated and (self.catalogue is None or zone in self.catalogue.zones)

    def fence(self, role: str, holder: str) -> int:
        """Returns the fencing token of a role if `holder` holds it, else 0."""
        current = self.role_holders[role]
        return current.fencing_token if current.holder == holder else 0
