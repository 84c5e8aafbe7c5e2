"""Injects and ends the faults of a schedule, within the number of losses that the cluster must tolerate."""

from datetime import timedelta
from functools import singledispatchmethod

from harness.fakes.raising_component import FailurePlan, FailurePoint, RaisingComponent, RaisingState
from harness.model_checking import choices
from harness.model_checking.control_deployment import ControlDeployment
from harness.model_checking.losses import Losses

LEAVE_GRACE = 8.0  # seconds after which a machine that was asked to leave is killed
LEAVE_POLL_INTERVAL = 0.02  # seconds between two checks whether a leaving machine has stopped
NORMAL_DISK_DELAY = 0.002


class Faults:
    """Applies faults to a deployment; skips a fault that would exceed the tolerated number of lost machines.

    With `is_wild`, transient faults may hit any number of machines at once, but lost disks stay within the tolerated
    number.
    """

    def __init__(self, deployment: ControlDeployment, losses: Losses, is_wild: bool):
        self.deployment, self.losses, self.is_wild = deployment, losses, is_wild
        self.armed, self.leaving, self.starting, self.failure_plans = [], set(), {}, []
        deployment.invariants.on_acknowledged = self._acknowledged

    @property
    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return self.deployment.now.total_seconds()

    @singledispatchmethod
    def apply(self, choice):
        """Injects one fault; raises TypeError for a choice that is not a fault."""
        raise TypeError(f"{choice!r} is not a fault")

    def end_all(self):
        """Ends all transient faults and restarts all stopped machines, for the start of a recovery phase."""
        deployment = self.deployment
        self.armed = []
        for name in list(self.starting):
            self._start(name)
        for name in list(self.leaving):
            deployment.kill(name)
        for plan in self.failure_plans:
            self._end_failures(plan)
        deployment.heal()
        deployment.slow_links.clear()
        for name in deployment.names:
            box = deployment.boxes[name]
            box.disk.stalled_until, box.extra_tick_delay, box.disk.delay = (
                deployment.now,
                _duration(0),
                _duration(NORMAL_DISK_DELAY),
            )
            if box.is_frozen:
                deployment.wake(name)
        for name in self.losses.faulty_until:
            self.losses.faulty_until[name] = min(self.losses.faulty_until[name], self.now)

    # shared helpers -----------------------------------------------------------------

    def _later(self, seconds, call, *arguments):
        self.deployment._later(_duration(seconds), call, *arguments)

    def _begin_fault(self, selector, seconds):
        """Returns the name of the selected machine and records its fault, or None if the fault is not tolerated."""
        name = self.deployment.name_of(selector)
        if not self.is_wild and not self.losses.may_lose(self.now, {name}):
            return None
        self.losses.add_fault(name, self.now, self.now + seconds)
        return name

    def _start(self, name):
        box = self.deployment.boxes[name]
        if self.starting.pop(name, None) and box.machine is None and name in self.deployment.names:
            self.deployment.start(name)

    def _start_later(self, name, seconds):
        self.starting[name] = True
        self._later(seconds, self._start, name)

    def _add_machine(self):
        self.losses.add_machine(self.deployment.add_machine(), self.now)

    def _add_missing(self):
        if len(self.deployment.names) < self.losses.voters:
            self._add_machine()

    # the network -------------------------------------------------------------------------

    def _links(self, name, others, direction):
        """Returns the links in this direction between the machine and the others that are not yet cut."""
        links = set()
        if direction in ("both", "out"):
            links |= {(name, other) for other in others if other != name}
        if direction in ("both", "in"):
            links |= {(other, name) for other in others if other != name}
        return links - self.deployment.cuts

    def _cut(self, name, others, direction, holds, seconds):
        links = self._links(name, others, direction)
        self.deployment.cuts |= links
        if holds:
            self.deployment.holding |= links
        self._later(seconds, self.deployment.heal, links)

    @apply.register
    def _(self, choice: choices.Cut):
        name = self._begin_fault(choice.machine, choice.seconds)
        if name is not None:
            others = [
                self.deployment.name_of(selector) for selector in choice.towards
            ] or self.deployment.partitionable()
            self._cut(name, others, choice.direction, choice.holds, choice.seconds)

    @apply.register
    def _(self, choice: choices.CutOperators):
        self._cut(
            self.deployment.name_of(choice.machine), ["operators"], choice.direction, choice.holds, choice.seconds
        )

    @apply.register
    def _(self, choice: choices.SlowLink):
        name = self._begin_fault(choice.machine, choice.seconds)
        if name is None:
            return
        links = self._links(name, self.deployment.partitionable(), choice.direction)
        for link in links:
            self.deployment.slow_links[link] = _duration(choice.delay)
        self._later(choice.seconds, self._restore_links, links)

    def _restore_links(self, links):
        for link in links:
            self.deployment.slow_links.pop(link, None)

    # processes -------------------------------------------------------------------------------

    @apply.register
    def _(self, choice: choices.Freeze):
        name = self._begin_fault(choice.machine, choice.seconds)
        if name is None or self.deployment.boxes[name].is_frozen:
            return
        self.deployment.freeze(name)
        self._later(choice.seconds, self._wake, name, self.deployment.boxes[name].incarnation)

    def _wake(self, name, incarnation):
        box = self.deployment.boxes[name]
        if box.is_frozen and box.incarnation == incarnation:
            self.deployment.wake(name)

    @apply.register
    def _(self, choice: choices.Kill):
        name = self._begin_fault(choice.machine, choice.seconds)
        if name is not None:
            self.deployment.kill(name, choice.writes_kept)
            self._start_later(name, choice.seconds)

    @apply.register
    def _(self, choice: choices.SlowMachine):
        name = self._begin_fault(choice.machine, choice.seconds)
        if name is not None:
            self.deployment.boxes[name].extra_tick_delay = _duration(choice.delay)
            self._later(choice.seconds, self._restore_speed, name)

    def _restore_speed(self, name):
        self.deployment.boxes[name].extra_tick_delay = _duration(0)

    @apply.register
    def _(self, choice: choices.ClockStep):
        self.deployment.boxes[self.deployment.name_of(choice.machine)].clock.jump += _duration(choice.jump)

    # disks ---------------------------------------------------------------------------------------

    @apply.register
    def _(self, choice: choices.SlowDisk):
        name = self._begin_fault(choice.machine, choice.seconds)
        if name is not None:
            self.deployment.boxes[name].disk.delay = _duration(choice.delay)
            self._later(choice.seconds, self._restore_disk, name)

    def _restore_disk(self, name):
        self.deployment.boxes[name].disk.delay = _duration(NORMAL_DISK_DELAY)

    @apply.register
    def _(self, choice: choices.StalledDisk):
        name = self._begin_fault(choice.machine, choice.seconds)
        if name is not None:
            self.deployment.boxes[name].disk.stalled_until = self.deployment.now + _duration(choice.seconds)

    @apply.register
    def _(self, choice: choices.DiskLoss):
        name = self.deployment.name_of(choice.machine)
        if self.losses.may_lose(self.now, {name}):
            self._lose_disk(name, choice.seconds)

    def _lose_disk(self, name, seconds):
        self.losses.add_disk_loss(name, self.now, self.now + seconds)
        self.deployment.lose_power(name)
        self.deployment.wipe(name)
        self._start_later(name, seconds)

    @apply.register
    def _(self, choice: choices.PowerLoss):
        names = [self.deployment.name_of(selector) for selector in choice.machines] or list(self.deployment.names)
        wiped = {self.deployment.name_of(selector) for selector in choice.wiped}
        self._lose_power(names, wiped, choice.seconds, choice.writes_kept, choice.stagger)

    def _lose_power(self, names, wiped, seconds, writes_kept, stagger):
        """Cuts the power of the machines; the disks of `wiped` are lost only within the tolerated number of losses."""
        if not self.losses.may_lose(self.now, wiped):
            wiped = set()
        if not self.is_wild and not self.losses.may_lose(self.now, set(names) | wiped):
            return
        for place, name in enumerate(dict.fromkeys([*names, *wiped])):
            down = seconds + place * stagger
            if name in wiped:
                self._lose_disk(name, down)
            else:
                self.losses.add_fault(name, self.now, self.now + down)
                self.deployment.lose_power(name, writes_kept)
                self._start_later(name, down)

    @apply.register
    def _(self, choice: choices.AtAcknowledgement):
        self.armed.append(choice)

    def _acknowledged(self, attempt):
        armed, self.armed = self.armed, []
        name = self.deployment.by_http_address[attempt.target].name
        for choice in armed:
            self._later(choice.delay, self._lose_power_after, choice, name)

    def _lose_power_after(self, choice, name):
        names = [name] if choice.scope == "answering" else list(self.deployment.names)
        if name in self.deployment.names:
            order = [name, *(other for other in names if other != name)]
            self._lose_power(names, set(order[: choice.wipes]), choice.seconds, 0, 0.0)

    # machines that join and leave -------------------------------------------------------------------

    @apply.register
    def _(self, choice: choices.Join):
        if len(self.deployment.names) <= self.losses.voters:
            self._add_machine()

    @apply.register
    def _(self, choice: choices.Replace):
        name = self.deployment.name_of(choice.machine)
        if self.losses.may_lose(self.now, {name}):
            self.losses.remove_machine(name, self.now, is_planned=False)
            self.deployment.remove(name)
            self._later(choice.seconds, self._add_missing)

    @apply.register
    def _(self, choice: choices.Leave):
        name = self.deployment.name_of(choice.machine)
        box = self.deployment.boxes[name]
        if name in self.leaving or box.machine is None or box.is_frozen:
            return
        if choice.is_final:
            if not self.losses.may_leave(self.now, name):
                return
            self.losses.remove_machine(name, self.now, is_planned=True)
        elif self._begin_fault(choice.machine, LEAVE_GRACE + choice.seconds) is None:
            return
        self.leaving.add(name)
        self.deployment.stop(name)
        self._later(LEAVE_POLL_INTERVAL, self._poll_leaving, name, box.incarnation, choice, self.now + LEAVE_GRACE)

    def _poll_leaving(self, name, incarnation, choice, kill_at):
        box = self.deployment.boxes[name]
        if box.incarnation == incarnation and self.now < kill_at:
            self._later(LEAVE_POLL_INTERVAL, self._poll_leaving, name, incarnation, choice, kill_at)
            return
        self.leaving.discard(name)
        self.deployment.kill(name)
        if not choice.is_final:
            self.losses.faulty_until[name] = self.now + choice.seconds
            self._start_later(name, choice.seconds)
        elif name in self.deployment.names:
            self.deployment.remove(name)
            self._later(choice.seconds, self._add_missing)

    # components ----------------------------------------------------------------------------

    @apply.register
    def _(self, choice: choices.FailingComponent):
        name = self._begin_fault(choice.machine, choice.seconds)
        core = self.deployment.boxes[name].machine if name is not None else None
        if core is None:
            return
        self.deployment.tolerates_failures = True
        plan = FailurePlan(choice.period, FailurePoint.BEFORE)
        self.failure_plans.append(plan)
        if choice.component == "state":
            RaisingState.install(core.state, plan)
        else:
            setattr(core, choice.component, RaisingComponent(getattr(core, choice.component), plan))
        self._later(choice.seconds, self._end_failures, plan)

    @staticmethod
    def _end_failures(plan):
        plan.is_active = False


def _duration(seconds):
    return timedelta(seconds=seconds)
