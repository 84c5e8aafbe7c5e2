"""The interface of the replicated state that the source and the follower of the change feed use."""

from contextlib import AbstractContextManager
from typing import Any, Protocol


class ReplicatedState(Protocol):
    """The interface of a state to which numbered changes are applied and which snapshots replace."""

    number: int
    catalogue: Any

    def apply(self, number: int, change: Any) -> Any:
        """Applies change `number`, which must be the one after the last applied change."""

    def restore(self, snapshot: dict[str, Any]) -> None:
        """Replaces the whole state with that of a snapshot."""

    def snapshot(self) -> dict[str, Any]:
        """Returns the complete state as plain data."""

    def unchanged_on_failure(self) -> AbstractContextManager[None]:
        """Undoes all changes of the block if it raises."""
