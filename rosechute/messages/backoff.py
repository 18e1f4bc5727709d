"""Exponential backoff between attempts to open a link."""

from __future__ import annotations

INITIAL_BACKOFF_S = 0.05  # a process that restarts listens again within a fraction of a second
MAX_BACKOFF_S = 0.5  # less than the time after which a peer counts as failed
BACKOFF_FACTOR = 2.0


class ExponentialBackoff:
    """Delays between attempts: each is twice the previous one, up to a limit."""

    __slots__ = ("_next_delay_s",)

    def __init__(self) -> None:
        self._next_delay_s = INITIAL_BACKOFF_S

    def next_delay_s(self) -> float:
        """Return the delay before the next attempt, in seconds, and lengthen the one after it."""
        delay_s = self._next_delay_s
        self._next_delay_s = min(delay_s * BACKOFF_FACTOR, MAX_BACKOFF_S)
        return delay_s

    def reset(self) -> None:
        """Start over with the shortest delay, after a successful attempt."""
        self._next_delay_s = INITIAL_BACKOFF_S
