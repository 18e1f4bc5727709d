"""What the data plane tells of its clients when an operator asks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientStatistics:
    """Clients of this edge at a moment."""

    ready: bool
    """What the readiness address answers."""
    config_version: int
    """In force here; 0 for none."""
    connections: int
    requests: int
    """Taken and not ended."""
    body_bytes: int
    """Of bodies that are held in memory."""
    body_bytes_most: int
