"""Statistics of recent request durations by route.

Pure: performs no I/O and reads no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

SAMPLES_PER_ROUTE = 64  # number of most recent durations that are kept
MIN_SAMPLES_FOR_QUANTILE = 8  # minimum number of samples for a quantile
MIN_SAMPLES_FOR_MAXIMUM = 32  # minimum number of samples for a maximum


class RouteDurations:
    """The most recent durations by route, each from the arrival of a request to the last byte of its response."""

    def __init__(self) -> None:
        self._routes: dict[str, deque[float]] = {}

    def add(self, route: str, duration_s: float) -> None:
        """Add the duration in seconds of a request with a complete response."""
        samples = self._routes.get(route)
        if samples is None:
            samples = self._routes[route] = deque(maxlen=SAMPLES_PER_ROUTE)
        samples.append(duration_s)

    def quantile_s(self, route: str, share: float) -> float | None:
        """Return the quantile `share`, in [0, 1), in seconds; None if there are too few samples."""
        samples = self._routes.get(route)
        if samples is None or len(samples) < MIN_SAMPLES_FOR_QUANTILE:
            return None
        return sorted(samples)[int(len(samples) * share)]

    def maximum_s(self, route: str) -> float | None:
        """Return the longest duration in seconds; None if there are too few samples."""
        samples = self._routes.get(route)
        return max(samples) if samples is not None and len(samples) >= MIN_SAMPLES_FOR_MAXIMUM else None

    def retain(self, routes: Collection[str]) -> None:
        """Remove all routes but these."""
        for route in [route for route in self._routes if route not in routes]:
            del self._routes[route]
