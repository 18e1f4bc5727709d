"""How long the requests of each route have taken lately. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

SAMPLES_PER_ROUTE = 64  # durations of each route, the newest ones
MIN_SAMPLES_FOR_QUANTILE = 8  # durations below which nothing is told of a share
MIN_SAMPLES_FOR_MAXIMUM = 32  # and nothing of the longest


class RouteDurations:
    """The newest durations of each route, from a request's arrival to the last byte of a server's answer."""

    def __init__(self) -> None:
        self._routes: dict[str, deque[float]] = {}

    def add(self, route: str, duration_s: float) -> None:
        """A server has answered a request of this route whole."""
        kept = self._routes.get(route)
        if kept is None:
            kept = self._routes[route] = deque(maxlen=SAMPLES_PER_ROUTE)
        kept.append(duration_s)

    def quantile_s(self, route: str, share: float) -> float | None:
        """Within so many seconds this share of the route's requests has ended; None where too few are known."""
        kept = self._routes.get(route)
        if kept is None or len(kept) < MIN_SAMPLES_FOR_QUANTILE:
            return None
        return sorted(kept)[int(len(kept) * share)]

    def maximum_s(self, route: str) -> float | None:
        """The longest of this route's durations; None where too few are known."""
        kept = self._routes.get(route)
        return max(kept) if kept is not None and len(kept) >= MIN_SAMPLES_FOR_MAXIMUM else None

    def keep(self, routes: Collection[str]) -> None:
        """Forget all routes but these."""
        for route in [route for route in self._routes if route not in routes]:
            del self._routes[route]
