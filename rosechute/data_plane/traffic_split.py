"""Low-discrepancy sequences for the choice of a service by weight (`traffic_split`).

Independent draws are uneven: of 300 requests split into two equal parts, one time in twelve a part is off by
5 percent or more. The points of one route at one edge are an additive recurrence with the golden ratio from a random
start (Weyl sequence), so that every run of them is spread evenly over 0 to 1, and the sum over many edges is more
even than independent draws.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

GOLDEN_RATIO = 0.6180339887498949  # its fraction: the multiples of no number are spread more evenly


class SplitSequences:
    """Low-discrepancy sequences, one for each route at one edge.

    Args:
        draw: Random numbers from 0 up to 1, for where sequences start.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._points: dict[str, float] = {}  # by route name: the last one

    def next_point(self, route: str) -> float:
        """Return the next point of a route's sequence, at least 0 and below 1."""
        last = self._points.get(route)
        point = self._draw() if last is None else (last + GOLDEN_RATIO) % 1.0
        self._points[route] = point
        return point

    def retain(self, routes: Collection[str]) -> None:
        """Forget all routes but these."""
        self._points = {route: point for route, point in self._points.items() if route in routes}
