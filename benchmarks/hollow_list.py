"""The platform's list at thousands of entries: the project's stand-in, with its pages kept until the list changes."""

from __future__ import annotations

import time
from bisect import bisect_right

from benchmarks.hollow_edges import add
from rosechute.fakes.fleet.platform import DRAINING, READY, Instance, PlatformList


class LargeList(PlatformList):
    """As the stand-in; changes are noted with their times."""

    def __init__(self, rate_per_s: float) -> None:
        super().__init__(rate_per_s)
        self.changes: dict[tuple[str, str], float] = {}
        self._ids: list[str] | None = None

    def show(self, instance: Instance) -> None:
        """Add a server."""
        self._ids = None
        self.put(instance)
        self.changes[instance.id, READY] = time.monotonic()

    def leave(self, instance_id: str) -> None:
        """Show a server as draining."""
        self.drain(instance_id)
        self.changes[instance_id, DRAINING] = time.monotonic()

    def end(self, instance_id: str) -> Instance:
        """Take a server off the list."""
        self._ids = None
        instance = self.instances[instance_id]
        self.remove(instance_id)
        self.changes[instance_id, "gone"] = time.monotonic()
        return instance

    def page(self, zone: str, token: str) -> tuple[list[Instance], str | None]:
        """One page in the order of ids. Readings of one zone are not made here."""
        if self._ids is None:
            self._ids = sorted(self.instances)
        begin = bisect_right(self._ids, token)
        shown = self._ids[begin : begin + self._page_entries]
        more = begin + self._page_entries < len(self._ids)
        return [self.instances[key] for key in shown], shown[-1] if more else None

    def listed(self) -> list[int]:
        """Entries, those that are ready, and a sum that tells lists apart."""
        listed = (0, 0, 0)
        for one in self.instances.values():
            listed = add(listed, one.id, one.state == READY, 1)
        return list(listed)
