"""Remembers which configuration versions were accepted, so that a repeated proposal is recognized."""

from dataclasses import dataclass, field
from typing import Any, Self

MAX_ACCEPTED_VERSIONS = 1024  # versions kept; with a digest of 32 hex digits each, about 50 kB of a snapshot


@dataclass(slots=True)
class AcceptedVersions:
    """Maps the version of each accepted configuration to the digest of its content; keeps the newest 1,024.

    Each accepted configuration has a higher version than the one before, so the lowest versions are evicted first;
    `forgotten` is the highest evicted version. Whether a change at or below it was accepted is unknown: such a change
    is neither acknowledged nor rejected.

    >>> accepted = AcceptedVersions()
    >>> for version in range(1, MAX_ACCEPTED_VERSIONS + 3): accepted.record(version, "d")
    >>> accepted.forgotten, accepted.contains(3, "d"), accepted.contains(3, "other")
    (2, True, False)
    >>> accepted.may_be_forgotten(1, 2), accepted.may_be_forgotten(2, 2)
    (True, False)
    """

    digests: dict[int, str] = field(default_factory=dict)
    forgotten: int = 0

    def record(self, version: int, content_digest: str) -> None:
        """Records the digest of content accepted as `version`, and evicts the lowest versions over the limit."""
        self.digests[version] = content_digest
        while len(self.digests) > MAX_ACCEPTED_VERSIONS:
            oldest = next(iter(self.digests))
            del self.digests[oldest]
            self.forgotten = oldest

    def contains(self, version: int | None, content_digest: str) -> bool:
        """Returns whether exactly this content was accepted as this version."""
        return version is not None and self.digests.get(version) == content_digest

    def may_be_forgotten(self, base_version: int, version: int | None) -> bool:
        """Returns whether this version may have been accepted and evicted since; it must be above its base version."""
        return version is not None and base_version < version <= self.forgotten

    def copy(self) -> Self:
        """Returns a copy that later records do not change."""
        return type(self)(dict(self.digests), self.forgotten)

    def snapshot(self) -> dict[str, Any]:
        """Returns the digests and the highest evicted version as plain data for a snapshot of the state."""
        return {"digests": tuple(self.digests.items()), "forgotten": self.forgotten}

    @classmethod
    def from_snapshot(cls, snapshot: dict[str, Any] | None, version: int) -> Self:
        """Restores what `snapshot` returned; if that is None, nothing is known about versions up to `version`."""
        if snapshot is None:
            return cls({}, version)
        return cls(dict(snapshot["digests"]), snapshot["forgotten"])
