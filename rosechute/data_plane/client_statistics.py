"""Figures of an edge's clients, for the state page and the metrics."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientStatistics:
    """Clients of this edge at a moment.

    Attributes:
        ready: What the readiness address answers.
        config_version: Of the configuration in force; 0 for none.
        connections: Open connections of clients.
        requests: Accepted and not finished.
        body_bytes: Of bodies held in memory.
        body_bytes_most: The limit of `body_bytes`.
    """

    ready: bool
    config_version: int
    connections: int
    requests: int
    body_bytes: int
    body_bytes_most: int
