"""The retry budget of one service at one edge, over a sliding window.

The operator bounds the retries of the whole fleet in every window: a ratio of the requests, and a slack. Each edge
keeps to the ratio of its own requests and to its share of the slack. Both are taken with a margin: requests leave the
window while the retries that they allowed are still in it, and the number of live edges is known late.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

RATIO_MARGIN = 0.75
SLACK_MARGIN = 0.6
BUCKETS_PER_WINDOW = 20


@dataclass(slots=True)
class Bucket:
    """Events counted from a steady time on, for the width of a bucket."""

    start: float
    count: int = 0


class WindowCounter:
    """Counts of events in buckets of time.

    Args:
        width_s: Of one bucket, in seconds.
    """

    __slots__ = ("_width_s", "_buckets")

    def __init__(self, width_s: float) -> None:
        self._width_s = width_s
        self._buckets: deque[Bucket] = deque()

    def add(self, now: float) -> None:
        """Count one event."""
        if not self._buckets or now >= self._buckets[-1].start + self._width_s:
            self._buckets.append(Bucket(now))
        self._buckets[-1].count += 1

    def expire(self, before: float) -> None:
        """Drop the buckets that ended before a time."""
        while self._buckets and self._buckets[0].start + self._width_s <= before:
            self._buckets.popleft()

    def count_at_least(self, since: float) -> int:
        """Return how many events certainly happened after `since`."""
        return sum(bucket.count for bucket in self._buckets if bucket.start > since)

    def count_at_most(self, since: float) -> int:
        """Return how many events may have happened after `since`."""
        return sum(bucket.count for bucket in self._buckets if bucket.start + self._width_s > since)


class RetryBudget:
    """Retries that one edge may send to the servers of one service.

    Args:
        ratio: Retries for each request in a window.
        window_s: Length of the window in seconds.
        slack: Retries in a window beyond the ratio, for the whole fleet.
        edges: Live edges, which share the slack.
    """

    def __init__(self, ratio: float, window_s: float, slack: float, edges: int) -> None:
        self._requests = WindowCounter(window_s / BUCKETS_PER_WINDOW)
        self._retries = WindowCounter(window_s / BUCKETS_PER_WINDOW)
        self._window_s = window_s
        self._ratio = ratio
        self._slack_share = SLACK_MARGIN * slack / max(1, edges)

    def configure(self, ratio: float, window_s: float, slack: float, edges: int) -> None:
        """Change the settings. Counts start anew where the length of the window changes."""
        self._ratio = ratio
        self._slack_share = SLACK_MARGIN * slack / max(1, edges)
        if window_s != self._window_s:
            self._requests = WindowCounter(window_s / BUCKETS_PER_WINDOW)
            self._retries = WindowCounter(window_s / BUCKETS_PER_WINDOW)
            self._window_s = window_s

    def on_request(self, now: float) -> None:
        """Count a client's request."""
        self._requests.expire(now - self._window_s)
        self._requests.add(now)

    def on_retry(self, now: float) -> None:
        """Count an attempt beyond the first that may have reached a server."""
        self._retries.expire(now - self._window_s)
        self._retries.add(now)

    def allowed(self, now: float) -> float:
        """Return how many retries the current window may hold."""
        return RATIO_MARGIN * self._ratio * self._requests.count_at_least(now - self._window_s) + self._slack_share

    def allows_retry(self, now: float) -> bool:
        """Return whether one more retry may be sent."""
        return self._retries.count_at_most(now - self._window_s) + 1 <= self.allowed(now)

    def remaining(self, now: float) -> int:
        """Return how many more retries may be sent now."""
        return max(0, int(self.allowed(now)) - self._retries.count_at_most(now - self._window_s))
