"""A fake of the platform's entry, which assigns connections to edges by readiness and a hash of the client."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp

PROBE_INTERVAL_S = 0.25
"""Readiness probe interval. The platform uses one second, which is too long for a short demo."""
PROBE_TIMEOUT_S = 0.5
MAX_MISSED_PROBES = 2


@dataclass(slots=True)
class EdgeEndpoint:
    """The addresses and the readiness of an edge as the entry sees it."""

    name: str
    zone: str
    front: str
    readiness: str
    missed_probes: int = MAX_MISSED_PROBES

    @property
    def is_ready(self) -> bool:
        """Whether the edge receives new connections."""
        return self.missed_probes < MAX_MISSED_PROBES


class Entry:
    """The platform's entry: probes the readiness of the edges and selects an edge for a client."""

    def __init__(self, edges: Sequence[EdgeEndpoint]) -> None:
        self.edges = list(edges)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the readiness probes."""
        self._tasks = [asyncio.get_running_loop().create_task(self._probe(edge)) for edge in self.edges]

    async def stop(self) -> None:
        """Stop the readiness probes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def front(self, zone: str, client: str, attempt: int) -> str:
        """Return the front address for a new connection of a client.

        Ready edges of the client's zone are preferred. If fewer than half of the zone's edges are ready, all of them
        are used. A retry (`attempt` above 0) goes to another edge if there is one.
        """
        zone_edges = [edge for edge in self.edges if edge.zone == zone]
        ready = [edge for edge in zone_edges if edge.is_ready]
        if ready and 2 * len(ready) < len(zone_edges):
            ready = zone_edges
        candidates = ready or [edge for edge in self.edges if edge.is_ready] or zone_edges or self.edges
        return candidates[(zlib.crc32(client.encode()) + attempt) % len(candidates)].front

    def ready_count(self) -> int:
        """Return the number of ready edges."""
        return sum(edge.is_ready for edge in self.edges)

    async def _probe(self, edge: EdgeEndpoint) -> None:
        """Probe the readiness of one edge periodically."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(f"http://{edge.readiness}/readiness") as response:
                        edge.missed_probes = 0 if response.status == 200 else edge.missed_probes + 1
                except (aiohttp.ClientError, TimeoutError, OSError):
                    edge.missed_probes += 1
                await asyncio.sleep(PROBE_INTERVAL_S)
