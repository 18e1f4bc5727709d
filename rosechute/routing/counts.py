"""Counters of one component by event and kind, from the start of the process. They are the source of metrics."""

from __future__ import annotations

from collections import defaultdict


class Counts:
    """A set of counters, addressed by event and kind."""

    def __init__(self) -> None:
        self._sums: defaultdict[str, defaultdict[str, float]] = defaultdict(lambda: defaultdict(float))

    def add(self, event: str, kind: str, amount: float = 1.0) -> None:
        """Add an amount to a counter."""
        self._sums[event][kind] += amount

    def of(self, event: str) -> dict[str, float]:
        """Return the counters of an event by kind."""
        return dict(self._sums.get(event, {}))
