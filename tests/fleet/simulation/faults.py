"""Troubles of the machines, one after the other or overlapping, drawn from a seed.

Disks are lost only where no more machines than the tolerance are lost at once: a machine counts as lost while it is
in trouble and for `CATCH_UP_S` after its return. Every other trouble may go beyond the tolerance: then nothing need
be answered, but nothing may be wrong.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from random import Random

from tests.fleet.simulation.world import SYNC_S, Machine, World

CATCH_UP_S = 4.0


class Troubles:
    """Plays troubles on a world."""

    def __init__(
        self, world: World, tolerance: int, only: Collection[str] = (), acknowledged: Callable[[], int] = lambda: 0
    ) -> None:
        self.world = world
        self.acknowledged = acknowledged  # how many orders, so far
        self.delay = world.network.delay
        self.tolerance = tolerance
        self.random = Random(world.random.random())
        self.done: list[str] = []
        self.next_address = 100
        self._kinds: list[tuple[Callable[[], None], int]] = [
            (self.kill_one, 3),
            (self.kill_some, 2),
            (self.kill_all, 2),
            (self.power_loss_all, 2),
            (self.freeze_one, 3),
            (self.freeze_some, 1),
            (self.cut_one, 3),
            (self.cut_one_way, 2),
            (self.cut_pair, 1),
            (self.cut_in_two, 2),
            (self.bad_links, 2),
            (self.hung_disk, 2),
            (self.full_disk, 2),
            (self.slow_disk, 2),
            (self.wipe, 3),
            (self.wipe_and_power_loss, 2),
            (self.wipe_after_acknowledgement, 3),
            (self.replace, 3),
            (self.replace_frozen, 1),
            (self.restart_in_turn, 1),
        ]
        if only:
            self._kinds = [kind for kind in self._kinds if kind[0].__name__ in only]

    def play(self, count: int) -> None:
        """So many troubles, and then all is well again."""
        calls, weights = zip(*self._kinds, strict=True)
        for _ in range(count):
            trouble = self.random.choices(calls, weights)[0]
            self.done.append(f"{self.world.now:.2f} {trouble.__name__}")
            trouble()
            self.world.run_for(self.random.choice((0.0, 0.1, 0.5, 1.5, 3.0)))
            if self.random.random() < 0.4:
                self.heal()
        self.heal()

    def heal(self) -> None:
        """End every trouble that is under way."""
        self.world.network.heal()
        self.world.network.loss = 0.0
        self.world.network.delay = self.delay
        for machine in self._there():
            self._disk_well(machine)
            machine.thaw()
            if not machine.up:
                machine.start()

    def _there(self) -> list[Machine]:
        return [each for each in self.world.machines if not each.removed]

    def _pick(self) -> Machine:
        return self.random.choice(self._there())

    def _some(self) -> list[Machine]:
        there = self._there()
        return self.random.sample(there, self.random.randint(1, len(there)))

    def _wait(self, longest: float) -> None:
        self.world.run_for(self.random.choice((0.02, 0.2, 0.5, 1.0, longest)) * self.random.uniform(0.5, 1.0))

    def _disk_well(self, machine: Machine) -> None:
        machine.disk.full = False
        machine.disk.sync_s = SYNC_S
        if machine.disk.hung:
            machine.hang_disk(False)

    def _start(self, machine: Machine) -> None:
        if not machine.up and not machine.removed:
            machine.start()

    def _calm(self) -> None:
        """Wait until no machine counts as lost."""
        self.heal()
        self.world.run_for(CATCH_UP_S)

    # Ends of processes

    def kill_one(self) -> None:
        machine = self._pick()
        machine.kill()
        self.world.after(self.random.choice((0.05, 0.3, 1.0, 3.0)), self._start, machine)
        self._wait(3.0)

    def kill_some(self) -> None:
        for machine in self._some():
            machine.kill()
            self.world.after(self.random.uniform(0.05, 3.0), self._start, machine)
        self._wait(3.0)

    def kill_all(self) -> None:
        spread = self.random.choice((0.2, 1.0, 4.0))
        for machine in self._there():
            machine.kill()
            self.world.after(self.random.uniform(0.05, spread), self._start, machine)
        self._wait(4.0)

    def power_loss_all(self) -> None:
        spread = self.random.choice((0.2, 1.0, 4.0))
        for machine in self._there():
            machine.power_loss()
            self.world.after(self.random.uniform(0.05, spread), self._start, machine)
        self._wait(4.0)

    def restart_in_turn(self) -> None:
        for machine in self._there():
            machine.kill()
            self.world.run_for(self.random.uniform(0.2, 1.0))
            self._start(machine)
            self.world.run_for(self.random.uniform(0.5, 4.0))

    # Freezes

    def freeze_one(self) -> None:
        machine = self._pick()
        machine.freeze()
        self._wait(6.0)
        machine.thaw()

    def freeze_some(self) -> None:
        machines = self._some()
        for machine in machines:
            machine.freeze()
        self._wait(4.0)
        for machine in machines:
            machine.thaw()

    # Links

    def cut_one(self) -> None:
        machine = self._pick()
        self.world.network.cut_off(machine)
        self._wait(5.0)
        self.world.network.heal(machine)

    def cut_one_way(self) -> None:
        machine = self._pick()
        inward = self.random.random() < 0.5
        self.world.network.cut_off(machine, inward=inward, outward=not inward)
        self._wait(5.0)
        self.world.network.heal(machine)

    def cut_pair(self) -> None:
        one, other = self._pick(), self._pick()
        self.world.network.cut(one, other)
        if self.random.random() < 0.7:
            self.world.network.cut(other, one)
        self._wait(5.0)
        self.world.network.heal(one)

    def cut_in_two(self) -> None:
        some = self._some()
        for one in self._there():
            for other in self._there():
                if (one in some) != (other in some):
                    self.world.network.cut(one, other)
        self._wait(5.0)
        self.world.network.heal()

    def bad_links(self) -> None:
        network = self.world.network
        network.loss = self.random.choice((0.0, 0.1, 0.4))
        network.delay = (0.001, self.random.choice((0.02, 0.2, 0.6)))
        self._wait(3.0)
        network.loss, network.delay = 0.0, self.delay

    # Disks

    def hung_disk(self) -> None:
        machine = self._pick()
        machine.hang_disk(True)
        self._wait(6.0)
        self._disk_well(machine)

    def full_disk(self) -> None:
        machine = self._pick()
        machine.disk.full = True
        self._wait(6.0)
        self._disk_well(machine)

    def slow_disk(self) -> None:
        machine = self._pick()
        machine.disk.sync_s = self.random.choice((0.05, 0.3, 1.0))
        self._wait(5.0)
        self._disk_well(machine)

    # Losses

    def wipe(self) -> None:
        """As many machines as the tolerance lose their disks and come back at their addresses."""
        self._calm()
        for machine in self.random.sample(self._there(), self.tolerance):
            machine.wipe()
            self.world.after(self.random.uniform(0.05, 3.0), self._start, machine)
        self.world.run_for(3.0)
        self._calm()

    def wipe_and_power_loss(self) -> None:
        """The same, while every other machine loses power."""
        self._calm()
        self._final_fault()

    def wipe_after_acknowledgement(self) -> None:
        """The same, as soon as an order has been acknowledged; the others go on, are killed or lose power."""
        self._calm()
        before = self.acknowledged()
        if not self.world.run_while(lambda: self.acknowledged() == before, 3.0):
            return
        self._final_fault()

    def _final_fault(self) -> None:
        there = self._there()
        wiped = self.random.sample(there, self.tolerance)
        others = self.random.choice((Machine.power_loss, Machine.power_loss, Machine.kill, None))
        spread = self.random.choice((0.2, 1.0, 3.0))
        for machine in there:
            if machine in wiped:
                machine.wipe()
            elif others is not None:
                others(machine)
            self.world.after(self.random.uniform(0.05, spread), self._start, machine)
        self.world.run_for(3.0)
        self._calm()

    def replace(self) -> None:
        """A machine is taken away for good; another one comes at a new address, under the same name or another."""
        self._calm()
        old = self._pick()
        old.kill()
        old.removed = True
        self.world.run_for(self.random.uniform(0.0, 2.0))
        self.next_address += 1
        name = old.name if self.random.random() < 0.5 else f"core-{self.next_address}"
        self._add(name)
        self._calm()

    def replace_frozen(self) -> None:
        """The machine that is replaced was frozen only: it wakes and finds its place taken."""
        self._calm()
        old = self._pick()
        old.freeze()
        self.world.run_for(self.random.uniform(0.0, 2.0))
        self.next_address += 1
        self._add(old.name)
        self._calm()
        self.world.run_for(self.random.choice((0.0, 2.0)))
        old.kill()
        old.removed = True
        self._calm()

    def _add(self, name: str) -> None:
        new = self.world.add_machine(name, f"10.9.{self.next_address}.1")
        there = [each for each in self._there() if each is not new]
        seeds = self.random.sample(there, min(3, len(there)))
        self.world.seed_list = [(each.control, each.peer) for each in seeds]
        new.start()
        self.world.run_for(self.random.uniform(0.0, 3.0))
