"""Breadth-first search over the states that can be reached from a root, and the replay of one schedule.

States with the same key are visited once. The key covers processes, disks, links, cuts, the time and what the history
judges by; how many faults and moves were made on the way is added, as it bounds what may follow.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from tests.fleet.exploration.choices import Bounds, Choice, choices, play
from tests.fleet.exploration.probe import recover
from tests.fleet.exploration.world import Saved, World
from tests.fleet.simulation.checkers import Violation


@dataclass(slots=True)
class Node:
    """A state, and the steps that lead to it."""

    saved: Saved
    path: tuple[Choice, ...]


@dataclass
class Report:
    """Coverage of a search."""

    root: str
    size: int  # machines that the cluster was formed of
    machines: int
    bounds: Bounds
    states: int = 0
    transitions: int = 0
    depth: int = 0  # of the deepest state
    probes: int = 0  # leaves from which recovery was tried
    slowest_recovery_s: float = 0.0  # simulated
    seconds: float = 0.0
    exhausted: bool = False  # every state within the bounds was visited
    violation: Violation | None = None
    schedule: tuple[Choice, ...] = ()

    def __str__(self) -> str:
        return "\n".join(self.lines())

    def lines(self) -> list[str]:
        """To be read by people."""
        bounds = self.bounds
        lines = [
            f"{self.root}: {self.machines} machines, at most {bounds.depth} steps, {bounds.faults} faults, "
            f"{bounds.moves} moves: {self.states} states, {self.transitions} transitions, depth {self.depth}, "
            f"{self.probes} recoveries (slowest {self.slowest_recovery_s:.2f} s), {self.seconds:.1f} s, "
            + ("exhausted" if self.exhausted else "NOT exhausted")
        ]
        if self.violation is not None:
            lines.append(f"VIOLATION {self.violation}")
            lines += [f"  {number + 1}. {choice}" for number, choice in enumerate(self.schedule)]
            schedule = "; ".join(str(each) for each in self.schedule)
            lines.append(f'  replay --root {self.root} --machines {self.size} --schedule "{schedule}"')
        return lines


@dataclass
class Search:
    """One search. `most` bounds the transitions, so that a run ends at the same place on every machine."""

    root: str
    size: int
    world: World
    bounds: Bounds
    most: int = 1_000_000
    probe_every: int = 0  # every so many leaves, recovery is tried; 0: never
    _seen: set[int] = field(default_factory=set)
    _leaves: int = 0

    def run(self) -> Report:
        """Search until the first violation, the bounds or the greatest number of transitions."""
        began = time.perf_counter()
        report = Report(self.root, self.size, len(self.world.machines), self.bounds)
        try:
            report.exhausted = self._run(report)
        except Violation as violation:
            report.violation = violation
        report.seconds = time.perf_counter() - began
        return report

    def _run(self, report: Report) -> bool:
        frontier = [Node(self.world.save(), ())]
        while frontier:
            following: list[Node] = []
            for node in frontier:
                if report.transitions >= self.most:
                    return False
                following += self._expand(node, report)
            frontier = following
        return True

    def _expand(self, node: Node, report: Report) -> Iterable[Node]:
        self.world.load(node.saved)
        possible = choices(self.world, self.bounds, node.path) if len(node.path) < self.bounds.depth else []
        if not possible:
            self._probe(node, report)
        for choice in possible:
            report.schedule = (*node.path, choice)
            report.transitions += 1
            self.world.load(node.saved)
            play(self.world, choice)
            saved = self.world.save()
            if self._is_new(saved, report.schedule):
                report.states += 1
                report.depth = max(report.depth, len(report.schedule))
                yield Node(saved, report.schedule)

    def _is_new(self, saved: Saved, path: tuple[Choice, ...]) -> bool:
        faults = sum(each.is_fault for each in path)
        moves = sum(each.is_move for each in path)
        key = hash((saved.key(), faults, moves))
        if key in self._seen:
            return False
        self._seen.add(key)
        return True

    def _probe(self, node: Node, report: Report) -> None:
        self._leaves += 1
        if not self.probe_every or self._leaves % self.probe_every:
            return
        report.schedule = node.path
        report.probes += 1
        report.slowest_recovery_s = max(report.slowest_recovery_s, recover(self.world))


def replay(world: World, schedule: Iterable[Choice], told: Callable[[str], None]) -> None:
    """Make the steps of a schedule one by one, telling each; then let the world recover. Raises `Violation`."""
    for number, choice in enumerate(schedule):
        told(f"{number + 1}. {choice}")
        play(world, choice)
        for line in describe(world):
            told(f"     {line}")
    told(f"all well again: an order was acknowledged after {recover(world):.2f} s")


def describe(world: World) -> list[str]:
    """Describe the state of each machine and link."""
    lines = []
    for machine in world.machines:
        replica = machine.replica
        if replica is None:
            lines.append(f"{machine.name}: no process")
            continue
        view, replica_state = replica.view, replica._context.replica_state
        marks = [
            f"epoch {view.epoch}",
            f"sequence {replica_state.committed.sequence}",
            f"written {replica_state.uncommitted.sequence}" if replica_state.uncommitted is not None else "",
            f"sealed by {replica_state.promised.round}" if replica_state.promised is not None else "",
            f"leads in term {replica.term}" if replica.is_leader(machine.now()) else "",
            "frozen" if machine.frozen else "",
            "its disk hangs" if machine.state.hung else "",
            f"{len(machine.state.queue)} writes under way" if machine.state.queue else "",
        ]
        lines.append(f"{machine.name}: " + ", ".join(each for each in marks if each))
    for (source, target), queue in sorted(world.links.items()):
        if queue:
            cut = " (cut)" if (source, target) in world.cuts else ""
            kinds = " ".join(str(each.WhichOneof("body")) for each in queue)
            lines.append(f"{source} to {target}{cut}: {kinds}")
    return lines
