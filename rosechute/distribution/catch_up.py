"""Anti-entropy of an edge: the topics whose value is outdated, and when the edge fetches them from the core itself.

Updates normally come through the home edge, which gets a short head start before a fetch is due.

A link preserves the order of its messages. If a renewal was sent after a fetch on the same link and its reply arrives
before the update, the update was lost and is fetched again at once. Otherwise a fetch is repeated under backoff, as
its reply may still be in transit over a slow link.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from rosechute.distribution.topics import Position

PATIENCE_S = 0.15  # head start of the home edge: time for one push from the leader and one relay
PATIENCE_PER_EDGE_S = 0.01  # head start per edge of the zone: a home relays to its subscribers one by one
RETRY_FIRST_S = 0.5  # backoff after the first fetch; doubles with each attempt
RETRY_LIMIT_S = 2.0  # upper bound of the backoff


class DueFetch(NamedTuple):
    """A fetch that is due."""

    topic: str
    source: str  # address of the core machine that reported the position
    attempt: int  # number of earlier fetches of this position
    is_lost: bool  # the reply to the previous fetch was lost


@dataclass(slots=True)
class _PendingTopic:
    """A topic whose newest reported position is not held yet."""

    position: Position
    source: str
    fetch_at: float
    attempts: int = 0
    fetched_from: str = ""  # address that the newest fetch was sent to; empty if there is none
    fetched_at: float = math.inf
    is_lost: bool = False  # the reply to the newest fetch was lost


class CatchUp:
    """The topics with a reported position that is newer than the one held."""

    def __init__(self) -> None:
        self._pending: dict[str, _PendingTopic] = {}

    def on_newer_position(self, topic: str, position: Position, source: str, fetch_at: float) -> None:
        """Record that a core machine holds a position newer than the one held here.

        Args:
            topic: The topic.
            position: The reported position.
            source: Address of the core machine.
            fetch_at: When the first fetch is due, if the topic is not pending already.
        """
        pending = self._pending.get(topic)
        if pending is None:
            self._pending[topic] = _PendingTopic(position, source, fetch_at)
        elif position > pending.position:
            pending.position, pending.source, pending.attempts = position, source, 0

    def on_position_applied(self, topic: str, position: Position) -> None:
        """Record that the edge now holds this position."""
        pending = self._pending.get(topic)
        if pending is not None and position >= pending.position:
            del self._pending[topic]

    def due(self, now: float) -> list[DueFetch]:
        """Return the fetches to send now, and schedule their retries."""
        due: list[DueFetch] = []
        for topic, pending in self._pending.items():
            if pending.fetch_at <= now:
                due.append(DueFetch(topic, pending.source, pending.attempts, pending.is_lost))
                pending.fetch_at = now + min(RETRY_FIRST_S * 2.0**pending.attempts, RETRY_LIMIT_S)
                pending.attempts += 1
                pending.is_lost = False
        return due

    def on_fetch_sent(self, now: float, topic: str, address: str) -> None:
        """Record that a fetch that was due is sent to this address."""
        pending = self._pending[topic]
        pending.fetched_from, pending.fetched_at = address, now

    def on_reply(self, now: float, address: str, sent_at: float) -> None:
        """Make fetches due again if their replies were lost.

        Args:
            now: The current time.
            address: Address of the link that a reply to a renewal came on.
            sent_at: When that renewal was sent.
        """
        for pending in self._pending.values():
            if pending.fetched_from == address and sent_at > pending.fetched_at:
                pending.fetch_at = now
                pending.is_lost = True
                pending.fetched_from = ""

    def next_due(self) -> float:
        """Return when the next fetch is due; infinity for never."""
        return min((pending.fetch_at for pending in self._pending.values()), default=math.inf)
