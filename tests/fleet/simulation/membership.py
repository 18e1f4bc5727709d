"""Random days of a core whose members are lost and replaced one group after the other, as closely as is allowed.

A group has at most as many machines as the tolerance. The next one is lost as soon as the last machine of the group
before, or its successor, has been back for `catch_up_s`; after a planned end with a successor, at once. All the while
orders have to be acknowledged in time.

Many seeds: `python -m tests.fleet.simulation.membership --seeds 500 --from 0`.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from random import Random

from tests.fleet.simulation.checkers import History, Violation
from tests.fleet.simulation.operators import Operator
from tests.fleet.simulation.play import finish
from tests.fleet.simulation.world import Machine, World

CATCH_UP_S = 3.0  # the shortest of the sites
ACKNOWLEDGED_WITHIN_S = 4.0
HANDED_OVER_WITHIN_S = 1.0
FORMED_S = 2.3
SIZES = (3, 3, 4, 5, 8)
GROUPS = 5


class MembershipDay:
    """One seed."""

    def __init__(self, seed: int, change: Callable[[World], None] | None = None) -> None:
        self.random = Random(seed)
        size = self.random.choice(SIZES)
        self.tolerance = (size - 1) // 2
        self.world = World(seed, size)
        self.history = History(self.world)
        if change is not None:
            change(self.world)
        self.operators = [Operator(self.world, f"operator-{number}") for number in range(2)]
        for operator in self.operators:
            operator.lose_answers = self.random.choice((0.0, 0.3))
        self.addresses = 0
        self.back_at = 0.0  # when the last machine of the current group is back
        self.done: list[str] = []

    def play(self) -> None:
        """Raises `Violation`."""
        world = self.world
        for operator in self.operators:
            operator.start()
        world.bootstrap()
        world.run_until(FORMED_S + (4.0 if len(world.machines) > 5 else 0.0))
        reasons: Sequence[Callable[[Machine], None]] = (
            self.wipe,
            self.replace,
            self.restart,
            self.leave_and_return,
            self.leave_for_good,
            self.freeze,
            self.cut,
            self.hang,
        )
        for _ in range(GROUPS):
            self.back_at = world.now
            for machine in self.random.sample(self._there(), self.random.randint(1, self.tolerance)):
                reason = self.random.choice(reasons)
                self.done.append(f"{world.now:.2f} {reason.__name__} {machine.name}")
                reason(machine)
            self._acknowledged()
            world.run_until(max(world.now, self.back_at + CATCH_UP_S))
            if self.random.random() < 0.4:
                self._planned()
                self._acknowledged()
        if self.random.random() < 0.5:
            self._final_fault()
        world.run_for(CATCH_UP_S)
        finish(world, self.history, self.operators)

    # Losses

    def wipe(self, machine: Machine) -> None:
        machine.wipe()
        self._later(machine.start)

    def replace(self, machine: Machine) -> None:
        machine.kill()
        machine.removed = True
        name = machine.name if self.random.random() < 0.5 else ""
        self._later(lambda: self._add(name))

    def restart(self, machine: Machine) -> None:
        self.random.choice((machine.kill, machine.power_loss))()
        self._later(machine.start)

    def leave_and_return(self, machine: Machine) -> None:
        self._leave(machine)
        self._later(machine.start)

    def leave_for_good(self, machine: Machine) -> None:
        self._leave(machine)
        machine.removed = True
        self._later(lambda: self._add(machine.name))

    def freeze(self, machine: Machine) -> None:
        machine.freeze()
        self._later(machine.thaw)

    def cut(self, machine: Machine) -> None:
        inward = self.random.random() < 0.7
        self.world.network.cut_off(machine, inward=inward, outward=not inward or self.random.random() < 0.7)
        self._later(lambda: self.world.network.heal(machine))

    def hang(self, machine: Machine) -> None:
        machine.hang_disk(True)
        self._later(lambda: machine.hang_disk(False))

    def _planned(self) -> None:
        """A successor is there for `catch_up_s` before the old machine goes; nothing counts as lost afterwards."""
        old = self.random.choice(self._there())
        self.done.append(f"{self.world.now:.2f} planned {old.name}")
        self._add(old.name if self.random.random() < 0.5 else "")
        self.world.run_for(CATCH_UP_S)
        self._leave(old)
        old.removed = True

    def _final_fault(self) -> None:
        """Right after an acknowledgement as many disks as are borne are lost, and all others lose power."""
        if self.random.random() < 0.3:  # one machine more than is aimed at
            self._add("")
            self.world.run_for(CATCH_UP_S)
        before = self.history.acknowledgements
        self.world.run_while(lambda: self.history.acknowledgements == before, 3.0)
        self.done.append(f"{self.world.now:.2f} final fault")
        there = self._there()
        wiped = self.random.sample(there, self.tolerance)
        for machine in there:
            if machine in wiped:
                machine.wipe()
            else:
                machine.power_loss()
            self._later(machine.start)
        self.world.run_until(self.back_at)

    def _leave(self, machine: Machine) -> None:
        """SIGTERM: the process ends once it has handed over."""
        machine.run(lambda replica: replica.resign(machine.now()))
        replica = machine.replica
        assert replica is not None
        self.world.run_while(lambda: not replica.is_handed_over, HANDED_OVER_WITHIN_S)
        machine.kill()

    # Helpers

    def _there(self) -> list[Machine]:
        return [each for each in self.world.machines if each.running and not each.removed]

    def _later(self, call: Callable[[], None]) -> None:
        wait = self.random.choice((0.05, 0.4, 1.0, 3.0, 8.0)) * self.random.uniform(0.8, 1.0)
        self.back_at = max(self.back_at, self.world.now + wait)
        self.world.after(wait, call)

    def _add(self, name: str) -> None:
        self.addresses += 1
        new = self.world.add_machine(name or f"new-{self.addresses}", f"10.9.{self.addresses}.1")
        others = [each for each in self._there() if each is not new]
        seeds = self.random.sample(others, min(3, len(others)))
        self.world.seed_list = [(each.control, each.peer) for each in seeds]
        new.start()

    def _acknowledged(self) -> None:
        """An order of some operator comes into force in time, as no more machines are lost than may be."""
        since, before = self.world.now, self.history.newest_acknowledged()
        asker = Operator(self.world, f"asker {since}", (0.0, 0.0))
        asker.stopped = True
        while self.history.newest_acknowledged() == before:
            if not asker.busy:
                place = self.history.place
                asker.give(max((self.history.orders[each].version for each in place), default=0))
            left = since + ACKNOWLEDGED_WITHIN_S - self.world.now

            def waiting() -> bool:
                return asker.busy and self.history.newest_acknowledged() == before

            if not self.world.run_while(waiting, left):
                raise Violation("live", f"no order within {ACKNOWLEDGED_WITHIN_S} s: {self.done}")


def main() -> int:
    """Play many seeds and tell the failures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--from", dest="first", type=int, default=0)
    options = parser.parse_args()
    failed, simulated_s = 0, 0.0
    for seed in range(options.first, options.first + options.seeds):
        day = MembershipDay(seed)
        try:
            day.play()
        except Exception as error:  # every failure is of interest here, with its seed
            failed += 1
            print(f"seed {seed}: {error}", flush=True)
        simulated_s += day.world.now
    print(f"{options.seeds} seeds from {options.first}: {failed} failed, {simulated_s / 3600:.1f} simulated hours")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
