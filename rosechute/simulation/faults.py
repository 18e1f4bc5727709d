"""Fault injection: the schedule of fault levels of a scenario, and the effect of each fault kind on a run.

A schedule lists the times at which the level of a fault (0 inactive, 1 fully active) changes. Ramps have `STEPS`
steps. Faults may overlap: each acts under its own number, and a component combines the factors of all active faults.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from rosechute.simulation.draw import Stream
from rosechute.simulation.network import FROM, TO
from rosechute.simulation.spec import Fault
from rosechute.simulation.trace import LEVEL

if TYPE_CHECKING:
    from rosechute.simulation.world import World

STEPS = 10
RAMPED = ("slow", "load", "tenant-burst", "loss", "shared-slow", "false-reports")  # kinds with intermediate levels


class Change(NamedTuple):
    """Change of a fault's level at a time."""

    at_ns: int
    fault: int
    level: float


def schedule(faults: tuple[Fault, ...]) -> list[Change]:
    """Return the level changes of all faults, in order of time."""
    found: list[Change] = []
    for number, fault in enumerate(faults):
        every = fault.every if fault.every is not None else 2 * fault.lasts
        for repetition in range(fault.repeat):
            start = int(fault.at or 0) + repetition * every
            end = start + fault.lasts
            ramp = min(int(fault.ramp or 0), fault.lasts // 2) if fault.kind in RAMPED else 0
            if ramp:
                for step in range(1, STEPS + 1):
                    found.append(Change(start + ramp * step // STEPS, number, step / STEPS))
                    found.append(Change(end - ramp + ramp * step // STEPS, number, 1.0 - step / STEPS))
            else:
                found += [Change(start, number, 1.0), Change(end, number, 0.0)]
    return sorted(found, key=lambda change: (change.at_ns, change.level > 0, change.fault))


class FaultInjector:
    """Applies the fault schedule of a scenario to a world."""

    def __init__(self, world: World, stream: Stream) -> None:
        self._world, self._stream = world, stream
        self._faults = world.scenario.faults
        self._targets: dict[int, list[int]] = {}
        self._shared: dict[int, float] = {}  # level of each active shared-slow fault
        self._sustained: set[int] = set()  # shared-slow faults whose trigger is over but which the load sustains
        self._kinds: dict[str, Callable[[int, Fault, float], None]] = {
            "slow": self._slow,
            "hang": self._hang,
            "grey": self._grey,
            "crash-loop": self._crash_loop,
            "rolling-deploy": self._deploy,
            "mass-restart": self._mass_restart,
            "shared-slow": self._shared_slow,
            "tenant-burst": self._burst,
            "load": self._load,
            "zone-loss": self._zone_loss,
            "partition": self._partition,
            "one-way-cut": self._one_way,
            "loss": self._loss,
            "discovery-down": self._discovery_down,
            "discovery-stale": self._stale,
            "discovery-lies": self._lies,
            "false-reports": self._false,
            "drain": self._drain,
        }
        for change in schedule(self._faults):
            world.engine.at(change.at_ns, self._change, change)

    def _change(self, change: Change) -> None:
        fault = self._faults[change.fault]
        if change.level or fault.kind != "shared-slow":  # `_check_recovery` records the end of shared-slow
            self._world.trace.add((self._world.engine.now, LEVEL, change.fault, fault.kind, change.level))
        self._kinds[fault.kind](change.fault, fault, change.level)

    def _chosen(self, number: int, fault: Fault, level: float) -> list[int]:
        """Return the servers affected by a fault; they are drawn again at each start of the fault."""
        if level and number not in self._targets:
            count = len(self._world.servers)
            if fault.servers:
                chosen = [s for s in fault.servers if s < count]
            else:
                left = list(range(count))
                chosen = [
                    left.pop(self._stream.below(len(left)))
                    for _ in range(max(1, min(count, round(fault.share * count))))
                ]
            self._targets[number] = sorted(chosen)
        return self._targets[number] if level else self._targets.pop(number, [])

    def _slow(self, number: int, fault: Fault, level: float) -> None:
        for target in self._chosen(number, fault, level):
            server = self._world.servers[target]
            server.changed()
            if level:
                server.speeds[number] = max(1e-6, 1.0 - level * (1.0 - fault.factor))
            else:
                server.speeds.pop(number, None)
            server.changed()

    def _hang(self, number: int, fault: Fault, level: float) -> None:
        for target in self._chosen(number, fault, level):
            server = self._world.servers[target]
            server.changed()
            (server.hung.add if level else server.hung.discard)(number)
            server.changed()

    def _grey(self, number: int, fault: Fault, level: float) -> None:
        cls = next((i for i, c in enumerate(self._world.scenario.classes) if c.name == fault.cls), -1)
        for target in self._chosen(number, fault, level):
            if level:
                self._world.servers[target].grey[number] = (cls, fault.clients)
            else:
                self._world.servers[target].grey.pop(number, None)

    def _crash_loop(self, number: int, fault: Fault, level: float) -> None:
        chosen = self._chosen(number, fault, level)
        if level:
            for target in chosen:
                self._crash((number, target))

    def _crash(self, crash: tuple[int, int]) -> None:
        number, target = crash
        if target in self._targets.get(number, ()):
            fault = self._faults[number]
            self._world.crash(target, fault.pause)
            # The uptime between crashes is exponential with a mean of twice the downtime.
            self._world.engine.after(
                fault.pause + int(2 * fault.pause * self._stream.exponential()) + 1, self._crash, crash
            )

    def _deploy(self, number: int, fault: Fault, level: float) -> None:
        """Drain, stop and restart the servers one after another, evenly spread over the duration of the deploy."""
        if level:
            chosen = self._chosen(number, fault, level)
            for turn, target in enumerate(chosen):
                self._world.engine.after(turn * fault.lasts // len(chosen), self._replace, (target, fault.pause))
        else:
            self._targets.pop(number, None)

    def _replace(self, replacement: tuple[int, int]) -> None:
        self._world.drain(replacement[0])
        self._world.engine.after(replacement[1], self._stop, replacement)

    def _stop(self, replacement: tuple[int, int]) -> None:
        if self._world.servers[replacement[0]].draining:
            self._world.crash(replacement[0], replacement[1], planned=True)

    def _drain(self, number: int, fault: Fault, level: float) -> None:
        for target in self._chosen(number, fault, level):
            (self._world.drain if level else self._world.undrain)(target)

    def _mass_restart(self, number: int, fault: Fault, level: float) -> None:
        if level:
            instances = self._world.instances
            for instance in instances[: max(1, round(fault.share * len(instances)))]:
                self._world.restart(instance)

    def _shared_slow(self, number: int, fault: Fault, level: float) -> None:
        if level:
            if not self._shared:
                self._world.engine.after(100_000_000, self._check_recovery)
            self._shared[number] = max(level, self._shared.get(number, 0.0))  # does not decrease by itself
            self._sustained.discard(number)
        elif number in self._shared:
            self._sustained.add(number)  # metastable state: only reduced load ends it
        self._apply_shared()

    def _apply_shared(self) -> None:
        factor = 1.0
        for number, level in self._shared.items():
            factor *= 1.0 - level * (1.0 - self._faults[number].factor)
        for server in self._world.servers:
            server.changed()
            server.shared = factor
            server.changed()

    def _check_recovery(self, _: None) -> None:
        servers = [s for s in self._world.servers if s.up]
        busy = sum(s.busy for s in servers) / max(1, len(servers))
        ended = [n for n in sorted(self._sustained) if busy < self._faults[n].recovers_below]
        for number in ended:
            self._sustained.discard(number)
            del self._shared[number]
            self._world.trace.add((self._world.engine.now, LEVEL, number, "shared-slow", 0.0))
        if ended:
            self._apply_shared()
        if self._shared:
            self._world.engine.after(100_000_000, self._check_recovery)

    def _load(self, number: int, fault: Fault, level: float) -> None:
        clients = self._world.clients
        if level:
            clients.loads[number] = 1.0 + level * (fault.factor - 1.0)
        else:
            clients.loads.pop(number, None)
        clients.changed()

    def _burst(self, number: int, fault: Fault, level: float) -> None:
        clients = self._world.clients
        if level:
            clients.bursts[number] = (fault.tenant, 1.0 + level * (fault.factor - 1.0))
        else:
            clients.bursts.pop(number, None)
        clients.changed()

    def _zone_loss(self, number: int, fault: Fault, level: float) -> None:
        for target, server in enumerate(self._world.servers):
            if server.zone == fault.zone:
                if level:
                    self._world.crash(target, None)
                else:
                    self._world.start(target)

    def _cut(self, number: int, fault: Fault, level: float, ways: int) -> None:
        chosen = self._chosen(number, fault, level)
        if level:
            half = max(1, len(self._world.instances) // 2)
            self._world.paths.cuts[number] = (frozenset(range(half)), frozenset(chosen), ways)
        else:
            self._world.paths.cuts.pop(number, None)

    def _partition(self, number: int, fault: Fault, level: float) -> None:
        self._cut(number, fault, level, TO | FROM)

    def _one_way(self, number: int, fault: Fault, level: float) -> None:
        self._cut(number, fault, level, FROM)

    def _loss(self, number: int, fault: Fault, level: float) -> None:
        if level:
            self._world.paths.losses[number] = level * min(0.9, fault.share)
        else:
            self._world.paths.losses.pop(number, None)

    def _discovery_down(self, number: int, fault: Fault, level: float) -> None:
        listing = self._world.listing
        if level:
            listing.down.add(number)
        else:
            listing.down.discard(number)
            listing.restart()

    def _stale(self, number: int, fault: Fault, level: float) -> None:
        self._world.listing.freeze(number, bool(level))

    def _lies(self, number: int, fault: Fault, level: float) -> None:
        chosen = self._chosen(number, fault, level)
        names = frozenset(self._world.servers[target].name for target in chosen) if level else frozenset()
        self._world.listing.lie(number, names)

    def _false(self, number: int, fault: Fault, level: float) -> None:
        for target in self._chosen(number, fault, level):
            if level:
                self._world.servers[target].lies[number] = 1.0 + level * (fault.factor - 1.0)
            else:
                self._world.servers[target].lies.pop(number, None)
