"""Recent durations of the requests of each route. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

SAMPLES_PER_ROUTE = 64  # the newest ones are samples
MIN_SAMPLES_FOR_QUANTILE = 8  # no quantile is estimated from fewer
MIN_SAMPLES_FOR_MAXIMUM = 32  # nor a maximum


class RouteDurations:
    """The newest durations of each route, from the arrival of a request to the last byte of its response."""

    def __init__(self) -> None:
        self._routes: dict[str, deque[float]] = {}

    def add(self, route: str, duration_s: float) -> None:
        """Add the duration in seconds of a request with a complete response."""
        samples = self._routes.get(route)
        if samples is None:
            samples = self._routes[route] = deque(maxlen=SAMPLES_PER_ROUTE)
        samples.append(duration_s)

    def quantile_s(self, route: str, share: float) -> float | None:
        """Return the quantile `share` (0 up to 1) in seconds; None where too few durations are known."""
        samples = self._routes.get(route)
        if samples is None or len(samples) < MIN_SAMPLES_FOR_QUANTILE:
            return None
        return sorted(samples)[int(len(samples) * share)]

    def maximum_s(self, route: str) -> float | None:
        """Return the longest duration in seconds; None where too few durations are known."""
        samples = self._routes.get(route)
        return max(samples) if samples is not None and len(samples) >= MIN_SAMPLES_FOR_MAXIMUM else None

    def retain(self, routes: Collection[str]) -> None:
        """Forget all routes but these."""
        for route in [route for route in self._routes if route not in routes]:
            del self._routes[route]
