"""Discovery in the lab: one queue of questions and news, which comes late, fails, restarts and can be wrong."""

from __future__ import annotations

from collections.abc import Callable

from rosechute.load_balancing.interface import Directory, Entry
from rosechute.simulation.engine import Engine
from rosechute.simulation.spec import Discovery

Tell = Callable[[int, Directory], None]


class Listing:
    """The list, and who is told of it.

    Args:
        tell: Called with an instance and the news when they reach it.
        instances: How many there are.
    """

    def __init__(self, engine: Engine, spec: Discovery, tell: Tell, instances: int = 0) -> None:
        self._engine, self._spec, self._told = engine, spec, tell
        self._late_from = round(instances * (1.0 - spec.late_share)) if spec.late else instances
        self.entries: dict[str, Entry] = {}
        self._watching: set[int] = set()
        self._free_at = 0
        self._cost = max(1, int(1e9 / spec.per_s))
        self.down: set[int] = set()  # faults that keep it from answering
        self.stale: set[int] = set()  # faults that have it serve the list as it was
        self.lies: dict[int, frozenset[str]] = {}  # by fault: servers listed as draining that are not
        self._old: tuple[Entry, ...] | None = None
        self.sent = 0

    def seed(self, entries: list[Entry]) -> None:
        """The list at the start."""
        self.entries = {entry.server: entry for entry in entries}

    def change(self, entry: Entry) -> None:
        """A server's line is another from now on; those that watch are told, one by one."""
        self.entries[entry.server] = entry
        self._engine.after(self._spec.lag, self._push, entry)

    def restart(self) -> None:
        """It forgets who watches."""
        self._watching.clear()
        self._free_at = self._engine.now

    def freeze(self, fault: int, on: bool) -> None:
        """Serve the list as it is now, for as long as the fault lasts."""
        if on:
            self._old = self._old or tuple(self.entries.values())
            self.stale.add(fault)
        else:
            self.stale.discard(fault)
            if not self.stale:
                self._old = None
                for entry in self.entries.values():
                    self._push(entry)

    def lie(self, fault: int, names: frozenset[str]) -> None:
        """List these as draining; none ends it."""
        before = self._wrong()
        if names:
            self.lies[fault] = names
        else:
            self.lies.pop(fault, None)
        for name in sorted(before ^ self._wrong()):
            self._push(self.entries[name])

    def _wrong(self) -> frozenset[str]:
        return frozenset().union(*self.lies.values())

    def _shown(self, entry: Entry) -> Entry:
        return entry._replace(lifecycle="draining") if entry.server in self._wrong() else entry

    # --- for the instances

    def subscribe(self, instance: int, want: bool) -> None:
        if not want:
            self._watching.discard(instance)
            return
        self._watching.add(instance)
        self.fetch(instance)

    def watches(self, instance: int) -> bool:
        """Whether it is told of changes."""
        return instance in self._watching

    def fetch(self, instance: int) -> None:
        """Answer with the whole list, in turn."""
        self._engine.at(self._turn(), self._answer, instance)

    def leave(self, instance: int) -> None:
        """The instance is gone."""
        self._watching.discard(instance)

    def _tell(self, instance: int, news: Directory) -> None:
        """What it says is on its way; all of it takes equally long, so that the order stays."""
        if self._spec.late and instance >= self._late_from:
            self._engine.after(self._spec.late, self._hear, (instance, news))
        else:
            self._told(instance, news)

    def _hear(self, told: tuple[int, Directory]) -> None:
        self._told(*told)

    def _turn(self) -> int:
        self._free_at = max(self._free_at, self._engine.now) + self._cost
        return self._free_at

    def _answer(self, instance: int) -> None:
        self.sent += 1
        if self.down:
            self._watching.discard(instance)
            self._tell(instance, Directory("FAILED"))
            return
        lines = self._old if self._old is not None else tuple(self.entries.values())
        self._tell(instance, Directory("FULL", tuple(map(self._shown, lines))))

    def _push(self, entry: Entry) -> None:
        if self.down or self.stale:
            return
        news = Directory("INCREMENTAL", (self._shown(entry),))
        for instance in sorted(self._watching):
            self._engine.at(self._turn(), self._news, (instance, news))

    def _news(self, told: tuple[int, Directory]) -> None:
        self.sent += 1
        if not self.down and told[0] in self._watching:
            self._tell(*told)
