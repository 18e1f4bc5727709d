"""Rendezvous hashing (Thaler & Ravishankar 1996): an order of servers for each key that is the same at every edge.

Up to `MAX_FULLY_RANKED` servers, all are ranked for a key. Above that, only a few candidates are ranked, which are
looked up by the key on a hash ring, so that the cost does not grow with the number of servers. In both cases, adding
or removing a server changes the order for few keys.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable
from operator import itemgetter

from rosechute.routing.server import Server

MAX_FULLY_RANKED = 48  # servers up to which all are ranked
POINTS_PER_SERVER = 8  # points of each server on the ring
CANDIDATES_PER_KEY = 12  # points on the ring that are looked up for a key
REBUILD_RATIO = 8  # the ring is rebuilt if more than one in this many servers has changed
MASK_64 = (1 << 64) - 1
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # odd integer nearest to 2**64 divided by the golden ratio
MULTIPLIER = 0xD6E8FEB86659FD93  # odd constant of the bit mixer


def mix_hashes(key: int, seed: int) -> int:
    """Return a 64-bit hash of two 64-bit hashes."""
    value = ((key ^ (seed * GOLDEN_RATIO_64)) * MULTIPLIER) & MASK_64
    value = ((value ^ (value >> 32)) * MULTIPLIER) & MASK_64
    return value ^ (value >> 29)


class Rendezvous:
    """The servers of one service, with an order for each key."""

    def __init__(self) -> None:
        self._servers: dict[Server, None] = {}
        self._pending: dict[Server, bool] = {}  # changes to apply to the ring: True to add the server
        self._points = array("Q")
        self._owners: list[Server] = []

    def __len__(self) -> int:
        return len(self._servers)

    def set(self, server: Server, is_member: bool) -> None:
        """Add a server if `is_member` is true, else remove it."""
        if is_member == (server in self._servers):
            return
        if is_member:
            self._servers[server] = None
        else:
            del self._servers[server]
        if self._pending.pop(server, is_member) == is_member:
            self._pending[server] = is_member

    def first_two(self, key: int) -> list[Server]:
        """Return the first two servers for a key, or fewer if the service has fewer."""
        best: Server | None = None
        second: Server | None = None
        best_score = second_score = -1
        for server in self._ranked(key):
            score = mix_hashes(key, server.seed)
            if score > best_score:
                best, second, best_score, second_score = server, best, score, best_score
            elif score > second_score and server is not best:
                second, second_score = server, score
        return [server for server in (best, second) if server is not None]

    def _ranked(self, key: int) -> Iterable[Server]:
        if len(self._servers) <= MAX_FULLY_RANKED:
            return self._servers
        self._update_ring()
        size = len(self._points)
        indices = (bisect_left(self._points, mix_hashes(key, number)) for number in range(CANDIDATES_PER_KEY))
        return {self._owners[index % size]: None for index in indices}

    def _update_ring(self) -> None:
        """Apply the pending changes one by one, or rebuild the ring if there are many."""
        if REBUILD_RATIO * len(self._pending) > len(self._servers):
            ring = [
                (mix_hashes(server.seed, number), server)
                for server in self._servers
                for number in range(POINTS_PER_SERVER)
            ]
            ring.sort(key=itemgetter(0))
            self._points = array("Q", [point for point, _ in ring])
            self._owners = [server for _, server in ring]
        else:
            for server, is_member in self._pending.items():
                if is_member:
                    self._insert(server)
                else:
                    self._remove(server)
        self._pending.clear()

    def _insert(self, server: Server) -> None:
        for number in range(POINTS_PER_SERVER):
            point = mix_hashes(server.seed, number)
            index = bisect_left(self._points, point)
            self._points.insert(index, point)
            self._owners.insert(index, server)

    def _remove(self, server: Server) -> None:
        for number in range(POINTS_PER_SERVER):
            index = bisect_left(self._points, mix_hashes(server.seed, number))
            while self._owners[index] is not server:  # two servers may have the same point
                index += 1
            del self._points[index], self._owners[index]
