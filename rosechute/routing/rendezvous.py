"""The order in which the servers of a service stand for a key, the same at every edge that knows the same servers.

Up to `ALL` servers it is the order of rendezvous hashing among all. Above that, among a few servers that are found by
the key on a ring, so that the cost does not grow with the number of servers. A server that comes or goes changes the
order of few keys in both cases.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable
from operator import itemgetter

from rosechute.routing.server import Server

ALL = 48  # servers up to which all are ranked
POINTS = 8  # of each server on the ring
CANDIDATES = 12  # places on the ring that a key looks at
ANEW = 8  # the ring is made anew where more than one in so many servers has changed
MASK = (1 << 64) - 1
ODD = 0x9E3779B97F4A7C15
MULTIPLIER = 0xD6E8FEB86659FD93


def mixed(key: int, seed: int) -> int:
    """A hash of two hashes."""
    value = ((key ^ (seed * ODD)) * MULTIPLIER) & MASK
    value = ((value ^ (value >> 32)) * MULTIPLIER) & MASK
    return value ^ (value >> 29)


class Rendezvous:
    """Servers of one service by key."""

    def __init__(self) -> None:
        self._servers: dict[Server, None] = {}
        self._pending: dict[Server, bool] = {}  # whose points the ring lacks or has in excess, with what is right
        self._points = array("Q")
        self._owners: list[Server] = []

    def __len__(self) -> int:
        return len(self._servers)

    def set(self, server: Server, inside: bool) -> None:
        """Put a server in or take it out."""
        if inside == (server in self._servers):
            return
        if inside:
            self._servers[server] = None
        else:
            del self._servers[server]
        if self._pending.pop(server, inside) == inside:
            self._pending[server] = inside

    def first_two(self, key: int) -> list[Server]:
        """The first two servers for a key; fewer where there are fewer."""
        best: Server | None = None
        second: Server | None = None
        best_score = second_score = -1
        for server in self._ranked(key):
            score = mixed(key, server.seed)
            if score > best_score:
                best, second, best_score, second_score = server, best, score, best_score
            elif score > second_score and server is not best:
                second, second_score = server, score
        return [server for server in (best, second) if server is not None]

    def _ranked(self, key: int) -> Iterable[Server]:
        if len(self._servers) <= ALL:
            return self._servers
        self._settle()
        size = len(self._points)
        places = (bisect_left(self._points, mixed(key, number)) for number in range(CANDIDATES))
        return {self._owners[place % size]: None for place in places}

    def _settle(self) -> None:
        """Bring the ring up to date: one by one, or anew where much has changed."""
        if ANEW * len(self._pending) > len(self._servers):
            points = [(mixed(server.seed, number), server) for server in self._servers for number in range(POINTS)]
            points.sort(key=itemgetter(0))
            self._points = array("Q", [point for point, _ in points])
            self._owners = [server for _, server in points]
        else:
            for server, inside in self._pending.items():
                if inside:
                    self._put(server)
                else:
                    self._take(server)
        self._pending.clear()

    def _put(self, server: Server) -> None:
        for number in range(POINTS):
            point = mixed(server.seed, number)
            place = bisect_left(self._points, point)
            self._points.insert(place, point)
            self._owners.insert(place, server)

    def _take(self, server: Server) -> None:
        for number in range(POINTS):
            place = bisect_left(self._points, mixed(server.seed, number))
            while self._owners[place] is not server:  # two servers may have the same point
                place += 1
            del self._points[place], self._owners[place]
