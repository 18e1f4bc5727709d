"""Statistics of an edge's clients for the state page and the metrics."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientStatistics:
    """Snapshot of the clients of this edge.

    Attributes:
        ready: Whether the edge reports that it is ready.
        config_version: Version of the configuration in force; 0 for none.
        connections: Number of open connections of clients.
        requests: Number of requests in progress.
        body_bytes: Bytes of request and response bodies that are held in memory.
        body_bytes_most: The limit of `body_bytes`.
    """

    ready: bool
    config_version: int
    connections: int
    requests: int
    body_bytes: int
    body_bytes_most: int
