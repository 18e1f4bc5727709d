"""Lines through measured points, processor time of a piece of work, and tables of both."""

from __future__ import annotations

import os
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

LEAST_S = 0.05  # processor time over which a piece of work is repeated
ROUNDS = 5


def microseconds(work: Callable[[], object], rounds: int = ROUNDS, least_s: float = LEAST_S) -> float:
    """Processor time of the thread for one call of `work`: the median of some rounds."""
    began = time.thread_time_ns()
    work()
    once_s = max(1e-7, (time.thread_time_ns() - began) / 1e9)
    times = max(1, int(least_s / once_s))
    found = []
    for _ in range(rounds):
        began = time.thread_time_ns()
        for _ in range(times):
            work()
        found.append((time.thread_time_ns() - began) / 1e3 / times)
    return statistics.median(found)


@dataclass(slots=True)
class Slope:
    """One figure over one size, with the line through its points by least squares."""

    name: str
    unit: str
    by: str
    points: dict[float, float] = field(default_factory=dict)

    def line(self) -> tuple[float, float]:
        """What one more adds, and what is left at none."""
        sizes, values = list(self.points), list(self.points.values())
        if len(sizes) < 2:
            return 0.0, values[0] if values else 0.0
        middle, mean = statistics.fmean(sizes), statistics.fmean(values)
        spread = sum((size - middle) ** 2 for size in sizes)
        each = sum((size - middle) * (value - mean) for size, value in self.points.items()) / spread
        return each, mean - each * middle

    def off(self) -> float:
        """The largest distance of a point from the line, as a share of the largest point."""
        each, none = self.line()
        largest = max(abs(value) for value in self.points.values()) or 1.0
        return max(abs(value - none - each * size) for size, value in self.points.items()) / largest

    def at(self, size: float) -> float:
        """The point at a size, else between its neighbours, else on the line."""
        if size in self.points:
            return self.points[size]
        below = [known for known in self.points if known < size]
        above = [known for known in self.points if known > size]
        if not below or not above:
            each, none = self.line()
            return none + each * size
        low, high = max(below), min(above)
        part = (size - low) / (high - low)
        return self.points[low] + part * (self.points[high] - self.points[low])

    def row(self) -> str:
        """As a row of a table."""
        each, none = self.line()
        points = ", ".join(f"{size:,.0f}: {_short(value)}" for size, value in self.points.items())
        cells = (f"{self.name}, {self.unit}", self.by, points, _short(each), _short(none), f"{self.off():.0%}")
        return f"| {' | '.join(cells)} |"

    def plain(self) -> dict[str, Any]:
        """For a file."""
        return {**asdict(self), "points": [[size, value] for size, value in self.points.items()]}


def slope_of(plain: dict[str, Any]) -> Slope:
    """From a file."""
    return Slope(plain["name"], plain["unit"], plain["by"], {size: value for size, value in plain["points"]})


def table(slopes: Sequence[Slope]) -> str:
    """All rows with their head."""
    head = "| figure | by | points | one more | at none | off by |\n| --- | --- | --- | --- | --- | --- |"
    return "\n".join([head, *(slope.row() for slope in slopes)])


def machine() -> str:
    """The machine and its load, in a few words."""
    one, five, _ = os.getloadavg()
    return f"{os.cpu_count()} cores shared with others, load {one:.1f} (1 min), {five:.1f} (5 min)"


def _short(value: float) -> str:
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"
