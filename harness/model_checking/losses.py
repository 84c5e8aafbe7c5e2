"""Counts the machines that are lost at a time, by the rule of the platform."""

CATCH_UP = 4.0  # seconds for which a machine still counts as lost after its fault ended or its successor started
NEVER = -1e9


class Losses:
    """Counts lost machines, so that a walk never exceeds the tolerated number of losses.

    A machine counts as lost during a fault and for CATCH_UP after it. A removed machine counts as lost until its
    successor has run for CATCH_UP. A planned leave after the successor has run for that long does not count; an
    unplanned loss always counts for CATCH_UP. A walk may inject more transient faults than tolerated, but then no disk
    is lost until they have ended and CATCH_UP has passed again.
    """

    def __init__(self, voters: int):
        self.voters, self.tolerated = voters, (voters - 1) // 2
        self.joined_at, self.faulty_until, self.blank_since, self.removed_at = {}, {}, {}, {}
        self.exceeded_at, self.last_fault_at = NEVER, NEVER

    def add_machine(self, name: str, at: float):
        """Registers a machine that started with an empty disk at `at`; NEVER stands for a founding machine."""
        self.joined_at[name] = at

    def remove_machine(self, name: str, now: float, is_planned: bool):
        """Records the permanent removal of a machine."""
        if not is_planned:
            self.removed_at[name] = now
        self.last_fault_at = max(self.last_fault_at, now)
        for times in (self.joined_at, self.faulty_until, self.blank_since):
            times.pop(name, None)

    def add_fault(self, name: str, now: float, until: float):
        """Records a transient fault of one machine that lasts until `until`."""
        self.last_fault_at = max(self.last_fault_at, now)
        self.faulty_until[name] = max(self.faulty_until.get(name, NEVER), until)

    def add_disk_loss(self, name: str, now: float, starts_at: float):
        """Records the loss of a disk; the machine restarts with an empty disk at `starts_at`."""
        self.add_fault(name, now, starts_at)
        self.blank_since[name] = starts_at

    def lost(self, now: float) -> set:
        """Returns the machines that count as lost, with a placeholder for each removed machine whose successor has run
        for less than CATCH_UP.

        A machine with an empty disk can catch up only while no more than the tolerated number is lost, so its CATCH_UP
        starts no earlier than that.
        """
        since = self.exceeded_at
        counted = {name for name, at in self.joined_at.items() if at == NEVER or now >= max(at, since) + CATCH_UP}
        faulty = {name for name in counted if now < self.faulty_until.get(name, NEVER) + CATCH_UP}
        learning = {
            name for name in counted if name in self.blank_since and now < max(self.blank_since[name], since) + CATCH_UP
        }
        removed = {name for name, at in self.removed_at.items() if now < max(at, since) + CATCH_UP}
        missing = self.voters - len(counted) - len(removed)
        return faulty | learning | removed | {f"missing-{place}" for place in range(missing)}

    def update(self, now: float):
        """Updates the count; to be called at short intervals. A machine that ran for CATCH_UP while no more than the
        tolerated number was lost counts as caught up.
        """
        since = self.exceeded_at + CATCH_UP
        for name, at in self.joined_at.items():
            if now >= max(at + CATCH_UP, since):
                self.joined_at[name] = NEVER
        for times in (self.blank_since, self.removed_at):
            for name in [name for name, at in times.items() if now >= max(at + CATCH_UP, since)]:
                del times[name]
        if len(self.lost(now)) > self.tolerated:
            self.exceeded_at = now

    def may_lose(self, now: float, names) -> bool:
        """Whether losing these machines as well stays within the tolerated number."""
        return len(self.lost(now) | set(names)) <= self.tolerated

    def may_leave(self, now: float, name: str) -> bool:
        """Whether this machine may be removed permanently by a planned leave."""
        joined_at = self.joined_at.pop(name)
        is_tolerated = self.may_lose(now, ())
        self.joined_at[name] = joined_at
        return is_tolerated

    def is_stable_for(self, now: float, seconds: float) -> bool:
        """Whether for `seconds` no fault began or ended and no more than the tolerated number was lost."""
        ends = [until for until in self.faulty_until.values() if until <= now]
        return now - max(self.exceeded_at, self.last_fault_at, *ends, NEVER) >= seconds
