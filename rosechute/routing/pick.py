"""Which server of a pool a request goes to: the ordinary path of the design."""

from __future__ import annotations

from collections.abc import Callable

from rosechute.routing.call import Call
from rosechute.routing.draw_set import DrawSet
from rosechute.routing.pool import Pool
from rosechute.routing.server import Server

DRAWS = 8  # draws before a pick looks through the whole set
FAILING_POWER = 4  # a server that fails a share of its requests is drawn (1 - share) to this power as often


class Picker:
    """Draws servers of a pool."""

    def __init__(self, draw: Callable[[], float], zone: str) -> None:
        self._draw, self._zone = draw, zone

    def with_room(self, now: float, pool: Pool, call: Call) -> Server | None:
        """The less loaded of two random servers under budget."""
        return self._lighter_of_two(now, pool.room, call)

    def least_waiting(self, now: float, pool: Pool, call: Call) -> Server | None:
        """Of a few random servers under budget, the one that lets a request wait for the shortest time."""
        drawn = [pool.room.draw(self._draw) for _ in range(min(DRAWS, len(pool.room)))]
        usable = [server for server in drawn if server not in call.tried]
        return min(usable, key=lambda server: server.wait_s(now), default=None)

    def growing(self, now: float, pool: Pool, call: Call) -> Server | None:
        """A server at its full budget that may take a trial."""
        return self._lighter_of_two(now, pool.growing, call)

    def returning(self, now: float, pool: Pool, call: Call) -> Server | None:
        """A server at k = 0 whose backoff has ended."""
        return self._lighter_of_two(now, pool.returning, call)

    def _lighter_of_two(self, now: float, servers: DrawSet[Server], call: Call) -> Server | None:
        first: Server | None = None
        if not servers:
            return None
        for _ in range(min(DRAWS, 4 * len(servers))):
            server = servers.draw(self._draw)
            if server is first or server in call.tried:
                continue
            errors = server.errors(now)
            if errors and self._draw() > (1.0 - errors) ** FAILING_POWER:
                continue
            if first is None:
                first = server
                if len(servers) == 1:
                    break
            else:
                return self._lighter(now, first, server)
        if first is None:
            first = next((server for server in servers if server not in call.tried), None)
        return first

    def _lighter(self, now: float, one: Server, other: Server) -> Server:
        load, other_load = one.load(now), other.load(now)
        if load != other_load:
            return one if load < other_load else other
        latency, other_latency = self._latency(one), self._latency(other)
        return one if latency <= other_latency else other

    def _latency(self, server: Server) -> float:
        """Recent latency; a server of another zone ranks a little behind."""
        return server.latency_s if server.zone == self._zone else server.latency_s + 0.002
