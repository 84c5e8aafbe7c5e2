"""The effect by which parts of a core propose changes of the replicated control state."""

from typing import Any

from sumachook.host.effects import Effect


class ProposeChange(Effect, frozen=True):
    """Proposes a change to the consensus log; the proposer has to retry if the proposal is refused or lost."""

    change: Any
