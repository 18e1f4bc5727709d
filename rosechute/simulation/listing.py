"""Simulated discovery service: one queue of answers and updates, with delays, outages, restarts and wrong entries."""

from __future__ import annotations

from collections.abc import Callable

from rosechute.load_balancing.interface import Directory, Entry
from rosechute.simulation.engine import Engine
from rosechute.simulation.spec import Discovery

Deliver = Callable[[int, Directory], None]


class Listing:
    """Server list of the discovery service and its subscribers.

    Args:
        deliver: Called with an instance number and an update when the update reaches the instance.
        instances: Number of instances.
    """

    def __init__(self, engine: Engine, spec: Discovery, deliver: Deliver, instances: int = 0) -> None:
        self._engine, self._spec, self._deliver = engine, spec, deliver
        self._late_from = round(instances * (1.0 - spec.late_share)) if spec.late else instances
        self.entries: dict[str, Entry] = {}
        self._watching: set[int] = set()
        self._free_at = 0
        self._cost = max(1, int(1e9 / spec.per_s))
        self.down: set[int] = set()  # active faults that make the service unavailable
        self.stale: set[int] = set()  # active faults that make it serve an outdated list
        self.lies: dict[int, frozenset[str]] = {}  # by fault: servers wrongly listed as draining
        self._stale_entries: tuple[Entry, ...] | None = None
        self.sent = 0

    def seed(self, entries: list[Entry]) -> None:
        """Set the list at the start of the run."""
        self.entries = {entry.server: entry for entry in entries}

    def change(self, entry: Entry) -> None:
        """Replace the entry of a server and notify the subscribers one by one."""
        self.entries[entry.server] = entry
        self._engine.after(self._spec.lag, self._push, entry)

    def restart(self) -> None:
        """Restart the service, which loses its subscriptions."""
        self._watching.clear()
        self._free_at = self._engine.now

    def freeze(self, fault: int, on: bool) -> None:
        """Serve the list as it is now while the fault is active; afterwards send all current entries."""
        if on:
            self._stale_entries = self._stale_entries or tuple(self.entries.values())
            self.stale.add(fault)
        else:
            self.stale.discard(fault)
            if not self.stale:
                self._stale_entries = None
                for entry in self.entries.values():
                    self._push(entry)

    def lie(self, fault: int, names: frozenset[str]) -> None:
        """List the named servers as draining while the fault is active; an empty set ends the fault."""
        before = self._falsely_draining()
        if names:
            self.lies[fault] = names
        else:
            self.lies.pop(fault, None)
        for name in sorted(before ^ self._falsely_draining()):
            self._push(self.entries[name])

    def _falsely_draining(self) -> frozenset[str]:
        return frozenset().union(*self.lies.values())

    def _published(self, entry: Entry) -> Entry:
        return entry._replace(lifecycle="draining") if entry.server in self._falsely_draining() else entry

    # --- calls by instances

    def subscribe(self, instance: int, want: bool) -> None:
        """Subscribe an instance and send it the full list, or unsubscribe it if `want` is false."""
        if not want:
            self._watching.discard(instance)
            return
        self._watching.add(instance)
        self.fetch(instance)

    def watches(self, instance: int) -> bool:
        """Return whether the instance is subscribed."""
        return instance in self._watching

    def fetch(self, instance: int) -> None:
        """Queue an answer with the full list."""
        self._engine.at(self._reserve_slot(), self._answer, instance)

    def leave(self, instance: int) -> None:
        """Remove the subscription of an instance that has stopped."""
        self._watching.discard(instance)

    def _send(self, instance: int, update: Directory) -> None:
        """Deliver an update, delayed for the late instances; the delay is constant, so the order is kept."""
        if self._spec.late and instance >= self._late_from:
            self._engine.after(self._spec.late, self._deliver_late, (instance, update))
        else:
            self._deliver(instance, update)

    def _deliver_late(self, message: tuple[int, Directory]) -> None:
        self._deliver(*message)

    def _reserve_slot(self) -> int:
        self._free_at = max(self._free_at, self._engine.now) + self._cost
        return self._free_at

    def _answer(self, instance: int) -> None:
        self.sent += 1
        if self.down:
            self._watching.discard(instance)
            self._send(instance, Directory("FAILED"))
            return
        entries = self._stale_entries if self._stale_entries is not None else tuple(self.entries.values())
        self._send(instance, Directory("FULL", tuple(map(self._published, entries))))

    def _push(self, entry: Entry) -> None:
        if self.down or self.stale:
            return
        update = Directory("INCREMENTAL", (self._published(entry),))
        for instance in sorted(self._watching):
            self._engine.at(self._reserve_slot(), self._send_update, (instance, update))

    def _send_update(self, message: tuple[int, Directory]) -> None:
        self.sent += 1
        if not self.down and message[0] in self._watching:
            self._send(*message)
