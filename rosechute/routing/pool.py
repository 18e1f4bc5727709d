"""The servers of one service, with the sets that picks draw from.

Every change to a server ends with `refresh`, so that the servers with room, and those that may take a trial, are
known without a search.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence

import xxhash

from rosechute.routing.draw_set import DrawSet
from rosechute.routing.model import CloseIdle, RoutingAction, ServerEntry
from rosechute.routing.rendezvous import Rendezvous
from rosechute.routing.server import Server
from rosechute.routing.tuning import RouterTuning

LEAST_RETRY_AFTER_S = 0.05


class Pool:
    """Servers of one service."""

    def __init__(self, draw: Callable[[], float], tuning: RouterTuning) -> None:
        self._draw, self._tuning = draw, tuning
        self.servers: dict[str, Server] = {}
        self.share = 1
        self.edges = 1
        self.bounded = False  # whether limits have been told
        self.room: DrawSet[Server] = DrawSet()  # under budget
        self.growing: DrawSet[Server] = DrawSet()  # at a full budget, and may take a trial now
        self.returning: DrawSet[Server] = DrawSet()  # at k = 0, and may take a trial now
        self.rendezvous = Rendezvous()  # all that may take new requests
        self._due: list[tuple[float, int, Server]] = []  # ends of backoffs
        self._count = 0  # orders equal times
        self.up = 0  # servers that may take new requests
        self.live = 0  # those with k above 0

    def apply(self, now: float, entries: Sequence[ServerEntry]) -> list[RoutingAction]:
        """Take over the whole list of the service."""
        actions: list[RoutingAction] = []
        listed = {entry.id for entry in entries}
        for server in [server for server in self.servers.values() if server.id not in listed]:
            server.listed = False
            del self.servers[server.id]
            self.refresh(now, server)
            actions.append(CloseIdle(server.id))
        for entry in entries:
            known = self.servers.get(entry.id)
            if known is None:
                self._add(now, entry)
                continue
            if known.entry == entry:
                continue
            was_ready = known.ready
            known.adopt(entry)
            self.refresh(now, known)
            if was_ready and not known.ready:
                actions.append(CloseIdle(known.id))
        self._count_up()
        return actions

    def _add(self, now: float, entry: ServerEntry) -> None:
        server = Server(entry, self._tuning, self._draw, xxhash.xxh64_intdigest(entry.id.encode()))
        server.start(self.share, self.edges, self._tuning)
        self.servers[server.id] = server
        self.refresh(now, server)

    def limit(self, now: float, max_connections: int, edges: int) -> None:
        """Take over `max_connections` and the number of living edges."""
        edges = max(1, edges)
        share = max(1, max_connections // edges)
        if self.bounded and (share, edges) == (self.share, self.edges):
            return
        first = not self.bounded
        self.share, self.edges, self.bounded = share, edges, True
        for server in self.servers.values():
            if first and not server.in_flight:
                server.start(share, edges, self._tuning)
            elif not server.bound(share, edges):
                continue
            self.refresh(now, server)
        self._count_up()

    def _count_up(self) -> None:
        self.up = sum(server.up for server in self.servers.values())
        self.live = sum(server.up and server.k > 0 for server in self.servers.values())

    @property
    def open(self) -> bool:
        """Whether any server may take a request."""
        return bool(self.room or self.growing or self.returning)

    # --- the sets

    def refresh(self, now: float, server: Server) -> None:
        """Keep the sets true after a change of this server."""
        may_try = server.may_try(now)
        self.rendezvous.set(server, server.up)
        self.room.set(server, server.has_room())
        self.growing.set(server, may_try and server.k > 0)
        self.returning.set(server, may_try and server.k == 0)
        if server.up and now < server.retry_at != server.due_at:
            server.due_at = server.retry_at
            self._count += 1
            heapq.heappush(self._due, (server.due_at, self._count, server))

    def changed(self, now: float, server: Server, k_before: int) -> None:
        """Note a change of k, then keep the sets true."""
        if server.up:
            self.live += (server.k > 0) - (k_before > 0)
        self.refresh(now, server)

    def elapse(self, now: float) -> None:
        """Let the backoffs end that are due."""
        while self._due and self._due[0][0] <= now:
            self.refresh(now, heapq.heappop(self._due)[2])

    def next_backoff_end(self) -> float | None:
        """When the next backoff ends; None where none runs."""
        while self._due and not (self._due[0][2].up and self._due[0][0] == self._due[0][2].retry_at):
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else None

    def retry_after(self, now: float) -> float:
        """When a client had better come again while every server sits at k = 0."""
        end = self.next_backoff_end()
        left = end - now if end is not None else 0.0
        return max(LEAST_RETRY_AFTER_S, left) * (1.0 + 0.5 * self._draw())
