"""Discrete-event engine: runs callbacks in order of time, and in order of scheduling for equal times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Engine:
    """Event queue and simulated clock. Times are integer nanoseconds from the start of the run."""

    __slots__ = ("now", "played", "_heap", "_sequence")

    def __init__(self) -> None:
        self.now = 0
        self.played = 0
        self._heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._sequence = 0

    def at(self, time: int, callback: Callable[[Any], None], argument: Any = None) -> None:
        """Schedule `callback(argument)` at `time`, or now if that is in the past."""
        self._sequence += 1
        heapq.heappush(self._heap, (time if time > self.now else self.now, self._sequence, callback, argument))

    def after(self, delay: int, callback: Callable[[Any], None], argument: Any = None) -> None:
        """Schedule `callback(argument)` after `delay` nanoseconds."""
        self._sequence += 1
        heapq.heappush(self._heap, (self.now + (delay if delay > 0 else 0), self._sequence, callback, argument))

    def due(self) -> int | None:
        """Return the time of the next event, or None if there is none."""
        return self._heap[0][0] if self._heap else None

    def run(self, until: int) -> None:
        """Run all events up to and including the time `until`, then set the clock to it."""
        heap, pop = self._heap, heapq.heappop
        count = 0
        while heap and heap[0][0] <= until:
            self.now, _, callback, argument = pop(heap)
            callback(argument)
            count += 1
        self.played += count
        self.now = max(self.now, until)
