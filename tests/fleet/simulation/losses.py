"""Losses one after the other, each as soon as the rules allow: as many machines at once as the tolerance says.

A machine counts as lost while it is in trouble and for `CATCH_UP_S` after its return, a new one after its start. The
next loss comes within a second after that.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from rosechute.control_plane.handover import HANDOVER_POLL_S, HANDOVER_TIMEOUT_S, LINK_FLUSH_S
from tests.fleet.simulation.faults import CATCH_UP_S
from tests.fleet.simulation.machine import Machine
from tests.fleet.simulation.storage import SYNC_S
from tests.fleet.simulation.world import World

SPREAD_S = 1.0  # the next loss comes so long after the earliest moment, at the most
LEFT_S = HANDOVER_TIMEOUT_S + LINK_FLUSH_S  # a process that got SIGTERM has ended by then
LONG_CUT_S = (20.0, 25.0)
BACK_S = (0.05, 3.0)
WRITING_WITHIN_S = 1.0
LATE_S = (8.0, 20.0)  # of a successor that comes late


class Losses:
    """Plays paced losses on a world."""

    def __init__(self, world: World, tolerance: int, random: Random) -> None:
        self.world = world
        self.tolerance = tolerance
        self.random = random
        self.done: list[str] = []
        self._next_address = 0
        self._kinds: list[tuple[Callable[[Machine], float], int]] = [
            (self.killed, 2),
            (self.power_lost, 2),
            (self.restarted_as_planned, 2),
            (self.wiped, 3),
            (self.replaced, 4),
            (self.replaced_late, 1),
            (self.replaced_as_planned, 4),
            (self.newcomer_is_taken_away, 2),
            (self.frozen, 2),
            (self.cut, 3),
            (self.disk_hangs, 1),
            (self.disk_full, 1),
            (self.disk_slow, 1),
        ]

    def lose(self, only: str = "") -> float:
        """Lose as many machines as are borne, at once or within a second; the time when the last one is back."""
        calls, weights = zip(*self._kinds, strict=True)
        if only:
            calls, weights = (getattr(self, only),), (1,)
        machines = self.random.sample(self.there(), self.random.choice((self.tolerance, self.tolerance, 1)))
        back = self.world.now
        for machine in machines:
            loss = self.random.choices(calls, weights)[0]
            self.done.append(f"{self.world.now:.2f} {loss.__name__} {machine.name}")
            back = max(back, loss(machine))
            if len(machines) > 1:
                self.world.run_for(self.random.choice((0.0, 0.0, 0.05, 1.0)))
        if self.random.random() < 0.15:
            self.world.run_for(self.random.choice((0.05, 0.5, 2.0, 4.0)) * self.random.random())
            back = max(back, self.lose_all_processes())
        return back

    def lose_all_processes(self) -> float:
        """Every process of the core is killed, or every machine loses power, at once; back within a second."""
        end = self.random.choice((Machine.kill, Machine.power_loss))
        self._until_written_to(self.random.choice(self.there()))
        self.done.append(f"{self.world.now:.2f} all {end.__name__}")
        for machine in self.there():
            if machine.up and not machine.frozen:
                end(machine)
                self.world.after(self.random.uniform(0.05, 1.0), self._start, machine)
        return self.world.now + 1.0

    def wipe_while_the_others_lose_power(self) -> float:
        """As many machines as are borne lose their disks while every other one loses power."""
        self._until_written_to(self.random.choice(self.there()))
        self.done.append(f"{self.world.now:.2f} wiped, the others without power")
        wiped = self.random.sample(self.there(), self.tolerance)
        for machine in self.there():
            if machine in wiped:
                machine.wipe()
            else:
                machine.power_loss()
            self.world.after(self.random.uniform(0.05, 1.0), self._start, machine)
        return self.world.now + 1.0

    def wait_until_borne(self, back: float) -> None:
        """Wait as long as the rules ask for before the next loss, and hardly longer."""
        self.world.run_until(back + CATCH_UP_S + self.random.uniform(0.0, SPREAD_S))

    def _until_written_to(self, machine: Machine) -> None:
        """Mostly, wait for a moment at which a write is under way."""
        if self.random.random() < 0.7:
            self.world.run_while(lambda: not machine.disk.writing, WRITING_WITHIN_S)

    def there(self) -> list[Machine]:
        return [each for each in self.world.machines if not each.removed]

    def _start(self, machine: Machine) -> None:
        if not machine.up and not machine.removed:
            machine.start()

    def _at(self, wait: float, call: Callable[..., None], *arguments: object) -> float:
        self.world.after(wait, call, *arguments)
        return self.world.now + wait

    # Losses of one machine; each tells when it is over

    def killed(self, machine: Machine) -> float:
        machine.kill()
        return self._at(self.random.uniform(*BACK_S), self._start, machine)

    def restarted_as_planned(self, machine: Machine) -> float:
        """SIGTERM, and the next process."""
        self._terminate(machine, machine.kill)
        return self._at(LEFT_S + self.random.uniform(*BACK_S), self._start, machine)

    def gone(self, machine: Machine) -> float:
        """Gone for good, and no other comes. Uses up the tolerance: for the last loss of a day."""
        self._remove(machine)
        return self.world.now

    def power_lost(self, machine: Machine) -> float:
        self._until_written_to(machine)
        machine.power_loss()
        return self._at(self.random.uniform(*BACK_S), self._start, machine)

    def wiped(self, machine: Machine) -> float:
        machine.wipe()
        return self._at(self.random.uniform(*BACK_S), self._start, machine)

    def replaced(self, machine: Machine) -> float:
        """Gone for good; an empty machine at another address takes its place."""
        self._remove(machine)
        return self._at(self.random.uniform(*BACK_S), self._add, machine)

    def replaced_late(self, machine: Machine) -> float:
        """Gone for good, and for a long time there is no other."""
        self._remove(machine)
        return self._at(self.random.uniform(*LATE_S), self._add, machine)

    def replaced_as_planned(self, machine: Machine) -> float:
        """The new machine comes first; then the old one gets SIGTERM, and is taken away."""
        self._add(machine)
        leaves = self.random.uniform(0.0, CATCH_UP_S + SPREAD_S)
        self._at(leaves, self._terminate, machine, partial(self._remove, machine))
        return self.world.now + leaves + LEFT_S

    def newcomer_is_taken_away(self, machine: Machine) -> float:
        """A machine is added, and then it is the new one that goes for good."""
        new = self._add(machine)
        return self._at(self.random.uniform(0.0, CATCH_UP_S + SPREAD_S), self._remove, new)

    def frozen(self, machine: Machine) -> float:
        machine.freeze()
        return self._at(self.random.choice((0.5, 1.5, 6.0, 20.0)), machine.thaw)

    def cut(self, machine: Machine) -> float:
        """Cut off from the core both ways or one way, or from the operators too."""
        inward, outward = self.random.choice(((True, True), (True, True), (True, False), (False, True)))
        self.world.network.cut_off(machine, inward, outward)
        machine.unreachable = inward and outward and self.random.random() < 0.3
        return self._at(self.random.uniform(*LONG_CUT_S), self._joined, machine)

    def disk_hangs(self, machine: Machine) -> float:
        machine.hang_disk(True)
        return self._at(self.random.uniform(0.5, 8.0), machine.hang_disk, False)

    def disk_full(self, machine: Machine) -> float:
        machine.disk.full = True
        return self._at(self.random.uniform(0.5, 8.0), setattr, machine.disk, "full", False)

    def disk_slow(self, machine: Machine) -> float:
        machine.disk.sync_s = self.random.choice((0.05, 0.3, 1.0))
        return self._at(self.random.uniform(0.5, 8.0), setattr, machine.disk, "sync_s", SYNC_S)

    # Parts of these

    def _joined(self, machine: Machine) -> None:
        self.world.network.heal(machine)
        machine.reach_again()

    def _terminate(self, machine: Machine, end: Callable[[], None]) -> None:
        """SIGTERM: the process resigns and waits until nobody counts on it; one in four is killed before."""
        machine.run(lambda replica: replica.resign(machine.now()))
        if self.random.random() < 0.25:
            self._at(LINK_FLUSH_S, end)
        else:
            self._hand_over(machine, machine.boots, self.world.now + HANDOVER_TIMEOUT_S, end)

    def _hand_over(self, machine: Machine, boot: int, until: float, end: Callable[[], None]) -> None:
        waits = machine.boots == boot and machine.replica is not None and not machine.replica.is_handed_over
        if waits and self.world.now < until:
            self._at(HANDOVER_POLL_S, self._hand_over, machine, boot, until, end)
        else:
            self._at(LINK_FLUSH_S, end)

    def _remove(self, machine: Machine) -> None:
        machine.kill()
        machine.removed = True

    def _add(self, old: Machine) -> Machine:
        """An empty machine at a new address, under the old name or another one."""
        self._next_address += 1
        name = old.name if self.random.random() < 0.5 else f"core-new-{self._next_address}"
        new = self.world.add_machine(name, f"10.8.{self._next_address}.1")
        others = [each for each in self.there() if each is not new]
        seeds = self.random.sample(others, min(3, len(others)))
        self.world.seed_list = [(each.control, each.peer) for each in seeds]
        new.start()
        return new
