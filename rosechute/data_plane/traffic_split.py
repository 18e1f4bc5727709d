"""Even sequences for the choice of a service by weight (`traffic_split`).

Independent draws are uneven: of 300 requests with two even parts, one time in twelve a part's share is off by 5 in
100 or more. Here the points of one route at one edge follow one another by the golden ratio from a random start, so
any run of them is spread evenly over 0 to 1, and the sum over many edges is more even than independent draws.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

GOLDEN_RATIO = 0.6180339887498949  # its fraction: the multiples of no number are spread more evenly


class SplitSequences:
    """The sequence of each route at one edge.

    Args:
        draw: Random numbers from 0 up to 1, for where sequences start.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._points: dict[str, float] = {}  # by route name: the last one

    def next_point(self, route: str) -> float:
        """From 0 up to, not including, 1."""
        last = self._points.get(route)
        point = self._draw() if last is None else (last + GOLDEN_RATIO) % 1.0
        self._points[route] = point
        return point

    def keep(self, routes: Collection[str]) -> None:
        """Forget all other routes."""
        self._points = {route: point for route, point in self._points.items() if route in routes}
