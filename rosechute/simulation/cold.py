"""Cold servers under a whole fleet's traffic: scenarios for it, and what a run's trace tells of each start.

A cold server bears N requests of mean work in any window of `fall`: `fall_multiple` times what it can do then, times
that window. What goes beyond by 2 x root of N + 2 is put down to chance; more pushes it over, and the rule is broken
where over two thirds of that came from instances that had been told of the start. `judge.py` has the same rule as the
platform's pages state it, without the part for chance; here each start's worst window is kept, broken or not.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from rosechute.sidecar.operator_configuration.units import SECOND_NS, Span
from rosechute.simulation.spec import Class, Clients, Discovery, Fault, Fleet, Instances, Scenario
from rosechute.simulation.trace import ARRIVE, FELL, GONE, SERVER, TOLD, UP, Record

MS = 1_000_000
TOLD_PART = 2 / 3  # of a window's requests, from which the rule is broken
FLEETS = {5: 8, 30: 24, 200: 100}  # instances, and servers that fit them
STARTS = {"few": 0.1, "half": 0.5, "all": 1.0}  # share of the servers that start cold
AT = 5 * SECOND_NS  # when the first of them do
WORK = 50 * MS
USE = 0.5  # of all servers, warm, before the burst
SETTINGS = {
    "usual": Fleet(cores=1, slots=4),
    "harsh": Fleet(cores=1, slots=4, cold_from=0.1, fall_multiple=2.0, fall=Span(SECOND_NS)),
}
UNBREAKABLE = 1e9  # a fall_multiple that no server meets: a run goes on past what is measured


class Case(NamedTuple):
    """What sets one scenario apart."""

    instances: int
    starts: str
    """A name in `STARTS`."""
    late: bool = False
    """Whether half of the instances hear of everything 3 s late, else all at once."""
    heavy: str = "fresh"
    """Whether the instance with ten times the others' traffic is "fresh", too, or "old"; told late then."""
    reports: str = "none"
    """As in `spec.Fleet`; or "probes": "some", and instances may ask."""
    burst: float = 2.0
    use: float = USE
    settings: str = "usual"
    """A name in `SETTINGS`."""

    def __str__(self) -> str:
        told = "late" if self.late else "soon"
        return (
            f"{self.instances} instances, {self.starts} cold, told {told}, heavy {self.heavy}, "
            f"reports {self.reports}, burst {self.burst}, use {self.use}, {self.settings}"
        )


def scenario(case: Case, seconds: int = 15) -> Scenario:
    """Half of the instances start anew just as servers come back cold, under a burst of traffic.

    Args:
        case: Which.
        seconds: How long it takes; servers start from 5 s on, and are warm 8 s later.
    """
    servers = FLEETS[case.instances]
    fleet = SETTINGS[case.settings]
    work = Span(WORK)
    rate = case.use * servers * fleet.cores * fleet.speed * 1e9 / work
    away, everyone = Span(SECOND_NS), case.starts == "all"
    # All of them at once is an outage; a deploy has them cold at the same time, too, if it is quick.
    lasts = Span(6 * SECOND_NS if everyone else 200 * MS)
    return Scenario(
        "cold",
        str(case),
        duration=Span(seconds * SECOND_NS),
        clients=Clients(
            rate=rate, retries=1, heavy=0 if case.heavy == "fresh" else case.instances - 1, heaviest=10.0
        ),
        fleet=Fleet(
            servers=servers,
            zones=2,
            cores=fleet.cores,
            slots=fleet.slots,
            room=fleet.room,
            speed=fleet.speed,
            cold_from=fleet.cold_from,
            cold=fleet.cold,
            fall_multiple=UNBREAKABLE,
            fall=fleet.fall,
            reports="some" if case.reports == "probes" else case.reports,  # type: ignore[arg-type]
        ),
        instances=Instances(count=case.instances, restart=Span(500 * MS), probes=case.reports == "probes"),
        discovery=Discovery(late=Span(3 * SECOND_NS) if case.late else None),
        classes=(
            Class("free", share=0.7, work=work),
            Class("guarded", share=0.3, work=work, repeat="guarded", group="zone"),
        ),
        faults=(
            Fault("rolling-deploy", at=Span(AT - 2 * away), lasts=lasts, share=STARTS[case.starts], pause=away),
            Fault("mass-restart", at=Span(AT - 500 * MS), share=0.5),
            Fault("load", at=Span(AT), lasts=Span(5 * SECOND_NS), factor=case.burst),
        ),
    )


class Worst(NamedTuple):
    """The worst window of one start."""

    over: float
    """Requests of mean work beyond the bound; below 0 where it was not reached."""
    sent: float
    """Requests of mean work that arrived in it."""
    bears: float
    """N then."""
    told: float
    """The part of them that came from instances that had been told of the start."""
    age_ns: int

    @property
    def part(self) -> float:
        """What was sent, as a part of the bound."""
        return self.sent / (self.sent - self.over)


class ColdStarts:
    """Reads a trace's records, and keeps for each cold start its worst window: of what all instances sent, and of
    what it got where over two thirds came from told ones.

    Args:
        scenario: The settings that the run was under.
        multiple: The rule's `fall_multiple`, where the scenario's is another so that no server falls.
        work: Count each request by its work, in means over all classes; else as one.
    """

    def __init__(self, scenario: Scenario, multiple: float, work: bool = False) -> None:
        self._fleet, self._multiple, self._work = scenario.fleet, multiple, work
        self.mean = sum(c.share * c.work for c in scenario.classes) / sum(c.share for c in scenario.classes)
        self.any: dict[tuple[int, int], Worst] = {}
        self.told: dict[tuple[int, int], Worst] = {}
        self._starts: dict[int, tuple[int, float]] = {}  # by server: start, work a ns when warm
        self._informed: dict[int, set[int]] = {}  # once told is told, also past a restart with the last list
        self._arrived: dict[int, deque[tuple[int, float, bool]]] = {}

    def __call__(self, record: Record) -> None:
        at, kind = record[0], record[1]
        if kind == ARRIVE:
            self._arrive(at, record[4], record[5], record[6])
        elif kind == SERVER:
            server, state, capacity, _ = record[2:]
            if state == UP and at:
                self._starts[server] = (at, capacity)
                self._informed[server] = set()
                self._arrived[server] = deque()
            elif state in (GONE, FELL):
                self._starts.pop(server, None)
        elif kind == TOLD:
            instance, server, state, started = record[2:]
            start = self._starts.get(server)
            if state == UP and start is not None and started == start[0]:
                self._informed[server].add(instance)

    def _arrive(self, at: int, server: int, instance: int, work: float) -> None:
        start = self._starts.get(server)
        if start is None:
            return
        began, capacity = start
        fleet, age = self._fleet, at - began
        if age >= fleet.cold:
            del self._starts[server]
            return
        window = self._arrived[server]
        window.append((at, work / self.mean if self._work else 1.0, instance in self._informed[server]))
        while window[0][0] <= at - fleet.fall:
            window.popleft()
        warmth = fleet.cold_from + (1.0 - fleet.cold_from) * age / fleet.cold
        bears = self._multiple * capacity * warmth * fleet.fall / self.mean
        sent = sum((w for _, w, _ in window), 0.0)
        told = sum((w for _, w, told in window if told), 0.0) / sent if sent else 0.0
        found = Worst(sent - bears - 2.0 * math.sqrt(bears) - 2.0, sent, bears, told, age)
        key = (server, began)
        if key not in self.any or found.part > self.any[key].part:
            self.any[key] = found
        if told > TOLD_PART and (key not in self.told or found.part > self.told[key].part):
            self.told[key] = found

    @property
    def broken(self) -> int:
        """Starts with a window over the bound of which over two thirds came from told instances."""
        return sum(worst.over > 0 for worst in self.told.values())

    @staticmethod
    def worst(of: dict[tuple[int, int], Worst]) -> Worst | None:
        """The worst window of all starts, by its part of the bound."""
        return max(of.values(), key=lambda worst: worst.part, default=None)
