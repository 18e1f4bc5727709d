"""The commands: which roots there are, a search from some of them, and the replay of one schedule."""

from __future__ import annotations

import multiprocessing
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from tests.fleet.exploration import plants, roots
from tests.fleet.exploration.choices import DELIVERIES, TROUBLES, Bounds, parse
from tests.fleet.exploration.search import Report, Search, describe, replay
from tests.fleet.simulation.checkers import Violation

ASPECTS = {"deliveries": DELIVERIES, "troubles": TROUBLES, "all": frozenset[str]()}


@dataclass(frozen=True, slots=True)
class Task:
    """One search."""

    root: str
    aspect: str
    size: int
    depth: int
    faults: int
    moves: int
    most: int
    probe_every: int

    def run(self) -> Report:
        """Search."""
        root = roots.BY_NAME[self.root]
        kinds = ASPECTS[self.aspect]
        if root.disk_lost:
            kinds = (kinds or DELIVERIES | TROUBLES) - {"wipe"}
        bounds = Bounds(self.depth, self.faults, self.moves, kinds, root.calls)
        world = roots.begin(root, self.size)
        return Search(root.name, self.size, world, bounds, self.most, self.probe_every).run()


class Exploration:
    """Bounded exhaustive search over the replicas of the core."""

    def roots(self) -> None:
        """Print where searches can begin."""
        for root in roots.ROOTS:
            print(f"{root.name}: {root.make.__doc__}")

    def run(
        self,
        names: str = "all",
        aspects: str = "deliveries,troubles",
        machines: str = "3,4",
        depth: int = 5,
        faults: int = 1,
        moves: int = 1,
        most: int = 200_000,
        probe_every: int = 100,
        processes: int = 1,
    ) -> None:
        """Search from the roots of these names. Ends with status 1 where a rule is broken."""
        tasks = [
            Task(root, aspect, int(size), depth, faults, moves, most, probe_every)
            for root in (roots.BY_NAME if names == "all" else _words(names))
            for aspect in _words(aspects)
            for size in _words(machines)
        ]
        reports = []
        with multiprocessing.Pool(processes) as pool:
            for task, report in zip(tasks, pool.imap(Task.run, tasks), strict=True):
                reports.append(report)
                print(f"{task.aspect}, {report}", flush=True)
        print(total(reports))
        if any(each.violation is not None for each in reports):
            raise SystemExit(1)

    def replay(self, root: str, machines: int, schedule: str, plant: str = "") -> None:
        """Make the steps of a schedule, with a planted fault or without; status 1 where a rule is broken."""
        fault = plants.BY_NAME[plant] if plant else None
        world = roots.begin(roots.BY_NAME[root], machines, fault.timing if fault is not None else None)
        print("\n".join(describe(world)))
        try:
            with plants.planted(fault):
                replay(world, [parse(each) for each in _words(schedule, ";")], print)
        except Violation as violation:
            print(f"VIOLATION {violation}")
            raise SystemExit(1) from None


def total(reports: Iterable[Report]) -> str:
    """All searches in one line."""
    every = list(reports)
    return (
        f"{len(every)} searches: {sum(each.states for each in every)} states, "
        f"{sum(each.transitions for each in every)} transitions, depth {max(each.depth for each in every)}, "
        f"{sum(each.probes for each in every)} recoveries "
        f"(slowest {max(each.slowest_recovery_s for each in every):.2f} s), "
        f"{sum(each.seconds for each in every):.0f} s of searching, "
        f"{sum(each.exhausted for each in every)} exhausted, "
        f"{sum(each.violation is not None for each in every)} violations"
    )


def _words(text: str | Sequence[object], separator: str = ",") -> Iterator[str]:
    """The words of an option; the command line reads "3,4" as a sequence already."""
    parts = text.split(separator) if isinstance(text, str) else text if isinstance(text, Sequence) else [text]
    return (str(each).strip() for each in parts)
