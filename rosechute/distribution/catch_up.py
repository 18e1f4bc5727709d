"""Which topics an edge is known to be behind in, and when it fetches them from a core machine itself."""

from __future__ import annotations

import math
from dataclasses import dataclass

from rosechute.distribution.values import Position

PATIENCE_S = 0.15  # time for the home to bring it
PATIENCE_PER_EDGE_S = 0.01  # a home sends to the other edges of its zone one after the other
RETRY_FIRST_S = 0.5
RETRY_LIMIT_S = 2.0


@dataclass(slots=True)
class _Behind:
    position: Position
    source: str  # address of the core machine that told
    fetch_at: float
    attempts: int = 0


class CatchUp:
    """Topics that are behind, by what core machines told."""

    def __init__(self) -> None:
        self._behind: dict[str, _Behind] = {}

    def told(self, topic: str, position: Position, source: str, fetch_at: float) -> None:
        """A core machine holds this position, which is newer than what is held here."""
        known = self._behind.get(topic)
        if known is None:
            self._behind[topic] = _Behind(position, source, fetch_at)
        elif position > known.position:
            known.position, known.source, known.attempts = position, source, 0

    def held(self, topic: str, position: Position) -> None:
        """This position is held here now."""
        known = self._behind.get(topic)
        if known is not None and position >= known.position:
            del self._behind[topic]

    def due(self, now: float) -> list[tuple[str, str, int]]:
        """Topics to be fetched now, each with the address of who told of it and the number of the attempt, from 0."""
        due: list[tuple[str, str, int]] = []
        for topic, behind in self._behind.items():
            if behind.fetch_at <= now:
                due.append((topic, behind.source, behind.attempts))
                behind.fetch_at = now + min(RETRY_FIRST_S * 2.0**behind.attempts, RETRY_LIMIT_S)
                behind.attempts += 1
        return due

    def next_due(self) -> float:
        """When `due` has something next."""
        return min((behind.fetch_at for behind in self._behind.values()), default=math.inf)
