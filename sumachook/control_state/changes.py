"""The types of change that the replicated control state applies.

A change is stored and sent as a JSON array: its tag, then its fields in order. `pack_entry` encodes a change that way
and `read_change` decodes it. The tags, the order of the fields and their values are a stored format and must not
change.
"""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from sumachook.exceptions import StorageError
from sumachook.transport.codec import read_entry

Document = dict[str, Any]  # an operator's configuration, or a part of one, as received
Issues = tuple[tuple[str, str], ...]  # pairs of a path in the document and the reason why it is invalid


class UnknownChangeError(StorageError):
    """Raised for a stored change whose tag or number of fields this release does not know."""


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all changes; encoded as an array of the tag and the fields."""


# changes of the voting members -----------------------------------------------------------------------------


class FoundCluster(Change, frozen=True, tag="found"):
    """Founds the cluster, as the first change of the log: maps each founding voter to its address ("IP:PORT")."""

    voting_members: dict[str, str]


class ClusterFounded(Change, frozen=True, tag="founded"):
    """Shows, once committed, that the founders form a quorum; it leaves the state as it is."""


class AddVoter(Change, frozen=True, tag="seat-in"):
    """Makes a core a voter."""

    voter: str
    address: str


class RemoveVoter(Change, frozen=True, tag="seat-out"):
    """Removes a core from the voters."""

    voter: str


class ReplaceVoter(Change, frozen=True, tag="seat-replace"):
    """Adds a core as a voter in place of another; both vote until the leaving one is removed."""

    leaving: str
    joining: str
    address: str


# changes requested by operators --------------------------------------------------------------------------------------


class OperatorChange(Change, frozen=True):
    """Base class of the changes that operators request; `request` is the operator's request id, "" if not given."""

    request: str


class ApplyDocument(OperatorChange, frozen=True, tag="apply"):
    """Replaces the configuration in force, or merges a part into it; deduplicated by its request id.

    The change is stale if `if_revision` is given and is not the revision in force.
    """

    document: Any
    is_part: bool
    if_revision: int | None


class Configure(OperatorChange, frozen=True, tag="configure"):
    """Applies a versioned configuration document, or a part of one; deduplicated by its version and content.

    `removals` maps the name of each list to the items that a part removes from it; `base_version` is the version of
    the configuration that the document was made from.
    """

    document: Any
    removals: Any
    is_part: bool
    base_version: int


class ConfigureWithDefaults(Configure, frozen=True, tag="configure"):
    """Applies a versioned configuration like `Configure`, with defaults for fields that a whole document omits."""

    defaults: Document | None


class ConfigureByDigest(OperatorChange, frozen=True, tag="claim"):
    """Proposes a configuration by its digest alone, because its result does not depend on the content.

    The proposing core saw that it can no longer be accepted, or found `issues` in it on its base version.
    """

    digest: str
    base_version: int
    version: int | None
    issues: Issues


class ConfigureByDifference(OperatorChange, frozen=True, tag="revise"):
    """Applies a whole configuration, sent as its difference from the base version and the digest of the whole."""

    digest: str
    base_version: int
    version: int | None
    difference: Any
    document_digest: str


class Evacuate(OperatorChange, frozen=True, tag="evacuate"):
    """Evacuates a zone: it gets no requests until it is restored."""

    zone: str


class Restore(OperatorChange, frozen=True, tag="restore"):
    """Reopens an evacuated zone for requests."""

    zone: str


class OperatorCall(Change, frozen=True, tag="order"):
    """Wraps an operator's change with the call that requested it; the fields are those of `change_attempts.Attempt`."""

    origin: str
    number: int
    seen: int
    change: OperatorChange


# changes of the role holders ------------------------------------------------------------------------------------------


class AcquireRole(Change, frozen=True, tag="duty-fill"):
    """Assigns a vacant role to a core with the next fencing token."""

    role: str
    holder: str
    fencing_token: int


class ReleaseRole(Change, frozen=True, tag="duty-vacate"):
    """Makes a role vacant if its holder still has this fencing token."""

    role: str
    fencing_token: int


# changes of servers and placement --------------------------------------------------------------------------


class UpdateServers(Change, frozen=True, tag="servers"):
    """Replaces the servers, by name; `basis` is the number of the change that set the list to be replaced."""

    basis: int
    servers: dict[str, Any]


class PlaceReplicas(Change, frozen=True, tag="pairs"):
    """Replaces the placement plan: maps each model to the names of its first and second server, "" for none."""

    fencing_token: int
    pairs: Mapping[str, Sequence[str]]


class UpdateLoadedModels(Change, frozen=True, tag="held"):
    """Updates the status of each model loaded on each given server; None for a server whose models are unknown."""

    fencing_token: int
    loaded_models: Mapping[str, Mapping[str, str] | None]


_TYPES: dict[str, type[Change]] = {
    str(change_type.__struct_config__.tag): change_type
    for change_type in (
        FoundCluster,
        ClusterFounded,
        AddVoter,
        RemoveVoter,
        ReplaceVoter,
        ApplyDocument,
        Configure,
        ConfigureByDigest,
        ConfigureByDifference,
        Evacuate,
        Restore,
        OperatorCall,
        AcquireRole,
        ReleaseRole,
        UpdateServers,
        PlaceReplicas,
        UpdateLoadedModels,
    )
}


def tag_of(change: Change) -> str:
    """Returns the tag that identifies the type of a change in its stored form.

    >>> tag_of(Evacuate("r-1", "hall"))
    'evacuate'
    """
    return str(change.__struct_config__.tag)


def read_change(entry: bytes) -> Change:
    """Decodes the change in a log entry.

    >>> read_change(b'["duty-fill","placer","core-1",3]')
    AcquireRole(role='placer', holder='core-1', fencing_token=3)
    """
    return change_of(read_entry(entry))


def change_of(values: Sequence[Any]) -> Change:
    """Decodes a change from its stored array, with tuples for lists; raises UnknownChangeError for any other array."""
    tag, *fields = values
    change_type = _TYPES.get(tag)
    if change_type is None:
        raise UnknownChangeError(f"unknown change tag {tag!r:.100}")
    if change_type is OperatorCall:
        fields[-1] = change_of(fields[-1])
    elif change_type is Configure and len(fields) == len(ConfigureWithDefaults.__struct_fields__):
        change_type = ConfigureWithDefaults
    try:
        return change_type(*fields)
    except TypeError as error:
        raise UnknownChangeError(f"change {tag!r} does not have {len(fields)} fields") from error
