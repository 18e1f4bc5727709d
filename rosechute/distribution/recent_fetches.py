"""Suppression of repeated answers to fetches while the first one is still in flight on the same connection."""

from __future__ import annotations

from dataclasses import dataclass

from rosechute.distribution.actions import Connection
from rosechute.distribution.topics import Position

REPEAT_AFTER_S = 2.0  # a snapshot may take this long over a slow link


@dataclass(frozen=True, slots=True)
class _SentSnapshot:
    position: Position
    sent_at: float


class RecentFetches:
    """The snapshots sent lately for fetches, by connection and topic."""

    def __init__(self) -> None:
        self._sent: dict[tuple[Connection, str], _SentSnapshot] = {}

    def is_in_flight(self, now: float, connection: Connection, topic: str, position: Position) -> bool:
        """Return whether this position of the topic was sent on this connection just now."""
        sent = self._sent.get((connection, topic))
        return sent is not None and sent.position == position and now - sent.sent_at < REPEAT_AFTER_S

    def record(self, now: float, connection: Connection, topic: str, position: Position) -> None:
        """Record that this position of the topic is sent on this connection."""
        self._sent[connection, topic] = _SentSnapshot(position, now)

    def connection_closed(self, connection: Connection) -> None:
        """Remove the snapshots that were sent on this connection."""
        for key in [key for key in self._sent if key[0] == connection]:
            del self._sent[key]

    def expire(self, now: float) -> None:
        """Remove the snapshots that were sent too long ago to suppress a repeat."""
        for key in [key for key, sent in self._sent.items() if now - sent.sent_at >= REPEAT_AFTER_S]:
            del self._sent[key]
