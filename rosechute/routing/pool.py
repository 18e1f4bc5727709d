"""The servers of one service, in the sets that server selection draws from.

Every change of a server must be followed by `refresh`, which keeps the sets consistent without a scan.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from typing import NamedTuple

import xxhash

from rosechute.routing.draw_set import DrawSet
from rosechute.routing.model import CloseIdle, RoutingAction, ServerEntry
from rosechute.routing.rendezvous import Rendezvous
from rosechute.routing.server import Server
from rosechute.routing.tuning import RouterTuning

MIN_RETRY_AFTER_S = 0.05
RETRY_AFTER_JITTER = 0.5  # relative jitter, so that clients do not retry at the same time


class BackoffEnd(NamedTuple):
    """End of the backoff of a server, in steady seconds; `number` orders equal times."""

    at: float
    number: int
    server: Server


class Pool:
    """Servers of one service.

    Args:
        draw: Source of random numbers in [0, 1).
        tuning: Constants of the router.

    Attributes:
        servers: The servers by id.
        connection_share: Connections that this edge may open to each server.
        edges: The number of live edges.
        has_limits: Whether the connection limit of the service is known.
        with_capacity: Servers below their concurrency limit.
        accepting_trials: Servers at a concurrency limit above 0 that accept a trial now.
        recovering: Servers with a concurrency limit of 0 that accept a trial now.
        rendezvous: All servers that take new requests.
        available_count: The number of servers that take new requests.
        active_count: The number of these with a concurrency limit above 0.
    """

    def __init__(self, draw: Callable[[], float], tuning: RouterTuning) -> None:
        self._draw, self._tuning = draw, tuning
        self.servers: dict[str, Server] = {}
        self.connection_share = 1
        self.edges = 1
        self.has_limits = False
        self.with_capacity: DrawSet[Server] = DrawSet()
        self.accepting_trials: DrawSet[Server] = DrawSet()
        self.recovering: DrawSet[Server] = DrawSet()
        self.rendezvous = Rendezvous()
        self._backoff_ends: list[BackoffEnd] = []
        self._backoff_count = 0
        self.available_count = 0
        self.active_count = 0

    def apply(self, now: float, entries: Sequence[ServerEntry]) -> list[RoutingAction]:
        """Replace the endpoint list of the service, and return the actions that follow."""
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
            known.update_entry(entry)
            self.refresh(now, known)
            if was_ready and not known.ready:
                actions.append(CloseIdle(known.id))
        self._count_servers()
        return actions

    def _add(self, now: float, entry: ServerEntry) -> None:
        server = Server(entry, self._tuning, self._draw, xxhash.xxh64_intdigest(entry.id.encode()))
        server.set_initial_limit(self.connection_share, self.edges, self._tuning)
        self.servers[server.id] = server
        self.refresh(now, server)

    def set_limits(self, now: float, max_connections: int, edges: int) -> None:
        """Set the connection limit of the service, and the number of live edges that share it."""
        edges = max(1, edges)
        share = max(1, max_connections // edges)
        if self.has_limits and (share, edges) == (self.connection_share, self.edges):
            return
        is_first = not self.has_limits
        self.connection_share, self.edges, self.has_limits = share, edges, True
        for server in self.servers.values():
            if is_first and not server.in_flight:
                server.set_initial_limit(share, edges, self._tuning)
            elif not server.set_limits(share, edges):
                continue
            self.refresh(now, server)
        self._count_servers()

    def _count_servers(self) -> None:
        self.available_count = sum(server.is_available for server in self.servers.values())
        self.active_count = sum(
            server.is_available and server.concurrency_limit > 0 for server in self.servers.values()
        )

    @property
    def has_open_server(self) -> bool:
        """Whether any server accepts a request now."""
        return bool(self.with_capacity or self.accepting_trials or self.recovering)

    # --- sets and backoffs

    def refresh(self, now: float, server: Server) -> None:
        """Update the sets after a change of a server, and schedule the end of its backoff."""
        accepts_trial = server.accepts_trial(now)
        self.rendezvous.set(server, server.is_available)
        self.with_capacity.set(server, server.has_capacity())
        self.accepting_trials.set(server, accepts_trial and server.concurrency_limit > 0)
        self.recovering.set(server, accepts_trial and server.concurrency_limit == 0)
        if server.is_available and now < server.retry_at != server.scheduled_retry_at:
            server.scheduled_retry_at = server.retry_at
            self._backoff_count += 1
            heapq.heappush(self._backoff_ends, BackoffEnd(server.retry_at, self._backoff_count, server))

    def on_limit_changed(self, now: float, server: Server, limit_before: int) -> None:
        """Update `active_count` after a possible change of a concurrency limit, and refresh the server."""
        if server.is_available:
            self.active_count += (server.concurrency_limit > 0) - (limit_before > 0)
        self.refresh(now, server)

    def expire_backoffs(self, now: float) -> None:
        """Refresh the servers whose backoff has ended."""
        while self._backoff_ends and self._backoff_ends[0].at <= now:
            self.refresh(now, heapq.heappop(self._backoff_ends).server)

    def next_backoff_end(self) -> float | None:
        """Return the steady time at which the next backoff ends, or None."""
        while self._backoff_ends and not self._is_current(self._backoff_ends[0]):
            heapq.heappop(self._backoff_ends)
        return self._backoff_ends[0].at if self._backoff_ends else None

    @staticmethod
    def _is_current(end: BackoffEnd) -> bool:
        """Return whether the server still has this backoff, and not a later one or none."""
        return end.server.is_available and end.at == end.server.retry_at

    def retry_after_s(self, now: float) -> float:
        """Return the `Retry-After` for clients while every concurrency limit is 0, in seconds."""
        end = self.next_backoff_end()
        remaining_s = end - now if end is not None else 0.0
        return max(MIN_RETRY_AFTER_S, remaining_s) * (1.0 + RETRY_AFTER_JITTER * self._draw())
