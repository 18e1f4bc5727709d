"""Cold-start scenarios under the traffic of a complete fleet, and the analysis of each cold start in a trace.

The budget of a cold server is N requests of mean work in any window of `fall`: `fall_multiple` times its current
capacity times the window. An excess of up to 2 * sqrt(N) + 2 is attributed to chance. Beyond that the bound is broken
if over two thirds of the window's requests came from instances that knew of the start. `judge.py` checks the rule as
the platform documentation states it, without the allowance for chance; this module keeps the worst window of each
start, whether or not it breaks the bound.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from rosechute.sidecar.operator_configuration.units import SECOND_NS, Span
from rosechute.simulation.spec import Class, Clients, Discovery, Fault, Fleet, Instances, Scenario
from rosechute.simulation.trace import ARRIVE, CRASHED, NOTIFIED, SERVER, STOPPED, UP, Record

MS = 1_000_000
INFORMED_SHARE = 2 / 3  # share of a window's requests from informed instances above which the rule applies
FLEETS = {5: 8, 30: 24, 200: 100}  # number of servers by number of instances
STARTS = {"few": 0.1, "half": 0.5, "all": 1.0}  # fraction of the servers that start cold
FIRST_START_NS = 5 * SECOND_NS
WORK_NS = 50 * MS
USE = 0.5  # utilisation of all servers, warm, before the burst
SETTINGS = {
    "usual": Fleet(cores=1, slots=4),
    "harsh": Fleet(cores=1, slots=4, cold_from=0.1, fall_multiple=2.0, fall=Span(SECOND_NS)),
}
UNREACHABLE_MULTIPLE = 1e9  # a fall_multiple that is never exceeded, so that servers survive an overload


class Case(NamedTuple):
    """Parameters of one scenario."""

    instances: int
    starts: str
    """A name in `STARTS`."""
    late: bool = False
    """Whether half of the instances receive every discovery message 3 s late."""
    heavy: str = "fresh"
    """Whether the instance with ten times the traffic of the others is restarted ("fresh") or not ("old"); an "old"
    one is among the late instances."""
    reports: str = "none"
    """As in `spec.Fleet`, or "probes" for "some" with probes allowed."""
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
    """Build a scenario in which half of the instances restart while servers return cold, under a burst of traffic.

    Args:
        case: Parameters.
        seconds: Duration in seconds; servers start from 5 s on and are warm 8 s later.
    """
    servers = FLEETS[case.instances]
    fleet = SETTINGS[case.settings]
    work = Span(WORK_NS)
    rate = case.use * servers * fleet.cores * fleet.speed * 1e9 / work
    downtime, is_all = Span(SECOND_NS), case.starts == "all"
    # Replacing all servers at once would be an outage; a quick deploy of some also has them cold at the same time.
    lasts = Span(6 * SECOND_NS if is_all else 200 * MS)
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
            fall_multiple=UNREACHABLE_MULTIPLE,
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
            Fault(
                "rolling-deploy",
                at=Span(FIRST_START_NS - 2 * downtime),
                lasts=lasts,
                share=STARTS[case.starts],
                pause=downtime,
            ),
            Fault("mass-restart", at=Span(FIRST_START_NS - 500 * MS), share=0.5),
            Fault("load", at=Span(FIRST_START_NS), lasts=Span(5 * SECOND_NS), factor=case.burst),
        ),
    )


class Worst(NamedTuple):
    """Worst window of one cold start."""

    over: float
    """Requests of mean work beyond the bound; negative if the bound was not reached."""
    sent: float
    """Requests of mean work that arrived in the window."""
    budget: float
    """Budget N at the end of the window, in requests of mean work."""
    told: float
    """Fraction of `sent` from instances that knew of the start."""
    age_ns: int

    @property
    def part(self) -> float:
        """Requests sent, relative to the bound."""
        return self.sent / (self.sent - self.over)


class ColdStarts:
    """Trace reader that keeps the worst window of each cold start.

    `any` has the worst of all windows, `told` the worst of those with over two thirds of the requests from instances
    that knew of the start.

    Args:
        scenario: The scenario of the run.
        multiple: The `fall_multiple` of the rule; the scenario's own is unreachable so that no server crashes.
        work: Whether a request counts by its work, relative to the mean over all classes, instead of as one.
    """

    def __init__(self, scenario: Scenario, multiple: float, work: bool = False) -> None:
        self._fleet, self._multiple, self._work = scenario.fleet, multiple, work
        self.mean = sum(c.share * c.work for c in scenario.classes) / sum(c.share for c in scenario.classes)
        self.any: dict[tuple[int, int], Worst] = {}
        self.told: dict[tuple[int, int], Worst] = {}
        self._starts: dict[int, tuple[int, float]] = {}  # by server: start time, warm capacity in work per ns
        self._informed: dict[int, set[int]] = {}  # instances that know of the start, also after their own restart
        self._arrived: dict[int, deque[tuple[int, float, bool]]] = {}

    def __call__(self, record: Record) -> None:
        """Process a trace record."""
        at, kind = record[0], record[1]
        if kind == ARRIVE:
            self._arrive(at, record[4], record[5], record[6])
        elif kind == SERVER:
            server, state, capacity, _ = record[2:]
            if state == UP and at:
                self._starts[server] = (at, capacity)
                self._informed[server] = set()
                self._arrived[server] = deque()
            elif state in (STOPPED, CRASHED):
                self._starts.pop(server, None)
        elif kind == NOTIFIED:
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
        budget = self._multiple * capacity * warmth * fleet.fall / self.mean
        sent = sum((w for _, w, _ in window), 0.0)
        told = sum((w for _, w, told in window if told), 0.0) / sent if sent else 0.0
        found = Worst(sent - budget - 2.0 * math.sqrt(budget) - 2.0, sent, budget, told, age)
        key = (server, began)
        if key not in self.any or found.part > self.any[key].part:
            self.any[key] = found
        if told > INFORMED_SHARE and (key not in self.told or found.part > self.told[key].part):
            self.told[key] = found

    @property
    def broken(self) -> int:
        """Number of starts with a window over the bound, with over two thirds from informed instances."""
        return sum(worst.over > 0 for worst in self.told.values())

    @staticmethod
    def worst(of: dict[tuple[int, int], Worst]) -> Worst | None:
        """Return the worst window of all starts, relative to the bound."""
        return max(of.values(), key=lambda worst: worst.part, default=None)
