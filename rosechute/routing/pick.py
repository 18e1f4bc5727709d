"""Server selection by load: the less loaded of two random servers (power of two choices)."""

from __future__ import annotations

from collections.abc import Callable

from rosechute.routing.draw_set import DrawSet
from rosechute.routing.pending_request import PendingRequest
from rosechute.routing.pool import Pool
from rosechute.routing.server import Server

MAX_DRAWS = 8  # random draws before a selection iterates over the set
OTHER_ZONE_PENALTY_S = 0.002  # added to the latency of a server in another zone
ERROR_RATE_POWER = 4  # a drawn server is accepted with probability (1 - error rate) ** ERROR_RATE_POWER


class Picker:
    """Selects a server of a pool for a request, among those that the request has not tried.

    Args:
        draw: Source of random numbers in [0, 1).
        zone: Zone of this edge, which is preferred between servers of equal load.
    """

    def __init__(self, draw: Callable[[], float], zone: str) -> None:
        self._draw, self._zone = draw, zone

    def with_capacity(self, now: float, pool: Pool, pending: PendingRequest) -> Server | None:
        """Return the less loaded of two random servers with capacity, or None."""
        return self._less_loaded_of_two(now, pool.with_capacity, pending)

    def shortest_queue(self, now: float, pool: Pool, pending: PendingRequest) -> Server | None:
        """Return the server with the shortest queue delay among a few random ones with capacity, or None."""
        drawn = [pool.with_capacity.draw(self._draw) for _ in range(min(MAX_DRAWS, len(pool.with_capacity)))]
        usable = [server for server in drawn if server not in pending.tried_servers]
        return min(usable, key=lambda server: server.queue_delay_s(now), default=None)

    def at_limit(self, now: float, pool: Pool, pending: PendingRequest) -> Server | None:
        """Return a server at its concurrency limit that accepts a trial, or None."""
        return self._less_loaded_of_two(now, pool.accepting_trials, pending)

    def recovering(self, now: float, pool: Pool, pending: PendingRequest) -> Server | None:
        """Return a server with a concurrency limit of 0 whose backoff has ended, or None."""
        return self._less_loaded_of_two(now, pool.recovering, pending)

    def _less_loaded_of_two(self, now: float, servers: DrawSet[Server], pending: PendingRequest) -> Server | None:
        first: Server | None = None
        if not servers:
            return None
        for _ in range(min(MAX_DRAWS, 4 * len(servers))):
            server = servers.draw(self._draw)
            if server is first or server in pending.tried_servers:
                continue
            errors = server.current_error_rate(now)
            if errors and self._draw() > (1.0 - errors) ** ERROR_RATE_POWER:
                continue
            if first is None:
                first = server
                if len(servers) == 1:
                    break
            else:
                return self._less_loaded(now, first, server)
        if first is None:
            first = next((server for server in servers if server not in pending.tried_servers), None)
        return first

    def _less_loaded(self, now: float, one: Server, other: Server) -> Server:
        load, other_load = one.load(now), other.load(now)
        if load != other_load:
            return one if load < other_load else other
        latency, other_latency = self._latency(one), self._latency(other)
        return one if latency <= other_latency else other

    def _latency(self, server: Server) -> float:
        """Return the recent latency in seconds, plus a penalty for another zone."""
        return server.latency_s if server.zone == self._zone else server.latency_s + OTHER_ZONE_PENALTY_S
