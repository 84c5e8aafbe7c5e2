"""What may happen at a moment of a walk; a story is a list of these.

`at` counts seconds from the moment at which the first configuration stood. A machine is named by "leader", which is
whoever leads then, by "placer" or "accountant", which is who holds the lease of that role then, or by its place among
the machines that exist then ("0", "1", ...), so that a story stays playable when choices are taken out of it.
"""

from typing import Literal

import msgspec

Direction = Literal["both", "out", "in"]


class Choice(msgspec.Struct, frozen=True, tag_field="kind", kw_only=True):
    """One fault or one order."""

    at: float


class Cut(Choice, frozen=True, kw_only=True, tag="cut"):
    """The machine is cut off from the others (or those of `towards`), both ways or one; with `holds` what was sent
    arrives late.
    """

    machine: str
    towards: tuple[str, ...] = ()
    direction: Direction = "both"
    holds: bool = False
    seconds: float


class CutOperators(Choice, frozen=True, kw_only=True, tag="cut-operators"):
    """The operators are cut off from a machine; "out": its answers are lost, "in": their requests are."""

    machine: str
    direction: Direction = "both"
    holds: bool = False
    seconds: float


class Freeze(Choice, frozen=True, kw_only=True, tag="freeze"):
    """The process stands still; what is sent to it lies in its buffers until it wakes."""

    machine: str
    seconds: float


class Kill(Choice, frozen=True, kw_only=True, tag="kill"):
    """The process ends and is started again; of unsynced writes the first `writes_kept` stay."""

    machine: str
    seconds: float
    writes_kept: int = 0


class PowerLoss(Choice, frozen=True, kw_only=True, tag="power-loss"):
    """Several machines (all, if none is named) lose power at once; those of `wiped` lose their disks with it."""

    machines: tuple[str, ...] = ()
    wiped: tuple[str, ...] = ()
    seconds: float
    writes_kept: int = 0
    stagger: float = 0.0


class DiskLoss(Choice, frozen=True, kw_only=True, tag="disk-loss"):
    """The machine comes back at its address with an empty disk."""

    machine: str
    seconds: float


class Replace(Choice, frozen=True, kw_only=True, tag="replace"):
    """The machine is gone for good; another comes at a new address."""

    machine: str
    seconds: float


class Join(Choice, frozen=True, kw_only=True, tag="join"):
    """A machine more, at a new address."""


class Leave(Choice, frozen=True, kw_only=True, tag="leave"):
    """A planned end (SIGTERM). With `is_final` the machine is removed, and another started at a new address if no spare
    one stands ready.
    """

    machine: str
    seconds: float
    is_final: bool = False


class AtAcknowledgement(Choice, frozen=True, kw_only=True, tag="at-acknowledgement"):
    """`delay` seconds after the next order is acknowledged the core that did it, or all cores, lose power; with `wipes`
    some disks too.
    """

    scope: Literal["answering", "all"] = "answering"
    delay: float = 0.0
    wipes: int = 0
    seconds: float


class SlowDisk(Choice, frozen=True, kw_only=True, tag="slow-disk"):
    """Each sync takes `delay` seconds."""

    machine: str
    delay: float
    seconds: float


class StalledDisk(Choice, frozen=True, kw_only=True, tag="stalled-disk"):
    """No sync ends for a while."""

    machine: str
    seconds: float


class SlowLink(Choice, frozen=True, kw_only=True, tag="slow-link"):
    """What the machine sends, or with "in" what is sent to it, takes `delay` seconds longer."""

    machine: str
    direction: Direction = "both"
    delay: float
    seconds: float


class SlowMachine(Choice, frozen=True, kw_only=True, tag="slow-machine"):
    """Each pulse of the process comes `delay` seconds late."""

    machine: str
    delay: float
    seconds: float


class ClockStep(Choice, frozen=True, kw_only=True, tag="clock-step"):
    """The wall clock of the machine jumps."""

    machine: str
    jump: float


class Order(Choice, frozen=True, kw_only=True, tag="order"):
    """An operator configures, on the newest version that it knows, `behind` versions older; sent to one target after
    the other.
    """

    operator: int
    targets: tuple[str, ...]
    patience: float = 1.0
    behind: int = 0
    skip: int = 0
    padding: int = 0
    is_invalid: bool = False


class Resend(Choice, frozen=True, kw_only=True, tag="resend"):
    """The `back`-th last order is sent once more."""

    back: int
    targets: tuple[str, ...]
    patience: float = 1.0


class Evacuate(Choice, frozen=True, kw_only=True, tag="evacuate"):
    """The area is evacuated, or restored if the last order evacuated it; an order without an answer is sent again
    instead.
    """

    zone: int = msgspec.field(name="area")
    targets: tuple[str, ...]
    patience: float = 1.0


class Read(Choice, frozen=True, kw_only=True, tag="read"):
    """An operator reads the configuration back."""

    target: str
    shows: Literal["catalogue", "servers"] = "catalogue"


class Calm(Choice, frozen=True, kw_only=True, tag="calm"):
    """All faults have ended or are ended now; what must hold soon after that is checked (10 s)."""


AnyChoice = (
    Cut
    | CutOperators
    | Freeze
    | Kill
    | PowerLoss
    | DiskLoss
    | Replace
    | Join
    | Leave
    | AtAcknowledgement
    | SlowDisk
    | StalledDisk
    | SlowLink
    | SlowMachine
    | ClockStep
    | Order
    | Resend
    | Evacuate
    | Read
    | Calm
)
