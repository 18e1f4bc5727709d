"""The simulated time of a deployment: what happens when, and the steady clocks of its machines, which run apart."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass

EVENTS_LIMIT = 60_000  # in one second

Call = Callable[[], None]


class InvariantViolationError(AssertionError):
    """A checker of a simulated deployment found a violated invariant."""


@dataclass(frozen=True, slots=True)
class Clock:
    """A steady clock: begins anywhere, and runs a little fast or slow."""

    offset: float = 0.0
    rate: float = 1.0

    def local(self, true: float) -> float:
        """What the clock shows at a true time."""
        return self.offset + true * self.rate

    def true(self, local: float) -> float:
        """When the clock shows, or showed, this."""
        return (local - self.offset) / self.rate if math.isfinite(local) else local


class Timeline:
    """Calls in the order of their times; those of the same time in the order in which they were asked for."""

    def __init__(self, after_each: Call) -> None:
        self.now = 0.0
        self._after_each = after_each
        self._queue: list[tuple[float, int, Call]] = []
        self._numbers = itertools.count()
        self._events_in_second = 0

    def at(self, delay: float, call: Call) -> None:
        """Call after so many seconds."""
        self.at_time(self.now + delay, call)

    def at_time(self, when: float, call: Call) -> None:
        """Call at this very time."""
        heapq.heappush(self._queue, (max(self.now, when), next(self._numbers), call))

    def every(self, interval: float, call: Call) -> None:
        """Call again and again."""

        def again() -> None:
            call()
            self.at(interval, again)

        self.at(interval, again)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            when, _, call = heapq.heappop(self._queue)
            self._count_event(when)
            self.now = when
            call()
            self._after_each()
        self.now = end

    def _count_event(self, when: float) -> None:
        """Nobody keeps others, or itself, busy without end."""
        if int(when) != int(self.now):
            self._events_in_second = 0
        self._events_in_second += 1
        if self._events_in_second > EVENTS_LIMIT:
            raise InvariantViolationError(f"a storm of events at {when}")
