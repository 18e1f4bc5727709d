"""Faults: from a scenario's tables to a schedule of levels, and what each kind does to the parts of a run.

A schedule is pure: when each fault's level (0 off, 1 in force) changes, and to what. Ramps go in `STEPS` steps. What
acts at the same time adds up: each fault works under its own number, and a part multiplies what acts on it.
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
RAMPED = ("slow", "load", "tenant-burst", "loss", "shared-slow", "false-reports")  # the kinds that have degrees


class Change(NamedTuple):
    """From a time on, a fault has this level."""

    at_ns: int
    fault: int
    level: float


def schedule(faults: tuple[Fault, ...]) -> list[Change]:
    """All changes of all faults, in order of time."""
    found: list[Change] = []
    for number, fault in enumerate(faults):
        every = fault.every if fault.every is not None else 2 * fault.lasts
        for turn in range(fault.repeat):
            start = int(fault.at or 0) + turn * every
            end = start + fault.lasts
            ramp = min(int(fault.ramp or 0), fault.lasts // 2) if fault.kind in RAMPED else 0
            if ramp:
                for step in range(1, STEPS + 1):
                    found.append(Change(start + ramp * step // STEPS, number, step / STEPS))
                    found.append(Change(end - ramp + ramp * step // STEPS, number, 1.0 - step / STEPS))
            else:
                found += [Change(start, number, 1.0), Change(end, number, 0.0)]
    return sorted(found, key=lambda change: (change.at_ns, change.level > 0, change.fault))


class Actor:
    """Carries a schedule out on a world."""

    def __init__(self, world: World, stream: Stream) -> None:
        self._world, self._stream = world, stream
        self._faults = world.scenario.faults
        self._targets: dict[int, list[int]] = {}
        self._shared: dict[int, float] = {}  # level of each shared-slow fault that acts
        self._lasting: set[int] = set()  # those whose cause is over, and that the load keeps up
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
        if change.level or fault.kind != "shared-slow":  # that one ends when it ends: see `_look`
            self._world.trace.add((self._world.engine.now, LEVEL, change.fault, fault.kind, change.level))
        self._kinds[fault.kind](change.fault, fault, change.level)

    def _chosen(self, number: int, fault: Fault, level: float) -> list[int]:
        """The servers that a fault acts on: drawn anew at each start."""
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

    def _crash(self, told: tuple[int, int]) -> None:
        number, target = told
        if target in self._targets.get(number, ()):
            fault = self._faults[number]
            self._world.crash(target, fault.pause)
            # It lives twice as long as it is away, by chance.
            self._world.engine.after(
                fault.pause + int(2 * fault.pause * self._stream.exponential()) + 1, self._crash, told
            )

    def _deploy(self, number: int, fault: Fault, level: float) -> None:
        """Each server in turn is drained, stopped and started anew, evenly over the time that the deploy lasts."""
        if level:
            chosen = self._chosen(number, fault, level)
            for turn, target in enumerate(chosen):
                self._world.engine.after(turn * fault.lasts // len(chosen), self._replace, (target, fault.pause))
        else:
            self._targets.pop(number, None)

    def _replace(self, told: tuple[int, int]) -> None:
        self._world.drain(told[0])
        self._world.engine.after(told[1], self._stop, told)

    def _stop(self, told: tuple[int, int]) -> None:
        if self._world.servers[told[0]].draining:
            self._world.crash(told[0], told[1], planned=True)

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
                self._world.engine.after(100_000_000, self._look)
            self._shared[number] = max(level, self._shared.get(number, 0.0))  # it does not ebb by itself
            self._lasting.discard(number)
        elif number in self._shared:
            self._lasting.add(number)  # only less load ends it now: a metastable state
        self._share()

    def _share(self) -> None:
        factor = 1.0
        for number, level in self._shared.items():
            factor *= 1.0 - level * (1.0 - self._faults[number].factor)
        for server in self._world.servers:
            server.changed()
            server.shared = factor
            server.changed()

    def _look(self, _: None) -> None:
        servers = [s for s in self._world.servers if s.up]
        busy = sum(s.busy for s in servers) / max(1, len(servers))
        ended = [n for n in sorted(self._lasting) if busy < self._faults[n].recovers_below]
        for number in ended:
            self._lasting.discard(number)
            del self._shared[number]
            self._world.trace.add((self._world.engine.now, LEVEL, number, "shared-slow", 0.0))
        if ended:
            self._share()
        if self._shared:
            self._world.engine.after(100_000_000, self._look)

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
