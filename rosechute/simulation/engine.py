"""The clock of a run: events in order of time, and of their making where times are the same."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Engine:
    """Plays events. Times are whole nanoseconds from the run's start."""

    __slots__ = ("now", "played", "_heap", "_made")

    def __init__(self) -> None:
        self.now = 0
        self.played = 0
        self._heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._made = 0

    def at(self, time: int, play: Callable[[Any], None], what: Any = None) -> None:
        """Have `play(what)` called at a time, at once where that is past."""
        self._made += 1
        heapq.heappush(self._heap, (time if time > self.now else self.now, self._made, play, what))

    def after(self, span: int, play: Callable[[Any], None], what: Any = None) -> None:
        """Have `play(what)` called after a span."""
        self._made += 1
        heapq.heappush(self._heap, (self.now + (span if span > 0 else 0), self._made, play, what))

    def due(self) -> int | None:
        """When the next event is; None where there is none."""
        return self._heap[0][0] if self._heap else None

    def run(self, until: int) -> None:
        """Play all events up to a time, that time's own included."""
        heap, pop = self._heap, heapq.heappop
        count = 0
        while heap and heap[0][0] <= until:
            self.now, _, play, what = pop(heap)
            play(what)
            count += 1
        self.played += count
        self.now = max(self.now, until)
