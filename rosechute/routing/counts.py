"""Events of one part of the program, counted by kind since its start: what the process tells as metrics."""

from __future__ import annotations

from collections import defaultdict


class Counts:
    """Sums by event and kind."""

    def __init__(self) -> None:
        self._sums: defaultdict[str, defaultdict[str, float]] = defaultdict(lambda: defaultdict(float))

    def add(self, event: str, kind: str, amount: float = 1.0) -> None:
        """Count an event, or an amount of something."""
        self._sums[event][kind] += amount

    def of(self, event: str) -> dict[str, float]:
        """The sums of an event by kind."""
        return dict(self._sums.get(event, {}))
