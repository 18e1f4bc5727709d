"""Low-discrepancy sequences for choosing a service by weight (`traffic_split`).

Independent random numbers are uneven: if 300 requests are split into two equal parts, a part is off by 5 percent or
more in one case out of twelve. The points of one route at one edge form an additive recurrence with the golden ratio
and a random start (a Weyl sequence). Every subsequence of consecutive points is spread evenly over [0, 1), and the
sum over many edges is more even than with independent random numbers.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

GOLDEN_RATIO = (
    0.6180339887498949  # fractional part of the golden ratio, whose multiples modulo 1 are spread most evenly
)


class SplitSequences:
    """The low-discrepancy sequences of one edge, one for each route.

    Args:
        draw: Returns random numbers in [0, 1), which are the starts of sequences.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._points: dict[str, float] = {}  # last point by route name

    def next_point(self, route: str) -> float:
        """Return the next point, in [0, 1), of a route's sequence."""
        last = self._points.get(route)
        point = self._draw() if last is None else (last + GOLDEN_RATIO) % 1.0
        self._points[route] = point
        return point

    def retain(self, routes: Collection[str]) -> None:
        """Remove all routes but these."""
        self._points = {route: point for route, point in self._points.items() if route in routes}
