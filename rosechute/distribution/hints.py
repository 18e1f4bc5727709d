"""Hinted hand-over: who missed news of which topic, kept until they can be reached.

A hint names the target and the topic; the newest value is handed over, so there is one hint for each topic at most.
"""

from __future__ import annotations

HINT_LIFETIME_S = 60.0  # whoever is away for longer asks for everything itself


class Hints:
    """By target, the topics that could not be delivered."""

    def __init__(self) -> None:
        self._missed: dict[str, dict[str, float]] = {}

    def put(self, target: str, topic: str, now: float) -> None:
        """News of this topic could not be sent to this target."""
        self._missed.setdefault(target, {})[topic] = now + HINT_LIFETIME_S

    def take(self, target: str) -> list[str]:
        """The topics that the target missed; they are forgotten here."""
        return list(self._missed.pop(target, {}))

    def expire(self, now: float) -> None:
        """Forget hints that are too old."""
        for target, topics in list(self._missed.items()):
            for topic in [topic for topic, until in topics.items() if until <= now]:
                del topics[topic]
            if not topics:
                del self._missed[target]

    def clear(self) -> None:
        """Forget all hints."""
        self._missed.clear()
