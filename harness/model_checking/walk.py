"""Long seeded random walks. Rare faults are drawn as often as common ones, and often at the end of another fault."""

from random import Random

from harness.model_checking import choices
from harness.model_checking.schedule import RECOVERY_SECONDS, Schedule

EPISODE_SECONDS = (12.0, 30.0)  # shortest and longest episode of faults in seconds, before its recovery phase
LOSS_COOLDOWN = 4.0  # seconds for which a machine still counts as lost after its fault
SELECTORS = ("leader", "leader", "leader", "0", "1", "2", "3", "4")
DURATIONS = (0.1, 0.3, 0.5, 0.7, 0.9, 1.1, 1.4, 1.6, 2.0, 3.0, 5.0)
ROLES = ("placer", "accountant")
COMPONENTS = ("membership", "leases", "source", "placer", "provisioner", "inventory_reader", "state", "state")
LEASE_DURATIONS = (0.5, 1.1, 1.6, 2.0, 3.0, 5.0)
INBOUND_DELAYS = (0.1, 0.2, 0.3, 0.5)  # seconds added to the latency of a machine's incoming messages
READ_INTERVAL = 0.08  # seconds between two reads from a machine with delayed incoming messages
WRITES_KEPT = (0, 0, 1, 2, 5)
PADDINGS = (0, 0, 0, 0, 200, 20_000)


def draw_schedule(seed: int, voters: int, seconds: float) -> Schedule:
    """Draws a walk of at least `seconds` seconds; the same seed always yields the same schedule."""
    random = Random(seed * 10 + voters)
    is_wild, entries = random.random() < 0.6, random.choice((0, 12, 40))
    drawn, at = [], 0.0
    while at < seconds:
        length = random.uniform(*EPISODE_SECONDS)
        drawn += _Episode(random, at, at + length).draw_all()
        at += length
        drawn.append(choices.Recover(at=round(at, 3)))
        at += RECOVERY_SECONDS
    return Schedule(
        seed=seed,
        voters=voters,
        is_wild=is_wild,
        entries=entries,
        seconds=at,
        choices=tuple(sorted(drawn, key=lambda choice: choice.at)),
    )


def draw_lease_schedule(seed: int, voters: int, seconds: float) -> Schedule:
    """Draws a walk whose faults hit the holders of role leases, often only their links to the leader.

    While such a link is cut, the leader does not receive the holder's renewals and vacates the role, but the other
    voters still acknowledge them. Only the voters' record of these acknowledgements prevents a successor from holding
    the lease at the same time.
    """
    return _draw_episodes(_LeaseEpisode, Random(f"leases {seed} {voters}"), seed, voters, seconds)


def draw_read_schedule(seed: int, voters: int, seconds: float) -> Schedule:
    """Draws a walk that delays the incoming messages of one machine after the other, while operators read from it.

    Such a machine acknowledges entries and stays connected, but learns late that they are committed. Only the read
    index request to the leader prevents a read that is older than what was acknowledged before it.
    """
    return _draw_episodes(_ReadEpisode, Random(f"reads {seed} {voters}"), seed, voters, seconds)


def draw_failure_schedule(seed: int, voters: int, seconds: float) -> Schedule:
    """Draws a walk in which components of cores raise exceptions, beside few other faults, while operators send orders.

    Such a component loses its own effects only: the committed entries that wait behind it must all be applied.
    """
    return _draw_episodes(_FailureEpisode, Random(f"failures {seed} {voters}"), seed, voters, seconds)


def _draw_episodes(episode: type["_Episode"], random: Random, seed: int, voters: int, seconds: float) -> Schedule:
    """Draws a walk of these episodes, each followed by a recovery phase."""
    drawn, at = [], 0.0
    while at < seconds:
        length = random.uniform(*EPISODE_SECONDS)
        drawn += episode(random, at, at + length).draw_all()
        at += length
        drawn.append(choices.Recover(at=round(at, 3)))
        at += RECOVERY_SECONDS
    return Schedule(seed=seed, voters=voters, seconds=at, choices=tuple(sorted(drawn, key=lambda choice: choice.at)))


class _Episode:
    """Draws the choices of one episode of faults."""

    def __init__(self, random: Random, start: float, end: float):
        self.random, self.start, self.end, self.drawn = random, start, end, []

    def draw_all(self) -> list:
        """Draws faults, overlapping or one after the other, and operator requests for the whole episode."""
        self.random.choice((self._overlapping_faults, self._overlapping_faults, self._sequential_losses))()
        self._orders()
        return [choice for choice in self.drawn if choice.at < self.end]

    def _overlapping_faults(self):
        at = self.start
        while at < self.end:
            end = at
            for _ in range(self.random.choice((1, 1, 1, 2, 2, 3))):
                end = max(end, self._fault(at + self.random.choice((0, 0.01, 0.2))))
            if self.random.random() < 0.4:
                end = max(end, self._fault(end + self.random.choice((-0.05, 0, 0.01, 0.1))))
            at = max(at + 0.3, self.random.choice((at, end)) + self.random.uniform(0.1, 2.5))

    def _sequential_losses(self):
        """Draws losses in succession, each as soon as the previous one no longer counts."""
        at = self.start
        while at < self.end:
            if self.random.random() < 0.5:
                self.drawn.append(choices.Join(at=round(at, 3)))
                at += self.random.uniform(0.2, LOSS_COOLDOWN + 0.5)
            end = self._loss(at) if self.random.random() < 0.8 else self._fault(at)
            if self.random.random() < 0.3:
                end = max(end, self._loss(at + self.random.uniform(0, 1)))
            at = end + LOSS_COOLDOWN + self.random.choice((0.01, 0.1, 0.5))

    # each method draws one fault and returns the second at which it ends ------------------------------------------

    def _add(self, choice_type, at, seconds=0.0, **more):
        fields = {"seconds": seconds} if "seconds" in choice_type.__struct_fields__ else {}
        self.drawn.append(choice_type(at=round(max(at, self.start), 3), **fields, **more))
        return at + seconds

    def _fault(self, at):
        return self.random.choice(
            (
                self._cut,
                self._cut,
                self._cut,
                self._cut,
                self._freeze,
                self._freeze,
                self._kill,
                self._power,
                self._loss,
                self._leave,
                self._disk,
                self._slow,
                self._operators_cut,
                self._clock,
                self._at_acknowledgement,
            )
        )(at)

    def _machine(self):
        return self.random.choice(SELECTORS)

    def _seconds(self):
        return round(self.random.choice(DURATIONS) + self.random.uniform(-0.05, 0.05), 3)

    def _direction(self):
        return self.random.choice(("both", "both", "out", "in"))

    def _cut(self, at):
        towards = (
            tuple(self.random.sample(("0", "1", "2", "3", "4"), self.random.choice((1, 2))))
            if self.random.random() < 0.3
            else ()
        )
        seconds = 20.0 if self.random.random() < 0.05 else self._seconds()
        return self._add(
            choices.Cut,
            at,
            seconds,
            machine=self._machine(),
            towards=towards,
            direction=self._direction(),
            holds=self.random.random() < 0.6,
        )

    def _operators_cut(self, at):
        return self._add(
            choices.CutOperators,
            at,
            self._seconds(),
            machine=self._machine(),
            direction=self._direction(),
            holds=self.random.random() < 0.5,
        )

    def _freeze(self, at):
        return self._add(choices.Freeze, at, self._seconds(), machine=self._machine())

    def _kill(self, at):
        return self._add(
            choices.Kill, at, self._seconds(), machine=self._machine(), writes_kept=self.random.choice(WRITES_KEPT)
        )

    def _power(self, at):
        machines = tuple(self.random.sample(("0", "1", "2", "3", "4"), 2)) if self.random.random() < 0.4 else ()
        wiped = (self._machine(),) if self.random.random() < 0.4 else ()
        return self._add(
            choices.PowerLoss,
            at,
            self._seconds(),
            machines=machines,
            wiped=wiped,
            writes_kept=self.random.choice(WRITES_KEPT),
            stagger=self.random.choice((0, 0.02, 0.3)),
        )

    def _loss(self, at):
        """Draws the loss of a disk, or the planned or unplanned loss of a machine."""
        kind = self.random.choice((choices.DiskLoss, choices.Replace, choices.Leave, choices.Leave))
        more = {"is_final": True} if kind is choices.Leave else {}
        return self._add(kind, at, self._seconds(), machine=self._machine(), **more)

    def _leave(self, at):
        return self._add(
            choices.Leave, at, self._seconds(), machine=self._machine(), is_final=self.random.random() < 0.3
        )

    def _disk(self, at):
        if self.random.random() < 0.5:
            return self._add(choices.StalledDisk, at, self._seconds(), machine=self._machine())
        return self._add(
            choices.SlowDisk, at, self._seconds(), machine=self._machine(), delay=self.random.choice((0.03, 0.15, 0.35))
        )

    def _slow(self, at):
        if self.random.random() < 0.5:
            return self._add(
                choices.SlowMachine,
                at,
                self._seconds(),
                machine=self._machine(),
                delay=self.random.choice((0.1, 0.3, 0.55)),
            )
        return self._add(
            choices.SlowLink,
            at,
            self._seconds(),
            machine=self._machine(),
            direction=self._direction(),
            delay=self.random.choice((0.02, 0.2, 0.5)),
        )

    def _clock(self, at):
        return self._add(
            choices.ClockStep, at, machine=self._machine(), jump=self.random.choice((-86400.0, -30.0, 2.0, 3600.0))
        )

    def _at_acknowledgement(self, at):
        return self._add(
            choices.AtAcknowledgement,
            at,
            self._seconds(),
            scope=self.random.choice(("answering", "all")),
            delay=self.random.choice((0.0, 0.001, 0.004)),
            wipes=self.random.choice((0, 0, 1)),
        )

    # operator requests -----------------------------------------------------------------------------

    def _targets(self):
        return tuple(self.random.choice(("0", "1", "2", "3", "4")) for _ in range(self.random.choice((1, 2, 4))))

    def _orders(self):
        at, pace = self.start, self.random.choice((0.08, 0.2, 0.5))
        while at < self.end:
            at += self.random.expovariate(1 / pace)
            self.random.choice(
                (self._order, self._order, self._order, self._resend, self._read, self._read, self._evacuate)
            )(at)

    def _order(self, at):
        operators = range(3) if self.random.random() < 0.2 else (self.random.randrange(3),)
        for operator in operators:
            self._add(
                choices.Order,
                at,
                operator=operator,
                targets=self._targets(),
                patience=self.random.choice((0.3, 1.0)),
                behind=self.random.choice((0, 0, 0, 0, 0, 1)),
                skip=self.random.choice((0, 0, 0, 2)),
                padding=self.random.choice(PADDINGS),
                is_invalid=self.random.random() < 0.05,
            )

    def _resend(self, at):
        self._add(choices.Resend, at, back=min(30, int(self.random.expovariate(0.3))), targets=self._targets())

    def _read(self, at):
        self._add(
            choices.Read, at, target=self._machine(), shows=self.random.choice(("catalogue", "catalogue", "servers"))
        )

    def _evacuate(self, at):
        self._add(choices.Evacuate, at, zone=self.random.randrange(3), targets=self._targets())


class _LeaseEpisode(_Episode):
    """Draws faults of the holders of role leases, one after the other."""

    def draw_all(self) -> list:
        """Draws faults of lease holders and operator requests for the whole episode."""
        at = self.start
        while at < self.end:
            at = self._lease_fault(at) + self.random.uniform(0.2, 2.0)
        self._orders()
        return [choice for choice in self.drawn if choice.at < self.end]

    def _machine(self):
        return self.random.choice(ROLES)

    def _seconds(self):
        return round(self.random.choice(LEASE_DURATIONS) + self.random.uniform(-0.05, 0.05), 3)

    def _lease_fault(self, at):
        return self.random.choice((self._cut_from_leader, self._cut_from_leader, self._freeze, self._kill))(at)

    def _cut_from_leader(self, at):
        return self._add(
            choices.Cut,
            at,
            self._seconds(),
            machine=self._machine(),
            towards=("leader",),
            direction=self._direction(),
            holds=self.random.random() < 0.5,
        )


class _ReadEpisode(_Episode):
    """Draws delayed incoming messages for one machine after the other, with reads from it."""

    def draw_all(self) -> list:
        """Draws slow links to one machine at a time, reads from that machine and orders for the whole episode."""
        at = self.start
        while at < self.end:
            at = self._delay_inbound(at) + self.random.uniform(0.2, 1.0)
        self._orders()
        return [choice for choice in self.drawn if choice.at < self.end]

    def _delay_inbound(self, at):
        machine, seconds = self.random.choice(("0", "1", "2", "3", "4")), self.random.uniform(1.0, 4.0)
        end = self._add(
            choices.SlowLink,
            at,
            round(seconds, 3),
            machine=machine,
            direction="in",
            delay=self.random.choice(INBOUND_DELAYS),
        )
        while at < end:
            self._add(choices.Read, at, target=machine)
            at += READ_INTERVAL
        return end


class _FailureEpisode(_Episode):
    """Draws failing components, one or several at a time, and now and then a fault of another kind."""

    def draw_all(self) -> list:
        """Draws failing components, other faults and operator requests for the whole episode."""
        at = self.start
        while at < self.end:
            for _ in range(self.random.choice((1, 1, 2))):
                self._fail_component(at)
            if self.random.random() < 0.3:
                self._kill(at + self.random.uniform(0.1, 2.0))
            at += self.random.uniform(0.5, 3.0)
        self._orders()
        return [choice for choice in self.drawn if choice.at < self.end]

    def _fail_component(self, at):
        return self._add(
            choices.FailingComponent,
            at,
            self._seconds(),
            machine=self._machine(),
            component=self.random.choice(COMPONENTS),
            period=self.random.choice((1, 2, 3, 7)),
        )
