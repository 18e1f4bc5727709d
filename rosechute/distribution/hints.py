"""Hinted handoff: the topics that a target missed, kept until it can be reached.

A hint names the target and the topic only. The newest value is delivered, so there is at most one hint per topic.
Source: DeCandia et al., "Dynamo: Amazon's Highly Available Key-value Store", SOSP 2007, section 4.6.
"""

from __future__ import annotations

HINT_LIFETIME_S = 60.0  # a target that is away for longer catches up through the positions in its renewals


class Hints:
    """Missed topics by target."""

    def __init__(self) -> None:
        self._missed: dict[str, dict[str, float]] = {}  # expiry time by target and topic

    def add(self, target: str, topic: str, now: float) -> None:
        """Record that an update of this topic could not be sent to this target."""
        self._missed.setdefault(target, {})[topic] = now + HINT_LIFETIME_S

    def pop(self, target: str) -> list[str]:
        """Remove and return the topics that the target missed."""
        return list(self._missed.pop(target, {}))

    def expire(self, now: float) -> None:
        """Remove the hints whose lifetime has ended."""
        for target, topics in list(self._missed.items()):
            for topic in [topic for topic, expires_at in topics.items() if expires_at <= now]:
                del topics[topic]
            if not topics:
                del self._missed[target]

    def clear(self) -> None:
        """Remove all hints."""
        self._missed.clear()
