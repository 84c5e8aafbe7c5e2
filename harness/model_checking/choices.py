"""The faults and operator requests that a walk can contain; a schedule is a list of them.

`at` is in seconds after the first configuration was acknowledged. A machine selector is resolved when the choice is
applied: "leader" is the current leader, "placer" or "accountant" the current holder of that role's lease, and "0", "1",
... an index into the machines that exist at that time. So a schedule stays playable when choices are removed from it.
"""

from typing import Literal

import msgspec

Direction = Literal["both", "out", "in"]


class Choice(msgspec.Struct, frozen=True, tag_field="kind", kw_only=True):
    """Base class of all faults and operator requests in a schedule."""

    at: float


class Cut(Choice, frozen=True, kw_only=True, tag="cut"):
    """Partitions the machine from the others (or from `towards`) in one or both directions; with `holds` the blocked
    messages are delivered after the partition heals.
    """

    machine: str
    towards: tuple[str, ...] = ()
    direction: Direction = "both"
    holds: bool = False
    seconds: float


class CutOperators(Choice, frozen=True, kw_only=True, tag="cut-operators"):
    """Partitions the operators from a machine: "out" drops its responses, "in" drops the requests to it."""

    machine: str
    direction: Direction = "both"
    holds: bool = False
    seconds: float


class Freeze(Choice, frozen=True, kw_only=True, tag="freeze"):
    """Suspends the process; messages sent to it stay in its receive buffers until it resumes."""

    machine: str
    seconds: float


class Kill(Choice, frozen=True, kw_only=True, tag="kill"):
    """Kills the process and restarts it; the first `writes_kept` unsynced writes survive."""

    machine: str
    seconds: float
    writes_kept: int = 0


class PowerLoss(Choice, frozen=True, kw_only=True, tag="power-loss"):
    """Cuts the power of several machines (all if none is named) at once; those in `wiped` also lose their disks."""

    machines: tuple[str, ...] = ()
    wiped: tuple[str, ...] = ()
    seconds: float
    writes_kept: int = 0
    stagger: float = 0.0


class DiskLoss(Choice, frozen=True, kw_only=True, tag="disk-loss"):
    """Restarts the machine at the same address with an empty disk."""

    machine: str
    seconds: float


class Replace(Choice, frozen=True, kw_only=True, tag="replace"):
    """Removes the machine permanently and starts another one at a new address."""

    machine: str
    seconds: float


class Join(Choice, frozen=True, kw_only=True, tag="join"):
    """Adds a machine at a new address."""


class Leave(Choice, frozen=True, kw_only=True, tag="leave"):
    """Shuts the machine down gracefully (SIGTERM). With `is_final` it is removed, and a replacement is started at a new
    address unless a spare machine is already running.
    """

    machine: str
    seconds: float
    is_final: bool = False


class AtAcknowledgement(Choice, frozen=True, kw_only=True, tag="at-acknowledgement"):
    """Cuts the power of the acknowledging core, or of all cores, `delay` seconds after the next order is acknowledged;
    `wipes` is the number of machines that also lose their disks.
    """

    scope: Literal["answering", "all"] = "answering"
    delay: float = 0.0
    wipes: int = 0
    seconds: float


class SlowDisk(Choice, frozen=True, kw_only=True, tag="slow-disk"):
    """Makes each disk sync of the machine take `delay` seconds."""

    machine: str
    delay: float
    seconds: float


class StalledDisk(Choice, frozen=True, kw_only=True, tag="stalled-disk"):
    """Lets no disk sync of the machine complete for `seconds`."""

    machine: str
    seconds: float


class SlowLink(Choice, frozen=True, kw_only=True, tag="slow-link"):
    """Adds `delay` seconds of latency to messages from the machine ("out"), to it ("in") or both."""

    machine: str
    direction: Direction = "both"
    delay: float
    seconds: float


class SlowMachine(Choice, frozen=True, kw_only=True, tag="slow-machine"):
    """Delays each timer tick of the process by `delay` seconds."""

    machine: str
    delay: float
    seconds: float


class FailingComponent(Choice, frozen=True, kw_only=True, tag="failing-component"):
    """Makes a component of the core raise an exception at every `period`-th event of each kind; "state" fails to apply
    entries.
    """

    machine: str
    component: Literal["membership", "leases", "source", "placer", "provisioner", "inventory_reader", "state"]
    period: int
    seconds: float


class ClockStep(Choice, frozen=True, kw_only=True, tag="clock-step"):
    """Steps the wall clock of the machine by `jump` seconds."""

    machine: str
    jump: float


class Order(Choice, frozen=True, kw_only=True, tag="order"):
    """Sends a configuration change from an operator to each target in turn; its base is `behind` versions older than
    the newest version that the operator knows.
    """

    operator: int
    targets: tuple[str, ...]
    patience: float = 1.0
    behind: int = 0
    skip: int = 0
    padding: int = 0
    is_invalid: bool = False


class Resend(Choice, frozen=True, kw_only=True, tag="resend"):
    """Sends an earlier configuration order again: 0 for `back` is the most recent one."""

    back: int
    targets: tuple[str, ...]
    patience: float = 1.0


class Evacuate(Choice, frozen=True, kw_only=True, tag="evacuate"):
    """Evacuates the area, or restores it if the last order evacuated it; an order that is still unanswered is sent
    again instead.
    """

    zone: int = msgspec.field(name="area")
    targets: tuple[str, ...]
    patience: float = 1.0


class Read(Choice, frozen=True, kw_only=True, tag="read"):
    """Reads the configuration, or the state of the servers, from one core."""

    target: str
    shows: Literal["catalogue", "servers"] = "catalogue"


class Recover(Choice, frozen=True, kw_only=True, tag="calm"):
    """Ends all faults and starts the recovery phase (10 s), in which the liveness rules are checked."""


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
    | FailingComponent
    | ClockStep
    | Order
    | Resend
    | Evacuate
    | Read
    | Recover
)
